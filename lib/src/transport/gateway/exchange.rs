//! One request from its head to the last byte of its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http::request;
use http::response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use super::answer_body::AnswerBody;
use super::answer_body::PIECE_RING;
use super::answer_head::close_if_stopping;
use super::answer_head::refusal_response;
use super::answer_head::strip_connection_fields;
use super::context::GatewayContext;
use super::dialect::UpstreamHead;
use super::event_relay::EventRelay;
use super::exchange_log::refuse_early;
use super::memory_tickets::HeldMemory;
use super::memory_tickets::reserve_memory;
use super::request_body::BodyFault;
use super::request_body::HeldBody;
use super::request_body::read_body;
use super::telemetry::LineKind;
use super::upstream::SendError;
use super::upstream::Upstream;
use crate::coordination::Dispatch;
use crate::coordination::GatewayPlacement;
use crate::coordination::GatewayRefusal;
use crate::coordination::GatewayRequest;
use crate::coordination::NextStep;
use crate::coordination::RefusalReason;
use crate::coordination::SendResult;
use crate::state::Moment;

/// The longest time that a request's body may take.
const BODY_TIME: Duration = Duration::from_secs(10);
/// The largest body that is read where no configuration says more.
const DEFAULT_BODY: usize = 4 * 1024 * 1024;
/// The largest answer of a plain service that is held until it is whole.
const MAX_HELD_ANSWER: usize = 4 * 1024 * 1024;
/// The expected time to the first event from which peers are told of a send at once.
const LONG_READING: Duration = Duration::from_millis(150);

/// The caller's connection broke off before its request was whole.
#[derive(Debug)]
pub(crate) struct CallerGone;

impl std::fmt::Display for CallerGone {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the caller left")
    }
}

impl std::error::Error for CallerGone {}

/// Serves one request.
pub(crate) async fn serve(
    ctx: Rc<GatewayContext>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, CallerGone> {
    let arrived = ctx.now();
    let (head, body) = request.into_parts();
    let limit = {
        let gateway = ctx.gateway.borrow();
        gateway.catalog().map_or(DEFAULT_BODY, |catalog| catalog.limits().body_bytes)
    };
    let facts = ctx.dialect.request_facts(&head);
    let body = read_body(&ctx, body, limit, BODY_TIME).await;
    let id = facts.as_ref().map(|facts| facts.id.clone()).unwrap_or_default();
    let early = |refusal| Ok(refuse_early(&ctx, &id, &head, refusal));
    let body = match body {
        Ok(body) => body,
        Err(BodyFault::Refuse(refusal)) => return early(refusal),
        Err(BodyFault::Broken) => return Err(CallerGone),
    };
    let facts = match facts {
        Ok(facts) => facts,
        Err(_) => return early(GatewayRefusal::new(RefusalReason::BadRequest)),
    };
    let judged = ctx.gateway.borrow_mut().admit(ctx.now(), &facts);
    let ask = match judged {
        Ok(ask) => ask,
        Err(refusal) => return early(refusal),
    };
    let mut exchange = Exchange {
        ctx,
        head,
        body,
        ask,
        arrived,
        is_over: false,
        first_sent: None,
        longest_pause: Duration::ZERO,
    };
    Ok(match exchange.run().await {
        Outcome::Answer(response) => response,
        Outcome::Stream(start) => start.start(exchange),
    })
}

/// A request that is being served. When it is dropped, because the caller left or all is done, it
/// leaves the queue.
pub(crate) struct Exchange {
    pub(crate) ctx: Rc<GatewayContext>,
    head: request::Parts,
    body: HeldBody,
    pub(crate) ask: GatewayRequest,
    pub(crate) arrived: Moment,
    pub(crate) is_over: bool,
    pub(crate) first_sent: Option<Moment>,
    /// The longest pause between two events of its stream.
    pub(crate) longest_pause: Duration,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.ctx.gateway.borrow_mut().leave_queue(&mut self.ask);
        if !self.is_over {
            self.tell_end("caller_left", LineKind::Failure, 0, None);
        }
    }
}

/// A send in progress. Dropping it closes the connection and frees the server in the load board.
pub(crate) struct LiveSend {
    ctx: Rc<GatewayContext>,
    pub(crate) dispatch: Dispatch,
    upstream: Option<Upstream>,
    /// The memory that is set aside for it; given back when this is dropped.
    memory: Option<HeldMemory>,
}

impl LiveSend {
    /// Notes that a part of the answer came.
    pub(crate) fn hear_answer(&self, now: Moment) {
        if let Some(memory) = &self.memory {
            memory.hear_answer(now);
        }
    }
}

impl Drop for LiveSend {
    fn drop(&mut self) {
        self.upstream = None;
        self.ctx.gateway.borrow_mut().finish(self.ctx.now(), &self.dispatch);
        self.ctx.load_changes();
    }
}

