//! Handles one request from its head to the last byte of its response.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http::request;
use http::response;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::sleep;
use tokio::time::timeout;

use super::active_send::ActiveSend;
use super::caller_stream::CallerConnection;
use super::context::GatewayContext;
use super::dialect::UpstreamHead;
use super::event_queue::event_queue;
use super::event_relay::EventRelay;
use super::exchange_log::refuse_early;
use super::memory_reservation::reserve_memory;
use super::permits::take_permit;
use super::request_body::BodyError;
use super::request_body::BufferShare;
use super::request_body::BufferedBody;
use super::request_body::read_body;
use super::response_body::ResponseBody;
use super::response_head::close_if_stopping;
use super::response_head::refusal_response;
use super::response_head::strip_connection_fields;
use super::telemetry::LineKind;
use super::upstream::BodyFault;
use super::upstream::SendError;
use super::upstream::Upstream;
use super::upstream::UpstreamBody;
use crate::coordination::Dispatch;
use crate::coordination::Gateway;
use crate::coordination::GatewayPlacement;
use crate::coordination::GatewayRefusal;
use crate::coordination::GatewayRequest;
use crate::coordination::NextStep;
use crate::coordination::PlacementStep;
use crate::coordination::RefusalReason;
use crate::coordination::ResponseOrigin;
use crate::coordination::SendResult;
use crate::coordination::StopPhase;
use crate::state::LimitVersion;
use crate::state::Moment;
use crate::state::SendId;

/// The timeout for reading a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The limit of body size while there is no configuration.
const DEFAULT_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The largest response without a stream, in bytes; it is buffered until it is complete.
const MAX_BUFFERED_RESPONSE: usize = 4 * 1024 * 1024;
/// The expected time to the first event above which peers are told of a send at once.
pub(crate) const LONG_PREFILL: Duration = Duration::from_millis(150);

/// The caller disconnected before its request was complete.
#[derive(Debug)]
pub(crate) struct CallerDisconnected;

impl std::fmt::Display for CallerDisconnected {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the caller disconnected")
    }
}

impl std::error::Error for CallerDisconnected {}

/// Serves one request.
pub(crate) async fn serve(
    ctx: Rc<GatewayContext>,
    connection: Rc<CallerConnection>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, CallerDisconnected> {
    let arrived = ctx.now();
    let (head, body) = request.into_parts();
    let limit = {
        let gateway = ctx.gateway.borrow();
        gateway.catalog().map_or(DEFAULT_BODY_BYTES, |catalog| catalog.limits().body_bytes)
    };
    let facts = ctx.dialect.request_facts(&head);
    let body = tokio::select! {
        biased;
        body = read_body(&ctx, body, limit, BODY_TIMEOUT) => body,
        () = ctx.await_stop_phase(StopPhase::Ended) => {
            Err(BodyError::Refused(ctx.gateway.borrow().stopping_refusal(ctx.now())))
        }
    };
    let id = facts.as_ref().map(|facts| facts.id.clone()).unwrap_or_default();
    let early = |refusal| Ok(refuse_early(&ctx, &id, &head, refusal));
    let body = match body {
        Ok(body) => body,
        Err(BodyError::Refused(refusal)) => return early(refusal),
        Err(BodyError::Disconnected) => return Err(CallerDisconnected),
    };
    let facts = match facts {
        Ok(facts) => facts,
        Err(_) => return early(GatewayRefusal::new(RefusalReason::BadRequest)),
    };
    let admission = ctx.gateway.borrow_mut().admit(ctx.now(), &facts);
    let request = match admission {
        Ok(request) => request,
        Err(refusal) => return early(refusal),
    };
    connection.set_stall_limit(request.route.timeout);
    let exchange = Exchange {
        ctx,
        connection,
        head,
        body,
        request: RefCell::new(request),
        arrived,
        is_finished: Cell::new(false),
        is_waiting: Cell::new(false),
        first_sent: Cell::new(None),
        is_relaying: Cell::new(false),
        silent_send: Cell::new(None),
        longest_pause: Cell::new(Duration::ZERO),
    };
    let answer = tokio::select! {
        // An answer that is ready at the end of a stop is delivered.
        biased;
        answer = exchange.run() => answer,
        () = exchange.ctx.await_stop_phase(StopPhase::Ended) => exchange.end_at_stop(),
    };
    Ok(match answer {
        Answer::Response(response) => response,
        Answer::Stream(start) => start.start(exchange),
    })
}

/// A request that is being served. It leaves the queue when dropped, that is when it is complete or
/// its caller disconnects.
pub(crate) struct Exchange {
    pub(crate) ctx: Rc<GatewayContext>,
    connection: Rc<CallerConnection>,
    head: request::Parts,
    body: BufferedBody,
    /// Borrowed for one call at a time, never across an `await`.
    pub(crate) request: RefCell<GatewayRequest>,
    pub(crate) arrived: Moment,
    pub(crate) is_finished: Cell<bool>,
    /// Whether the request has begun to wait at this host.
    is_waiting: Cell<bool>,
    pub(crate) first_sent: Cell<Option<Moment>>,
    /// Whether a part of the response's stream was relayed.
    pub(crate) is_relaying: Cell<bool>,
    /// The newest send whose server was recorded as silent.
    pub(crate) silent_send: Cell<Option<SendId>>,
    /// The longest pause between two events of the response's stream.
    pub(crate) longest_pause: Cell<Duration>,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.leave_queue();
        if !self.is_finished.get() {
            self.record_end("caller_left", LineKind::Failure, 0, None);
        }
    }
}

