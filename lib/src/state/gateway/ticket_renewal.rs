//! How long the memory reservation of one send is renewed.

use std::time::Duration;

use crate::state::Moment;

/// How much later than expected the first part of a response may come before its reservation is no
/// longer renewed. An expected delay of three seconds, this slack and one reservation period
/// together stay under the nine seconds after which memory that no request has used counts as
/// stuck.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(3_500);
/// The silence in a response after which its reservation is no longer renewed. Together with one
/// reservation period it stays under the four seconds after which unused memory counts as lost.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);

/// Decides whether a memory reservation is renewed. A server that died without notice no longer
/// uses memory, so a request that waits for it must not keep memory reserved at other servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TicketRenewal {
    until: Moment,
}

impl TicketRenewal {
    /// Starts with a send at `now` whose response is expected to begin after `expected`.
    pub fn begin(now: Moment, expected: Duration) -> TicketRenewal {
        TicketRenewal { until: now + expected + FIRST_EVENT_SLACK }
    }

    /// Records that a part of the response arrived.
    pub fn record_progress(&mut self, now: Moment) {
        self.until = now + MAX_SILENCE;
    }

    /// Returns whether the reservation is to be renewed.
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
