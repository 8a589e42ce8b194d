//! Callers: they keep connections open until a host closes them, and judge what they get.

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

use crate::evidence::End;
use crate::evidence::Evidence;
use crate::evidence::Kind;
use crate::evidence::Sent;
use crate::server::call_text;
use crate::server::event_count;
use crate::server::event_text;

/// How long a connection may take.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// How much longer than a caller's patience its answer is waited for, to see what comes of it.
const LATE_TIME: Duration = Duration::from_secs(4);
/// One request in so many is left before its answer.
const LEAVES: u32 = 25;
/// How often callers choose each kind.
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
pub(crate) struct Ask {
    pub(crate) id: String,
    /// Nothing for a probe of a route that was just added.
    pub(crate) kind: Option<Kind>,
    pub(crate) path: String,
    pub(crate) key: String,
    /// When its caller leaves.
    pub(crate) leave: Option<Duration>,
}

impl Ask {
    /// Draws a usual request.
    pub(crate) fn draw(random: &mut SmallRng, id: String, key: String) -> Ask {
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
        let leaves = random.random_range(0..LEAVES) == 0;
        let leave = leaves.then(|| Duration::from_millis(random.random_range(5..400)));
        let path = format!("/{}/{}", kind.route(), random.random_range(0..100));
        Ask { id, kind: Some(kind), path, key, leave }
    }

    fn patience(&self) -> Duration {
        self.kind.map_or(Duration::from_millis(800), Kind::patience)
    }
}

/// A connection that is used until the host closes it.
pub(crate) struct Connection {
    target: Target,
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    pub(crate) async fn open(target: Target) -> Option<Connection> {
        let stream = timeout(CONNECT_TIME, TcpStream::connect(target.address)).await.ok()?.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // What went wrong shows at the request.
            let _ = connection.await;
        });
        Some(Connection { target, sender })
    }

    /// Returns whether another request may be sent on it.
    pub(crate) async fn is_open(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and notes how it ends; the connection is gone unless it is returned.
    pub(crate) async fn send(mut self, ask: Ask, evidence: &Evidence) -> Option<Connection> {
        let sent = Sent {
            kind: ask.kind,
            path: ask.path.clone(),
            host: self.target.host,
            start: self.target.start,
            key: ask.key.clone(),
            at: evidence.now(),
            end: None,
        };
        evidence.seen().sent.insert(ask.id.clone(), sent);
        let answering = async {
            let response = self.sender.send_request(request(&ask)).await.ok()?;
            Some(read_answer(&ask, response, evidence).await)
        };
        let time = ask.leave.unwrap_or(ask.patience() + LATE_TIME);
        let (end, is_usable) = match timeout(time, answering).await {
            Ok(Some(end)) => {
                let is_usable = matches!(end, End::Answered { .. });
                (Some(end), is_usable)
            }
            Ok(None) => (Some(End::Broken), false),
            Err(_) if ask.leave.is_some() => (Some(End::Left), false),
            Err(_) => (None, false),
        };
        let now = evidence.now();
        if let Some(sent) = evidence.seen().sent.get_mut(&ask.id) {
            sent.end = end.map(|end| (now, end));
        }
        is_usable.then_some(self)
    }
}

fn request(ask: &Ask) -> Request<Full<Bytes>> {
    let tokens = match ask.kind {
        Some(Kind::LongStream) => "600000,400",
        _ => "3000,400",
    };
    let body = Full::new(Bytes::from(vec![b'x'; 200]));
    let mut request = Request::new(body);
    *request.method_mut() = http::Method::POST;
    if let Ok(uri) = ask.path.parse() {
        *request.uri_mut() = uri;
    }
    let fields = [
        ("host", "soak.example".to_owned()),
        ("x-request-id", ask.id.clone()),
        ("x-deadline-ms", ask.patience().as_millis().to_string()),
        ("authorization", format!("Bearer {}", ask.key)),
        ("x-model", "m".to_owned()),
        ("x-token-usage", tokens.to_owned()),
        ("x-tenant", "forged".to_owned()),
    ];
    for (name, value) in fields {
        if let Ok(value) = value.parse() {
            request.headers_mut().insert(name, value);
        }
    }
    request
}

/// Reads an answer to its end; tells at once of one that is wrong.
async fn read_answer(ask: &Ask, response: Response<Incoming>, evidence: &Evidence) -> End {
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
    let Some(kind) = ask.kind.filter(|_| head.status.is_success()) else {
        return if is_complete { End::Answered { status, is_whole: false } } else { End::Broken };
    };
    let expected = expected_answer(kind, &ask.id);
    let is_prefix = expected.as_bytes().starts_with(&bytes);
    let is_whole = is_complete && expected.as_bytes() == bytes;
    let is_signed = head.headers.contains_key("x-response-signature");
    if !is_prefix || !is_signed || (is_complete && !is_whole) {
        let text = String::from_utf8_lossy(&bytes);
        evidence.break_promise(format!(
            "{kind:?} {} got a wrong answer, complete {is_complete}: {text}",
            ask.id
        ));
    }
    if is_complete { End::Answered { status, is_whole } } else { End::Broken }
}

fn expected_answer(kind: Kind, id: &str) -> String {
    if !kind.is_stream() {
        return call_text(id);
    }
    (1..=event_count(id)).map(|number| event_text(id, number)).collect()
}

/// Returns whether a host says that it takes new connections.
pub(crate) async fn is_ready(address: SocketAddr) -> bool {
    let asking = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // What went wrong shows at the request.
            let _ = connection.await;
        });
        let request = Request::get("/ready").header("host", "soak").body(Full::new(Bytes::new()));
        let response = sender.send_request(request.ok()?).await.ok()?;
        Some(response.status() == StatusCode::OK)
    };
    timeout(CONNECT_TIME, asking).await.ok().flatten().unwrap_or(false)
}
