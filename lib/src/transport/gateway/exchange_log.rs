//! Logs and metrics of requests.

use std::time::Duration;

use http::Response;
use http::request;
use http::response;
use slog::KV;
use slog::Record;
use slog::Serializer;
use slog::info;

use super::context::GatewayContext;
use super::event_relay::StreamFault;
use super::exchange::Exchange;
use super::response_body::ResponseBody;
use super::response_head::refusal_response;
use super::telemetry::LineKind;
use super::telemetry::RequestLabel;
use super::upstream::SendError;
use crate::coordination::Dispatch;
use crate::coordination::GatewayRefusal;
use crate::coordination::NextStep;
use crate::coordination::PlacementInputs;
use crate::coordination::RefusalReason;
use crate::coordination::SendResult;
use crate::state::Moment;
use crate::state::RequestRate;
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

/// The inputs of a placement decision as fields of a log line, which has none of them without one.
struct InputFields(Option<PlacementInputs>);

impl KV for InputFields {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let Some(inputs) = &self.0 else { return Ok(()) };
        let counts = [
            ("servers", inputs.listed),
            ("paused", inputs.paused),
            ("limited", inputs.limited),
            ("tried", inputs.tried),
            ("avoided", inputs.avoided),
            ("full", inputs.full),
        ];
        for (name, count) in counts {
            serializer.emit_usize(name, count)?;
        }
        if let Some(admission) = &inputs.admission {
            serializer.emit_u8("priority", admission.priority)?;
            serializer.emit_bool("kept", admission.is_kept)?;
            let shares = [
                ("load_share", admission.load_share),
                ("priority_share", admission.priority_share),
                ("customer_share", admission.customer_share),
            ];
            for (name, share) in shares {
                serializer.emit_f64(name, rounded(share))?;
            }
        }
        let Some(prefill) = &inputs.prefill else { return Ok(()) };
        let ratios = [
            ("value", prefill.value),
            ("price", prefill.price),
            ("load_factor", prefill.load_factor),
        ];
        for (name, ratio) in ratios {
            serializer.emit_f64(name, rounded(ratio))?;
        }
        let times = [
            ("prefill_ms", prefill.time),
            ("backlog_ms", prefill.backlog),
            ("queue_ms", prefill.queue),
            ("time_left_ms", prefill.time_left),
            ("load_age_ms", prefill.load_age),
        ];
        for (name, time) in times {
            serializer.emit_u64(name, time.as_millis() as u64)?;
        }
        let expected = prefill.first_event.map_or(-1, |time| time.as_millis() as i64);
        serializer.emit_i64("expected_ms", expected)
    }
}

/// Returns `ratio` in thousandths.
fn rounded(ratio: f64) -> f64 {
    (ratio * 1_000.0).round() / 1_000.0
}

/// Returns whether `reason` follows from the inputs of the last placement decision.
fn is_placement_reason(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::NoServer
            | RefusalReason::ServersPaused
            | RefusalReason::ServersLimited
            | RefusalReason::PromptTooLarge
            | RefusalReason::Overload
            | RefusalReason::TooCostly
            | RefusalReason::LowPriority
            | RefusalReason::CustomerShare
            | RefusalReason::WaitedTooLong
    )
}

impl Exchange {
    /// Logs and counts a send that did not yield the response; `step` is `None` if another server has
    /// the request.
    pub(crate) fn record_send_result(
        &self,
        now: Moment,
        dispatch: &Dispatch,
        result: &SendResult,
        step: Option<NextStep>,
    ) {
        self.record_end_of_send(now, dispatch, result_name(result), step);
    }

    /// Logs and counts that another server answered in place of the silent one of `dispatch`.
    pub(crate) fn record_replaced(&self, dispatch: &Dispatch) {
        self.record_end_of_send(self.ctx.now(), dispatch, "silent", None);
    }

