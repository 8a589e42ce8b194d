//! Records the pauses that servers ask for in their responses.

use slog::info;

use super::context::GatewayContext;
use super::dialect::PauseRequest;
use super::dialect::ResponseFacts;
use super::telemetry::LineKind;
use crate::state::ServerId;

impl GatewayContext {
    /// Records the pause that a response of `server` asks for, if it does.
    pub(crate) fn record_pause(&self, server: &ServerId, facts: &ResponseFacts) {
        let Some(pause) = facts.pause else { return };
        let now = self.now();
        let log = self.telemetry.limited_log(now, LineKind::Failure);
        match pause {
            PauseRequest::For(length) => {
                self.gateway.borrow_mut().record_pause(now, server, length);
                if let Some(log) = log {
                    let pause_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
                    info!(log, "server paused"; "server" => server.id(), "pause_ms" => pause_ms);
                }
            }
            PauseRequest::Invalid => {
                if let Some(log) = log {
                    info!(log, "invalid pause"; "server" => server.id());
                }
            }
        }
    }

    /// Returns whether `server` must get nothing now.
    pub(crate) fn is_paused(&self, server: &ServerId) -> bool {
        self.gateway.borrow().is_paused(self.now(), server)
    }
}
