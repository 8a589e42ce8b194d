//! The published sets of entry hosts whose majorities a lease needs.
//!
//! While the set changes, hosts that use the old one may still grant to each other. So a host that
//! knows the old set asks for a majority of both, until most of the old set is known to have moved
//! on and all that it granted before has lapsed.

use std::collections::BTreeMap;
use std::time::Duration;

use super::rendezvous::first_u64;
use crate::state::HostName;
use crate::state::LiveList;
use crate::state::Moment;

/// How many sets may be in force together; a further change waits for the oldest to end.
const MAX_SETS: usize = 8;

/// One published set of entry hosts.
#[derive(Debug, Clone)]
struct HostSet {
    hash: u64,
    /// The live list's version with which this host first saw the set.
    version: u64,
    hosts: Vec<HostName>,
    /// When most of the set was first known to use a later one.
    left: Option<Moment>,
}

/// The set in force, after the earlier ones that may still grant.
#[derive(Debug, Clone)]
pub(crate) struct LeaseSets {
    host: HostName,
    /// How long what a set granted can be counted on after its majority moved on.
    lapse: Duration,
    sets: Vec<HostSet>,
    /// The latest set, while there is no room for it.
    waiting: Option<HostSet>,
    /// For each host, the version of the latest own set that it is known to have reached.
    seen: BTreeMap<HostName, u64>,
    version: u64,
}

impl LeaseSets {
    pub(crate) fn new(host: HostName, lapse: Duration) -> LeaseSets {
        let (sets, seen) = (Vec::new(), BTreeMap::new());
        LeaseSets { host, lapse, sets, waiting: None, seen, version: 0 }
    }

    /// Takes over the published entry hosts; an older list is ignored.
    pub(crate) fn set_hosts(&mut self, now: Moment, list: &LiveList) {
        if list.version <= self.version {
            return;
        }
        self.version = list.version;
        let mut hosts: Vec<_> = list.entry_hosts.iter().map(|entry| entry.name.clone()).collect();
        hosts.sort();
        hosts.dedup();
        let next = HostSet { hash: hash_of(&hosts), version: list.version, hosts, left: None };
        self.waiting = Some(next);
        self.adopt_waiting();
        self.retire(now);
    }

    /// Notes the sets and the list version with which `host` asked or granted.
    ///
    /// It proves that the host has left an earlier set only if this host knows all sets that the
    /// other still needs a majority of; an unknown one might be older and still in use.
    pub(crate) fn heard(&mut self, host: &HostName, list: u64, sets: &[u64]) {
        let Some(&last) = sets.last() else {
            return;
        };
        let Some(aligned) = self.align(sets) else {
            return;
        };
        let same = |set: &HostSet| set.version <= list && set.hash == last;
        let at = self.sets.iter().rposition(same).map_or(aligned, |at| at.max(aligned));
        let version = self.sets[at].version;
        if self.is_voter(host) {
            let seen = self.seen.entry(host.clone()).or_default();
            *seen = version.max(*seen);
        }
    }

    /// Returns the earliest place of the last of `sets` if they follow each other in the own ones.
    fn align(&self, sets: &[u64]) -> Option<usize> {
        let mut own = self.sets.iter().enumerate();
        let mut last = None;
        for hash in sets {
            let (at, _) = own.find(|(_, set)| set.hash == *hash)?;
            last = Some(at);
        }
        last
    }

    /// Drops the sets whose majority has moved on and whose grants have lapsed.
    ///
    /// Returns whether the sets in force changed.
    pub(crate) fn retire(&mut self, now: Moment) -> bool {
        for at in 0..self.sets.len().saturating_sub(1) {
            let next = self.sets[at + 1].version;
            let left = |host: &HostName| self.reached(host) >= next;
            if self.sets[at].left.is_none() && is_majority(&self.sets[at].hosts, left) {
                self.sets[at].left = Some(now);
            }
        }
        let lapse = self.lapse;
        let ended = |set: &HostSet| set.left.is_some_and(|at| now.since(at) >= lapse);
        let count = self.sets.iter().take_while(|set| ended(set)).count();
        if count == 0 {
            return false;
        }
        self.sets.drain(..count);
        self.adopt_waiting();
        // Without this a long-lived host would remember every host that was ever published.
        let sets = &self.sets;
        self.seen.retain(|host, _| sets.iter().any(|set| set.hosts.contains(host)));
        true
    }

    /// Returns the hosts of each set in force, oldest first.
    pub(crate) fn each(&self) -> impl Iterator<Item = &[HostName]> {
        self.sets.iter().map(|set| &set.hosts[..])
    }

    /// Returns the version of the live list.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the hashes of the sets in force, oldest first.
    pub(crate) fn hashes(&self) -> Vec<u64> {
        self.sets.iter().map(|set| set.hash).collect()
    }

    /// Tells whether earlier sets are still in force beside the last.
    pub(crate) fn is_changing(&self) -> bool {
        self.sets.len() > 1
    }

    /// Tells whether this host may grant to an asker that needs majorities of `sets`.
    ///
    /// The asker must need a majority of all that this host knows to be needed.
    pub(crate) fn may_grant(&self, sets: &[u64]) -> bool {
        !self.sets.is_empty() && self.sets.iter().all(|set| sets.contains(&set.hash))
    }

    /// Tells whether this host is in the set in force.
    pub(crate) fn is_listed(&self, host: &HostName) -> bool {
        self.sets.last().is_some_and(|set| set.hosts.contains(host))
    }

    /// Tells whether this host is in any of the sets.
    pub(crate) fn is_voter(&self, host: &HostName) -> bool {
        self.sets.iter().any(|set| set.hosts.contains(host))
    }

    /// Returns the hosts of the set in force.
    pub(crate) fn hosts(&self) -> &[HostName] {
        self.sets.last().map_or(&[], |set| &set.hosts)
    }

    /// Returns every host of any of the sets, this host left out.
    pub(crate) fn voters(&self) -> Vec<HostName> {
        let mut all: Vec<_> = self.sets.iter().flat_map(|set| &set.hosts).cloned().collect();
        all.sort();
        all.dedup();
        all.retain(|host| *host != self.host);
        all
    }

    /// Tells whether `granted` holds for a majority of each set.
    pub(crate) fn has_majorities(&self, granted: impl Fn(&HostName) -> bool) -> bool {
        !self.sets.is_empty() && self.sets.iter().all(|set| is_majority(&set.hosts, &granted))
    }

    fn reached(&self, host: &HostName) -> u64 {
        if *host == self.host {
            return self.sets.last().map_or(0, |set| set.version);
        }
        self.seen.get(host).copied().unwrap_or(0)
    }

    fn adopt_waiting(&mut self) {
        if self.sets.len() >= MAX_SETS {
            return;
        }
        if let Some(next) = self.waiting.take()
            && self.sets.last().is_none_or(|set| set.hash != next.hash)
        {
            self.sets.push(next);
        }
    }
}

fn is_majority(hosts: &[HostName], holds: impl Fn(&HostName) -> bool) -> bool {
    let count = hosts.iter().filter(|host| holds(host)).count();
    count * 2 > hosts.len()
}

fn hash_of(hosts: &[HostName]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for host in hosts {
        hasher.update(&(host.as_str().len() as u64).to_le_bytes());
        hasher.update(host.as_str().as_bytes());
    }
    first_u64(&hasher.finalize())
}
