//! The other entry hosts: their addresses and the last summary of each, and who is sent a summary when.

pub(crate) mod seeds;

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::time::Duration;

use super::CellHost;
use super::Cells;
use super::Delegation;
use super::HostAck;
use super::PeerRole;
use super::PeerSummary;
use super::ReceivedSummary;
use super::SummaryTarget;
use super::cells::scatter;
use super::peer_summary::FULL_KNOWN_PERIOD;
use super::peer_summary::MAX_MENTIONS;
use super::peer_summary::MENTION_SAMPLE;
use crate::state::Moment;
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
/// How long it takes until each host of another cell was sent a summary, and how long a host of another
/// cell from which a message came is mentioned to others.
const OUTSIDER_PERIOD: Duration = Duration::from_secs(15);
pub(crate) const MENTION_TTL: Duration = Duration::from_secs(20);
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
/// How many summaries to a host that started or was silent have all reports on crashes; single ones may be
/// lost.
const RETURNED_SUMMARIES: u32 = 3;
/// The maximum number of peers that are stored.
const MAX_PEERS: usize = 4_096;

/// Which peers a summary goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SummaryScope {
    /// Those of this host's zone, and the others when their interval has elapsed.
    Due,
    /// All peers of the cell, for news that they need at once.
    All,
}

