//! Records the limits that servers name in their responses.

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

/// The most servers whose invalid limits are remembered as logged.
const MAX_INVALID_LIMITS: usize = 1_024;

impl GatewayContext {
    /// Records the limit that a response of `server` names, or that it names none. Its request was sent
    /// with the version `sent`.
    pub(crate) fn record_limit(
        &self,
        server: &ServerId,
        sent: LimitVersion,
        facts: &ResponseFacts,
    ) {
        let rate = match facts.limit {
            LimitStatement::Absent => None,
            LimitStatement::Rate(rate) => Some(rate),
            LimitStatement::Foreign => return,
            LimitStatement::Invalid => {
                let mut logged = self.invalid_limits.borrow_mut();
                if logged.len() >= MAX_INVALID_LIMITS {
                    logged.clear();
                }
                if logged.insert(server.digest()) {
                    warn!(self.telemetry.log(), "invalid server limit"; "server" => server.id(),
                        "born" => server.born());
                }
                return;
            }
        };
        if self.gateway.borrow_mut().record_limit(self.now(), server, sent, rate) {
            self.urgent_summary.notify_one();
        }
        self.report_limit_changes();
    }

    /// Logs the changes of limits, and lets queued requests be placed by them.
    pub(crate) fn report_limit_changes(&self) {
        let changes = self.gateway.borrow_mut().take_limit_changes();
        for change in &changes {
            self.log_limit_change(change);
        }
        if !changes.is_empty() {
            self.capacity_freed.notify_waiters();
        }
    }

    fn log_limit_change(&self, change: &LimitChange) {
        let rate = |rate: Option<RequestRate>| rate.map_or(-1.0, RequestRate::per_second);
        let source = match change.source {
            LimitSource::Response => "response".to_owned(),
            LimitSource::Peer(address) => address.to_string(),
        };
        let gateway = self.gateway.borrow();
        let server = gateway.servers().with_digest(change.server);
        let (name, born) = server.map_or(("", 0), |server| (server.id.id(), server.id.born()));
        let kind = match (change.before, change.limit.rate) {
            (None, _) => "named",
            (Some(_), Some(_)) => "changed",
            (Some(_), None) => "ended",
        };
        info!(self.telemetry.log(), "server limit"; "change" => kind, "server" => name, "born" => born,
            "rate" => rate(change.limit.rate), "before" => rate(change.before),
            "lasted_ms" => change.lasted.as_millis() as u64,
            "limit_version" => change.limit.version.0, "source" => source);
    }
}
