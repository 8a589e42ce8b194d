//! Tickets: the attempts that a dispatcher gave leave to, until the engine holds nothing for them.

use super::attempt_messages::StartRequest;
use super::engine_queue_order::LengthLevel;
use super::names::AttemptId;
use super::names::Incarnation;
use super::time::Moment;

/// One attempt in an engine's own listing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The incarnation that started it.
    pub owner: Incarnation,
    /// The memory that it holds, in tokens.
    pub held: u32,
}

/// An attempt on the engine that no live leave covers; the caller judges whether its owner is dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrphanCandidate {
    /// The attempt.
    pub attempt: AttemptId,
    /// The incarnation that started it.
    pub owner: Incarnation,
}

/// What the dispatcher knows of an attempt that has leave.
#[derive(Debug, Clone)]
pub(crate) struct Ticket {
    /// The origin.
    pub(crate) from: Incarnation,
    /// The ask; `None` for an attempt adopted from the engine's listing.
    pub(crate) ask: Option<StartRequest>,
    /// The length level that it was granted in.
    pub(crate) level: LengthLevel,
    /// The tokens that the engine was expected to read.
    pub(crate) uncached: u32,
    /// When it was granted.
    pub(crate) granted: Moment,
    /// The tokens that the engine had read in all at that time.
    pub(crate) read_before: u64,
    /// Until when it may be unused.
    pub(crate) valid_until: Moment,
    /// Whether prefill is going on or still to come.
    pub(crate) reading: bool,
    /// Whether its prefill counts for the observed rate; a segment's waits for the earlier ones.
    pub(crate) metered: bool,
    /// The consecutive listings without it, past its validity.
    pub(crate) absent: u8,
    /// Whether the owner was seen dead.
    pub(crate) ownerless: bool,
}

impl Ticket {
    /// Makes a ticket for an attempt that was found on the engine.
    pub(crate) fn adopted(now: Moment, owner: Incarnation) -> Ticket {
        Ticket {
            from: owner,
            ask: None,
            level: LengthLevel::of(0),
            uncached: 0,
            granted: now,
            read_before: 0,
            valid_until: now,
            reading: false,
            metered: false,
            absent: 0,
            ownerless: false,
        }
    }

    /// Tells whether this dispatcher itself gave leave and the owner is not known to be dead.
    pub(crate) fn is_covered(&self) -> bool {
        self.ask.is_some() && !self.ownerless
    }

    /// Counts a listing with or without the attempt; tells whether its memory is to be given back.
    pub(crate) fn listed(&mut self, now: Moment, present: bool) -> bool {
        if present {
            self.absent = 0;
            return false;
        }
        if self.ask.is_none() {
            return true;
        }
        if now < self.valid_until && !self.ownerless {
            return false;
        }
        self.absent += 1;
        self.absent >= 2
    }
}
