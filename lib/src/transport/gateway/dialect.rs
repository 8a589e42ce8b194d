//! The border to the HTTP that callers and servers speak: heads in, the gateway's types out.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::request;
use http::response;
use http_body_util::Full;

use crate::coordination::Helper;
use crate::coordination::MemoryTicket;
use crate::state::CustomerName;
use crate::state::RequestFacts;
use crate::state::Server;
use crate::state::ServerId;

/// What a server is told beside the caller's own request.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamHead<'a> {
    /// The server that is to run it; another one declines.
    pub server: &'a ServerId,
    /// The engines that read the prompt with it.
    pub helpers: &'a [Helper],
    /// The customer that asks.
    pub customer: Option<&'a CustomerName>,
    /// How long the server may work.
    pub time_left: Duration,
    /// How urgent the request is; 0 is first.
    pub urgency: Option<u8>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// What a server's answer says beside its status and body.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ResponseFacts {
    /// The request that it answers, as the server says.
    pub request_id: Option<String>,
    /// Whether the server vouches for the answer as its own.
    pub is_signed: bool,
    /// Whether the server states that it did not run the request and never will.
    pub not_run: bool,
    /// The address of the server at fault, where that is another one.
    pub at_fault: Option<String>,
    /// When the server may be asked again.
    pub retry_after: Option<Duration>,
}

/// An order to an engine, as it is sent.
pub type Order = Request<Full<Bytes>>;

/// What an engine says to an order about its memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is done.
    Done,
    /// The engine will not do it.
    Refused,
}

/// Why a request's head cannot be served; the text names the field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadError(pub String);

/// Translates heads of requests and answers; decides nothing.
pub trait Dialect {
    /// Reads a request's head.
    fn request_facts(&self, head: &request::Parts) -> Result<RequestFacts, HeadError>;

    /// Returns the fields to send to a server, from those of the caller, which have lost the fields
    /// that concern one connection only.
    fn upstream_headers(&self, fields: HeaderMap, send: &UpstreamHead<'_>) -> HeaderMap;

    /// Reads an answer's head.
    fn response_facts(&self, head: &response::Parts) -> ResponseFacts;

    /// Returns the order that sets memory aside for `hold`, or goes on to do so.
    fn reserve_order(&self, server: &Server, ticket: &MemoryTicket, hold: Duration) -> Order;

    /// Returns the order that gives memory back.
    fn release_order(&self, server: &Server, ticket: &MemoryTicket) -> Order;

    /// Reads the answer to an order.
    fn order_outcome(&self, head: &response::Parts) -> OrderOutcome;
}