/// How the way to an answer ended.
enum Outcome {
    /// The caller gets this answer.
    Answer(Response<AnswerBody>),
    /// The caller gets a stream, which a task that owns the exchange passes on.
    Stream(Box<StreamStart>),
}

/// What one send brought.
pub(crate) enum Sent {
    /// The whole answer of a request without a stream.
    Answer(Response<AnswerBody>),
    /// A stream whose first events are here.
    Stream(Box<StreamStart>),
    /// No answer to pass on, or a failure of the server that may be passed on.
    Result(SendResult, Option<Response<AnswerBody>>),
}

/// A stream of which the first event has come.
pub(crate) struct StreamStart {
    pub(crate) send: LiveSend,
    pub(crate) head: response::Parts,
    pub(crate) relay: EventRelay,
}

impl StreamStart {
    /// Answers the caller with the stream, which a task of its own passes on.
    fn start(self: Box<Self>, exchange: Exchange) -> Response<AnswerBody> {
        let (pieces, receiver) = mpsc::channel(PIECE_RING);
        let mut head = self.head.clone();
        strip_connection_fields(&mut head.headers);
        close_if_stopping(&exchange.ctx, &mut head.headers);
        tokio::task::spawn_local(super::event_relay::pass_on(exchange, *self, pieces));
        Response::from_parts(head, AnswerBody::Passed(receiver))
    }
}

impl Exchange {
    /// Places and sends the request until there is an answer.
    async fn run(&mut self) -> Outcome {
        loop {
            let dispatch = match self.place().await {
                Ok(dispatch) => dispatch,
                Err(refusal) => return Outcome::Answer(self.refuse(refusal)),
            };
            let (result, failure, dispatch) = match self.send(dispatch).await {
                (Sent::Answer(response), _) => {
                    self.tell_end("answered", LineKind::Success, response.status().as_u16(), None);
                    return Outcome::Answer(response);
                }
                (Sent::Stream(stream), _) => return Outcome::Stream(stream),
                (Sent::Result(result, failure), dispatch) => (result, failure, dispatch),
            };
            let lost = GatewayRefusal::new(RefusalReason::AnswerLost);
            let refusal = match (self.after_send(&dispatch, &result), failure) {
                (NextStep::PlaceAgain, _) => continue,
                (NextStep::RelayFailure, Some(failure)) => {
                    let status = failure.status().as_u16();
                    self.tell_end("server_failure", LineKind::Failure, status, None);
                    return Outcome::Answer(failure);
                }
                (NextStep::Refuse(refusal), _) => refusal,
                (NextStep::RelayFailure, None) | (NextStep::CutAnswer, _) => lost,
            };
            return Outcome::Answer(self.refuse(refusal));
        }
    }

    /// Waits until the request may be sent, and where to.
    pub(crate) async fn place(&mut self) -> Result<Dispatch, GatewayRefusal> {
        loop {
            let ctx = self.ctx.clone();
            let room = ctx.room.notified();
            let placement = ctx.gateway.borrow_mut().place(ctx.now(), &mut self.ask);
            match placement {
                GatewayPlacement::Send(dispatch) => {
                    ctx.load_changed.notify_one();
                    if dispatch.expected_delay > LONG_READING {
                        ctx.engines_taken.notify_one();
                    }
                    return Ok(*dispatch);
                }
                GatewayPlacement::Refuse(refusal) => return Err(refusal),
                GatewayPlacement::Wait(time) => {
                    tokio::select! {
                        () = sleep(time) => {}
                        () = room => {}
                    }
                }
            }
        }
    }

    pub(crate) fn after_send(&mut self, dispatch: &Dispatch, result: &SendResult) -> NextStep {
        let now = self.ctx.now();
        let step = self.ctx.gateway.borrow_mut().after_send(now, &mut self.ask, dispatch, result);
        self.tell_result(now, dispatch, result, step);
        step
    }

    /// Sends the request once and reads the answer up to where it can be judged.
    pub(crate) async fn send(&mut self, dispatch: Dispatch) -> (Sent, Dispatch) {
        let copy = dispatch.clone();
        let mut live = LiveSend { ctx: self.ctx.clone(), dispatch, upstream: None, memory: None };
        let sent = match self.exchange_heads(&mut live).await {
            Ok((head, body)) => self.read_answer(live, head, body).await,
            Err(result) => Sent::Result(result, None),
        };
        (sent, copy)
    }

