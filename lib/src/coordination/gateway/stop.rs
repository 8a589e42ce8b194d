//! Graceful shutdown: which requests a stopping host still accepts, and when it closes connections
//! and exits.

use std::time::Duration;

use super::Gateway;
use crate::state::Moment;
use crate::state::Route;

/// How long after the signal a stopping host accepts every request. The load balancer checks each
/// second and directs new connections elsewhere after two failed checks; requests that arrive later
/// than three seconds after the signal must be complete when the process exits.
const ACCEPT_ALL_TIME: Duration = Duration::from_millis(2_500);
/// The fraction of the grace period after which the process exits, even if requests are still open.
const END_FRACTION: f64 = 0.96;

/// The phase of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopPhase {
    /// The host is not stopping.
    Running,
    /// The host accepts requests on open connections, and tells callers to open the next one
    /// elsewhere.
    Serving,
    /// The host closes connections as soon as they are idle, and accepts only requests that end in
    /// time.
    Closing,
    /// The process exits.
    Ended,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Stop {
    begun: Moment,
    end: Moment,
}

impl Gateway {
    /// Begins a graceful shutdown that must be complete after `grace`.
    pub fn begin_stop(&mut self, now: Moment, grace: Duration) {
        self.stop = Some(Stop { begun: now, end: now + grace.mul_f64(END_FRACTION) });
    }

    /// Returns the current phase.
    pub fn stop_phase(&self, now: Moment) -> StopPhase {
        match self.stop {
            None => StopPhase::Running,
            Some(stop) if now >= stop.end => StopPhase::Ended,
            Some(stop) if now.since(stop.begun) >= ACCEPT_ALL_TIME => StopPhase::Closing,
            Some(_) => StopPhase::Serving,
        }
    }

    /// Returns whether a request on `route` is still accepted.
    pub(crate) fn accepts(&self, now: Moment, route: &Route) -> bool {
        match (self.stop_phase(now), self.stop) {
            (StopPhase::Closing, Some(stop)) => now + route.timeout < stop.end,
            (StopPhase::Ended, _) => false,
            _ => true,
        }
    }
}
