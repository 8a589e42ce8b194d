//! The other entry hosts: who they are, and what they said last.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::state::Moment;
use crate::state::ServerLoad;
use crate::state::ZoneName;
use crate::state::short_digest;

/// How long a peer counts as live without a message.
const PEER_LIFE: Duration = Duration::from_millis(1_500);
/// How long a silent peer is still sent messages, so that a cut that heals is noticed.
const PEER_MEMORY: Duration = Duration::from_secs(60);
/// The messages of this host whose time of sending is remembered.
const SENT_MEMORY: usize = 256;
/// How many messages there are for one that names all hosts that were heard.
const ALL_KNOWN_EACH: u64 = 17;
/// The shortest pause between two summaries to the peers of this host's zone: a constant part and one
/// for each of them, so that the datagrams that a host gets in a second do not grow with their number.
const NEAR_PAUSE: Duration = Duration::from_millis(4);
const NEAR_PAUSE_EACH: Duration = Duration::from_millis(3);
/// The shortest pause between two summaries to all others, for each of them. What crosses zones is
/// dear, and short prompts seldom do.
const FAR_PAUSE_EACH: Duration = Duration::from_millis(10);
/// The longest pause between two summaries to any peer.
const PAUSE_MAX: Duration = Duration::from_millis(400);
/// The most peers that are remembered.
const MAX_PEERS: usize = 1_000;

/// Says that a host was heard, and up to which of its messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostAck {
    /// Its address.
    pub address: Ipv4Addr,
    /// Which start of it.
    pub incarnation: u64,
    /// The last of its messages that was heard.
    pub sequence: u64,
}

/// What one entry host tells the others.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerSummary {
    /// Which start of which host.
    pub incarnation: u64,
    /// Stands for its availability zone.
    pub zone: u32,
    /// Counts the messages of this start, so that an overtaken one is dropped.
    pub sequence: u64,
    /// The version of its configuration; 0 if it has none.
    pub version: u64,
    /// How long before this message that version was surely the newest.
    pub age: Option<Duration>,
    /// Whether it may judge requests by that configuration.
    pub is_usable: bool,
    /// The newest change of the list of servers that it knows of.
    pub servers_change: u64,
    /// The reading time of the prompts that wait at it.
    pub queued: Duration,
    /// The seconds of engines' reading that its requests take in a second.
    pub demand: f64,
    /// The entry hosts that it has heard lately.
    pub known: Vec<HostAck>,
    /// What it has at each server.
    pub loads: Vec<(u32, ServerLoad)>,
}

impl PeerSummary {
    /// Returns the summary for the peer at `address`: it needs no more than the echo of its own
    /// messages, but now and then hears of all other hosts.
    pub fn for_peer(&self, address: Ipv4Addr) -> PeerSummary {
        let mut summary = self.clone();
        if !self.sequence.is_multiple_of(ALL_KNOWN_EACH) {
            summary.known.retain(|heard| heard.address == address);
        }
        summary
    }
}

/// A summary with the address that it came from.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedSummary {
    /// The peer's address.
    pub from: Ipv4Addr,
    /// What it told.
    pub summary: PeerSummary,
}

/// Which peers a summary goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SummaryScope {
    /// Those of this host's zone, and the others when their pause is over.
    Due,
    /// All, for what they must know at once.
    All,
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    incarnation: u64,
    zone: u32,
    sequence: u64,
    heard: Moment,
    is_usable: bool,
    version: u64,
    servers_change: u64,
    queued: Duration,
    demand: f64,
}

/// The other entry hosts.
#[derive(Debug)]
pub struct Peers {
    incarnation: u64,
    zone: u32,
    sequence: u64,
    /// When a summary went to all peers.
    told_all: Option<Moment>,
    /// When the latest messages were sent, the oldest first.
    sent: VecDeque<(u64, Moment)>,
    own: Option<Ipv4Addr>,
    seeds: Vec<Ipv4Addr>,
    told: HashMap<Ipv4Addr, Moment>,
    peers: HashMap<Ipv4Addr, Peer>,
}

