//! The bodies and heads that servers respond with, and the fields that they read from requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use tokio::sync::mpsc;

use crate::evidence::Millis;
use crate::http_server::Aborted;
use crate::http_server::ResponseBody;

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

pub(crate) fn retry_after(pause: Millis) -> String {
    format!("retry-after: {}", Duration::from_millis(pause).as_secs_f64())
}

pub(crate) fn helpers(fields: &HeaderMap) -> Vec<(SocketAddr, Option<String>)> {
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

pub(crate) fn field(fields: &HeaderMap, name: &str) -> Option<String> {
    fields.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

pub(crate) fn full_body(text: &str) -> ResponseBody {
    ResponseBody::Whole(Full::new(Bytes::from(text.to_owned())))
}

/// Returns a response whose connection ends before the first byte of its body.
pub(crate) fn aborted_response() -> Response<ResponseBody> {
    let (pieces, receiver) = mpsc::channel(1);
    // Cannot fail: the receiver is held below, and the channel has room for the piece.
    let _ = pieces.try_send(Err(Aborted));
    Response::new(ResponseBody::Pieces(receiver))
}

pub(crate) fn respond(status: StatusCode, fields: &str, body: &str) -> Response<ResponseBody> {
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
