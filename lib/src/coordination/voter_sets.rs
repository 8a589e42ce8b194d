//! The published sets of entry hosts of which a lease needs majorities.
//!
//! While the set changes, hosts that still use the old one may grant leases to each other. A host
//! that knows the old set therefore needs a majority of both sets, until a majority of the old set
//! is known to use a later one and every grant made before that has expired.

use std::collections::BTreeMap;
use std::time::Duration;

use super::rendezvous::first_u64;
use crate::state::HostName;
use crate::state::LiveList;
use crate::state::Moment;

/// The maximum number of sets in force at once; a further change waits until the oldest is retired.
const MAX_SETS: usize = 8;

/// One published set of entry hosts, which vote on leases.
#[derive(Debug, Clone)]
struct VoterSet {
    hash: u64,
    /// The version of the live list in which this host first saw the set.
    version: u64,
    hosts: Vec<HostName>,
    /// When a majority of the set was first known to use a later one.
    left_at: Option<Moment>,
}

/// The latest set, preceded by the earlier sets whose grants may still be valid.
#[derive(Debug, Clone)]
pub(crate) struct VoterSets {
    host: HostName,
    /// How long grants of a set may remain valid after its majority has moved to a later set.
    max_grant: Duration,
    sets: Vec<VoterSet>,
    /// The newest published set, while `MAX_SETS` sets are already in force.
    pending: Option<VoterSet>,
    /// For each host, the version of the latest of `sets` that it is known to use.
    seen: BTreeMap<HostName, u64>,
    version: u64,
}

impl VoterSets {
    pub(crate) fn new(host: HostName, max_grant: Duration) -> VoterSets {
        let (sets, seen) = (Vec::new(), BTreeMap::new());
        VoterSets { host, max_grant, sets, pending: None, seen, version: 0 }
    }

    /// Updates the voter sets from the published live list; an older list is ignored.
    pub(crate) fn set_hosts(&mut self, now: Moment, list: &LiveList) {
        if list.version <= self.version {
            return;
        }
        self.version = list.version;
        let mut hosts: Vec<_> = list.entry_hosts.iter().map(|entry| entry.name.clone()).collect();
        hosts.sort();
        hosts.dedup();
        let next = VoterSet { hash: hash_of(&hosts), version: list.version, hosts, left_at: None };
        self.pending = Some(next);
        self.activate_pending();
        self.retire_expired(now);
    }

    /// Records the sets and the list version that `host` sent with a lease request or grant.
    ///
    /// They prove that the host has left an earlier set only if this host knows every set of which
    /// the other still needs a majority; an unknown set might be older and still in use.
    pub(crate) fn on_peer_sets(&mut self, host: &HostName, list: u64, sets: &[u64]) {
        let Some(&last) = sets.last() else {
            return;
        };
        let Some(earliest) = self.match_sequence(sets) else {
            return;
        };
        let same = |set: &VoterSet| set.version <= list && set.hash == last;
        let at = self.sets.iter().rposition(same).map_or(earliest, |at| at.max(earliest));
        let version = self.sets[at].version;
        if self.is_voter(host) {
            let seen = self.seen.entry(host.clone()).or_default();
            *seen = version.max(*seen);
        }
    }

    /// Matches `sets` as a subsequence of this host's sets.
    ///
    /// Returns the earliest possible index of the last one, or `None` if they do not match.
    fn match_sequence(&self, sets: &[u64]) -> Option<usize> {
        let mut own = self.sets.iter().enumerate();
        let mut last = None;
        for hash in sets {
            let (at, _) = own.find(|(_, set)| set.hash == *hash)?;
            last = Some(at);
        }
        last
    }

    /// Removes the sets whose majority uses a later set and whose grants have all expired.
    ///
    /// Returns whether the sets in force changed.
    pub(crate) fn retire_expired(&mut self, now: Moment) -> bool {
        for at in 0..self.sets.len().saturating_sub(1) {
            let next_version = self.sets[at + 1].version;
            let moved_on = |host: &HostName| self.latest_version(host) >= next_version;
            if self.sets[at].left_at.is_none() && is_majority(&self.sets[at].hosts, moved_on) {
                self.sets[at].left_at = Some(now);
            }
        }
        let max_grant = self.max_grant;
        let expired = |set: &VoterSet| set.left_at.is_some_and(|at| now.since(at) >= max_grant);
        let count = self.sets.iter().take_while(|set| expired(set)).count();
        if count == 0 {
            return false;
        }
        self.sets.drain(..count);
        self.activate_pending();
        // Bounds the memory of a long-running host to the hosts of the current sets.
        let sets = &self.sets;
        self.seen.retain(|host, _| sets.iter().any(|set| set.hosts.contains(host)));
        true
    }

    /// Returns the hosts of each set in force, oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &[HostName]> {
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

    /// Returns whether earlier sets are still in force besides the latest.
    pub(crate) fn is_transitioning(&self) -> bool {
        self.sets.len() > 1
    }

    /// Returns whether this host may grant a lease to a requester that needs majorities of `sets`.
    ///
    /// The requester must need a majority of every set that is in force at this host.
    pub(crate) fn may_grant(&self, sets: &[u64]) -> bool {
        !self.sets.is_empty() && self.sets.iter().all(|set| sets.contains(&set.hash))
    }

    /// Returns whether `host` is in the latest set.
    pub(crate) fn is_listed(&self, host: &HostName) -> bool {
        self.sets.last().is_some_and(|set| set.hosts.contains(host))
    }

    /// Returns whether `host` is in any set in force.
    pub(crate) fn is_voter(&self, host: &HostName) -> bool {
        self.sets.iter().any(|set| set.hosts.contains(host))
    }

    /// Returns the hosts of the latest set.
    pub(crate) fn hosts(&self) -> &[HostName] {
        self.sets.last().map_or(&[], |set| &set.hosts)
    }

    /// Returns all hosts of the sets in force except this host.
    pub(crate) fn voters(&self) -> Vec<HostName> {
        let mut all: Vec<_> = self.sets.iter().flat_map(|set| &set.hosts).cloned().collect();
        all.sort();
        all.dedup();
        all.retain(|host| *host != self.host);
        all
    }

    /// Returns whether `granted` is true for a majority of every set.
    pub(crate) fn has_majorities(&self, granted: impl Fn(&HostName) -> bool) -> bool {
        !self.sets.is_empty() && self.sets.iter().all(|set| is_majority(&set.hosts, &granted))
    }

    fn latest_version(&self, host: &HostName) -> u64 {
        if *host == self.host {
            return self.sets.last().map_or(0, |set| set.version);
        }
        self.seen.get(host).copied().unwrap_or(0)
    }

    fn activate_pending(&mut self) {
        if self.sets.len() >= MAX_SETS {
            return;
        }
        if let Some(next) = self.pending.take()
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
