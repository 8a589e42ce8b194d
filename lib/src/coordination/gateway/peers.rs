//! The other entry hosts: their addresses and the last summary of each.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::state::Moment;
use crate::state::ServerLoad;
use crate::state::SourcePoint;
use crate::state::ZoneName;
use crate::state::short_digest;

/// How long a peer counts as live without a message.
const PEER_TTL: Duration = Duration::from_millis(1_500);
/// How long a silent peer is still sent messages, so that the end of a network partition is
/// noticed.
const PEER_RETENTION: Duration = Duration::from_secs(60);
/// The number of this host's messages whose send times are kept.
const SENT_HISTORY: usize = 256;
/// One in this many messages to a peer lists all live hosts; the others list only that peer.
const FULL_KNOWN_PERIOD: u64 = 17;
/// The shortest interval between two summaries to the peers of this host's zone: a constant plus a
/// part per peer, so that the datagrams that a host receives per second do not grow with the number
/// of peers.
const ZONE_INTERVAL: Duration = Duration::from_millis(4);
const ZONE_INTERVAL_PER_PEER: Duration = Duration::from_millis(3);
/// The shortest interval between two summaries to the peers of other zones, per such peer. Traffic
/// between zones is expensive, and short prompts are seldom sent to another zone.
const CROSS_ZONE_INTERVAL_PER_PEER: Duration = Duration::from_millis(10);
/// The longest interval between two summaries to any peer.
const MAX_SUMMARY_INTERVAL: Duration = Duration::from_millis(400);
/// How long a starting host waits for its seeds before it reads the configuration: a live peer sends
/// a summary within [`MAX_SUMMARY_INTERVAL`].
const START_WAIT: Duration = Duration::from_millis(500);
/// The maximum number of peers that are stored.
const MAX_PEERS: usize = 1_000;

/// Acknowledges the messages of a host up to a sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostAck {
    /// The address of the acknowledged host.
    pub address: Ipv4Addr,
    /// The start of that host, which changes when it restarts.
    pub incarnation: u64,
    /// The sequence number of the last message received from it.
    pub sequence: u64,
}

/// The state that one entry host sends to the others.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerSummary {
    /// Identifies this start of the sending host.
    pub incarnation: u64,
    /// The digest of its availability zone's name.
    pub zone: u32,
    /// The number of this message since the start, by which a reordered message is dropped.
    pub sequence: u64,
    /// The version of its configuration; 0 if it has none.
    pub version: u64,
    /// How long before this message that version was last verified to be the newest.
    pub age: Option<Duration>,
    /// Whether it may admit requests by that configuration.
    pub is_usable: bool,
    /// The newest server list change that it knows of, in the newest era that it knows of.
    pub servers_change: SourcePoint,
    /// The summed prefill time of its queued requests.
    pub queued: Duration,
    /// The seconds of engine prefill that it starts per second.
    pub demand: f64,
    /// The entry hosts that it received messages from recently.
    pub known: Vec<HostAck>,
    /// The load that it causes at each server, by server digest.
    pub loads: Vec<(u32, ServerLoad)>,
}

impl PeerSummary {
    /// Returns the summary for the peer at `address`. The peer needs only the acknowledgement of
    /// its own messages; one message in `FULL_KNOWN_PERIOD` lists all other hosts as well.
    pub fn for_peer(&self, address: Ipv4Addr) -> PeerSummary {
        let mut summary = self.clone();
        if !self.sequence.is_multiple_of(FULL_KNOWN_PERIOD) {
            summary.known.retain(|ack| ack.address == address);
        }
        summary
    }
}

/// A summary with the address that it was received from.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedSummary {
    /// The sender's address.
    pub from: Ipv4Addr,
    pub summary: PeerSummary,
}

/// Which peers a summary goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SummaryScope {
    /// Those of this host's zone, and the others when their interval has elapsed.
    Due,
    /// All peers, for news that they need at once.
    All,
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    incarnation: u64,
    zone: u32,
    sequence: u64,
    last_heard: Moment,
    is_usable: bool,
    version: u64,
    /// When this host first received that version from it.
    version_since: Moment,
    servers_change: SourcePoint,
    queued: Duration,
    demand: f64,
}

