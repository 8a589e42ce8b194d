//! Passive health checks: which servers to avoid, from the results of the requests sent to them.

use std::time::Duration;

use crate::state::Moment;

/// How long a server is avoided after the first of several consecutive losses; doubled by each
/// further one.
const FIRST_AVOID_TIME: Duration = Duration::from_millis(700);
/// The longest time that a server is avoided before it is tried again.
const MAX_AVOID_TIME: Duration = Duration::from_secs(8);
/// How long other servers are preferred to one that responded later than a hedged request: several
/// times the interval at which a host with few requests chooses the same server.
const SLOW_TIME: Duration = Duration::from_secs(30);
/// The weight of one result in the moving average of failures, which covers about the last eight
/// results.
const RESULT_WEIGHT: f64 = 0.12;
/// The failure rate from which other servers are preferred.
const DEGRADED_FAILURE_RATE: f64 = 0.22;

/// The result of one request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerResult {
    /// It responded in time.
    Answered,
    /// It responded that it did not run the request, because it is full or is another server now.
    Declined,
    /// It responded with an error of its own.
    Failed,
    /// It could not be reached, stopped responding, or broke off the response.
    Lost,
}

/// The recent health of one server, as observed by this host.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerHealth {
    avoid_until: Option<Moment>,
    slow_until: Option<Moment>,
    consecutive_losses: u32,
    failure_rate: f64,
}

impl ServerHealth {
    /// Records the result of a request.
    pub fn record(&mut self, now: Moment, result: ServerResult) {
        let failure = match result {
            ServerResult::Answered => 0.0,
            ServerResult::Declined => 0.3,
            ServerResult::Failed | ServerResult::Lost => 1.0,
        };
        self.failure_rate += (failure - self.failure_rate) * RESULT_WEIGHT;
        match result {
            ServerResult::Lost => {
                let span = FIRST_AVOID_TIME * 2_u32.saturating_pow(self.consecutive_losses.min(8));
                self.consecutive_losses += 1;
                self.avoid_until = Some(now + span.min(MAX_AVOID_TIME));
            }
            ServerResult::Answered => {
                self.consecutive_losses = 0;
                self.avoid_until = None;
            }
            ServerResult::Declined | ServerResult::Failed => {}
        }
    }

    /// Avoids the server for `span` without recording a failure.
    pub fn avoid_for(&mut self, now: Moment, span: Duration) {
        self.avoid_until = self.avoid_until.max(Some(now + span));
    }

    /// Records that a hedged request at another server was faster.
    pub fn record_slow(&mut self, now: Moment) {
        self.slow_until = Some(now + SLOW_TIME);
    }

    /// Returns whether a hedged request was faster than the server lately.
    ///
    /// ```
    /// use wasabicrank_lib::state::{Moment, ServerHealth};
    /// let mut health = ServerHealth::default();
    /// health.record_slow(Moment(0));
    /// assert!(health.is_slow(Moment(29_000_000)) && !health.is_slow(Moment(31_000_000)));
    /// ```
    pub fn is_slow(&self, now: Moment) -> bool {
        self.slow_until.is_some_and(|until| now < until)
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

    /// Returns whether so many requests failed that other servers are preferred.
    pub fn is_degraded(&self) -> bool {
        self.consecutive_losses > 0 || self.failure_rate >= DEGRADED_FAILURE_RATE
    }

    /// Returns the moving average of failures, between 0 and 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