    fn record_end_of_send(
        &self,
        now: Moment,
        dispatch: &Dispatch,
        name: &'static str,
        step: Option<NextStep>,
    ) {
        let request = self.request.borrow();
        self.ctx.telemetry.count_send(name);
        if let Some(log) = self.ctx.telemetry.limited_log(now, LineKind::Failure) {
            info!(log, "send failed"; "request" => &request.id, "result" => name,
                "server" => dispatch.server.id.id(), "sends" => request.sends,
                "helpers" => dispatch.helpers.len(),
                "next" => step.map_or("StaysElsewhere".to_owned(), |step| format!("{step:?}")),
                "age_ms" => now.since(self.arrived).as_millis() as u64);
        }
    }

    /// Logs that the request begins to wait at this host.
    pub(crate) fn log_wait(&self, delay: Duration) {
        let request = self.request.borrow();
        let now = self.ctx.now();
        let Some(log) = self.ctx.telemetry.limited_log(now, LineKind::Success) else { return };
        info!(log, "request waits"; "request" => &request.id,
            "service" => request.service.as_str(),
            "prompt" => request.size.map_or(0, |size| size.prompt),
            "delay_ms" => delay.as_millis() as u64,
            "age_ms" => now.since(self.arrived).as_millis() as u64,
            InputFields(Some(request.inputs)));
    }

    pub(crate) fn log_send(&self, now: Moment, dispatch: &Dispatch) {
        let request = self.request.borrow();
        let waited = now.since(self.arrived);
        if self.first_sent.get().is_none() {
            self.first_sent.set(Some(now));
            self.ctx.telemetry.observe_waited(waited);
        }
        let Some(log) = self.ctx.telemetry.limited_log(now, LineKind::Success) else { return };
        let gateway = self.ctx.gateway.borrow();
        let load = gateway.load(&dispatch.server.id, now);
        info!(log, "request sent"; "request" => &request.id,
            "server" => dispatch.server.id.id(), "waited_ms" => waited.as_millis() as u64,
            "prompt" => request.size.map_or(0, |size| size.prompt),
            "helpers" => dispatch.helpers.len(),
            "expected_ms" => dispatch.expected_delay.as_millis() as u64,
            "backlog_ms" => load.backlog.as_millis() as u64,
            "running" => load.running_total(),
            "server_limit" => gateway.server_limit(&dispatch.server.id)
                .map_or(-1.0, RequestRate::per_second), "at_stake" => format!("{:.1?}", load.response_value),
            "catalog_version" => gateway.catalog().map_or(0, |catalog| catalog.version()));
    }

    pub(crate) fn log_send_error(&self, dispatch: &Dispatch, error: &SendError) {
        let request = self.request.borrow();
        let now = self.ctx.now();
        if let Some(log) = self.ctx.telemetry.limited_log(now, LineKind::Failure) {
            info!(log, "server connection failed"; "request" => &request.id,
                "server" => dispatch.server.id.id(), "error" => %error);
        }
    }

    /// Logs and counts that a server wrote the response to another request, which states the id `stated`.
    pub(crate) fn log_foreign_response(
        &self,
        dispatch: &Dispatch,
        head: &response::Parts,
        stated: Option<&str>,
    ) {
        self.ctx.telemetry.count_server_fault("foreign_response");
        let request = self.request.borrow();
        if let Some(log) = self.ctx.telemetry.limited_log(self.ctx.now(), LineKind::Failure) {
            info!(log, "response of another request"; "request" => &request.id,
                "server" => dispatch.server.id.id(), "stated_id" => stated.unwrap_or(""),
                "status" => head.status.as_u16());
        }
    }

    /// Logs and counts that a server's stream ended before it was complete; its last event came at
    /// `last`.
    pub(crate) fn record_fault(&self, dispatch: &Dispatch, fault: StreamFault, last: Moment) {
        self.log_server_fault(dispatch, fault.name(), last);
    }

    /// Logs and counts that another server is sought since this one has sent nothing since `last`.
    pub(crate) fn log_silence(&self, dispatch: &Dispatch, last: Moment) {
        self.log_server_fault(dispatch, "silent", last);
    }

