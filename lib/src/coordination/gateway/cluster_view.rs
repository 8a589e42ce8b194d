//! The gateway's view of the configuration, the servers and its peers, and its own readiness.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use super::Gateway;
use super::ListedServer;
use super::PeerSummary;
use super::ReceivedSummary;
use super::ServerChange;
use super::StopPhase;
use super::SummaryScope;
use super::SummaryTarget;
use crate::state::Catalog;
use crate::state::Moment;
use crate::state::SourceEra;

/// The effect of a configuration that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CatalogChange {
    /// It is newer and in force now; carries the previous version.
    Accepted(Option<u64>),
    /// It is the one in force.
    Same,
    /// It is older than the one in force, which stays.
    Older,
}

impl Gateway {
    /// Installs a configuration that a read sent at `sent` returned.
    ///
    /// A version older than the one in force, or than one that a live peer had before the read, is
    /// ignored and verifies nothing: the source was restored from an older copy.
    pub fn install_catalog(&mut self, catalog: Catalog, sent: Moment) -> CatalogChange {
        let current = self.catalog.as_ref().map(|catalog| catalog.version());
        let is_older = current.is_some_and(|version| catalog.version() < version);
        if is_older || self.is_superseded(catalog.version(), sent) {
            self.record_outdated_read(sent);
            return CatalogChange::Older;
        }
        self.verify_freshness(sent);
        if current == Some(catalog.version()) {
            return CatalogChange::Same;
        }
        self.catalog = Some(Arc::new(catalog));
        CatalogChange::Accepted(current)
    }

    /// Records that a read sent at `sent` returned `version` as the newest one.
    pub fn verify_catalog(&mut self, version: u64, sent: Moment) {
        if !self.verify_version(version, sent) {
            self.record_outdated_read(sent);
        }
    }

    /// Verifies the configuration if `version` is in force and was the newest one at `sent`.
    fn verify_version(&mut self, version: u64, sent: Moment) -> bool {
        let is_in_force = self.catalog.as_ref().is_some_and(|catalog| catalog.version() == version);
        let is_newest = is_in_force && !self.is_superseded(version, sent);
        if is_newest {
            self.verify_freshness(sent);
        }
        is_newest
    }

    /// Returns whether a live peer had a newer version at `sent`.
    fn is_superseded(&self, version: u64, sent: Moment) -> bool {
        self.peers.newest_version_at(sent) > version
    }

    fn verify_freshness(&mut self, sent: Moment) {
        if self.freshness.age(sent).is_some_and(|age| age > self.outage_age()) {
            self.outages += 1;
        }
        self.freshness.verify(sent);
        if self.source.outdated_read.is_some_and(|read| sent > read.sent) {
            self.source.outdated_read = None;
        }
    }

    /// Returns the number of outages of the configuration source that have ended.
    pub fn outages(&self) -> u64 {
        self.outages
    }

    /// Returns the time since the configuration was last verified to be the newest.
    pub fn catalog_age(&self, now: Moment) -> Option<Duration> {
        self.freshness.age(now)
    }

    /// Applies a change of the server list; returns whether the list differs now.
    pub fn apply_server(&mut self, change: ServerChange) -> bool {
        let is_changed = self.servers.apply(change);
        if is_changed {
            self.forget_removed_servers();
        }
        is_changed
    }

    /// Applies a change of the server list that the source made at `revision`, and records what the entry
    /// states; returns whether the list differs now.
    pub fn apply_entry(&mut self, now: Moment, change: ServerChange, revision: u64) -> bool {
        if let ServerChange::Listed(server) = &change {
            self.record_cold_entry(now, server, revision);
        }
        self.apply_server(change)
    }

    /// Replaces the whole server list by the one that the source had at `list_revision`.
    ///
    /// After the source was restored, the first list shows up to which revision entries may be
    /// those of the older copy, and missing servers stay as after an outage.
    pub fn replace_servers(
        &mut self,
        listed: Vec<ListedServer>,
        list_revision: u64,
        had_outage: bool,
        now: Moment,
    ) {
        let is_restored = std::mem::take(&mut self.source.awaits_list);
        if is_restored {
            self.source.copied_revision = Some(list_revision);
        }
        for entry in &listed {
            self.record_cold_entry(now, &entry.server, entry.revision);
        }
        self.cold.has_list = true;
        let listed = self.servers.without_copies(listed, self.source.copied_revision);
        let grace = self.relist_grace();
        self.servers.replace(listed, (had_outage || is_restored).then_some(grace), now);
        self.forget_removed_servers();
    }

    fn forget_removed_servers(&mut self) {
        let servers = &self.servers;
        self.health.retain(|id, _| servers.contains(id));
        self.limits.retain(|digest| servers.contains_digest(digest));
        self.cold.table.retain(|digest| servers.contains_digest(digest));
        self.cold.checks.retain(|digest, _| servers.contains_digest(*digest));
        self.permits.retain(|digest| servers.contains_digest(digest));
    }

    /// Removes servers that were missing after an outage of the store and were not listed again in
    /// time; returns their number.
    pub fn drop_missing_servers(&mut self, now: Moment) -> usize {
        self.servers.drop_missing(now)
    }

