//! One outgoing connection: a ring, and a thread that connects, writes and connects again.

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
use super::stream::draw_nonce;
use super::stream::is_closed;
use super::stream::prepare;
use super::stream::read_by;

/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long challenge and welcome may take together.
const WELCOME_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause before the second try to connect; it doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest pause between two tries to connect.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// How long a connection must have lasted for its end to be answered without a longer pause.
const STABLE_AFTER: Duration = Duration::from_secs(5);
/// How often a silent connection is checked for its end.
const IDLE_CHECK: Duration = Duration::from_millis(100);
/// How many bytes of frames are gathered for one write.
const WRITE_BATCH: usize = 64 * 1024;
/// How many longest frames' worth of bytes may wait on one link.
const QUEUED_FRAMES: usize = 4;
/// The number that stands for no connection.
const DOWN: u64 = 0;

/// A payload with the number of the connection that it was taken for.
struct Queued {
    connection: u64,
    payload: Vec<u8>,
}

/// What the ring's two ends share.
struct LinkState {
    /// The number of the connection that is up, or [`DOWN`].
    connection: AtomicU64,
    /// The bytes of the payloads in the ring.
    queued: AtomicUsize,
}

/// The sending end of one link.
pub(super) struct Outbound {
    ring: Sender<Queued>,
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
        let state = LinkState { connection: AtomicU64::new(DOWN), queued: AtomicUsize::new(0) };
        let state = Arc::new(state);
        let max_frame = shared.max_frame;
        let jitter = SmallRng::try_from_os_rng().map_err(io::Error::other)?;
        let writer =
            Writer { shared, peer, kind, ring: rest, state: state.clone(), made: DOWN, jitter };
        let thread = thread::Builder::new()
            .name(format!("peer-out-{kind:?}").to_lowercase())
            .spawn(move || writer.run())?;
        Ok(Outbound { ring, state, max_frame, thread })
    }

    pub(super) fn is_up(&self) -> bool {
        self.state.connection.load(Ordering::Acquire) != DOWN
    }

    /// Puts `payload` into the ring.
    pub(super) fn send(&self, payload: Vec<u8>) -> Result<(), PeerSendError> {
        let connection = self.state.connection.load(Ordering::Acquire);
        if connection == DOWN {
            return Err(PeerSendError::NotConnected);
        }
        let len = payload.len();
        if len > self.max_frame.saturating_sub(super::FRAME_OVERHEAD) {
            return Err(PeerSendError::TooLong);
        }
        let queued = self.state.queued.fetch_add(len, Ordering::Relaxed) + len;
        let limit = self.max_frame.saturating_mul(QUEUED_FRAMES);
        let sent = if queued > limit {
            Err(PeerSendError::RingFull)
        } else {
            self.ring.try_send(Queued { connection, payload }).map_err(refused)
        };
        if sent.is_err() {
            self.state.queued.fetch_sub(len, Ordering::Relaxed);
        }
        sent
    }

    /// Closes the ring; the thread ends once it has written what is in it.
    pub(super) fn close(self) -> JoinHandle<()> {
        self.thread
    }
}

fn refused(error: TrySendError<Queued>) -> PeerSendError {
    match error {
        TrySendError::Full(_) => PeerSendError::RingFull,
        TrySendError::Disconnected(_) => PeerSendError::NotConnected,
    }
}

/// How a connection ended.
enum Ended {
    /// The link was closed on this side.
    Closed,
    /// The connection failed; the link connects again.
    Failed,
}

/// The thread's side of one link.
struct Writer {
    shared: Arc<Shared>,
    peer: PeerAddr,
    kind: LinkKind,
    ring: Receiver<Queued>,
    state: Arc<LinkState>,
    made: u64,
    jitter: SmallRng,
}

