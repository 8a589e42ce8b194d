//! Tries other servers while the one that has a request is silent.
//!
//! Placement may refuse the request, and the other server may fail, while the silent one may still
//! answer: a healthy engine pauses while it prefills a long prompt. So the silent server keeps the
//! request until another one has answered.

use std::future::Future;
use std::pin::Pin;
use std::pin::pin;
use std::time::Duration;

use tokio::time::timeout;

use super::exchange::Answer;
use super::exchange::Exchange;
use super::exchange::SendFailure;
use crate::coordination::Dispatch;
use crate::coordination::SendResult;
use crate::state::Moment;

/// The shortest time that a server may be silent, whatever is left of its limit after a pause of this
/// process.
const MIN_SILENCE: Duration = Duration::from_millis(50);
/// How many servers in one search may fail before anything was sent to them.
const MAX_UNSENT_SUCCESSORS: u32 = 4;

/// What a successor has to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Missing {
    /// Any response.
    Response,
    /// The rest of a stream that is being relayed, so nothing else is of use.
    RestOfStream,
}

/// A send whose server has been silent since a time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SilentSend<'a> {
    pub(crate) dispatch: &'a Dispatch,
    pub(crate) since: Moment,
}

/// What happened first after a server fell silent.
pub(crate) enum AfterSilence<T, E> {
    /// The silent server went on (`Ok`), or it failed and no other server answered (`Err`).
    Same(Result<T, E>),
    /// Another server answered.
    Successor(Answer),
    /// No other server has answered, and the silent one may still do.
    StillSilent,
}

/// How a race of a send with a second one ended.
pub(crate) enum RaceEnd<T, A, E> {
    /// The first send succeeded.
    First(T),
    /// The second one succeeded; the first one may have failed before.
    Second(A, Option<E>),
    /// Both failed.
    FirstFailed(E),
    /// The second one failed, and the first one is still pending.
    FirstPending,
}

/// Waits for the first success of a send and of a `second` one, which yields `None` if it fails.
pub(crate) async fn race<T, A, E>(
    mut first: Pin<&mut impl Future<Output = Result<T, E>>>,
    mut second: Pin<&mut impl Future<Output = Option<A>>>,
) -> RaceEnd<T, A, E> {
    let mut failure = None;
    let found = loop {
        tokio::select! {
            ended = first.as_mut(), if failure.is_none() => match ended {
                Ok(value) => return RaceEnd::First(value),
                Err(error) => failure = Some(error),
            },
            found = second.as_mut() => break found,
        }
    };
    match (found, failure) {
        (Some(answer), failure) => RaceEnd::Second(answer, failure),
        (None, Some(error)) => RaceEnd::FirstFailed(error),
        (None, None) => RaceEnd::FirstPending,
    }
}

/// Leaves the queue when the search for a successor ends or is abandoned.
struct QueueGuard<'a>(&'a Exchange);

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.0.leave_queue();
    }
}

impl Exchange {
    /// Sends the request to the server of `dispatch`, and to others while that one is silent; returns
    /// the first answer, or how the send of `dispatch` failed.
    pub(crate) async fn send_until_answered(
        &self,
        dispatch: &Dispatch,
    ) -> Result<Answer, SendFailure> {
        self.send_for(Missing::Response, dispatch).await
    }

    pub(crate) async fn send_for(
        &self,
        missing: Missing,
        dispatch: &Dispatch,
    ) -> Result<Answer, SendFailure> {
        let sent = self.ctx.now();
        let patience = dispatch.silence_deadline.since(sent).max(MIN_SILENCE);
        let mut first = pin!(self.send(dispatch));
        if let Some(ended) = self.await_hedged(dispatch, first.as_mut()).await {
            return ended;
        }
        let mut wait = dispatch.silence_deadline.since(self.ctx.now()).max(MIN_SILENCE);
        loop {
            if let Ok(ended) = timeout(wait, first.as_mut()).await {
                return ended;
            }
            wait = patience;
            let silent = SilentSend { dispatch, since: sent };
            match self.await_successor(silent, missing, first.as_mut()).await {
                AfterSilence::Same(ended) => return ended,
                AfterSilence::Successor(answer) => return Ok(answer),
                AfterSilence::StillSilent => {}
            }
        }
    }

    /// Searches for a successor of a silent server, whose own next result is `first`.
    pub(crate) async fn await_successor<T, E>(
        &self,
        silent: SilentSend<'_>,
        missing: Missing,
        first: Pin<&mut impl Future<Output = Result<T, E>>>,
    ) -> AfterSilence<T, E> {
        if !self.has_successor() {
            return AfterSilence::StillSilent;
        }
        self.log_silence(silent.dispatch, silent.since);
        let send = Some(silent.dispatch.send);
        if self.silent_send.replace(send) != send {
            self.ctx.gateway.borrow_mut().record_silence(self.ctx.now(), silent.dispatch);
            self.ctx.report_cold_changes();
        }
        let search = pin!(self.find_successor(missing));
        match race(first, search).await {
            RaceEnd::First(value) => AfterSilence::Same(Ok(value)),
            RaceEnd::Second(answer, _) => {
                self.record_replaced(silent.dispatch);
                AfterSilence::Successor(answer)
            }
            RaceEnd::FirstFailed(error) => AfterSilence::Same(Err(error)),
            RaceEnd::FirstPending => AfterSilence::StillSilent,
        }
    }

    /// Sends the request to other servers until one of them answers; `None` if none does.
    async fn find_successor(&self, missing: Missing) -> Option<Answer> {
        let _guard = QueueGuard(self);
        let mut unsent = 0;
        while unsent < MAX_UNSENT_SUCCESSORS {
            let dispatch = match self.place_successor().await {
                Ok(dispatch) => dispatch,
                Err(refusal) => {
                    self.record_no_successor(refusal);
                    return None;
                }
            };
            let result = match Box::pin(self.send_for(missing, &dispatch)).await {
                Ok(Answer::Response(_)) if missing == Missing::RestOfStream => SendResult::Failed,
                Ok(answer) => return Some(answer),
                Err(failure) => failure.result,
            };
            let was_sent = !matches!(
                result,
                SendResult::Unreached
                    | SendResult::NoMemory
                    | SendResult::Leaving
                    | SendResult::Evacuated
                    | SendResult::Paused
                    | SendResult::Limited
                    | SendResult::Isolated
                    | SendResult::NoAttempt
            );
            unsent += u32::from(!was_sent);
            self.check_crash(&dispatch, &result, None).await;
            self.record_successor_failure(&dispatch, &result);
        }
        None
    }
}
