//! The HTTP interface for callers: completions, calls to plain services, and health.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rocket::Data;
use rocket::Request;
use rocket::Route;
use rocket::State;
use rocket::data::ByteUnit;
use rocket::data::ToByteUnit;
use rocket::http::Method;
use rocket::request::FromRequest;
use rocket::request::Outcome as Guarded;
use rocket::route::Handler;
use tokio::sync::mpsc;

use super::caller_response::CallerResponse;
use super::caller_stream;
use super::ring::CoreMessage;
use super::ring::CoreSender;
use crate::coordination::AnswerPiece;
use crate::coordination::CallRequest;
use crate::coordination::CallerId;
use crate::coordination::CompletionRequest;
use crate::coordination::Input;
use crate::protocol::caller_api;
use crate::protocol::caller_api::AnswerShape;
use crate::protocol::caller_api::CallerError;
use crate::protocol::caller_api::CallerHeaders;
use crate::state::Outcome;
use crate::state::Reason;
use crate::state::Refusal;

/// Bodies above this size are parsed and hashed on a blocking thread instead of those serving sockets.
const BLOCKING_BODY_BYTES: usize = 64 * 1024;

/// How many pieces of an answer may be queued for a slow caller before it is dropped.
const RESPONSE_QUEUE_LEN: usize = 4096;

/// The `retry-after` time if this process was too busy to accept a request.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State that the callers' routes share.
pub(crate) struct CallerState {
    core: CoreSender,
    next_caller: AtomicU64,
    open_requests: AtomicUsize,
    limits: CallerLimits,
    /// Whether the balancer may send more requests.
    pub(crate) healthy: Arc<AtomicBool>,
}

/// The limits for one request and for all requests together.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallerLimits {
    /// The longest head, in bytes.
    pub(crate) head: usize,
    /// The largest body, in bytes.
    pub(crate) body: usize,
    /// The timeout for reading a body.
    pub(crate) body_time: Duration,
    /// The maximum number of concurrent requests.
    pub(crate) requests: usize,
}

impl CallerState {
    /// Creates the state of the callers' routes.
    pub(crate) fn new(core: CoreSender, limits: CallerLimits, healthy: Arc<AtomicBool>) -> Self {
        let next_caller = AtomicU64::new(1);
        CallerState { core, next_caller, open_requests: AtomicUsize::new(0), limits, healthy }
    }

    /// Passes an input to the core and returns the channel for its answer, or refuses it if the process
    /// is too busy.
    fn open(self: &Arc<Self>, make: impl FnOnce(CallerId) -> Input) -> Result<OpenAnswer, Refusal> {
        if self.open_requests.fetch_add(1, Ordering::Relaxed) >= self.limits.requests {
            self.open_requests.fetch_sub(1, Ordering::Relaxed);
            return Err(busy());
        }
        let caller = CallerId(self.next_caller.fetch_add(1, Ordering::Relaxed));
        let (sink, pieces) = mpsc::channel(RESPONSE_QUEUE_LEN);
        let answer = OpenAnswer { caller, pieces, state: self.clone(), ended: false };
        let message = CoreMessage::Caller { input: make(caller), caller, sink };
        self.core.try_send(message).map_err(|_| busy())?;
        Ok(answer)
    }
}

fn busy() -> Refusal {
    Refusal {
        outcome: Outcome::NotRun,
        reason: Reason::Overloaded,
        retry_after: Some(BUSY_RETRY_AFTER),
    }
}

/// The receiving end of an answer from the core. Dropping it before the end tells the core that the
/// caller disconnected.
pub(crate) struct OpenAnswer {
    caller: CallerId,
    pieces: mpsc::Receiver<AnswerPiece>,
    state: Arc<CallerState>,
    ended: bool,
}

impl OpenAnswer {
    /// Waits for the next piece; `None` means that the core has dropped the request.
    pub(crate) async fn next(&mut self) -> Option<AnswerPiece> {
        let piece = self.pieces.recv().await;
        self.record_end(piece.as_ref());
        piece
    }