/// The other entry hosts, and the sequence of messages to them.
#[derive(Debug)]
pub struct Peers {
    incarnation: u64,
    zone: u32,
    sequence: u64,
    /// When a summary was last sent to all peers.
    last_broadcast: Option<Moment>,
    /// When the first summary was sent.
    first_sent: Option<Moment>,
    /// The sequence numbers and send times of the latest messages, oldest first.
    sent: VecDeque<(u64, Moment)>,
    own_address: Option<Ipv4Addr>,
    seeds: Vec<Ipv4Addr>,
    /// The addresses learned from peers, with the time of the latest mention.
    learned: HashMap<Ipv4Addr, Moment>,
    peers: HashMap<Ipv4Addr, Peer>,
}

impl Peers {
    pub(crate) fn new(incarnation: u64, zone: &ZoneName) -> Peers {
        Peers {
            incarnation,
            zone: short_digest(&[zone.as_str().as_bytes()]),
            sequence: 0,
            last_broadcast: None,
            first_sent: None,
            sent: VecDeque::new(),
            own_address: None,
            seeds: Vec::new(),
            learned: HashMap::new(),
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
        self.own_address = Some(own);
        self.seeds = seeds;
    }

    /// Starts a new message; returns its sequence number and the acknowledgements of all live
    /// hosts.
    pub(crate) fn begin_message(&mut self, now: Moment) -> (u64, Vec<HostAck>) {
        self.sequence += 1;
        self.first_sent.get_or_insert(now);
        self.sent.push_back((self.sequence, now));
        if self.sent.len() > SENT_HISTORY {
            self.sent.pop_front();
        }
        let live = self.peers.iter().filter(|(_, peer)| now.since(peer.last_heard) <= PEER_TTL);
        let known = live.map(|(address, peer)| HostAck {
            address: *address,
            incarnation: peer.incarnation,
            sequence: peer.sequence,
        });
        (self.sequence, known.collect())
    }

    /// Returns a lower bound of the time at which `summary` was sent: when this host sent the
    /// message that the summary acknowledges. It bounds the age of the summary's contents, however
    /// long the summary was in transit.
    pub(crate) fn sent_after(&self, summary: &PeerSummary) -> Option<Moment> {
        let own = self.own_address?;
        let ack = summary
            .known
            .iter()
            .find(|ack| ack.address == own && ack.incarnation == self.incarnation)?;
        let sent = self.sent.iter().find(|(sequence, _)| *sequence == ack.sequence)?;
        Some(sent.1)
    }

    pub(crate) fn apply_summary(&mut self, now: Moment, received: ReceivedSummary) -> bool {
        let summary = received.summary;
        let before = self.peers.get(&received.from);
        let is_stale = before.is_some_and(|peer| {
            peer.incarnation == summary.incarnation && peer.sequence >= summary.sequence
        });
        if is_stale {
            return false;
        }
        let version_since = before
            .filter(|peer| peer.version == summary.version)
            .map_or(now, |peer| peer.version_since);
        let is_new = before.is_none_or(|peer| now.since(peer.last_heard) > PEER_TTL);
        if is_new {
            self.peers.retain(|_, peer| now.since(peer.last_heard) <= PEER_RETENTION);
            self.learned.retain(|_, at| now.since(*at) <= PEER_RETENTION);
        }
        for ack in &summary.known {
            if Some(ack.address) != self.own_address && self.learned.len() < MAX_PEERS {
                self.learned.insert(ack.address, now);
            }
        }
        let peer = Peer {
            incarnation: summary.incarnation,
            zone: summary.zone,
            sequence: summary.sequence,
            last_heard: now,
            is_usable: summary.is_usable,
            version: summary.version,
            version_since,
            servers_change: summary.servers_change,
            queued: summary.queued,
            demand: summary.demand,
        };
        if self.peers.len() < MAX_PEERS || self.peers.contains_key(&received.from) {
            self.peers.insert(received.from, peer);
        }
        is_new
    }

    pub(crate) fn addresses(&self, now: Moment) -> Vec<Ipv4Addr> {
        let heard = self.peers.iter().map(|(address, peer)| (*address, peer.last_heard));
        let learned = self.learned.iter().map(|(address, at)| (*address, *at));
        let recent = heard
            .chain(learned)
            .filter(|(_, at)| now.since(*at) <= PEER_RETENTION)
            .map(|(address, _)| address);
        let mut addresses: Vec<Ipv4Addr> = self.seeds.iter().copied().chain(recent).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| Some(*address) != self.own_address);
        addresses
    }

