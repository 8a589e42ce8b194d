//! Leases on shards of idempotency keys, as their holder counts them.
//!
//! A lease is valid while a majority of the published entry hosts has granted it, each for a time
//! that the holder counts from the moment at which it asked, shortened by what clocks may drift. The
//! wall clock must agree, in case the monotonic clock stood still while the machine was suspended.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::lease_sets::LeaseSets;
use super::lease_voter::Granted;
use crate::state::CallKey;
use crate::state::HostName;
use crate::state::Moment;
use crate::state::Now;
use crate::state::WallTime;

/// The number of shards into which idempotency keys are divided.
pub const SHARDS: u16 = 16;

/// The part of a lease that clocks may drift apart in its time: one in this many.
const DRIFT_PART: u32 = 20;

/// How many asks a holder remembers, to pair the replies with them.
const MAX_ROUNDS: usize = 64;

/// Returns the shard of `key`.
///
/// ```
/// use wasabicrank_lib::coordination::{SHARDS, shard_of};
/// use wasabicrank_lib::state::CallKey;
/// assert!(shard_of(CallKey(7)) < SHARDS);
/// ```
pub fn shard_of(key: CallKey) -> u16 {
    /// The 64-bit golden ratio, which spreads neighbouring keys over the shards.
    const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;
    let mixed = ((key.0 as u64) ^ ((key.0 >> 64) as u64)).wrapping_mul(SPREAD);
    ((mixed >> 32) % u64::from(SHARDS)) as u16
}

/// How long a voter's grant lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LeaseSpan {
    pub(crate) lease: Duration,
}

impl LeaseSpan {
    /// How long the holder counts on a grant, from its ask.
    pub(crate) fn counted(self) -> Duration {
        self.lease - self.lease / DRIFT_PART
    }

    /// After how long, by any host's clock, a grant has lapsed for sure.
    pub(crate) fn lapse(self) -> Duration {
        self.lease + self.lease / DRIFT_PART
    }
}

/// A voter's grant as the holder counts it.
#[derive(Debug, Clone, Copy)]
struct Ballot {
    until: Moment,
    wall_until: WallTime,
    handed: bool,
}

/// An ask whose replies are still of use.
#[derive(Debug, Clone, Copy)]
struct Round {
    number: u64,
    sent: Now,
}

/// The grants of one shard.
#[derive(Debug, Clone, Default)]
struct Tally {
    ballots: BTreeMap<HostName, Ballot>,
    /// Replies to earlier rounds are ignored, as their grants were released.
    first_round: u64,
    /// Until when a majority stands; it is reckoned when grants or sets change.
    bound: Option<Bound>,
}

/// The end of a lease on both clocks.
#[derive(Debug, Clone, Copy)]
struct Bound {
    until: Moment,
    wall_until: WallTime,
}

/// The grants that this process has collected.
#[derive(Debug, Clone)]
pub(crate) struct LeaseHolder {
    span: LeaseSpan,
    round: u64,
    rounds: VecDeque<Round>,
    tallies: Vec<Tally>,
}

impl LeaseHolder {
    /// Starts without grants. `first_round` is random, so that a reply to an earlier incarnation
    /// pairs with no ask of this one.
    pub(crate) fn new(span: LeaseSpan, first_round: u64) -> LeaseHolder {
        let tallies = vec![Tally::default(); usize::from(SHARDS)];
        LeaseHolder { span, round: first_round, rounds: VecDeque::new(), tallies }
    }

    /// Begins an ask at `now`, before any message of it is sent, and returns its number.
    pub(crate) fn begin_round(&mut self, now: Now) -> u64 {
        self.round += 1;
        self.rounds.push_back(Round { number: self.round, sent: now });
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.round
    }

