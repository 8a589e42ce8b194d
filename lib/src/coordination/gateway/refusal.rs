//! Error responses by the gateway itself.

use std::fmt;
use std::time::Duration;

use crate::state::PartId;

/// Why a request is refused or fails without a server's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// This process has no configuration yet.
    NoConfiguration,
    /// The configuration was not verified recently enough to check keys against it.
    StaleConfiguration,
    /// The host is stopping and could not finish the request.
    Stopping,
    /// No route matches the request.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The request's head is malformed.
    BadRequest,
    /// The body is larger than the configuration allows.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The memory for request bodies is exhausted.
    NoBufferSpace,
    /// No server of the service is known.
    NoServer,
    /// All servers that could serve it are in evacuated zones.
    ZonesEvacuated,
    /// All servers that could serve it asked for a pause.
    ServersPaused,
    /// All servers that could serve it name limits, and its turn would come too late.
    ServersLimited,
    /// The prompt is larger than the engines' memory.
    PromptTooLarge,
    /// A part of its prompt crashes servers.
    PartIsolated,
    /// It was lost with its server, and a part of its prompt may have crashed several.
    PartSuspected,
    /// Engine memory could not be reserved.
    NoMemory,
    /// No server can start before the caller abandons the request.
    Overload,
    /// Its value is too low under the current load.
    TooCostly,
    /// More urgent requests of its service are not served on time.
    LowPriority,
    /// Its customer asks for more than its share of the service.
    CustomerShare,
    /// The deadline passed while the request waited at this host.
    WaitedTooLong,
    /// The servers that it was sent to declined to run it.
    Declined,
    /// No server could be reached.
    Unreachable,
    /// A server may have run it, but no complete response was received.
    AnswerLost,
    /// The deadline passed while a server was working on it.
    ServerTimeout,
}

impl RefusalReason {
    /// Returns the reason's name in logs and metrics.
    ///
    /// ```
    /// use wasabicrank_lib::coordination::RefusalReason;
    /// assert_eq!(RefusalReason::NoRoute.name(), "no_route");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::NoConfiguration => "no_configuration",
            RefusalReason::StaleConfiguration => "stale_configuration",
            RefusalReason::Stopping => "stopping",
            RefusalReason::NoRoute => "no_route",
            RefusalReason::UnknownKey => "unknown_key",
            RefusalReason::BadRequest => "bad_request",
            RefusalReason::BodyTooLarge => "body_too_large",
            RefusalReason::BodyTimeout => "body_timeout",
            RefusalReason::NoBufferSpace => "no_buffer_space",
            RefusalReason::NoServer => "no_server",
            RefusalReason::ZonesEvacuated => "zones_evacuated",
            RefusalReason::ServersPaused => "servers_paused",
            RefusalReason::ServersLimited => "servers_limited",
            RefusalReason::PromptTooLarge => "prompt_too_large",
            RefusalReason::PartIsolated => "part_isolated",
            RefusalReason::PartSuspected => "part_suspected",
            RefusalReason::NoMemory => "no_memory",
            RefusalReason::Overload => "overload",
            RefusalReason::TooCostly => "too_costly",
            RefusalReason::LowPriority => "low_priority",
            RefusalReason::CustomerShare => "customer_share",
            RefusalReason::WaitedTooLong => "waited_too_long",
            RefusalReason::Declined => "declined",
            RefusalReason::Unreachable => "unreachable",
            RefusalReason::AnswerLost => "answer_lost",
            RefusalReason::ServerTimeout => "server_timeout",
        }
    }

    /// Returns the HTTP status; 503 and 408 promise that the request has not run and never will.
    pub fn status(self) -> u16 {
        match self {
            RefusalReason::NoRoute => 404,
            RefusalReason::UnknownKey => 401,
            RefusalReason::BadRequest => 400,
            RefusalReason::BodyTooLarge => 413,
            RefusalReason::BodyTimeout => 408,
            RefusalReason::AnswerLost | RefusalReason::PartSuspected => 502,
            RefusalReason::ServerTimeout => 504,
            RefusalReason::NoConfiguration
            | RefusalReason::StaleConfiguration
            | RefusalReason::Stopping
            | RefusalReason::NoBufferSpace
            | RefusalReason::NoServer
            | RefusalReason::ZonesEvacuated
            | RefusalReason::ServersPaused
            | RefusalReason::ServersLimited
            | RefusalReason::PromptTooLarge
            | RefusalReason::PartIsolated
            | RefusalReason::NoMemory
            | RefusalReason::Overload
            | RefusalReason::TooCostly
            | RefusalReason::LowPriority
            | RefusalReason::CustomerShare
            | RefusalReason::WaitedTooLong
            | RefusalReason::Declined
            | RefusalReason::Unreachable => 503,
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The final response to a request that no server responds to.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct GatewayRefusal {
    pub reason: RefusalReason,
    /// When the caller may retry; only set if the request has not run.
    pub retry_after: Option<Duration>,
    /// Why the request was not placed again, if a server may have run it and `reason` says only that.
    pub cause: Option<RefusalReason>,
    /// The part of the prompt because of which it is refused.
    pub part: Option<PartId>,
}

impl GatewayRefusal {
    /// Creates a refusal without a retry delay.
    pub fn new(reason: RefusalReason) -> GatewayRefusal {
        GatewayRefusal { reason, retry_after: None, cause: None, part: None }
    }

    /// Creates a refusal after which the caller may retry after `after`.
    pub fn retry_after(reason: RefusalReason, after: Duration) -> GatewayRefusal {
        GatewayRefusal { reason, retry_after: Some(after), cause: None, part: None }
    }

    /// Returns this refusal without its promise that the request has not run.
    pub(crate) fn without_promise(self) -> GatewayRefusal {
        GatewayRefusal {
            reason: RefusalReason::AnswerLost,
            retry_after: None,
            cause: Some(self.cause.unwrap_or(self.reason)),
            part: self.part,
        }
    }
}

// The gateway's log lines print refusals with this format, in which `retry_after` is called
// `come_back`.
impl fmt::Debug for GatewayRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayRefusal")
            .field("reason", &self.reason)
            .field("come_back", &self.retry_after)
            .field("cause", &self.cause)
            .finish()
    }
}