impl Peers {
    pub(crate) fn new(incarnation: u64, zone: &ZoneName) -> Peers {
        Peers {
            incarnation,
            zone: short_digest(&[zone.as_str().as_bytes()]),
            sequence: 0,
            told_all: None,
            sent: VecDeque::new(),
            own: None,
            seeds: Vec::new(),
            told: HashMap::new(),
            peers: HashMap::new(),
        }
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(crate) fn zone(&self) -> u32 {
        self.zone
    }

    pub(crate) fn set_seeds(&mut self, own: Ipv4Addr, seeds: Vec<Ipv4Addr>) {
        self.own = Some(own);
        self.seeds = seeds;
    }

    /// Begins a new message; returns its number and the hosts that were heard lately.
    pub(crate) fn begin_message(&mut self, now: Moment) -> (u64, Vec<HostAck>) {
        self.sequence += 1;
        self.sent.push_back((self.sequence, now));
        if self.sent.len() > SENT_MEMORY {
            self.sent.pop_front();
        }
        let live = self.peers.iter().filter(|(_, peer)| now.since(peer.heard) <= PEER_LIFE);
        let known = live.map(|(address, peer)| HostAck {
            address: *address,
            incarnation: peer.incarnation,
            sequence: peer.sequence,
        });
        (self.sequence, known.collect())
    }

    /// Returns the time at or after which `summary` was sent: when this host sent the message that
    /// the peer had heard by then. It bounds the age of what the peer says, however long its
    /// message was on the way.
    pub(crate) fn sent_after(&self, summary: &PeerSummary) -> Option<Moment> {
        let own = self.own?;
        let echo = summary
            .known
            .iter()
            .find(|heard| heard.address == own && heard.incarnation == self.incarnation)?;
        let sent = self.sent.iter().find(|(sequence, _)| *sequence == echo.sequence)?;
        Some(sent.1)
    }

    pub(crate) fn hear(&mut self, now: Moment, heard: ReceivedSummary) -> bool {
        let summary = heard.summary;
        let before = self.peers.get(&heard.from);
        let is_overtaken = before.is_some_and(|peer| {
            peer.incarnation == summary.incarnation && peer.sequence >= summary.sequence
        });
        if is_overtaken {
            return false;
        }
        let is_new = before.is_none_or(|peer| now.since(peer.heard) > PEER_LIFE);
        if is_new {
            self.peers.retain(|_, peer| now.since(peer.heard) <= PEER_MEMORY);
            self.told.retain(|_, at| now.since(*at) <= PEER_MEMORY);
        }
        for heard in &summary.known {
            if Some(heard.address) != self.own && self.told.len() < MAX_PEERS {
                self.told.insert(heard.address, now);
            }
        }
        let peer = Peer {
            incarnation: summary.incarnation,
            zone: summary.zone,
            sequence: summary.sequence,
            heard: now,
            is_usable: summary.is_usable,
            version: summary.version,
            servers_change: summary.servers_change,
            queued: summary.queued,
            demand: summary.demand,
        };
        if self.peers.len() < MAX_PEERS || self.peers.contains_key(&heard.from) {
            self.peers.insert(heard.from, peer);
        }
        is_new
    }

    pub(crate) fn addresses(&self, now: Moment) -> Vec<Ipv4Addr> {
        let heard = self.peers.iter().map(|(address, peer)| (*address, peer.heard));
        let told = self.told.iter().map(|(address, at)| (*address, *at));
        let recent = heard
            .chain(told)
            .filter(|(_, at)| now.since(*at) <= PEER_MEMORY)
            .map(|(address, _)| address);
        let mut addresses: Vec<Ipv4Addr> = self.seeds.iter().copied().chain(recent).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| Some(*address) != self.own);
        addresses
    }

    /// Returns the addresses that a summary goes to now.
    pub(crate) fn summary_addresses(&mut self, now: Moment, reach: SummaryScope) -> Vec<Ipv4Addr> {
        let mut addresses = self.addresses(now);
        let far = addresses.iter().filter(|address| !self.is_near(now, address)).count() as u32;
        let pause = (FAR_PAUSE_EACH * far).min(PAUSE_MAX);
        let is_due = self.told_all.is_none_or(|told| now.since(told) >= pause);
        if is_due || reach == SummaryScope::All {
            self.told_all = Some(now);
        } else {
            addresses.retain(|address| self.is_near(now, address));
        }
        addresses
    }

    /// Returns the shortest and the longest pause until the next summary.
    pub(crate) fn summary_interval(&self, now: Moment) -> (Duration, Duration) {
        let near = self.live(now).filter(|peer| peer.zone == self.zone).count() as u32;
        ((NEAR_PAUSE + NEAR_PAUSE_EACH * near).min(PAUSE_MAX), PAUSE_MAX)
    }

    fn is_near(&self, now: Moment, address: &Ipv4Addr) -> bool {
        self.peers
            .get(address)
            .is_some_and(|peer| peer.zone == self.zone && now.since(peer.heard) <= PEER_LIFE)
    }

    pub(crate) fn any_usable(&self, now: Moment) -> bool {
        self.live(now).any(|peer| peer.is_usable)
    }

    pub(crate) fn live_count(&self, now: Moment) -> usize {
        self.live(now).count()
    }

    pub(crate) fn queued(&self, now: Moment) -> Duration {
        self.live(now).map(|peer| peer.queued).sum()
    }

    pub(crate) fn demand(&self, now: Moment) -> f64 {
        self.live(now).map(|peer| peer.demand).sum()
    }

    /// Returns the newest version that a live peer has.
    pub(crate) fn newest_version(&self, now: Moment) -> u64 {
        self.live(now).map(|peer| peer.version).max().unwrap_or(0)
    }

    /// Returns the newest change of the list of servers that a live peer knows of.
    pub(crate) fn newest_change(&self, now: Moment) -> u64 {
        self.live(now).map(|peer| peer.servers_change).max().unwrap_or(0)
    }

    /// Returns whether no live peer comes before this host in the order that all hosts share.
    pub(crate) fn is_first(&self, now: Moment) -> bool {
        !self.live(now).any(|peer| peer.incarnation < self.incarnation)
    }

    /// Returns how many live peers that can read the store come before this host, in an order that
    /// all hosts share.
    pub(crate) fn rank(&self, now: Moment) -> usize {
        self.live(now).filter(|peer| peer.is_usable && peer.incarnation < self.incarnation).count()
    }

    fn live(&self, now: Moment) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| now.since(peer.heard) <= PEER_LIFE)
    }
}