    /// Returns the next piece if it has already arrived.
    pub(crate) fn ready(&mut self) -> Option<AnswerPiece> {
        let piece = self.pieces.try_recv().ok()?;
        self.record_end(Some(&piece));
        Some(piece)
    }

    fn record_end(&mut self, piece: Option<&AnswerPiece>) {
        let open = matches!(piece, Some(AnswerPiece::Accepted(_) | AnswerPiece::Text { .. }));
        self.ended |= !open;
    }
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        self.state.open_requests.fetch_sub(1, Ordering::Relaxed);
        if !self.ended {
            // If the ring is full, this input is lost and the request ends at its deadline.
            let message = CoreMessage::Input(Input::CallerGone(self.caller));
            let _ = self.state.core.try_send(message);
        }
    }
}

/// The headers of a request, copied so that they outlive it.
#[derive(Default)]
pub(crate) struct OwnedHeaders {
    authorization: Option<String>,
    priority: Option<String>,
    deadline: Option<String>,
    key: Option<String>,
    media: Option<String>,
    /// The bytes of all names and values.
    bytes: usize,
}

impl OwnedHeaders {
    fn of(request: &Request<'_>) -> OwnedHeaders {
        let one = |name: &str| request.headers().get_one(name).map(str::to_owned);
        let sizes =
            request.headers().iter().map(|one| one.name().as_str().len() + one.value().len());
        OwnedHeaders {
            bytes: sizes.sum(),
            authorization: one("authorization"),
            priority: one("x-priority"),
            deadline: one("x-deadline-ms"),
            key: one("idempotency-key"),
            media: one("content-type"),
        }
    }

    /// Rejects a head that is longer than its limit.
    fn check(&self, limits: CallerLimits) -> Result<(), CallerResponse> {
        if self.bytes <= limits.head {
            return Ok(());
        }
        let text =
            format!("the headers have {} bytes: expected at most {}", self.bytes, limits.head);
        Err(CallerResponse::rejected(431, "headers_too_long", text))
    }

    fn view(&self) -> CallerHeaders<'_> {
        CallerHeaders {
            authorization: self.authorization.as_deref(),
            priority: self.priority.as_deref(),
            deadline: self.deadline.as_deref(),
            key: self.key.as_deref(),
        }
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for OwnedHeaders {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Guarded<Self, Self::Error> {
        Guarded::Success(OwnedHeaders::of(request))
    }
}

type Shared = State<Arc<CallerState>>;

/// Returns whether the balancer may send more requests.
#[rocket::get("/health")]
pub(crate) fn health(state: &Shared) -> CallerResponse {
    match state.healthy.load(Ordering::Relaxed) {
        true => CallerResponse::json(200, "{\"status\":\"ok\"}".to_owned()),
        false => CallerResponse::json(503, "{\"status\":\"not ready\"}".to_owned()),
    }
}

/// Accepts a completion request in the plain form.
#[rocket::post("/v1/completions", data = "<data>")]
pub(crate) async fn completions(
    data: Data<'_>,
    headers: OwnedHeaders,
    state: &Shared,
) -> CallerResponse {
    complete(data, headers, state, AnswerShape::Text).await
}

/// Accepts a completion request in the chat form.
#[rocket::post("/v1/chat/completions", data = "<data>")]
pub(crate) async fn chat(data: Data<'_>, headers: OwnedHeaders, state: &Shared) -> CallerResponse {
    complete(data, headers, state, AnswerShape::Chat).await
}

async fn complete(
    data: Data<'_>,
    headers: OwnedHeaders,
    state: &Arc<CallerState>,
    shape: AnswerShape,
) -> CallerResponse {
    if let Err(response) = headers.check(state.limits) {
        return response;
    }
    let body = match read_body(data, state.limits).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let request = match read_request(body, headers, shape).await {
        Ok(request) => request,
        Err(error) => return CallerResponse::rejected(400, "bad_request", error.to_string()),
    };
    let stream = request.stream;
    let request = Box::new(request);
    match state.open(|caller| Input::Completion { caller, request }) {
        Ok(answer) => caller_stream::respond(answer, shape, stream).await,
        Err(refusal) => CallerResponse::refused(None, &refusal),
    }
}

/// Parses and hashes a body; a long one on a blocking thread instead of those serving sockets.
async fn read_request(
    body: Vec<u8>,
    headers: OwnedHeaders,
    shape: AnswerShape,
) -> Result<CompletionRequest, CallerError> {
    let long = body.len() > BLOCKING_BODY_BYTES;
    let read = move || match shape {
        AnswerShape::Text => caller_api::read_completion(&body, &headers.view()),
        AnswerShape::Chat => caller_api::read_chat(&body, &headers.view()),
    };
    if !long {
        return read();
    }
    let read = tokio::task::spawn_blocking(read).await;
    read.unwrap_or_else(|_| Err(CallerError::Body("it could not be read".to_owned())))
}

/// Reads a body within its limits of length and time.
async fn read_body(data: Data<'_>, limits: CallerLimits) -> Result<Vec<u8>, CallerResponse> {
    let limit: ByteUnit = limits.body.bytes();
    let read = tokio::time::timeout(limits.body_time, data.open(limit).into_bytes()).await;
    let body = match read {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            return Err(CallerResponse::rejected(400, "bad_request", error.to_string()));
        }
        Err(_) => {
            let text = "the body did not arrive in time".to_owned();
            return Err(CallerResponse::rejected(408, "body_timeout", text));
        }
    };
    if !body.is_complete() {
        let text = format!("the body is longer than {} bytes", limits.body);
        return Err(CallerResponse::rejected(413, "body_too_long", text));
    }
    Ok(body.into_inner())
}