/// The answer to a request, up to its first part.
pub(crate) enum Answer {
    /// A complete response.
    Response(Response<ResponseBody>),
    /// A stream, which a task that owns the exchange relays.
    Stream(Box<StreamStart>),
}

/// A send without a usable response.
pub(crate) struct SendFailure {
    pub(crate) result: SendResult,
    /// The server's error response, if there is one to relay.
    response: Option<Response<ResponseBody>>,
}

impl From<SendResult> for SendFailure {
    fn from(result: SendResult) -> SendFailure {
        SendFailure { result, response: None }
    }
}

/// A stream of which the first event has come.
pub(crate) struct StreamStart {
    pub(crate) send: ActiveSend,
    pub(crate) head: response::Parts,
    pub(crate) relay: EventRelay,
}

impl StreamStart {
    /// Returns the response with the stream, which a separate task relays.
    fn start(self: Box<Self>, exchange: Exchange) -> Response<ResponseBody> {
        let (events, receiver) = {
            let request = exchange.request.borrow();
            event_queue(&exchange.ctx, &request.id, &exchange.connection)
        };
        let mut head = self.head.clone();
        strip_connection_fields(&mut head.headers);
        close_if_stopping(&exchange.ctx, &mut head.headers);
        tokio::task::spawn_local(super::event_relay::relay_stream(exchange, *self, events));
        Response::from_parts(head, ResponseBody::streamed(receiver))
    }
}

impl Exchange {
    /// Places and sends the request until there is an answer.
    async fn run(&self) -> Answer {
        loop {
            let dispatch = match self.place().await {
                Ok(dispatch) => dispatch,
                Err(refusal) => return Answer::Response(self.refuse(refusal)),
            };
            let failure = match self.send_until_answered(&dispatch).await {
                Ok(Answer::Response(response)) => {
                    let status = response.status().as_u16();
                    self.record_end("answered", LineKind::Success, status, None);
                    return Answer::Response(response);
                }
                Ok(stream) => return stream,
                Err(failure) => failure,
            };
            self.check_crash(&dispatch, &failure.result, None).await;
            let lost = GatewayRefusal::new(RefusalReason::AnswerLost);
            let refusal = match (self.after_send(&dispatch, &failure.result), failure.response) {
                (NextStep::PlaceAgain, _) => continue,
                (NextStep::RelayFailure, Some(response)) => {
                    let status = response.status().as_u16();
                    self.record_end("server_failure", LineKind::Failure, status, None);
                    return Answer::Response(response);
                }
                (NextStep::Refuse(refusal), _) => refusal,
                (NextStep::RelayFailure, None) | (NextStep::CutAnswer, _) => lost,
            };
            return Answer::Response(self.refuse(refusal));
        }
    }

    /// Waits until the request may be sent, and returns its destination.
    pub(crate) async fn place(&self) -> Result<Dispatch, GatewayRefusal> {
        self.place_by(Gateway::place_or_query).await
    }

    /// Waits until the request may be sent to a server besides the silent one that has it.
    pub(crate) async fn place_successor(&self) -> Result<Dispatch, GatewayRefusal> {
        let place = |gateway: &mut Gateway, now, request: &mut GatewayRequest| {
            PlacementStep::Placed(gateway.place_successor(now, request))
        };
        self.place_by(place).await
    }

