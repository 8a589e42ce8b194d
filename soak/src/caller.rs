//! Callers: they reuse connections until a host closes them, and check the responses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand::rngs::SmallRng;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::crashing::draw_parts;
use crate::evidence::Evidence;
use crate::evidence::Kind;
use crate::evidence::Outcome;
use crate::evidence::Sent;
use crate::responses::call_text;
use crate::responses::event_count;
use crate::responses::event_text;
use crate::server::SIGNATURE;

/// Time limit to establish a connection, and for a readiness check.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long after a request's timeout its response is still awaited, to record the outcome.
const LATE_RESPONSE_TIME: Duration = Duration::from_secs(4);
/// One in this many requests is given a time after which its caller cancels it.
const CANCEL_ODDS: u32 = 25;
/// The relative frequency of each kind.
const WEIGHTS: [(Kind, u32); 5] = [
    (Kind::Stream, 6),
    (Kind::SingleStream, 2),
    (Kind::LongStream, 1),
    (Kind::Once, 4),
    (Kind::Often, 5),
];

/// Where a request goes: the host, which start of its process, and its address.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Target {
    pub(crate) host: usize,
    pub(crate) start: u64,
    pub(crate) address: SocketAddr,
}

/// A request to be sent.
pub(crate) struct CallerRequest {
    pub(crate) id: String,
    /// `None` for a probe of an added route.
    pub(crate) kind: Option<Kind>,
    pub(crate) path: String,
    pub(crate) key: String,
    /// The parts of its prompt.
    pub(crate) parts: String,
    /// When the caller cancels it, counted from sending.
    pub(crate) cancel_after: Option<Duration>,
}

impl CallerRequest {
    /// Draws a request of a random kind.
    pub(crate) fn draw(
        random: &mut SmallRng,
        id: String,
        key: String,
        has_crashing: bool,
    ) -> CallerRequest {
        let all: u32 = WEIGHTS.iter().map(|(_, weight)| weight).sum();
        let mut left = random.random_range(0..all);
        let mut kind = Kind::Often;
        for (one, weight) in WEIGHTS {
            if left < weight {
                kind = one;
                break;
            }
            left -= weight;
        }
        let is_cancelled = random.random_range(0..CANCEL_ODDS) == 0;
        let cancel_after = is_cancelled.then(|| Duration::from_millis(random.random_range(5..400)));
        let path = format!("/{}/{}", kind.route(), random.random_range(0..100));
        let parts = draw_parts(random, &id, has_crashing);
        CallerRequest { id, kind: Some(kind), path, key, parts, cancel_after }
    }

    fn timeout(&self) -> Duration {
        self.kind.map_or(Duration::from_millis(800), Kind::timeout)
    }
}

/// A connection that is used until the host closes it.
pub(crate) struct Connection {
    target: Target,
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    pub(crate) async fn open(target: Target) -> Option<Connection> {
        let stream =
            timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address)).await.ok()?.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // An error is reported by the request itself.
            let _ = connection.await;
        });
        Some(Connection { target, sender })
    }

    /// Returns whether another request may be sent on it.
    pub(crate) async fn is_open(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and records its outcome; returns the connection if it is still usable.
    pub(crate) async fn send(
        mut self,
        call: CallerRequest,
        evidence: &Evidence,
    ) -> Option<Connection> {
        let sent = Sent {
            kind: call.kind,
            path: call.path.clone(),
            host: self.target.host,
            start: self.target.start,
            key: call.key.clone(),
            at: evidence.now(),
            end: None,
        };
        evidence.observations().sent.insert(call.id.clone(), sent);
        let answering = async {
            let response = self.sender.send_request(build_request(&call)).await.ok()?;
            record_leaving(self.target, &response, evidence);
            Some(read_response(&call, response, evidence).await)
        };
        let time = call.cancel_after.unwrap_or(call.timeout() + LATE_RESPONSE_TIME);
        let (end, is_usable) = match timeout(time, answering).await {
            Ok(Some(end)) => {
                let is_usable = matches!(end, Outcome::Answered { .. });
                (Some(end), is_usable)
            }
            Ok(None) => (Some(Outcome::Broken), false),
            Err(_) if call.cancel_after.is_some() => (Some(Outcome::Left), false),
            Err(_) => (None, false),
        };
        let now = evidence.now();
        if let Some(sent) = evidence.observations().sent.get_mut(&call.id) {
            sent.end = end.map(|end| (now, end));
        }
        is_usable.then_some(self)
    }
}

