//! The interface to the HTTP conventions of callers and servers: translates request and response heads
//! to and from the gateway's types.

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
use crate::state::RequestRate;
use crate::state::Server;
use crate::state::ServerId;

/// Metadata that a server gets in addition to the caller's request.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamHead<'a> {
    /// The server that shall run the request; any other server declines it.
    pub server: &'a ServerId,
    /// The engines that prefill the prompt together with `server`.
    pub helpers: &'a [Helper],
    /// The customer that sent the request.
    pub customer: Option<&'a CustomerName>,
    /// The time until the request's deadline.
    pub time_left: Duration,
    /// The request's urgency; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// The number of the last event that the caller received.
    pub last_event: Option<u64>,
}

/// The metadata of a server's response.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ResponseFacts {
    /// The request that the response belongs to, according to the server.
    pub request_id: Option<String>,
    /// Whether the server signed the response.
    pub is_signed: bool,
    /// Whether the server states that it did not run the request and never will.
    pub not_run: bool,
    /// The address of the faulty server, if it is not the one that responded.
    pub at_fault: Option<String>,
    /// After how long the server accepts requests again.
    pub retry_after: Option<Duration>,
    /// Whether the server states that it is leaving and shall get no more requests.
    pub is_leaving: bool,
    /// What the server states of the rate of requests that it accepts.
    pub limit: LimitStatement,
    /// Whether the server asks for a pause, in which it wants nothing from this host.
    pub pause: Option<PauseRequest>,
}

/// A server's request for a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseRequest {
    /// It wants nothing for this time.
    For(Duration),
    /// It states a time that cannot be parsed.
    Invalid,
}

/// A server's statement on the rate of requests that it accepts from all hosts together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitStatement {
    /// It names no limit.
    #[default]
    Absent,
    /// It accepts this rate.
    Rate(RequestRate),
    /// It states a limit that cannot be parsed.
    Invalid,
    /// The response is not the server's own.
    Foreign,
}

/// What a response to a health check states of its server's cold period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdStatement {
    /// The server is cold for this time; zero if it is not cold.
    Left(Duration),
    /// It states nothing that can be parsed.
    Absent,
    /// The response is that of another server.
    Foreign,
}

/// An order or question to an engine, as an HTTP request.
pub type Order = Request<Full<Bytes>>;

/// An engine's response to an order that reserves or releases memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order was carried out.
    Done,
    /// The engine refused the order and will not carry it out.
    Refused,
}

/// An invalid request head; the text names the header field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadError(pub String);

/// Translates request and response heads; it makes no decisions.
pub trait Dialect {
    /// Parses a request's head.
    fn request_facts(&self, head: &request::Parts) -> Result<RequestFacts, HeadError>;

    /// Returns the header fields to send to a server, made from those of the caller without the
    /// hop-by-hop fields.
    fn upstream_headers(&self, fields: HeaderMap, send: &UpstreamHead<'_>) -> HeaderMap;

    /// Parses a response's head.
    fn response_facts(&self, head: &response::Parts) -> ResponseFacts;

    /// Returns the order that reserves memory for `hold`, or renews the reservation.
    fn reserve_order(&self, server: &Server, ticket: &MemoryTicket, hold: Duration) -> Order;

    /// Returns the order that releases reserved memory.
    fn release_order(&self, server: &Server, ticket: &MemoryTicket) -> Order;

    /// Returns the request for an engine's report on its reservations.
    fn report_request(&self, server: &Server) -> Order;

    /// Returns whether an engine's report states that a request uses `ticket`.
    fn reports_use(&self, report: &[u8], ticket: &MemoryTicket) -> bool;

    /// Returns the health check of `server` at `path`; `None` if the path is invalid.
    fn health_request(&self, server: &Server, path: &str) -> Option<Order>;

    /// Parses the response to a health check of `server`.
    fn cold_statement(&self, head: &response::Parts, server: &ServerId) -> ColdStatement;

    /// Parses the response to an order.
    fn order_outcome(&self, head: &response::Parts) -> OrderOutcome;
}
