//! Moves the streams of silent engines.
//!
//! A silent engine keeps its stream until the dispatcher of another one has granted an attempt: the
//! retry budget, placement or the dispatcher may refuse the move, and the silent engine may go on.

use std::time::Duration;

use super::Node;
use super::completions::MAX_ATTEMPTS;
use super::io::Output;
use super::running::ActiveStream;
use super::running::PendingGrant;
use super::running::Phase;
use super::running::Successor;
use crate::state::AttemptId;
use crate::state::Denial;
use crate::state::EngineName;
use crate::state::Event;
use crate::state::Grant;
use crate::state::HostName;
use crate::state::Moment;
use crate::state::MoveCause;
use crate::state::Placement;
use crate::state::RequestId;

/// How often another engine is sought for a silent stream, and its start request repeated.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

impl Node {
    /// Seeks another engine for each stream that has been silent for longer than `engine_idle`
    /// since prefill ended.
    pub(super) fn move_silent_streams(&mut self, now: Moment) {
        let idle = self.tuning.engine_idle;
        let is_silent = |streaming: &ActiveStream| {
            streaming.decode_start.is_some() && now.since(streaming.last_event) > idle
        };
        let due = self.running.iter().filter_map(|running| match &running.phase {
            Phase::Streaming(streaming) if is_silent(streaming) => {
                let sought = running.sought.is_some_and(|at| now.since(at) < SEARCH_INTERVAL);
                (!sought).then_some(running.completion.id)
            }
            _ => None,
        });
        let due: Vec<RequestId> = due.collect();
        for id in due {
            self.seek_successor(now, id);
        }
    }

    fn seek_successor(&mut self, now: Moment, id: RequestId) {
        let Some(running) = self.running.get_mut(id) else { return };
        running.sought = Some(now);
        if let Some(Successor { number, pending }) = running.successor.clone() {
            if self.engine_takes_work(&pending.engine) {
                let attempt = AttemptId { request: id, number };
                self.request_successor(now, attempt, pending.engine);
                return;
            }
            self.drop_successor(now, id);
        }
        let Some(running) = self.running.get(id) else { return };
        let Phase::Streaming(streaming) = &running.phase else { return };
        if running.attempts >= MAX_ATTEMPTS || !self.retries.has_retry(now) {
            return;
        }
        let silent = streaming.engine.clone();
        let Some(choice) = self.choose(now, id, Some(&silent)) else { return };
        let Placement::Engine { engine, .. } = choice.placement else { return };
        let Some(running) = self.running.get_mut(id) else { return };
        running.attempts += 1;
        let attempt = AttemptId { request: id, number: running.attempts };
        let tokens = running.completion.prompt.tokens;
        self.placer.record_placement(now, &engine, tokens);
        let considered = choice.considered;
        self.record(Event::Placed { attempt, engine: engine.clone(), considered });
        self.request_successor(now, attempt, engine);
    }

    /// Requests a grant for a successor from the dispatcher of `engine`.
    fn request_successor(&mut self, now: Moment, attempt: AttemptId, engine: EngineName) {
        let Some(dispatcher) = self.dispatcher_of(&engine) else { return };
        let Some(running) = self.running.get_mut(attempt.request) else { return };
        let (engine_name, host) = (engine.clone(), dispatcher.clone());
        let pending = PendingGrant { engine: engine_name, dispatcher: host, requested: now };
        running.successor = Some(Successor { number: attempt.number, pending });
        let Some(request) = self.make_start_request(now, attempt, engine) else { return };
        self.send_start_request(now, &dispatcher, request);
    }

    /// Withdraws the start request for a successor, if there is one.
    pub(super) fn drop_successor(&mut self, now: Moment, id: RequestId) {
        let successor = self.running.get_mut(id).and_then(|running| running.successor.take());
        let Some(Successor { number, pending }) = successor else { return };
        let attempt = AttemptId { request: id, number };
        self.withdraw_attempt(now, &pending.dispatcher, attempt, pending.engine);
    }

    /// Moves a stream to the engine that was granted as its successor; returns `false` if the grant is
    /// not for a successor.
    pub(super) fn on_successor_grant(
        &mut self,
        now: Moment,
        from: &HostName,
        grant: &Grant,
    ) -> bool {
        let id = grant.attempt.request;
        let Some(running) = self.running.get_mut(id) else { return false };
        if running.successor.as_ref().is_none_or(|next| next.number != grant.attempt.number) {
            return false;
        }
        let is_listed = self.list.engines.iter().any(|engine| engine.name == grant.engine);
        let Phase::Streaming(streaming) = &running.phase else { return false };
        if !is_listed || self.retries.take_retry(now).is_err() {
            self.drop_successor(now, id);
            return true;
        }
        let (attempt, streaming) = (running.attempt_id(), streaming.clone());
        let Some(running) = self.running.get_mut(id) else { return true };
        running.successor = None;
        running.attempt = grant.attempt.number;
        self.leave_engine(now, attempt, &streaming, MoveCause::Silent);
        self.start_stream(now, from, grant.clone());
        true
    }

    /// Records that a dispatcher denied a successor; returns `false` if the denial is not for one.
    pub(super) fn on_successor_denial(&mut self, denial: &Denial) -> bool {
        let Some(running) = self.running.get_mut(denial.attempt.request) else { return false };
        if running.successor.as_ref().is_none_or(|next| next.number != denial.attempt.number) {
            return false;
        }
        running.successor = None;
        let Denial { attempt, engine, reason, .. } = denial.clone();
        self.record(Event::Denied { attempt, engine, reason });
        true
    }

    /// Cancels the stream of an attempt and records why. Its engine is not tried again.
    ///
    /// Unless the engine refused the attempt, it may still hold memory for it.
    pub(super) fn leave_engine(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        streaming: &ActiveStream,
        cause: MoveCause,
    ) {
        if cause != MoveCause::EngineRefused {
            self.emit(Output::CancelStream { attempt, addr: streaming.addr });
        }
        let Some(running) = self.running.get_mut(attempt.request) else { return };
        running.answer.restart();
        running.excluded.push(streaming.engine.clone());
        let sent_tokens = running.answer.sent();
        self.finish_attempt(now, attempt, streaming, sent_tokens, true);
        let engine = streaming.engine.clone();
        self.record(Event::Moved { attempt, engine, sent_tokens, cause });
    }
}
