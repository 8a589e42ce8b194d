//! How a request ends when it does not end with an answer.

use std::fmt;
use std::time::Duration;

/// What is known about whether a refused or failed request ran.
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
    /// Returns the word that callers see.
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

/// Why a request was refused or failed, in the terms that metrics and operators use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The customer's token rate is used up.
    RateLimit,
    /// The customer has as many requests in flight as its limit allows.
    InFlightLimit,
    /// The fleet is full and the customer already has its fair share.
    FairShare,
    /// No engine can give the answer before the deadline.
    DeadlineTooShort,
    /// The deadline passed.
    DeadlinePassed,
    /// No configuration has been accepted yet.
    NoConfiguration,
    /// No host is known that serves the model or service.
    NoTarget,
    /// The prompt needs more memory than a group of engines may have.
    PromptTooLong,
    /// The engines' memory is taken for longer than the request may wait.
    MemoryFull,
    /// This entry host or a ring inside it is overloaded.
    Overloaded,
    /// This entry host is stopping.
    Stopping,
    /// The engine or service failed.
    TargetFailed,
    /// The fleet's budget for retries is used up.
    RetryBudget,
    /// The home of the idempotency key holds no valid lease, or cannot be reached.
    HomeUnavailable,
    /// The key is older than what its home can know.
    KeyTooOld,
    /// The key was made later than this entry host's clock can allow.
    KeyFromFuture,
    /// A copy of the call with this key is running.
    CopyRunning,
    /// The key was used before with another body.
    KeyReused,
    /// The caller went away.
    CallerGone,
    /// The answer that was to be resumed is not known any more.
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

    /// Returns the sentence that a clerk's program can show.
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

/// The final answer of a request that has no result to return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// What is known about whether the request ran.
    pub outcome: Outcome,
    /// Why it was refused or failed.
    pub reason: Reason,
    /// When coming back may help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns the refusal of one copy of a call by a process that is not the home of its key.
    ///
    /// Another copy may have run, so only the home may say that the call did not.
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
