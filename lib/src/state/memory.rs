//! The account of one engine's memory: what is reserved for which attempt.
//!
//! A reservation covers the prompt and the whole answer that it may need, so that an engine is never
//! asked to hold more than it has.

use std::collections::BTreeMap;

use super::names::AttemptId;

/// The part of an engine's memory that long prompts leave to others: one in this many.
const SHORT_KEEP_PART: u32 = 10;

/// Returns what long prompts may use of an engine's memory of `total` tokens.
///
/// ```
/// assert_eq!(wasabicrank_lib::state::long_memory(400_000), 360_000);
/// ```
pub fn long_memory(total: u32) -> u32 {
    total - total / SHORT_KEEP_PART
}

/// Says that a reservation does not fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom {
    /// The memory that is free, in tokens.
    pub free: u32,
}

/// What is reserved of one engine's memory, in tokens.
#[derive(Debug, Clone, Default)]
pub struct MemoryAccount {
    total: u32,
    held: u64,
    parts: BTreeMap<AttemptId, u32>,
}

impl MemoryAccount {
    /// Opens an account over `total` tokens.
    pub fn new(total: u32) -> MemoryAccount {
        MemoryAccount { total, held: 0, parts: BTreeMap::new() }
    }

    /// Returns the engine's whole memory.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Returns what is reserved, which adopted attempts may bring above the total.
    pub fn held(&self) -> u32 {
        u32::try_from(self.held).unwrap_or(u32::MAX)
    }

    /// Returns what can still be reserved.
    pub fn free(&self) -> u32 {
        self.total.saturating_sub(self.held())
    }

    /// Returns what is reserved for `attempt`.
    pub fn part(&self, attempt: AttemptId) -> Option<u32> {
        self.parts.get(&attempt).copied()
    }

    /// Reserves `tokens` for `attempt`, in place of what it had.
    ///
    /// ```
    /// use wasabicrank_lib::state::{AttemptId, Incarnation, MemoryAccount, RequestId};
    /// let request = RequestId { origin: Incarnation(1), seq: 1 };
    /// let mut account = MemoryAccount::new(100);
    /// assert!(account.reserve(AttemptId { request, number: 1 }, 80).is_ok());
    /// assert!(account.reserve(AttemptId { request, number: 2 }, 30).is_err());
    /// ```
    pub fn reserve(&mut self, attempt: AttemptId, tokens: u32) -> Result<(), NoRoom> {
        let had = self.part(attempt).unwrap_or(0);
        let after = self.held - u64::from(had) + u64::from(tokens);
        if after > u64::from(self.total) {
            return Err(NoRoom { free: self.free() });
        }
        self.adopt(attempt, tokens);
        Ok(())
    }

    /// Records that the engine holds `tokens` for `attempt`, whether they fit or not.
    pub fn adopt(&mut self, attempt: AttemptId, tokens: u32) {
        let had = self.parts.insert(attempt, tokens).unwrap_or(0);
        self.held = self.held - u64::from(had) + u64::from(tokens);
    }

    /// Gives back what is reserved for `attempt`; returns how much it was.
    pub fn release(&mut self, attempt: AttemptId) -> u32 {
        let had = self.parts.remove(&attempt).unwrap_or(0);
        self.held -= u64::from(had);
        had
    }
}