/// Accepts calls of every method to all paths that no other route matches.
#[derive(Clone)]
struct ServiceCalls;

#[rocket::async_trait]
impl Handler for ServiceCalls {
    async fn handle<'r>(
        &self,
        request: &'r Request<'_>,
        data: Data<'r>,
    ) -> rocket::route::Outcome<'r> {
        let Some(state) = request.rocket().state::<Arc<CallerState>>() else {
            return rocket::route::Outcome::error(rocket::http::Status::InternalServerError);
        };
        let keyed = request.headers().contains("idempotency-key");
        let response = call_service(request, data, state).await;
        let response = if keyed { response.of_copy() } else { response };
        rocket::route::Outcome::from(request, response)
    }
}

async fn call_service(
    request: &Request<'_>,
    data: Data<'_>,
    state: &Arc<CallerState>,
) -> CallerResponse {
    let headers = OwnedHeaders::of(request);
    if let Err(response) = headers.check(state.limits) {
        return response;
    }
    let body = match read_body(data, state.limits).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let request = match call_request(request, &headers, body) {
        Ok(request) => Box::new(request),
        Err(error) => return CallerResponse::rejected(400, "bad_request", error.to_string()),
    };
    let keyed = request.key.is_some();
    match state.open(|caller| Input::Call { caller, request }) {
        Ok(answer) => caller_stream::respond(answer, AnswerShape::Text, false).await,
        Err(refusal) if keyed => CallerResponse::refused(None, &refusal.of_copy()),
        Err(refusal) => CallerResponse::refused(None, &refusal),
    }
}

fn call_request(
    request: &Request<'_>,
    headers: &OwnedHeaders,
    body: Vec<u8>,
) -> Result<CallRequest, CallerError> {
    let view = headers.view();
    Ok(CallRequest {
        token_hash: view.token_hash(),
        method: request.method().as_str().into(),
        path: request.uri().to_string().into(),
        body: body.into(),
        media: headers.media.as_deref().map(Arc::from),
        deadline: view.deadline()?,
        key: view.key()?,
    })
}

/// Returns all routes for callers.
pub(crate) fn routes() -> Vec<Route> {
    let mut routes = rocket::routes![health, completions, chat];
    let methods = [Method::Get, Method::Post, Method::Put, Method::Patch, Method::Delete];
    for method in methods {
        routes.push(Route::ranked(20, method, "/<path..>", ServiceCalls));
    }
    routes
}
