//! What one entry host knows of non-idempotent calls, by idempotency key.
//!
//! A claim is a fact that stays true wherever the lease on its shard goes: the call ran, may have
//! run, is running here, or never will run. Claims are forgotten by age only, and what is older
//! than the last one forgotten is never taken for new. A full table refuses new calls.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::lease::SHARDS;
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

/// How many copies of one call may wait for its answer.
const MAX_WAITERS: usize = 16;

/// What a claim takes in memory beside its answer's body, in bytes.
const CLAIM_BYTES: usize = 160;

/// Bounds on the memory of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClaimLimits {
    pub(crate) count: usize,
    pub(crate) bytes: usize,
    pub(crate) life: Duration,
}

/// A copy of a call that waits for the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Waiter {
    pub(crate) asker: HostName,
    pub(crate) request: RequestId,
    pub(crate) deadline: Moment,
}

/// One call and what became of it.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    pub(crate) call_hash: u64,
    pub(crate) state: ClaimState,
    /// Whether this process runs the call; it may then send it once.
    pub(crate) here: bool,
    /// Whether the call was sent or is about to be.
    pub(crate) sent: bool,
    /// Until when sending the call is of use.
    pub(crate) deadline: Moment,
    waiters: Vec<Waiter>,
}

/// Says that the table has no room for another claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClaimsFull;

/// The claims of all shards.
#[derive(Debug, Clone)]
pub(crate) struct Claims {
    limits: ClaimLimits,
    /// A UUIDv7 starts with its time, so each shard's claims are ordered by age.
    tables: Vec<BTreeMap<CallKey, Claim>>,
    /// For each shard, the time up to which keys were forgotten.
    forgotten: Vec<WallTime>,
    /// The keys with waiters.
    waiting: BTreeSet<CallKey>,
    count: usize,
    bytes: usize,
}

impl Claims {
    pub(crate) fn new(limits: ClaimLimits) -> Claims {
        Claims {
            limits,
            tables: vec![BTreeMap::new(); usize::from(SHARDS)],
            forgotten: vec![WallTime(0); usize::from(SHARDS)],
            waiting: BTreeSet::new(),
            count: 0,
            bytes: 0,
        }
    }

    pub(crate) fn get(&self, key: CallKey) -> Option<&Claim> {
        self.tables[table_of(key)].get(&key)
    }

    /// Returns the time up to which keys of `shard` were forgotten.
    pub(crate) fn forgotten(&self, shard: u16) -> WallTime {
        self.forgotten.get(usize::from(shard)).copied().unwrap_or_default()
    }

    /// Adds a call in its first state.
    pub(crate) fn insert(
        &mut self,
        key: CallKey,
        call_hash: u64,
        state: ClaimState,
    ) -> Result<(), ClaimsFull> {
        let size = size_of(&state);
        if self.count >= self.limits.count || self.bytes + size > self.limits.bytes {
            return Err(ClaimsFull);
        }
        let deadline = Moment::default();
        let claim =
            Claim { call_hash, state, here: false, sent: false, deadline, waiters: Vec::new() };
        self.tables[table_of(key)].insert(key, claim);
        self.count += 1;
        self.bytes += size;
        Ok(())
    }

    /// Adds a call that this process is to run.
    pub(crate) fn start(
        &mut self,
        key: CallKey,
        call_hash: u64,
        waiter: Waiter,
    ) -> Result<(), ClaimsFull> {
        self.insert(key, call_hash, ClaimState::Running)?;
        if let Some(claim) = self.tables[table_of(key)].get_mut(&key) {
            claim.here = true;
        }
        self.join(key, waiter);
        Ok(())
    }

    /// Lets a copy wait; returns whether there was room. A copy that waits already is not doubled.
    pub(crate) fn join(&mut self, key: CallKey, waiter: Waiter) -> bool {
        let Some(claim) = self.tables[table_of(key)].get_mut(&key) else {
            return false;
        };
        let same = |other: &Waiter| other.asker == waiter.asker && other.request == waiter.request;
        if claim.waiters.iter().any(same) {
            return true;
        }
        if claim.waiters.len() >= MAX_WAITERS {
            return false;
        }
        claim.deadline = claim.deadline.max(waiter.deadline);
        claim.waiters.push(waiter);
        self.waiting.insert(key);
        true
    }

    /// Marks the call as sent if this process runs it and has not sent it; returns whether it did.
    pub(crate) fn mark_sent(&mut self, now: Moment, key: CallKey) -> bool {
        let Some(claim) = self.tables[table_of(key)].get_mut(&key) else {
            return false;
        };
        let fresh = claim.here && !claim.sent && claim.state == ClaimState::Running;
        let useful = now < claim.deadline;
        claim.sent |= fresh && useful;
        fresh && useful
    }

