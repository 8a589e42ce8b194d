//! Relays a stream's events as they arrive, and resumes the stream at another server where that is
//! allowed.

use std::pin::pin;
use std::time::Duration;

use bytes::BytesMut;
use tokio::time::timeout;

use super::active_send::ActiveSend;
use super::event_queue::EventSender;
use super::event_queue::QueueEnd;
use super::exchange::Answer;
use super::exchange::Exchange;
use super::exchange::StreamStart;
use super::successor::AfterSilence;
use super::successor::Missing;
use super::successor::SilentSend;
use super::telemetry::LineKind;
use super::upstream::BodyFault;
use super::upstream::UpstreamBody;
use crate::coordination::NextStep;
use crate::coordination::SendResult;
use crate::protocol::EventSplitter;
use crate::protocol::StreamEvent;

/// The shortest silence of a stream after which another server is tried. Callers disconnect after two
/// seconds.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_300);
/// How many of the route's longest allowed gaps between events a stream may be silent for.
const SILENCE_TIMEOUT_GAPS: u32 = 3;
/// How many bytes of events may come in a row of which none has a new number.
const MAX_UNNUMBERED_BYTES: usize = 128 * 1024;

/// How a server's stream ended before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamFault {
    /// The connection failed.
    Reset,
    /// The body ended within an event, or before the first one.
    Truncated,
    /// The bytes are not events.
    Malformed,
    /// An event number was skipped.
    MissingEvent,
    /// More bytes came than belong to an answer.
    Excess,
}

impl StreamFault {
    /// Returns the fault's name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            StreamFault::Reset => "reset",
            StreamFault::Truncated => "truncated",
            StreamFault::Malformed => "malformed",
            StreamFault::MissingEvent => "missing_event",
            StreamFault::Excess => "excess",
        }
    }
}

impl From<BodyFault> for StreamFault {
    fn from(fault: BodyFault) -> StreamFault {
        match fault {
            BodyFault::Reset => StreamFault::Reset,
            BodyFault::Excess => StreamFault::Excess,
        }
    }
}

/// The events of one server's response.
pub(crate) struct EventRelay {
    body: UpstreamBody,
    splitter: EventSplitter,
    last: Option<u64>,
    /// Events without a number, which precede the next one with a number.
    held: BytesMut,
    /// The bytes of events since the last one that had a new number.
    unnumbered: usize,
    first: Option<StreamEvent>,
    /// Whether the next event must continue a stream of which another server sent a part.
    awaits_rest: bool,
}

impl EventRelay {
    /// Reads events from `body`; events up to the number `last` are skipped.
    ///
    /// If `is_rest`, another server has sent a part of the stream. Events without a number are then
    /// skipped as well until one continues the stream, since they may be the text of an error.
    pub(crate) fn new(body: UpstreamBody, last: Option<u64>, is_rest: bool) -> EventRelay {
        EventRelay {
            awaits_rest: is_rest,
            body,
            splitter: EventSplitter::default(),
            last,
            held: BytesMut::new(),
            unnumbered: 0,
            first: None,
        }
    }

    /// Returns whether a part of the body has arrived.
    pub(crate) fn has_begun(&self) -> bool {
        self.body.has_begun()
    }

    /// Waits until the first event is complete.
    pub(crate) async fn wait_first(&mut self) -> Result<(), StreamFault> {
        self.first = Some(self.read().await?.ok_or(StreamFault::Truncated)?);
        Ok(())
    }

    /// Returns the next event, or `None` after the last one; cancel-safe.
    async fn next(&mut self) -> Result<Option<StreamEvent>, StreamFault> {
        match self.first.take() {
            Some(event) => Ok(Some(event)),
            None => self.read().await,
        }
    }