    /// Counts a voter's reply to an ask.
    pub(crate) fn on_grant(
        &mut self,
        voter: &HostName,
        round: u64,
        granted: &Granted,
        sets: &LeaseSets,
    ) {
        let Some(sent) = self.rounds.iter().find(|known| known.number == round) else {
            return;
        };
        let until = sent.sent.mono + self.span.counted();
        let wall_until = WallTime(sent.sent.wall.0.saturating_add(millis(self.span.lease)));
        for &shard in &granted.shards {
            let Some(tally) = self.tallies.get_mut(usize::from(shard)) else {
                continue;
            };
            if round < tally.first_round {
                continue;
            }
            let handed = granted.handed.contains(&shard);
            tally.count(voter, Ballot { until, wall_until, handed });
            tally.reckon(sets);
        }
    }

    /// Tells whether the lease on `shard` is valid at `now`.
    pub(crate) fn is_valid(&self, now: Now, shard: u16) -> bool {
        let bound = self.tallies.get(usize::from(shard)).and_then(|tally| tally.bound);
        bound.is_some_and(|bound| now.mono < bound.until && now.wall < bound.wall_until)
    }

    /// Tells whether a majority granted `shard` as the successor of the holder before.
    ///
    /// Then nobody else held it in between: a voter in common would have granted to that one last.
    pub(crate) fn was_handed(&self, now: Now, shard: u16, sets: &LeaseSets) -> bool {
        let handed = |ballot: &Ballot| ballot.is_valid(now) && ballot.handed;
        self.tallies.get(usize::from(shard)).is_some_and(|tally| {
            sets.has_majorities(|host| tally.ballots.get(host).is_some_and(handed))
        })
    }

    /// Gives up what was granted for `shard`; returns whether there was anything.
    pub(crate) fn give_up(&mut self, shard: u16) -> bool {
        let first_round = self.round + 1;
        let Some(tally) = self.tallies.get_mut(usize::from(shard)) else {
            return false;
        };
        tally.first_round = first_round;
        let had = !tally.ballots.is_empty();
        tally.ballots.clear();
        tally.bound = None;
        had
    }

    /// Counts anew after the sets have changed, and forgets the grants of hosts in none of them.
    pub(crate) fn on_sets(&mut self, sets: &LeaseSets) {
        for tally in &mut self.tallies {
            tally.ballots.retain(|host, _| sets.is_voter(host));
            tally.reckon(sets);
        }
    }

    /// Returns the number of the last ask.
    pub(crate) fn last_round(&self) -> u64 {
        self.round
    }
}

impl Ballot {
    fn is_valid(&self, now: Now) -> bool {
        now.mono < self.until && now.wall < self.wall_until
    }

    fn bound(&self) -> Bound {
        Bound { until: self.until, wall_until: self.wall_until }
    }
}

impl Tally {
    fn count(&mut self, voter: &HostName, ballot: Ballot) {
        let known = self.ballots.entry(voter.clone()).or_insert(ballot);
        if ballot.until > known.until {
            *known = ballot;
        }
    }

    /// Finds until when a majority of each set has granted.
    fn reckon(&mut self, sets: &LeaseSets) {
        self.bound = None;
        for hosts in sets.each() {
            let Some(bound) = self.bound_of(hosts) else {
                self.bound = None;
                return;
            };
            self.bound = Some(self.bound.map_or(bound, |other| other.earlier(bound)));
        }
    }

    /// Finds until when a majority of `hosts` has granted, by the grants that last longest.
    fn bound_of(&self, hosts: &[HostName]) -> Option<Bound> {
        let ballots = hosts.iter().filter_map(|host| self.ballots.get(host));
        let mut bounds: Vec<_> = ballots.map(Ballot::bound).collect();
        bounds.sort_by_key(|bound| std::cmp::Reverse(bound.until));
        let majority = bounds.get(..=hosts.len() / 2)?;
        majority.iter().copied().reduce(Bound::earlier)
    }
}

impl Bound {
    fn earlier(self, other: Bound) -> Bound {
        Bound {
            until: self.until.min(other.until),
            wall_until: self.wall_until.min(other.wall_until),
        }
    }
}

/// Returns `span` in whole milliseconds.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
