//! Sends a request to a second server while the first one is slower than most, and uses the first response.

use std::future::Future;
use std::pin::Pin;
use std::pin::pin;
use std::time::Duration;

use slog::info;
use tokio::time::timeout;

use super::exchange::Answer;
use super::exchange::Exchange;
use super::exchange::SendFailure;
use super::successor::Missing;
use super::successor::RaceEnd;
use super::successor::race;
use super::telemetry::LineKind;
use crate::coordination::Dispatch;
use crate::coordination::Hedge;
use crate::coordination::HedgeDenial;
use crate::state::Moment;

impl Exchange {
    /// Waits for `first`, the send of `dispatch`, and hedges it when it is slow. Returns `None` if it is
    /// still pending and will not be hedged (again).
    pub(crate) async fn await_hedged(
        &self,
        dispatch: &Dispatch,
        mut first: Pin<&mut impl Future<Output = Result<Answer, SendFailure>>>,
    ) -> Option<Result<Answer, SendFailure>> {
        while let Some(wait) = self.hedge_delay(dispatch) {
            if let Ok(ended) = timeout(wait, first.as_mut()).await {
                return Some(ended);
            }
            match self.place_hedge(dispatch) {
                Ok(hedge) => return self.race_hedge(dispatch, &hedge, first).await,
                Err(denial) => self.ctx.telemetry.count_hedge_denial(denial.name()),
            }
        }
        None
    }

    fn hedge_delay(&self, dispatch: &Dispatch) -> Option<Duration> {
        if self.is_relaying.get() {
            return None;
        }
        let now = self.ctx.now();
        let due = self.ctx.gateway.borrow().hedge_time(now, &self.request.borrow(), dispatch)?;
        Some(due.since(now))
    }

    fn place_hedge(&self, dispatch: &Dispatch) -> Result<Box<Hedge>, HedgeDenial> {
        let now = self.ctx.now();
        let mut request = self.request.borrow_mut();
        let hedge = self.ctx.gateway.borrow_mut().place_hedge(now, &mut request, dispatch)?;
        self.ctx.load_changed.notify_one();
        Ok(hedge)
    }

    /// Sends a hedged request and returns what came first. The loser's send is dropped by the caller,
    /// which closes its connection.
    async fn race_hedge(
        &self,
        dispatch: &Dispatch,
        hedge: &Hedge,
        first: Pin<&mut impl Future<Output = Result<Answer, SendFailure>>>,
    ) -> Option<Result<Answer, SendFailure>> {
        self.log_hedge(dispatch, hedge);
        let second = pin!(self.send_hedge(&hedge.dispatch));
        match race(first, second).await {
            RaceEnd::First(answer) => {
                self.record_hedge_end("lost", dispatch, &hedge.dispatch);
                Some(Ok(answer))
            }
            RaceEnd::Second(answer, failure) => {
                match failure {
                    Some(failure) => self.record_successor_failure(dispatch, &failure.result),
                    None => self.record_slow(dispatch),
                }
                self.record_hedge_end("won", &hedge.dispatch, dispatch);
                Some(Ok(answer))
            }
            RaceEnd::FirstFailed(failure) => Some(Err(failure)),
            RaceEnd::FirstPending => None,
        }
    }

    /// Sends a hedged request; returns `None` if it fails, with which the first send stays alone.
    async fn send_hedge(&self, dispatch: &Dispatch) -> Option<Answer> {
        match Box::pin(self.send_for(Missing::Response, dispatch)).await {
            Ok(answer) => Some(answer),
            Err(failure) => {
                self.check_crash(dispatch, &failure.result, None).await;
                self.record_successor_failure(dispatch, &failure.result);
                self.ctx.telemetry.count_hedge("failed");
                None
            }
        }
    }

    /// Records how long the first part of a response took to arrive.
    pub(crate) fn record_response_time(&self, now: Moment, dispatch: &Dispatch) {
        let request = self.request.borrow();
        self.ctx.gateway.borrow_mut().record_response_time(now, &request, dispatch);
    }

    fn record_slow(&self, dispatch: &Dispatch) {
        let now = self.ctx.now();
        self.ctx.gateway.borrow_mut().record_slow(now, &self.request.borrow(), dispatch);
    }

    fn log_hedge(&self, slow: &Dispatch, hedge: &Hedge) {
        self.ctx.telemetry.count_hedge("tried");
        let now = self.ctx.now();
        if let Some(log) = self.ctx.telemetry.limited_log(now, LineKind::Failure) {
            info!(log, "request hedged"; "request" => &self.request.borrow().id,
                "server" => hedge.dispatch.server.id.id(),
                "slow_server" => slow.server.id.id(),
                "elapsed_ms" => now.since(slow.placed).as_millis() as u64,
                "first_left_ms" => hedge.first_left.as_millis() as u64,
                "expected_ms" => hedge.dispatch.expected_delay.as_millis() as u64);
        }
    }

    /// Logs and counts that the hedged request `won` or `lost`; the send of `loser` was wasted.
    fn record_hedge_end(&self, result: &'static str, winner: &Dispatch, loser: &Dispatch) {
        let now = self.ctx.now();
        let wasted = now.since(loser.placed);
        self.ctx.telemetry.count_hedge(result);
        self.ctx.telemetry.count_hedge_waste(wasted);
        if let Some(log) = self.ctx.telemetry.limited_log(now, LineKind::Failure) {
            info!(log, "hedge ended"; "request" => &self.request.borrow().id, "result" => result,
                "server" => winner.server.id.id(), "loser" => loser.server.id.id(),
                "wasted_ms" => wasted.as_millis() as u64);
        }
    }
}
