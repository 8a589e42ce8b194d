//! The limits that servers name: what hosts learn of them and exchange.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::Gateway;
use crate::state::LimitChange;
use crate::state::LimitSource;
use crate::state::LimitVersion;
use crate::state::Moment;
use crate::state::RequestRate;
use crate::state::ServerId;
use crate::state::ServerLimit;

/// How long what this host read in a response is in each message to the hosts of the cell.
const FRESH_TIME: Duration = Duration::from_millis(1_500);
/// The most limits, and the most delegations, in one message.
pub(crate) const MAX_NEWS_LIMITS: usize = 256;

/// The limit of a server, in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitNotice {
    /// The digest of the server.
    pub server: u32,
    pub limit: ServerLimit,
}

/// The choice of a host as the arbiter of a server, in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delegation {
    pub arbiter: Ipv4Addr,
    /// The digest of the server.
    pub server: u32,
}

/// What a message says of limits.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LimitNews {
    /// The limits, those that the sender read lately first.
    pub limits: Vec<LimitNotice>,
    /// The number of limits that the sender read lately.
    pub fresh: usize,
    /// The hosts that the sender chose as arbiters.
    pub delegations: Vec<Delegation>,
}

impl LimitNews {
    /// Keeps the limits that a host lacks that has received all earlier messages.
    pub(crate) fn retain_fresh(&mut self) {
        self.limits.truncate(self.fresh);
    }

    /// Keeps the delegations to the receiver of the message.
    pub(crate) fn retain_delegations_to(&mut self, receiver: Ipv4Addr) {
        self.delegations.retain(|delegation| delegation.arbiter == receiver);
    }

    /// Returns whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.delegations.is_empty()
    }
}

impl Gateway {
    /// Returns the rate of requests that `server` accepts from all hosts; `None` if it names no limit.
    pub fn server_limit(&self, server: &ServerId) -> Option<RequestRate> {
        self.limits.rate(server)
    }

    /// Returns the version of the limit of `server`, to be kept with each request that is sent to it.
    pub fn limit_version(&self, server: &ServerId) -> LimitVersion {
        self.limits.version(server)
    }

    /// Returns the listed servers that name a limit, with the rates that they accept.
    pub fn limited_servers(&self) -> impl Iterator<Item = (&ServerId, RequestRate)> {
        self.limits.iter().filter_map(|(digest, known)| {
            let server = self.servers.with_digest(digest)?;
            known.limit.rate.map(|rate| (&server.id, rate))
        })
    }

    /// Records that a response of `server` names `rate`, or no limit; the request was sent with the
    /// version `sent`. Returns whether the limit changed, so that other hosts must know at once.
    pub fn record_limit(
        &mut self,
        now: Moment,
        server: &ServerId,
        sent: LimitVersion,
        rate: Option<RequestRate>,
    ) -> bool {
        if !self.servers.contains(server) {
            return false;
        }
        let change = self.limits.record_response(now, server, sent, rate);
        if let Some(change) = change {
            self.note_limit_change(change);
            self.limit_rounds.begin(now);
        }
        change.is_some()
    }

    /// Returns the changes of limits since the last call.
    pub fn take_limit_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.limit_changes)
    }

    fn note_limit_change(&mut self, change: LimitChange) {
        self.permits.reset_wait(change.server);
        self.limit_changes.push(change);
    }

    /// Returns what this host's message says of limits. Servers that this host doesn't list are left out,
    /// so that one that is gone is forgotten by all hosts.
    pub(crate) fn limit_news(&mut self, now: Moment) -> LimitNews {
        let is_fresh = |learned: Moment, source: LimitSource| {
            source == LimitSource::Response && now.since(learned) <= FRESH_TIME
        };
        let listed = self.limits.iter().filter(|(server, _)| self.servers.contains_digest(*server));
        let (fresh, other): (Vec<_>, Vec<_>) =
            listed.partition(|(_, known)| is_fresh(known.learned, known.source));
        let notices = fresh.iter().chain(&other).take(MAX_NEWS_LIMITS);
        let limits =
            notices.map(|(server, known)| LimitNotice { server: *server, limit: known.limit });
        LimitNews {
            limits: limits.collect(),
            fresh: fresh.len().min(MAX_NEWS_LIMITS),
            delegations: self.delegations(now),
        }
    }

    /// Applies what a host's message says of limits.
    pub(crate) fn apply_limit_news(&mut self, now: Moment, from: Ipv4Addr, news: &LimitNews) {
        for notice in &news.limits {
            if let Some(change) = self.limits.merge(now, notice.server, notice.limit, from) {
                self.note_limit_change(change);
            }
        }
    }
}
