//! Tries other servers while the one that has a request is silent.
//!
//! Placement may refuse the request, and the other server may fail, while the silent one may still
//! answer: a healthy engine pauses while it prefills a long prompt. So the silent server keeps the
//! request until another one has answered.

use std::future::Future;
use std::pin::Pin;
use std::pin::pin;

use tokio::time::timeout;

use super::exchange::Answer;
use super::exchange::Exchange;
use super::exchange::SendFailure;
use crate::coordination::Dispatch;

/// What happened first after a server fell silent.
pub(crate) enum AfterSilence<T, E> {
    /// The silent server went on, or it failed and no other server answered.
    Same(Result<T, E>),
    /// Another server answered.
    Successor(Answer),
    /// No other server has answered, and the silent one may still do.
    StillSilent,
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
        let sent = self.ctx.now();
        let patience = dispatch.silence_deadline.since(sent);
        let mut first = pin!(self.send(dispatch));
        loop {
            if let Ok(ended) = timeout(patience, first.as_mut()).await {
                return ended;
            }
            self.record_silence(dispatch, sent);
            match self.await_successor(dispatch, first.as_mut()).await {
                AfterSilence::Same(ended) => return ended,
                AfterSilence::Successor(answer) => return Ok(answer),
                AfterSilence::StillSilent => {}
            }
        }
    }

    /// Searches for a successor of the silent server of `dispatch`, whose own next result is `first`.
    pub(crate) async fn await_successor<T, E>(
        &self,
        dispatch: &Dispatch,
        mut first: Pin<&mut impl Future<Output = Result<T, E>>>,
    ) -> AfterSilence<T, E> {
        self.ctx.gateway.borrow_mut().record_silence(self.ctx.now(), dispatch);
        let mut search = pin!(self.find_successor());
        let mut failure = None;
        let found = loop {
            tokio::select! {
                ended = first.as_mut(), if failure.is_none() => match ended {
                    Ok(value) => return AfterSilence::Same(Ok(value)),
                    Err(error) => failure = Some(error),
                },
                found = search.as_mut() => break found,
            }
        };
        match (found, failure) {
            (Some(answer), _) => AfterSilence::Successor(answer),
            (None, Some(error)) => AfterSilence::Same(Err(error)),
            (None, None) => AfterSilence::StillSilent,
        }
    }

    /// Sends the request to other servers until one of them answers; `None` if none does.
    async fn find_successor(&self) -> Option<Answer> {
        let _guard = QueueGuard(self);
        loop {
            let dispatch = match self.place_successor().await {
                Ok(dispatch) => dispatch,
                Err(refusal) => {
                    self.record_no_successor(refusal);
                    return None;
                }
            };
            match self.send(&dispatch).await {
                Ok(answer) => return Some(answer),
                Err(failure) => self.record_successor_failure(&dispatch, &failure.result),
            }
        }
    }
}
