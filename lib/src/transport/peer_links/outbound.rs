//! An outgoing link: a ring (bounded queue) of messages, and a thread that connects, writes and
//! reconnects.

use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crossbeam_channel::Receiver;
use crossbeam_channel::RecvTimeoutError;
use crossbeam_channel::Sender;
use crossbeam_channel::TrySendError;
use crossbeam_channel::bounded;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::debug;
use slog::info;

use crate::coordination::PeerAddr;
use crate::protocol::CHALLENGE_BYTES;
use crate::protocol::FrameError;
use crate::protocol::FrameSender;
use crate::protocol::LinkKind;
use crate::protocol::Nonce;
use crate::protocol::TAG_BYTES;
use crate::protocol::decode_challenge;
use crate::state::HostName;

use super::DropCause;
use super::PeerSendError;
use super::Shared;
use super::is_named;
use super::stream::configure_socket;
use super::stream::is_closed;
use super::stream::random_nonce;
use super::stream::read_until;

/// The timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout for the challenge and welcome together.
const WELCOME_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay before the second connection attempt; it doubles with each further attempt.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest delay between two connection attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// How long a connection must have lasted for its end to reset the delay to `MIN_BACKOFF`.
const STABLE_AFTER: Duration = Duration::from_secs(5);
/// How often an idle connection is checked for being closed by the peer.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How many bytes of frames are collected for one write.
const WRITE_BATCH: usize = 64 * 1024;
/// The limit of queued bytes on one link, in frames of the maximum length.
const MAX_QUEUED_FRAMES: usize = 4;
/// The connection number that means that no connection is up.
const DISCONNECTED: u64 = 0;

/// A payload with the number of the connection that was up when it was queued.
struct QueuedMessage {
    connection: u64,
    payload: Vec<u8>,
}

/// State that the two ends of the ring share.
struct LinkState {
    /// The number of the connection that is up, or [`DISCONNECTED`].
    connection: AtomicU64,
    /// The bytes of the payloads in the ring.
    queued: AtomicUsize,
}

/// The sending end of one link.
pub(super) struct Outbound {
    ring: Sender<QueuedMessage>,
    state: Arc<LinkState>,
    max_frame: usize,
    thread: JoinHandle<()>,
}

impl Outbound {
    /// Starts the thread of a link to `peer`.
    pub(super) fn open(
        shared: Arc<Shared>,
        peer: PeerAddr,
        kind: LinkKind,
    ) -> io::Result<Outbound> {
        let (ring, rest) = bounded(shared.ring_size);
        let state =
            LinkState { connection: AtomicU64::new(DISCONNECTED), queued: AtomicUsize::new(0) };
        let state = Arc::new(state);
        let max_frame = shared.max_frame;
        let jitter = SmallRng::try_from_os_rng().map_err(io::Error::other)?;
        let writer = Writer {
            shared,
            peer,
            kind,
            ring: rest,
            state: state.clone(),
            current: DISCONNECTED,
            jitter,
        };
        let thread = thread::Builder::new()
            .name(format!("peer-out-{kind:?}").to_lowercase())
            .spawn(move || writer.run())?;
        Ok(Outbound { ring, state, max_frame, thread })
    }

    pub(super) fn is_up(&self) -> bool {
        self.state.connection.load(Ordering::Acquire) != DISCONNECTED
    }

    /// Puts `payload` into the ring.
    pub(super) fn send(&self, payload: Vec<u8>) -> Result<(), PeerSendError> {
        let connection = self.state.connection.load(Ordering::Acquire);
        if connection == DISCONNECTED {
            return Err(PeerSendError::NotConnected);
        }
        let len = payload.len();
        if len > self.max_frame.saturating_sub(super::FRAME_OVERHEAD) {
            return Err(PeerSendError::TooLong);
        }
        let queued = self.state.queued.fetch_add(len, Ordering::Relaxed) + len;
        let limit = self.max_frame.saturating_mul(MAX_QUEUED_FRAMES);
        let sent = if queued > limit {
            Err(PeerSendError::RingFull)
        } else {
            self.ring.try_send(QueuedMessage { connection, payload }).map_err(send_error)
        };
        if sent.is_err() {
            self.state.queued.fetch_sub(len, Ordering::Relaxed);
        }
        sent
    }

    /// Closes the ring; the thread ends after writing the queued messages.
    pub(super) fn close(self) -> JoinHandle<()> {
        self.thread
    }
}

fn send_error(error: TrySendError<QueuedMessage>) -> PeerSendError {
    match error {
        TrySendError::Full(_) => PeerSendError::RingFull,
        TrySendError::Disconnected(_) => PeerSendError::NotConnected,
    }
}

/// How a connection ended.
enum ConnectionEnd {
    /// The link was closed by this host.
    Closed,
    /// The connection failed; the link reconnects.
    Failed,
}

/// The thread that writes to one link.
struct Writer {
    shared: Arc<Shared>,
    peer: PeerAddr,
    kind: LinkKind,
    ring: Receiver<QueuedMessage>,
    state: Arc<LinkState>,
    current: u64,
    jitter: SmallRng,
}

