//! Failure detection: the entry hosts that are alive according to the heartbeats one host receives.
//!
//! The published live list names the possible members; heartbeats show which of them are alive. The
//! views of two hosts may differ at any time, so no decision based on them may be unsafe if wrong.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use super::message::Heartbeat;
use super::rendezvous::first_ranked;
use crate::state::EngineName;
use crate::state::EntryHost;
use crate::state::Event;
use crate::state::HostName;
use crate::state::Incarnation;
use crate::state::LiveList;
use crate::state::Moment;
use crate::state::ZoneName;

/// The number of replaced incarnations kept for each host, to recognize their delayed messages.
const MAX_REPLACED_INCARNATIONS: usize = 8;

/// The state of a peer according to its last accepted heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerView {
    /// The peer's zone.
    pub zone: ZoneName,
    /// Its incarnation; `None` before its first message.
    pub incarnation: Option<Incarnation>,
    /// When its last heartbeat arrived.
    pub last_heard: Option<Moment>,
    /// When `alive` last changed.
    pub since: Moment,
    /// Whether this host considers it alive.
    pub alive: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// The shards on which it reports holding a lease.
    pub shards: Vec<u16>,
    /// The version of the live list that it uses.
    pub list: u64,
    /// The version of its configuration.
    pub config: u64,
    /// The hash of its configuration.
    pub config_hash: u64,
    last_beat: u64,
    replaced: VecDeque<Incarnation>,
}

/// Whether the process that owns a resource on an engine is alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerState {
    /// It sent a heartbeat recently.
    Alive,
    /// It was replaced by a later incarnation, or it is silent while most peers are alive.
    Dead,
    /// This host receives heartbeats from too few peers, or has not listened for long enough.
    Unknown,
}

/// The status of a message's sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SenderStatus {
    /// The sender's current incarnation, or its first message.
    Current,
    /// An incarnation that a later one replaced; the message must be dropped.
    Replaced,
    /// Not on the published list; the message must be dropped.
    Unlisted,
}

/// The entry hosts and their states in the view of one of them.
#[derive(Debug, Clone)]
pub struct Members {
    host: HostName,
    zone: ZoneName,
    suspect_timeout: Duration,
    started: Moment,
    stopping: bool,
    list: u64,
    peers: IndexMap<HostName, PeerView>,
    listed: bool,
}

impl Members {
    /// Creates a view without peers; a peer that is silent for longer than `suspect_timeout` is no
    /// longer considered alive.
    pub fn new(host: HostName, zone: ZoneName, suspect_timeout: Duration, now: Moment) -> Members {
        Members {
            host,
            zone,
            suspect_timeout,
            started: now,
            stopping: false,
            list: 0,
            peers: IndexMap::new(),
            listed: false,
        }
    }

    /// Updates the peers from the published live list; an older list is ignored.
    pub fn set_hosts(&mut self, now: Moment, list: &LiveList) {
        if list.version <= self.list {
            return;
        }
        self.list = list.version;
        self.listed = list.entry_hosts.iter().any(|entry| entry.name == self.host);
        let mut peers = IndexMap::new();
        for entry in list.entry_hosts.iter().filter(|entry| entry.name != self.host) {
            let known = self.peers.swap_remove(&entry.name);
            let peer = known.unwrap_or_else(|| PeerView::new(entry, now));
            peers.insert(entry.name.clone(), PeerView { zone: entry.zone.clone(), ..peer });
        }
        self.peers = peers;
    }

    /// Marks this host as stopping, so that it is no longer chosen for any work.
    pub fn begin_stop(&mut self) {
        self.stopping = true;
    }

    /// Returns whether to accept messages of this sender; a new incarnation replaces the current
    /// one.
    pub fn admit_sender(&mut self, from: &HostName, incarnation: Incarnation) -> SenderStatus {
        let Some(peer) = self.peers.get_mut(from) else {
            return SenderStatus::Unlisted;
        };
        if peer.replaced.contains(&incarnation) {
            return SenderStatus::Replaced;
        }
        if peer.incarnation != Some(incarnation) {
            peer.replace(incarnation);
        }
        SenderStatus::Current
    }

    /// Applies a heartbeat; one older than the latest of the same incarnation only shows that the
    /// peer is alive.
    pub fn on_heartbeat(
        &mut self,
        now: Moment,
        from: &HostName,
        incarnation: Incarnation,
        heartbeat: &Heartbeat,
    ) -> Option<Event> {
        if self.admit_sender(from, incarnation) != SenderStatus::Current {
            return None;
        }
        let peer = self.peers.get_mut(from)?;
        peer.last_heard = Some(now);
        if heartbeat.beat > peer.last_beat {
            peer.update(heartbeat);
        }
        if peer.alive {
            return None;
        }
        peer.alive = true;
        peer.since = now;
        Some(Event::PeerAlive { peer: from.clone() })
    }

