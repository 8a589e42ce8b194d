//! Which entry hosts are alive, as one entry host hears their heartbeats.
//!
//! The published list says who may be there; heartbeats say who is. Views of two hosts may differ at
//! any time, so nothing that is decided here may be unsafe when it is wrong.

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

/// How many earlier incarnations of one host are remembered, so that their late messages are known.
const PAST_INCARNATIONS: usize = 8;

/// What the last accepted heartbeat of a peer said.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerView {
    /// The peer's zone.
    pub zone: ZoneName,
    /// Its incarnation; `None` before it was first heard.
    pub incarnation: Option<Incarnation>,
    /// When it was last heard.
    pub heard: Option<Moment>,
    /// Since when its state, alive or not, has been what it is.
    pub since: Moment,
    /// Whether it is alive in this host's eyes.
    pub alive: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// The shards on which it said to hold a lease.
    pub shards: Vec<u16>,
    /// The version of the live list that it uses.
    pub list: u64,
    /// The version of its configuration.
    pub config: u64,
    /// The hash of its configuration.
    pub config_hash: u64,
    beat: u64,
    past: VecDeque<Incarnation>,
}

/// What is known of the process that owns something on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerState {
    /// It was heard lately.
    Alive,
    /// It was replaced by a later incarnation, or it is silent while most peers are heard.
    Dead,
    /// This host hears too few peers, or has not listened for long enough, to tell.
    Unsure,
}

/// What became of a message's sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SenderStatus {
    /// The sender's current incarnation, or its first message.
    Current,
    /// An incarnation that a later one replaced; the message is to be dropped.
    Replaced,
    /// Not on the published list; the message is to be dropped.
    Unlisted,
}

/// The entry hosts and their state as one of them sees it.
#[derive(Debug, Clone)]
pub struct Members {
    host: HostName,
    zone: ZoneName,
    suspect: Duration,
    started: Moment,
    stopping: bool,
    list: u64,
    peers: IndexMap<HostName, PeerView>,
    listed: bool,
}

impl Members {
    /// Starts with no peers; a peer that is silent for `suspect` is not alive any more.
    pub fn new(host: HostName, zone: ZoneName, suspect: Duration, now: Moment) -> Members {
        Members {
            host,
            zone,
            suspect,
            started: now,
            stopping: false,
            list: 0,
            peers: IndexMap::new(),
            listed: false,
        }
    }

    /// Takes over the published entry hosts; an older list is ignored.
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

    /// Says that this host is stopping, so that it is nobody's choice any more.
    pub fn begin_stop(&mut self) {
        self.stopping = true;
    }

    /// Tells whether messages of this sender are to be taken; a new incarnation replaces the old.
    pub fn admit_sender(&mut self, from: &HostName, incarnation: Incarnation) -> SenderStatus {
        let Some(peer) = self.peers.get_mut(from) else {
            return SenderStatus::Unlisted;
        };
        if peer.past.contains(&incarnation) {
            return SenderStatus::Replaced;
        }
        if peer.incarnation != Some(incarnation) {
            peer.replace(incarnation);
        }
        SenderStatus::Current
    }

    /// Takes a heartbeat in; an older one than the last of the same incarnation only proves life.
    pub fn on_heartbeat(
        &mut self,
        now: Moment,
        from: &HostName,
        incarnation: Incarnation,
        beat: &Heartbeat,
    ) -> Option<Event> {
        if self.admit_sender(from, incarnation) != SenderStatus::Current {
            return None;
        }
        let peer = self.peers.get_mut(from)?;
        peer.heard = Some(now);
        if beat.beat > peer.beat {
            peer.take(beat);
        }
        if peer.alive {
            return None;
        }
        peer.alive = true;
        peer.since = now;
        Some(Event::PeerAlive { peer: from.clone() })
    }

    /// Suspects the peers that have been silent for too long.
    pub fn on_tick(&mut self, now: Moment) -> Vec<Event> {
        let suspect = self.suspect;
        let silent = |peer: &PeerView| peer.heard.is_none_or(|at| now.since(at) > suspect);
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

    /// Returns what is known of one peer.
    pub fn peer(&self, name: &HostName) -> Option<&PeerView> {
        self.peers.get(name)
    }

    /// Tells whether `name` is alive and takes new work; this host is unless it is stopping.
    pub fn is_usable(&self, name: &HostName) -> bool {
        if *name == self.host {
            return !self.stopping;
        }
        self.peers.get(name).is_some_and(|peer| peer.alive && !peer.stopping)
    }

    /// Tells whether `name` is alive, stopping or not.
    pub fn is_alive(&self, name: &HostName) -> bool {
        *name == self.host || self.peers.get(name).is_some_and(|peer| peer.alive)
    }

    /// Tells whether this host hears fewer than half of its peers.
    ///
    /// Then it is more likely cut off itself than the only one left, and calls nobody dead.
    pub fn is_cut_off(&self) -> bool {
        let heard = self.peers.values().filter(|peer| peer.alive).count();
        heard * 2 < self.peers.len()
    }

    /// Tells whether the process with `incarnation` is dead, for giving back what it owned.
    pub fn owner_state(&self, now: Moment, incarnation: Incarnation) -> OwnerState {
        let known = self.peers.values().find(|peer| peer.incarnation == Some(incarnation));
        if known.is_some_and(|peer| peer.alive) {
            return OwnerState::Alive;
        }
        if self.peers.values().any(|peer| peer.past.contains(&incarnation)) {
            return OwnerState::Dead;
        }
        let listening = self.list > 0 && now.since(self.started) > self.suspect * 2;
        if self.is_cut_off() || !listening {
            return OwnerState::Unsure;
        }
        OwnerState::Dead
    }

    /// Returns the entry host that dispatches to an engine: those in its zone go first.
    ///
    /// A host whose view differs asks another dispatcher. Both then pace the engine by what they
    /// know, and the engine's own refusal for lack of memory is the last bound.
    pub fn dispatcher_of(&self, engine: &EngineName, zone: &ZoneName) -> Option<HostName> {
        let key = engine.as_str();
        let near = self.usable().filter(|(_, at)| *at == zone).map(|(name, _)| name);
        let any = || self.usable().map(|(name, _)| name);
        first_ranked(key, near).or_else(|| first_ranked(key, any())).cloned()
    }

    /// Returns the one host of this host's zone that a duty called `key` falls to.
    pub fn zone_duty(&self, key: &str) -> Option<HostName> {
        let zone = &self.zone;
        let near = self.usable().filter(|(_, at)| *at == zone).map(|(name, _)| name);
        first_ranked(key, near).cloned()
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
            heard: None,
            since: now,
            alive: false,
            stopping: false,
            shards: Vec::new(),
            list: 0,
            config: 0,
            config_hash: 0,
            beat: 0,
            past: VecDeque::new(),
        }
    }

    /// Forgets what the earlier incarnation said, as the new one starts empty.
    fn replace(&mut self, incarnation: Incarnation) {
        if let Some(old) = self.incarnation.replace(incarnation) {
            self.past.push_back(old);
        }
        if self.past.len() > PAST_INCARNATIONS {
            self.past.pop_front();
        }
        self.stopping = false;
        self.shards.clear();
        self.list = 0;
        self.config = 0;
        self.config_hash = 0;
        self.beat = 0;
    }

    fn take(&mut self, beat: &Heartbeat) {
        self.beat = beat.beat;
        self.stopping = beat.stopping;
        self.shards.clone_from(&beat.shards);
        self.list = beat.list;
        self.config = beat.config;
        self.config_hash = beat.config_hash;
    }
}
