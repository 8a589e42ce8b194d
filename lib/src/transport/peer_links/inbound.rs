//! Incoming connections: one accepting thread, and one reading thread for each connection.

use std::collections::HashMap;
use std::io;
use std::io::ErrorKind;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use slog::info;
use slog::warn;
use socket2::SockRef;

use crate::coordination::Envelope;
use crate::protocol::FrameListener;
use crate::protocol::FrameReceiver;
use crate::protocol::Hello;
use crate::protocol::LENGTH_BYTES;
use crate::protocol::LinkKind;
use crate::protocol::MAX_HELLO_BYTES;
use crate::protocol::decode_message;
use crate::protocol::encode_challenge;
use crate::state::HostName;

use super::DropCause;
use super::Shared;
use super::lock;
use super::stream::ReadError;
use super::stream::configure_socket;
use super::stream::random_nonce;
use super::stream::read_first_frame;
use super::stream::read_frame;

/// The timeout for a peer's hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// How many connections may wait for a hello at once.
const MAX_PENDING_HELLOS: usize = 64;
/// How often the accepting thread checks whether to stop.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// An open connection, and the link that it carries once its hello was accepted.
struct Connection {
    stream: TcpStream,
    link: Option<(HostName, LinkKind)>,
    thread: Option<JoinHandle<()>>,
}

/// The open connections; a new one for the same link replaces an earlier one.
#[derive(Default)]
struct Connections {
    next: u64,
    open: HashMap<u64, Connection>,
}

/// State that the accepting thread and the reading threads share.
struct Inbound {
    shared: Arc<Shared>,
    connections: Mutex<Connections>,
    stopping: AtomicBool,
}

/// The thread that accepts connections.
pub(super) struct Acceptor {
    inbound: Arc<Inbound>,
    thread: JoinHandle<()>,
}

impl Acceptor {
    /// Listens on `addr` and returns the bound address.
    pub(super) fn start(
        addr: SocketAddr,
        shared: Arc<Shared>,
        inbox: impl Fn(Envelope) + Send + Clone + 'static,
    ) -> io::Result<(Acceptor, SocketAddr)> {
        let listener = TcpListener::bind(addr)?;
        let local = listener.local_addr()?;
        // On a listening socket this is the timeout of `accept`.
        SockRef::from(&listener).set_read_timeout(Some(ACCEPT_POLL_INTERVAL))?;
        let connections = Mutex::default();
        let inbound = Arc::new(Inbound { shared, connections, stopping: AtomicBool::new(false) });
        let accepting = inbound.clone();
        let thread = thread::Builder::new()
            .name("peer-accept".to_owned())
            .spawn(move || accept_all(&accepting, &listener, &inbox))?;
        Ok((Acceptor { inbound, thread }, local))
    }

    /// Closes all connections and waits for their threads.
    pub(super) fn stop(self) {
        self.inbound.stopping.store(true, Ordering::Release);
        // A panic of a thread is a broken invariant, which the panic hook has already reported.
        let _ = self.thread.join();
        let open = std::mem::take(&mut lock(&self.inbound.connections).open);
        for connection in open.into_values() {
            let _ = connection.stream.shutdown(Shutdown::Both);
            if let Some(thread) = connection.thread {
                let _ = thread.join();
            }
        }
    }
}

fn accept_all(
    inbound: &Arc<Inbound>,
    listener: &TcpListener,
    inbox: &(impl Fn(Envelope) + Send + Clone + 'static),
) {
    while !inbound.stopping.load(Ordering::Acquire) {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(error) => {
                warn!(inbound.shared.log, "cannot accept a peer's connection"; "error" => %error);
                thread::sleep(ACCEPT_POLL_INTERVAL);
                continue;
            }
        };
        if let Err(error) = spawn_reader(inbound, stream, inbox.clone()) {
            warn!(inbound.shared.log, "cannot serve a peer's connection"; "error" => %error);
        }
    }
}

fn spawn_reader(
    inbound: &Arc<Inbound>,
    stream: TcpStream,
    inbox: impl Fn(Envelope) + Send + 'static,
) -> io::Result<()> {
    let mut connections = lock(&inbound.connections);
    let pending = connections.open.values().filter(|open| open.link.is_none()).count();
    if pending >= MAX_PENDING_HELLOS {
        inbound.shared.counters.record_drop(DropCause::TooManyPending);
        return Ok(());
    }
    connections.next += 1;
    let id = connections.next;
    let handle = stream.try_clone()?;
    let reader = Reader { inbound: inbound.clone(), id };
    // The lock is held until the entry is inserted, so the reader cannot remove it earlier.
    let thread = thread::Builder::new().name("peer-in".to_owned()).spawn(move || {
        reader.run(stream, inbox);
        reader.remove_connection();
    })?;
    let connection = Connection { stream: handle, link: None, thread: Some(thread) };
    connections.open.insert(id, connection);
    Ok(())
}

