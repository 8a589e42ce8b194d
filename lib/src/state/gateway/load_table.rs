//! The load of each server: this host's own requests and the summaries of its peers.
//!
//! An engine prefills prompts one after the other, so its prefill backlog is stored as the moment
//! at which the prefill ends. Each host extends the latest such moment that it knows of, its own or
//! a peer's; the backlog is therefore the maximum over all hosts, not their sum.

use std::collections::HashMap;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::state::Moment;

use super::ServerId;

/// How long a peer's summary is used without a newer one.
const SUMMARY_TTL: Duration = Duration::from_millis(1_500);

/// How long an engine counts as full after it declined a request: a part of the time that a response
/// takes. It may hold work that no host knows of, of hosts that were lost.
const FULL_TIME: Duration = Duration::from_millis(400);

/// The upper bounds of the event gap for the classes [`GapClass::Tight`] and [`GapClass::Loose`].
const MAX_TIGHT_GAP: Duration = Duration::from_millis(300);
const MAX_LOOSE_GAP: Duration = Duration::from_millis(650);

/// The fraction of a prompt's prefill time that is assumed to remain when the estimate has passed
/// but the first event has not arrived.
const OVERDUE_FRACTION: f64 = 0.25;

/// How sensitive a response is to gaps between its events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GapClass {
    /// Events may be at most 300 ms apart.
    Tight,
    /// Events may be at most 650 ms apart.
    Loose,
    /// Events may be further apart, or the response is not a stream.
    Wide,
}

impl GapClass {
    /// All classes, the most sensitive first.
    pub const ALL: [GapClass; 3] = [GapClass::Tight, GapClass::Loose, GapClass::Wide];

    /// Returns the class of a response whose events may be `gap` apart.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::GapClass;
    /// assert_eq!(GapClass::of(Some(Duration::from_millis(200))), GapClass::Tight);
    /// assert_eq!(GapClass::of(None), GapClass::Wide);
    /// ```
    pub fn of(gap: Option<Duration>) -> GapClass {
        match gap {
            Some(gap) if gap <= MAX_TIGHT_GAP => GapClass::Tight,
            Some(gap) if gap <= MAX_LOOSE_GAP => GapClass::Loose,
            _ => GapClass::Wide,
        }
    }
}

/// A response that a server is producing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunningResponse {
    /// How sensitive it is to gaps between its events.
    pub gap_class: GapClass,
    /// Its value, in the units of [`prompt_value`](super::prompt_value).
    pub value: f64,
}

/// The work of one send at one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerWork {
    /// How long the server prefills for it.
    pub prefill: Duration,
    /// The tokens of the server's memory that it occupies.
    pub tokens: u64,
    /// The response, if this server produces it.
    pub response: Option<RunningResponse>,
}

/// The load of one server, by one host or summed over all; peers exchange it in summaries.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerLoad {
    /// How much longer the server is busy with prefill.
    pub backlog: Duration,
    /// The number of responses that the server is producing, by gap class.
    pub running: [u32; GapClass::ALL.len()],
    /// The summed value of these responses, by gap class.
    pub response_value: [f64; GapClass::ALL.len()],
    /// The tokens of memory that all requests occupy.
    pub tokens: u64,
}

impl ServerLoad {
    /// Returns the summed value of the running responses of one class.
    ///
    /// ```
    /// use wasabicrank_lib::state::{GapClass, ServerLoad};
    /// let load = ServerLoad { response_value: [1.5, 0.0, 20.0], ..ServerLoad::default() };
    /// assert_eq!(load.running_value(GapClass::Wide), 20.0);
    /// ```
    pub fn running_value(&self, gap_class: GapClass) -> f64 {
        self.response_value[gap_class as usize]
    }

    /// Returns the number of running responses of all classes.
    ///
    /// ```
    /// use wasabicrank_lib::state::ServerLoad;
    /// assert_eq!(ServerLoad { running: [2, 0, 1], ..ServerLoad::default() }.running_total(), 3);
    /// ```
    pub fn running_total(&self) -> u32 {
        self.running.iter().sum()
    }

    fn add(&mut self, other: &ServerLoad) {
        self.backlog = self.backlog.max(other.backlog);
        for (own, theirs) in self.running.iter_mut().zip(other.running) {
            *own += theirs;
        }
        for (own, theirs) in self.response_value.iter_mut().zip(other.response_value) {
            *own += theirs;
        }
        self.tokens += other.tokens;
    }
}

/// Identifies one send of a request within this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SendId(pub u64);

#[derive(Debug)]
struct LocalWork {
    send: SendId,
    work: ServerWork,
    in_prefill: bool,
}

#[derive(Debug, Default)]
struct LocalLoad {
    prefill_until: Moment,
    sends: Vec<LocalWork>,
    full: Option<Full>,
}

/// An engine that declined a request.
#[derive(Debug, Clone, Copy)]
struct Full {
    until: Moment,
    slots: u32,
}

impl LocalLoad {
    fn load(&self, now: Moment) -> ServerLoad {
        let mut load =
            ServerLoad { backlog: self.prefill_until.since(now), ..ServerLoad::default() };
        for own in &self.sends {
            if let Some(response) = own.work.response {
                load.running[response.gap_class as usize] += 1;
                load.response_value[response.gap_class as usize] += response.value;
            }
            load.tokens += own.work.tokens;
            if own.in_prefill {
                load.backlog = load.backlog.max(own.work.prefill.mul_f64(OVERDUE_FRACTION));
            }
        }
        if let Some(full) = self.full.filter(|full| now < full.until) {
            load.running[GapClass::Wide as usize] +=
                full.slots.saturating_sub(load.running_total());
        }
        load
    }
}

