//! Calls to plain services: repeatable calls and calls that run at most once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;

use super::Node;
use super::completions::not_run;
use super::io::AnswerPiece;
use super::io::CallRequest;
use super::io::CallerId;
use super::io::Output;
use super::io::Rejection;
use super::io::ServiceFailure;
use super::io::ServiceReport;
use crate::coordination::CallResult;
use crate::coordination::ForwardedCall;
use crate::coordination::HomeOutput;
use crate::state::CallKey;
use crate::state::CustomerName;
use crate::state::Event;
use crate::state::Moment;
use crate::state::Now;
use crate::state::Outcome;
use crate::state::Reason;
use crate::state::Refusal;
use crate::state::RequestId;
use crate::state::ServiceCall;
use crate::state::ServiceName;
use crate::state::ServiceReply;

/// Maximum number of processes of a service that one call is sent to.
const MAX_TRIES: u32 = 3;

/// `retry_after` for a call to a service that has no process available.
const NO_SERVICE_RETRY: Duration = Duration::from_secs(5);

/// An admitted call of a caller that is connected to this entry host.
#[derive(Debug)]
struct OpenCall {
    caller: CallerId,
    customer: CustomerName,
    arrived: Moment,
}

/// A call that this entry host sends to a process of its service.
#[derive(Debug)]
struct SentCall {
    call: ServiceCall,
    deadline: Moment,
    tries: u32,
    tried: Vec<SocketAddr>,
    /// Whether an earlier try may have run.
    maybe_ran: bool,
    mode: DeliveryMode,
}

/// How often a call may run, which decides what a failure means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DeliveryMode {
    /// The call may run more than once.
    Repeatable,
    /// The call has no idempotency key, so no copy of it can exist; it is not sent again once a
    /// byte has been written.
    AtMostOnce,
    /// The call has an idempotency key, and this entry host is the home of that key.
    Home(CallKey),
}

/// Calls that are open at this entry host.
#[derive(Debug, Default)]
pub(super) struct CallTable {
    open: HashMap<RequestId, OpenCall>,
    callers: HashMap<CallerId, RequestId>,
    sent: HashMap<RequestId, SentCall>,
}

impl CallTable {
    /// Forgets a caller that closed its connection; its call continues.
    pub(super) fn forget_caller(&mut self, caller: CallerId) {
        self.callers.remove(&caller);
    }

    /// Returns the number of calls that have no answer yet.
    pub(super) fn len(&self) -> usize {
        self.open.len() + self.sent.len()
    }
}

impl Node {
    /// Admits or refuses a caller's call to a plain service.
    pub(super) fn on_call(&mut self, now: Now, caller: CallerId, request: CallRequest) {
        let id = self.next_id();
        if let Some(refusal) = self.refusal_if_unavailable() {
            self.refuse_call(caller, id, &request, refusal);
            return;
        }
        let Some(customer) = self.customer_of(request.token_hash) else {
            self.answer(caller, AnswerPiece::Rejected(Rejection::UnknownCustomer));
            return;
        };
        let Some((call, timeout)) = self.route_call(now.mono, id, &customer, &request) else {
            self.answer(caller, AnswerPiece::Rejected(Rejection::UnknownPath));
            return;
        };
        if let Err(refusal) = self.limits.admit(now.mono, &customer, 1) {
            self.refuse_call(caller, id, &request, refusal);
            return;
        }
        self.answer(caller, AnswerPiece::Accepted(id));
        self.record(Event::Admitted { request: id, prompt_tokens: 0, deadline: timeout });
        self.calls.callers.insert(caller, id);
        self.calls.open.insert(id, OpenCall { caller, customer, arrived: now.mono });
        self.start_call(now, call, timeout);
    }

    /// Refuses a call that was not admitted. If the call has an idempotency key, a copy of it may
    /// have run through another host.
    fn refuse_call(
        &mut self,
        caller: CallerId,
        id: RequestId,
        request: &CallRequest,
        refusal: Refusal,
    ) {
        let refusal = if request.key.is_some() { refusal.of_copy() } else { refusal };
        self.refuse_unadmitted(caller, id, refusal);
    }

