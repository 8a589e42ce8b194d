//! Calls that this entry host took from callers and forwarded to the homes of their keys.
//!
//! A forwarded call may be sent again at will, as the home tells copies by their key. The caller
//! gets one answer: the home's, or `unknown` once no home can be reached or the deadline comes.

use std::time::Duration;

use indexmap::IndexMap;

use super::home::HOME_TICK;
use super::home::HomeOutput;
use super::home_decide::unknown;
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

/// How long a call waits for a home to be known, for instance during a hand-over.
const REROUTE_WAIT: Duration = Duration::from_millis(500);

/// How long a forwarded call may stay without an answer before it is sent again.
const RESEND: Duration = Duration::from_millis(300);

/// A call that waits for its home.
#[derive(Debug, Clone)]
struct Forward {
    call: ForwardedCall,
    key: CallKey,
    deadline: Moment,
    /// Where it was sent last, and when it is to be sent again.
    home: Option<HostName>,
    resend_at: Moment,
    /// Since when no home has been found for it.
    homeless: Option<Moment>,
    /// Whether the host that it was sent to last said that it is not the home.
    refused: bool,
}

/// The calls that wait for their homes, by request.
#[derive(Debug, Clone)]
pub(crate) struct Forwards {
    max: usize,
    calls: IndexMap<RequestId, Forward>,
}

impl Forwards {
    pub(crate) fn new(max: usize) -> Forwards {
        Forwards { max, calls: IndexMap::new() }
    }

    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Adds a call, or returns its answer if there are too many.
    pub(crate) fn add(
        &mut self,
        now: Moment,
        key: CallKey,
        call: ForwardedCall,
    ) -> Result<(), HomeOutput> {
        let request = call.call.id;
        if self.calls.len() >= self.max {
            let result = unknown(Reason::Overloaded);
            return Err(HomeOutput::Reply { request, result });
        }
        let deadline = now + call.time_left;
        let forward = Forward {
            call,
            key,
            deadline,
            home: None,
            resend_at: now,
            homeless: None,
            refused: false,
        };
        self.calls.insert(request, forward);
        Ok(())
    }

    /// Takes a home's answer in; one that was answered already is ignored.
    ///
    /// A host that is not the home any more does not end the call, as the next home may know it.
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
        let refused = answer.result.as_ref().err().map(|refusal| refusal.reason);
        if refused == Some(Reason::HomeUnavailable) {
            if forward.home.as_ref() == Some(from) {
                forward.homeless.get_or_insert(now);
                forward.refused = true;
                forward.resend_at = now + HOME_TICK;
            }
            return;
        }
        self.calls.swap_remove(&answer.request);
        let (request, result) = (answer.request, answer.result.clone());
        out.push(HomeOutput::Reply { request, result });
    }

    /// Sends what is due and answers what is lost; returns the calls whose home is this host.
    pub(crate) fn on_tick(
        &mut self,
        now: Moment,
        own: &HostName,
        home_of: impl Fn(u16) -> Option<HostName>,
        out: &mut Vec<HomeOutput>,
    ) -> Vec<ForwardedCall> {
        let mut here = Vec::new();
        self.calls.retain(|&request, forward| {
            let home = home_of(shard_of(forward.key));
            if home.as_ref() == Some(own) {
                here.push(forward.with_left(now));
                return false;
            }
            if let Some(reason) = forward.is_lost(now, home.as_ref()) {
                out.push(HomeOutput::Reply { request, result: unknown(reason) });
                return false;
            }
            if let Some(home) = home {
                forward.send(now, request, home, out);
            }
            true
        });
        here
    }
}

impl Forward {
    /// Says why the call is to be answered without its home, if it is.
    fn is_lost(&mut self, now: Moment, home: Option<&HostName>) -> Option<Reason> {
        if now + HOME_TICK >= self.deadline {
            return Some(Reason::DeadlinePassed);
        }
        if home.is_none() {
            self.homeless.get_or_insert(now);
        }
        let since = self.homeless.filter(|_| home.is_none() || self.refused)?;
        let waited = now.since(since) >= REROUTE_WAIT;
        waited.then_some(Reason::HomeUnavailable)
    }

    fn send(&mut self, now: Moment, request: RequestId, home: HostName, out: &mut Vec<HomeOutput>) {
        let moved = self.home.as_ref() != Some(&home);
        if !moved && now < self.resend_at {
            return;
        }
        if moved {
            out.push(HomeOutput::Event(Event::CallForwarded { request, home: home.clone() }));
        }
        if moved || !self.refused {
            self.homeless = None;
        }
        self.refused = false;
        let message = PeerMessage::Forward(Box::new(self.with_left(now)));
        out.push(HomeOutput::Send { to: home.clone(), message });
        self.home = Some(home);
        self.resend_at = now + RESEND;
    }

    fn with_left(&self, now: Moment) -> ForwardedCall {
        ForwardedCall { call: self.call.call.clone(), time_left: self.deadline.since(now) }
    }
}
