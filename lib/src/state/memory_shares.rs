//! How the free memory of an engine is shared between long prompts and others.
//!
//! Long prompts leave a part of the memory to the others, so that a short prompt never waits until a
//! very long one ends. A prompt that has waited past its target has memory kept for it: nothing of
//! its own length or longer passes it, and shorter ones use no more than what it will leave.

use super::engine_queue_order::LEVELS;
use super::engine_queue_order::LONG_TOKENS;
use super::engine_queue_order::LengthLevel;
use super::memory::MemoryAccount;
use super::memory::long_memory;

/// Memory kept for a prompt that waits.
#[derive(Debug, Clone, Copy)]
struct Kept {
    level: LengthLevel,
    need: u32,
}

/// What is free, while a queue decides whom to grant.
#[derive(Debug, Clone)]
pub(crate) struct Shares {
    total: u32,
    free: u32,
    /// What prompts of each level hold.
    held: [u32; LEVELS],
    kept: Option<Kept>,
}

impl Shares {
    /// Starts from an account of which prompts of each level hold `held` tokens.
    pub(crate) fn new(account: &MemoryAccount, held: [u32; LEVELS]) -> Shares {
        Shares { total: account.total(), free: account.free(), held, kept: None }
    }

    /// Tells whether a prompt of `level`, past its target if it is `due`, can have `need` tokens now.
    pub(crate) fn fits(&self, need: u32, level: LengthLevel, due: bool) -> bool {
        need <= self.free_for(level, due) && self.may_pass(need, level)
    }

    /// Returns what is free for a prompt of `level`, past its target if it is `due`.
    pub(crate) fn free_for(&self, level: LengthLevel, due: bool) -> u32 {
        let left = if level.is_long() { self.left_by_long(due) } else { 0 };
        self.free.saturating_sub(left)
    }

    /// Returns what a long prompt must leave free.
    ///
    /// Beyond the part of the others that they do not hold, it leaves them room to go on, until it is
    /// due; from then on they are held to what it leaves, so that it comes to fit.
    fn left_by_long(&self, due: bool) -> u32 {
        let part = self.short_part();
        let unused = part.saturating_sub(self.held_below(LengthLevel::of(LONG_TOKENS)));
        if due { unused } else { unused.max(part / 2) }
    }

    /// Returns the part that long prompts leave to the others.
    fn short_part(&self) -> u32 {
        self.total - long_memory(self.total)
    }

    /// Tells whether a prompt may pass the one that memory is kept for.
    fn may_pass(&self, need: u32, level: LengthLevel) -> bool {
        let Some(kept) = self.kept else { return true };
        let after = self.held_below(kept.level).saturating_add(need);
        let beside = after.saturating_add(kept.need) <= self.total;
        level < kept.level && (beside || self.is_in_short_part(need, level))
    }

    /// Tells whether a prompt stays within the part that long prompts leave to the others.
    fn is_in_short_part(&self, need: u32, level: LengthLevel) -> bool {
        let held = self.held_below(LengthLevel::of(LONG_TOKENS));
        !level.is_long() && held.saturating_add(need) <= self.short_part()
    }

    /// Takes what `fits` allowed.
    pub(crate) fn take(&mut self, need: u32, level: LengthLevel) {
        self.free = self.free.saturating_sub(need);
        let held = &mut self.held[level.index()];
        *held = held.saturating_add(need);
    }

    /// Keeps memory for a prompt that has waited past its target.
    pub(crate) fn keep(&mut self, need: u32, level: LengthLevel) {
        self.kept.get_or_insert(Kept { level, need });
    }

    /// Returns what prompts of lower levels than `level` hold.
    fn held_below(&self, level: LengthLevel) -> u32 {
        self.held[..level.index()].iter().fold(0, |sum, held| sum.saturating_add(*held))
    }
}