    async fn place_by(
        &self,
        place: impl Fn(&mut Gateway, Moment, &mut GatewayRequest) -> PlacementStep,
    ) -> Result<Dispatch, GatewayRefusal> {
        loop {
            let ctx = &self.ctx;
            let capacity_freed = ctx.capacity_freed.notified();
            let step =
                place(&mut ctx.gateway.borrow_mut(), ctx.now(), &mut self.request.borrow_mut());
            let placement = match step {
                PlacementStep::Placed(placement) => placement,
                PlacementStep::Query(query) => match self.query_cell(&query).await {
                    Some(dispatch) => return Ok(dispatch),
                    None => continue,
                },
            };
            match placement {
                GatewayPlacement::Send(dispatch) => {
                    ctx.load_changed.notify_one();
                    if dispatch.expected_delay > LONG_PREFILL {
                        ctx.urgent_summary.notify_one();
                    }
                    return Ok(*dispatch);
                }
                GatewayPlacement::Refuse(refusal) => return Err(refusal),
                GatewayPlacement::Wait(time) => {
                    if !self.is_waiting.replace(true) {
                        self.log_wait(time);
                    }
                    tokio::select! {
                        () = sleep(time) => {}
                        () = capacity_freed => {}
                    }
                }
            }
        }
    }

    pub(crate) fn leave_queue(&self) {
        self.ctx.gateway.borrow_mut().leave_queue(&mut self.request.borrow_mut());
    }

    pub(crate) fn after_send(&self, dispatch: &Dispatch, result: &SendResult) -> NextStep {
        let now = self.ctx.now();
        let mut request = self.request.borrow_mut();
        let step = self.ctx.gateway.borrow_mut().after_send(now, &mut request, dispatch, result);
        drop(request);
        self.ctx.report_cold_changes();
        self.record_send_result(now, dispatch, result, Some(step));
        step
    }

    /// Records that a send failed beside which the request is still with another server.
    pub(crate) fn record_successor_failure(&self, dispatch: &Dispatch, result: &SendResult) {
        let now = self.ctx.now();
        let mut request = self.request.borrow_mut();
        self.ctx.gateway.borrow_mut().record_result(now, &mut request, dispatch, result);
        drop(request);
        self.ctx.report_cold_changes();
        self.record_send_result(now, dispatch, result, None);
    }

    fn begin_send(&self, now: Moment, dispatch: &Dispatch) -> bool {
        let mut request = self.request.borrow_mut();
        self.ctx.gateway.borrow_mut().begin_send(now, &mut request, dispatch)
    }

    pub(crate) fn has_successor(&self) -> bool {
        self.ctx.gateway.borrow_mut().has_successor(self.ctx.now(), &self.request.borrow())
    }

    pub(crate) fn deadline(&self) -> Moment {
        self.request.borrow().deadline
    }

    /// Sends the request to one server and reads the response: all of it, or up to the first event of a
    /// stream.
    pub(crate) async fn send(&self, dispatch: &Dispatch) -> Result<Answer, SendFailure> {
        let mut active = ActiveSend::new(self.ctx.clone(), dispatch.clone());
        let (head, body) = self.await_response_head(&mut active).await?;
        self.read_response(active, head, body).await
    }

    /// Reserves the memory that the send needs and connects to its server.
    async fn connect(&self, active: &mut ActiveSend) -> Result<Upstream, SendResult> {
        active.memory = reserve_memory(&self.ctx, &active.dispatch).await?;
        Upstream::connect(active.dispatch.server.address).await.map_err(|error| {
            self.log_send_error(&active.dispatch, &error);
            SendResult::Unreached
        })
    }