fn build_request(call: &CallerRequest) -> Request<Full<Bytes>> {
    let tokens = match call.kind {
        Some(Kind::LongStream) => "600000,400",
        _ => "3000,400",
    };
    let body = Full::new(Bytes::from(vec![b'x'; 200]));
    let mut request = Request::new(body);
    *request.method_mut() = http::Method::POST;
    if let Ok(uri) = call.path.parse() {
        *request.uri_mut() = uri;
    }
    let fields = [
        ("host", "soak.example".to_owned()),
        ("x-request-id", call.id.clone()),
        ("x-deadline-ms", call.timeout().as_millis().to_string()),
        ("authorization", format!("Bearer {}", call.key)),
        ("x-model", "m".to_owned()),
        ("x-token-usage", tokens.to_owned()),
        ("x-prompt-prefix", call.parts.clone()),
        ("x-tenant", "forged".to_owned()),
    ];
    for (name, value) in fields {
        if let Ok(value) = value.parse() {
            request.headers_mut().insert(name, value);
        }
    }
    request
}

/// Records a response whose server stated that it is leaving.
fn record_leaving(target: Target, response: &Response<Incoming>, evidence: &Evidence) {
    let field = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
    let (Some("1"), Some(server)) = (field("server-leaving"), field(SIGNATURE)) else { return };
    let now = evidence.now();
    let key = (server.to_owned(), target.host, target.start);
    evidence.observations().passed_on.entry(key).or_insert(now);
}

/// Reads a response to its end and records a violation if it is wrong.
async fn read_response(
    call: &CallerRequest,
    response: Response<Incoming>,
    evidence: &Evidence,
) -> Outcome {
    let (head, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut is_complete = true;
    while let Some(frame) = body.frame().await {
        match frame.map(|frame| frame.into_data()) {
            Ok(Ok(data)) => bytes.extend_from_slice(&data),
            Ok(Err(_)) => {}
            Err(_) => {
                is_complete = false;
                break;
            }
        }
    }
    let status = head.status.as_u16();
    let Some(kind) = call.kind.filter(|_| head.status.is_success()) else {
        return if is_complete {
            Outcome::Answered { status, is_whole: false }
        } else {
            Outcome::Broken
        };
    };
    let expected = expected_body(kind, &call.id);
    let is_prefix = expected.as_bytes().starts_with(&bytes);
    let is_whole = is_complete && expected.as_bytes() == bytes;
    let is_signed = head.headers.contains_key("x-response-signature");
    if !is_prefix || !is_signed || (is_complete && !is_whole) {
        let text = String::from_utf8_lossy(&bytes);
        evidence.record_violation(format!(
            "{kind:?} {} got a wrong response, complete {is_complete}: {text}",
            call.id
        ));
    }
    if is_complete { Outcome::Answered { status, is_whole } } else { Outcome::Broken }
}

fn expected_body(kind: Kind, id: &str) -> String {
    if !kind.is_stream() {
        return call_text(id);
    }
    (1..=event_count(id)).map(|number| event_text(id, number)).collect()
}

/// Returns whether a host reports that it accepts new connections.
pub(crate) async fn is_ready(address: SocketAddr) -> bool {
    let asking = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // An error is reported by the request itself.
            let _ = connection.await;
        });
        let request = Request::get("/ready").header("host", "soak").body(Full::new(Bytes::new()));
        let response = sender.send_request(request.ok()?).await.ok()?;
        Some(response.status() == StatusCode::OK)
    };
    timeout(CONNECT_TIMEOUT, asking).await.ok().flatten().unwrap_or(false)
}