    /// Builds the call for the service that the request's path routes to. Also returns the time
    /// until the call's deadline.
    fn route_call(
        &self,
        now: Moment,
        id: RequestId,
        customer: &CustomerName,
        request: &CallRequest,
    ) -> Option<(ServiceCall, Duration)> {
        let (path, query) = match request.path.split_once('?') {
            Some((path, query)) => (path, Some(query)),
            None => (request.path.as_ref(), None),
        };
        let (service, rule, subpath) = self.rules.route(path)?;
        let subpath = if subpath.is_empty() { "/" } else { subpath };
        let repeatable = rule.is_repeatable(&request.method, subpath);
        let request_target = match query {
            Some(query) => Arc::from(format!("{subpath}?{query}")),
            None => Arc::from(subpath),
        };
        let timeout = request.deadline.unwrap_or(rule.deadline);
        let call = ServiceCall {
            id,
            customer: customer.clone(),
            service: service.clone(),
            method: request.method.clone(),
            path: request_target,
            body: request.body.clone(),
            media: request.media.clone(),
            repeatable,
            key: request.key,
            deadline: now + timeout,
        };
        Some((call, timeout))
    }

    fn start_call(&mut self, now: Now, call: ServiceCall, timeout: Duration) {
        if call.repeatable {
            self.retries.record_first_attempt(now.mono);
            self.send_call(now, SentCall::new(call, now.mono + timeout, DeliveryMode::Repeatable));
            return;
        }
        if call.key.is_none() {
            self.send_call(now, SentCall::new(call, now.mono + timeout, DeliveryMode::AtMostOnce));
            return;
        }
        let forwarded = ForwardedCall { call, time_left: timeout };
        let outputs = self.homes.on_call(now, &self.members, forwarded);
        self.apply_home_outputs(now, outputs);
    }

    /// Executes the outputs of the homes of idempotency keys.
    pub(super) fn apply_home_outputs(&mut self, now: Now, outputs: Vec<HomeOutput>) {
        for output in outputs {
            match output {
                HomeOutput::Send { to, message } => self.send(&to, message),
                HomeOutput::Run(forwarded) => self.run_as_home(now, *forwarded),
                HomeOutput::Reply { request, result } => self.end_call(now.mono, request, result),
                HomeOutput::Event(event) => self.record(event),
            }
        }
    }

    fn run_as_home(&mut self, now: Now, forwarded: ForwardedCall) {
        let ForwardedCall { call, time_left } = forwarded;
        let Some(key) = call.key else { return };
        self.send_call(now, SentCall::new(call, now.mono + time_left, DeliveryMode::Home(key)));
    }

    /// Sends a call to a process of its service that has not been tried yet.
    ///
    /// The lease of a home is checked here, after the last wait in the core. A process that freezes
    /// between this check and the first byte still sends the only copy, because a later home does
    /// not run keys that are as old as its lease.
    fn send_call(&mut self, now: Now, mut sent: SentCall) {
        let time_left = sent.deadline.since(now.mono);
        let Some(addr) = self.choose_process(&sent.call.service, &sent.tried) else {
            self.finish_sent(now, sent, Err(ServiceFailure::NotSent));
            return;
        };
        if time_left.is_zero() {
            self.finish_sent(now, sent, Err(ServiceFailure::NotSent));
            return;
        }
        if let DeliveryMode::Home(key) = sent.mode
            && !self.homes.authorize_send(now, key)
        {
            self.finish_sent(now, sent, Err(ServiceFailure::NotSent));
            return;
        }
        sent.tries += 1;
        sent.tried.push(addr);
        let call = sent.call.clone();
        self.record(Event::CallSent { request: call.id, target: addr.to_string() });
        self.calls.sent.insert(call.id, sent);
        self.emit(Output::SendCall { addr, call, time_left });
    }

    /// Chooses an available process of a service at random, preferring this host's zone.
    fn choose_process(
        &mut self,
        service: &ServiceName,
        tried: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let usable = self.list.services.iter().filter(|host| {
            let fits = host.service == *service && !tried.contains(&host.addr);
            fits && self.takes_work(host.addr)
        });
        let usable: Vec<_> = usable.map(|host| (host.zone == self.zone, host.addr)).collect();
        let local = usable.iter().filter(|(local, _)| *local).choose(&mut self.rng);
        let chosen = local.or_else(|| usable.iter().choose(&mut self.rng));
        chosen.map(|(_, addr)| *addr)
    }