    async fn read(&mut self) -> Result<Option<StreamEvent>, StreamFault> {
        loop {
            while let Some(event) = self.splitter.next_event() {
                if event.id.is_some() && self.is_next(&event)? {
                    self.unnumbered = 0;
                    self.awaits_rest = false;
                    self.body.record_event();
                    return Ok(Some(self.with_held(event)));
                }
                self.unnumbered += event.bytes.len();
                if self.unnumbered > MAX_UNNUMBERED_BYTES {
                    return Err(StreamFault::Excess);
                }
                if event.id.is_none() && !self.awaits_rest {
                    self.held.extend_from_slice(&event.bytes);
                }
            }
            match self.body.next().await {
                Some(Ok(data)) => {
                    self.splitter.push(&data).map_err(|_| StreamFault::Malformed)?;
                }
                Some(Err(fault)) => return Err(fault.into()),
                None if !self.splitter.is_empty() => return Err(StreamFault::Truncated),
                None if self.held.is_empty() => return Ok(None),
                None => {
                    return Ok(Some(StreamEvent { bytes: self.held.split().freeze(), id: None }));
                }
            }
        }
    }

    /// Returns `event` with the events without a number that came before it.
    fn with_held(&mut self, event: StreamEvent) -> StreamEvent {
        if self.held.is_empty() {
            return event;
        }
        self.held.extend_from_slice(&event.bytes);
        StreamEvent { bytes: self.held.split().freeze(), id: event.id }
    }

    /// Returns whether `event` is the next one: `false` for an event that the caller already has, and
    /// an error for an event after a gap.
    fn is_next(&mut self, event: &StreamEvent) -> Result<bool, StreamFault> {
        let (Some(id), Some(last)) = (event.id, self.last) else {
            self.last = event.id.or(self.last);
            return Ok(true);
        };
        if id <= last {
            return Ok(false);
        }
        if id > last + 1 {
            return Err(StreamFault::MissingEvent);
        }
        self.last = Some(id);
        Ok(true)
    }
}

/// How the part of a stream that one server sends ended.
enum ServerStreamEnd {
    Complete,
    Broken,
    OutOfTime,
    /// The caller disconnected, or read too slowly.
    Unread(QueueEnd),
    /// Another server continues it.
    Replaced(Box<StreamStart>),
}

/// Relays a stream to its end, from several servers if necessary.
pub(crate) async fn relay_stream(exchange: Exchange, start: StreamStart, events: EventSender) {
    let StreamStart { mut send, head, mut relay } = start;
    exchange.is_relaying.set(true);
    let status = head.status.as_u16();
    loop {
        let end = tokio::select! {
            end = relay_server_part(&exchange, &mut send, &mut relay, &events) => end,
            end = events.closed() => ServerStreamEnd::Unread(end),
        };
        let result = match end {
            ServerStreamEnd::Complete => {
                let now = exchange.ctx.now();
                exchange.record_if_sound(&send, true);
                exchange.ctx.gateway.borrow_mut().record_response(now, &send.dispatch);
                exchange.ctx.telemetry.count_send("answered");
                exchange.record_end("answered", LineKind::Success, status, None);
                events.finish();
                return;
            }
            ServerStreamEnd::Unread(end) => return record_unread(&exchange, end, status),
            ServerStreamEnd::Replaced(next) => {
                (send, relay) = (next.send, next.relay);
                continue;
            }
            ServerStreamEnd::OutOfTime => SendResult::TimedOut,
            ServerStreamEnd::Broken => SendResult::Cut,
        };
        let next = tokio::select! {
            next = resume_elsewhere(&exchange, send, result) => next,
            end = events.closed() => return record_unread(&exchange, end, status),
        };
        let Some(next) = next else {
            exchange.record_end("cut", LineKind::Failure, status, None);
            return;
        };
        (send, relay) = (next.send, next.relay);
    }
}

/// Records the end of a request whose caller took no more events. A caller that left is recorded when
/// `exchange` is dropped.
fn record_unread(exchange: &Exchange, end: QueueEnd, status: u16) {
    if end == QueueEnd::TooSlow {
        exchange.record_end("slow_caller", LineKind::Failure, status, None);
    }
}