    /// Marks peers that have been silent for too long as not alive.
    pub fn on_tick(&mut self, now: Moment) -> Vec<Event> {
        let suspect_timeout = self.suspect_timeout;
        let silent =
            |peer: &PeerView| peer.last_heard.is_none_or(|at| now.since(at) > suspect_timeout);
        let mut events = Vec::new();
        for (name, peer) in &mut self.peers {
            if peer.alive && silent(peer) {
                peer.alive = false;
                peer.since = now;
                events.push(Event::PeerSuspected { peer: name.clone() });
            }
        }
        events
    }

    /// Returns this host's name.
    pub fn host(&self) -> &HostName {
        &self.host
    }

    /// Returns the published peers, without this host.
    pub fn peers(&self) -> impl Iterator<Item = (&HostName, &PeerView)> {
        self.peers.iter()
    }

    /// Returns the state of one peer.
    pub fn peer(&self, name: &HostName) -> Option<&PeerView> {
        self.peers.get(name)
    }

    /// Returns whether `name` is alive and accepts new work; this host is usable unless it is
    /// stopping.
    pub fn is_usable(&self, name: &HostName) -> bool {
        if *name == self.host {
            return !self.stopping;
        }
        self.peers.get(name).is_some_and(|peer| peer.alive && !peer.stopping)
    }

    /// Returns whether `name` is alive, whether or not it is stopping.
    pub fn is_alive(&self, name: &HostName) -> bool {
        *name == self.host || self.peers.get(name).is_some_and(|peer| peer.alive)
    }

    /// Returns whether fewer than half of the peers are alive in the view of this host.
    ///
    /// In that case this host is more likely partitioned from the fleet than the peers are dead, so
    /// it must not consider silent peers dead.
    pub fn is_isolated(&self) -> bool {
        let alive = self.peers.values().filter(|peer| peer.alive).count();
        alive * 2 < self.peers.len()
    }

    /// Returns whether the process with `incarnation` is dead, so that its resources can be
    /// released.
    pub fn owner_state(&self, now: Moment, incarnation: Incarnation) -> OwnerState {
        let known = self.peers.values().find(|peer| peer.incarnation == Some(incarnation));
        if known.is_some_and(|peer| peer.alive) {
            return OwnerState::Alive;
        }
        if self.peers.values().any(|peer| peer.replaced.contains(&incarnation)) {
            return OwnerState::Dead;
        }
        let listening = self.list > 0 && now.since(self.started) > self.suspect_timeout * 2;
        if self.is_isolated() || !listening {
            return OwnerState::Unknown;
        }
        OwnerState::Dead
    }

    /// Returns the entry host that dispatches to an engine, preferably one in the engine's zone.
    ///
    /// A host with a different view may use another dispatcher. Each dispatcher then paces the
    /// engine by its own information, and the engine's refusal for lack of memory is the final
    /// limit.
    pub fn dispatcher_of(&self, engine: &EngineName, zone: &ZoneName) -> Option<HostName> {
        let key = engine.as_str();
        let same_zone = self.usable().filter(|(_, at)| *at == zone).map(|(name, _)| name);
        let any = || self.usable().map(|(name, _)| name);
        first_ranked(key, same_zone).or_else(|| first_ranked(key, any())).cloned()
    }

    /// Returns the host in this host's zone to which the task `key` is assigned.
    pub fn assigned_in_zone(&self, key: &str) -> Option<HostName> {
        let zone = &self.zone;
        let same_zone = self.usable().filter(|(_, at)| *at == zone).map(|(name, _)| name);
        first_ranked(key, same_zone).cloned()
    }

    fn usable(&self) -> impl Iterator<Item = (&HostName, &ZoneName)> {
        let own = (self.listed || self.list == 0) && !self.stopping;
        let own = own.then_some((&self.host, &self.zone));
        let peers = self.peers.iter().filter(|(_, peer)| peer.alive && !peer.stopping);
        own.into_iter().chain(peers.map(|(name, peer)| (name, &peer.zone)))
    }
}

impl PeerView {
    fn new(entry: &EntryHost, now: Moment) -> PeerView {
        PeerView {
            zone: entry.zone.clone(),
            incarnation: None,
            last_heard: None,
            since: now,
            alive: false,
            stopping: false,
            shards: Vec::new(),
            list: 0,
            config: 0,
            config_hash: 0,
            last_beat: 0,
            replaced: VecDeque::new(),
        }
    }

    /// Replaces the incarnation and resets what the earlier one reported, as the new one starts
    /// empty.
    fn replace(&mut self, incarnation: Incarnation) {
        if let Some(old) = self.incarnation.replace(incarnation) {
            self.replaced.push_back(old);
        }
        if self.replaced.len() > MAX_REPLACED_INCARNATIONS {
            self.replaced.pop_front();
        }
        self.stopping = false;
        self.shards.clear();
        self.list = 0;
        self.config = 0;
        self.config_hash = 0;
        self.last_beat = 0;
    }

    fn update(&mut self, heartbeat: &Heartbeat) {
        self.last_beat = heartbeat.beat;
        self.stopping = heartbeat.stopping;
        self.shards.clone_from(&heartbeat.shards);
        self.list = heartbeat.list;
        self.config = heartbeat.config;
        self.config_hash = heartbeat.config_hash;
    }
}
