//! The outcomes of requests that end without an answer.

use std::fmt;
use std::time::Duration;

/// Whether a refused or failed request ran, as far as known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// No copy of the request ran or will run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
    /// The request ran and failed.
    Failed,
}

impl Outcome {
    /// Returns the value that callers see.
    ///
    /// ```
    /// use wasabicrank_lib::state::Outcome;
    /// assert_eq!(Outcome::NotRun.as_str(), "not_run");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
            Outcome::Failed => "failed",
        }
    }
}

/// Why a request was refused or failed. Metrics and operators use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The customer's token rate is used up.
    RateLimit,
    /// The customer has reached its limit of requests in flight.
    InFlightLimit,
    /// The fleet is full and the customer already uses its fair share.
    FairShare,
    /// No engine can complete the answer before the deadline.
    DeadlineTooShort,
    /// The deadline passed.
    DeadlinePassed,
    /// No configuration has been accepted yet.
    NoConfiguration,
    /// No known host serves the model or service.
    NoTarget,
    /// The prompt needs more memory than a group of engines may use.
    PromptTooLong,
    /// The engines' memory stays occupied for longer than the request can wait.
    MemoryFull,
    /// This entry host or one of its internal queues is overloaded.
    Overloaded,
    /// This entry host is stopping.
    Stopping,
    /// The engine or service failed.
    TargetFailed,
    /// The retry budget is used up.
    RetryBudget,
    /// The home of the idempotency key has no valid lease or cannot be reached.
    HomeUnavailable,
    /// The key is older than the history of its home.
    KeyTooOld,
    /// The key's creation time is further ahead of this entry host's clock than clocks may differ.
    KeyFromFuture,
    /// A copy of the call with the same key is running.
    CopyRunning,
    /// The key was used before with another body.
    KeyReused,
    /// The caller disconnected.
    CallerGone,
    /// The answer to be resumed is no longer known.
    ResumeUnknown,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Reason; 20] = [
        Reason::RateLimit,
        Reason::InFlightLimit,
        Reason::FairShare,
        Reason::DeadlineTooShort,
        Reason::DeadlinePassed,
        Reason::NoConfiguration,
        Reason::NoTarget,
        Reason::PromptTooLong,
        Reason::MemoryFull,
        Reason::Overloaded,
        Reason::Stopping,
        Reason::TargetFailed,
        Reason::RetryBudget,
        Reason::HomeUnavailable,
        Reason::KeyTooOld,
        Reason::KeyFromFuture,
        Reason::CopyRunning,
        Reason::KeyReused,
        Reason::CallerGone,
        Reason::ResumeUnknown,
    ];

    /// Returns the label that metrics and JSON use.
    ///
    /// ```
    /// use wasabicrank_lib::state::Reason;
    /// assert_eq!(Reason::RateLimit.as_str(), "rate_limit");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::RateLimit => "rate_limit",
            Reason::InFlightLimit => "in_flight_limit",
            Reason::FairShare => "fair_share",
            Reason::DeadlineTooShort => "deadline_too_short",
            Reason::DeadlinePassed => "deadline_passed",
            Reason::NoConfiguration => "no_configuration",
            Reason::NoTarget => "no_target",
            Reason::PromptTooLong => "prompt_too_long",
            Reason::MemoryFull => "memory_full",
            Reason::Overloaded => "overloaded",
            Reason::Stopping => "stopping",
            Reason::TargetFailed => "target_failed",
            Reason::RetryBudget => "retry_budget",
            Reason::HomeUnavailable => "home_unavailable",
            Reason::KeyTooOld => "key_too_old",
            Reason::KeyFromFuture => "key_from_future",
            Reason::CopyRunning => "copy_running",
            Reason::KeyReused => "key_reused",
            Reason::CallerGone => "caller_gone",
            Reason::ResumeUnknown => "resume_unknown",
        }
    }

    /// Returns the message that a caller's program can show to its user.
    pub fn sentence(self) -> &'static str {
        match self {
            Reason::RateLimit => "Your organisation has used its token rate for the moment.",
            Reason::InFlightLimit => "Your organisation has too many requests running.",
            Reason::FairShare => "The servers are full and your organisation has its fair share.",
            Reason::DeadlineTooShort => "No server can answer this request in the time given.",
            Reason::DeadlinePassed => "The time given for this request has passed.",
            Reason::NoConfiguration => "This server has no configuration yet.",
            Reason::NoTarget => "No server for this request is available.",
            Reason::PromptTooLong => "The prompt is longer than the servers can take.",
            Reason::MemoryFull => "The servers' memory is full.",
            Reason::Overloaded => "This server is overloaded.",
            Reason::Stopping => "This server is shutting down.",
            Reason::TargetFailed => "The server that had the request failed.",
            Reason::RetryBudget => "The servers are failing too often to try again.",
            Reason::HomeUnavailable => "It cannot be known now whether this call has run.",
            Reason::KeyTooOld => "The call is too old to know whether it has run.",
            Reason::KeyFromFuture => "The call's key was made in the future; check the clock.",
            Reason::CopyRunning => "A copy of this call is still running.",
            Reason::KeyReused => "The idempotency key was used for another call.",
            Reason::CallerGone => "The caller closed the connection.",
            Reason::ResumeUnknown => "The answer to be resumed is not known here.",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The final response to a request that has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request ran, as far as known.
    pub outcome: Outcome,
    /// Why it was refused or failed.
    pub reason: Reason,
    /// The time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns the refusal of one copy of a call by a process that is not the home of its key.
    ///
    /// Another copy may have run, so only the home can state that the call did not.
    ///
    /// ```
    /// use wasabicrank_lib::state::{Outcome, Reason, Refusal};
    /// let refusal =
    ///     Refusal { outcome: Outcome::NotRun, reason: Reason::Stopping, retry_after: None };
    /// assert_eq!(refusal.of_copy().outcome, Outcome::Unknown);
    /// ```
    pub fn of_copy(self) -> Refusal {
        match self.outcome {
            Outcome::NotRun | Outcome::Unknown => Refusal { outcome: Outcome::Unknown, ..self },
            Outcome::Failed => self,
        }
    }
}
