//! Events on the streams of running attempts, and their effect on the answer.

use std::net::SocketAddr;
use std::time::Duration;

use super::Node;
use super::io::AnswerPiece;
use super::io::AttemptEvent;
use super::io::AttemptRefusal;
use super::io::FinishReason;
use super::io::StreamReport;
use super::running::ActiveStream;
use super::running::PendingGrant;
use super::running::Phase;
use crate::coordination::AttemptRef;
use crate::coordination::PeerMessage;
use crate::state::AttemptId;
use crate::state::Event;
use crate::state::Finished;
use crate::state::FirstToken;
use crate::state::Moment;
use crate::state::MoveCause;
use crate::state::Piece;
use crate::state::Reason;
use crate::state::RequestId;
use crate::state::TargetState;

/// The number of engines that break off in a row, without a token, after which a completion is not placed
/// again: its prompt may be the cause.
const MAX_FRUITLESS_MOVES: u32 = 3;

impl Node {
    /// Handles an event on the stream of an attempt. Events of earlier attempts are ignored.
    pub(super) fn on_stream(&mut self, now: Moment, report: StreamReport) {
        let StreamReport { attempt, event, .. } = report;
        let Some(running) = self.running.get_mut(attempt.request) else { return };
        if let Phase::Group(_) = running.phase {
            self.on_group_event(now, attempt, event);
            return;
        }
        let current = running.attempt == attempt.number;
        let Phase::Streaming(streaming) = &mut running.phase else { return };
        if !current {
            return;
        }
        streaming.last_event = now;
        let streaming = streaming.clone();
        self.drop_successor(now, attempt.request);
        match event {
            AttemptEvent::Started { cached, prefill } => {
                self.on_started(now, attempt, &streaming, cached, prefill);
            }
            AttemptEvent::Piece { offset, tokens, text } => {
                let piece = Piece { offset, tokens, text };
                if !self.forward_piece(now, attempt, piece) {
                    self.move_request(now, attempt, &streaming, MoveCause::StreamBroken);
                }
            }
            AttemptEvent::Done { finish, tokens } => {
                self.on_done(now, attempt, &streaming, finish, tokens);
            }
            AttemptEvent::Refused(refusal) => {
                self.on_refused(now, attempt, &streaming, refusal);
            }
            AttemptEvent::Lost { refused } => {
                if !refused {
                    self.move_request(now, attempt, &streaming, MoveCause::ConnectionLost);
                    return;
                }
                self.reset_maybe_ran(attempt, &streaming);
                self.observe_target(now, streaming.addr, None);
                self.move_request(now, attempt, &streaming, MoveCause::ConnectionRefused);
            }
            AttemptEvent::Exported { .. } => {}
        }
    }

    fn on_started(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        streaming: &ActiveStream,
        cached: u32,
        prefill: Duration,
    ) {
        let Some(running) = self.running.get_mut(attempt.request) else { return };
        if let Phase::Streaming(streaming) = &mut running.phase {
            streaming.decode_start = Some(now);
        }
        let blocks = running.completion.prompt.blocks.clone();
        self.placer.record_cached(now, &streaming.engine, &blocks);
        let engine = streaming.engine.clone();
        let first = FirstToken { attempt, engine, cached, prefill };
        let dispatcher = streaming.dispatcher.clone();
        self.notify_dispatcher(now, &dispatcher, PeerMessage::FirstToken(first));
    }

    /// Forwards a piece to the caller if it is the next one. Returns `false` if the stream is
    /// invalid and has to be abandoned.
    pub(super) fn forward_piece(&mut self, now: Moment, attempt: AttemptId, piece: Piece) -> bool {
        let Some(running) = self.running.get_mut(attempt.request) else { return true };
        let Ok(ready) = running.answer.accept(piece) else { return false };
        if ready.is_empty() {
            return true;
        }
        let caller = running.caller;
        let after = now.since(running.completion.arrived);
        let engine = match &running.phase {
            Phase::Streaming(streaming) => Some(streaming.engine.clone()),
            Phase::Group(group) => group.stream.as_ref().map(|stream| stream.engine.clone()),
            Phase::AwaitingGrant(_) => None,
        };
        running.fruitless_moves = 0;
        let is_first = running.first_token.is_none();
        running.first_token.get_or_insert(now);
        if let Some(engine) = engine.filter(|_| is_first) {
            self.record(Event::FirstToken { attempt, engine, after });
        }
        for Piece { offset, tokens, text } in ready {
            self.answer(caller, AnswerPiece::Text { upto: offset + tokens, text });
        }
        true
    }

