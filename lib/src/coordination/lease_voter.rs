//! The voter's side of leases: each published entry host grants a shard to one incarnation at a
//! time.
//!
//! Grants are kept only in memory. A previous incarnation of the voter may have made grants just
//! before a restart, so a new one grants nothing until those must have expired.

use std::time::Duration;

use super::lease::LeaseDuration;
use super::lease::SHARD_COUNT;
use super::message::Process;
use crate::state::Moment;

/// The shards that a voter grants in reply to one lease request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Granted {
    pub(crate) shards: Vec<u16>,
    pub(crate) handed: Vec<u16>,
}

/// The latest grant of one shard, kept after it expires to identify the previous holder.
#[derive(Debug, Clone)]
struct ShardVote {
    holder: Process,
    until: Moment,
    round: u64,
    /// Whether the previous holder named this one as its successor.
    handed: bool,
    /// The successor that the holder named when it released the shard.
    successor: Option<Process>,
}

/// The grants that one entry host has made.
#[derive(Debug, Clone)]
pub(crate) struct LeaseVoter {
    duration: LeaseDuration,
    /// When grants of an earlier incarnation have certainly expired.
    grants_from: Moment,
    votes: Vec<Option<ShardVote>>,
}

impl LeaseVoter {
    pub(crate) fn new(duration: LeaseDuration, now: Moment) -> LeaseVoter {
        LeaseVoter {
            duration,
            grants_from: now + duration.max_duration(),
            votes: vec![None; usize::from(SHARD_COUNT)],
        }
    }

    /// Grants those of `shards` that no other process holds.
    pub(crate) fn on_request(
        &mut self,
        now: Moment,
        requester: &Process,
        round: u64,
        shards: &[u16],
    ) -> Granted {
        let mut granted = Granted::default();
        if now < self.grants_from {
            return granted;
        }
        for &shard in shards {
            let Some(vote) = self.votes.get_mut(usize::from(shard)) else {
                continue;
            };
            if grant(vote, now, requester, round, self.duration.lease) {
                granted.shards.push(shard);
                if vote.as_ref().is_some_and(|vote| vote.handed) {
                    granted.handed.push(shard);
                }
            }
        }
        granted
    }

    /// Releases what `holder` was granted in rounds up to `round`.
    ///
    /// If a successor is named, other processes still wait until the grant expires. A delayed
    /// release of an earlier round has no effect, because the holder relies on its later grants.
    pub(crate) fn on_release(
        &mut self,
        now: Moment,
        holder: &Process,
        round: u64,
        shards: &[u16],
        successor: Option<&Process>,
    ) {
        for &shard in shards {
            let Some(Some(vote)) = self.votes.get_mut(usize::from(shard)) else {
                continue;
            };
            if vote.holder != *holder || vote.round > round {
                continue;
            }
            match successor {
                Some(next) => vote.successor = Some(next.clone()),
                None => vote.until = now,
            }
        }
    }
}

/// Grants one shard to `requester` unless another process holds it.
fn grant(
    vote: &mut Option<ShardVote>,
    now: Moment,
    requester: &Process,
    round: u64,
    lease: Duration,
) -> bool {
    let until = now + lease;
    let Some(last) = vote else {
        let holder = requester.clone();
        *vote = Some(ShardVote { holder, until, round, handed: false, successor: None });
        return true;
    };
    let handed = last.successor.as_ref() == Some(requester);
    if last.holder == *requester {
        // A delayed request must not undo a handover to the successor.
        if last.successor.is_some() {
            return false;
        }
        last.until = until;
        last.round = last.round.max(round);
        return true;
    }
    if now < last.until && !handed {
        return false;
    }
    let holder = requester.clone();
    *vote = Some(ShardVote { holder, until, round, handed, successor: None });
    true
}
