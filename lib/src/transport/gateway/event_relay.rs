//! Passes a stream's events on as they come, and goes on at another server where that is allowed.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::answer_body::AnswerCut;
use super::exchange::Exchange;
use super::exchange::LiveSend;
use super::exchange::Sent;
use super::exchange::StreamStart;
use super::telemetry::LineKind;
use crate::coordination::NextStep;
use crate::coordination::SendResult;
use crate::protocol::EventSplitter;
use crate::protocol::StreamEvent;
use crate::state::Moment;

/// The shortest silence after which a stream goes on elsewhere: callers leave after two seconds.
const LEAST_SILENCE: Duration = Duration::from_millis(1_300);
/// The pauses, of the longest that is on time, that a stream may be silent for.
const PAUSES_SILENT: u32 = 3;

/// Why a stream has no next event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// It is whole.
    Complete,
    /// It broke off, or its events do not follow each other.
    Broken,
}

/// The events of one server's answer.
pub(crate) struct EventRelay {
    body: Incoming,
    splitter: EventSplitter,
    last: Option<u64>,
    first: Option<StreamEvent>,
}

impl EventRelay {
    /// Reads events from `body`, of which the first one must follow the event `last`.
    pub(crate) fn new(body: Incoming, last: Option<u64>) -> EventRelay {
        EventRelay { body, splitter: EventSplitter::default(), last, first: None }
    }

    /// Waits until the first event is whole.
    pub(crate) async fn wait_first(&mut self) -> Result<(), StreamEnd> {
        self.first = Some(self.read().await?);
        Ok(())
    }

    /// Returns the next event; the wait can be broken off without losing anything.
    async fn next(&mut self) -> Result<StreamEvent, StreamEnd> {
        match self.first.take() {
            Some(event) => Ok(event),
            None => self.read().await,
        }
    }

    async fn read(&mut self) -> Result<StreamEvent, StreamEnd> {
        loop {
            while let Some(event) = self.splitter.next_event() {
                if self.follows(&event)? {
                    return Ok(event);
                }
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.splitter.push(&data).map_err(|_| StreamEnd::Broken)?;
                }
                Some(Err(_)) => return Err(StreamEnd::Broken),
                None if self.splitter.is_empty() => return Err(StreamEnd::Complete),
                None => return Err(StreamEnd::Broken),
            }
        }
    }

    /// Returns whether `event` is the next one; an event that the caller has already is left out,
    /// and one after a gap breaks the stream.
    fn follows(&mut self, event: &StreamEvent) -> Result<bool, StreamEnd> {
        let (Some(id), Some(last)) = (event.id, self.last) else {
            self.last = event.id.or(self.last);
            return Ok(true);
        };
        if id <= last {
            return Ok(false);
        }
        if id > last + 1 {
            return Err(StreamEnd::Broken);
        }
        self.last = Some(id);
        Ok(true)
    }
}

/// How a server's part of a stream ended.
enum PartEnd {
    Complete,
    Broken,
    OutOfTime,
    CallerLeft,
}

/// Passes a stream on to its end, over several servers if need be.
pub(crate) async fn pass_on(
    mut exchange: Exchange,
    start: StreamStart,
    pieces: mpsc::Sender<Result<Bytes, AnswerCut>>,
) {
    let StreamStart { mut send, head, mut relay } = start;
    let status = head.status.as_u16();
    loop {
        let end = tokio::select! {
            end = pass_part(&mut exchange, &send, &mut relay, &pieces) => end,
            () = pieces.closed() => PartEnd::CallerLeft,
        };
        let result = match end {
            PartEnd::Complete => {
                let now = exchange.ctx.now();
                exchange.ctx.gateway.borrow_mut().record_answer(now, &send.dispatch);
                exchange.ctx.telemetry.count_send("answered");
                exchange.tell_end("answered", LineKind::Success, status, None);
                return;
            }
            PartEnd::CallerLeft => return,
            PartEnd::OutOfTime => SendResult::TimedOut,
            PartEnd::Broken => SendResult::Cut,
        };
        let next = tokio::select! {
            next = go_on(&mut exchange, send, result) => next,
            () = pieces.closed() => return,
        };
        let Some(next) = next else {
            exchange.tell_end("cut", LineKind::Failure, status, None);
            // The receiver may be gone, which ends the answer as well.
            let _ = pieces.send(Err(AnswerCut)).await;
            return;
        };
        send = next.send;
        relay = next.relay;
    }
}

/// Passes on the events of one server.
async fn pass_part(
    exchange: &mut Exchange,
    send: &LiveSend,
    relay: &mut EventRelay,
    pieces: &mpsc::Sender<Result<Bytes, AnswerCut>>,
) -> PartEnd {
    let pause = exchange.ask.route.gap.unwrap_or_default() * PAUSES_SILENT;
    let silence = LEAST_SILENCE.max(pause);
    let mut last = exchange.ctx.now();
    loop {
        let left = exchange.ask.deadline.since(exchange.ctx.now());
        let event = match timeout(silence.min(left), relay.next()).await {
            Ok(Ok(event)) => event,
            Ok(Err(StreamEnd::Complete)) => return PartEnd::Complete,
            Ok(Err(StreamEnd::Broken)) => return PartEnd::Broken,
            Err(_) if left <= silence => return PartEnd::OutOfTime,
            Err(_) => {
                let now = exchange.ctx.now();
                let mut gateway = exchange.ctx.gateway.borrow_mut();
                if gateway.can_resume_elsewhere(now, &exchange.ask) {
                    return PartEnd::Broken;
                }
                continue;
            }
        };
        let now = exchange.ctx.now();
        send.hear_answer(now);
        exchange.longest_pause = exchange.longest_pause.max(now.since(last));
        last = now;
        if event.id.is_some() {
            exchange.ask.last_event = event.id;
        }
        if pieces.send(Ok(event.bytes)).await.is_err() {
            return PartEnd::CallerLeft;
        }
    }
}

/// Finds a server that goes on with the stream; nothing if it must end unfinished.
async fn go_on(exchange: &mut Exchange, send: LiveSend, result: SendResult) -> Option<StreamStart> {
    let mut dispatch = send.dispatch.clone();
    drop(send);
    let mut result = result;
    let patience = caller_patience(exchange);
    loop {
        match exchange.after_send(&dispatch, &result) {
            NextStep::PlaceAgain => {}
            NextStep::Refuse(_) | NextStep::RelayFailure | NextStep::CutAnswer => return None,
        }
        exchange.ask.abandon_at = patience;
        let next = exchange.place().await.ok()?;
        match exchange.send(next).await {
            (Sent::Stream(start), _) => return Some(*start),
            (Sent::Result(SendResult::Unreached, _), sent_to) => {
                dispatch = sent_to;
                result = SendResult::Unreached;
            }
            (Sent::Result(..), sent_to) => {
                dispatch = sent_to;
                result = SendResult::Cut;
            }
            (Sent::Answer(_), _) => return None,
        }
    }
}

/// Returns until when the caller waits for the next event.
fn caller_patience(exchange: &Exchange) -> Moment {
    let now = exchange.ctx.now();
    (now + LEAST_SILENCE.max(exchange.ask.route.objective * 3)).min(exchange.ask.deadline)
}