/// The load that one peer causes at one server.
#[derive(Debug)]
struct PeerLoad {
    peer: u64,
    received: Moment,
    load: ServerLoad,
}

/// The last summary of one peer.
#[derive(Debug)]
struct PeerSummaryEntry {
    received: Moment,
    /// The digests of the servers that it lists.
    servers: Vec<u32>,
}

/// The load of all servers, from this host's sends and the summaries of its peers.
#[derive(Debug, Default)]
pub struct LoadTable {
    local: FxHashMap<ServerId, LocalLoad>,
    /// The loads by peers, by server digest.
    peer_loads: FxHashMap<u32, Vec<PeerLoad>>,
    peers: HashMap<u64, PeerSummaryEntry>,
}

impl LoadTable {
    /// Returns the load of `server` over all hosts.
    pub fn load(&self, server: &ServerId, now: Moment) -> ServerLoad {
        let own = self.local.get(server);
        let mut load = own.map(|own| own.load(now)).unwrap_or_default();
        for peer in self.peer_loads.get(&server.digest()).into_iter().flatten() {
            let age = now.since(peer.received);
            if age <= SUMMARY_TTL {
                let backlog = peer.load.backlog.saturating_sub(age);
                load.add(&ServerLoad { backlog, ..peer.load });
            }
        }
        load
    }

    /// Returns the age of the oldest summary of a peer that is used.
    pub fn oldest_summary(&self, now: Moment) -> Duration {
        let ages = self.peers.values().map(|summary| now.since(summary.received));
        ages.filter(|age| *age <= SUMMARY_TTL).max().unwrap_or_default()
    }

    /// Adds a send's work at `server`.
    pub fn add_work(&mut self, server: &ServerId, send: SendId, work: ServerWork, now: Moment) {
        let backlog = self.load(server, now).backlog;
        let own = self.local.entry(server.clone()).or_default();
        let in_prefill = !work.prefill.is_zero();
        if in_prefill {
            own.prefill_until = now + backlog + work.prefill;
        }
        own.sends.push(LocalWork { send, work, in_prefill });
    }

    /// Records that a send's prefill is done because its first event arrived.
    pub fn finish_prefill(&mut self, server: &ServerId, send: SendId, now: Moment) {
        let Some(own) = self.local.get_mut(server) else { return };
        for work in own.sends.iter_mut().filter(|work| work.send == send) {
            work.in_prefill = false;
        }
        own.end_idle_backlog(now);
    }

    /// Removes a send's work at `server`.
    pub fn remove_work(&mut self, server: &ServerId, send: SendId, now: Moment) {
        let Some(own) = self.local.get_mut(server) else { return };
        own.sends.retain(|work| work.send != send);
        own.end_idle_backlog(now);
        self.local.retain(|_, own| !own.is_idle(now));
    }

    /// Records that `server`, an engine with `slots` slots, declined a request: for a while it counts as
    /// full, at this host and its peers.
    pub fn record_full(&mut self, server: &ServerId, slots: u32, now: Moment) {
        let own = self.local.entry(server.clone()).or_default();
        own.full = Some(Full { until: now + FULL_TIME, slots });
    }

    /// Returns the load that this host causes at each server, by server digest, for its peers.
    pub fn summary(&self, now: Moment) -> Vec<(u32, ServerLoad)> {
        let causing = self.local.iter().filter(|(_, own)| !own.is_idle(now));
        causing.map(|(server, own)| (server.digest(), own.load(now))).collect()
    }

    /// Replaces a peer's earlier summary.
    pub fn apply_summary(
        &mut self,
        peer: u64,
        loads: impl IntoIterator<Item = (u32, ServerLoad)>,
        now: Moment,
    ) {
        let expired = |summary: &PeerSummaryEntry| now.since(summary.received) > SUMMARY_TTL;
        let silent: Vec<u64> =
            self.peers.iter().filter(|(_, one)| expired(one)).map(|(peer, _)| *peer).collect();
        silent.into_iter().chain([peer]).for_each(|peer| self.remove_peer(peer));
        let mut servers = Vec::new();
        for (server, load) in loads {
            servers.push(server);
            let entries = self.peer_loads.entry(server).or_default();
            entries.push(PeerLoad { peer, received: now, load });
        }
        self.peers.insert(peer, PeerSummaryEntry { received: now, servers });
    }

    fn remove_peer(&mut self, peer: u64) {
        let Some(summary) = self.peers.remove(&peer) else { return };
        for server in summary.servers {
            if let Some(loads) = self.peer_loads.get_mut(&server) {
                loads.retain(|load| load.peer != peer);
                if loads.is_empty() {
                    self.peer_loads.remove(&server);
                }
            }
        }
    }
}

impl LocalLoad {
    fn is_idle(&self, now: Moment) -> bool {
        self.sends.is_empty() && self.full.is_none_or(|full| now >= full.until)
    }

    /// Ends the backlog when none of this host's sends is in prefill.
    fn end_idle_backlog(&mut self, now: Moment) {
        if !self.sends.iter().any(|work| work.in_prefill) {
            self.prefill_until = self.prefill_until.min(now);
        }
    }
}
