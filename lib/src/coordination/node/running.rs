//! Completions that were received by this entry host and have no final answer yet.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::io::CallerId;
use crate::state::AnswerAssembler;
use crate::state::AttemptId;
use crate::state::Completion;
use crate::state::EngineName;
use crate::state::HostName;
use crate::state::LongGroup;
use crate::state::Moment;
use crate::state::RequestId;

/// An admitted completion.
#[derive(Debug)]
pub(super) struct RunningCompletion {
    /// The request.
    pub(super) completion: Completion,
    /// The caller's connection.
    pub(super) caller: CallerId,
    /// The part of the answer that was forwarded to the caller.
    pub(super) answer: AnswerAssembler,
    /// Number of the attempt that `phase` describes.
    pub(super) attempt: u32,
    /// Number of the newest attempt, which may be that of a successor.
    pub(super) attempts: u32,
    /// What the completion waits for.
    pub(super) phase: Phase,
    /// The attempt that takes over from a silent engine once it is granted.
    pub(super) successor: Option<Successor>,
    /// When a successor was last sought.
    pub(super) sought: Option<Moment>,
    /// Engines that denied or failed this completion.
    pub(super) excluded: Vec<EngineName>,
    /// The number of engines that broke off without a token since the last one that was forwarded.
    pub(super) fruitless_moves: u32,
    /// Whether any attempt may have run at an engine.
    pub(super) maybe_ran: bool,
    /// When the first token arrived.
    pub(super) first_token: Option<Moment>,
}

/// State of a completion.
#[derive(Debug)]
pub(super) enum Phase {
    /// Waits for a grant of an engine's dispatcher.
    AwaitingGrant(PendingGrant),
    /// Receives an engine's stream.
    Streaming(ActiveStream),
    /// Runs on a group of engines, because the prompt exceeds one engine's memory.
    Group(Box<GroupState>),
}

/// A start request that has no grant yet.
#[derive(Debug, Clone)]
pub(super) struct PendingGrant {
    /// The engine.
    pub(super) engine: EngineName,
    /// The dispatcher that the request was sent to.
    pub(super) dispatcher: HostName,
    /// When the request was last sent.
    pub(super) requested: Moment,
}

/// An attempt at another engine while a silent one keeps the stream.
#[derive(Debug, Clone)]
pub(super) struct Successor {
    /// Number of the attempt.
    pub(super) number: u32,
    /// Its start request.
    pub(super) pending: PendingGrant,
}

/// A stream that has been started at an engine.
#[derive(Debug, Clone)]
pub(super) struct ActiveStream {
    /// The engine.
    pub(super) engine: EngineName,
    /// Its address.
    pub(super) addr: SocketAddr,
    /// The dispatcher that granted the attempt.
    pub(super) dispatcher: HostName,
    /// Whether an earlier attempt may have run.
    pub(super) ran_before: bool,
    /// When prefill ended.
    pub(super) decode_start: Option<Moment>,
    /// When the engine last sent an event.
    pub(super) last_event: Moment,
}

/// A prompt that several engines read.
#[derive(Debug)]
pub(super) struct GroupState {
    /// State of the segments.
    pub(super) group: LongGroup,
    /// When a start request for a segment was last sent.
    pub(super) requested: Moment,
    /// The stream that generates the answer, once the last segment has been started.
    pub(super) stream: Option<ActiveStream>,
}

impl PendingGrant {
    /// Creates the state of a completion that is about to be placed and holds nothing at any
    /// engine.
    pub(super) fn unplaced(host: &HostName, now: Moment) -> PendingGrant {
        PendingGrant { engine: EngineName::new(""), dispatcher: host.clone(), requested: now }
    }
}

impl RunningCompletion {
    /// Assigns a number to a new attempt that replaces the current one.
    pub(super) fn begin_attempt(&mut self) {
        self.attempts += 1;
        self.attempt = self.attempts;
    }

    /// Returns the identifier of the current attempt.
    pub(super) fn attempt_id(&self) -> AttemptId {
        AttemptId { request: self.completion.id, number: self.attempt }
    }

    /// Returns the text that was forwarded to the caller.
    pub(super) fn answered(&self) -> Arc<str> {
        Arc::from(self.answer.text())
    }
}

/// All running completions, indexed by request, caller and deadline.
#[derive(Debug, Default)]
pub(super) struct CompletionTable {
    requests: HashMap<RequestId, RunningCompletion>,
    callers: HashMap<CallerId, RequestId>,
    deadlines: BTreeSet<(Moment, RequestId)>,
}

impl CompletionTable {
    pub(super) fn insert(&mut self, running: RunningCompletion) {
        let id = running.completion.id;
        self.callers.insert(running.caller, id);
        self.deadlines.insert((running.completion.deadline, id));
        self.requests.insert(id, running);
    }

    /// Removes a completion that has its final answer.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<RunningCompletion> {
        let running = self.requests.remove(&id)?;
        self.callers.remove(&running.caller);
        self.deadlines.remove(&(running.completion.deadline, id));
        Some(running)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut RunningCompletion> {
        self.requests.get_mut(&id)
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&RunningCompletion> {
        self.requests.get(&id)
    }

    /// Returns the completion of a caller.
    pub(super) fn of_caller(&self, caller: CallerId) -> Option<RequestId> {
        self.callers.get(&caller).copied()
    }

    /// Returns a completion whose deadline has passed.
    pub(super) fn overdue(&self, now: Moment) -> Option<RequestId> {
        self.deadlines.first().filter(|(deadline, _)| *deadline <= now).map(|(_, id)| *id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &RunningCompletion> {
        self.requests.values()
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }
}
