//! One request from its head to the last byte of its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::request;
use http::response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use slog::info;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use super::answer_body::AnswerBody;
use super::answer_body::PIECE_RING;
use super::context::GatewayContext;
use super::dialect::SendHead;
use super::event_relay::EventRelay;
use super::memory_tickets::HeldTicket;
use super::memory_tickets::reserve_memory;
use super::request_body::BodyFault;
use super::request_body::HeldBody;
use super::request_body::read_body;
use super::telemetry::LineKind;
use super::telemetry::RequestLabel;
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
use crate::state::RouteKind;

/// The longest time that a request's body may take.
const BODY_TIME: Duration = Duration::from_secs(10);
/// The largest body that is read where no configuration says more.
const DEFAULT_BODY: usize = 4 * 1024 * 1024;
/// The largest answer of a plain service that is held until it is whole.
const MAX_HELD_ANSWER: usize = 4 * 1024 * 1024;
/// The expected time to the first event from which peers are told of a send at once.
const LONG_READING: Duration = Duration::from_millis(150);
/// Header fields that concern one connection only.
const CONNECTION_FIELDS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

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
    let judged = ctx.gateway.borrow_mut().judge(ctx.now(), &facts);
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
    Ok(exchange.run().await.unwrap_or_else(|stream| stream.start(exchange)))
}

/// Answers a request that was refused before it was judged by its route.
fn refuse_early(
    ctx: &GatewayContext,
    id: &str,
    head: &request::Parts,
    refusal: GatewayRefusal,
) -> Response<AnswerBody> {
    let now = ctx.now();
    if let Some(log) = ctx.telemetry.line(now, LineKind::Failure) {
        let gateway = ctx.gateway.borrow();
        let version = gateway.catalog().map_or(0, |catalog| catalog.version());
        let age = gateway.catalog_age(now).map_or(-1, |age| age.as_millis() as i64);
        info!(log, "request refused"; "request" => id, "reason" => refusal.reason.name(),
            "status" => refusal.reason.status(), "path" => head.uri.path(),
            "catalog_version" => version, "catalog_age_ms" => age);
    }
    let label = RequestLabel { kind: "unjudged", outcome: refusal.reason.name() };
    ctx.telemetry.count_request(label);
    refusal_response(ctx, &refusal)
}

/// Makes the answer that tells a refusal.
pub(crate) fn refusal_response(
    ctx: &GatewayContext,
    refusal: &GatewayRefusal,
) -> Response<AnswerBody> {
    let text = format!("{{\"reason\":\"{}\"}}", refusal.reason.name());
    let mut response = Response::new(AnswerBody::whole(text));
    *response.status_mut() =
        StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let fields = response.headers_mut();
    fields.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = refusal.come_back {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            fields.insert(header::RETRY_AFTER, value);
        }
    }
    close_if_stopping(ctx, fields);
    response
}

