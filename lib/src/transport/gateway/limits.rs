//! Records the limits that servers name in their responses.

use slog::Logger;
use slog::info;
use slog::warn;

use super::context::GatewayContext;
use super::dialect::LimitStatement;
use super::dialect::ResponseFacts;
use crate::state::LimitChange;
use crate::state::LimitSource;
use crate::state::LimitVersion;
use crate::state::RequestRate;
use crate::state::ServerId;

impl GatewayContext {
    /// Records the limit that a response of `server` names, or that it names none. `request` is the id of
    /// the request, which was sent with the version `sent`.
    pub(crate) fn record_limit(
        &self,
        server: &ServerId,
        sent: LimitVersion,
        request: Option<&str>,
        facts: &ResponseFacts,
    ) {
        let stated_id = facts.request_id.as_deref();
        if request.is_some_and(|request| stated_id.is_some_and(|id| id != request)) {
            return;
        }
        let rate = match facts.limit {
            LimitStatement::Absent => None,
            LimitStatement::Rate(rate) => Some(rate),
            LimitStatement::Foreign => return,
            LimitStatement::Invalid => {
                if self.invalid_limits.borrow_mut().insert(server.digest()) {
                    warn!(self.telemetry.log(), "invalid server limit"; "server" => server.id(),
                        "born" => server.born());
                }
                return;
            }
        };
        let change = self.gateway.borrow_mut().record_limit(self.now(), server, sent, rate);
        if let Some(change) = change {
            log_limit_change(self.telemetry.log(), &change, server.id());
        }
    }
}

fn log_limit_change(log: &Logger, change: &LimitChange, server: &str) {
    let rate = |rate: Option<RequestRate>| rate.map_or(-1.0, RequestRate::per_second);
    let source = match change.source {
        LimitSource::Response => "response".to_owned(),
        LimitSource::Peer(address) => address.to_string(),
    };
    let message = match (change.before, change.limit.rate) {
        (None, _) => "server limit named",
        (Some(_), Some(_)) => "server limit changed",
        (Some(_), None) => "server limit ended",
    };
    info!(log, "{}", message; "server" => server, "rate" => rate(change.limit.rate),
        "before" => rate(change.before), "lasted_ms" => change.lasted.as_millis() as u64,
        "limit_version" => change.limit.version.0, "source" => source);
}
