//! Which servers to avoid, from what became of the requests sent to them.

use std::time::Duration;

use crate::state::Moment;

/// How long a server is avoided after its first failure in a row.
const FIRST_AVOID: Duration = Duration::from_millis(700);
/// The longest time that a server is avoided without another try.
const LONGEST_AVOID: Duration = Duration::from_secs(8);
/// How much one result moves the share of failures: about the last eight results count.
const RESULT_WEIGHT: f64 = 0.12;
/// The share of failures from which a server is used only where no other is left.
const BAD_SHARE: f64 = 0.22;

/// What became of one request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerResult {
    /// It answered, in time.
    Answered,
    /// It answered that it did not run the request: full, or another server now.
    Declined,
    /// It answered with a failure of its own.
    Failed,
    /// It could not be reached, fell silent, or broke off.
    Lost,
}

/// What this host has seen of one server lately.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerHealth {
    avoid_until: Option<Moment>,
    losses: u32,
    failure_share: f64,
}

impl ServerHealth {
    /// Counts what became of a request.
    pub fn record(&mut self, now: Moment, result: ServerResult) {
        let failure = match result {
            ServerResult::Answered => 0.0,
            ServerResult::Declined => 0.3,
            ServerResult::Failed | ServerResult::Lost => 1.0,
        };
        self.failure_share += (failure - self.failure_share) * RESULT_WEIGHT;
        match result {
            ServerResult::Lost => {
                let span = FIRST_AVOID * 2_u32.saturating_pow(self.losses.min(8));
                self.losses += 1;
                self.avoid_until = Some(now + span.min(LONGEST_AVOID));
            }
            ServerResult::Answered => {
                self.losses = 0;
                self.avoid_until = None;
            }
            ServerResult::Declined | ServerResult::Failed => {}
        }
    }

    /// Avoids the server for a while, without counting a failure.
    pub fn avoid_for(&mut self, now: Moment, span: Duration) {
        self.avoid_until = self.avoid_until.max(Some(now + span));
    }

    /// Returns whether the server is avoided now.
    ///
    /// ```
    /// use wasabicrank_lib::state::{Moment, ServerHealth, ServerResult};
    /// let mut health = ServerHealth::default();
    /// health.record(Moment(0), ServerResult::Lost);
    /// assert!(health.is_avoided(Moment(500_000)));
    /// assert!(!health.is_avoided(Moment(800_000)));
    /// ```
    pub fn is_avoided(&self, now: Moment) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// Returns whether so many requests failed that other servers go first.
    pub fn is_doubtful(&self) -> bool {
        self.losses > 0 || self.failure_share >= BAD_SHARE
    }

    /// Returns the share of requests that failed lately, between 0 and 1.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }
}