    fn on_done(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        streaming: &ActiveStream,
        finish: FinishReason,
        tokens: u32,
    ) {
        let Some(running) = self.running.get(attempt.request) else { return };
        if running.answer.finish(tokens).is_err() {
            self.move_request(now, attempt, streaming, MoveCause::StreamBroken);
            return;
        }
        self.finish_attempt(now, attempt, streaming, tokens, false);
        self.complete(now, attempt.request, finish);
    }

    /// Moves a request to another engine after its engine refused it; the engine holds nothing of
    /// the attempt.
    fn on_refused(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        streaming: &ActiveStream,
        refusal: AttemptRefusal,
    ) {
        self.reset_maybe_ran(attempt, streaming);
        if refusal == AttemptRefusal::Leaving {
            self.observe_target(now, streaming.addr, Some(TargetState::Leaving));
        }
        self.move_request(now, attempt, streaming, MoveCause::EngineRefused);
    }

    /// Records that an attempt did not run because its engine refused it or could not be reached.
    fn reset_maybe_ran(&mut self, attempt: AttemptId, streaming: &ActiveStream) {
        if let Some(running) = self.running.get_mut(attempt.request) {
            running.maybe_ran = streaming.ran_before;
        }
    }

    /// Abandons an attempt and places the request again, to continue after the last token that was
    /// forwarded.
    fn move_request(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        streaming: &ActiveStream,
        cause: MoveCause,
    ) {
        self.drop_successor(now, attempt.request);
        self.leave_engine(now, attempt, streaming, cause);
        if self.count_fruitless_move(attempt.request, cause) >= MAX_FRUITLESS_MOVES {
            self.detach_attempt(now, attempt.request);
            self.refuse_request(now, attempt.request, Reason::TargetFailed, None);
            return;
        }
        self.retry_request(now, attempt.request);
    }

    /// Forgets the finished attempt of a request, so that its end does not return the grant again.
    fn detach_attempt(&mut self, now: Moment, id: RequestId) {
        if let Some(running) = self.running.get_mut(id) {
            running.phase = Phase::AwaitingGrant(PendingGrant::unplaced(&self.host, now));
        }
    }

    /// Counts a move away from an engine that broke off; returns how many there were since the last token.
    fn count_fruitless_move(&mut self, id: RequestId, cause: MoveCause) -> u32 {
        let Some(running) = self.running.get_mut(id) else { return 0 };
        let is_break = match cause {
            MoveCause::ConnectionLost | MoveCause::StreamBroken => true,
            MoveCause::EngineRefused
            | MoveCause::ConnectionRefused
            | MoveCause::Silent
            | MoveCause::EngineGone => false,
        };
        running.fruitless_moves += u32::from(is_break);
        running.fruitless_moves
    }

    /// Places a request again if the retry budget allows it, or refuses it.
    pub(super) fn retry_request(&mut self, now: Moment, id: RequestId) {
        self.detach_attempt(now, id);
        match self.retries.take_retry(now) {
            Ok(()) => self.place(now, id, None),
            Err(wait) => self.refuse_request(now, id, Reason::RetryBudget, Some(wait)),
        }
    }

    /// Moves the requests that an unreachable engine has not begun to answer.
    ///
    /// Requests whose answer has begun are moved only when their own stream falls silent, because
    /// the fault may lie between the engine and its dispatcher.
    pub(super) fn move_unstarted(&mut self, now: Moment, addr: SocketAddr) {
        self.fail_members_at(now, addr);
        let lost = self.running.iter().filter_map(|running| match &running.phase {
            Phase::Streaming(streaming)
                if streaming.addr == addr && streaming.decode_start.is_none() =>
            {
                Some((running.attempt_id(), streaming.clone()))
            }
            _ => None,
        });
        let lost: Vec<(AttemptId, ActiveStream)> = lost.collect();
        for (attempt, streaming) in lost {
            self.move_request(now, attempt, &streaming, MoveCause::EngineGone);
        }
    }

    /// Withdraws a start request or an unused grant at the dispatcher.
    pub(super) fn on_withdraw(&mut self, now: Moment, withdrawn: &AttemptRef) {
        if let Some(dispatched) = self.dispatch.engines.get_mut(&withdrawn.engine) {
            dispatched.queue.withdraw(now, withdrawn.attempt);
        }
    }

    /// Records at the dispatcher that the prefill of an attempt has ended.
    pub(super) fn on_first_token(&mut self, now: Moment, first: &FirstToken) {
        if let Some(dispatched) = self.dispatch.engines.get_mut(&first.engine) {
            dispatched.queue.first_token(now, first);
        }
    }

    /// Records at the dispatcher that an attempt has ended.
    pub(super) fn on_finished(&mut self, now: Moment, finished: &Finished) {
        if let Some(dispatched) = self.dispatch.engines.get_mut(&finished.engine) {
            dispatched.queue.finished(now, finished);
        }
    }
}
