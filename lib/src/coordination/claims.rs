//! The claims of one entry host: the states of non-idempotent calls by idempotency key.
//!
//! A claim states that the call ran, may have run, is running at this host, or will never run. It
//! stays true whichever host holds the lease on its shard. Claims are removed only by age, and a
//! key older than the latest removed one is never accepted as new. A full table refuses new calls.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::lease::SHARD_COUNT;
use super::lease::millis;
use super::lease::shard_of;
use super::message::ClaimRecord;
use super::message::ClaimState;
use crate::state::CallKey;
use crate::state::HostName;
use crate::state::Moment;
use crate::state::RequestId;
use crate::state::ServiceReply;
use crate::state::WallTime;

/// The maximum number of copies of one call that wait for its answer.
const MAX_WAITERS: usize = 16;

/// The memory that a claim takes besides its answer, in bytes.
const CLAIM_OVERHEAD_BYTES: usize = 160;

/// Limits on the claim table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClaimLimits {
    pub(crate) count: usize,
    pub(crate) bytes: usize,
    pub(crate) max_age: Duration,
}

/// A copy of a call that waits for its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Waiter {
    pub(crate) requester: HostName,
    pub(crate) request: RequestId,
    pub(crate) deadline: Moment,
}

/// One call and its state.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    pub(crate) call_hash: u64,
    pub(crate) state: ClaimState,
    /// Whether this process runs the call and may therefore send it once.
    pub(crate) is_local: bool,
    /// Whether the call was sent or is about to be sent.
    pub(crate) sent: bool,
    /// The latest deadline among the copies; sending the call after it is of no use.
    pub(crate) deadline: Moment,
    waiters: Vec<Waiter>,
}

/// The error that the table has no room for another claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClaimTableFull;

/// The claims of all shards.
#[derive(Debug, Clone)]
pub(crate) struct Claims {
    limits: ClaimLimits,
    /// The claims of each shard, ordered by age because a UUIDv7 starts with its timestamp.
    tables: Vec<BTreeMap<CallKey, Claim>>,
    /// For each shard, the creation time up to which claims were removed.
    expired_through: Vec<WallTime>,
    /// The keys whose claims have waiters.
    with_waiters: BTreeSet<CallKey>,
    count: usize,
    bytes: usize,
}

impl Claims {
    pub(crate) fn new(limits: ClaimLimits) -> Claims {
        Claims {
            limits,
            tables: vec![BTreeMap::new(); usize::from(SHARD_COUNT)],
            expired_through: vec![WallTime(0); usize::from(SHARD_COUNT)],
            with_waiters: BTreeSet::new(),
            count: 0,
            bytes: 0,
        }
    }

    pub(crate) fn get(&self, key: CallKey) -> Option<&Claim> {
        self.tables[shard_index(key)].get(&key)
    }

    /// Returns the creation time up to which claims of `shard` were removed.
    pub(crate) fn expired_through(&self, shard: u16) -> WallTime {
        self.expired_through.get(usize::from(shard)).copied().unwrap_or_default()
    }

    /// Adds a claim in its initial state.
    pub(crate) fn insert(
        &mut self,
        key: CallKey,
        call_hash: u64,
        state: ClaimState,
    ) -> Result<(), ClaimTableFull> {
        let size = size_of(&state);
        if self.count >= self.limits.count || self.bytes + size > self.limits.bytes {
            return Err(ClaimTableFull);
        }
        let deadline = Moment::default();
        let claim =
            Claim { call_hash, state, is_local: false, sent: false, deadline, waiters: Vec::new() };
        self.tables[shard_index(key)].insert(key, claim);
        self.count += 1;
        self.bytes += size;
        Ok(())
    }

    /// Adds a claim for a call that this process will run.
    pub(crate) fn start(
        &mut self,
        key: CallKey,
        call_hash: u64,
        waiter: Waiter,
    ) -> Result<(), ClaimTableFull> {
        self.insert(key, call_hash, ClaimState::Running)?;
        if let Some(claim) = self.tables[shard_index(key)].get_mut(&key) {
            claim.is_local = true;
        }
        self.add_waiter(key, waiter);
        Ok(())
    }

    /// Adds a copy as a waiter; returns false if `MAX_WAITERS` others wait already.
    ///
    /// A copy that is already waiting is not added again.
    pub(crate) fn add_waiter(&mut self, key: CallKey, waiter: Waiter) -> bool {
        let Some(claim) = self.tables[shard_index(key)].get_mut(&key) else {
            return false;
        };
        let same =
            |other: &Waiter| other.requester == waiter.requester && other.request == waiter.request;
        if claim.waiters.iter().any(same) {
            return true;
        }
        if claim.waiters.len() >= MAX_WAITERS {
            return false;
        }
        claim.deadline = claim.deadline.max(waiter.deadline);
        claim.waiters.push(waiter);
        self.with_waiters.insert(key);
        true
    }

    /// Marks the call as sent if this process runs it and has not sent it; returns whether it did.
    pub(crate) fn mark_sent(&mut self, now: Moment, key: CallKey) -> bool {
        let Some(claim) = self.tables[shard_index(key)].get_mut(&key) else {
            return false;
        };
        let unsent = claim.is_local && !claim.sent && claim.state == ClaimState::Running;
        let in_time = now < claim.deadline;
        claim.sent |= unsent && in_time;
        unsent && in_time
    }