    /// Takes back that the call was sent, as nothing of it left this process.
    pub(crate) fn mark_unsent(&mut self, key: CallKey) {
        if let Some(claim) = self.tables[table_of(key)].get_mut(&key) {
            claim.sent = false;
        }
    }

    /// Ends a running call and returns the copies that wait for it.
    ///
    /// An answer for which there is no memory is kept as `Unknown`, so that the call never runs
    /// again although the answer cannot be repeated.
    pub(crate) fn finish(&mut self, key: CallKey, state: ClaimState) -> Vec<Waiter> {
        let table = &mut self.tables[table_of(key)];
        let Some(claim) = table.get_mut(&key) else {
            return Vec::new();
        };
        if !is_upgrade(&claim.state, &state) {
            return Vec::new();
        }
        let rest = self.bytes - size_of(&claim.state);
        let fits = rest + size_of(&state) <= self.limits.bytes;
        claim.state = if fits { state } else { ClaimState::Unknown };
        claim.here = false;
        self.bytes = rest + size_of(&claim.state);
        self.waiting.remove(&key);
        std::mem::take(&mut claim.waiters)
    }

    /// Takes a fact from another host in; returns the copies that its answer ends.
    pub(crate) fn merge(&mut self, record: &ClaimRecord) -> Result<Vec<Waiter>, ClaimsFull> {
        match self.get(record.key) {
            Some(claim) if claim.here => Ok(Vec::new()),
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

    /// Takes out the copies whose deadline has come.
    pub(crate) fn expired(&mut self, now: Moment) -> Vec<Waiter> {
        let mut ended = Vec::new();
        let keys: Vec<_> = self.waiting.iter().copied().collect();
        for key in keys {
            let Some(claim) = self.tables[table_of(key)].get_mut(&key) else {
                self.waiting.remove(&key);
                continue;
            };
            ended.extend(claim.waiters.extract_if(.., |waiter| waiter.deadline <= now));
            if claim.waiters.is_empty() {
                self.waiting.remove(&key);
            }
        }
        ended
    }

    /// Forgets claims older than their life, and returns the copies that still waited for one.
    pub(crate) fn forget(&mut self, wall: WallTime) -> Vec<Waiter> {
        let horizon = WallTime(wall.0.saturating_sub(millis(self.limits.life)));
        let mut ended = Vec::new();
        for (table, forgotten) in self.tables.iter_mut().zip(&mut self.forgotten) {
            *forgotten = horizon.max(*forgotten);
            while let Some(first) = table.first_entry()
                && first.key().created_at() <= *forgotten
            {
                let (key, claim) = first.remove_entry();
                self.count -= 1;
                self.bytes -= size_of(&claim.state);
                self.waiting.remove(&key);
                ended.extend(claim.waiters);
            }
        }
        ended
    }

    /// Returns how many calls this process runs.
    pub(crate) fn running(&self) -> usize {
        let claims = self.tables.iter().flat_map(BTreeMap::values);
        claims.filter(|claim| claim.here).count()
    }

    /// Returns what is known of one key.
    pub(crate) fn record(&self, key: CallKey) -> Option<ClaimRecord> {
        let claim = self.get(key)?;
        Some(ClaimRecord { key, call_hash: claim.call_hash, state: claim.state.clone() })
    }

    /// Returns the claims of a shard for its next holder, answers' bodies up to `bytes` in all.
    ///
    /// The latest answers are kept, as their callers are the likeliest to ask again.
    pub(crate) fn records(&self, shard: u16, bytes: usize) -> Vec<ClaimRecord> {
        let Some(table) = self.tables.get(usize::from(shard)) else {
            return Vec::new();
        };
        let mut left = bytes;
        let mut records = Vec::with_capacity(table.len());
        for (&key, claim) in table.iter().rev() {
            let size = size_of(&claim.state) - CLAIM_BYTES;
            let fits = size <= left;
            left -= if fits { size } else { 0 };
            let state = if fits { claim.state.clone() } else { ClaimState::Unknown };
            records.push(ClaimRecord { key, call_hash: claim.call_hash, state });
        }
        records
    }
}

fn table_of(key: CallKey) -> usize {
    usize::from(shard_of(key))
}

fn size_of(state: &ClaimState) -> usize {
    match state {
        ClaimState::Done(reply) => CLAIM_BYTES + reply_size(reply),
        _ => CLAIM_BYTES,
    }
}

fn reply_size(reply: &ServiceReply) -> usize {
    reply.body.len() + reply.media.as_ref().map_or(0, |media| media.len())
}

/// Tells whether `next` says more than `known`.
fn is_upgrade(known: &ClaimState, next: &ClaimState) -> bool {
    match known {
        ClaimState::Running => *next != ClaimState::Running,
        ClaimState::Unknown => matches!(next, ClaimState::Done(_) | ClaimState::Refused(_)),
        ClaimState::Done(_) | ClaimState::Refused(_) => false,
    }
}
