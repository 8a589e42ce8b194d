//! TCP links between entry hosts, with a thread for each connection and a ring (bounded queue) for each
//! outgoing link.
//!
//! Each entry host opens two connections to every peer, one for control and one for work, so that
//! heartbeats and leases never wait behind forwarded calls. Frames flow from the opener only.
//! Sending never blocks: a message is refused at once when its link is down or its ring is full.
//! A message that was queued may still be lost if its connection fails; only a response proves to the
//! sender that it arrived.

mod counters;
mod inbound;
mod outbound;
mod stream;

pub use counters::*;

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::thread::JoinHandle;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use slog::Logger;
use slog::info;

use crate::coordination::Envelope;
use crate::coordination::PeerAddr;
use crate::coordination::PeerMessage;
use crate::protocol::FleetKey;
use crate::protocol::LinkKind;
use crate::protocol::Sender;
use crate::protocol::SenderTable;
use crate::protocol::encode_message;
use crate::state::HostName;
use crate::state::Incarnation;
use crate::state::Moment;
use crate::state::WallTime;

use counters::SharedCounters;
use inbound::Acceptor;
use outbound::Outbound;

/// The maximum overhead of a frame in addition to its payload, in bytes.
const FRAME_OVERHEAD: usize = 512;

/// Settings of the peer links.
#[derive(Debug, Clone)]
pub struct PeerLinksSettings {
    /// The address on which to listen for peers.
    pub listen: SocketAddr,
    /// This entry host's published name.
    pub host: HostName,
    /// This process's incarnation.
    pub incarnation: Incarnation,
    /// The key that all entry hosts share.
    pub key: [u8; 32],
    /// The longest frame that is sent or received, in bytes.
    pub max_frame: usize,
    /// The maximum number of queued messages on each link.
    pub ring_size: usize,
}

/// Why a message was refused; it was not sent and will not be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerSendError {
    /// The host is not among the peers.
    UnknownPeer,
    /// There is currently no connection to the peer.
    NotConnected,
    /// Too many messages or bytes are queued on the link.
    RingFull,
    /// The message does not fit a frame of the maximum length.
    TooLong,
}

impl fmt::Display for PeerSendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PeerSendError::UnknownPeer => "the host is not a peer",
            PeerSendError::NotConnected => "there is no connection to the peer",
            PeerSendError::RingFull => "the link's ring is full",
            PeerSendError::TooLong => "the message is longer than a frame may be",
        })
    }
}

impl std::error::Error for PeerSendError {}

/// State that the threads of all links share.
struct Shared {
    key: FleetKey,
    sender: Sender,
    max_frame: usize,
    ring_size: usize,
    started: Instant,
    senders: Mutex<SenderTable>,
    counters: SharedCounters,
    log: Logger,
}

