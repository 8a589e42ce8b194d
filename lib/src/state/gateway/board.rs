//! What engines and servers are working on: this host's own requests and its peers' summaries.
//!
//! An engine reads prompts one after the other, so its backlog of reading is kept as the moment
//! until which it reads. Each host extends the latest moment that it knows of, its own or a peer's;
//! the backlog is therefore the greatest of all, not their sum.

use std::collections::HashMap;
use std::time::Duration;

use crate::state::Moment;

use super::ServerId;

/// How long a peer's summary counts without a newer one.
const SUMMARY_LIFE: Duration = Duration::from_millis(1_500);

/// The longest pause of answers that are most sensitive, and of those that are less so.
const TIGHT_GAP: Duration = Duration::from_millis(300);
const LOOSE_GAP: Duration = Duration::from_millis(650);

/// The part of a prompt's reading time that is taken to be left when the estimate has passed and
/// the first event has not come.
const OVERDUE_PART: f64 = 0.25;

/// How sensitive an answer is to pauses between its events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GapClass {
    /// Its events follow each other within a fifth of a second or so.
    Tight,
    /// They may be half a second apart.
    Loose,
    /// They may be further apart, or it has none.
    Wide,
}

impl GapClass {
    /// All classes, the most sensitive first.
    pub const ALL: [GapClass; 3] = [GapClass::Tight, GapClass::Loose, GapClass::Wide];

    /// Returns the class of an answer whose events may be `gap` apart.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::GapClass;
    /// assert_eq!(GapClass::of(Some(Duration::from_millis(200))), GapClass::Tight);
    /// assert_eq!(GapClass::of(None), GapClass::Wide);
    /// ```
    pub fn of(gap: Option<Duration>) -> GapClass {
        match gap {
            Some(gap) if gap <= TIGHT_GAP => GapClass::Tight,
            Some(gap) if gap <= LOOSE_GAP => GapClass::Loose,
            _ => GapClass::Wide,
        }
    }
}

/// An answer that is written at a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Answer {
    /// How sensitive it is to pauses.
    pub pauses: GapClass,
    /// What it is worth.
    pub worth: f64,
}

/// One request's work at one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// How long the server reads for it.
    pub reading: Duration,
    /// The tokens of the server's memory that it takes.
    pub tokens: u64,
    /// The answer, if it is written here.
    pub writes: Option<Answer>,
}

/// What one host has at one server; what hosts tell each other.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerLoad {
    /// How much longer the server reads prompts.
    pub backlog: Duration,
    /// The requests whose answer is written here, by how sensitive they are to pauses.
    pub running: [u32; GapClass::ALL.len()],
    /// What these answers are worth, by how sensitive they are to pauses.
    pub response_value: [f64; GapClass::ALL.len()],
    /// The tokens of memory that all of them take.
    pub tokens: u64,
}

impl ServerLoad {
    /// Returns what the answers of one class are worth.
    ///
    /// ```
    /// use wasabicrank_lib::state::{GapClass, ServerLoad};
    /// let load = ServerLoad { response_value: [1.5, 0.0, 20.0], ..ServerLoad::default() };
    /// assert_eq!(load.stake(GapClass::Wide), 20.0);
    /// ```
    pub fn stake(&self, pauses: GapClass) -> f64 {
        self.response_value[pauses as usize]
    }

    /// Returns the number of all requests whose answer is written here.
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

/// Names one send of a request at this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SendId(pub u64);

#[derive(Debug)]
struct OwnShare {
    send: SendId,
    share: Share,
    is_reading: bool,
}

#[derive(Debug, Default)]
struct OwnLoad {
    digest: u32,
    reads_until: Moment,
    shares: Vec<OwnShare>,
}

impl OwnLoad {
    fn load(&self, now: Moment) -> ServerLoad {
        let mut load = ServerLoad { backlog: self.reads_until.since(now), ..ServerLoad::default() };
        for own in &self.shares {
            if let Some(answer) = own.share.writes {
                load.running[answer.pauses as usize] += 1;
                load.response_value[answer.pauses as usize] += answer.worth;
            }
            load.tokens += own.share.tokens;
            if own.is_reading {
                load.backlog = load.backlog.max(own.share.reading.mul_f64(OVERDUE_PART));
            }
        }
        load
    }
}

#[derive(Debug)]
struct PeerSummary {
    heard: Moment,
    loads: HashMap<u32, ServerLoad>,
}

/// The loads of all servers.
#[derive(Debug, Default)]
pub struct LoadBoard {
    own: HashMap<ServerId, OwnLoad>,
    peers: HashMap<u64, PeerSummary>,
}

impl LoadBoard {
    /// Returns the load of `server` over all hosts.
    pub fn load(&self, server: &ServerId, now: Moment) -> ServerLoad {
        let own = self.own.get(server);
        let mut load = own.map(|own| own.load(now)).unwrap_or_default();
        if self.peers.is_empty() {
            return load;
        }
        let digest = own.map_or_else(|| server.digest(), |own| own.digest);
        for summary in self.peers.values() {
            let age = now.since(summary.heard);
            if age > SUMMARY_LIFE {
                continue;
            }
            if let Some(told) = summary.loads.get(&digest) {
                load.add(&ServerLoad { backlog: told.backlog.saturating_sub(age), ..*told });
            }
        }
        load
    }

    /// Adds a send's work at `server`.
    pub fn start(&mut self, server: &ServerId, send: SendId, share: Share, now: Moment) {
        let backlog = self.load(server, now).backlog;
        let own = self
            .own
            .entry(server.clone())
            .or_insert_with(|| OwnLoad { digest: server.digest(), ..OwnLoad::default() });
        let is_reading = !share.reading.is_zero();
        if is_reading {
            own.reads_until = now + backlog + share.reading;
        }
        own.shares.push(OwnShare { send, share, is_reading });
    }

    /// Notes that a send's prompt is read: its first event came.
    pub fn finish_reading(&mut self, server: &ServerId, send: SendId, now: Moment) {
        let Some(own) = self.own.get_mut(server) else { return };
        for share in own.shares.iter_mut().filter(|share| share.send == send) {
            share.is_reading = false;
        }
        own.settle(now);
    }

    /// Removes a send's work at `server`.
    pub fn finish(&mut self, server: &ServerId, send: SendId, now: Moment) {
        let Some(own) = self.own.get_mut(server) else { return };
        own.shares.retain(|share| share.send != send);
        own.settle(now);
        if own.shares.is_empty() {
            self.own.remove(server);
        }
    }

    /// Returns what this host has at each server, for its peers.
    pub fn summary(&self, now: Moment) -> Vec<(u32, ServerLoad)> {
        self.own.values().map(|own| (own.digest, own.load(now))).collect()
    }

    /// Takes a peer's summary in place of its earlier one.
    pub fn hear(
        &mut self,
        peer: u64,
        loads: impl IntoIterator<Item = (u32, ServerLoad)>,
        now: Moment,
    ) {
        let loads = loads.into_iter().collect();
        self.peers.insert(peer, PeerSummary { heard: now, loads });
        self.peers.retain(|_, summary| now.since(summary.heard) <= SUMMARY_LIFE);
    }
}

impl OwnLoad {
    /// Ends the backlog where nothing of this host is read any more.
    fn settle(&mut self, now: Moment) {
        if !self.shares.iter().any(|share| share.is_reading) {
            self.reads_until = self.reads_until.min(now);
        }
    }
}