/// The thread of one incoming connection.
struct Reader {
    inbound: Arc<Inbound>,
    id: u64,
}

impl Reader {
    fn run(&self, mut stream: TcpStream, inbox: impl Fn(Envelope)) {
        let (hello, frames) = match self.handshake(&mut stream) {
            Ok(accepted) => accepted,
            Err(error) => return self.report(error, true),
        };
        let sender = &hello.sender;
        info!(self.inbound.shared.log, "peer connected";
            "peer" => %sender.host, "incarnation" => %sender.incarnation, "link" => ?hello.kind);
        if let Err(error) = self.read_all(&mut stream, hello.kind, frames, inbox) {
            self.report(error, false);
        }
    }

    /// Sends the challenge, reads the peer's hello and sends the welcome.
    fn handshake(&self, stream: &mut TcpStream) -> Result<(Hello, FrameReceiver), ReadError> {
        let shared = &self.inbound.shared;
        configure_socket(stream)?;
        let nonce = random_nonce()?;
        stream.write_all(&encode_challenge(nonce, &shared.sender.host)?)?;
        let deadline = Instant::now() + HELLO_TIMEOUT;
        let frame = read_first_frame(stream, MAX_HELLO_BYTES, deadline)?;
        let listener = FrameListener::new(&shared.key, &shared.sender.host, nonce);
        let (hello, frames) = listener.accept(&frame)?;
        lock(&shared.senders).observe(&hello.sender, shared.now())?;
        self.replace_earlier(&hello);
        stream.write_all(&frames.welcome(&hello))?;
        Ok((hello, frames))
    }

    /// Records the link of this connection and closes an earlier connection for the same link.
    fn replace_earlier(&self, hello: &Hello) {
        let link = Some((hello.sender.host.clone(), hello.kind));
        let mut connections = lock(&self.inbound.connections);
        for earlier in connections.open.values().filter(|open| open.link == link) {
            let _ = earlier.stream.shutdown(Shutdown::Both);
        }
        if let Some(own) = connections.open.get_mut(&self.id) {
            own.link = link;
        }
    }

    /// Reads frames until the connection ends or sends an invalid frame.
    fn read_all(
        &self,
        stream: &mut TcpStream,
        kind: LinkKind,
        mut frames: FrameReceiver,
        inbox: impl Fn(Envelope),
    ) -> Result<(), ReadError> {
        let shared = &self.inbound.shared;
        let mut frame = Vec::new();
        loop {
            read_frame(stream, &mut frame, shared.max_frame)?;
            let payload = frames.open(&frame)?;
            let sender = frames.sender();
            lock(&shared.senders).observe(sender, shared.now())?;
            shared.counters.record_received(kind, LENGTH_BYTES + frame.len());
            match decode_message(payload, shared.max_frame) {
                Ok(message) => {
                    let from = sender.host.clone();
                    inbox(Envelope { from, incarnation: sender.incarnation, message });
                }
                Err(error) => self.count(error.into(), &error),
            }
        }
    }

    /// Counts the error that ended the connection, unless it was closed or failed.
    fn report(&self, error: ReadError, in_handshake: bool) {
        match error {
            ReadError::Frame(error) => self.count(error.into(), &error),
            ReadError::Io(error) if in_handshake && error.kind() == ErrorKind::TimedOut => {
                self.count(DropCause::HelloTimeout, &error);
            }
            ReadError::Io(_) => {}
        }
    }

    /// Counts a drop, and logs it if the count is a power of two, to limit the log's volume.
    fn count(&self, cause: DropCause, error: &dyn std::error::Error) {
        let shared = &self.inbound.shared;
        let count = shared.counters.record_drop(cause);
        if count.is_power_of_two() {
            warn!(shared.log, "dropped data from a peer";
                "cause" => cause.as_str(), "count" => count, "error" => %error);
        }
    }

    /// Closes the connection; the second handle, kept for `stop`, would otherwise hold it open.
    fn remove_connection(&self) {
        let removed = lock(&self.inbound.connections).open.remove(&self.id);
        if let Some(connection) = removed {
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }
}
