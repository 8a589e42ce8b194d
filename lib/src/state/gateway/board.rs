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

/// The part of a prompt's reading time that is taken to be left when the estimate has passed and
/// the first event has not come.
const OVERDUE_PART: f64 = 0.25;

/// How sensitive a running request is to pauses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseClass {
    /// Its events follow each other within a few hundred milliseconds.
    Tight,
    /// Its events may be further apart, or it has none.
    Loose,
}

/// One request's work at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// How long the server reads for it.
    pub reading: Duration,
    /// The tokens of the server's memory that it takes.
    pub tokens: u64,
    /// Whether the answer is written here, and how sensitive it is to pauses.
    pub writes: Option<PauseClass>,
}

/// What one host has at one server; what hosts tell each other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// How much longer the server reads prompts.
    pub backlog: Duration,
    /// The running requests that are sensitive to pauses.
    pub tight: u32,
    /// The other running requests.
    pub loose: u32,
    /// The tokens of memory that all of them take.
    pub tokens: u64,
    /// Whether a host has lately lost requests at this server.
    pub doubtful: bool,
}

impl ServerLoad {
    /// Returns the number of running requests.
    ///
    /// ```
    /// use wasabicrank_lib::state::ServerLoad;
    /// assert_eq!(ServerLoad { tight: 2, loose: 1, ..ServerLoad::default() }.running(), 3);
    /// ```
    pub fn running(&self) -> u32 {
        self.tight + self.loose
    }

    fn add(&mut self, other: &ServerLoad) {
        self.backlog = self.backlog.max(other.backlog);
        self.tight += other.tight;
        self.loose += other.loose;
        self.tokens += other.tokens;
        self.doubtful |= other.doubtful;
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
    digest: u64,
    reads_until: Moment,
    shares: Vec<OwnShare>,
}

impl OwnLoad {
    fn load(&self, now: Moment) -> ServerLoad {
        let mut load = ServerLoad { backlog: self.reads_until.since(now), ..ServerLoad::default() };
        for own in &self.shares {
            match own.share.writes {
                Some(PauseClass::Tight) => load.tight += 1,
                Some(PauseClass::Loose) => load.loose += 1,
                None => {}
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
    loads: HashMap<u64, ServerLoad>,
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
        let own = self.own.entry(server.clone()).or_insert_with(|| OwnLoad {
            digest: server.digest(),
            ..OwnLoad::default()
        });
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
    pub fn summary(&self, now: Moment) -> Vec<(u64, ServerLoad)> {
        self.own.values().map(|own| (own.digest, own.load(now))).collect()
    }

    /// Takes a peer's summary in place of its earlier one.
    pub fn hear(&mut self, peer: u64, loads: impl IntoIterator<Item = (u64, ServerLoad)>, now: Moment) {
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