    /// Handles the result of a call that was sent to a service.
    pub(super) fn on_call_ended(&mut self, now: Now, report: ServiceReport) {
        let Some(mut sent) = self.calls.sent.remove(&report.request) else { return };
        sent.maybe_ran |= report.result == Err(ServiceFailure::Lost);
        self.record_leaving(now.mono, report.addr, report.leaving);
        if report.result == Err(ServiceFailure::NotSent) {
            self.observe_target(now.mono, report.addr, None);
        }
        match report.result {
            Err(failure) if self.may_resend(now, &sent, failure) => self.send_call(now, sent),
            result => self.finish_sent(now, sent, result),
        }
    }

    /// Returns whether a failed call may be sent to another process of its service. Takes a retry
    /// from the budget if so.
    fn may_resend(&mut self, now: Now, sent: &SentCall, failure: ServiceFailure) -> bool {
        if sent.tries >= MAX_TRIES || sent.deadline <= now.mono {
            return false;
        }
        let safe = failure == ServiceFailure::NotSent || sent.mode == DeliveryMode::Repeatable;
        if !safe || self.retries.take_retry(now.mono).is_err() {
            return false;
        }
        if let DeliveryMode::Home(key) = sent.mode {
            self.homes.on_not_connected(key);
        }
        true
    }

    /// Handles the final result of a call, whether it was sent or not.
    fn finish_sent(
        &mut self,
        now: Now,
        sent: SentCall,
        result: Result<ServiceReply, ServiceFailure>,
    ) {
        let DeliveryMode::Home(key) = sent.mode else {
            let result = result.map_err(|failure| failure_refusal(&sent, failure));
            self.end_call(now.mono, sent.call.id, result);
            return;
        };
        let result = match result {
            Ok(reply) => CallResult::Replied(reply),
            Err(ServiceFailure::NotSent) => CallResult::NotSent,
            Err(ServiceFailure::Lost) => CallResult::Lost,
        };
        let outputs = self.homes.on_result(now, key, result);
        self.apply_home_outputs(now, outputs);
    }

    /// Ends all open calls, because this process exits. Each is at its service or at the home of its
    /// key, so it may have run.
    pub(super) fn end_calls_at_stop(&mut self, now: Moment) {
        let open: Vec<RequestId> = self.calls.open.keys().copied().collect();
        for id in open {
            let (outcome, reason) = (Outcome::Unknown, Reason::Stopping);
            self.end_call(now, id, Err(Refusal { outcome, reason, retry_after: None }));
        }
    }

    /// Sends the final result of a call to its caller.
    fn end_call(&mut self, now: Moment, request: RequestId, result: Result<ServiceReply, Refusal>) {
        let Some(open) = self.calls.open.remove(&request) else { return };
        self.calls.callers.remove(&open.caller);
        self.limits.release(now, &open.customer, 0);
        match result {
            Ok(reply) => {
                self.record(Event::Completed {
                    request,
                    tokens: 0,
                    after: now.since(open.arrived),
                });
                self.answer(open.caller, AnswerPiece::Reply(reply));
            }
            Err(refusal) => {
                self.record(Event::Refused { request, refusal });
                self.answer(open.caller, AnswerPiece::Refused(refusal));
            }
        }
    }
}

impl SentCall {
    fn new(call: ServiceCall, deadline: Moment, mode: DeliveryMode) -> SentCall {
        SentCall { call, deadline, tries: 0, tried: Vec::new(), maybe_ran: false, mode }
    }
}

/// Returns the refusal for a failed call that has no home.
fn failure_refusal(sent: &SentCall, failure: ServiceFailure) -> Refusal {
    if sent.maybe_ran {
        let reason = Reason::TargetFailed;
        return Refusal { outcome: Outcome::Unknown, reason, retry_after: None };
    }
    match failure {
        ServiceFailure::NotSent if sent.tries == 0 => {
            not_run(Reason::NoTarget, Some(NO_SERVICE_RETRY))
        }
        ServiceFailure::NotSent => not_run(Reason::TargetFailed, Some(NO_SERVICE_RETRY)),
        ServiceFailure::Lost => {
            Refusal { outcome: Outcome::Unknown, reason: Reason::TargetFailed, retry_after: None }
        }
    }
}