    async fn await_response_head(
        &self,
        active: &mut ActiveSend,
    ) -> Result<(response::Parts, UpstreamBody), SendResult> {
        let permit = take_permit(&self.ctx, &active.dispatch.server.id).await?;
        let connected = self.connect(active).await;
        // A server may have stated meanwhile, in another response, that it is leaving.
        if self.ctx.gateway.borrow().has_leaving_server(&active.dispatch) {
            return Err(SendResult::Leaving);
        }
        if self.ctx.gateway.borrow().has_evacuated_server(&active.dispatch) {
            return Err(SendResult::Evacuated);
        }
        let mut upstream = connected?;
        let now = self.ctx.now();
        let deadline = self.deadline();
        if now >= deadline {
            return Err(SendResult::Unreached);
        }
        if self.ctx.gateway.borrow().is_dispatch_paused(now, &active.dispatch) {
            return Err(SendResult::Paused);
        }
        let has_permit = permit.as_ref().is_some_and(|permit| permit.is_valid(now));
        if self.ctx.gateway.borrow().needs_permit(now, &active.dispatch, has_permit) {
            return Err(SendResult::Limited);
        }
        if self.ctx.gateway.borrow().is_isolated(now, &self.request.borrow()) {
            return Err(SendResult::Isolated);
        }
        if !self.begin_send(now, &active.dispatch) {
            return Err(SendResult::NoAttempt);
        }
        if let Some(permit) = &permit {
            permit.record_use(true);
            self.ctx.report_cold_changes();
        }
        let version = self.ctx.gateway.borrow().limit_version(&active.dispatch.server.id);
        self.log_send(now, &active.dispatch);
        let request = self.upstream_request(now, &active.dispatch);
        let response = timeout(deadline.since(now), upstream.send(request)).await;
        let has_begun = upstream.has_begun();
        active.upstream = Some(upstream);
        match response {
            Ok(Ok(response)) => {
                let (head, body) = response.into_parts();
                self.ctx.record_if_leaving(&active.dispatch.server.id, &head);
                self.record_limit(&active.dispatch, version, &head);
                Ok((head, body))
            }
            Ok(Err(error)) => {
                self.log_send_error(&active.dispatch, &error);
                match error {
                    SendError::NotSent(_) => {
                        if let Some(permit) = &permit {
                            permit.record_use(false);
                        }
                        let mut request = self.request.borrow_mut();
                        self.ctx.gateway.borrow_mut().cancel_send(&mut request, &active.dispatch);
                        Err(SendResult::Unreached)
                    }
                    SendError::Lost(_) => Err(SendResult::Lost),
                }
            }
            Err(_) if has_begun => Err(SendResult::Lost),
            Err(_) => Err(SendResult::TimedOut),
        }
    }

    /// Records what the head of a response to this request states of its server's limit.
    fn record_limit(&self, dispatch: &Dispatch, sent: LimitVersion, head: &response::Parts) {
        let facts = self.ctx.dialect.response_facts(head);
        let origin = self.request.borrow().response_origin(facts.request_id.as_deref());
        let is_own = origin == ResponseOrigin::OwnRequest;
        if is_own && (facts.is_signed || !head.status.is_success()) {
            self.ctx.record_limit(&dispatch.server.id, sent, &facts);
        }
    }

    /// Returns whether a response that states that its request has not run is about this send.
    ///
    /// A faulty server may repeat the refusal of an earlier request, which has another id or none. If
    /// this request was sent to the same server before, a repeated refusal even has its id; a request
    /// that must not run twice then counts as one that may have run.
    fn is_refusal_of(&self, origin: ResponseOrigin, dispatch: &Dispatch) -> bool {
        let request = self.request.borrow();
        let sends = request.tried.iter().filter(|server| **server == dispatch.server.id).count();
        origin == ResponseOrigin::OwnRequest && (request.is_retryable() || sends <= 1)
    }