/// Asks the caller to open its next connection elsewhere while the process stops.
pub(crate) fn close_if_stopping(ctx: &GatewayContext, fields: &mut HeaderMap) {
    if ctx.is_stopping() {
        fields.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Removes the fields that concern one connection only, and the body's length, which the body
/// itself tells.
fn strip_connection_fields(fields: &mut HeaderMap) {
    let named: Vec<HeaderName> = fields
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_FIELDS) {
        fields.remove(name);
    }
    fields.remove("keep-alive");
    fields.remove("proxy-connection");
    fields.remove(header::CONTENT_LENGTH);
}

/// A request that is being served. When it is dropped, because the caller left or all is done, it
/// leaves the queue.
pub(crate) struct Exchange {
    pub(crate) ctx: Rc<GatewayContext>,
    head: request::Parts,
    body: HeldBody,
    pub(crate) ask: GatewayRequest,
    pub(crate) arrived: Moment,
    is_over: bool,
    first_sent: Option<Moment>,
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
    tickets: Vec<HeldTicket>,
}

impl Drop for LiveSend {
    fn drop(&mut self) {
        self.upstream = None;
        self.ctx.gateway.borrow_mut().finish(self.ctx.now(), &self.dispatch);
        self.ctx.load_changes();
    }
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
    /// Places and sends the request until there is an answer; a stream is returned as the error, to
    /// be passed on by a task that owns this exchange.
    async fn run(&mut self) -> Result<Response<AnswerBody>, Box<StreamStart>> {
        loop {
            let dispatch = match self.place().await {
                Ok(dispatch) => dispatch,
                Err(refusal) => return Ok(self.refuse(refusal)),
            };
            let (result, failure, dispatch) = match self.send(dispatch).await {
                (Sent::Answer(response), _) => {
                    self.tell_end("answered", LineKind::Success, response.status().as_u16(), None);
                    return Ok(response);
                }
                (Sent::Stream(stream), _) => return Err(stream),
                (Sent::Result(result, failure), dispatch) => (result, failure, dispatch),
            };
            match self.after_send(&dispatch, &result) {
                NextStep::PlaceAgain => {}
                NextStep::RelayFailure => {
                    let response = failure.unwrap_or_else(|| {
                        let lost = GatewayRefusal::new(RefusalReason::AnswerLost);
                        refusal_response(&self.ctx, &lost)
                    });
                    let status = response.status().as_u16();
                    self.tell_end("server_failure", LineKind::Failure, status, None);
                    return Ok(response);
                }
                NextStep::Refuse(refusal) => return Ok(self.refuse(refusal)),
                NextStep::CutAnswer => {
                    let lost = GatewayRefusal::new(RefusalReason::AnswerLost);
                    return Ok(self.refuse(lost));
                }
            }
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
                    if dispatch.expected > LONG_READING {
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
        let name = result_name(result);
        self.ctx.telemetry.count_send(name);
        if let Some(log) = self.ctx.telemetry.line(now, LineKind::Failure) {
            info!(log, "send failed"; "request" => &self.ask.id, "result" => name,
                "server" => &*dispatch.server.id.id, "sends" => self.ask.sends,
                "helpers" => dispatch.helpers.len(), "next" => ?step,
                "age_ms" => now.since(self.arrived).as_millis() as u64);
        }
        step
    }

    /// Sends the request once and reads the answer up to where it can be judged.
    pub(crate) async fn send(&mut self, dispatch: Dispatch) -> (Sent, Dispatch) {
        let copy = dispatch.clone();
        let mut live =
            LiveSend { ctx: self.ctx.clone(), dispatch, upstream: None, tickets: Vec::new() };
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
            Ok(tickets) => live.tickets = tickets,
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
                        self.ask.open_sends = self.ask.open_sends.saturating_sub(1);
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
        let send = SendHead {
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
        *request.headers_mut() = self.ctx.dialect.send_fields(fields, &send);
        request
    }

    async fn read_answer(
        &mut self,
        mut live: LiveSend,
        head: response::Parts,
        body: Incoming,
    ) -> Sent {
        let facts = self.ctx.dialect.answer_facts(&head);
        if facts.not_run {
            let result = SendResult::Declined { at_fault: facts.at_fault, back: facts.back };
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
        self.ctx.gateway.borrow_mut().first_event(now, &live.dispatch);
        self.ctx.load_changes();
        self.tell_first_event(now, &live.dispatch);
        Sent::Stream(Box::new(StreamStart { send: live, head, relay }))
    }

    fn refuse(&mut self, refusal: GatewayRefusal) -> Response<AnswerBody> {
        let name = refusal.reason.name();
        self.tell_end(name, LineKind::Failure, refusal.reason.status(), refusal.come_back);
        refusal_response(&self.ctx, &refusal)
    }

    fn tell_send(&mut self, now: Moment, dispatch: &Dispatch) {
        let waited = now.since(self.arrived);
        if self.first_sent.is_none() {
            self.first_sent = Some(now);
            self.ctx.telemetry.observe_waited(waited);
        }
        let Some(log) = self.ctx.telemetry.line(now, LineKind::Success) else { return };
        let gateway = self.ctx.gateway.borrow();
        let load = gateway.load(&dispatch.server.id, now);
        info!(log, "request sent"; "request" => &self.ask.id,
            "server" => &*dispatch.server.id.id, "waited_ms" => waited.as_millis() as u64,
            "prompt" => self.ask.size.map_or(0, |size| size.prompt),
            "helpers" => dispatch.helpers.len(),
            "expected_ms" => dispatch.expected.as_millis() as u64,
            "backlog_ms" => load.backlog.as_millis() as u64,
            "running" => load.total(), "at_stake" => format!("{:.1?}", load.at_stake),
            "catalog_version" => gateway.catalog().map_or(0, |catalog| catalog.version()));
    }

    fn tell_send_error(&self, dispatch: &Dispatch, error: &SendError) {
        let now = self.ctx.now();
        if let Some(log) = self.ctx.telemetry.line(now, LineKind::Failure) {
            info!(log, "server connection failed"; "request" => &self.ask.id,
                "server" => &*dispatch.server.id.id, "error" => %error);
        }
    }

    fn tell_first_event(&self, now: Moment, dispatch: &Dispatch) {
        let time = now.since(self.arrived);
        self.ctx.telemetry.observe_first_event(self.ask.size.map(|size| size.prompt), time);
        if let Some(log) = self.ctx.telemetry.line(now, LineKind::Success) {
            info!(log, "first event"; "request" => &self.ask.id,
                "server" => &*dispatch.server.id.id, "age_ms" => time.as_millis() as u64,
                "expected_ms" => dispatch.expected.as_millis() as u64);
        }
    }

    /// Logs and counts the end of the request.
    pub(crate) fn tell_end(
        &mut self,
        outcome: &'static str,
        kind: LineKind,
        status: u16,
        back: Option<Duration>,
    ) {
        self.is_over = true;
        let now = self.ctx.now();
        self.ctx
            .telemetry
            .count_request(RequestLabel { kind: kind_name(self.ask.route.kind), outcome });
        if let Some(log) = self.ctx.telemetry.line(now, kind) {
            info!(log, "request ended"; "request" => &self.ask.id, "outcome" => outcome,
                "status" => status, "route" => &*self.ask.route.name,
                "customer" => self.ask.customer.as_ref().map_or("", |name| name.as_str()),
                "service" => self.ask.service.as_str(), "sends" => self.ask.sends,
                "unreached" => self.ask.unreached,
                "prompt" => self.ask.size.map_or(0, |size| size.prompt),
                "last_event" => self.ask.last_event.unwrap_or(0),
                "pause_ms" => self.longest_pause.as_millis() as u64,
                "back_ms" => back.map_or(-1, |back| back.as_millis() as i64),
                "age_ms" => now.since(self.arrived).as_millis() as u64);
        }
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

fn kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "non_idempotent",
        RouteKind::Stream { .. } => "stream",
    }
}

fn result_name(result: &SendResult) -> &'static str {
    match result {
        SendResult::Unreached => "unreached",
        SendResult::NoMemory => "no_memory",
        SendResult::Declined { .. } => "declined",
        SendResult::Failed => "failed",
        SendResult::Lost => "lost",
        SendResult::Cut => "cut",
        SendResult::TimedOut => "timed_out",
    }
}
