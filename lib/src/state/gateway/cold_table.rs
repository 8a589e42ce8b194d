//! The servers that are cold: after a start a server tolerates few requests per second.
//!
//! Entries of the source, losses, health checks and other hosts state how long a server is cold. Hosts
//! state how long ago they learned it, and no two clocks are compared: what a host surely learned later
//! replaces what is known, and what may be older only extends a cold period.

use std::net::Ipv4Addr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::state::Moment;
use crate::state::ServiceName;

use super::ColdStart;
use super::RequestRate;
use super::Server;

/// How long after the cold period the rate of requests rises until it is unlimited.
pub const COLD_RAMP: Duration = Duration::from_secs(1);
/// How long it is remembered that a server is no longer cold, so that older news of peers is ignored.
const WARM_RETENTION: Duration = Duration::from_secs(30);
/// The most servers that are stored.
const MAX_COLD_SERVERS: usize = 4_096;

/// How long a server is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ColdPeriod {
    /// Until this moment; then the rate rises.
    Until(Moment),
    /// From its first use on: it was lost, and may have started since.
    FromUse,
}

/// How a host learned that a server is or may be cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdSource {
    /// From the time that its entry in the source states.
    Entry,
    /// It was listed for the first time, and its entry states no time.
    Start,
    /// A request to it was lost.
    Loss,
    /// Its zone came back from an evacuation.
    Zone,
    /// From its response to a health check.
    Check,
    /// From another host.
    Peer(Ipv4Addr),
}

/// What a host states of a server that is or was cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdNotice {
    /// The digest of the server.
    pub server: u32,
    /// The rest of the cold period; `None` if it begins with the first use.
    pub remaining: Option<Duration>,
    /// How long ago the sender learned this.
    pub age: Duration,
    /// Whether the server was lost and no health check has shown yet whether it is cold.
    pub is_doubtful: bool,
}

/// The beginning or the end of a cold period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdChange {
    /// The digest of the server.
    pub server: u32,
    pub is_cold: bool,
    /// The rest of the cold period; `None` if it begins with the first use.
    pub remaining: Option<Duration>,
    pub source: ColdSource,
}

/// What is known of one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownCold {
    pub service: ServiceName,
    pub period: ColdPeriod,
    /// When this host learned of the period, or an upper bound of when another host did.
    pub learned: Moment,
    pub source: ColdSource,
    /// Whether the server was lost and only a health check can show whether it is cold.
    pub is_doubtful: bool,
    /// Whether the beginning of the period was reported as a change.
    is_reported: bool,
}

impl KnownCold {
    /// Returns whether the server is cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        match self.period {
            ColdPeriod::Until(end) => now < end,
            ColdPeriod::FromUse => true,
        }
    }

    /// Returns the rest of the cold period; `None` if it begins with the first use.
    pub fn remaining(&self, now: Moment) -> Option<Duration> {
        match self.period {
            ColdPeriod::Until(end) => Some(end.since(now)),
            ColdPeriod::FromUse => None,
        }
    }

    /// Returns the rate of requests that the server accepts; `None` if it is not limited.
    fn rate(&self, now: Moment, cold: RequestRate) -> Option<RequestRate> {
        let ColdPeriod::Until(end) = self.period else { return Some(cold) };
        if now < end {
            return Some(cold);
        }
        let left = 1.0 - now.since(end).as_secs_f64() / COLD_RAMP.as_secs_f64();
        (left > 0.0).then(|| RequestRate::from_micros((cold.micros() as f64 / left) as u64))
    }
}

/// What is known of cold servers, by the servers' digests.
#[derive(Debug, Clone, Default)]
pub struct ColdTable {
    known: FxHashMap<u32, KnownCold>,
    /// The revisions of the entries that stated a time.
    revisions: FxHashMap<u32, u64>,
}

impl ColdTable {
    /// Returns what is known of the server with this digest.
    pub fn get(&self, server: u32) -> Option<&KnownCold> {
        self.known.get(&server)
    }

