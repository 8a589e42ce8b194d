//! Stand-ins for plain services and model engines, with the faults of both.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
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
use crate::evidence::Run;
use crate::http_server::Answer;
use crate::http_server::BrokenOff;
use crate::http_server::Listening;
use crate::http_server::listen;

/// Requests that one server takes at once.
const SLOTS: u32 = 24;
/// The time between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// The work of a plain call.
const CALL_TIME: Duration = Duration::from_millis(15);
/// How late an order is carried out that is not answered.
const ORDER_LATE: Duration = Duration::from_millis(2_500);
/// The platform's bound for memory that no request has used.
const UNUSED_MEMORY_MS: Millis = 9_000;
/// The same after its last request has ended.
const USED_MEMORY_MS: Millis = 4_000;

/// What a server does to requests that it takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Manner {
    /// Answers them well.
    #[default]
    Good,
    /// Runs them and closes the connection without an answer.
    LosesAnswers,
    /// Breaks answers off in the middle.
    BreaksOff,
    /// Takes them and says nothing.
    Mute,
    /// Answers with another request's id.
    Confuses,
    /// Says that it is full.
    Sheds,
    /// Leaves orders unanswered and carries them out late.
    LateOrders,
}

/// A part of the memory that is set aside.
#[derive(Debug, Clone, Copy)]
struct Ticket {
    since: Millis,
    until: Millis,
    /// Requests that use it now, and when the last one ended.
    users: u32,
    last_use: Option<Millis>,
}

/// All servers by the address that is published, so that a helper's memory can be looked up.
pub(crate) type Registry = Arc<Mutex<HashMap<SocketAddr, Weak<ServerState>>>>;

/// One start of one server.
pub(crate) struct ServerState {
    pub(crate) id: String,
    pub(crate) service: &'static str,
    manner: Mutex<Manner>,
    running: AtomicU32,
    tickets: Mutex<HashMap<String, Ticket>>,
    registry: Registry,
    evidence: Evidence,
}