    fn log_server_fault(&self, dispatch: &Dispatch, fault: &'static str, last: Moment) {
        let request = self.request.borrow();
        let now = self.ctx.now();
        self.ctx.telemetry.count_server_fault(fault);
        if let Some(log) = self.ctx.telemetry.limited_log(now, LineKind::Failure) {
            info!(log, "server fault"; "request" => &request.id,
                "server" => dispatch.server.id.id(), "fault" => fault,
                "pause_ms" => now.since(last).as_millis() as u64,
                "last_event" => request.last_event.unwrap_or(0),
                "time_left_ms" => request.deadline.since(now).as_millis() as u64);
        }
    }

    /// Logs why the request is not sent to another server.
    pub(crate) fn record_no_successor(&self, refusal: GatewayRefusal) {
        let request = self.request.borrow();
        let now = self.ctx.now();
        if let Some(log) = self.ctx.telemetry.limited_log(now, LineKind::Failure) {
            info!(log, "no successor"; "request" => &request.id,
                "reason" => refusal.cause.unwrap_or(refusal.reason).name(),
                "sends" => request.sends,
                "time_left_ms" => request.deadline.since(now).as_millis() as u64);
        }
    }

    pub(crate) fn record_first_event(&self, now: Moment, dispatch: &Dispatch) {
        let request = self.request.borrow();
        let time = now.since(self.arrived);
        self.ctx.telemetry.observe_first_event(request.size.map(|size| size.prompt), time);
        if let Some(log) = self.ctx.telemetry.limited_log(now, LineKind::Success) {
            info!(log, "first event"; "request" => &request.id,
                "server" => dispatch.server.id.id(), "age_ms" => time.as_millis() as u64,
                "expected_ms" => dispatch.expected_delay.as_millis() as u64);
        }
    }

    /// Logs and counts the end of the request.
    pub(crate) fn record_end(
        &self,
        outcome: &'static str,
        kind: LineKind,
        status: u16,
        refusal: Option<&GatewayRefusal>,
    ) {
        let retry_after = refusal.and_then(|refusal| refusal.retry_after);
        let cause = refusal.and_then(|refusal| refusal.cause);
        let part = refusal.and_then(|refusal| refusal.part);
        self.is_finished.set(true);
        let request = self.request.borrow();
        let now = self.ctx.now();
        self.ctx
            .telemetry
            .count_request(RequestLabel { kind: kind_name(request.route.kind), outcome });
        if let Some(log) = self.ctx.telemetry.limited_log(now, kind) {
            let reason = refusal.map(|refusal| refusal.cause.unwrap_or(refusal.reason));
            let has_inputs = reason.is_some_and(is_placement_reason);
            let inputs = InputFields(has_inputs.then_some(request.inputs));
            info!(log, "request ended"; "request" => &request.id, "outcome" => outcome,
                "status" => status, "route" => &*request.route.name,
                "customer" => request.customer.as_ref().map_or("", |name| name.as_str()),
                "service" => request.service.as_str(), "sends" => request.sends,
                "unreached" => request.unsent_attempts,
                "prompt" => request.size.map_or(0, |size| size.prompt),
                "last_event" => request.last_event.unwrap_or(0),
                "cause" => cause.map_or("", RefusalReason::name),
                "part" => part.map_or(String::new(), |part| part.to_string()),
                "pause_ms" => self.longest_pause.get().as_millis() as u64,
                "back_ms" => retry_after.map_or(-1, |after| after.as_millis() as i64),
                "age_ms" => now.since(self.arrived).as_millis() as u64, inputs);
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
        SendResult::NoAttempt => "no_attempt",
        SendResult::Leaving => "leaving",
        SendResult::Evacuated => "evacuated",
        SendResult::Paused => "paused",
        SendResult::Limited => "limited",
        SendResult::Isolated => "isolated",
        SendResult::Declined { .. } => "declined",
        SendResult::Failed => "failed",
        SendResult::Lost => "lost",
        SendResult::Cut => "cut",
        SendResult::TimedOut => "timed_out",
    }
}