    fn upstream_request(&self, now: Moment, dispatch: &Dispatch) -> Request<Full<Bytes>> {
        let mut fields = self.head.headers.clone();
        strip_connection_fields(&mut fields);
        let known = self.request.borrow();
        let send = UpstreamHead {
            server: &dispatch.server.id,
            helpers: &dispatch.helpers,
            customer: known.customer.as_ref(),
            time_left: known.deadline.since(now),
            urgency: dispatch.urgency,
            last_event: known.last_event,
        };
        let mut request = Request::new(Full::new(self.body.bytes()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.ctx.dialect.upstream_headers(fields, &send);
        request
    }

    async fn read_response(
        &self,
        mut active: ActiveSend,
        head: response::Parts,
        mut body: UpstreamBody,
    ) -> Result<Answer, SendFailure> {
        let facts = self.ctx.dialect.response_facts(&head);
        let origin = self.request.borrow().response_origin(facts.request_id.as_deref());
        if origin == ResponseOrigin::OwnRequest {
            self.ctx.record_pause(&active.dispatch.server.id, &facts);
        }
        if facts.not_run && self.is_refusal_of(origin, &active.dispatch) {
            let result =
                SendResult::Declined { at_fault: facts.at_fault, retry_after: facts.retry_after };
            return Err(result.into());
        }
        let is_success = head.status.is_success();
        let is_foreign = origin == ResponseOrigin::OtherRequest || facts.not_run;
        if is_foreign {
            self.log_foreign_response(&active.dispatch, &head, facts.request_id.as_deref());
        }
        if is_foreign || (is_success && !facts.is_signed) {
            return Err(SendResult::Lost.into());
        }
        if is_success && self.request.borrow().route.kind.is_stream() {
            return self.await_first_event(active, head, body).await;
        }
        let began = self.ctx.now();
        let time = self.deadline().since(began);
        let bytes = match timeout(time, collect_response(&self.ctx, &mut body)).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(fault)) => {
                self.record_fault(&active.dispatch, fault.into(), began);
                return Err(SendResult::Lost.into());
            }
            Err(_) if body.has_begun() => return Err(SendResult::Lost.into()),
            Err(_) => return Err(SendResult::TimedOut.into()),
        };
        let now = self.ctx.now();
        let mut response = Response::from_parts(head, ResponseBody::whole(bytes));
        strip_connection_fields(response.headers_mut());
        close_if_stopping(&self.ctx, response.headers_mut());
        active.upstream = None;
        if response.status().is_server_error() {
            return Err(SendFailure { result: SendResult::Failed, response: Some(response) });
        }
        active.first_event.set(Some(now));
        self.record_if_sound(&active, true);
        self.record_response_time(now, &active.dispatch);
        self.ctx.gateway.borrow_mut().record_response(now, &active.dispatch);
        self.ctx.telemetry.count_send("answered");
        let time = now.since(self.arrived);
        let prompt = self.request.borrow().size.map(|size| size.prompt);
        self.ctx.telemetry.observe_first_event(prompt, time);
        Ok(Answer::Response(response))
    }

    /// Waits for the first event of a stream. Before it, the request can still go to another server.
    async fn await_first_event(
        &self,
        active: ActiveSend,
        head: response::Parts,
        body: UpstreamBody,
    ) -> Result<Answer, SendFailure> {
        let sent = self.ctx.now();
        let last = self.request.borrow().last_event;
        let mut relay = EventRelay::new(body, last, self.is_relaying.get());
        let time = self.deadline().since(sent);
        match timeout(time, relay.wait_first()).await {
            Ok(Ok(())) => {}
            Ok(Err(fault)) => {
                self.record_fault(&active.dispatch, fault, sent);
                return Err(SendResult::Lost.into());
            }
            Err(_) if relay.has_begun() => return Err(SendResult::Lost.into()),
            Err(_) => return Err(SendResult::TimedOut.into()),
        }
        let now = self.ctx.now();
        active.record_progress(now);
        active.first_event.set(Some(now));
        self.record_response_time(now, &active.dispatch);
        self.ctx.gateway.borrow_mut().record_first_event(now, &active.dispatch);
        self.ctx.notify_guest_event(&active.dispatch);
        self.ctx.notify_load_change();
        self.record_first_event(now, &active.dispatch);
        Ok(Answer::Stream(Box::new(StreamStart { send: active, head, relay })))
    }

    /// Returns the final response to a request that is without one at the end of a planned stop.
    fn end_at_stop(&self) -> Answer {
        self.leave_queue();
        let now = self.ctx.now();
        let refusal = self.ctx.gateway.borrow().final_refusal(now, &self.request.borrow());
        Answer::Response(self.refuse(refusal))
    }

    fn refuse(&self, refusal: GatewayRefusal) -> Response<ResponseBody> {
        let name = refusal.reason.name();
        self.record_end(name, LineKind::Failure, refusal.reason.status(), Some(&refusal));
        refusal_response(&self.ctx, &refusal)
    }
}

async fn collect_response(
    ctx: &Rc<GatewayContext>,
    body: &mut UpstreamBody,
) -> Result<Bytes, BodyFault> {
    let mut bytes = BytesMut::new();
    let mut share = BufferShare::new(ctx.clone());
    while let Some(data) = body.next().await {
        let data = data?;
        if bytes.len() + data.len() > MAX_BUFFERED_RESPONSE || !share.grow(data.len()) {
            return Err(BodyFault::Excess);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}
