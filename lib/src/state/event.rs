//! Typed events about requests, targets, leases and configuration.

use std::time::Duration;

use super::names::AttemptId;
use super::names::EngineName;
use super::names::HostName;
use super::names::RequestId;
use super::outcome::Refusal;

/// An engine that placement considered, with its estimate.
#[derive(Debug, Clone, PartialEq)]
pub struct Considered {
    /// The engine.
    pub engine: EngineName,
    /// The expected time to the first token.
    pub estimate: Duration,
    /// Why it was left out, or `None` if it was eligible.
    pub left_out: Option<LeftOut>,
}

/// Why placement left an engine out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeftOut {
    /// It is leaving, unreachable, or was already tried.
    NotLive,
    /// It does not have the model.
    NoModel,
    /// Its memory is too small for the prompt and the answer.
    NoMemory,
    /// It is reserved for prompts of another length.
    ShortReserve,
    /// Its last report is too old.
    StaleReport,
}

/// Why a request moved to another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MoveCause {
    /// The engine refused the attempt.
    EngineRefused,
    /// The engine refused the connection.
    ConnectionRefused,
    /// The connection was lost.
    ConnectionLost,
    /// The stream missed pieces, or ended before the answer was complete.
    StreamBroken,
    /// The engine sent nothing for too long.
    Silent,
    /// The engine was found unreachable before it began to answer.
    EngineGone,
}

/// An event in one process.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request was admitted.
    Admitted { request: RequestId, prompt_tokens: u32, deadline: Duration },
    /// An engine was chosen for a request.
    Placed { attempt: AttemptId, engine: EngineName, considered: Vec<Considered> },
    /// A request was queued at an engine's dispatcher.
    Queued { attempt: AttemptId, engine: EngineName, ahead_tokens: u32 },
    /// A dispatcher granted the start of an attempt.
    Granted { attempt: AttemptId, engine: EngineName, queued: Duration },
    /// A dispatcher denied the start of an attempt; the request moves or ends.
    Denied { attempt: AttemptId, engine: EngineName, reason: super::Reason },
    /// The first token of an attempt arrived.
    FirstToken { attempt: AttemptId, engine: EngineName, after: Duration },
    /// An attempt ended before its answer was complete; the request is placed again.
    Moved { attempt: AttemptId, engine: EngineName, sent_tokens: u32, cause: MoveCause },
    /// The complete answer was sent to the caller.
    Completed { request: RequestId, tokens: u32, after: Duration },
    /// The request was refused or failed.
    Refused { request: RequestId, refusal: Refusal },
    /// A call to a plain service was sent.
    CallSent { request: RequestId, target: String },
    /// A call was forwarded to the home of its key.
    CallForwarded { request: RequestId, home: HostName },
    /// An entry host is suspected to be dead.
    PeerSuspected { peer: HostName },
    /// An entry host responded for the first time or again.
    PeerAlive { peer: HostName },
    /// A target was found unreachable, leaving or available again.
    TargetChanged { target: String, state: String },
    /// A configuration took effect.
    ConfigAccepted { version: u64 },
    /// A configuration was refused; the last valid one stays in effect.
    ConfigRefused { version: u64, errors: Vec<String> },
    /// This process acquired leases on shards of keys.
    LeaseGained { shards: Vec<u16> },
    /// This process lost leases on shards of keys.
    LeaseLost { shards: Vec<u16> },
    /// An orphaned attempt of a dead owner was cancelled on an engine.
    OrphanCancelled { attempt: AttemptId, engine: EngineName },
    /// An order was sent to an engine.
    OrderSent { engine: EngineName, order: String, fence: u64 },
    /// A planned shutdown began.
    StopBegan,
    /// A planned shutdown ended; `cut` is the number of streams that it broke off.
    StopEnded { cut: u32 },
}

impl Event {
    /// Returns the request that the event concerns, if any.
    ///
    /// ```
    /// use wasabicrank_lib::state::Event;
    /// assert_eq!(Event::StopBegan.request(), None);
    /// ```
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Event::Admitted { request, .. }
            | Event::Completed { request, .. }
            | Event::Refused { request, .. }
            | Event::CallSent { request, .. }
            | Event::CallForwarded { request, .. } => Some(*request),
            Event::Placed { attempt, .. }
            | Event::Queued { attempt, .. }
            | Event::Granted { attempt, .. }
            | Event::Denied { attempt, .. }
            | Event::FirstToken { attempt, .. }
            | Event::Moved { attempt, .. }
            | Event::OrphanCancelled { attempt, .. } => Some(attempt.request),
            Event::PeerSuspected { .. }
            | Event::PeerAlive { .. }
            | Event::TargetChanged { .. }
            | Event::ConfigAccepted { .. }
            | Event::ConfigRefused { .. }
            | Event::LeaseGained { .. }
            | Event::LeaseLost { .. }
            | Event::OrderSent { .. }
            | Event::StopBegan
            | Event::StopEnded { .. } => None,
        }
    }
}