/// Relays the events of one server, until its stream ends or another server continues it.
async fn relay_server_part(
    exchange: &Exchange,
    send: &mut ActiveSend,
    relay: &mut EventRelay,
    events: &EventSender,
) -> ServerStreamEnd {
    let pause = exchange.request.borrow().route.gap.unwrap_or_default() * SILENCE_TIMEOUT_GAPS;
    let silence = MIN_SILENCE_TIMEOUT.max(pause);
    let dispatch = send.dispatch.clone();
    let mut last = exchange.ctx.now();
    loop {
        let left = exchange.deadline().since(exchange.ctx.now());
        if left.is_zero() {
            return ServerStreamEnd::OutOfTime;
        }
        let next = {
            let mut next = pin!(next_event(relay, send));
            match timeout(silence.min(left), next.as_mut()).await {
                Ok(next) => next,
                Err(_) if left <= silence => return ServerStreamEnd::OutOfTime,
                Err(_) => {
                    extend_patience(exchange);
                    let silent = SilentSend { dispatch: &dispatch, since: last };
                    let rest = Missing::RestOfStream;
                    match exchange.await_successor(silent, rest, next).await {
                        AfterSilence::Same(next) => next,
                        AfterSilence::Successor(Answer::Stream(start)) => {
                            return ServerStreamEnd::Replaced(start);
                        }
                        AfterSilence::Successor(Answer::Response(_))
                        | AfterSilence::StillSilent => continue,
                    }
                }
            }
        };
        let event = match next {
            Ok(Some(event)) => event,
            Ok(None) => return ServerStreamEnd::Complete,
            Err(fault) => {
                exchange.record_fault(&dispatch, fault, last);
                return ServerStreamEnd::Broken;
            }
        };
        let now = exchange.ctx.now();
        send.record_progress(now);
        exchange.record_if_sound(send, false);
        exchange.longest_pause.set(exchange.longest_pause.get().max(now.since(last)));
        last = now;
        if event.id.is_some() {
            exchange.request.borrow_mut().last_event = event.id;
        }
        if let Err(end) = events.send(event.bytes).await {
            return ServerStreamEnd::Unread(end);
        }
    }
}

/// Returns the next event. A broken stream's send is closed at once, so that the server that continues
/// the stream can have its memory.
async fn next_event(
    relay: &mut EventRelay,
    send: &mut ActiveSend,
) -> Result<Option<StreamEvent>, StreamFault> {
    let next = relay.next().await;
    if next.is_err() {
        send.close();
    }
    next
}

/// Resumes a broken stream at another server; returns `None` if the response must be aborted.
async fn resume_elsewhere(
    exchange: &Exchange,
    send: ActiveSend,
    result: SendResult,
) -> Option<StreamStart> {
    let mut dispatch = send.dispatch.clone();
    let mut first_event = send.first_event.get();
    drop(send);
    let mut result = result;
    extend_patience(exchange);
    loop {
        exchange.check_crash(&dispatch, &result, first_event.take()).await;
        match exchange.after_send(&dispatch, &result) {
            NextStep::PlaceAgain => {}
            NextStep::Refuse(_) | NextStep::RelayFailure | NextStep::CutAnswer => return None,
        }
        let next = match exchange.place().await {
            Ok(next) => next,
            Err(refusal) => {
                exchange.record_no_successor(refusal);
                return None;
            }
        };
        match exchange.send_until_answered(&next).await {
            Ok(Answer::Stream(start)) => return Some(*start),
            Ok(Answer::Response(_)) => return None,
            Err(failure) => {
                result = match failure.result {
                    unsent @ (SendResult::Unreached
                    | SendResult::Leaving
                    | SendResult::Evacuated
                    | SendResult::Paused
                    | SendResult::Limited
                    | SendResult::Isolated) => unsent,
                    _ => SendResult::Cut,
                };
                dispatch = next;
            }
        }
    }
}

/// Sets until when the caller is expected to wait for the next event.
fn extend_patience(exchange: &Exchange) {
    let now = exchange.ctx.now();
    let mut request = exchange.request.borrow_mut();
    let patience = MIN_SILENCE_TIMEOUT.max(request.route.objective * 3);
    request.abandon_at = (now + patience).min(request.deadline);
}