    async fn exchange_heads(
        &mut self,
        live: &mut LiveSend,
    ) -> Result<(response::Parts, Incoming), SendResult> {
        match reserve_memory(&self.ctx, &live.dispatch).await {
            Ok(memory) => live.memory = memory,
            Err(result) => return Err(result),
        }
        let mut upstream = match Upstream::connect(live.dispatch.server.address).await {
            Ok(upstream) => upstream,
            Err(error) => {
                self.tell_send_error(&live.dispatch, &error);
                return Err(SendResult::Unreached);
            }
        };
        let now = self.ctx.now();
        if now >= self.ask.deadline {
            return Err(SendResult::Unreached);
        }
        self.tell_send(now, &live.dispatch);
        self.ctx.gateway.borrow_mut().record_sent(&mut self.ask);
        let request = self.upstream_request(now, &live.dispatch);
        let limit = live.dispatch.silence_limit;
        let answer = timeout(limit.since(now), upstream.send(request)).await;
        live.upstream = Some(upstream);
        match answer {
            Ok(Ok(response)) => Ok(response.into_parts()),
            Ok(Err(error)) => {
                self.tell_send_error(&live.dispatch, &error);
                match error {
                    SendError::NotSent(_) => {
                        self.ask.unresolved_sends = self.ask.unresolved_sends.saturating_sub(1);
                        Err(SendResult::Unreached)
                    }
                    SendError::Lost(_) => Err(SendResult::Lost),
                }
            }
            Err(_) => Err(self.silent(limit)),
        }
    }

    /// Returns what a server's silence until `limit` means.
    fn silent(&self, limit: Moment) -> SendResult {
        if limit >= self.ask.deadline { SendResult::TimedOut } else { SendResult::Lost }
    }

    fn upstream_request(&self, now: Moment, dispatch: &Dispatch) -> Request<Full<Bytes>> {
        let mut fields = self.head.headers.clone();
        strip_connection_fields(&mut fields);
        let send = UpstreamHead {
            server: &dispatch.server.id,
            helpers: &dispatch.helpers,
            customer: self.ask.customer.as_ref(),
            time_left: self.ask.deadline.since(now),
            urgency: dispatch.urgency,
            last_event: self.ask.last_event,
        };
        let mut request = Request::new(Full::new(self.body.bytes()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.ctx.dialect.upstream_headers(fields, &send);
        request
    }

    async fn read_answer(
        &mut self,
        mut live: LiveSend,
        head: response::Parts,
        body: Incoming,
    ) -> Sent {
        let facts = self.ctx.dialect.response_facts(&head);
        if facts.not_run {
            let result =
                SendResult::Declined { at_fault: facts.at_fault, retry_after: facts.retry_after };
            return Sent::Result(result, None);
        }
        let is_other = facts.request_id.as_deref().is_some_and(|id| id != self.ask.id);
        let is_success = head.status.is_success();
        if is_other || (is_success && !facts.is_signed) {
            return Sent::Result(SendResult::Lost, None);
        }
        if is_success && self.ask.route.kind.is_stream() {
            return self.begin_stream(live, head, body).await;
        }
        let limit = live.dispatch.silence_limit.max(self.ctx.now());
        let time = limit.since(self.ctx.now());
        let bytes = match timeout(time, collect_answer(body)).await {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return Sent::Result(SendResult::Lost, None),
            Err(_) => return Sent::Result(self.silent(limit), None),
        };
        let now = self.ctx.now();
        let mut response = Response::from_parts(head, AnswerBody::whole(bytes));
        strip_connection_fields(response.headers_mut());
        close_if_stopping(&self.ctx, response.headers_mut());
        live.upstream = None;
        if response.status().is_server_error() {
            return Sent::Result(SendResult::Failed, Some(response));
        }
        self.ctx.gateway.borrow_mut().record_answer(now, &live.dispatch);
        self.ctx.telemetry.count_send("answered");
        let time = now.since(self.arrived);
        self.ctx.telemetry.observe_first_event(self.ask.size.map(|size| size.prompt), time);
        Sent::Answer(response)
    }

    /// Waits for the first event of a stream, until which the request can still go elsewhere.
    async fn begin_stream(
        &mut self,
        live: LiveSend,
        head: response::Parts,
        body: Incoming,
    ) -> Sent {
        let limit = live.dispatch.silence_limit;
        let mut relay = EventRelay::new(body, self.ask.last_event);
        let time = limit.since(self.ctx.now());
        match timeout(time, relay.wait_first()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Sent::Result(SendResult::Lost, None),
            Err(_) => return Sent::Result(self.silent(limit), None),
        }
        let now = self.ctx.now();
        live.hear_answer(now);
        self.ctx.gateway.borrow_mut().record_first_event(now, &live.dispatch);
        self.ctx.load_changes();
        self.tell_first_event(now, &live.dispatch);
        Sent::Stream(Box::new(StreamStart { send: live, head, relay }))
    }

    fn refuse(&mut self, refusal: GatewayRefusal) -> Response<AnswerBody> {
        let name = refusal.reason.name();
        self.tell_end(name, LineKind::Failure, refusal.reason.status(), refusal.retry_after);
        refusal_response(&self.ctx, &refusal)
    }
}

async fn collect_answer(mut body: Incoming) -> Option<Bytes> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        if bytes.len() + data.len() > MAX_HELD_ANSWER {
            return None;
        }
        bytes.extend_from_slice(&data);
    }
    Some(bytes.freeze())
}
