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
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::sleep;
use wasabicrank_testutils::relay::Relay;
use wasabicrank_testutils::server::lock;

use crate::behavior::Behavior;
use crate::crashing::CRASH_DELAY;
use crate::crashing::crashes_engine;
use crate::evacuations::zone_of;
use crate::evidence::Evidence;
use crate::evidence::Kind;
use crate::evidence::OrderSeen;
use crate::evidence::Run;
use crate::http_server::Aborted;
use crate::http_server::Listening;
use crate::http_server::ResponseBody;
use crate::http_server::Spoiler;
use crate::http_server::listen;
use crate::limits::LIMIT_FIELD;
use crate::responses::aborted_response;
use crate::responses::call_text;
use crate::responses::event_count;
use crate::responses::event_text;
use crate::responses::field;
use crate::responses::full_body;
use crate::responses::helpers;
use crate::responses::respond;
use crate::responses::retry_after;
use crate::tickets::Tickets;
use crate::tickets::holder;

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
/// All servers by their published address, so that a helper's reservations can be looked up.
pub(crate) type Registry = Arc<Mutex<HashMap<SocketAddr, Weak<ServerState>>>>;

/// The state of one server instance.
pub(crate) struct ServerState {
    pub(crate) id: String,
    pub(crate) service: &'static str,
    behavior: Mutex<Behavior>,
    /// Whether it states in its responses that it is leaving.
    is_leaving: AtomicBool,
    /// The limit that it names in its responses, in requests per second.
    limit: Mutex<Option<f64>>,
    running: AtomicU32,
    tickets: Tickets,
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
            limit: Mutex::default(),
            running: AtomicU32::new(0),
            tickets: Tickets::default(),
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
        let zone = zone_of(&self.state.id);
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

    /// Makes it name a limit in all further responses, or none.
    pub(crate) fn name_limit(&self, rate: Option<f64>) {
        *lock(&self.state.limit) = rate;
    }

    /// Drops all reservations, as a crash of the process would.
    pub(crate) fn drop_tickets(&self) {
        self.state.tickets.clear();
    }

    /// Describes each reservation that outlived its bound without a request that uses it.
    pub(crate) fn leaked_tickets(&self) -> Vec<String> {
        let leaked = self.state.tickets.leaked(self.state.evidence.now());
        leaked.into_iter().map(|ticket| format!("{}: {ticket}", self.state.id)).collect()
    }
}

impl ServerState {
    fn behavior(&self) -> Behavior {
        *lock(&self.behavior)
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let id = request.headers().get("x-request-id").cloned();
        let mut response = self.clone().execute(request).await;
        if let Some(id) = id {
            response.headers_mut().entry("x-request-id").or_insert(id);
        }
        if self.is_leaving.load(Ordering::SeqCst) {
            response.headers_mut().insert("server-leaving", HeaderValue::from_static("1"));
        }
        if let Some(rate) = *lock(&self.limit)
            && let Ok(value) = rate.to_string().parse()
        {
            response.headers_mut().insert(LIMIT_FIELD, value);
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
        if head.uri.path() == "/report" {
            return self.report();
        }
        let id = field("x-request-id").unwrap_or_default();
        let is_full = self.running.load(Ordering::SeqCst) >= SLOTS;
        let pause = self.behavior().pause();
        let declined = is_full || pause.is_some() || self.behavior() == Behavior::Sheds;
        let missing = if declined { None } else { self.missing_helper(&head.headers) };
        let is_declined = declined || missing.is_some();
        let is_stream = Kind::of_path(head.uri.path()).is_some_and(Kind::is_stream);
        let is_crashing =
            is_stream && field("x-prompt-prefix").is_some_and(|parts| crashes_engine(&parts));
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
            is_crashing,
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
        match is_stream {
            true if is_crashing => self.crash(&id, using),
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

    /// Begins to answer and crashes.
    fn crash(self: Arc<Self>, id: &str, using: RequestGuard) -> Response<ResponseBody> {
        let (pieces, receiver) = mpsc::channel(1);
        let state = self.clone();
        tokio::spawn(async move {
            let _using = using;
            sleep(CRASH_DELAY).await;
            state.evidence.observations().crashing.push(state.id.clone());
            pieces.closed().await;
        });
        self.signed(id, ResponseBody::Pieces(receiver))
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
                state.tickets.execute(&order, arrived, state.evidence.now());
            });
            return aborted_response();
        }
        self.tickets.execute(&order, arrived, self.evidence.now());
        respond(StatusCode::OK, "", r#"{"free":450000}"#)
    }

    fn report(&self) -> Response<ResponseBody> {
        let tickets = self.tickets.report(self.evidence.now());
        respond(StatusCode::OK, "", &json!({ "admission_tickets": tickets }).to_string())
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
                Some(name) => state.tickets.is_held(name, now),
                None => true,
            };
            (!state.as_ref().is_some_and(has)).then_some(address)
        })
    }

    fn begin_use(&self, name: &str) {
        if self.tickets.begin_use(name) > 1 {
            self.evidence.record_violation(format!("concurrent requests use ticket {name}"));
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
            holder.begin_use(name);
        }
        RequestGuard { state: state.clone(), tickets }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        for (holder, name) in &self.tickets {
            holder.tickets.end_use(name, holder.evidence.now());
        }
    }
}
