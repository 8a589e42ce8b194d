//! Cold servers: how hosts learn that a server started and tolerates few requests, and what they exchange.
//!
//! While it is cold, a server counts as one that names a limit, so that the permits of its arbiter keep the
//! sum over all hosts. See docs/design/cold-servers.md.

use std::net::Ipv4Addr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::Dispatch;
use super::Gateway;
use super::news_rounds::NewsRounds;
use crate::state::ColdChange;
use crate::state::ColdNotice;
use crate::state::ColdPeriod;
use crate::state::ColdSource;
use crate::state::ColdStart;
use crate::state::ColdTable;
use crate::state::KnownCold;
use crate::state::Moment;
use crate::state::RequestRate;
use crate::state::Server;
use crate::state::ServerId;
use crate::state::ServiceName;

/// How long what this host learned itself is in each message to the hosts of the cell.
const FRESH_TIME: Duration = Duration::from_millis(1_500);
/// The most servers in one message.
pub(crate) const MAX_NEWS_COLD: usize = 256;

/// What a message says of cold servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ColdNews {
    /// The servers, those of which the sender learned lately first.
    pub servers: Vec<ColdNotice>,
    /// The number of servers of which the sender learned lately.
    pub fresh: usize,
}

impl ColdNews {
    /// Keeps what a host lacks that has received all earlier messages.
    pub(crate) fn retain_fresh(&mut self) {
        self.servers.truncate(self.fresh);
    }

    /// Returns whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}

/// What a host stated before this one had a list of servers and a configuration.
#[derive(Debug, Clone, Copy)]
struct HeldNotice {
    received: Moment,
    from: Ipv4Addr,
    notice: ColdNotice,
}

/// What this host knows of cold servers.
#[derive(Debug, Default)]
pub(crate) struct ColdServers {
    pub(crate) table: ColdTable,
    /// Whether a complete list of servers was read since the start of this host.
    pub(crate) has_list: bool,
    /// Whether other hosts must be notified at once.
    has_news: bool,
    /// What peers stated before this host knew the servers.
    held: Vec<HeldNotice>,
    /// When hosts of other cells are notified.
    pub(crate) rounds: NewsRounds,
    /// When this host last sent a health check to each server, by digest.
    pub(crate) checks: FxHashMap<u32, Moment>,
}

impl ColdServers {
    pub(crate) fn begin_news(&mut self, now: Moment) {
        self.has_news = true;
        self.rounds.begin(now);
    }
}

impl Gateway {
    /// Returns the rate of requests that `server` accepts now from all hosts: the lower one of the limit
    /// that it names and that of a cold server; `None` if it is not limited.
    pub fn send_rate(&self, now: Moment, server: &ServerId) -> Option<RequestRate> {
        self.send_rate_of(now, server.digest())
    }

    /// Returns the rate of requests that the server with this digest accepts.
    pub(crate) fn send_rate_of(&self, now: Moment, server: u32) -> Option<RequestRate> {
        let (named, cold) = (self.limits.rate_of(server), self.cold_rate(now, server));
        match (named, cold) {
            (Some(named), Some(cold)) => Some(named.min(cold)),
            (named, cold) => named.or(cold),
        }
    }

    /// Returns the rate of requests that the server with this digest accepts because it is or was cold.
    pub(crate) fn cold_rate(&self, now: Moment, server: u32) -> Option<RequestRate> {
        let known = self.cold.table.get(server)?;
        let spec = self.cold_start(&known.service)?;
        self.cold.table.rate(now, server, spec)
    }

    /// Returns whether `server` is cold.
    pub fn is_cold(&self, now: Moment, server: &ServerId) -> bool {
        self.cold_known(server.digest()).is_some_and(|known| known.is_cold(now))
    }

    /// Returns the number of cold servers.
    pub fn cold_count(&self, now: Moment) -> usize {
        self.known_cold().filter(|(_, known)| known.is_cold(now)).count()
    }

    /// Returns the periods that began or ended since the last call.
    pub fn take_cold_changes(&mut self, now: Moment) -> Vec<ColdChange> {
        self.apply_held_news(now);
        if self.cold.table.is_empty() {
            return Vec::new();
        }
        let catalog = self.catalog.as_ref();
        let has_cold_start = |service: &ServiceName| {
            catalog.and_then(|one| one.service(service)).is_some_and(|spec| spec.cold.is_some())
        };
        let changes = self.cold.table.take_changes(now, has_cold_start);
        // Arbiters need the choice of all hosts at once.
        self.cold.has_news |= changes.iter().any(|change| change.is_cold);
        changes
    }

    /// Returns whether other hosts must be notified at once; each time is stated once.
    pub fn take_cold_news(&mut self) -> bool {
        std::mem::take(&mut self.cold.has_news)
    }

    /// Records what the entry of `server`, as of `revision`, states. Called before the list has it.
    pub(crate) fn record_cold_entry(&mut self, now: Moment, server: &Server, revision: u64) {
        let is_first = !self.servers.has_known(&server.id);
        match server.cold_left {
            Some(left) if left.is_zero() => {}
            Some(left) => self.cold.table.record_entry(now, server, left, revision),
            None if is_first && self.cold.has_list => {
                if let Some(time) = self.cold_start(&server.service).map(|spec| spec.time) {
                    self.cold.table.extend(now, server, time, ColdSource::Start);
                }
            }
            None => {}
        }
    }

    /// Records that `server` was lost, so that it may have started since.
    pub(crate) fn record_cold_loss(&mut self, now: Moment, server: &ServerId) {
        let is_waiting = |known: &KnownCold| known.is_doubtful && known.remaining(now).is_none();
        let is_known = self.cold_known(server.digest()).is_some_and(is_waiting);
        self.doubt_server(now, server.digest(), ColdSource::Loss);
        if !is_known && self.cold_known(server.digest()).is_some() {
            self.cold.begin_news(now);
        }
    }

