//! The limits that servers name: how many requests per second each accepts from all hosts together.
//!
//! Responses arrive at several hosts in any order, and no two clocks are compared. So each limit has a
//! version. A response to a request that was sent when a version was known shows a state that is at least
//! as new, and what differs from that version gets the next one. Hosts that learn different limits as the
//! same version keep the lower one.

use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::state::Moment;

use super::RequestRate;
use super::ServerId;

/// The most servers whose limits are stored.
const MAX_LIMITS: usize = 4_096;

/// The version of a server's limit; 0 until the server names one for the first time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LimitVersion(pub u32);

/// A version of a server's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerLimit {
    pub version: LimitVersion,
    /// The limit; `None` if the server names none.
    pub rate: Option<RequestRate>,
}

impl ServerLimit {
    /// Returns whether this host replaces `other` by it: a later version, or a lower rate of the same one.
    fn supersedes(&self, other: &ServerLimit) -> bool {
        let order = |limit: &ServerLimit| {
            (limit.version, Reverse(limit.rate.map_or(u64::MAX, RequestRate::micros)))
        };
        order(self) > order(other)
    }
}

/// Where a host learned of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitSource {
    /// From a response of the server.
    Response,
    /// From another host.
    Peer(Ipv4Addr),
}

/// What changed about a server's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitChange {
    /// The digest of the server.
    pub server: u32,
    /// The limit before.
    pub before: Option<RequestRate>,
    pub limit: ServerLimit,
    /// How long the limit before was known.
    pub lasted: Duration,
    pub source: LimitSource,
}

/// A limit as this host knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownLimit {
    pub limit: ServerLimit,
    /// When this host learned of this version.
    pub learned: Moment,
    /// Since when this host knows of a limit without an end in between.
    pub limited_since: Moment,
    pub source: LimitSource,
}

/// The limits of all servers, by the servers' digests.
#[derive(Debug, Clone, Default)]
pub struct LimitTable {
    known: FxHashMap<u32, KnownLimit>,
}

impl LimitTable {
    /// Returns what is known of the limit of `server`.
    pub fn get(&self, server: &ServerId) -> Option<&KnownLimit> {
        self.known.get(&server.digest())
    }

    /// Returns the version of the limit of `server` with which a request is sent.
    pub fn version(&self, server: &ServerId) -> LimitVersion {
        self.get(server).map_or_else(LimitVersion::default, |known| known.limit.version)
    }

    /// Returns the rate that `server` accepts; `None` if it names no limit.
    pub fn rate(&self, server: &ServerId) -> Option<RequestRate> {
        self.get(server).and_then(|known| known.limit.rate)
    }

    /// Returns the rate that the server with this digest accepts; `None` if it names no limit.
    pub fn rate_of(&self, server: u32) -> Option<RequestRate> {
        self.known.get(&server).and_then(|known| known.limit.rate)
    }

    /// Records that a response of `server` names `rate`, or no limit. The request was sent when the version
    /// `sent` was known. Where the response may be older than the known version, only a lower rate counts.
    ///
    /// ```
    /// use wasabicrank_lib::state::{LimitTable, LimitVersion, Moment, RequestRate, ServerId};
    /// let server = ServerId::new("i-1", 1);
    /// let mut limits = LimitTable::default();
    /// let rate = Some(RequestRate::from_micros(1_500_000));
    /// limits.record_response(Moment(0), &server, LimitVersion(0), rate);
    /// limits.record_response(Moment(5), &server, LimitVersion(0), None);
    /// assert_eq!(limits.rate(&server), rate);
    /// limits.record_response(Moment(9), &server, LimitVersion(1), None);
    /// assert_eq!(limits.rate(&server), None);
    /// ```
    pub fn record_response(
        &mut self,
        now: Moment,
        server: &ServerId,
        sent: LimitVersion,
        rate: Option<RequestRate>,
    ) -> Option<LimitChange> {
        let current = self.get(server).map_or_else(ServerLimit::default, |known| known.limit);
        let next = LimitVersion(current.version.0.saturating_add(1));
        let is_lower = ServerLimit { rate, ..current }.supersedes(&current);
        if rate == current.rate || (sent < current.version && !is_lower) {
            return None;
        }
        let limit = ServerLimit { version: next, rate };
        Some(self.set(now, server.digest(), limit, LimitSource::Response))
    }

    /// Records a limit that another host knows.
    pub fn merge(
        &mut self,
        now: Moment,
        server: u32,
        limit: ServerLimit,
        peer: Ipv4Addr,
    ) -> Option<LimitChange> {
        let current =
            self.known.get(&server).map_or_else(ServerLimit::default, |known| known.limit);
        let is_new = !self.known.contains_key(&server);
        if !limit.supersedes(&current) || (is_new && self.known.len() >= MAX_LIMITS) {
            return None;
        }
        let change = self.set(now, server, limit, LimitSource::Peer(peer));
        (change.before != limit.rate).then_some(change)
    }

    /// Returns all that is known, by the servers' digests.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &KnownLimit)> {
        self.known.iter().map(|(server, known)| (*server, known))
    }

    fn set(
        &mut self,
        now: Moment,
        server: u32,
        limit: ServerLimit,
        source: LimitSource,
    ) -> LimitChange {
        let before = self.known.get(&server).filter(|known| known.limit.rate.is_some()).copied();
        let limited_since = before.map_or(now, |known| known.limited_since);
        self.known.insert(server, KnownLimit { limit, learned: now, limited_since, source });
        LimitChange {
            server,
            before: before.and_then(|known| known.limit.rate),
            limit,
            lasted: now.since(before.map_or(now, |known| known.learned)),
            source,
        }
    }

    /// Forgets the limits of the servers that `is_listed` does not hold for.
    pub fn retain(&mut self, is_listed: impl Fn(u32) -> bool) {
        self.known.retain(|server, _| is_listed(*server));
    }
}
