//! The holder's side of leases on shards of idempotency keys.
//!
//! A lease is valid while grants from a majority of the published entry hosts are unexpired. The
//! holder measures each grant from the time of its own request and shortens it by the permitted
//! clock drift. Validity is also checked against the wall clock, because the monotonic clock may
//! stop while the machine is suspended.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::lease_voter::Granted;
use super::voter_sets::VoterSets;
use crate::state::CallKey;
use crate::state::HostName;
use crate::state::Moment;
use crate::state::Now;
use crate::state::WallTime;

/// The number of shards into which idempotency keys are divided.
pub const SHARD_COUNT: u16 = 16;

/// Clocks may drift apart by at most `1 / DRIFT_DIVISOR` of the lease duration during one lease.
const DRIFT_DIVISOR: u32 = 20;

/// The maximum number of recent lease requests that a holder keeps to match replies against.
const MAX_ROUNDS: usize = 64;

/// Returns the shard of `key`.
///
/// ```
/// use wasabicrank_lib::coordination::{SHARD_COUNT, shard_of};
/// use wasabicrank_lib::state::CallKey;
/// assert!(shard_of(CallKey(7)) < SHARD_COUNT);
/// ```
pub fn shard_of(key: CallKey) -> u16 {
    /// The 64-bit golden ratio; multiplying by it distributes adjacent keys over the shards.
    const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;
    let mixed = ((key.0 as u64) ^ ((key.0 >> 64) as u64)).wrapping_mul(GOLDEN_RATIO);
    ((mixed >> 32) % u64::from(SHARD_COUNT)) as u16
}

/// The duration of a voter's grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LeaseDuration {
    pub(crate) lease: Duration,
}

impl LeaseDuration {
    /// Returns how long the holder may rely on a grant, measured from its request.
    pub(crate) fn holder_duration(self) -> Duration {
        self.lease - self.lease / DRIFT_DIVISOR
    }

    /// Returns the time after which a grant has expired by the clock of every host.
    pub(crate) fn max_duration(self) -> Duration {
        self.lease + self.lease / DRIFT_DIVISOR
    }
}

/// One voter's grant with its expiry as the holder computes it.
#[derive(Debug, Clone, Copy)]
struct VoterGrant {
    until: Moment,
    wall_until: WallTime,
    handed: bool,
}

/// A lease request whose replies are still accepted.
#[derive(Debug, Clone, Copy)]
struct Round {
    number: u64,
    sent: Now,
}

/// The grants of one shard.
#[derive(Debug, Clone, Default)]
struct ShardGrants {
    grants: BTreeMap<HostName, VoterGrant>,
    /// Replies to earlier rounds are ignored because their grants were released.
    first_round: u64,
    /// When the majority of grants expires; recomputed whenever grants or voter sets change.
    expiry: Option<Expiry>,
}

/// The end of a lease on the monotonic and the wall clock.
#[derive(Debug, Clone, Copy)]
struct Expiry {
    until: Moment,
    wall_until: WallTime,
}

/// The grants that this process has received.
#[derive(Debug, Clone)]
pub(crate) struct LeaseHolder {
    duration: LeaseDuration,
    round: u64,
    rounds: VecDeque<Round>,
    shards: Vec<ShardGrants>,
}

impl LeaseHolder {
    /// Creates a holder without grants.
    ///
    /// `first_round` is random so that a reply to an earlier incarnation matches no request of this
    /// one.
    pub(crate) fn new(duration: LeaseDuration, first_round: u64) -> LeaseHolder {
        let shards = vec![ShardGrants::default(); usize::from(SHARD_COUNT)];
        LeaseHolder { duration, round: first_round, rounds: VecDeque::new(), shards }
    }

    /// Starts a request round at `now`, before any of its messages is sent, and returns its number.
    pub(crate) fn begin_round(&mut self, now: Now) -> u64 {
        self.round += 1;
        self.rounds.push_back(Round { number: self.round, sent: now });
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.round
    }

