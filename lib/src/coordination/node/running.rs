//! The completions that entered at this entry host and have no final answer yet.

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

/// One admitted completion.
#[derive(Debug)]
pub(super) struct RunningCompletion {
    /// What was asked for.
    pub(super) completion: Completion,
    /// The caller's connection.
    pub(super) caller: CallerId,
    /// What was passed to the caller.
    pub(super) answer: AnswerAssembler,
    /// The number of the newest attempt.
    pub(super) attempt: u32,
    /// What it waits for.
    pub(super) phase: Phase,
    /// Engines that denied it or failed under it.
    pub(super) excluded: Vec<EngineName>,
    /// Whether any attempt may have run at an engine.
    pub(super) maybe_ran: bool,
    /// When the first token came.
    pub(super) first_token: Option<Moment>,
}

/// What a completion waits for.
#[derive(Debug)]
pub(super) enum Phase {
    /// Leave from an engine's dispatcher.
    AwaitingGrant(PendingGrant),
    /// An engine's stream.
    Streaming(ActiveStream),
    /// A group of engines that together hold a prompt over one engine's memory.
    Group(Box<GroupState>),
}

/// A completion that waits for leave.
#[derive(Debug, Clone)]
pub(super) struct PendingGrant {
    /// The engine.
    pub(super) engine: EngineName,
    /// The dispatcher that was asked.
    pub(super) dispatcher: HostName,
    /// When it was last asked.
    pub(super) requested: Moment,
}

/// A completion that an engine works on.
#[derive(Debug, Clone)]
pub(super) struct ActiveStream {
    /// The engine.
    pub(super) engine: EngineName,
    /// Its address.
    pub(super) addr: SocketAddr,
    /// The dispatcher that gave leave.
    pub(super) dispatcher: HostName,
    /// Whether an earlier attempt may have run.
    pub(super) ran_before: bool,
    /// When prefill was over.
    pub(super) decode_start: Option<Moment>,
    /// When the engine last said something.
    pub(super) last_event: Moment,
}

/// A prompt that is read by several engines.
#[derive(Debug)]
pub(super) struct GroupState {
    /// The segments and how far they are.
    pub(super) group: LongGroup,
    /// When leave for a segment was last asked for.
    pub(super) requested: Moment,
    /// Where the last segment's answer comes from, once it is asked for.
    pub(super) stream: Option<ActiveStream>,
}

impl PendingGrant {
    /// Makes the phase of a completion that is about to be placed and holds nothing anywhere.
    pub(super) fn unplaced(host: &HostName, now: Moment) -> PendingGrant {
        PendingGrant { engine: EngineName::new(""), dispatcher: host.clone(), requested: now }
    }
}

impl RunningCompletion {
    /// Returns the newest attempt.
    pub(super) fn attempt_id(&self) -> AttemptId {
        AttemptId { request: self.completion.id, number: self.attempt }
    }

    /// Returns the text that was passed to the caller.
    pub(super) fn answered(&self) -> Arc<str> {
        Arc::from(self.answer.text())
    }
}

/// All running completions, found by request, by caller and by deadline.
#[derive(Debug, Default)]
pub(super) struct CompletionTable {
    requests: HashMap<RequestId, RunningCompletion>,
    callers: HashMap<CallerId, RequestId>,
    deadlines: BTreeSet<(Moment, RequestId)>,
}

impl CompletionTable {
    /// Adds a completion.
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

    /// Returns one completion.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut RunningCompletion> {
        self.requests.get_mut(&id)
    }

    /// Returns one completion.
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

    /// Returns all completions.
    pub(super) fn iter(&self) -> impl Iterator<Item = &RunningCompletion> {
        self.requests.values()
    }

    /// Returns how many there are.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }
}
