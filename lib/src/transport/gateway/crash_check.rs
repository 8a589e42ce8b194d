//! Distinguishes the crash of a server from the loss of one connection to it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use slog::info;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use super::active_send::ActiveSend;
use super::exchange::Exchange;
use super::telemetry::LineKind;
use crate::coordination::Dispatch;
use crate::coordination::SendResult;
use crate::state::Moment;

/// The delay before a lost server is probed: a process that ends closes its sockets one by one.
const PROBE_DELAY: Duration = Duration::from_millis(5);
/// How long a lost server may take to accept or refuse a new connection: several times the latency between
/// two availability zones. One that does neither may be cut off or without power.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);
/// How long an answer is written until its server can no longer have crashed because of it.
const SOUND_AFTER: Duration = Duration::from_millis(500);

/// Returns whether the process at `address` is gone: the system there refuses connections.
async fn is_refused(address: SocketAddr) -> bool {
    sleep(PROBE_DELAY).await;
    match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

impl Exchange {
    /// Finds out whether the server of a lost send crashed while it may have begun to write the answer,
    /// of which the first event came at `first_event`.
    pub(crate) async fn check_crash(
        &self,
        dispatch: &Dispatch,
        result: &SendResult,
        first_event: Option<Moment>,
    ) {
        let is_lost = matches!(result, SendResult::Lost | SendResult::Cut);
        let lost = self.ctx.now();
        let is_sound = first_event.is_some_and(|at| lost.since(at) >= SOUND_AFTER);
        let has_parts = !self.request.borrow().parts.as_slice().is_empty();
        if !is_lost || is_sound || !has_parts || !is_refused(dispatch.server.address).await {
            return;
        }
        self.log_crash(dispatch, first_event);
        let now = self.ctx.now();
        let request = self.request.borrow();
        let has_begun = first_event.is_some();
        self.ctx.gateway.borrow_mut().record_crash(now, &request, dispatch, has_begun);
        self.ctx.urgent_summary.notify_one();
    }

    /// Records, once for each send, that its answer is complete or has been written for long enough that
    /// its server will not crash because of it.
    pub(crate) fn record_if_sound(&self, send: &ActiveSend, is_complete: bool) {
        let Some(began) = send.first_event.get() else { return };
        let is_sound = is_complete || self.ctx.now().since(began) >= SOUND_AFTER;
        if is_sound && !send.is_sound.replace(true) {
            self.ctx.gateway.borrow_mut().record_sound_answer(&self.request.borrow(), began);
        }
    }

    fn log_crash(&self, dispatch: &Dispatch, first_event: Option<Moment>) {
        let now = self.ctx.now();
        self.ctx.telemetry.count_server_fault("crashed");
        let Some(log) = self.ctx.telemetry.limited_log(now, LineKind::Failure) else { return };
        let request = self.request.borrow();
        let load = self.ctx.gateway.borrow().load(&dispatch.server.id, now);
        info!(log, "server crashed"; "request" => &request.id,
            "server" => dispatch.server.id.id(), "born" => dispatch.server.id.born(),
            "customer" => request.customer.as_ref().map_or("", |name| name.as_str()),
            "parts" => %request.parts, "sends" => request.sends,
            "first_event_age_ms" => first_event.map_or(-1, |at| now.since(at).as_millis() as i64),
            "other_tokens" => load.tokens, "other_running" => load.running_total());
    }
}