impl Writer {
    fn run(mut self) {
        let mut backoff = MIN_BACKOFF;
        loop {
            let began = Instant::now();
            if let Ended::Closed = self.connect_and_pump() {
                return;
            }
            if began.elapsed() >= STABLE_AFTER {
                backoff = MIN_BACKOFF;
            }
            if let Ended::Closed = self.pause(backoff) {
                return;
            }
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    fn connect_and_pump(&mut self) -> Ended {
        let (stream, frames) = match self.connect() {
            Ok(connected) => connected,
            Err(error) => {
                self.shared.tally.connect_failed();
                debug!(self.shared.log, "no connection to peer";
                    "peer" => %self.peer.host, "addr" => %self.peer.addr,
                    "link" => ?self.kind, "error" => %error);
                return Ended::Failed;
            }
        };
        self.made += 1;
        self.state.connection.store(self.made, Ordering::Release);
        info!(self.shared.log, "connected to peer";
            "peer" => %self.peer.host, "addr" => %self.peer.addr, "link" => ?self.kind);
        let ended = self.pump(stream, frames);
        self.state.connection.store(DOWN, Ordering::Release);
        if let Ended::Failed = ended {
            info!(self.shared.log, "lost connection to peer";
                "peer" => %self.peer.host, "link" => ?self.kind);
        }
        ended
    }

    /// Connects, says hello, and checks that the peer is the host that is meant.
    fn connect(&self) -> io::Result<(TcpStream, FrameSender)> {
        let mut stream = TcpStream::connect_timeout(&self.peer.addr, CONNECT_TIMEOUT)?;
        prepare(&stream)?;
        let deadline = Instant::now() + WELCOME_TIMEOUT;
        let (challenge, receiver) = read_challenge(&mut stream, deadline)?;
        if !self.is_meant(&receiver) {
            return Err(io::Error::other(format!("the host there is `{receiver}`")));
        }
        let (key, sender) = (&self.shared.key, self.shared.sender.clone());
        let mut frames = FrameSender::new(key, sender, &receiver, challenge);
        let nonce = draw_nonce()?;
        stream.write_all(&frames.hello(self.kind, nonce).map_err(io::Error::other)?)?;
        let mut welcome = [0; TAG_BYTES];
        read_by(&mut stream, &mut welcome, deadline)?;
        frames.check_welcome(nonce, &welcome).map_err(io::Error::other)?;
        Ok((stream, frames))
    }

    /// Tells whether `receiver` is the host that this link is for.
    ///
    /// A peer from the settings has its address in place of a name, until a list names it.
    fn is_meant(&self, receiver: &HostName) -> bool {
        let unnamed = !is_named(&self.peer);
        let own = *receiver == self.shared.sender.host;
        !own && (unnamed || *receiver == self.peer.host)
    }

    /// Writes what the ring brings until the connection fails or the link is closed.
    fn pump(&self, mut stream: TcpStream, mut frames: FrameSender) -> Ended {
        let mut batch = Vec::new();
        let mut written = Instant::now();
        loop {
            let first = match self.ring.recv_timeout(IDLE_CHECK) {
                Ok(first) => Some(first),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return Ended::Closed,
            };
            // Without this the first message after a silence would be lost with a dead peer.
            if written.elapsed() >= IDLE_CHECK && is_closed(&stream) {
                first.into_iter().for_each(|item| self.lose(item));
                return Ended::Failed;
            }
            let Some(first) = first else { continue };
            let messages = match self.gather(first, &mut frames, &mut batch) {
                Ok(messages) => messages,
                Err(_) => return Ended::Failed,
            };
            if stream.write_all(&batch).is_err() {
                (0..messages).for_each(|_| self.count(DropCause::ConnectionLost));
                return Ended::Failed;
            }
            self.shared.tally.sent(self.kind, messages, batch.len());
            written = Instant::now();
        }
    }

    /// Seals `first` and what else waits into `batch`, and returns how many messages it has.
    fn gather(
        &self,
        first: Queued,
        frames: &mut FrameSender,
        batch: &mut Vec<u8>,
    ) -> Result<usize, FrameError> {
        batch.clear();
        batch.shrink_to(WRITE_BATCH);
        let mut messages = 0;
        let mut next = Some(first);
        while let Some(item) = next {
            if item.connection == self.made {
                self.state.queued.fetch_sub(item.payload.len(), Ordering::Relaxed);
                batch.extend_from_slice(&frames.seal(&item.payload)?);
                messages += 1;
            } else {
                self.lose(item);
            }
            next = if batch.len() < WRITE_BATCH { self.ring.try_recv().ok() } else { None };
        }
        Ok(messages)
    }

    /// Waits about `backoff` while the link is down, and empties the ring.
    fn pause(&mut self, backoff: Duration) -> Ended {
        let end = Instant::now() + backoff.mul_f64(self.jitter.random_range(0.5..1.5));
        loop {
            match self.ring.recv_deadline(end) {
                Ok(item) => self.lose(item),
                Err(RecvTimeoutError::Timeout) => return Ended::Failed,
                Err(RecvTimeoutError::Disconnected) => return Ended::Closed,
            }
        }
    }

    /// Counts a message that was taken and is not sent.
    fn lose(&self, item: Queued) {
        self.state.queued.fetch_sub(item.payload.len(), Ordering::Relaxed);
        self.count(DropCause::ConnectionLost);
    }

    fn count(&self, cause: DropCause) {
        self.shared.tally.drop(cause);
    }
}

/// Reads a challenge, and the name that its sender claims until its welcome proves it.
fn read_challenge(stream: &mut TcpStream, deadline: Instant) -> io::Result<(Nonce, HostName)> {
    let mut start = [0; CHALLENGE_BYTES];
    read_by(stream, &mut start, deadline)?;
    let challenge = decode_challenge(&start).map_err(io::Error::other)?;
    let mut name = vec![0; challenge.name_len];
    read_by(stream, &mut name, deadline)?;
    let name = String::from_utf8(name).map_err(io::Error::other)?;
    Ok((challenge.nonce, HostName::new(name)))
}
