//! What the gateway believes of the configuration, the servers and itself, and how that changes.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use super::Gateway;
use super::PeerSummary;
use super::ReceivedSummary;
use super::ServerChange;
use super::StopPhase;
use super::SummaryScope;
use crate::state::Catalog;
use crate::state::Moment;
use crate::state::Server;

/// What became of a configuration that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CatalogChange {
    /// It is newer and in force now; the older version is named.
    Accepted(Option<u64>),
    /// It is the one in force.
    Same,
    /// It is older than the one in force, which stays.
    Older,
}

impl Gateway {
    /// Takes a configuration that a read sent at `sent` returned.
    ///
    /// A version that is older than the one in force is ignored and verifies nothing.
    pub fn install_catalog(&mut self, catalog: Catalog, sent: Moment) -> CatalogChange {
        let current = self.catalog.as_ref().map(|catalog| catalog.version());
        if current.is_some_and(|version| catalog.version() < version) {
            return CatalogChange::Older;
        }
        self.verify_freshness(sent);
        if current == Some(catalog.version()) {
            return CatalogChange::Same;
        }
        self.catalog = Some(Arc::new(catalog));
        CatalogChange::Accepted(current)
    }

    /// Notes that a read sent at `sent` showed version `version` to be the newest.
    pub fn verify_catalog(&mut self, version: u64, sent: Moment) {
        if self.catalog.as_ref().is_some_and(|catalog| catalog.version() == version) {
            self.verify_freshness(sent);
        }
    }

    fn verify_freshness(&mut self, sent: Moment) {
        if self.freshness.age(sent).is_some_and(|age| age > self.outage_age()) {
            self.outages += 1;
        }
        self.freshness.verify(sent);
    }

    /// Returns how many outages of the source were over so far.
    pub fn outages(&self) -> u64 {
        self.outages
    }

    /// Returns the time since the configuration was surely the newest.
    pub fn catalog_age(&self, now: Moment) -> Option<Duration> {
        self.freshness.age(now)
    }

    /// Takes a change of the list of servers; returns whether something differs now.
    pub fn apply_server(&mut self, change: ServerChange) -> bool {
        let is_changed = self.servers.apply(change);
        if is_changed {
            self.forget_gone_servers();
        }
        is_changed
    }

    /// Takes a whole list of servers.
    pub fn replace_servers(&mut self, listed: Vec<Server>, had_outage: bool, now: Moment) {
        let grace = self.relist_grace();
        self.servers.replace(listed, had_outage.then_some(grace), now);
        self.forget_gone_servers();
    }

    fn forget_gone_servers(&mut self) {
        let servers = &self.servers;
        self.health.retain(|id, _| servers.contains(id));
    }

    /// Removes servers that an outage of the store left in doubt and that did not come back.
    pub fn drop_missing_servers(&mut self, now: Moment) -> usize {
        self.servers.drop_missing(now)
    }

    /// Returns whether new connections should come here.
    ///
    /// A host that cannot verify its configuration sends callers to its peers, unless none of them
    /// can verify theirs either: when all hosts suffer alike, all stay in use.
    pub fn is_ready(&self, now: Moment) -> bool {
        if self.catalog.is_none() || self.stop_phase(now) != StopPhase::Running {
            return false;
        }
        self.freshness.is_usable(now) || !self.peers.any_usable(now)
    }

    /// Returns what this host tells its peers.
    pub fn peer_summary(&mut self, now: Moment) -> PeerSummary {
        let (sequence, known) = self.peers.begin_message(now);
        PeerSummary {
            incarnation: self.peers.incarnation(),
            zone: self.peers.zone(),
            sequence,
            version: self.catalog.as_ref().map_or(0, |catalog| catalog.version()),
            age: self.freshness.age(now),
            is_usable: self.freshness.is_usable(now),
            servers_change: self.servers_change,
            queued: self.queue.reading_time(),
            demand: self.demand.rate(now),
            known,
            loads: self.board.summary(now),
        }
    }

    /// Takes what a peer tells; returns whether the peer is new.
    ///
    /// A peer that verified the version in force vouches for it, as of the time that its message
    /// surely was not sent before.
    pub fn apply_summary(&mut self, now: Moment, heard: ReceivedSummary) -> bool {
        let summary = &heard.summary;
        if summary.incarnation == self.peers.incarnation() {
            return false;
        }
        if let (Some(age), Some(sent)) = (summary.age, self.peers.sent_after(summary)) {
            let verified = sent.0.saturating_sub(age.as_micros() as u64);
            self.verify_catalog(summary.version, Moment(verified));
        }
        let loads = summary.loads.iter().copied();
        self.board.hear(summary.incarnation, loads, now);
        self.peers.hear(now, heard)
    }

    /// Returns whether a peer knows of a change of the list of servers that has not come here.
    pub fn misses_server_change(&self, now: Moment) -> bool {
        self.peers.newest_change(now) > self.servers_covered
    }

    /// Notes that the list of servers is complete up to the source's revision `covered`, and the
    /// revision of its newest change.
    pub fn record_server_revisions(&mut self, covered: u64, change: Option<u64>) {
        self.servers_covered = self.servers_covered.max(covered);
        self.servers_change = self.servers_change.max(change.unwrap_or(0));
    }

    /// Returns the addresses at which peers are or may be.
    pub fn peer_addresses(&self, now: Moment) -> Vec<Ipv4Addr> {
        self.peers.addresses(now)
    }

    /// Returns the number of entry hosts that are known, this one among them.
    pub(crate) fn host_count(&self, now: Moment) -> usize {
        self.peers.addresses(now).len() + 1
    }

    /// Returns the addresses that a summary goes to now.
    pub fn summary_addresses(&mut self, now: Moment, reach: SummaryScope) -> Vec<Ipv4Addr> {
        self.peers.summary_addresses(now, reach)
    }

    /// Returns how long after a summary the next one may go out, and how long after it must.
    pub fn summary_interval(&self, now: Moment) -> (Duration, Duration) {
        self.peers.summary_interval(now)
    }

    /// Adds addresses at which other entry hosts may be found.
    pub fn set_seeds(&mut self, own: Ipv4Addr, seeds: Vec<Ipv4Addr>) {
        self.peers.set_seeds(own, seeds);
    }

    /// Returns the number of peers that were heard lately.
    pub fn peer_count(&self, now: Moment) -> usize {
        self.peers.live_count(now)
    }
}
