//! Simulated plain services and model engines, with their faults.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::sleep;
use wasabicrank_testutils::relay::Relay;
use wasabicrank_testutils::server::lock;

use crate::evidence::Evidence;
use crate::evidence::Kind;
use crate::evidence::Millis;
use crate::evidence::OrderSeen;
use crate::evidence::Run;
use crate::http_server::Aborted;
use crate::http_server::Listening;
use crate::http_server::ResponseBody;
use crate::http_server::Spoiler;
use crate::http_server::listen;

/// The header field that holds the id of the server that responded.
pub(crate) const SIGNATURE: &str = "x-response-signature";
/// The number of requests that one server executes concurrently.
const SLOTS: u32 = 24;
/// The time between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// The execution time of a plain call.
const CALL_DURATION: Duration = Duration::from_millis(15);
/// The pieces of an endless response: for every other request id at full speed, otherwise a byte with
/// a pause after each.
const ENDLESS_PIECE: &[u8] = &[b'a'; 16 * 1024];
const ENDLESS_PAUSE: Duration = Duration::from_millis(200);
/// The delay after which an unanswered order is executed.
const LATE_ORDER_DELAY: Duration = Duration::from_millis(2_500);
/// The platform's bound on how long memory may stay reserved that no request has used.
const UNUSED_LIMIT_MS: Millis = 9_000;
/// The same after its last request has ended.
const USED_LIMIT_MS: Millis = 4_000;

/// How a server handles the requests that it receives.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Behavior {
    /// Answers correctly.
    #[default]
    Good,
    /// Starts to execute requests, but closes the connection without a response.
    LosesAnswers,
    /// Aborts responses in the middle.
    BreaksOff,
    /// Accepts requests and sends no response content.
    Mute,
    /// Answers with another request's id.
    Confuses,
    /// Declines requests as if all slots were taken.
    Sheds,
    /// Declines requests and orders, and asks for a pause.
    TurnsAway { pause_ms: Millis },
    /// Leaves orders unanswered and executes them late.
    LateOrders,
    /// Sends a head that never ends, or a part of it.
    EndlessHead,
    /// Sends a body that never ends and holds no event.
    EndlessBody,
}

impl Behavior {
    /// Returns the pause that the server asks for.
    fn pause(self) -> Option<Millis> {
        match self {
            Behavior::TurnsAway { pause_ms } => Some(pause_ms),
            _ => None,
        }
    }
}

/// A reservation of memory.
#[derive(Debug, Clone, Copy)]
struct Ticket {
    since: Millis,
    until: Millis,
    /// The number of requests that use it now, and when the last one ended.
    users: u32,
    last_use: Option<Millis>,
}

/// All servers by their published address, so that a helper's reservations can be looked up.
pub(crate) type Registry = Arc<Mutex<HashMap<SocketAddr, Weak<ServerState>>>>;

/// The state of one server instance.
pub(crate) struct ServerState {
    pub(crate) id: String,
    pub(crate) service: &'static str,
    behavior: Mutex<Behavior>,
    /// Whether it states in its responses that it is leaving.
    is_leaving: AtomicBool,
    running: AtomicU32,
    tickets: Mutex<HashMap<String, Ticket>>,
    registry: Registry,
    evidence: Evidence,
}

/// A running server behind a relay that injects network faults.
pub(crate) struct Server {
    pub(crate) state: Arc<ServerState>,
    pub(crate) relay: Relay,
    _listening: Listening,
}

impl Server {
    pub(crate) async fn start(
        id: String,
        service: &'static str,
        registry: &Registry,
        evidence: &Evidence,
    ) -> io::Result<Server> {
        let state = Arc::new(ServerState {
            id,
            service,
            behavior: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            running: AtomicU32::new(0),
            tickets: Mutex::default(),
            registry: registry.clone(),
            evidence: evidence.clone(),
        });
        let serving = state.clone();
        let listening = listen(SocketAddr::from(([127, 0, 0, 1], 0)), move |request| {
            let state = serving.clone();
            Box::pin(async move { state.handle(request).await })
        })
        .await?;
        let relay = Relay::start(listening.address).await?;
        lock(registry).insert(relay.addr(), Arc::downgrade(&state));
        Ok(Server { state, relay, _listening: listening })
    }

    /// Returns the server's entry in the store.
    pub(crate) fn entry(&self, is_draining: bool) -> Value {
        // Hosts prefer the engines of their zone, and the first ones among these.
        let zone =
            if self.state.id.ends_with(['0', '2', '4', '6', '8']) { "zone-a" } else { "zone-b" };
        json!({
            "service": self.state.service, "address": self.relay.addr().to_string(), "zone": zone,
            "slots": SLOTS, "state": if is_draining { "draining" } else { "ready" }, "born": 1,
        })
    }

