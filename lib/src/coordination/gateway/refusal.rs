//! Answers of the gateway's own, in place of a server's.

use std::fmt;
use std::time::Duration;

/// Why a request gets no server's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// This process has no configuration yet.
    NoConfiguration,
    /// The configuration was not verified lately enough to judge keys by it.
    StaleConfiguration,
    /// The host stops and could not finish the request.
    Stopping,
    /// No route takes the request.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The request's head cannot be understood.
    BadRequest,
    /// The body is larger than the configuration allows.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The bodies held in memory take all that is set aside for them.
    NoBufferSpace,
    /// No server of the service is known.
    NoServer,
    /// The prompt is larger than the engines' memory.
    PromptTooLarge,
    /// The engines' memory could not be set aside.
    NoMemory,
    /// No server can begin before the caller gives up.
    Overload,
    /// The time ran out while the request waited here.
    WaitedTooLong,
    /// The servers that it was sent to did not run it.
    Declined,
    /// No server could be reached.
    Unreachable,
    /// A server may have run it and gave no whole answer.
    AnswerLost,
    /// A server had it when the time ran out.
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
            RefusalReason::PromptTooLarge => "prompt_too_large",
            RefusalReason::NoMemory => "no_memory",
            RefusalReason::Overload => "overload",
            RefusalReason::WaitedTooLong => "waited_too_long",
            RefusalReason::Declined => "declined",
            RefusalReason::Unreachable => "unreachable",
            RefusalReason::AnswerLost => "answer_lost",
            RefusalReason::ServerTimeout => "server_timeout",
        }
    }

    /// Returns the HTTP status; 503 and 408 say that the request has not run and never will.
    pub fn status(self) -> u16 {
        match self {
            RefusalReason::NoRoute => 404,
            RefusalReason::UnknownKey => 401,
            RefusalReason::BadRequest => 400,
            RefusalReason::BodyTooLarge => 413,
            RefusalReason::BodyTimeout => 408,
            RefusalReason::AnswerLost => 502,
            RefusalReason::ServerTimeout => 504,
            RefusalReason::NoConfiguration
            | RefusalReason::StaleConfiguration
            | RefusalReason::Stopping
            | RefusalReason::NoBufferSpace
            | RefusalReason::NoServer
            | RefusalReason::PromptTooLarge
            | RefusalReason::NoMemory
            | RefusalReason::Overload
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

/// The final answer to a request that no server answers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct GatewayRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller may come back; only where the request has not run.
    pub retry_after: Option<Duration>,
}

impl GatewayRefusal {
    /// Makes a refusal that does not say when to come back.
    pub fn new(reason: RefusalReason) -> GatewayRefusal {
        GatewayRefusal { reason, retry_after: None }
    }

    /// Makes a refusal after which the caller may come back.
    pub fn retry_after(reason: RefusalReason, after: Duration) -> GatewayRefusal {
        GatewayRefusal { reason, retry_after: Some(after) }
    }
}

// Log lines print refusals under these names, so `come_back` stays although the field was renamed.
impl fmt::Debug for GatewayRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayRefusal")
            .field("reason", &self.reason)
            .field("come_back", &self.retry_after)
            .finish()
    }
}
