//! How long the memory that is set aside for one send is renewed.

use std::time::Duration;

use crate::state::Moment;

/// How much later than expected the first part of an answer may come before its memory is no longer
/// renewed. An expected time of three seconds, this and one hold stay under the nine seconds after
/// which memory that no request has used counts as stuck.
const FIRST_SLACK: Duration = Duration::from_millis(3_500);
/// The silence in an answer after which its memory is no longer renewed. With the time of one hold it
/// stays under the four seconds after which memory that nobody uses counts as lost.
const SILENCE_MAX: Duration = Duration::from_millis(1_500);

/// Says whether a hold is worth renewing: a server that died in silence uses no memory any more, and
/// a request that waits for it must not keep the memory of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TicketRenewal {
    until: Moment,
}

impl TicketRenewal {
    /// Begins with a send at `now` whose answer is expected to begin after `expected`.
    pub fn begin(now: Moment, expected: Duration) -> TicketRenewal {
        TicketRenewal { until: now + expected + FIRST_SLACK }
    }

    /// Notes that a part of the answer came.
    pub fn record_progress(&mut self, now: Moment) {
        self.until = now + SILENCE_MAX;
    }

    /// Returns whether the hold is to be renewed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{TicketRenewal, Moment};
    /// let mut renewal = TicketRenewal::begin(Moment(0), Duration::from_secs(1));
    /// assert!(renewal.is_due(Moment(4_400_000)));
    /// assert!(!renewal.is_due(Moment(4_600_000)));
    /// renewal.record_progress(Moment(4_700_000));
    /// assert!(renewal.is_due(Moment(6_000_000)));
    /// ```
    pub fn is_due(&self, now: Moment) -> bool {
        now < self.until
    }
}
