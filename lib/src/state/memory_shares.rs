//! How the free memory of an engine is shared between long prompts and shorter ones.
//!
//! Long prompts leave a share of the memory to the shorter ones, so that a short prompt never waits
//! until a very long one ends. Memory is set aside for a prompt that has waited past its due time:
//! no prompt of its own length level or longer overtakes it, and shorter ones use only the memory
//! that it will leave free.

use super::engine_queue_order::LENGTH_LEVELS;
use super::engine_queue_order::LONG_TOKENS;
use super::engine_queue_order::LengthLevel;
use super::memory::MemoryAccount;
use super::memory::long_prompt_memory;

/// Memory set aside for a prompt that is past its due time.
#[derive(Debug, Clone, Copy)]
struct SetAside {
    level: LengthLevel,
    need: u32,
}

/// The free memory while a queue decides which requests to grant.
#[derive(Debug, Clone)]
pub(crate) struct MemoryShares {
    total: u32,
    free: u32,
    /// The memory that prompts of each length level hold.
    held: [u32; LENGTH_LEVELS],
    set_aside: Option<SetAside>,
}

impl MemoryShares {
    /// Creates the shares of `account`, of which the prompts of each length level hold `held`
    /// tokens.
    pub(crate) fn new(account: &MemoryAccount, held: [u32; LENGTH_LEVELS]) -> MemoryShares {
        MemoryShares { total: account.total(), free: account.free(), held, set_aside: None }
    }

    /// Returns whether a prompt of `level` can have `need` tokens now; `due` is whether it is past
    /// its due time.
    pub(crate) fn fits(&self, need: u32, level: LengthLevel, due: bool) -> bool {
        need <= self.free_for(level, due) && self.may_overtake(need, level)
    }

    /// Returns the memory that is free for a prompt of `level`; `due` is whether it is past its due
    /// time.
    pub(crate) fn free_for(&self, level: LengthLevel, due: bool) -> u32 {
        let headroom = if level.is_long() { self.long_headroom(due) } else { 0 };
        self.free.saturating_sub(headroom)
    }

    /// Returns the memory that a long prompt must leave free.
    ///
    /// That is the unused rest of the share for shorter prompts. Until the long prompt is due, it
    /// is at least half of that share, so that shorter prompts can still start. Once the long
    /// prompt is due, memory is set aside for it, so that it will fit.
    fn long_headroom(&self, due: bool) -> u32 {
        let share = self.short_share();
        let unused = share.saturating_sub(self.held_below(LengthLevel::of(LONG_TOKENS)));
        if due { unused } else { unused.max(share / 2) }
    }

    /// Returns the share that long prompts leave to shorter ones.
    fn short_share(&self) -> u32 {
        self.total - long_prompt_memory(self.total)
    }

    /// Returns whether a prompt may overtake the one for which memory is set aside.
    fn may_overtake(&self, need: u32, level: LengthLevel) -> bool {
        let Some(set_aside) = self.set_aside else { return true };
        let after = self.held_below(set_aside.level).saturating_add(need);
        let both_fit = after.saturating_add(set_aside.need) <= self.total;
        level < set_aside.level && (both_fit || self.fits_short_share(need, level))
    }

    /// Returns whether a prompt fits into the share that long prompts leave to shorter ones.
    fn fits_short_share(&self, need: u32, level: LengthLevel) -> bool {
        let held = self.held_below(LengthLevel::of(LONG_TOKENS));
        !level.is_long() && held.saturating_add(need) <= self.short_share()
    }

    /// Takes memory that `fits` allowed.
    pub(crate) fn take(&mut self, need: u32, level: LengthLevel) {
        self.free = self.free.saturating_sub(need);
        let held = &mut self.held[level.index()];
        *held = held.saturating_add(need);
    }

    /// Sets memory aside for a prompt that is past its due time; the first such prompt has it.
    pub(crate) fn set_aside(&mut self, need: u32, level: LengthLevel) {
        self.set_aside.get_or_insert(SetAside { level, need });
    }

    /// Returns the memory that prompts of lower levels than `level` hold.
    fn held_below(&self, level: LengthLevel) -> u32 {
        self.held[..level.index()].iter().fold(0, |sum, held| sum.saturating_add(*held))
    }
}