    /// Records a voter's reply to a lease request.
    pub(crate) fn on_grant(
        &mut self,
        voter: &HostName,
        round: u64,
        granted: &Granted,
        sets: &VoterSets,
    ) {
        let Some(request) = self.rounds.iter().find(|known| known.number == round) else {
            return;
        };
        let until = request.sent.mono + self.duration.holder_duration();
        let wall_until = WallTime(request.sent.wall.0.saturating_add(millis(self.duration.lease)));
        for &shard in &granted.shards {
            let Some(shard_grants) = self.shards.get_mut(usize::from(shard)) else {
                continue;
            };
            if round < shard_grants.first_round {
                continue;
            }
            let handed = granted.handed.contains(&shard);
            shard_grants.record(voter, VoterGrant { until, wall_until, handed });
            shard_grants.update_expiry(sets);
        }
    }

    /// Returns whether the lease on `shard` is valid at `now`.
    pub(crate) fn is_valid(&self, now: Now, shard: u16) -> bool {
        let expiry =
            self.shards.get(usize::from(shard)).and_then(|shard_grants| shard_grants.expiry);
        expiry.is_some_and(|expiry| now.mono < expiry.until && now.wall < expiry.wall_until)
    }

    /// Returns whether a majority granted `shard` to this process as the successor named by the
    /// previous holder.
    ///
    /// In that case no other process held the shard in between: any two majorities share a voter,
    /// and that voter would have recorded the other process as the latest holder.
    pub(crate) fn was_handed_over(&self, now: Now, shard: u16, sets: &VoterSets) -> bool {
        let handed = |grant: &VoterGrant| grant.is_valid(now) && grant.handed;
        self.shards.get(usize::from(shard)).is_some_and(|shard_grants| {
            sets.has_majorities(|host| shard_grants.grants.get(host).is_some_and(handed))
        })
    }

    /// Discards the grants for `shard`; returns whether there were any.
    pub(crate) fn discard(&mut self, shard: u16) -> bool {
        let first_round = self.round + 1;
        let Some(shard_grants) = self.shards.get_mut(usize::from(shard)) else {
            return false;
        };
        shard_grants.first_round = first_round;
        let had_grants = !shard_grants.grants.is_empty();
        shard_grants.grants.clear();
        shard_grants.expiry = None;
        had_grants
    }

    /// Recomputes expiries after the voter sets have changed, and drops the grants of hosts that
    /// are no longer in any set.
    pub(crate) fn on_sets_changed(&mut self, sets: &VoterSets) {
        for shard_grants in &mut self.shards {
            shard_grants.grants.retain(|host, _| sets.is_voter(host));
            shard_grants.update_expiry(sets);
        }
    }

    /// Returns the number of the latest request round.
    pub(crate) fn last_round(&self) -> u64 {
        self.round
    }
}

impl VoterGrant {
    fn is_valid(&self, now: Now) -> bool {
        now.mono < self.until && now.wall < self.wall_until
    }

    fn expiry(&self) -> Expiry {
        Expiry { until: self.until, wall_until: self.wall_until }
    }
}

impl ShardGrants {
    fn record(&mut self, voter: &HostName, grant: VoterGrant) {
        let known = self.grants.entry(voter.clone()).or_insert(grant);
        if grant.until > known.until {
            *known = grant;
        }
    }

    /// Recomputes the time until which a majority of every voter set has granted the lease.
    fn update_expiry(&mut self, sets: &VoterSets) {
        self.expiry = None;
        for hosts in sets.iter() {
            let Some(expiry) = self.majority_expiry(hosts) else {
                self.expiry = None;
                return;
            };
            self.expiry = Some(self.expiry.map_or(expiry, |other| other.earlier(expiry)));
        }
    }

    /// Returns the time until which a majority of `hosts` has granted the lease, counting the
    /// grants that expire last.
    fn majority_expiry(&self, hosts: &[HostName]) -> Option<Expiry> {
        let grants = hosts.iter().filter_map(|host| self.grants.get(host));
        let mut expiries: Vec<_> = grants.map(VoterGrant::expiry).collect();
        expiries.sort_by_key(|expiry| std::cmp::Reverse(expiry.until));
        let majority = expiries.get(..=hosts.len() / 2)?;
        majority.iter().copied().reduce(Expiry::earlier)
    }
}

impl Expiry {
    fn earlier(self, other: Expiry) -> Expiry {
        Expiry {
            until: self.until.min(other.until),
            wall_until: self.wall_until.min(other.wall_until),
        }
    }
}

/// Returns `duration` in whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
