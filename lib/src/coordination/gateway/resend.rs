//! What follows when a send did not bring the answer: another send, or the final answer.

use std::time::Duration;

use super::Dispatch;
use super::Gateway;
use super::GatewayRefusal;
use super::GatewayRequest;
use super::RefusalReason;
use super::not_run_only;
use crate::state::Moment;
use crate::state::ServerId;
use crate::state::ServerResult;

/// How often a request may find a server that cannot be reached; nothing was sent to those.
const MAX_UNREACHED: u32 = 4;
/// When a caller may come back whose request no server ran.
const BACK_DECLINED: Duration = Duration::from_millis(300);
/// The least time left that a request is sent again for.
const LEAST_RESEND: Duration = Duration::from_millis(40);

/// How long an engine is avoided that had less memory than was believed.
const NO_MEMORY_AVOID: Duration = Duration::from_millis(500);

/// What became of one send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendResult {
    /// No connection could be made; nothing was sent.
    Unreached,
    /// The memory that the prompt needs could not be set aside; nothing was sent.
    NoMemory,
    /// The server states that it did not run the request and never will.
    Declined {
        /// The address of the server at fault, where that is another one.
        at_fault: Option<String>,
        /// When the server may be asked again.
        retry_after: Option<Duration>,
    },
    /// The server answered with a failure of its own.
    Failed,
    /// The request was sent and no usable answer came.
    Lost,
    /// The answer broke off after part of it was passed on.
    Cut,
    /// The time ran out while the server had it.
    TimedOut,
}

/// What is done after a send that did not bring the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// The request is placed again.
    PlaceAgain,
    /// The caller gets the answer that the server gave.
    RelayFailure,
    /// The caller gets this final answer.
    Refuse(GatewayRefusal),
    /// The answer ends unfinished, so that it cannot be taken for a whole one.
    CutAnswer,
}

impl Gateway {
    /// Notes that `dispatch` brought the whole answer.
    pub fn record_answer(&mut self, now: Moment, dispatch: &Dispatch) {
        for server in dispatch.servers() {
            self.record(now, &server.id, ServerResult::Answered);
        }
    }

    /// Notes that `ask` begins to be sent: from here on the server may run it.
    pub fn record_sent(&mut self, ask: &mut GatewayRequest) {
        ask.sends += 1;
        ask.unresolved_sends += 1;
    }

    /// Decides what follows after `dispatch` ended with `result`.
    pub fn after_send(
        &mut self,
        now: Moment,
        ask: &mut GatewayRequest,
        dispatch: &Dispatch,
        result: &SendResult,
    ) -> NextStep {
        let server = &dispatch.server.id;
        match result {
            SendResult::Unreached => {
                self.record(now, server, ServerResult::Lost);
                ask.unsent_attempts += 1;
                if ask.unsent_attempts <= MAX_UNREACHED && self.has_time(now, ask) {
                    return NextStep::PlaceAgain;
                }
                let back = GatewayRefusal::retry_after(RefusalReason::Unreachable, BACK_DECLINED);
                NextStep::Refuse(not_run_only(ask, back))
            }
            SendResult::NoMemory => {
                ask.unsent_attempts += 1;
                ask.tried.retain(|tried| tried != server);
                if ask.unsent_attempts <= MAX_UNREACHED && self.has_time(now, ask) {
                    return NextStep::PlaceAgain;
                }
                let back = GatewayRefusal::retry_after(RefusalReason::NoMemory, BACK_DECLINED);
                NextStep::Refuse(not_run_only(ask, back))
            }
            SendResult::Declined { at_fault, retry_after } => {
                self.record_decline(now, ask, dispatch, at_fault.as_deref());
                ask.unresolved_sends = ask.unresolved_sends.saturating_sub(1);
                if self.may_send_again(now, ask) {
                    return NextStep::PlaceAgain;
                }
                let retry_after = retry_after.unwrap_or(BACK_DECLINED);
                let refusal = GatewayRefusal::retry_after(RefusalReason::Declined, retry_after);
                NextStep::Refuse(not_run_only(ask, refusal))
            }
            SendResult::Failed => {
                self.record(now, server, ServerResult::Failed);
                if ask.is_repeatable() && self.may_send_again(now, ask) {
                    return NextStep::PlaceAgain;
                }
                NextStep::RelayFailure
            }
            SendResult::Lost => {
                self.record(now, server, ServerResult::Lost);
                if ask.is_repeatable() && self.may_send_again(now, ask) {
                    return NextStep::PlaceAgain;
                }
                NextStep::Refuse(GatewayRefusal::new(RefusalReason::AnswerLost))
            }
            SendResult::Cut => {
                self.record(now, server, ServerResult::Lost);
                if ask.is_repeatable() && self.may_send_again(now, ask) {
                    return NextStep::PlaceAgain;
                }
                NextStep::CutAnswer
            }
            SendResult::TimedOut => {
                NextStep::Refuse(GatewayRefusal::new(RefusalReason::ServerTimeout))
            }
        }
    }

    /// Notes that an engine did not set memory aside: it is avoided for a while.
    pub fn record_no_memory(&mut self, now: Moment, server: &ServerId) {
        if self.servers.contains(server) {
            self.health.entry(server.clone()).or_default().avoid_for(now, NO_MEMORY_AVOID);
        }
    }

    fn record(&mut self, now: Moment, server: &ServerId, result: ServerResult) {
        if self.servers.contains(server) {
            self.health.entry(server.clone()).or_default().record(now, result);
        }
    }

    fn record_decline(
        &mut self,
        now: Moment,
        ask: &mut GatewayRequest,
        dispatch: &Dispatch,
        at_fault: Option<&str>,
    ) {
        let other = at_fault
            .and_then(|address| self.servers.at_address(address, &ask.service))
            .filter(|id| **id != dispatch.server.id)
            .cloned();
        match other {
            Some(other) => {
                self.record(now, &other, ServerResult::Lost);
                ask.tried.retain(|tried| *tried != dispatch.server.id);
                ask.tried.push(other);
            }
            None => self.record(now, &dispatch.server.id, ServerResult::Declined),
        }
    }

    fn has_time(&self, now: Moment, ask: &GatewayRequest) -> bool {
        now + LEAST_RESEND < ask.deadline
    }

    /// Takes another send from the request's attempts and the shared budget.
    fn may_send_again(&mut self, now: Moment, ask: &GatewayRequest) -> bool {
        let hosts = self.host_count(now);
        ask.sends < ask.route.attempts
            && self.has_time(now, ask)
            && self.budget(&ask.service).take_retry(now, hosts)
    }
}