    pub(crate) fn set_behavior(&self, behavior: Behavior) {
        *lock(&self.state.behavior) = behavior;
    }

    /// Makes it state in all further responses that it is leaving.
    pub(crate) fn announce_leaving(&self) {
        self.state.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Drops all reservations, as a crash of the process would.
    pub(crate) fn drop_tickets(&self) {
        lock(&self.state.tickets).clear();
    }

    /// Describes each reservation that outlived its bound without a request that uses it.
    pub(crate) fn leaked_tickets(&self) -> Vec<String> {
        let now = self.state.evidence.now();
        let tickets = lock(&self.state.tickets);
        let is_leaked = |ticket: &&Ticket| {
            let bound = match ticket.last_use {
                Some(last) => last + USED_LIMIT_MS,
                None => ticket.since + UNUSED_LIMIT_MS,
            };
            ticket.until > now && ticket.users == 0 && now > bound
        };
        let leaked_tickets = tickets.values().filter(is_leaked);
        leaked_tickets.map(|ticket| format!("{}: {ticket:?} at {now} ms", self.state.id)).collect()
    }
}

impl ServerState {
    fn behavior(&self) -> Behavior {
        *lock(&self.behavior)
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let mut response = self.clone().execute(request).await;
        if self.is_leaving.load(Ordering::SeqCst) {
            response.headers_mut().insert("server-leaving", HeaderValue::from_static("1"));
        }
        response
    }

    async fn execute(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let (head, body) = request.into_parts();
        // An incomplete body means that its caller has disconnected.
        let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        let field = |name: &str| field(&head.headers, name);
        if field("x-expect-instance").is_some_and(|expected| expected != self.id) {
            return respond(StatusCode::MISDIRECTED_REQUEST, "", "");
        }
        if head.uri.path() == "/order" {
            return self.order(&body).await;
        }
        let id = field("x-request-id").unwrap_or_default();
        let is_full = self.running.load(Ordering::SeqCst) >= SLOTS;
        let pause = self.behavior().pause();
        let declined = is_full || pause.is_some() || self.behavior() == Behavior::Sheds;
        let missing = if declined { None } else { self.missing_helper(&head.headers) };
        let is_declined = declined || missing.is_some();
        let at = self.evidence.now();
        self.evidence.observations().runs.push(Run {
            request: id.clone(),
            server: self.id.clone(),
            service: self.service.to_owned(),
            helpers: self.helper_ids(&head.headers),
            customer: field("x-tenant"),
            has_key: field("authorization").is_some(),
            patience: field("x-deadline-ms").and_then(|text| text.parse().ok()),
            at,
            is_declined,
            pause,
            holder: helpers(&head.headers).into_iter().find_map(|(_, name)| holder(&name?)),
        });
        if is_declined {
            let fields = match (missing, pause) {
                (Some(server), _) => format!("x-not-executed: 1\nat-server: {server}"),
                (None, Some(pause)) => format!("x-not-executed: 1\n{}", retry_after(pause)),
                (None, None) => "x-not-executed: 1".to_owned(),
            };
            return respond(StatusCode::SERVICE_UNAVAILABLE, &fields, "");
        }
        let using = RequestGuard::begin(&self, &head.headers);
        if matches!(self.behavior(), Behavior::EndlessHead | Behavior::EndlessBody) {
            if let (Behavior::EndlessHead, Some(spoiler)) =
                (self.behavior(), head.extensions.get::<Spoiler>())
            {
                spoiler.spoil();
            }
            return self.endless_response(&id, using);
        }
        match Kind::of_path(head.uri.path()).is_some_and(Kind::is_stream) {
            true => self.stream(&id, field("last-event-id"), using),
            false => self.call(&id, using).await,
        }
    }

    async fn call(self: Arc<Self>, id: &str, _using: RequestGuard) -> Response<ResponseBody> {
        sleep(CALL_DURATION).await;
        let text = call_text(id);
        match self.behavior() {
            Behavior::Mute => {
                sleep(Duration::from_secs(30)).await;
                respond(StatusCode::SERVICE_UNAVAILABLE, "", "")
            }
            Behavior::LosesAnswers => aborted_response(),
            Behavior::BreaksOff => {
                let (pieces, receiver) = mpsc::channel(2);
                // Cannot fail: the receiver is held below, and the channel has room for both pieces.
                let _ = pieces.try_send(Ok(Bytes::from(text[..text.len() / 2].to_owned())));
                let _ = pieces.try_send(Err(Aborted));
                self.signed(id, ResponseBody::Pieces(receiver))
            }
            Behavior::Confuses => self.signed("another", full_body(&text)),
            // An endless response began before the call.
            Behavior::Good
            | Behavior::Sheds
            | Behavior::TurnsAway { .. }
            | Behavior::LateOrders
            | Behavior::EndlessHead
            | Behavior::EndlessBody => self.signed(id, full_body(&text)),
        }
    }