#[derive(Debug, Clone)]
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
    /// The servers, by digest, for which it chose this host as the arbiter.
    delegations: Vec<u32>,
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
    cells: Cells,
    /// The hosts that have started and know few others.
    newcomers: Vec<Ipv4Addr>,
    /// The hosts that started or were silent, with the number of summaries to them that still have all
    /// reports on crashes.
    returned: HashMap<Ipv4Addr, u32>,
    /// Until when the share of summaries to other cells that is due has been sent.
    outsiders_sent: Option<Moment>,
    /// The host of another cell that was sent a summary last.
    last_outsider: Option<Ipv4Addr>,
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
            cells: Cells::default(),
            newcomers: Vec::new(),
            returned: HashMap::new(),
            outsiders_sent: None,
            last_outsider: None,
        }
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(crate) fn zone(&self) -> u32 {
        self.zone
    }

    /// Returns whether `address` is this host's own.
    pub(crate) fn is_own(&self, address: Ipv4Addr) -> bool {
        self.own_address.unwrap_or(Ipv4Addr::UNSPECIFIED) == address
    }

    pub(crate) fn set_seeds(&mut self, own: Ipv4Addr, seeds: Vec<Ipv4Addr>) {
        self.own_address = Some(own);
        self.seeds = seeds;
    }

    /// Returns the division of the fleet into cells.
    pub(crate) fn cells(&self) -> &Cells {
        &self.cells
    }

    fn review_cells(&mut self, now: Moment) {
        let Some(own) = self.own_address else { return };
        let mut cells = std::mem::take(&mut self.cells);
        cells.review(now, own, || {
            let is_silent = |address: &Ipv4Addr| {
                self.peers.get(address).is_some_and(|peer| now.since(peer.last_heard) > PEER_TTL)
            };
            let host = |address| CellHost { address, is_silent: is_silent(&address) };
            self.addresses(now).into_iter().map(host).collect()
        });
        self.cells = cells;
    }

    /// Starts a new message; returns its sequence number, the acknowledgements of all live hosts of the
    /// cell, and mentions of hosts of other cells.
    pub(crate) fn begin_message(&mut self, now: Moment) -> (u64, Vec<HostAck>) {
        self.sequence += 1;
        self.first_sent.get_or_insert(now);
        self.sent.push_back((self.sequence, now));
        if self.sent.len() > SENT_HISTORY {
            self.sent.pop_front();
        }
        let live = self.peers.iter().filter(|(_, peer)| now.since(peer.last_heard) <= PEER_TTL);
        let members = live.filter(|(address, _)| self.cells.has_member(address));
        let known = members.map(|(address, peer)| HostAck {
            address: *address,
            incarnation: peer.incarnation,
            sequence: peer.sequence,
        });
        (self.sequence, known.chain(self.mentions(now)).collect())
    }

    /// Mentions hosts of other cells, beginning with different ones in each message.
    fn mentions(&self, now: Moment) -> Vec<HostAck> {
        let outsiders = self.peers.iter().filter(|(address, peer)| {
            !self.cells.has_member(address) && now.since(peer.last_heard) <= MENTION_TTL
        });
        let mut mentions: Vec<HostAck> =
            outsiders.map(|(address, _)| HostAck::mention(*address)).collect();
        if !mentions.is_empty() {
            mentions.sort_unstable_by_key(|mention| mention.address);
            let messages = self.sequence as usize / FULL_KNOWN_PERIOD as usize;
            let first = messages * MENTION_SAMPLE % mentions.len();
            mentions.rotate_left(first);
            mentions.truncate(MAX_MENTIONS);
        }
        mentions
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

    pub(crate) fn apply_summary(
        &mut self,
        now: Moment,
        received: ReceivedSummary,
        delegations: &[Delegation],
    ) -> bool {
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
        let is_member = self.cells.has_member(&received.from);
        let is_new = before.is_none_or(|peer| is_member && now.since(peer.last_heard) > PEER_TTL);
        let is_started = before.is_none_or(|peer| peer.incarnation != summary.incarnation);
        // A host that knows most others needs no list of them.
        if is_started && (summary.hosts as usize) < self.known_count(now) / 2 {
            self.newcomers.push(received.from);
        }
        if is_new || is_started {
            self.returned.insert(received.from, RETURNED_SUMMARIES);
        }
        if is_new {
            self.peers.retain(|_, peer| now.since(peer.last_heard) <= PEER_RETENTION);
            self.learned.retain(|_, at| now.since(*at) <= PEER_RETENTION);
        }
        for ack in &summary.known {
            if Some(ack.address) != self.own_address && self.learned.len() < MAX_PEERS {
                self.learned.insert(ack.address, now);
            }
        }
        let delegations = self.delegations_to_own(delegations).collect();
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
            delegations,
        };
        if self.peers.len() < MAX_PEERS || self.peers.contains_key(&received.from) {
            self.peers.insert(received.from, peer);
        }
        is_new
    }

    /// Returns whether the host at `from` stated other delegations to this host than `delegations` before.
    pub(crate) fn has_other_delegations(
        &self,
        from: &Ipv4Addr,
        delegations: &[Delegation],
    ) -> bool {
        let before = self.peers.get(from).map_or(&[][..], |peer| &peer.delegations);
        !self.delegations_to_own(delegations).eq(before.iter().copied())
    }

    fn delegations_to_own(&self, delegations: &[Delegation]) -> impl Iterator<Item = u32> {
        let to_own = delegations.iter().filter(|one| Some(one.arbiter) == self.own_address);
        to_own.map(|one| one.server)
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

    /// Returns the number of [`Peers::addresses`].
    pub(crate) fn known_count(&self, now: Moment) -> usize {
        let is_recent = |at: Moment| now.since(at) <= PEER_RETENTION;
        let is_heard = |address: &Ipv4Addr| {
            self.peers.get(address).is_some_and(|peer| is_recent(peer.last_heard))
        };
        let is_learned =
            |address: &Ipv4Addr| self.learned.get(address).is_some_and(|at| is_recent(*at));
        let is_own = |address: &&Ipv4Addr| Some(**address) == self.own_address;
        let heard = self.peers.keys().filter(|address| is_heard(address));
        let learned =
            self.learned.keys().filter(|address| is_learned(address) && !is_heard(address));
        let seeds = self.seeds.iter().enumerate().filter(|(position, address)| {
            let is_repeated = self.seeds[..*position].contains(address);
            !is_repeated && !is_learned(address) && !is_heard(address)
        });
        let known = heard.chain(learned).chain(seeds.map(|(_, address)| address));
        known.filter(|address| !is_own(address)).count()
    }

    /// Returns the hosts to send a summary to now; with `has_news`, those of other cells as well.
    pub(crate) fn summary_targets(
        &mut self,
        now: Moment,
        scope: SummaryScope,
        has_news: bool,
    ) -> Vec<SummaryTarget> {
        self.review_cells(now);
        let (mut members, outsiders): (Vec<Ipv4Addr>, Vec<Ipv4Addr>) =
            self.addresses(now).into_iter().partition(|address| self.cells.has_member(address));
        let far = members.iter().filter(|address| !self.is_zone_peer(now, address)).count() as u32;
        let interval = (CROSS_ZONE_INTERVAL_PER_PEER * far).min(MAX_SUMMARY_INTERVAL);
        let is_due = self.last_broadcast.is_none_or(|at| now.since(at) >= interval);
        if is_due || has_news || scope == SummaryScope::All {
            self.last_broadcast = Some(now);
        } else {
            members.retain(|address| self.is_zone_peer(now, address));
        }
        let due = self.due_outsiders(now, &outsiders);
        let outsiders = if has_news { outsiders } else { due };
        let newcomers = std::mem::take(&mut self.newcomers);
        let role = |addresses: Vec<Ipv4Addr>, role| {
            let target = move |address| SummaryTarget { address, role, is_returned: false };
            addresses.into_iter().map(target)
        };
        let mut targets: Vec<SummaryTarget> = role(newcomers.clone(), PeerRole::Newcomer)
            .chain(role(members, PeerRole::Member))
            .chain(role(outsiders, PeerRole::Outsider))
            .collect();
        targets.retain(|target| {
            target.role == PeerRole::Newcomer || !newcomers.contains(&target.address)
        });
        for target in &mut targets {
            if let Some(left) = self.returned.get_mut(&target.address) {
                target.is_returned = true;
                *left -= 1;
            }
        }
        self.returned.retain(|_, left| *left > 0);
        targets
    }

    /// Returns the hosts of other cells that are sent a summary now; each is within `OUTSIDER_PERIOD`.
    fn due_outsiders(&mut self, now: Moment, outsiders: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
        let Some(count) = u32::try_from(outsiders.len()).ok().filter(|count| *count > 0) else {
            self.outsiders_sent = Some(now);
            return Vec::new();
        };
        let pause = OUTSIDER_PERIOD / count;
        let sent = self.outsiders_sent.unwrap_or(now);
        let due = (now.since(sent).as_micros() / pause.as_micros().max(1)) as u32;
        self.outsiders_sent = Some(sent + pause * due);
        // Hosts begin at different places, so that no host is sent many summaries at once.
        let after = self.last_outsider.or(self.own_address);
        let next = outsiders.partition_point(|address| Some(*address) <= after);
        let chosen: Vec<Ipv4Addr> =
            outsiders.iter().cycle().skip(next).take(due.min(count) as usize).copied().collect();
        self.last_outsider = chosen.last().copied().or(after);
        chosen
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

    /// Returns the host that grants permits for the server with this digest: the first one by hash among
    /// the hosts of `cell`. In this host's own cell only live ones count, in others those that
    /// `is_available` holds for.
    pub(crate) fn arbiter(
        &self,
        now: Moment,
        server: u32,
        cell: usize,
        is_available: impl Fn(&Ipv4Addr) -> bool,
    ) -> Option<Ipv4Addr> {
        let weight =
            |address: &Ipv4Addr| (scatter(u32::from(*address) ^ scatter(server)), *address);
        if cell != self.cells.own_cell() {
            let known = self.addresses(now).into_iter();
            let members = known.filter(|address| self.cells.cell_of(*address) == cell);
            return members.filter(is_available).max_by_key(weight);
        }
        let is_live = |address: &&Ipv4Addr| {
            let peer = self.peers.get(*address);
            let is_live = peer.is_some_and(|peer| now.since(peer.last_heard) <= PEER_TTL);
            is_live && self.cells.has_member(address)
        };
        let live = self.peers.keys().filter(is_live).copied();
        let own = self.own_address.unwrap_or(Ipv4Addr::UNSPECIFIED);
        live.chain([own]).max_by_key(weight)
    }

    /// Returns whether a message came from `address` within `time`.
    pub(crate) fn is_recent(&self, now: Moment, address: &Ipv4Addr, time: Duration) -> bool {
        self.peers.get(address).is_some_and(|peer| now.since(peer.last_heard) <= time)
    }

    /// Returns the share of the hosts of this cell that chose this host as the arbiter of the server with
    /// this digest. Silent hosts count as part of the cell: they may be behind a network partition, where
    /// they have another arbiter.
    pub(crate) fn delegated_share(&self, now: Moment, server: u32, is_own_choice: bool) -> f64 {
        let delegating = self.live(now).filter(|peer| peer.delegations.contains(&server)).count();
        let others = self.addresses(now);
        let members = others.iter().filter(|address| self.cells.has_member(address)).count();
        (delegating + usize::from(is_own_choice)) as f64 / (members + 1) as f64
    }

    /// Returns the live hosts of the cell.
    fn live(&self, now: Moment) -> impl Iterator<Item = &Peer> {
        let live = self.peers.iter().filter(move |(address, peer)| {
            now.since(peer.last_heard) <= PEER_TTL && self.cells.has_member(address)
        });
        live.map(|(_, peer)| peer)
    }
}
