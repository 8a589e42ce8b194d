//! The attempts that a dispatcher has granted, each kept until the engine holds nothing for it.

use super::attempt_messages::StartRequest;
use super::engine_queue_order::LengthLevel;
use super::names::AttemptId;
use super::names::Incarnation;
use super::time::Moment;

/// One attempt in the list that an engine reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The incarnation that started it.
    pub owner: Incarnation,
    /// The memory that it holds, in tokens.
    pub held: u32,
}

/// An attempt on the engine that no grant of a live owner covers. The caller decides whether its
/// owner is dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrphanCandidate {
    /// The attempt.
    pub attempt: AttemptId,
    /// The incarnation that started it.
    pub owner: Incarnation,
}

/// What the dispatcher knows of a granted attempt.
#[derive(Debug, Clone)]
pub(crate) struct GrantedAttempt {
    /// The entry host that requested the start.
    pub(crate) origin: Incarnation,
    /// The request; `None` for an attempt adopted from the engine's listing.
    pub(crate) request: Option<StartRequest>,
    /// The length level in which it was granted.
    pub(crate) level: LengthLevel,
    /// The tokens that the engine was expected to prefill.
    pub(crate) uncached: u32,
    /// When it was granted.
    pub(crate) granted_at: Moment,
    /// The total of tokens that the engine had prefilled by `granted_at`.
    pub(crate) read_before: u64,
    /// When the grant expires if it is unused.
    pub(crate) valid_until: Moment,
    /// Whether the prefill is pending or running.
    pub(crate) prefilling: bool,
    /// Whether its prefill counts towards the observed rate. A segment's does not, because it waits
    /// for the earlier segments.
    pub(crate) metered: bool,
    /// The number of consecutive listings without the attempt after the grant expired.
    pub(crate) missed_listings: u8,
    /// Whether the owner was reported dead.
    pub(crate) ownerless: bool,
}

impl GrantedAttempt {
    /// Creates the entry of an attempt that was found on the engine.
    pub(crate) fn adopted(now: Moment, owner: Incarnation) -> GrantedAttempt {
        GrantedAttempt {
            origin: owner,
            request: None,
            level: LengthLevel::of(0),
            uncached: 0,
            granted_at: now,
            read_before: 0,
            valid_until: now,
            prefilling: false,
            metered: false,
            missed_listings: 0,
            ownerless: false,
        }
    }

    /// Returns whether this dispatcher granted the attempt and its owner is not known to be dead.
    pub(crate) fn is_covered(&self) -> bool {
        self.request.is_some() && !self.ownerless
    }

    /// Records whether a listing contained the attempt and returns whether to release its memory.
    pub(crate) fn record_listing(&mut self, now: Moment, present: bool) -> bool {
        if present {
            self.missed_listings = 0;
            return false;
        }
        if self.request.is_none() {
            return true;
        }
        if now < self.valid_until && !self.ownerless {
            return false;
        }
        self.missed_listings += 1;
        self.missed_listings >= 2
    }
}