    /// Records that `server` declined a request, which may have been the first one since a loss: no server
    /// was used.
    pub(crate) fn record_cold_decline(&mut self, now: Moment, server: &ServerId) {
        if self.cold_known(server.digest()).is_some_and(|known| known.is_doubtful) {
            self.record_cold_loss(now, server);
        }
    }

    /// Records that the zones with these digests came back from an evacuation, in which their servers may
    /// have started.
    pub(crate) fn record_restored_zones(&mut self, now: Moment, zones: &[u32]) {
        let is_restored = |server: &&Server| zones.contains(&super::zone_digest(&server.zone));
        let servers: Vec<u32> =
            self.servers.iter().filter(is_restored).map(|server| server.id.digest()).collect();
        servers.into_iter().for_each(|server| self.doubt_server(now, server, ColdSource::Zone));
    }

    fn doubt_server(&mut self, now: Moment, server: u32, source: ColdSource) {
        let Some(server) = self.servers.with_digest(server).cloned() else { return };
        if self.cold_start(&server.service).is_some() {
            self.cold.table.doubt(now, &server, source);
        }
    }

    /// Records that a request is being sent to the first server of `dispatch`.
    pub(crate) fn record_cold_use(&mut self, now: Moment, dispatch: &Dispatch) {
        if self.cold.table.is_empty() {
            return;
        }
        let spec = self.cold_start(&dispatch.server.service).map(|spec| spec.time);
        let digest = dispatch.server.id.digest();
        if spec.is_some_and(|time| self.cold.table.begin_use(now, digest, time)) {
            self.cold.begin_news(now);
        }
    }

    /// Returns how the servers of `service` start, if they are cold after that.
    pub(crate) fn cold_start(&self, service: &ServiceName) -> Option<&ColdStart> {
        self.catalog.as_ref()?.service(service)?.cold.as_ref()
    }

    /// Returns how the server with this digest starts, if it is cold after that.
    pub(crate) fn cold_start_of(&self, server: u32) -> Option<&ColdStart> {
        self.cold_start(&self.servers.with_digest(server)?.service)
    }

    /// Returns what is known of servers of services with cold starts.
    pub(crate) fn known_cold(&self) -> impl Iterator<Item = (u32, &KnownCold)> {
        self.cold.table.iter().filter(|(_, known)| self.cold_start(&known.service).is_some())
    }

    fn cold_known(&self, server: u32) -> Option<&KnownCold> {
        let known = self.cold.table.get(server)?;
        self.cold_start(&known.service).map(|_| known)
    }

    /// Returns what this host's message says of cold servers.
    pub(crate) fn cold_news(&self, now: Moment) -> ColdNews {
        if self.cold.table.is_empty() {
            return ColdNews::default();
        }
        let (fresh, other): (Vec<_>, Vec<_>) = self
            .known_cold()
            .filter(|(_, known)| known.is_cold(now) || is_fresh(now, known))
            .partition(|(_, known)| is_fresh(now, known));
        let notice = |(server, known): &(u32, &KnownCold)| ColdNotice {
            server: *server,
            remaining: known.remaining(now),
            age: now.since(known.learned),
            is_doubtful: known.is_doubtful,
        };
        let servers = fresh.iter().chain(&other).take(MAX_NEWS_COLD).map(notice).collect();
        ColdNews { servers, fresh: fresh.len().min(MAX_NEWS_COLD) }
    }

    /// Applies what the message of the host at `from` says of cold servers; it was sent after `sent`.
    pub(crate) fn apply_cold_news(
        &mut self,
        now: Moment,
        from: Ipv4Addr,
        news: &ColdNews,
        sent: Option<Moment>,
    ) {
        if !self.knows_cold_servers() {
            let left = MAX_NEWS_COLD.saturating_sub(self.cold.held.len());
            let held = |notice: &ColdNotice| HeldNotice { received: now, from, notice: *notice };
            self.cold.held.extend(news.servers.iter().take(left).map(held));
            return;
        }
        for notice in &news.servers {
            self.apply_notice(now, from, notice, sent);
        }
    }

    fn knows_cold_servers(&self) -> bool {
        self.cold.has_list && self.catalog.is_some()
    }

    /// Applies what peers stated while this host started, as soon as it knows the servers.
    fn apply_held_news(&mut self, now: Moment) {
        if self.cold.held.is_empty() || !self.knows_cold_servers() {
            return;
        }
        for HeldNotice { received, from, notice } in std::mem::take(&mut self.cold.held) {
            let held = now.since(received);
            let remaining = notice.remaining.map(|left| left.saturating_sub(held));
            let notice = ColdNotice { remaining, age: notice.age + held, ..notice };
            self.apply_notice(now, from, &notice, None);
        }
    }

    fn apply_notice(
        &mut self,
        now: Moment,
        from: Ipv4Addr,
        notice: &ColdNotice,
        sent: Option<Moment>,
    ) {
        let Some(server) = self.servers.with_digest(notice.server).cloned() else { return };
        if self.cold_start(&server.service).is_some() {
            self.cold.table.merge(now, &server, notice, sent, from);
        }
    }
}

/// Returns whether this host learned lately, and before others, what it knows of a server.
fn is_fresh(now: Moment, known: &KnownCold) -> bool {
    let is_own = match known.source {
        ColdSource::Loss | ColdSource::Check => true,
        ColdSource::Zone => matches!(known.period, ColdPeriod::Until(_)),
        ColdSource::Entry | ColdSource::Start | ColdSource::Peer(_) => false,
    };
    is_own && now.since(known.learned) <= FRESH_TIME
}
