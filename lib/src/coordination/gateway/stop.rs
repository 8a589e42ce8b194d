//! A planned stop: which requests a stopping host still takes, and when it closes and ends.

use std::time::Duration;

use super::Gateway;
use crate::state::Moment;
use crate::state::Route;

/// How long after the signal a stopping host takes every request. The balancer asks each second and
/// sends new connections elsewhere after two misses; requests that come later than three seconds
/// after the signal must be whole when the process ends.
const TAKE_ALL: Duration = Duration::from_millis(2_500);
/// The part of the time to stop after which the process ends, whatever is still open.
const END_PART: f64 = 0.96;

/// What a stopping host does now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopPhase {
    /// It is not stopping.
    Running,
    /// It takes requests on open connections, and asks callers to open the next one elsewhere.
    Serving,
    /// It closes connections as soon as they are idle, and takes only requests that are over in
    /// time.
    Closing,
    /// The process ends.
    Ended,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Stop {
    begun: Moment,
    end: Moment,
}

impl Gateway {
    /// Begins a planned stop that must be over after `grace`.
    pub fn begin_stop(&mut self, now: Moment, grace: Duration) {
        self.stop = Some(Stop { begun: now, end: now + grace.mul_f64(END_PART) });
    }

    /// Returns what the host does now.
    pub fn stop_phase(&self, now: Moment) -> StopPhase {
        match self.stop {
            None => StopPhase::Running,
            Some(stop) if now >= stop.end => StopPhase::Ended,
            Some(stop) if now.since(stop.begun) >= TAKE_ALL => StopPhase::Closing,
            Some(_) => StopPhase::Serving,
        }
    }

    /// Returns whether a request on `route` is still taken.
    pub(crate) fn takes(&self, now: Moment, route: &Route) -> bool {
        match (self.stop_phase(now), self.stop) {
            (StopPhase::Closing, Some(stop)) => now + route.timeout < stop.end,
            (StopPhase::Ended, _) => false,
            _ => true,
        }
    }
}