    /// Returns whether this host should receive new connections.
    ///
    /// A host that cannot verify its configuration is not ready, unless none of its peers can
    /// verify theirs either: when all hosts are affected, all of them stay in use.
    pub fn is_ready(&self, now: Moment) -> bool {
        let lacks_state = self.catalog.is_none() || self.awaits_zones();
        if lacks_state || self.stop_phase(now) != StopPhase::Running {
            return false;
        }
        self.freshness.is_usable(now) || !self.peers.any_usable(now)
    }

    /// Returns the summary to send to the peers.
    pub fn peer_summary(&mut self, now: Moment) -> PeerSummary {
        let crashes = self.crash_news(now);
        let (sequence, known) = self.peers.begin_message(now);
        PeerSummary {
            incarnation: self.peers.incarnation(),
            zone: self.peers.zone(),
            sequence,
            version: self.catalog.as_ref().map_or(0, |catalog| catalog.version()),
            age: self.freshness.age(now),
            is_usable: self.freshness.is_usable(now),
            servers_change: self.servers_change(),
            queued: self.queue.queued_prefill(),
            demand: self.demand.rate(now),
            hosts: self.peers.known_count(now) as u32,
            known,
            loads: self.loads.summary(now),
            crashes,
            limits: self.limit_news(now),
            zones: self.zone_news(now),
            cold: self.cold_news(now),
        }
    }

    /// Applies a peer's summary; returns whether the peer is new.
    ///
    /// If the peer verified the version in force, this host counts it as verified too, as of the
    /// lower bound of the summary's send time less the age that the summary states.
    pub fn apply_summary(&mut self, now: Moment, mut received: ReceivedSummary) -> bool {
        let summary = &mut received.summary;
        if summary.incarnation == self.peers.incarnation() {
            return false;
        }
        let era = summary.servers_change.era;
        // Peers of older builds state no era.
        let is_current = era == SourceEra::default() || self.observe_source_era(era);
        summary.servers_change = self.comparable_change(summary.servers_change);
        if let (Some(age), Some(sent)) = (summary.age, self.peers.sent_after(summary))
            && is_current
        {
            let verified = sent.0.saturating_sub(age.as_micros() as u64);
            self.verify_version(summary.version, Moment(verified));
        }
        if !summary.loads.is_empty() || self.peers.cells().has_member(&received.from) {
            let loads = summary.loads.iter().copied();
            self.loads.apply_summary(summary.incarnation, loads, now);
        }
        let sent = self.peers.sent_after(summary);
        let crashes = std::mem::take(&mut summary.crashes);
        self.apply_crash_news(now, crashes, sent);
        let limits = std::mem::take(&mut summary.limits);
        self.apply_limit_news(now, received.from, &limits);
        if let Some(zones) = summary.zones.take()
            && is_current
        {
            self.apply_zone_news(now, received.from, zones);
        }
        let cold = std::mem::take(&mut summary.cold);
        self.apply_cold_news(now, received.from, &cold, sent);
        let is_changed = self.peers.has_other_delegations(&received.from, &limits.delegations);
        if is_changed {
            self.fill_buckets(now);
        }
        let is_new = self.peers.apply_summary(now, received, &limits.delegations);
        if is_changed {
            self.fill_buckets(now);
        }
        is_new
    }

    /// Returns the addresses of known and possible peers.
    pub fn peer_addresses(&self, now: Moment) -> Vec<Ipv4Addr> {
        self.peers.addresses(now)
    }

    /// Returns the number of known entry hosts, including this one.
    pub(crate) fn host_count(&self, now: Moment) -> usize {
        self.peers.known_count(now) + 1
    }

    /// Returns the hosts to send a summary to now.
    pub fn summary_targets(&mut self, now: Moment, scope: SummaryScope) -> Vec<SummaryTarget> {
        let has_crashes = self.isolations.rounds.take(now);
        let has_limits = self.limit_rounds.take(now);
        let has_zones = self.evacuations.rounds.take(now);
        let has_cold = self.cold.rounds.take(now);
        let has_news = has_crashes || has_limits || has_zones || has_cold;
        self.peers.summary_targets(now, scope, has_news)
    }

    /// Returns the number of cells into which the fleet is divided.
    pub fn cell_count(&self) -> usize {
        self.peers.cells().count()
    }

    /// Returns the number of the cell of the host at `address`.
    pub fn cell_of(&self, address: Ipv4Addr) -> usize {
        self.peers.cells().cell_of(address)
    }

    /// Returns whether the host at `address` is in this host's cell.
    pub fn is_cell_member(&self, address: &Ipv4Addr) -> bool {
        self.peers.cells().has_member(address)
    }

    /// Returns the shortest and the longest interval between two summaries.
    pub fn summary_interval(&self, now: Moment) -> (Duration, Duration) {
        self.peers.summary_interval(now)
    }

    /// Sets this host's own address and the seed addresses of other entry hosts.
    pub fn set_seeds(&mut self, own: Ipv4Addr, seeds: Vec<Ipv4Addr>) {
        self.peers.set_seeds(own, seeds);
    }

    /// Returns the number of live peers.
    pub fn peer_count(&self, now: Moment) -> usize {
        self.peers.live_count(now)
    }
}
