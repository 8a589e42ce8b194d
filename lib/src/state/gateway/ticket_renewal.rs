//! How long the memory reservation of one send is renewed.

use std::time::Duration;

use crate::state::Moment;

/// How long a reservation lasts without a renewal. A server may carry out an order that it did not
/// answer, but no earlier than two seconds later, when this hold is over.
pub const MEMORY_HOLD: Duration = Duration::from_millis(2_000);
/// How much later than expected the first part of a response may come before the engines are asked
/// whether a request still uses the reserved memory.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(3_500);
/// The silence in a response after which the engines are asked whether it still uses its memory.
/// Together with one hold it stays under the shortest bound for the release of unused memory.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);
/// The holds that pass at most between the last renewal and the end of a reservation: its own, and
/// that of an earlier renewal which the engine carries out late.
const HOLDS_AFTER_RENEWAL: u32 = 2;
/// What orders take on their way, besides the holds.
const ORDER_MARGIN: Duration = Duration::from_millis(500);

/// The platform's bounds on reserved engine memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBounds {
    /// How long reserved memory may stay unused.
    pub unused: Duration,
    /// How long memory may stay reserved after the last request that used it.
    pub release: Duration,
}

impl MemoryBounds {
    /// Returns how long a reservation is renewed before a request is known to use it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{MEMORY_HOLD, MemoryBounds};
    /// let bounds =
    ///     MemoryBounds { unused: Duration::from_secs(9), release: Duration::from_secs(4) };
    /// assert!(bounds.unconfirmed() + MEMORY_HOLD < bounds.unused);
    /// ```
    pub fn unconfirmed(&self) -> Duration {
        self.unused.saturating_sub(MEMORY_HOLD * HOLDS_AFTER_RENEWAL + ORDER_MARGIN)
    }

    /// Returns how long a reservation is renewed after the last sign that a request uses it.
    pub fn silence(&self) -> Duration {
        MAX_SILENCE.min(self.release.saturating_sub(MEMORY_HOLD + ORDER_MARGIN))
    }
}

/// What is done with a reservation that is due for renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewalStep {
    /// It is renewed.
    Renew,
    /// It is renewed only if its engine states that a request uses it.
    AskEngine,
}

/// Decides whether a memory reservation is renewed. A server that died without notice no longer
/// uses memory, so a request that waits for it must not keep memory reserved at other servers; a
/// server that is only silent still uses it, which the engines that hold the memory state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TicketRenewal {
    bounds: MemoryBounds,
    until: Moment,
}

impl TicketRenewal {
    /// Starts with a send at `now` whose response is expected to begin after `expected`.
    ///
    /// The bound on unused memory holds whatever is expected: a forecast may be wrong.
    pub fn begin(now: Moment, expected: Duration, bounds: MemoryBounds) -> TicketRenewal {
        let wait = (expected + FIRST_EVENT_SLACK).min(bounds.unconfirmed());
        TicketRenewal { bounds, until: now + wait }
    }

    /// Records that a part of the response arrived.
    pub fn record_progress(&mut self, now: Moment) {
        self.until = now + self.bounds.silence();
    }

    /// Returns what to do with the reservation now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{MemoryBounds, Moment, RenewalStep, TicketRenewal};
    /// let bounds =
    ///     MemoryBounds { unused: Duration::from_secs(9), release: Duration::from_secs(4) };
    /// let mut renewal = TicketRenewal::begin(Moment(0), Duration::from_millis(500), bounds);
    /// assert_eq!(renewal.step(Moment(3_900_000)), RenewalStep::Renew);
    /// assert_eq!(renewal.step(Moment(4_100_000)), RenewalStep::AskEngine);
    /// renewal.record_progress(Moment(4_700_000));
    /// assert_eq!(renewal.step(Moment(6_000_000)), RenewalStep::Renew);
    /// ```
    pub fn step(&self, now: Moment) -> RenewalStep {
        if now < self.until { RenewalStep::Renew } else { RenewalStep::AskEngine }
    }
}
