//! Logs and metrics of requests.

use std::time::Duration;

use http::Response;
use http::request;
use slog::info;

use super::context::GatewayContext;
use super::exchange::Exchange;
use super::response_body::ResponseBody;
use super::response_head::refusal_response;
use super::telemetry::LineKind;
use super::telemetry::RequestLabel;
use super::upstream::SendError;
use crate::coordination::Dispatch;
use crate::coordination::GatewayRefusal;
use crate::coordination::NextStep;
use crate::coordination::SendResult;
use crate::state::Moment;
use crate::state::RouteKind;

/// Refuses a request that was not admitted to a route, with its log line and metric.
pub(crate) fn refuse_early(
    ctx: &GatewayContext,
    id: &str,
    head: &request::Parts,
    refusal: GatewayRefusal,
) -> Response<ResponseBody> {
    let now = ctx.now();
    if let Some(log) = ctx.telemetry.limited_log(now, LineKind::Failure) {
        let gateway = ctx.gateway.borrow();
        let version = gateway.catalog().map_or(0, |catalog| catalog.version());
        let age = gateway.catalog_age(now).map_or(-1, |age| age.as_millis() as i64);
        info!(log, "request refused"; "request" => id, "reason" => refusal.reason.name(),
            "status" => refusal.reason.status(), "path" => head.uri.path(),
            "catalog_version" => version, "catalog_age_ms" => age);
    }
    let label = RequestLabel { kind: "unjudged", outcome: refusal.reason.name() };
    ctx.telemetry.count_request(label);
    refusal_response(ctx, &refusal)
}

impl Exchange {
    /// Logs and counts a send that did not yield the response.
    pub(crate) fn record_send_result(
        &self,
        now: Moment,
        dispatch: &Dispatch,
        result: &SendResult,
        step: NextStep,
    ) {
        let name = result_name(result);
        self.ctx.telemetry.count_send(name);
        if let Some(log) = self.ctx.telemetry.limited_log(now, LineKind::Failure) {
            info!(log, "send failed"; "request" => &self.request.id, "result" => name,
                "server" => &*dispatch.server.id.id, "sends" => self.request.sends,
                "helpers" => dispatch.helpers.len(), "next" => ?step,
                "age_ms" => now.since(self.arrived).as_millis() as u64);
        }
    }

    pub(crate) fn log_send(&mut self, now: Moment, dispatch: &Dispatch) {
        let waited = now.since(self.arrived);
        if self.first_sent.is_none() {
            self.first_sent = Some(now);
            self.ctx.telemetry.observe_waited(waited);
        }
        let Some(log) = self.ctx.telemetry.limited_log(now, LineKind::Success) else { return };
        let gateway = self.ctx.gateway.borrow();
        let load = gateway.load(&dispatch.server.id, now);
        info!(log, "request sent"; "request" => &self.request.id,
            "server" => &*dispatch.server.id.id, "waited_ms" => waited.as_millis() as u64,
            "prompt" => self.request.size.map_or(0, |size| size.prompt),
            "helpers" => dispatch.helpers.len(),
            "expected_ms" => dispatch.expected_delay.as_millis() as u64,
            "backlog_ms" => load.backlog.as_millis() as u64,
            "running" => load.running_total(), "at_stake" => format!("{:.1?}", load.response_value),
            "catalog_version" => gateway.catalog().map_or(0, |catalog| catalog.version()));
    }

    pub(crate) fn log_send_error(&self, dispatch: &Dispatch, error: &SendError) {
        let now = self.ctx.now();
        if let Some(log) = self.ctx.telemetry.limited_log(now, LineKind::Failure) {
            info!(log, "server connection failed"; "request" => &self.request.id,
                "server" => &*dispatch.server.id.id, "error" => %error);
        }
    }

    pub(crate) fn record_first_event(&self, now: Moment, dispatch: &Dispatch) {
        let time = now.since(self.arrived);
        self.ctx.telemetry.observe_first_event(self.request.size.map(|size| size.prompt), time);
        if let Some(log) = self.ctx.telemetry.limited_log(now, LineKind::Success) {
            info!(log, "first event"; "request" => &self.request.id,
                "server" => &*dispatch.server.id.id, "age_ms" => time.as_millis() as u64,
                "expected_ms" => dispatch.expected_delay.as_millis() as u64);
        }
    }

    /// Logs and counts the end of the request.
    pub(crate) fn record_end(
        &mut self,
        outcome: &'static str,
        kind: LineKind,
        status: u16,
        retry_after: Option<Duration>,
    ) {
        self.is_finished = true;
        let now = self.ctx.now();
        self.ctx
            .telemetry
            .count_request(RequestLabel { kind: kind_name(self.request.route.kind), outcome });
        if let Some(log) = self.ctx.telemetry.limited_log(now, kind) {
            info!(log, "request ended"; "request" => &self.request.id, "outcome" => outcome,
                "status" => status, "route" => &*self.request.route.name,
                "customer" => self.request.customer.as_ref().map_or("", |name| name.as_str()),
                "service" => self.request.service.as_str(), "sends" => self.request.sends,
                "unreached" => self.request.unsent_attempts,
                "prompt" => self.request.size.map_or(0, |size| size.prompt),
                "last_event" => self.request.last_event.unwrap_or(0),
                "pause_ms" => self.longest_pause.as_millis() as u64,
                "back_ms" => retry_after.map_or(-1, |after| after.as_millis() as i64),
                "age_ms" => now.since(self.arrived).as_millis() as u64);
        }
    }
}

fn kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "non_idempotent",
        RouteKind::Stream { .. } => "stream",
    }
}

fn result_name(result: &SendResult) -> &'static str {
    match result {
        SendResult::Unreached => "unreached",
        SendResult::NoMemory => "no_memory",
        SendResult::Declined { .. } => "declined",
        SendResult::Failed => "failed",
        SendResult::Lost => "lost",
        SendResult::Cut => "cut",
        SendResult::TimedOut => "timed_out",
    }
}