    /// Marks the call as not sent, because no byte of it was written.
    pub(crate) fn mark_unsent(&mut self, key: CallKey) {
        if let Some(claim) = self.tables[shard_index(key)].get_mut(&key) {
            claim.sent = false;
        }
    }

    /// Records the final state of a call and returns the copies that wait for it.
    ///
    /// An answer that exceeds the memory limit is stored as `Unknown`, so that the call never runs
    /// again although its answer cannot be repeated.
    pub(crate) fn finish(&mut self, key: CallKey, state: ClaimState) -> Vec<Waiter> {
        let table = &mut self.tables[shard_index(key)];
        let Some(claim) = table.get_mut(&key) else {
            return Vec::new();
        };
        if !is_upgrade(&claim.state, &state) {
            return Vec::new();
        }
        let rest = self.bytes - size_of(&claim.state);
        let fits = rest + size_of(&state) <= self.limits.bytes;
        claim.state = if fits { state } else { ClaimState::Unknown };
        claim.is_local = false;
        self.bytes = rest + size_of(&claim.state);
        self.with_waiters.remove(&key);
        std::mem::take(&mut claim.waiters)
    }

    /// Merges a claim from another host; returns the waiters that can be answered now.
    pub(crate) fn merge(&mut self, record: &ClaimRecord) -> Result<Vec<Waiter>, ClaimTableFull> {
        match self.get(record.key) {
            Some(claim) if claim.is_local => Ok(Vec::new()),
            Some(_) => Ok(self.finish(record.key, record.state.clone())),
            None => {
                let inserted = self.insert(record.key, record.call_hash, record.state.clone());
                if inserted.is_err() {
                    self.insert(record.key, record.call_hash, ClaimState::Unknown)?;
                }
                Ok(Vec::new())
            }
        }
    }

    /// Removes and returns the waiters whose deadline has passed.
    pub(crate) fn take_expired_waiters(&mut self, now: Moment) -> Vec<Waiter> {
        let mut overdue = Vec::new();
        let keys: Vec<_> = self.with_waiters.iter().copied().collect();
        for key in keys {
            let Some(claim) = self.tables[shard_index(key)].get_mut(&key) else {
                self.with_waiters.remove(&key);
                continue;
            };
            overdue.extend(claim.waiters.extract_if(.., |waiter| waiter.deadline <= now));
            if claim.waiters.is_empty() {
                self.with_waiters.remove(&key);
            }
        }
        overdue
    }

    /// Removes claims older than the maximum age and returns their remaining waiters.
    pub(crate) fn remove_expired(&mut self, wall: WallTime) -> Vec<Waiter> {
        let horizon = WallTime(wall.0.saturating_sub(millis(self.limits.max_age)));
        let mut removed = Vec::new();
        for (table, expired_through) in self.tables.iter_mut().zip(&mut self.expired_through) {
            *expired_through = horizon.max(*expired_through);
            while let Some(first) = table.first_entry()
                && first.key().created_at() <= *expired_through
            {
                let (key, claim) = first.remove_entry();
                self.count -= 1;
                self.bytes -= size_of(&claim.state);
                self.with_waiters.remove(&key);
                removed.extend(claim.waiters);
            }
        }
        removed
    }

    /// Returns the number of calls that this process runs.
    pub(crate) fn running(&self) -> usize {
        let claims = self.tables.iter().flat_map(BTreeMap::values);
        claims.filter(|claim| claim.is_local).count()
    }

    /// Returns the claim of one key as a record.
    pub(crate) fn record(&self, key: CallKey) -> Option<ClaimRecord> {
        let claim = self.get(key)?;
        Some(ClaimRecord { key, call_hash: claim.call_hash, state: claim.state.clone() })
    }

    /// Returns the claims of a shard for its next holder, with at most `bytes` of answers in total.
    ///
    /// The latest answers are included, because their callers are the most likely to retry.
    pub(crate) fn records(&self, shard: u16, bytes: usize) -> Vec<ClaimRecord> {
        let Some(table) = self.tables.get(usize::from(shard)) else {
            return Vec::new();
        };
        let mut left = bytes;
        let mut records = Vec::with_capacity(table.len());
        for (&key, claim) in table.iter().rev() {
            let size = size_of(&claim.state) - CLAIM_OVERHEAD_BYTES;
            let fits = size <= left;
            left -= if fits { size } else { 0 };
            let state = if fits { claim.state.clone() } else { ClaimState::Unknown };
            records.push(ClaimRecord { key, call_hash: claim.call_hash, state });
        }
        records
    }
}

fn shard_index(key: CallKey) -> usize {
    usize::from(shard_of(key))
}

fn size_of(state: &ClaimState) -> usize {
    match state {
        ClaimState::Done(reply) => CLAIM_OVERHEAD_BYTES + reply_size(reply),
        _ => CLAIM_OVERHEAD_BYTES,
    }
}

fn reply_size(reply: &ServiceReply) -> usize {
    reply.body.len() + reply.media.as_ref().map_or(0, |media| media.len())
}

/// Returns whether `next` is more definite than `known`.
fn is_upgrade(known: &ClaimState, next: &ClaimState) -> bool {
    match known {
        ClaimState::Running => *next != ClaimState::Running,
        ClaimState::Unknown => matches!(next, ClaimState::Done(_) | ClaimState::Refused(_)),
        ClaimState::Done(_) | ClaimState::Refused(_) => false,
    }
}