    /// Returns the addresses to send a summary to now.
    pub(crate) fn summary_addresses(&mut self, now: Moment, scope: SummaryScope) -> Vec<Ipv4Addr> {
        let mut addresses = self.addresses(now);
        let far =
            addresses.iter().filter(|address| !self.is_zone_peer(now, address)).count() as u32;
        let interval = (CROSS_ZONE_INTERVAL_PER_PEER * far).min(MAX_SUMMARY_INTERVAL);
        let is_due = self.last_broadcast.is_none_or(|at| now.since(at) >= interval);
        if is_due || scope == SummaryScope::All {
            self.last_broadcast = Some(now);
        } else {
            addresses.retain(|address| self.is_zone_peer(now, address));
        }
        addresses
    }

    /// Returns the shortest and the longest interval until the next summary.
    pub(crate) fn summary_interval(&self, now: Moment) -> (Duration, Duration) {
        let near = self.live(now).filter(|peer| peer.zone == self.zone).count() as u32;
        (
            (ZONE_INTERVAL + ZONE_INTERVAL_PER_PEER * near).min(MAX_SUMMARY_INTERVAL),
            MAX_SUMMARY_INTERVAL,
        )
    }

    fn is_zone_peer(&self, now: Moment, address: &Ipv4Addr) -> bool {
        self.peers
            .get(address)
            .is_some_and(|peer| peer.zone == self.zone && now.since(peer.last_heard) <= PEER_TTL)
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

    /// Returns the newest configuration version that a live peer has.
    pub(crate) fn newest_version(&self, now: Moment) -> u64 {
        self.live(now).map(|peer| peer.version).max().unwrap_or(0)
    }

    /// Returns the newest configuration version that a live peer was known to have at `at`.
    pub(crate) fn newest_version_at(&self, at: Moment) -> u64 {
        let known = self.live(at).filter(|peer| peer.version_since <= at);
        known.map(|peer| peer.version).max().unwrap_or(0)
    }

    /// Returns the newest server list change that a live peer knows of.
    pub(crate) fn newest_server_change(&self, now: Moment) -> SourcePoint {
        self.live(now).map(|peer| peer.servers_change).max().unwrap_or_default()
    }

    /// Returns how long a starting host still waits for the first summaries of its seeds.
    pub(crate) fn start_wait(&self, now: Moment) -> Duration {
        let is_known =
            |seed: &Ipv4Addr| Some(*seed) == self.own_address || self.peers.contains_key(seed);
        if self.seeds.iter().all(is_known) {
            return Duration::ZERO;
        }
        self.first_sent.map_or(START_WAIT, |at| (at + START_WAIT).since(now))
    }

    /// Returns whether this host is first in the order that all hosts share, among the live ones.
    pub(crate) fn is_first(&self, now: Moment) -> bool {
        !self.live(now).any(|peer| peer.incarnation < self.incarnation)
    }

    /// Returns how many live peers with a usable configuration come before this host in the order
    /// that all hosts share.
    pub(crate) fn rank(&self, now: Moment) -> usize {
        self.live(now).filter(|peer| peer.is_usable && peer.incarnation < self.incarnation).count()
    }

    fn live(&self, now: Moment) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| now.since(peer.last_heard) <= PEER_TTL)
    }
}
