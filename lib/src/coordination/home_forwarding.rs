//! Calls that this entry host received from callers and forwards to the homes of their keys.
//!
//! A forwarded call can be sent any number of times because the home recognizes copies by their
//! key. The caller gets exactly one answer: that of the home, or `unknown` if no home can be
//! reached or the deadline passes.

use std::time::Duration;

use indexmap::IndexMap;

use super::home::HOME_TICK_INTERVAL;
use super::home::HomeOutput;
use super::home_decision::unknown;
use super::lease::shard_of;
use super::message::CallAnswer;
use super::message::ForwardedCall;
use super::message::PeerMessage;
use crate::state::CallKey;
use crate::state::Event;
use crate::state::HostName;
use crate::state::Moment;
use crate::state::Reason;
use crate::state::RequestId;

/// How long a call waits until a home for its key is known, for example during a handover.
const REROUTE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long to wait for the answer to a forwarded call before sending it again.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);

/// A call that waits for the answer of its home.
#[derive(Debug, Clone)]
struct PendingForward {
    call: ForwardedCall,
    key: CallKey,
    deadline: Moment,
    /// The host to which the call was last sent.
    home: Option<HostName>,
    /// When the call is sent again.
    resend_at: Moment,
    /// Since when no home has been available for the call.
    unavailable_since: Option<Moment>,
    /// Whether the host to which the call was last sent replied that it is not the home.
    rejected: bool,
}

/// The forwarded calls that wait for an answer, by request.
#[derive(Debug, Clone)]
pub(crate) struct Forwards {
    max_calls: usize,
    calls: IndexMap<RequestId, PendingForward>,
}

impl Forwards {
    pub(crate) fn new(max_calls: usize) -> Forwards {
        Forwards { max_calls, calls: IndexMap::new() }
    }

    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Adds a call, or returns the refusal for its caller if too many are pending.
    pub(crate) fn add(
        &mut self,
        now: Moment,
        key: CallKey,
        call: ForwardedCall,
    ) -> Result<(), HomeOutput> {
        let request = call.call.id;
        if self.calls.len() >= self.max_calls {
            let result = unknown(Reason::Overloaded);
            return Err(HomeOutput::Reply { request, result });
        }
        let deadline = now + call.time_left;
        let forward = PendingForward {
            call,
            key,
            deadline,
            home: None,
            resend_at: now,
            unavailable_since: None,
            rejected: false,
        };
        self.calls.insert(request, forward);
        Ok(())
    }

    /// Passes a home's answer to the caller; an answer to a call that is not pending is ignored.
    ///
    /// The answer that a host is no longer the home does not end the call, because the next home
    /// may know the key.
    pub(crate) fn on_answer(
        &mut self,
        now: Moment,
        from: &HostName,
        answer: &CallAnswer,
        out: &mut Vec<HomeOutput>,
    ) {
        let Some(forward) = self.calls.get_mut(&answer.request) else {
            return;
        };
        let reason = answer.result.as_ref().err().map(|refusal| refusal.reason);
        if reason == Some(Reason::HomeUnavailable) {
            if forward.home.as_ref() == Some(from) {
                forward.unavailable_since.get_or_insert(now);
                forward.rejected = true;
                forward.resend_at = now + HOME_TICK_INTERVAL;
            }
            return;
        }
        self.calls.swap_remove(&answer.request);
        let (request, result) = (answer.request, answer.result.clone());
        out.push(HomeOutput::Reply { request, result });
    }

    /// Sends calls that are due and answers those that failed; returns the calls whose home is this
    /// host.
    pub(crate) fn on_tick(
        &mut self,
        now: Moment,
        own: &HostName,
        home_of: impl Fn(u16) -> Option<HostName>,
        out: &mut Vec<HomeOutput>,
    ) -> Vec<ForwardedCall> {
        let mut local_calls = Vec::new();
        self.calls.retain(|&request, forward| {
            let home = home_of(shard_of(forward.key));
            if home.as_ref() == Some(own) {
                local_calls.push(forward.to_message(now));
                return false;
            }
            if let Some(reason) = forward.failure_reason(now, home.as_ref()) {
                out.push(HomeOutput::Reply { request, result: unknown(reason) });
                return false;
            }
            if let Some(home) = home {
                forward.send(now, request, home, out);
            }
            true
        });
        local_calls
    }
}

impl PendingForward {
    /// Returns the reason to answer the call without its home, if there is one.
    fn failure_reason(&mut self, now: Moment, home: Option<&HostName>) -> Option<Reason> {
        if now + HOME_TICK_INTERVAL >= self.deadline {
            return Some(Reason::DeadlinePassed);
        }
        if home.is_none() {
            self.unavailable_since.get_or_insert(now);
        }
        let since = self.unavailable_since.filter(|_| home.is_none() || self.rejected)?;
        let waited = now.since(since) >= REROUTE_TIMEOUT;
        waited.then_some(Reason::HomeUnavailable)
    }

    fn send(&mut self, now: Moment, request: RequestId, home: HostName, out: &mut Vec<HomeOutput>) {
        let home_changed = self.home.as_ref() != Some(&home);
        if !home_changed && now < self.resend_at {
            return;
        }
        if home_changed {
            out.push(HomeOutput::Event(Event::CallForwarded { request, home: home.clone() }));
        }
        if home_changed || !self.rejected {
            self.unavailable_since = None;
        }
        self.rejected = false;
        let message = PeerMessage::Forward(Box::new(self.to_message(now)));
        out.push(HomeOutput::Send { to: home.clone(), message });
        self.home = Some(home);
        self.resend_at = now + RESEND_INTERVAL;
    }

    fn to_message(&self, now: Moment) -> ForwardedCall {
        ForwardedCall { call: self.call.call.clone(), time_left: self.deadline.since(now) }
    }
}
