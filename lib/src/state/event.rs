//! Typed events: what happened to requests, targets, leases and configuration, and why.

use std::time::Duration;

use super::names::AttemptId;
use super::names::EngineName;
use super::names::HostName;
use super::names::RequestId;
use super::outcome::Refusal;

/// An engine that placement looked at, with what it expected there.
#[derive(Debug, Clone, PartialEq)]
pub struct Considered {
    /// The engine.
    pub engine: EngineName,
    /// The expected time to the first token.
    pub estimate: Duration,
    /// Why it was left out, if it was.
    pub left_out: Option<LeftOut>,
}

/// Why placement left an engine out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeftOut {
    /// It is leaving or was seen gone.
    NotLive,
    /// It does not have the model.
    NoModel,
    /// Its memory cannot take the prompt and the answer.
    NoMemory,
    /// It is kept free of long prompts.
    ShortReserve,
    /// Its report is too old.
    StaleReport,
}

/// Why a request moved away from its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MoveCause {
    /// The engine refused the attempt.
    EngineRefused,
    /// The engine refused the connection.
    ConnectionRefused,
    /// The connection broke off.
    ConnectionLost,
    /// The stream missed pieces, or ended before the answer was whole.
    StreamBroken,
    /// The engine said nothing for too long.
    Silent,
    /// The engine was seen gone before it began to answer.
    EngineGone,
}

/// Something that happened in one process.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request was admitted.
    Admitted { request: RequestId, prompt_tokens: u32, deadline: Duration },
    /// An engine was chosen for a request.
    Placed { attempt: AttemptId, engine: EngineName, considered: Vec<Considered> },
    /// A request waits at an engine's dispatcher.
    Queued { attempt: AttemptId, engine: EngineName, ahead_tokens: u32 },
    /// A dispatcher gave leave to start.
    Granted { attempt: AttemptId, engine: EngineName, queued: Duration },
    /// A dispatcher refused leave; the request moves or ends.
    Denied { attempt: AttemptId, engine: EngineName, reason: super::Reason },
    /// The first token of an attempt arrived.
    FirstToken { attempt: AttemptId, engine: EngineName, after: Duration },
    /// An attempt ended before its answer was whole and the request moves on.
    Moved { attempt: AttemptId, engine: EngineName, sent_tokens: u32, cause: MoveCause },
    /// The whole answer went out.
    Completed { request: RequestId, tokens: u32, after: Duration },
    /// The request was refused or failed.
    Refused { request: RequestId, refusal: Refusal },
    /// A call to a plain service was sent.
    CallSent { request: RequestId, target: String },
    /// A call was forwarded to the home of its key.
    CallForwarded { request: RequestId, home: HostName },
    /// An entry host is suspected of being dead.
    PeerSuspected { peer: HostName },
    /// An entry host is heard again or for the first time.
    PeerAlive { peer: HostName },
    /// A target was seen gone, leaving or back.
    TargetChanged { target: String, state: String },
    /// A configuration came into force.
    ConfigAccepted { version: u64 },
    /// A configuration was refused; the last good one stays.
    ConfigRefused { version: u64, errors: Vec<String> },
    /// This process got leases on shards of keys.
    LeaseGained { shards: Vec<u16> },
    /// This process lost leases on shards of keys.
    LeaseLost { shards: Vec<u16> },
    /// An orphan of a dead owner was cancelled on an engine.
    OrphanCancelled { attempt: AttemptId, engine: EngineName },
    /// An order went to an engine.
    OrderSent { engine: EngineName, order: String, fence: u64 },
    /// A planned stop began.
    StopBegan,
    /// A planned stop ended, with the streams that were cut.
    StopEnded { cut: u32 },
}

impl Event {
    /// Returns the request that the event is about, if it is about one.
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
