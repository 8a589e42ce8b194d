//! Reads and writes on peer connections, with timeouts and size limits.

use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use rand::TryRngCore;
use rand::rngs::OsRng;
use socket2::SockRef;
use socket2::TcpKeepalive;

use crate::protocol::FrameError;
use crate::protocol::LENGTH_BYTES;
use crate::protocol::NONCE_BYTES;
use crate::protocol::Nonce;
use crate::protocol::frame_len;

/// How long one write may block before the connection fails.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a frame may take to arrive after the first byte of its length.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);
/// How long sent bytes may stay unacknowledged before the connection fails (`TCP_USER_TIMEOUT`).
const ACK_TIMEOUT: Duration = Duration::from_secs(3);
/// The idle time before the first TCP keepalive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// How many bytes of a frame are read at a time, so that memory use follows the received bytes, not the
/// announced length.
const READ_CHUNK: usize = 64 * 1024;

/// An error while reading a frame.
pub(super) enum ReadError {
    /// The connection was closed or failed.
    Io(io::Error),
    /// The received bytes are not a valid frame.
    Frame(FrameError),
}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> Self {
        ReadError::Io(error)
    }
}

impl From<FrameError> for ReadError {
    fn from(error: FrameError) -> Self {
        ReadError::Frame(error)
    }
}

/// Sets the socket options of both ends of a connection: no delay, timeouts and keepalive.
pub(super) fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL),
    )
}

/// Fills `buffer` before `deadline`.
pub(super) fn read_until(
    stream: &mut TcpStream,
    buffer: &mut [u8],
    deadline: Instant,
) -> io::Result<()> {
    let mut filled = 0;
    while filled < buffer.len() {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut buffer[filled..]) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(read) => filled += read,
            Err(error) if is_retryable(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Reads the first frame of a connection, without its length prefix, before `deadline`.
pub(super) fn read_first_frame(
    stream: &mut TcpStream,
    limit: usize,
    deadline: Instant,
) -> Result<Vec<u8>, ReadError> {
    let mut prefix = [0; LENGTH_BYTES];
    read_until(stream, &mut prefix, deadline)?;
    let mut frame = vec![0; frame_len(prefix, limit)?];
    read_until(stream, &mut frame, deadline)?;
    Ok(frame)
}

/// Reads the next frame, without its length prefix, into `frame`; waits without limit for its start.
pub(super) fn read_frame(
    stream: &mut TcpStream,
    frame: &mut Vec<u8>,
    limit: usize,
) -> Result<(), ReadError> {
    let mut prefix = [0; LENGTH_BYTES];
    stream.set_read_timeout(None)?;
    stream.read_exact(&mut prefix[..1])?;
    let deadline = Instant::now() + FRAME_TIMEOUT;
    read_until(stream, &mut prefix[1..], deadline)?;
    let len = frame_len(prefix, limit)?;
    frame.clear();
    frame.shrink_to(READ_CHUNK);
    while frame.len() < len {
        let start = frame.len();
        frame.resize(len.min(start + READ_CHUNK), 0);
        read_until(stream, &mut frame[start..], deadline)?;
    }
    Ok(())
}

/// Returns whether the peer has closed a connection on which it never sends data.
pub(super) fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let restored = stream.set_nonblocking(false);
    let quiet = matches!(&peeked, Err(error) if error.kind() == ErrorKind::WouldBlock);
    !quiet || restored.is_err()
}

/// Returns a random nonce for one connection.
pub(super) fn random_nonce() -> io::Result<Nonce> {
    let mut bytes = [0; NONCE_BYTES];
    OsRng.try_fill_bytes(&mut bytes).map_err(io::Error::other)?;
    Ok(Nonce(bytes))
}

/// Returns whether a failed read may be retried before its deadline.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