/// A running server behind a relay, through which its network is disturbed.
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
            manner: Mutex::default(),
            running: AtomicU32::new(0),
            tickets: Mutex::default(),
            registry: registry.clone(),
            evidence: evidence.clone(),
        });
        let serving = state.clone();
        let listening = listen(SocketAddr::from(([127, 0, 0, 1], 0)), move |request| {
            let state = serving.clone();
            Box::pin(async move { state.answer(request).await })
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

    pub(crate) fn set_manner(&self, manner: Manner) {
        *lock(&self.state.manner) = manner;
    }

    /// Forgets what was set aside, as a process does that crashed.
    pub(crate) fn forget(&self) {
        lock(&self.state.tickets).clear();
    }

    /// Returns the memory that is set aside though no request needs it, as text; empty if none is.
    pub(crate) fn leaked(&self) -> Vec<String> {
        let now = self.state.evidence.now();
        let tickets = lock(&self.state.tickets);
        let is_leaked = |ticket: &&Ticket| {
            let bound = match ticket.last_use {
                Some(last) => last + USED_MEMORY_MS,
                None => ticket.since + UNUSED_MEMORY_MS,
            };
            ticket.until > now && ticket.users == 0 && now > bound
        };
        let leaked = tickets.values().filter(is_leaked);
        leaked.map(|ticket| format!("{}: {ticket:?} at {now} ms", self.state.id)).collect()
    }
}

impl ServerState {
    fn manner(&self) -> Manner {
        *lock(&self.manner)
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Answer> {
        let (head, body) = request.into_parts();
        // A body that does not come whole belongs to a caller that is gone.
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
        let declined = is_full || self.manner() == Manner::Sheds;
        let missing = if declined { None } else { self.missing_helper(&head.headers) };
        let is_declined = declined || missing.is_some();
        let at = self.evidence.now();
        self.evidence.seen().runs.push(Run {
            request: id.clone(),
            server: self.id.clone(),
            service: self.service.to_owned(),
            customer: field("x-tenant"),
            has_key: field("authorization").is_some(),
            patience: field("x-deadline-ms").and_then(|text| text.parse().ok()),
            at,
            is_declined,
        });
        if is_declined {
            let fields = match missing {
                Some(server) => format!("x-not-executed: 1\nat-server: {server}"),
                None => "x-not-executed: 1".to_owned(),
            };
            return respond(StatusCode::SERVICE_UNAVAILABLE, &fields, "");
        }
        let using = Using::begin(&self, &head.headers);
        match Kind::of_path(head.uri.path()).is_some_and(Kind::is_stream) {
            true => self.stream(&id, field("last-event-id"), using),
            false => self.call(&id, using).await,
        }
    }

    async fn call(self: Arc<Self>, id: &str, _using: Using) -> Response<Answer> {
        sleep(CALL_TIME).await;
        let text = call_text(id);
        match self.manner() {
            Manner::Mute => {
                sleep(Duration::from_secs(30)).await;
                respond(StatusCode::SERVICE_UNAVAILABLE, "", "")
            }
            Manner::LosesAnswers => broken(),
            Manner::BreaksOff => {
                let (pieces, receiver) = mpsc::channel(2);
                // The receiver is held below; both pieces find room.
                let _ = pieces.try_send(Ok(Bytes::from(text[..text.len() / 2].to_owned())));
                let _ = pieces.try_send(Err(BrokenOff));
                signed(id, Answer::Pieces(receiver))
            }
            Manner::Confuses => signed("another", whole(&text)),
            Manner::Good | Manner::Sheds | Manner::LateOrders => signed(id, whole(&text)),
        }
    }

    fn stream(self: Arc<Self>, id: &str, last: Option<String>, using: Using) -> Response<Answer> {
        let manner = self.manner();
        let shown = if manner == Manner::Confuses { "another" } else { id };
        let first = last.and_then(|last| last.parse().ok()).unwrap_or(0) + 1;
        let (pieces, receiver) = mpsc::channel(4);
        let id = id.to_owned();
        let events = event_count(&id);
        let breaks_at = (manner == Manner::BreaksOff).then(|| (first + events) / 2);
        tokio::spawn(async move {
            let _using = using;
            if matches!(manner, Manner::Mute) {
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
                    // The caller may be gone, which ends the answer as well.
                    let _ = pieces.send(Err(BrokenOff)).await;
                    return;
                }
            }
        });
        if manner == Manner::LosesAnswers {
            return broken();
        }
        signed(shown, Answer::Pieces(receiver))
    }

    async fn order(self: Arc<Self>, body: &[u8]) -> Response<Answer> {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let arrived = self.evidence.now();
        if self.manner() == Manner::LateOrders {
            let state = self.clone();
            tokio::spawn(async move {
                sleep(ORDER_LATE).await;
                state.carry_out(&order, arrived);
            });
            return broken();
        }
        self.carry_out(&order, arrived);
        respond(StatusCode::OK, "", r#"{"free":450000}"#)
    }

    /// Carries an order out whose time counts from its arrival.
    fn carry_out(&self, order: &Value, arrived: Millis) {
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

    /// Returns a helper that is gone or lacks the memory that it is asked for.
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

    fn use_ticket(&self, name: &str, is_begin: bool) {
        let mut tickets = lock(&self.tickets);
        let Some(ticket) = tickets.get_mut(name) else { return };
        if is_begin {
            ticket.users += 1;
            if ticket.users > 1 {
                self.evidence.break_promise(format!("two requests use ticket {name}"));
            }
        } else {
            ticket.users = ticket.users.saturating_sub(1);
            ticket.last_use = Some(self.evidence.now());
        }
    }
}

/// A request that takes a slot, and memory at helpers, until this is dropped.
struct Using {
    state: Arc<ServerState>,
    tickets: Vec<(Arc<ServerState>, String)>,
}

impl Using {
    fn begin(state: &Arc<ServerState>, fields: &HeaderMap) -> Using {
        state.running.fetch_add(1, Ordering::SeqCst);
        let registry = lock(&state.registry);
        let held = helpers(fields).into_iter().filter_map(|(address, ticket)| {
            Some((registry.get(&address).and_then(Weak::upgrade)?, ticket?))
        });
        let tickets: Vec<_> = held.collect();
        drop(registry);
        for (holder, name) in &tickets {
            holder.use_ticket(name, true);
        }
        Using { state: state.clone(), tickets }
    }
}

impl Drop for Using {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        for (holder, name) in &self.tickets {
            holder.use_ticket(name, false);
        }
    }
}

/// Returns the whole answer of a plain call.
pub(crate) fn call_text(id: &str) -> String {
    format!("the answer to {id}, and to no other request")
}

/// Returns the number of events of a request's stream, wherever it runs.
pub(crate) fn event_count(id: &str) -> u64 {
    4 + id.bytes().map(u64::from).sum::<u64>() % 20
}

/// Returns one event of a request's stream.
pub(crate) fn event_text(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} part {number}\n\n")
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

fn whole(text: &str) -> Answer {
    Answer::Whole(Full::new(Bytes::from(text.to_owned())))
}

/// An answer whose connection ends before its first byte of body.
fn broken() -> Response<Answer> {
    let (pieces, receiver) = mpsc::channel(1);
    // The receiver is held below; the piece finds room.
    let _ = pieces.try_send(Err(BrokenOff));
    Response::new(Answer::Pieces(receiver))
}

fn signed(id: &str, answer: Answer) -> Response<Answer> {
    let mut response = Response::new(answer);
    for (name, value) in [("x-response-signature", "signature"), ("x-request-id", id)] {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

fn respond(status: StatusCode, fields: &str, body: &str) -> Response<Answer> {
    let mut response = Response::new(whole(body));
    *response.status_mut() = status;
    for (name, value) in fields.lines().filter_map(|line| line.split_once(": ")) {
        let name = http::HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value.parse()) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}
