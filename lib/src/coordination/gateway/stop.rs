//! Graceful shutdown: which requests a stopping host still accepts and sends, and when it closes
//! connections and exits.
//!
//! A request that was accepted may wait at this host for longer than the host has left. So whether
//! it can still be answered in time is checked whenever it is placed, not only when it is accepted.

use std::time::Duration;

use super::Gateway;
use super::GatewayRefusal;
use super::GatewayRequest;
use super::RefusalReason;
use super::lost_if_may_have_run;
use crate::state::Moment;
use crate::state::Route;

/// How long after the signal new connections still arrive: the load balancer checks each second and
/// directs them elsewhere after two failed checks. Until then a stopping host accepts requests
/// whatever their timeout; requests that arrive later than three seconds after the signal must be
/// complete when the process exits.
const BALANCER_TIME: Duration = Duration::from_millis(2_500);
/// The part of a short grace period in which requests are accepted whatever their timeout.
const SERVING_FRACTION: f64 = 0.5;
/// How long before the end of the grace period requests without a response get their final one: a
/// fraction of the period, or at least this time.
const END_FRACTION: f64 = 0.05;
const MIN_END_TIME: Duration = Duration::from_millis(160);
/// How long before the end of the grace period the process exits, even if streams are still open.
/// Between these times callers read the final responses. Afterwards the last lines of the log are written
/// and the process is removed, which takes 30 ms and, on a busy machine, some waits for the processor.
const EXIT_FRACTION: f64 = 0.02;
const MIN_EXIT_TIME: Duration = Duration::from_millis(100);
/// The shortest retry delay for callers that a stopping host refuses.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// By how much longer than expected a response may take on busy engines.
const SERVICE_TIME_FACTOR: u32 = 2;

/// The phase of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The host is not stopping.
    Running,
    /// The host accepts requests on open connections, and tells callers to open the next one
    /// elsewhere.
    Serving,
    /// The host closes connections as soon as they are idle, and accepts only requests that end in
    /// time.
    Closing,
    /// All requests without a response get their final one, and only streams are still open.
    Ended,
    /// The process exits.
    Exited,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Stop {
    begun: Moment,
    closing: Moment,
    end: Moment,
    exit: Moment,
}

impl Stop {
    /// Returns the current phase and when the next one begins.
    fn phase(&self, now: Moment) -> (StopPhase, Moment) {
        if now >= self.exit {
            (StopPhase::Exited, self.exit)
        } else if now >= self.end {
            (StopPhase::Ended, self.exit)
        } else if now >= self.closing {
            (StopPhase::Closing, self.end)
        } else {
            (StopPhase::Serving, self.closing)
        }
    }
}

impl Gateway {
    /// Begins a graceful shutdown that must be complete after `grace`.
    pub fn begin_stop(&mut self, now: Moment, grace: Duration) {
        let serving = BALANCER_TIME.min(grace.mul_f64(SERVING_FRACTION));
        let before_end =
            |fraction, least: Duration| grace.saturating_sub(least.max(grace.mul_f64(fraction)));
        self.stop = Some(Stop {
            begun: now,
            closing: now + serving,
            end: now + before_end(END_FRACTION, MIN_END_TIME),
            exit: now + before_end(EXIT_FRACTION, MIN_EXIT_TIME),
        });
    }

    /// Returns the current phase.
    pub fn stop_phase(&self, now: Moment) -> StopPhase {
        self.stop.map_or(StopPhase::Running, |stop| stop.phase(now).0)
    }

    /// Returns the time until the next phase of a graceful shutdown; `None` if there is none.
    pub fn next_stop_phase_in(&self, now: Moment) -> Option<Duration> {
        self.stop.map(|stop| stop.phase(now).1.since(now))
    }

    /// Returns whether a new request on `route` is still accepted.
    pub(crate) fn accepts(&self, now: Moment, route: &Route) -> bool {
        let Some(stop) = self.stop else { return true };
        match stop.phase(now).0 {
            StopPhase::Running | StopPhase::Serving => true,
            StopPhase::Closing => now + route.timeout < stop.end,
            StopPhase::Ended | StopPhase::Exited => false,
        }
    }

    /// Returns the refusal of a request that this host is not expected to answer before it exits, if
    /// its first event comes no earlier than `delay` from now.
    pub(crate) fn stop_refusal(
        &self,
        now: Moment,
        request: &GatewayRequest,
        delay: Duration,
    ) -> Option<GatewayRefusal> {
        let stop = self.stop?;
        let answered = (now + delay + self.service_time(request)).min(request.deadline);
        (answered >= stop.end).then(|| self.final_refusal(now, request))
    }

    /// Returns the final response to a request that a stopping host answers no more. It promises
    /// that the request has not run only if no server can have it.
    pub fn final_refusal(&self, now: Moment, request: &GatewayRequest) -> GatewayRefusal {
        lost_if_may_have_run(request, self.stopping_refusal(now))
    }

    /// Returns the refusal of a new request by a stopping host, which its caller should retry once
    /// the balancer directs it to another one.
    pub fn stopping_refusal(&self, now: Moment) -> GatewayRefusal {
        let until_moved =
            self.stop.map_or(Duration::ZERO, |stop| (stop.begun + BALANCER_TIME).since(now));
        GatewayRefusal::retry_after(RefusalReason::Stopping, until_moved.max(MIN_RETRY_AFTER))
    }

    /// Returns the time from a send to the end of the response within which nearly all responses are
    /// complete.
    fn service_time(&self, request: &GatewayRequest) -> Duration {
        let service = self.catalog.as_ref().and_then(|catalog| catalog.service(&request.service));
        match (service.and_then(|service| service.engine), request.size) {
            (Some(profile), Some(size)) => {
                let output = profile.output_time(size.max_output.min(profile.mean_output * 3));
                (profile.prefill_time(size.prompt) + output) * SERVICE_TIME_FACTOR
            }
            _ => request.route.objective,
        }
    }
}