    fn stream(
        self: Arc<Self>,
        id: &str,
        last: Option<String>,
        using: RequestGuard,
    ) -> Response<ResponseBody> {
        let behavior = self.behavior();
        let shown = if behavior == Behavior::Confuses { "another" } else { id };
        let first = last.and_then(|last| last.parse().ok()).unwrap_or(0) + 1;
        let (pieces, receiver) = mpsc::channel(4);
        let id = id.to_owned();
        let events = event_count(&id);
        let breaks_at = (behavior == Behavior::BreaksOff).then(|| (first + events) / 2);
        tokio::spawn(async move {
            let _using = using;
            if matches!(behavior, Behavior::Mute) {
                pieces.closed().await;
                return;
            }
            for number in first..=events {
                sleep(EVENT_PAUSE).await;
                let event = Bytes::from(event_text(&id, number));
                let piece = match breaks_at {
                    Some(at) if at == number => Ok(event.slice(..event.len() / 2)),
                    _ => Ok(event),
                };
                if pieces.send(piece).await.is_err() {
                    return;
                }
                if breaks_at == Some(number) {
                    // The caller may have disconnected, which ends the response as well.
                    let _ = pieces.send(Err(Aborted)).await;
                    return;
                }
            }
        });
        if behavior == Behavior::LosesAnswers {
            return aborted_response();
        }
        self.signed(shown, ResponseBody::Pieces(receiver))
    }

    /// Returns a response whose signature names this server.
    fn signed(&self, id: &str, answer: ResponseBody) -> Response<ResponseBody> {
        let mut response = Response::new(answer);
        for (name, value) in [(SIGNATURE, self.id.as_str()), ("x-request-id", id)] {
            if let Ok(value) = value.parse() {
                response.headers_mut().insert(name, value);
            }
        }
        response
    }

    /// Returns a response whose body is sent until the caller disconnects.
    fn endless_response(&self, id: &str, using: RequestGuard) -> Response<ResponseBody> {
        let (pieces, receiver) = mpsc::channel(1);
        let is_slow = event_count(id).is_multiple_of(2);
        tokio::spawn(async move {
            let _using = using;
            let size = if is_slow { 1 } else { ENDLESS_PIECE.len() };
            while pieces.send(Ok(Bytes::from_static(&ENDLESS_PIECE[..size]))).await.is_ok() {
                if is_slow {
                    sleep(ENDLESS_PAUSE).await;
                }
            }
        });
        self.signed(id, ResponseBody::Pieces(receiver))
    }

