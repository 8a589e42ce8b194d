//! The voter's side of leases: each published entry host grants a shard to one incarnation at a time.
//!
//! Grants are kept in memory. A voter that has just started may have granted before, so it grants
//! nothing until that has lapsed.

use std::time::Duration;

use super::lease::LeaseSpan;
use super::lease::SHARDS;
use super::message::Process;
use crate::state::Moment;

/// What a voter grants in reply to one ask.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Granted {
    pub(crate) shards: Vec<u16>,
    pub(crate) handed: Vec<u16>,
}

/// The last grant of one shard; it is kept after it lapsed, to know who held the shard last.
#[derive(Debug, Clone)]
struct Vote {
    holder: Process,
    until: Moment,
    round: u64,
    /// Whether the holder before named this one its successor.
    handed: bool,
    /// Whom the holder named its successor when it released the shard.
    successor: Option<Process>,
}

/// The grants that one entry host has given.
#[derive(Debug, Clone)]
pub(crate) struct LeaseVoter {
    span: LeaseSpan,
    opens: Moment,
    votes: Vec<Option<Vote>>,
}

impl LeaseVoter {
    pub(crate) fn new(span: LeaseSpan, now: Moment) -> LeaseVoter {
        LeaseVoter { span, opens: now + span.lapse(), votes: vec![None; usize::from(SHARDS)] }
    }

    /// Grants those of `shards` that nobody else holds.
    pub(crate) fn on_ask(
        &mut self,
        now: Moment,
        asker: &Process,
        round: u64,
        shards: &[u16],
    ) -> Granted {
        let mut granted = Granted::default();
        if now < self.opens {
            return granted;
        }
        for &shard in shards {
            let Some(vote) = self.votes.get_mut(usize::from(shard)) else {
                continue;
            };
            if grant(vote, now, asker, round, self.span.lease) {
                granted.shards.push(shard);
                if vote.as_ref().is_some_and(|vote| vote.handed) {
                    granted.handed.push(shard);
                }
            }
        }
        granted
    }

    /// Frees what `holder` was granted in rounds up to `round`.
    ///
    /// With a successor, others still wait until the grant lapses. A late release of an earlier
    /// round changes nothing, as the holder counts on what it was granted since.
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

/// Grants one shard to `asker` unless another holds it.
fn grant(
    vote: &mut Option<Vote>,
    now: Moment,
    asker: &Process,
    round: u64,
    lease: Duration,
) -> bool {
    let until = now + lease;
    let Some(last) = vote else {
        let holder = asker.clone();
        *vote = Some(Vote { holder, until, round, handed: false, successor: None });
        return true;
    };
    let handed = last.successor.as_ref() == Some(asker);
    if last.holder == *asker {
        // A holder that named a successor does not come back on a late ask.
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
    let holder = asker.clone();
    *vote = Some(Vote { holder, until, round, handed, successor: None });
    true
}
