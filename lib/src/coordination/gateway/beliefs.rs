//! What the gateway believes of the configuration, the servers and itself, and how that changes.

use std::sync::Arc;
use std::time::Duration;

use super::Gateway;
use super::PeerHeard;
use super::PeerSummary;
use super::ServerChange;
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
        self.freshness.verify(sent);
        if current == Some(catalog.version()) {
            return CatalogChange::Same;
        }
        self.catalog = Some(Arc::new(catalog));
        CatalogChange::Accepted(current)
    }

    /// Notes that a read sent at `sent` showed version `version` to be the newest.
    pub fn verify_catalog(&mut self, version: u64, sent: Moment) {
        if self.catalog.as_ref().is_some_and(|catalog| catalog.version() == version) {
            self.freshness.verify(sent);
        }
    }

    /// Returns the time since the configuration was surely the newest.
    pub fn catalog_age(&self, now: Moment) -> Option<Duration> {
        self.freshness.age(now)
    }

    /// Takes a change of the list of servers; returns whether something differs now.
    pub fn apply_server(&mut self, change: ServerChange) -> bool {
        self.servers.apply(change)
    }

    /// Takes a whole list of servers.
    pub fn replace_servers(&mut self, listed: Vec<Server>, had_outage: bool, now: Moment) {
        self.servers.replace(listed, had_outage, now);
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
        if self.catalog.is_none() {
            return false;
        }
        self.freshness.is_usable(now) || !self.peers.any_usable(now)
    }

    /// Returns what this host tells its peers.
    pub fn peer_summary(&mut self, now: Moment) -> PeerSummary {
        let loads = self.board.summary(now);
        let is_usable = self.freshness.is_usable(now);
        let version = self.catalog.as_ref().map_or(0, |catalog| catalog.version());
        let queued = self.queue.reading_time();
        self.peers.summary(now, version, is_usable, queued, loads)
    }

    /// Takes what a peer at `address` tells; returns whether the peer is new.
    pub fn hear_peer(&mut self, now: Moment, heard: PeerHeard) -> bool {
        if heard.summary.incarnation == self.peers.incarnation() {
            return false;
        }
        let loads = heard.summary.loads.iter().copied();
        self.board.hear(heard.summary.incarnation, loads, now);
        self.peers.hear(now, heard)
    }

    /// Returns the addresses to send a summary to.
    pub fn peer_addresses(&self, now: Moment) -> Vec<std::net::Ipv4Addr> {
        self.peers.addresses(now)
    }

    /// Adds addresses at which other entry hosts may be found.
    pub fn set_seeds(&mut self, own: std::net::Ipv4Addr, seeds: Vec<std::net::Ipv4Addr>) {
        self.peers.set_seeds(own, seeds);
    }

    /// Returns the number of peers that were heard lately.
    pub fn peer_count(&self, now: Moment) -> usize {
        self.peers.live_count(now)
    }
}