impl Shared {
    fn now(&self) -> Moment {
        let micros = self.started.elapsed().as_micros();
        Moment(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// The links of one entry host to its peers.
///
/// ```
/// use wasabicrank_lib::state::{HostName, Incarnation};
/// use wasabicrank_lib::transport::{PeerLinks, PeerLinksSettings};
/// let settings = PeerLinksSettings {
///     listen: "127.0.0.1:0".parse().unwrap(),
///     host: HostName::new("entry-1"),
///     incarnation: Incarnation(1),
///     key: [7; 32],
///     max_frame: 1 << 20,
///     ring_size: 256,
/// };
/// let log = slog::Logger::root(slog::Discard, slog::o!());
/// let links = PeerLinks::start(settings, |envelope| println!("{envelope:?}"), log).unwrap();
/// assert_ne!(links.local_addr().port(), 0);
/// links.stop();
/// ```
pub struct PeerLinks {
    shared: Arc<Shared>,
    acceptor: Acceptor,
    local: SocketAddr,
    peers: RwLock<HashMap<HostName, Peer>>,
    retired: Mutex<Vec<JoinHandle<()>>>,
}

struct Peer {
    addr: SocketAddr,
    control: Outbound,
    work: Outbound,
}

impl Peer {
    fn link(&self, kind: LinkKind) -> &Outbound {
        match kind {
            LinkKind::Control => &self.control,
            LinkKind::Work => &self.work,
        }
    }
}

impl PeerLinks {
    /// Listens for peers and passes every message from an authenticated sender to `inbox`.
    ///
    /// `inbox` is called from one thread for each connection and should not block: while it does,
    /// that connection is not read.
    pub fn start(
        settings: PeerLinksSettings,
        inbox: impl Fn(Envelope) + Send + Clone + 'static,
        log: Logger,
    ) -> io::Result<PeerLinks> {
        let (host, incarnation) = (settings.host, settings.incarnation);
        let shared = Arc::new(Shared {
            key: FleetKey::new(settings.key),
            sender: Sender { host, incarnation, started: wall_time() },
            max_frame: settings.max_frame,
            ring_size: settings.ring_size,
            started: Instant::now(),
            senders: Mutex::new(SenderTable::default()),
            counters: SharedCounters::default(),
            log,
        });
        let (acceptor, local) = Acceptor::start(settings.listen, shared.clone(), inbox)?;
        info!(shared.log, "listening for peers"; "addr" => %local);
        let (peers, retired) = (RwLock::default(), Mutex::default());
        Ok(PeerLinks { shared, acceptor, local, peers, retired })
    }

    /// Returns the address that peers connect to.
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// Sets the peers to `published`: connects to new peers and closes the links to former ones.
    ///
    /// This host itself may be listed and is ignored. A peer whose name is its own address, as text,
    /// is a peer whose name is not known yet; while there is one, messages are accepted from any host
    /// that has the fleet's key, otherwise only from the named hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if a link's thread could not be started; the other peers are still set.
    pub fn set_peers(&self, published: &[PeerAddr]) -> io::Result<()> {
        let own = &self.shared.sender.host;
        let is_other = |peer: &&PeerAddr| peer.host != *own && peer.addr != self.local;
        let published: Vec<_> = published.iter().filter(is_other).collect();
        if published.iter().all(|peer| is_named(peer)) {
            let known = published.iter().map(|peer| peer.host.clone());
            lock(&self.shared.senders).set_known(known);
        }
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        let mut old = std::mem::take(&mut *peers);
        let mut result = Ok(());
        for published in published {
            let kept = old.remove(&published.host);
            match self.reuse_or_open(kept, published) {
                Ok(peer) => drop(peers.insert(published.host.clone(), peer)),
                Err(error) => result = Err(error),
            }
        }
        drop(peers);
        old.into_values().for_each(|peer| self.retire(peer));
        result
    }

    /// Queues `message` for `host` without blocking, or refuses it.
    pub fn send(&self, host: &HostName, message: &PeerMessage) -> Result<(), PeerSendError> {
        let result = self.try_send(host, message);
        if let Err(send_error) = result {
            self.shared.counters.record_drop(send_error.into());
        }
        result
    }

    /// Returns whether both links to `host` are up.
    pub fn is_connected(&self, host: &HostName) -> bool {
        self.is_link_up(host, LinkKind::Control) && self.is_link_up(host, LinkKind::Work)
    }

    /// Returns whether the link of `kind` to `host` is up.
    pub fn is_link_up(&self, host: &HostName, kind: LinkKind) -> bool {
        let peers = self.peers.read().unwrap_or_else(PoisonError::into_inner);
        peers.get(host).is_some_and(|peer| peer.link(kind).is_up())
    }

    /// Returns the traffic and drops on all links since the start.
    pub fn counters(&self) -> PeerCounters {
        self.shared.counters.snapshot()
    }

    /// Sends the queued messages, closes the links and waits for their threads to end.
    pub fn stop(self) {
        let peers = self.peers.into_inner().unwrap_or_else(PoisonError::into_inner);
        let mut threads = self.retired.into_inner().unwrap_or_else(PoisonError::into_inner);
        for peer in peers.into_values() {
            threads.push(peer.control.close());
            threads.push(peer.work.close());
        }
        for thread in threads {
            // A panic of a link's thread is a broken invariant, which the panic hook has already
            // reported.
            let _ = thread.join();
        }
        self.acceptor.stop();
    }

    fn try_send(&self, host: &HostName, message: &PeerMessage) -> Result<(), PeerSendError> {
        let peers = self.peers.read().unwrap_or_else(PoisonError::into_inner);
        let peer = peers.get(host).ok_or(PeerSendError::UnknownPeer)?;
        let link = peer.link(link_kind(message));
        if !link.is_up() {
            return Err(PeerSendError::NotConnected);
        }
        link.send(encode_message(message).map_err(|_| PeerSendError::TooLong)?)
    }

    fn reuse_or_open(&self, kept: Option<Peer>, published: &PeerAddr) -> io::Result<Peer> {
        if let Some(peer) = kept {
            if peer.addr == published.addr {
                return Ok(peer);
            }
            self.retire(peer);
        }
        let open = |kind| Outbound::open(self.shared.clone(), published.clone(), kind);
        let control = open(LinkKind::Control)?;
        let work = open(LinkKind::Work)?;
        Ok(Peer { addr: published.addr, control, work })
    }

    /// Closes the links to a former peer; their threads end by themselves.
    fn retire(&self, peer: Peer) {
        let mut retired = lock(&self.retired);
        retired.retain(|thread| !thread.is_finished());
        retired.push(peer.control.close());
        retired.push(peer.work.close());
    }
}

/// Returns the link that carries `message`.
///
/// ```
/// use wasabicrank_lib::coordination::{ConfigPull, PeerMessage};
/// use wasabicrank_lib::protocol::LinkKind;
/// use wasabicrank_lib::transport::link_kind;
/// let pull = PeerMessage::ConfigPull(ConfigPull { have: 0, have_hash: 0 });
/// assert_eq!(link_kind(&pull), LinkKind::Control);
/// ```
pub fn link_kind(message: &PeerMessage) -> LinkKind {
    if message.is_control() { LinkKind::Control } else { LinkKind::Work }
}

/// Returns whether the name of `peer` is known, not only its address.
fn is_named(peer: &PeerAddr) -> bool {
    peer.host.as_str() != peer.addr.to_string()
}

/// Locks `mutex`, ignoring poisoning: the guarded data is consistent between any two statements.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn wall_time() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
