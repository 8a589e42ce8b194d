//! Engines that name a limit of requests per second, in a replay.

use wasabicrank_lib::coordination::Gateway;
use wasabicrank_lib::coordination::PermitAnswer;
use wasabicrank_lib::coordination::PermitStep;
use wasabicrank_lib::state::Moment;
use wasabicrank_lib::state::RequestRate;
use wasabicrank_lib::state::ServerId;

use super::fleet::position;

/// The span, in microseconds, in which the platform counts the requests to a server.
const COUNT_SPAN: u64 = 4_000_000;

/// An engine that names a limit from the start of the replay.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineLimit {
    /// The position of the engine.
    pub engine: usize,
    pub rate: RequestRate,
}

/// The requests that an engine with a limit got.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitResult {
    pub limit: EngineLimit,
    /// All requests, of all hosts.
    pub requests: usize,
    /// The most requests in any four seconds.
    pub most: usize,
}

/// Takes a permit for a request of `host` to `server`; returns whether it may be sent.
pub(crate) fn take_permit(
    gateways: &mut [Gateway],
    host: usize,
    server: &ServerId,
    now: Moment,
) -> bool {
    let arbiter = match gateways[host].request_permit(now, server) {
        PermitStep::NotLimited | PermitStep::Granted => return true,
        PermitStep::Denied => return false,
        PermitStep::Ask(arbiter) => position(arbiter),
    };
    match gateways[arbiter].grant(now, server.digest()) {
        PermitAnswer::Granted => {
            gateways[host].record_permit(server);
            true
        }
        PermitAnswer::Denied(wait) => {
            gateways[host].record_denial(now, server, wait);
            false
        }
    }
}

/// Counts the requests that arrived at `arrivals` at an engine with `limit`.
pub(crate) fn count_requests(limit: EngineLimit, arrivals: &[Moment]) -> LimitResult {
    let in_span = |start: &Moment| {
        arrivals.iter().filter(|at| **at >= *start && at.0 < start.0 + COUNT_SPAN).count()
    };
    let most = arrivals.iter().map(in_span).max().unwrap_or(0);
    LimitResult { limit, requests: arrivals.len(), most }
}
