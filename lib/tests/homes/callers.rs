//! The simulated callers: copies of calls at several hosts, and checks of their answers.

use std::time::Duration;

use rand::Rng;
use wasabicrank_lib::coordination::*;
use wasabicrank_lib::state::*;

use super::Copy;
use super::EPOCH;
use super::Input;
use super::Micros;
use super::Simulation;
use super::TICK_INTERVAL;
use super::call_of;
use super::number_in;

impl Simulation {
    /// Runs until no pending input can run or answer a call, at most until `until`.
    pub fn settle(&mut self, until: Micros) {
        while self.now < until && !self.is_settled() {
            self.run((self.now + 4 * TICK_INTERVAL).min(until), 0, 0);
        }
    }

    fn is_settled(&self) -> bool {
        let open = |copy: &Copy| copy.answers.is_empty() && self.is_process_running(copy);
        let pending = |input: &Input| match input {
            Input::Peer(envelope) => matches!(
                envelope.message,
                PeerMessage::Forward(_) | PeerMessage::Lease(LeaseMessage::HandOver(_))
            ),
            Input::Tick | Input::Heartbeat | Input::List(_) | Input::Stop => false,
            Input::Call(_) | Input::Connected(..) | Input::Written(..) | Input::Result(..) => true,
        };
        let awake = self.hosts.iter().all(|host| host.frozen_until <= self.now);
        awake && !self.copies.iter().any(open) && !self.inputs.values().any(pending)
    }

    /// Returns whether the process that received a copy is still running.
    pub(super) fn is_process_running(&self, copy: &Copy) -> bool {
        let host = &self.hosts[copy.host];
        host.alive && host.incarnation == copy.incarnation
    }

    /// Sends one to three copies of a call to hosts, some with a delay and some with another body.
    pub(super) fn call(&mut self) {
        self.keys += 1;
        let skew = self.skew();
        let created = EPOCH + self.now / 1000 + self.rng.random_range(0..=skew);
        let key = CallKey((u128::from(created) << 80) | (7 << 76) | u128::from(self.keys));
        let delays = [0, 3_000, 40_000, 500_000, 1_200_000];
        for copy in 0..self.rng.random_range(1..=3) {
            let at = self.rng.random_range(0..self.hosts.len());
            let wait = if copy == 0 { 0 } else { delays[self.rng.random_range(0..delays.len())] };
            let body = if self.rng.random_range(0..20) == 0 { 7 } else { self.keys << 8 };
            self.copy(at, wait, key, body);
        }
    }

    fn copy(&mut self, at: usize, wait: Micros, key: CallKey, body: u64) {
        let host = &self.hosts[at];
        if !host.alive || host.stopping {
            return;
        }
        let left = self.rng.random_range(300_000..1_500_000);
        let request = RequestId { origin: host.incarnation, seq: self.copies.len() as u64 };
        // Allows one per cent of clock drift and one tick.
        let due = self.now + wait + left + left / 100 + TICK_INTERVAL;
        let (incarnation, may_be_late) = (host.incarnation, host.frozen_until > self.now);
        let answers = Vec::new();
        let issued = self.now + wait;
        self.copies.push(Copy {
            key,
            body,
            host: at,
            incarnation,
            issued,
            due,
            may_be_late,
            answers,
        });
        let call = ForwardedCall {
            call: call_of(request, key, body),
            time_left: Duration::from_micros(left),
        };
        self.push(self.now + wait, at, Input::Call(Box::new(call)));
    }

    /// Checks an answer against the runs of the call.
    pub(super) fn check_answer(
        &mut self,
        at: usize,
        request: RequestId,
        result: Result<ServiceReply, Refusal>,
    ) {
        let now = self.now;
        let copy = &mut self.copies[request.seq as usize];
        let result = result.map(|reply| number_in(&reply.body));
        copy.answers.push(result);
        let copy = copy.clone();
        let ran = self.runs.get(&copy.key).cloned().unwrap_or_default();
        if copy.answers.len() > 1 {
            self.fail(format!("more than one answer to {copy:?}"));
        }
        if now > copy.due && !copy.may_be_late && copy.incarnation == self.hosts[at].incarnation {
            self.fail(format!("answered {} us late: {copy:?}", now - copy.due));
        }
        match result {
            Ok(body) if body != copy.body || ran != [body] => {
                self.fail(format!("an answer of another call, runs {ran:?}: {copy:?}"));
            }
            Err(refusal) if refusal.outcome == Outcome::NotRun => {
                if !ran.is_empty() {
                    self.fail(format!("`not_run` after a run: {copy:?}"));
                }
                self.not_run.insert(copy.key, at);
            }
            _ => {}
        }
    }
}