    /// Returns all that is known, by the servers' digests.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &KnownCold)> {
        self.known.iter().map(|(server, known)| (*server, known))
    }

    /// Returns whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the rate of requests that the server with this digest accepts by `spec`; `None` if it is
    /// not limited. After the cold period the rate rises.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::*;
    /// let server = Server {
    ///     id: ServerId::new("i-1", 1),
    ///     service: ServiceName::new("app"),
    ///     address: ([10, 9, 0, 1], 80).into(),
    ///     zone: ZoneName::new("zone-a"),
    ///     slots: 6,
    ///     draining: false,
    ///     cold_left: None,
    /// };
    /// let rate = RequestRate::from_micros(14_000_000);
    /// let time = Duration::from_secs(3);
    /// let spec = ColdStart { time, rate, health_path: "/health".into() };
    /// let mut table = ColdTable::default();
    /// table.extend(Moment(0), &server, time, ColdSource::Start);
    /// let rate_at = |millis: u64| table.rate(Moment(millis * 1_000), server.id.digest(), &spec);
    /// assert_eq!(rate_at(2_999), Some(rate));
    /// assert_eq!(rate_at(3_500), Some(RequestRate::from_micros(28_000_000)));
    /// assert_eq!(rate_at(4_000), None);
    /// ```
    pub fn rate(&self, now: Moment, server: u32, spec: &ColdStart) -> Option<RequestRate> {
        self.known.get(&server)?.rate(now, spec.rate)
    }

    /// Records that the entry of `server`, written at `revision`, states that it is cold for `remaining`. An
    /// entry that was read before says nothing more.
    pub fn record_entry(
        &mut self,
        now: Moment,
        server: &Server,
        remaining: Duration,
        revision: u64,
    ) {
        let digest = server.id.digest();
        let is_known = self.revisions.get(&digest) == Some(&revision);
        if self.revisions.len() < MAX_COLD_SERVERS {
            self.revisions.insert(digest, revision);
        }
        if !is_known {
            self.extend(now, server, remaining, ColdSource::Entry);
        }
    }

    /// Records that `server` is cold for `remaining` from `now`, unless a longer period is known.
    pub fn extend(
        &mut self,
        now: Moment,
        server: &Server,
        remaining: Duration,
        source: ColdSource,
    ) {
        let period = ColdPeriod::Until(now + remaining);
        let known = self.known.get(&server.id.digest());
        let is_longer = known.is_none_or(|known| known.period < period);
        if is_longer && !remaining.is_zero() {
            let is_doubtful = known.is_some_and(|known| known.is_doubtful);
            self.set(now, server, period, source, is_doubtful);
        }
    }

    /// Records that `server` may have started and is cold from its first use on. After a loss a health
    /// check may show that it is not.
    pub fn doubt(&mut self, now: Moment, server: &Server, source: ColdSource) {
        let known = self.known.get(&server.id.digest());
        let was_doubtful = known.is_some_and(|known| known.is_doubtful && known.is_cold(now));
        let is_doubtful = was_doubtful || source == ColdSource::Loss;
        self.set(now, server, ColdPeriod::FromUse, source, is_doubtful);
    }

    /// Records that the server with this digest is used, which begins a period of `time` if it was not
    /// used since it was lost. Returns whether it did.
    pub fn begin_use(&mut self, now: Moment, server: u32, time: Duration) -> bool {
        match self.known.get_mut(&server) {
            Some(known) if known.period == ColdPeriod::FromUse => {
                known.period = ColdPeriod::Until(now + time);
                known.learned = now;
                true
            }
            _ => false,
        }
    }

    /// Records what `server` stated in response to a health check that was sent at `sent`; returns whether
    /// it was taken. A response says nothing of a loss that was noticed later.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::*;
    /// let server = Server {
    ///     id: ServerId::new("i-1", 1),
    ///     service: ServiceName::new("app"),
    ///     address: ([10, 9, 0, 1], 80).into(),
    ///     zone: ZoneName::new("zone-a"),
    ///     slots: 6,
    ///     draining: false,
    ///     cold_left: None,
    /// };
    /// let mut table = ColdTable::default();
    /// table.doubt(Moment(5), &server, ColdSource::Loss);
    /// assert!(!table.record_check(Moment(9), Moment(4), &server, Duration::ZERO));
    /// assert!(table.record_check(Moment(9), Moment(6), &server, Duration::ZERO));
    /// assert!(!table.get(server.id.digest()).unwrap().is_cold(Moment(9)));
    /// ```
    pub fn record_check(
        &mut self,
        now: Moment,
        sent: Moment,
        server: &Server,
        remaining: Duration,
    ) -> bool {
        let Some(known) = self.known.get(&server.id.digest()) else { return false };
        if known.learned > sent {
            return false;
        }
        let end = if remaining.is_zero() { end_without_ramp(now) } else { now + remaining };
        self.set(now, server, ColdPeriod::Until(end), ColdSource::Check, false);
        true
    }

    /// Applies what the host at `from` states of `server`. `sent` is a lower bound of when it sent its
    /// message, if one is known.
    pub fn merge(
        &mut self,
        now: Moment,
        server: &Server,
        notice: &ColdNotice,
        sent: Option<Moment>,
        from: Ipv4Addr,
    ) {
        let before = |at: Moment| Moment(at.0.saturating_sub(notice.age.as_micros() as u64));
        let (latest, earliest) = (before(now), sent.map(before));
        let period =
            notice.remaining.map_or(ColdPeriod::FromUse, |left| ColdPeriod::Until(now + left));
        let ends = notice.remaining == Some(Duration::ZERO);
        let known = self.known.get(&server.id.digest());
        let is_doubtful = match known {
            Some(known) if latest <= known.learned => return,
            Some(known) if earliest.is_some_and(|earliest| earliest >= known.learned) => {
                notice.is_doubtful
            }
            Some(known) if !ends && known.period < period => {
                known.is_doubtful || notice.is_doubtful
            }
            None if !ends => notice.is_doubtful,
            Some(_) | None => return,
        };
        let period = if ends { ColdPeriod::Until(end_without_ramp(now)) } else { period };
        self.set(latest, server, period, ColdSource::Peer(from), is_doubtful);
    }

    fn set(
        &mut self,
        learned: Moment,
        server: &Server,
        period: ColdPeriod,
        source: ColdSource,
        is_doubtful: bool,
    ) {
        let digest = server.id.digest();
        let known = self.known.get(&digest);
        if known.is_none() && self.known.len() >= MAX_COLD_SERVERS {
            return;
        }
        let is_reported = known.is_some_and(|known| known.is_reported);
        let service = server.service.clone();
        let known = KnownCold { service, period, learned, source, is_doubtful, is_reported };
        self.known.insert(digest, known);
    }

    /// Returns the periods that began or ended since the last call, of the services that `has_cold_start`
    /// holds for, and forgets what is of no use any more.
    pub fn take_changes(
        &mut self,
        now: Moment,
        has_cold_start: impl Fn(&ServiceName) -> bool,
    ) -> Vec<ColdChange> {
        let mut changes = Vec::new();
        for (server, known) in &mut self.known {
            let is_cold = known.is_cold(now) && has_cold_start(&known.service);
            if is_cold != known.is_reported {
                known.is_reported = is_cold;
                let remaining = known.remaining(now);
                let source = known.source;
                changes.push(ColdChange { server: *server, is_cold, remaining, source });
            }
        }
        self.known.retain(|_, known| {
            let end = match known.period {
                ColdPeriod::Until(end) => end.max(known.learned),
                ColdPeriod::FromUse => now,
            };
            now.since(end) < WARM_RETENTION
        });
        changes
    }

    /// Forgets the servers that `is_listed` does not hold for.
    pub fn retain(&mut self, is_listed: impl Fn(u32) -> bool) {
        self.known.retain(|server, _| is_listed(*server));
        self.revisions.retain(|server, _| is_listed(*server));
    }
}

/// Returns the end of the cold period of a server that a health check shows not to be cold.
fn end_without_ramp(now: Moment) -> Moment {
    Moment(now.0.saturating_sub(COLD_RAMP.as_micros() as u64))
}