    async fn order(self: Arc<Self>, body: &[u8]) -> Response<ResponseBody> {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let arrived = self.evidence.now();
        let pause = self.behavior().pause();
        if let Some(holder) = order["id"].as_str().and_then(holder) {
            let seen = OrderSeen { server: self.id.clone(), holder, at: arrived, pause };
            self.evidence.observations().orders.push(seen);
        }
        if let Some(pause) = pause {
            return respond(StatusCode::SERVICE_UNAVAILABLE, &retry_after(pause), "");
        }
        if self.behavior() == Behavior::LateOrders {
            let state = self.clone();
            tokio::spawn(async move {
                sleep(LATE_ORDER_DELAY).await;
                state.execute_order(&order, arrived);
            });
            return aborted_response();
        }
        self.execute_order(&order, arrived);
        respond(StatusCode::OK, "", r#"{"free":450000}"#)
    }

    /// Executes an order; its hold time counts from its arrival.
    fn execute_order(&self, order: &Value, arrived: Millis) {
        let mut tickets = lock(&self.tickets);
        let id = order["id"].as_str().unwrap_or_default().to_owned();
        if order["operation"] == "release" {
            tickets.remove(&id);
            return;
        }
        let until = arrived + order["hold_ms"].as_u64().unwrap_or(0);
        let now = self.evidence.now();
        tickets.retain(|_, ticket| ticket.until > now || ticket.users > 0);
        if until > now {
            let fresh = Ticket { since: now, until, users: 0, last_use: None };
            let ticket = tickets.entry(id).or_insert(fresh);
            ticket.until = ticket.until.max(until);
        }
    }

    /// Returns the ids of the helpers that still exist.
    fn helper_ids(&self, fields: &HeaderMap) -> Vec<String> {
        let registry = lock(&self.registry);
        let states = helpers(fields).into_iter().filter_map(|(address, _)| registry.get(&address));
        states.filter_map(Weak::upgrade).map(|state| state.id.clone()).collect()
    }

    /// Returns a helper that no longer exists or lacks a valid reservation that the request names.
    fn missing_helper(&self, fields: &HeaderMap) -> Option<SocketAddr> {
        let registry = lock(&self.registry);
        helpers(fields).into_iter().find_map(|(address, ticket)| {
            let state = registry.get(&address).and_then(Weak::upgrade);
            let now = self.evidence.now();
            let has = |state: &Arc<ServerState>| match &ticket {
                Some(name) => lock(&state.tickets).get(name).is_some_and(|one| one.until > now),
                None => true,
            };
            (!state.as_ref().is_some_and(has)).then_some(address)
        })
    }

    fn count_use(&self, name: &str, is_begin: bool) {
        let mut tickets = lock(&self.tickets);
        let Some(ticket) = tickets.get_mut(name) else { return };
        if is_begin {
            ticket.users += 1;
            if ticket.users > 1 {
                self.evidence.record_violation(format!("concurrent requests use ticket {name}"));
            }
        } else {
            ticket.users = ticket.users.saturating_sub(1);
            ticket.last_use = Some(self.evidence.now());
        }
    }
}

/// Occupies a slot, and reservations at helpers, until it is dropped.
struct RequestGuard {
    state: Arc<ServerState>,
    tickets: Vec<(Arc<ServerState>, String)>,
}

impl RequestGuard {
    fn begin(state: &Arc<ServerState>, fields: &HeaderMap) -> RequestGuard {
        state.running.fetch_add(1, Ordering::SeqCst);
        let registry = lock(&state.registry);
        let held = helpers(fields).into_iter().filter_map(|(address, ticket)| {
            Some((registry.get(&address).and_then(Weak::upgrade)?, ticket?))
        });
        let tickets: Vec<_> = held.collect();
        drop(registry);
        for (holder, name) in &tickets {
            holder.count_use(name, true);
        }
        RequestGuard { state: state.clone(), tickets }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        for (holder, name) in &self.tickets {
            holder.count_use(name, false);
        }
    }
}

/// Returns the complete response body of a plain call.
pub(crate) fn call_text(id: &str) -> String {
    format!("the answer to {id}, and to no other request")
}

/// Returns the number of events of a request's stream, which is the same on every server.
pub(crate) fn event_count(id: &str) -> u64 {
    4 + id.bytes().map(u64::from).sum::<u64>() % 20
}

/// Returns one event of a request's stream.
pub(crate) fn event_text(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} part {number}\n\n")
}

/// Returns the part of a reservation's name that identifies the process that ordered it.
fn holder(name: &str) -> Option<String> {
    name.split_once('-').map(|(holder, _)| holder.to_owned())
}

fn retry_after(pause: Millis) -> String {
    format!("retry-after: {}", Duration::from_millis(pause).as_secs_f64())
}

fn helpers(fields: &HeaderMap) -> Vec<(SocketAddr, Option<String>)> {
    let text = field(fields, "x-helpers").unwrap_or_default();
    let helper = |part: &str| {
        let (address, ticket) = match part.split_once('/') {
            Some((address, ticket)) => (address, Some(ticket.to_owned())),
            None => (part, None),
        };
        Some((address.trim().parse().ok()?, ticket))
    };
    text.split(',').filter_map(helper).collect()
}

fn field(fields: &HeaderMap, name: &str) -> Option<String> {
    fields.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

fn full_body(text: &str) -> ResponseBody {
    ResponseBody::Whole(Full::new(Bytes::from(text.to_owned())))
}

/// Returns a response whose connection ends before the first byte of its body.
fn aborted_response() -> Response<ResponseBody> {
    let (pieces, receiver) = mpsc::channel(1);
    // Cannot fail: the receiver is held below, and the channel has room for the piece.
    let _ = pieces.try_send(Err(Aborted));
    Response::new(ResponseBody::Pieces(receiver))
}

fn respond(status: StatusCode, fields: &str, body: &str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    for (name, value) in fields.lines().filter_map(|line| line.split_once(": ")) {
        let name = http::HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value.parse()) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}