impl Writer {
    fn run(mut self) {
        let mut backoff = MIN_BACKOFF;
        loop {
            let began = Instant::now();
            if let ConnectionEnd::Closed = self.run_connection() {
                return;
            }
            if began.elapsed() >= STABLE_AFTER {
                backoff = MIN_BACKOFF;
            }
            if let ConnectionEnd::Closed = self.pause(backoff) {
                return;
            }
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    fn run_connection(&mut self) -> ConnectionEnd {
        let (stream, frames) = match self.connect() {
            Ok(connected) => connected,
            Err(error) => {
                self.shared.counters.record_failed_connect();
                debug!(self.shared.log, "no connection to peer";
                    "peer" => %self.peer.host, "addr" => %self.peer.addr,
                    "link" => ?self.kind, "error" => %error);
                return ConnectionEnd::Failed;
            }
        };
        self.current += 1;
        self.state.connection.store(self.current, Ordering::Release);
        info!(self.shared.log, "connected to peer";
            "peer" => %self.peer.host, "addr" => %self.peer.addr, "link" => ?self.kind);
        let ended = self.write_messages(stream, frames);
        self.state.connection.store(DISCONNECTED, Ordering::Release);
        if let ConnectionEnd::Failed = ended {
            info!(self.shared.log, "lost connection to peer";
                "peer" => %self.peer.host, "link" => ?self.kind);
        }
        ended
    }

    /// Connects, performs the handshake, and checks that the peer is the expected host.
    fn connect(&self) -> io::Result<(TcpStream, FrameSender)> {
        let mut stream = TcpStream::connect_timeout(&self.peer.addr, CONNECT_TIMEOUT)?;
        configure_socket(&stream)?;
        let deadline = Instant::now() + WELCOME_TIMEOUT;
        let (challenge, receiver) = read_challenge(&mut stream, deadline)?;
        if !self.is_expected(&receiver) {
            return Err(io::Error::other(format!("the address belongs to host `{receiver}`")));
        }
        let (key, sender) = (&self.shared.key, self.shared.sender.clone());
        let mut frames = FrameSender::new(key, sender, &receiver, challenge);
        let nonce = random_nonce()?;
        stream.write_all(&frames.hello(self.kind, nonce).map_err(io::Error::other)?)?;
        let mut welcome = [0; TAG_BYTES];
        read_until(&mut stream, &mut welcome, deadline)?;
        frames.check_welcome(nonce, &welcome).map_err(io::Error::other)?;
        Ok((stream, frames))
    }

    /// Returns whether `receiver` is the host that this link is for.
    ///
    /// A peer from the settings has its address in place of a name until a live list names it.
    fn is_expected(&self, receiver: &HostName) -> bool {
        let unnamed = !is_named(&self.peer);
        let own = *receiver == self.shared.sender.host;
        !own && (unnamed || *receiver == self.peer.host)
    }

    /// Writes messages from the ring until the connection fails or the link is closed.
    fn write_messages(&self, mut stream: TcpStream, mut frames: FrameSender) -> ConnectionEnd {
        let mut batch = Vec::new();
        let mut written = Instant::now();
        loop {
            let first = match self.ring.recv_timeout(IDLE_CHECK_INTERVAL) {
                Ok(first) => Some(first),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return ConnectionEnd::Closed,
            };
            // Without this check, the first message after an idle time would be lost if the peer has
            // closed the connection.
            if written.elapsed() >= IDLE_CHECK_INTERVAL && is_closed(&stream) {
                first.into_iter().for_each(|item| self.discard(item));
                return ConnectionEnd::Failed;
            }
            let Some(first) = first else { continue };
            let messages = match self.fill_batch(first, &mut frames, &mut batch) {
                Ok(messages) => messages,
                Err(_) => return ConnectionEnd::Failed,
            };
            if stream.write_all(&batch).is_err() {
                (0..messages).for_each(|_| self.count(DropCause::ConnectionLost));
                return ConnectionEnd::Failed;
            }
            self.shared.counters.record_sent(self.kind, messages, batch.len());
            written = Instant::now();
        }
    }

    /// Seals `first` and further queued messages into `batch`, and returns the number of messages.
    fn fill_batch(
        &self,
        first: QueuedMessage,
        frames: &mut FrameSender,
        batch: &mut Vec<u8>,
    ) -> Result<usize, FrameError> {
        batch.clear();
        batch.shrink_to(WRITE_BATCH);
        let mut messages = 0;
        let mut next = Some(first);
        while let Some(item) = next {
            if item.connection == self.current {
                self.state.queued.fetch_sub(item.payload.len(), Ordering::Relaxed);
                batch.extend_from_slice(&frames.seal(&item.payload)?);
                messages += 1;
            } else {
                self.discard(item);
            }
            next = if batch.len() < WRITE_BATCH { self.ring.try_recv().ok() } else { None };
        }
        Ok(messages)
    }

    /// Waits for `backoff` with jitter while the link is down, and discards queued messages.
    fn pause(&mut self, backoff: Duration) -> ConnectionEnd {
        let end = Instant::now() + backoff.mul_f64(self.jitter.random_range(0.5..1.5));
        loop {
            match self.ring.recv_deadline(end) {
                Ok(item) => self.discard(item),
                Err(RecvTimeoutError::Timeout) => return ConnectionEnd::Failed,
                Err(RecvTimeoutError::Disconnected) => return ConnectionEnd::Closed,
            }
        }
    }

    /// Discards a queued message and counts it as lost.
    fn discard(&self, item: QueuedMessage) {
        self.state.queued.fetch_sub(item.payload.len(), Ordering::Relaxed);
        self.count(DropCause::ConnectionLost);
    }

    fn count(&self, cause: DropCause) {
        self.shared.counters.record_drop(cause);
    }
}

/// Reads a challenge and its sender's name, which is only claimed until the welcome proves it.
fn read_challenge(stream: &mut TcpStream, deadline: Instant) -> io::Result<(Nonce, HostName)> {
    let mut start = [0; CHALLENGE_BYTES];
    read_until(stream, &mut start, deadline)?;
    let challenge = decode_challenge(&start).map_err(io::Error::other)?;
    let mut name = vec![0; challenge.name_len];
    read_until(stream, &mut name, deadline)?;
    let name = String::from_utf8(name).map_err(io::Error::other)?;
    Ok((challenge.nonce, HostName::new(name)))
}
