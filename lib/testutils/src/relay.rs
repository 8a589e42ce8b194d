//! A TCP relay on loopback between two processes, for tests that cut, delay and restore the link.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::server::lock;

/// Read buffer size, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1_024;

/// Maximum number of reads buffered in one direction of a connection.
const MAX_BUFFERED_READS: usize = 64;

/// The state of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Link {
    /// Whether bytes from the connecting side are blocked.
    pub forth_cut: bool,
    /// Whether bytes to the connecting side are blocked.
    pub back_cut: bool,
    /// The one-way latency.
    pub delay: Duration,
}

/// A direction of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forth,
    Back,
}

impl Link {
    fn is_cut(&self, direction: Direction) -> bool {
        match direction {
            Direction::Forth => self.forth_cut,
            Direction::Back => self.back_cut,
        }
    }
}

/// A relay from its own address to a target.
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    target: SocketAddr,
    link: watch::Sender<Link>,
    connections: Arc<Mutex<Vec<AbortHandle>>>,
    listening: Mutex<Option<AbortHandle>>,
}

impl Relay {
    /// Listens on a free port of the loopback address and relays connections to `target`.
    pub async fn start(target: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let relay = Relay {
            addr: listener.local_addr()?,
            target,
            link: watch::Sender::new(Link::default()),
            connections: Arc::default(),
            listening: Mutex::default(),
        };
        relay.spawn_accept(listener);
        Ok(relay)
    }

    /// Returns the address at which the relay listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the state of the link, for open connections too.
    ///
    /// Blocked bytes are delivered once the link is restored, as after a lost route.
    pub fn set_link(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Returns the state of the link.
    pub fn link(&self) -> Link {
        *self.link.borrow()
    }

    /// Cuts the link in both directions.
    pub fn cut(&self) {
        self.link.send_modify(|link| {
            link.forth_cut = true;
            link.back_cut = true;
        });
    }

    /// Restores the link and removes the delay.
    pub fn heal(&self) {
        self.set_link(Link::default());
    }

    /// Closes all open connections.
    pub fn drop_connections(&self) {
        for connection in lock(&self.connections).drain(..) {
            connection.abort();
        }
    }

    /// Closes all connections and refuses new ones until `listen` is called.
    pub fn refuse(&self) {
        if let Some(task) = lock(&self.listening).take() {
            task.abort();
        }
        self.drop_connections();
    }

    /// Listens again on the same address.
    pub async fn listen(&self) -> io::Result<()> {
        if lock(&self.listening).is_some() {
            return Ok(());
        }
        // The old listener's socket closes only when its aborted task is dropped, so bind may fail
        // at first.
        let mut tries = 0;
        let listener = loop {
            match TcpListener::bind(self.addr).await {
                Ok(listener) => break listener,
                Err(error) if tries == MAX_BIND_RETRIES => return Err(error),
                Err(_) => tokio::time::sleep(BIND_RETRY_DELAY).await,
            }
            tries += 1;
        };
        self.spawn_accept(listener);
        Ok(())
    }

    fn spawn_accept(&self, listener: TcpListener) {
        let target = self.target;
        let link = self.link.subscribe();
        let connections = self.connections.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let task = tokio::spawn(relay(stream, target, link.clone()));
                let mut open = lock(&connections);
                open.retain(|connection| !connection.is_finished());
                open.push(task.abort_handle());
            }
        });
        *lock(&self.listening) = Some(task.abort_handle());
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.refuse();
    }
}

/// Maximum number of bind retries.
const MAX_BIND_RETRIES: u32 = 100;

/// Delay between bind retries.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Relays one connection until either side closes it.
async fn relay(
    source: TcpStream,
    target: SocketAddr,
    mut link: watch::Receiver<Link>,
) -> io::Result<()> {
    // A cut link also blocks new connections.
    wait_open(&mut link, Direction::Forth).await?;
    let target = TcpStream::connect(target).await?;
    source.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let (source_read, source_write) = source.into_split();
    let (target_read, target_write) = target.into_split();
    let forth = copy_direction(source_read, target_write, link.clone(), Direction::Forth);
    let back = copy_direction(target_read, source_write, link, Direction::Back);
    tokio::try_join!(forth, back)?;
    Ok(())
}

/// Bytes in transit, with their delivery time.
struct Chunk {
    due: Instant,
    bytes: Bytes,
}

/// Copies one direction of a connection, applying cuts and delays.
async fn copy_direction(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    link: watch::Receiver<Link>,
    direction: Direction,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_READS);
    let reading = read_chunks(from, sender, link.clone());
    let writing = write_chunks(to, receiver, link, direction);
    tokio::try_join!(reading, writing)?;
    Ok(())
}

async fn read_chunks(
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
    link: watch::Receiver<Link>,
) -> io::Result<()> {
    let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
    loop {
        buffer.reserve(READ_BUFFER_BYTES);
        if from.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
        let due = Instant::now() + link.borrow().delay;
        let chunk = Chunk { due, bytes: buffer.split().freeze() };
        if sender.send(chunk).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Chunk>,
    mut link: watch::Receiver<Link>,
    direction: Direction,
) -> io::Result<()> {
    while let Some(chunk) = receiver.recv().await {
        if chunk.due > Instant::now() {
            tokio::time::sleep_until(chunk.due).await;
        }
        wait_open(&mut link, direction).await?;
        to.write_all(&chunk.bytes).await?;
    }
    wait_open(&mut link, direction).await?;
    to.shutdown().await
}

/// Waits until the link is open in `direction`.
async fn wait_open(link: &mut watch::Receiver<Link>, direction: Direction) -> io::Result<()> {
    let open = link.wait_for(|link| !link.is_cut(direction)).await;
    open.map(|_| ()).map_err(|_| io::ErrorKind::ConnectionAborted.into())
}
