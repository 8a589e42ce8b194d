//! TCP links between entry hosts, with a thread for each duty and bounded rings between them.
//!
//! Each entry host opens two connections to every peer, one for control and one for work, so that
//! heartbeats and leases never wait behind forwarded calls. Frames flow from the opener only.
//! Sending never blocks: a message is refused at once when its link is down or its ring is full.
//! A message that was taken may still be lost with its connection; answers are the sender's only
//! proof of arrival.

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

use counters::Tally;
use inbound::Acceptor;
use outbound::Outbound;

/// The most bytes that a frame has beside its payload.
const FRAME_OVERHEAD: usize = 512;

/// What the links need to know of this entry host.
#[derive(Debug, Clone)]
pub struct PeerLinksSettings {
    /// Where peers connect to.
    pub listen: SocketAddr,
    /// This entry host's published name.
    pub host: HostName,
    /// This process's incarnation.
    pub incarnation: Incarnation,
    /// The key that all entry hosts share.
    pub key: [u8; 32],
    /// The longest frame that is sent or received, in bytes.
    pub max_frame: usize,
    /// How many messages wait on each link at most.
    pub ring_size: usize,
}

/// Why a message was not taken; it was not and will not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerSendError {
    /// The host is not among the peers.
    UnknownPeer,
    /// There is no connection to the peer now.
    NotConnected,
    /// Too many messages or bytes wait on the link already.
    RingFull,
    /// The message is longer than a frame may be.
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

/// What all threads of the links share.
struct Shared {
    key: FleetKey,
    sender: Sender,
    max_frame: usize,
    ring_size: usize,
    started: Instant,
    senders: Mutex<SenderTable>,
    tally: Tally,
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
    /// Listens for peers and hands every message that proves its sender to `inbox`.
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
            tally: Tally::default(),
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

    /// Takes `published` as the peers: connects to new ones and closes links to others.
    ///
    /// This host itself may be among them and is left out. A peer whose name is its own address,
    /// as text, is one whose name is not known yet; while there is one, messages are taken from
    /// any host that has the fleet's key, and else from the named hosts only. An error is that of a
    /// thread that could not be started; the other peers are taken.
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
            match self.keep_or_open(kept, published) {
                Ok(peer) => drop(peers.insert(published.host.clone(), peer)),
                Err(error) => result = Err(error),
            }
        }
        drop(peers);
        old.into_values().for_each(|peer| self.retire(peer));
        result
    }

    /// Sends `message` to `host` without blocking, or refuses it.
    pub fn send(&self, host: &HostName, message: &PeerMessage) -> Result<(), PeerSendError> {
        let result = self.try_send(host, message);
        if let Err(refused) = result {
            self.shared.tally.drop(refused.into());
        }
        result
    }

    /// Tells whether both links to `host` are up.
    pub fn is_connected(&self, host: &HostName) -> bool {
        self.is_link_up(host, LinkKind::Control) && self.is_link_up(host, LinkKind::Work)
    }

    /// Tells whether the link of `kind` to `host` is up.
    pub fn is_link_up(&self, host: &HostName, kind: LinkKind) -> bool {
        let peers = self.peers.read().unwrap_or_else(PoisonError::into_inner);
        peers.get(host).is_some_and(|peer| peer.link(kind).is_up())
    }

    /// Returns what went over the links and what was dropped since the start.
    pub fn counters(&self) -> PeerCounters {
        self.shared.tally.read()
    }

    /// Sends what waits on the links, closes them and ends their threads.
    pub fn stop(self) {
        let peers = self.peers.into_inner().unwrap_or_else(PoisonError::into_inner);
        let mut threads = self.retired.into_inner().unwrap_or_else(PoisonError::into_inner);
        for peer in peers.into_values() {
            threads.push(peer.control.close());
            threads.push(peer.work.close());
        }
        for thread in threads {
            // A panic in a link's thread is a broken invariant that was reported by then.
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

    fn keep_or_open(&self, kept: Option<Peer>, published: &PeerAddr) -> io::Result<Peer> {
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

    /// Closes the links to a former peer and leaves their threads to end by themselves.
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

/// Tells whether the name of `peer` is known, and not only its address.
fn is_named(peer: &PeerAddr) -> bool {
    peer.host.as_str() != peer.addr.to_string()
}

/// Locks `mutex`; what it guards is whole between any two statements, also after a panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn wall_time() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
