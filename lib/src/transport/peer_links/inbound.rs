//! Incoming connections: a thread that accepts, and one for each connection that reads.

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
use super::stream::draw_nonce;
use super::stream::prepare;
use super::stream::read_first;
use super::stream::read_frame;

/// How long a peer may take to say hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// How many connections may wait for their hello at once.
const MAX_PENDING: usize = 64;
/// How often the accepting thread looks whether it is to end.
const ACCEPT_TICK: Duration = Duration::from_millis(100);

/// An open connection, and what it carries once its hello was accepted.
struct Connection {
    stream: TcpStream,
    link: Option<(HostName, LinkKind)>,
    thread: Option<JoinHandle<()>>,
}

/// The open connections; a later one for the same link replaces an earlier one.
#[derive(Default)]
struct Connections {
    next: u64,
    open: HashMap<u64, Connection>,
}

/// What the accepting thread and the reading threads share.
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
    /// Listens at `addr` and returns the address that was bound.
    pub(super) fn start(
        addr: SocketAddr,
        shared: Arc<Shared>,
        inbox: impl Fn(Envelope) + Send + Clone + 'static,
    ) -> io::Result<(Acceptor, SocketAddr)> {
        let listener = TcpListener::bind(addr)?;
        let local = listener.local_addr()?;
        // On a listening socket this is the time limit of `accept`.
        SockRef::from(&listener).set_read_timeout(Some(ACCEPT_TICK))?;
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
        // A panic in one of the threads is a broken invariant that was reported by then.
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
                thread::sleep(ACCEPT_TICK);
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
    if pending >= MAX_PENDING {
        inbound.shared.tally.drop(DropCause::TooManyPending);
        return Ok(());
    }
    connections.next += 1;
    let id = connections.next;
    let handle = stream.try_clone()?;
    let reader = Reader { inbound: inbound.clone(), id };
    // The reader cannot remove its entry before it is there, because the lock is still held.
    let thread = thread::Builder::new().name("peer-in".to_owned()).spawn(move || {
        reader.run(stream, inbox);
        reader.forget();
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
        let (hello, frames) = match self.greet(&mut stream) {
            Ok(greeted) => greeted,
            Err(error) => return self.report(error, true),
        };
        let sender = &hello.sender;
        info!(self.inbound.shared.log, "peer connected";
            "peer" => %sender.host, "incarnation" => %sender.incarnation, "link" => ?hello.kind);
        if let Err(error) = self.read_all(&mut stream, hello.kind, frames, inbox) {
            self.report(error, false);
        }
    }

    /// Challenges the peer, reads its hello and welcomes it.
    fn greet(&self, stream: &mut TcpStream) -> Result<(Hello, FrameReceiver), ReadError> {
        let shared = &self.inbound.shared;
        prepare(stream)?;
        let nonce = draw_nonce()?;
        stream.write_all(&encode_challenge(nonce, &shared.sender.host)?)?;
        let deadline = Instant::now() + HELLO_TIMEOUT;
        let frame = read_first(stream, MAX_HELLO_BYTES, deadline)?;
        let listener = FrameListener::new(&shared.key, &shared.sender.host, nonce);
        let (hello, frames) = listener.accept(&frame)?;
        lock(&shared.senders).hear(&hello.sender, shared.now())?;
        self.take_over(&hello);
        stream.write_all(&frames.welcome(&hello))?;
        Ok((hello, frames))
    }

    /// Notes what this connection carries and closes an earlier one that carried the same.
    fn take_over(&self, hello: &Hello) {
        let link = Some((hello.sender.host.clone(), hello.kind));
        let mut connections = lock(&self.inbound.connections);
        for earlier in connections.open.values().filter(|open| open.link == link) {
            let _ = earlier.stream.shutdown(Shutdown::Both);
        }
        if let Some(own) = connections.open.get_mut(&self.id) {
            own.link = link;
        }
    }

    /// Reads frames until the connection ends or brings something that is not one.
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
            lock(&shared.senders).hear(sender, shared.now())?;
            shared.tally.received(kind, LENGTH_BYTES + frame.len());
            match decode_message(payload, shared.max_frame) {
                Ok(message) => {
                    let from = sender.host.clone();
                    inbox(Envelope { from, incarnation: sender.incarnation, message });
                }
                Err(error) => self.count(error.into(), &error),
            }
        }
    }

    /// Counts what ended the connection, if it was more than its end.
    fn report(&self, error: ReadError, greeting: bool) {
        match error {
            ReadError::Frame(error) => self.count(error.into(), &error),
            ReadError::Io(error) if greeting && error.kind() == ErrorKind::TimedOut => {
                self.count(DropCause::HelloTimeout, &error);
            }
            ReadError::Io(_) => {}
        }
    }

    /// Counts a drop; the log gets the first and then ever fewer of them.
    fn count(&self, cause: DropCause, error: &dyn std::error::Error) {
        let shared = &self.inbound.shared;
        let count = shared.tally.drop(cause);
        if count.is_power_of_two() {
            warn!(shared.log, "dropped what a peer sent";
                "cause" => cause.as_str(), "count" => count, "error" => %error);
        }
    }

    /// Closes the connection for good; the handle kept for stopping would hold it open.
    fn forget(&self) {
        let removed = lock(&self.inbound.connections).open.remove(&self.id);
        if let Some(connection) = removed {
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }
}
