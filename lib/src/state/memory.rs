//! The account of one engine's memory: how much is reserved for each attempt.
//!
//! A reservation covers the prompt and the longest answer that it may have, so that the memory of
//! an engine is never overcommitted.

use std::collections::BTreeMap;

use super::names::AttemptId;

/// Long prompts leave one part in this many of an engine's memory to shorter ones.
const SHORT_SHARE_DIVISOR: u32 = 10;

/// Returns how much of an engine's memory of `total` tokens long prompts may use.
///
/// ```
/// assert_eq!(wasabicrank_lib::state::long_prompt_memory(400_000), 360_000);
/// ```
pub fn long_prompt_memory(total: u32) -> u32 {
    total - total / SHORT_SHARE_DIVISOR
}

/// A reservation does not fit into the free memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InsufficientMemory {
    /// The memory that is free, in tokens.
    pub free: u32,
}

/// The reservations of one engine's memory, in tokens.
#[derive(Debug, Clone, Default)]
pub struct MemoryAccount {
    total: u32,
    held: u64,
    reservations: BTreeMap<AttemptId, u32>,
}

impl MemoryAccount {
    /// Creates an account of a memory of `total` tokens.
    pub fn new(total: u32) -> MemoryAccount {
        MemoryAccount { total, held: 0, reservations: BTreeMap::new() }
    }

    /// Returns the total memory of the engine.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Returns the reserved memory. Adopted attempts may raise it above the total.
    pub fn held(&self) -> u32 {
        u32::try_from(self.held).unwrap_or(u32::MAX)
    }

    /// Returns the memory that can still be reserved.
    pub fn free(&self) -> u32 {
        self.total.saturating_sub(self.held())
    }

    /// Returns the memory reserved for `attempt`.
    pub fn reserved(&self, attempt: AttemptId) -> Option<u32> {
        self.reservations.get(&attempt).copied()
    }

    /// Reserves `tokens` for `attempt`, replacing its previous reservation.
    ///
    /// ```
    /// use wasabicrank_lib::state::{AttemptId, Incarnation, MemoryAccount, RequestId};
    /// let request = RequestId { origin: Incarnation(1), seq: 1 };
    /// let mut account = MemoryAccount::new(100);
    /// assert!(account.reserve(AttemptId { request, number: 1 }, 80).is_ok());
    /// assert!(account.reserve(AttemptId { request, number: 2 }, 30).is_err());
    /// ```
    pub fn reserve(&mut self, attempt: AttemptId, tokens: u32) -> Result<(), InsufficientMemory> {
        let previous = self.reserved(attempt).unwrap_or(0);
        let after = self.held - u64::from(previous) + u64::from(tokens);
        if after > u64::from(self.total) {
            return Err(InsufficientMemory { free: self.free() });
        }
        self.adopt(attempt, tokens);
        Ok(())
    }

    /// Records that the engine holds `tokens` for `attempt`, even if they exceed the free memory.
    pub fn adopt(&mut self, attempt: AttemptId, tokens: u32) {
        let previous = self.reservations.insert(attempt, tokens).unwrap_or(0);
        self.held = self.held - u64::from(previous) + u64::from(tokens);
    }

    /// Releases the reservation of `attempt` and returns its size.
    pub fn release(&mut self, attempt: AttemptId) -> u32 {
        let released = self.reservations.remove(&attempt).unwrap_or(0);
        self.held -= u64::from(released);
        released
    }
}
