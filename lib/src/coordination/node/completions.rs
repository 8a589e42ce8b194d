//! Completions at the entry host that received them: admission, placement, grants and answers.

use std::sync::Arc;
use std::time::Duration;

use super::Node;
use super::io::AnswerPiece;
use super::io::CallerId;
use super::io::CompletionRequest;
use super::io::FinishReason;
use super::io::Output;
use super::io::Rejection;
use super::io::StreamStart;
use super::running::ActiveStream;
use super::running::PendingGrant;
use super::running::Phase;
use super::running::RunningCompletion;
use crate::coordination::AttemptRef;
use crate::coordination::PeerMessage;
use crate::state::AnswerAssembler;
use crate::state::AttemptId;
use crate::state::Candidate;
use crate::state::Completion;
use crate::state::CustomerName;
use crate::state::Denial;
use crate::state::EngineName;
use crate::state::EngineRole;
use crate::state::Event;
use crate::state::Finished;
use crate::state::Grant;
use crate::state::HostName;
use crate::state::Moment;
use crate::state::Outcome;
use crate::state::Placement;
use crate::state::PlacementChoice;
use crate::state::PlacementQuery;
use crate::state::Priority;
use crate::state::Reason;
use crate::state::Refusal;
use crate::state::RequestId;
use crate::state::StartRequest;
use crate::state::engine_priority;

/// How often a start request is repeated while its dispatcher does not reply.
pub(super) const START_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of engines that one request is tried at.
pub(super) const MAX_ATTEMPTS: u32 = 6;

/// `retry_after` while this process has no configuration yet, or knows no dispatcher for an engine.
const START_RETRY: Duration = Duration::from_secs(2);

/// `retry_after` while this host stops; the balancer then sends the caller to another entry host.
const STOP_RETRY: Duration = Duration::from_secs(1);

/// Result of the admission of a completion request.
enum Admission {
    Rejected(Rejection),
    Refused(RequestId, Refusal),
    Admitted(Box<Completion>, AnswerAssembler),
}

impl Node {
    /// Admits or refuses a caller's completion request.
    pub(super) fn on_completion(
        &mut self,
        now: Moment,
        caller: CallerId,
        request: CompletionRequest,
    ) {
        match self.admit(now, request) {
            Admission::Rejected(rejection) => {
                self.answer(caller, AnswerPiece::Rejected(rejection));
            }
            Admission::Refused(id, refusal) => self.refuse_unadmitted(caller, id, refusal),
            Admission::Admitted(completion, log) => self.start(now, caller, *completion, log),
        }
    }

    fn admit(&mut self, now: Moment, request: CompletionRequest) -> Admission {
        let id = self.next_id();
        if let Some(refusal) = self.refusal_if_unavailable() {
            return Admission::Refused(id, refusal);
        }
        let Some(customer) = self.customer_of(request.token_hash) else {
            return Admission::Rejected(Rejection::UnknownCustomer);
        };
        let Some(model) = self.rules.models.get(&request.model) else {
            return Admission::Rejected(Rejection::UnknownModel(request.model));
        };
        let tokens = request.prompt.tokens;
        if tokens > model.max_prompt {
            let limit = model.max_prompt;
            return Admission::Rejected(Rejection::PromptTooLong { tokens, limit });
        }
        let max_output = request.max_output.min(model.max_output);
        let timeout = request.deadline.unwrap_or(model.deadline);
        let wanted = tokens.saturating_add(max_output);
        if let Err(refusal) = self.limits.admit(now, &customer, wanted) {
            return Admission::Refused(id, refusal);
        }
        let priority = request.priority.unwrap_or_else(|| self.default_priority(&customer));
        let (resume_from, log) = match &request.resume {
            Some(point) => (point.tokens, AnswerAssembler::resume(point.tokens, &point.text)),
            None => (0, AnswerAssembler::resume(0, "")),
        };
        let completion = Completion {
            id,
            customer,
            model: request.model,
            prompt: request.prompt,
            options: request.options,
            max_output,
            priority,
            arrived: now,
            deadline: now + timeout,
            resume_from,
        };
        Admission::Admitted(Box::new(completion), log)
    }

    /// Returns the refusal for all new requests while this host accepts none.
    pub(super) fn refusal_if_unavailable(&self) -> Option<Refusal> {
        if self.control.is_stopping() {
            return Some(not_run(Reason::Stopping, Some(STOP_RETRY)));
        }
        if self.rules.version == 0 || self.list.version == 0 {
            return Some(not_run(Reason::NoConfiguration, Some(START_RETRY)));
        }
        None
    }

    fn default_priority(&self, customer: &CustomerName) -> Priority {
        self.rules.customers.get(customer).map_or(Priority::Normal, |rule| rule.priority)
    }

    /// Refuses a request that was not admitted.
    pub(super) fn refuse_unadmitted(&mut self, caller: CallerId, id: RequestId, refusal: Refusal) {
        self.record(Event::Refused { request: id, refusal });
        self.answer(caller, AnswerPiece::Accepted(id));
        self.answer(caller, AnswerPiece::Refused(refusal));
    }

    fn start(
        &mut self,
        now: Moment,
        caller: CallerId,
        completion: Completion,
        answer: AnswerAssembler,
    ) {
        let id = completion.id;
        let prompt_tokens = completion.prompt.tokens;
        let deadline = completion.deadline.since(now);
        self.retries.record_first_attempt(now);
        self.answer(caller, AnswerPiece::Accepted(id));
        self.record(Event::Admitted { request: id, prompt_tokens, deadline });
        let unplaced = PendingGrant::unplaced(&self.host, now);
        self.running.insert(RunningCompletion {
            completion,
            caller,
            answer,
            attempt: 0,
            attempts: 0,
            successor: None,
            sought: None,
            phase: Phase::AwaitingGrant(unplaced),
            excluded: Vec::new(),
            fruitless_moves: 0,
            maybe_ran: false,
            first_token: None,
        });
        self.place(now, id, None);
    }

    /// Chooses an engine for a request and sends a start request to its dispatcher, or refuses the
    /// request.
    ///
    /// `room_in` is when the last dispatcher that denied the request expects to have room.
    pub(super) fn place(&mut self, now: Moment, id: RequestId, room_in: Option<Duration>) {
        let Some(choice) = self.choose(now, id, None) else { return };
        match choice.placement {
            Placement::Engine { engine, .. } => {
                let Some(running) = self.running.get_mut(id) else { return };
                running.begin_attempt();
                let attempt = running.attempt_id();
                let tokens = running.completion.prompt.tokens;
                self.placer.record_placement(now, &engine, tokens);
                let considered = choice.considered;
                self.record(Event::Placed { attempt, engine: engine.clone(), considered });
                self.request_start(now, id, engine);
            }
            Placement::Group(plans) => self.reserve_group(now, id, plans),
            Placement::Refuse { reason, retry_after } => {
                let retry = retry_after.or(room_in);
                self.refuse_request(now, id, reason, retry);
            }
        }
    }

    /// Chooses engines for a request, other than `current` and those that it was tried at.
    pub(super) fn choose(
        &mut self,
        now: Moment,
        id: RequestId,
        current: Option<&EngineName>,
    ) -> Option<PlacementChoice> {
        let candidates = self.candidates();
        let running = self.running.get(id)?;
        let tried: Vec<EngineName> = running.excluded.iter().chain(current).cloned().collect();
        let prompt = &running.completion.prompt;
        let query = PlacementQuery {
            model: &running.completion.model,
            prompt_tokens: prompt.tokens + running.answer.sent(),
            output_tokens: running.completion.max_output.saturating_sub(running.answer.sent()),
            blocks: &prompt.blocks,
            left: running.completion.deadline.since(now),
            tried: &tried,
        };
        Some(self.placer.choose(now, &query, &candidates))
    }

    /// Returns the engines that placement chooses from.
    fn candidates(&self) -> Vec<Candidate> {
        let engines = self.list.engines.iter();
        let describe = |engine: &crate::state::Engine| {
            let role = self.rules.engine(engine.name.as_str()).map(|rule| rule.role);
            let mut candidate =
                Candidate::new(engine.name.clone(), engine.zone.clone(), engine.memory);
            candidate.role = role.unwrap_or(EngineRole::Any);
            candidate.live = self.takes_work(engine.addr);
            candidate
        };
        engines.map(describe).collect()
    }

    pub(super) fn engine_takes_work(&self, name: &EngineName) -> bool {
        let engine = self.list.engines.iter().find(|engine| engine.name == *name);
        engine.is_some_and(|engine| self.takes_work(engine.addr))
    }

    /// Requests a grant for the newest attempt from the dispatcher of `engine`.
    pub(super) fn request_start(&mut self, now: Moment, id: RequestId, engine: EngineName) {
        let Some(dispatcher) = self.dispatcher_of(&engine) else {
            self.refuse_request(now, id, Reason::NoTarget, Some(START_RETRY));
            return;
        };
        let Some(running) = self.running.get_mut(id) else { return };
        running.phase = Phase::AwaitingGrant(PendingGrant {
            engine: engine.clone(),
            dispatcher: dispatcher.clone(),
            requested: now,
        });
        let attempt = running.attempt_id();
        let Some(request) = self.make_start_request(now, attempt, engine) else { return };
        self.send_start_request(now, &dispatcher, request);
    }

    /// Returns the entry host that dispatches for `engine`.
    pub(super) fn dispatcher_of(&self, engine: &EngineName) -> Option<HostName> {
        let listed = self.list.engines.iter().find(|listed| listed.name == *engine)?;
        self.members.dispatcher_of(engine, &listed.zone)
    }

    pub(super) fn make_start_request(
        &self,
        now: Moment,
        attempt: AttemptId,
        engine: EngineName,
    ) -> Option<StartRequest> {
        let running = self.running.get(attempt.request)?;
        let completion = &running.completion;
        let weight = self.rules.customers.get(&completion.customer).map_or(1, |rule| rule.weight);
        Some(StartRequest {
            attempt,
            engine,
            customer: completion.customer.clone(),
            weight,
            priority: completion.priority,
            prompt_tokens: completion.prompt.tokens + running.answer.sent(),
            output_tokens: completion.max_output.saturating_sub(running.answer.sent()),
            blocks: completion.prompt.blocks.clone(),
            waited: now.since(completion.arrived),
            left: completion.deadline.since(now),
            segment: false,
        })
    }

    pub(super) fn send_start_request(
        &mut self,
        now: Moment,
        dispatcher: &HostName,
        request: StartRequest,
    ) {
        if *dispatcher == self.host {
            self.on_start_request(now, self.incarnation, request);
        } else {
            self.send(dispatcher, PeerMessage::Ask(Box::new(request)));
        }
    }

    /// Passes a message about an attempt to its dispatcher, which is this host or a peer.
    pub(super) fn notify_dispatcher(&mut self, now: Moment, to: &HostName, message: PeerMessage) {
        if *to != self.host {
            self.send(to, message);
            return;
        }
        match message {
            PeerMessage::Withdraw(withdrawn) => self.on_withdraw(now, &withdrawn),
            PeerMessage::FirstToken(first) => self.on_first_token(now, &first),
            PeerMessage::Finished(finished) => self.on_finished(now, &finished),
            _ => {}
        }
    }

    /// Starts the stream that the grant allows, or returns a grant that arrived too late.
    pub(super) fn on_grant(&mut self, now: Moment, from: &HostName, grant: Grant) {
        if self.on_group_grant(now, &grant) || self.on_successor_grant(now, from, &grant) {
            return;
        }
        let id = grant.attempt.request;
        if !self.awaits_grant(grant.attempt) {
            self.withdraw_attempt(now, from, grant.attempt, grant.engine);
            return;
        }
        if !self.list.engines.iter().any(|engine| engine.name == grant.engine) {
            self.withdraw_attempt(now, from, grant.attempt, grant.engine);
            self.place(now, id, None);
            return;
        }
        self.start_stream(now, from, grant);
    }

    /// Starts the stream of a granted attempt.
    pub(super) fn start_stream(&mut self, now: Moment, from: &HostName, grant: Grant) {
        let id = grant.attempt.request;
        let engine = self.list.engines.iter().find(|engine| engine.name == grant.engine);
        let Some(addr) = engine.map(|engine| engine.addr) else { return };
        let (attempt, queued) = (grant.attempt, grant.queued);
        self.record(Event::Granted { attempt, engine: grant.engine.clone(), queued });
        let owner = self.incarnation;
        let Some(running) = self.running.get_mut(id) else { return };
        let completion = &running.completion;
        let prompt_tokens = completion.prompt.tokens + running.answer.sent();
        let read = prompt_tokens.saturating_sub(grant.cached);
        let start = StreamStart {
            engine: grant.engine.clone(),
            addr,
            attempt,
            owner,
            model: completion.model.clone(),
            text: completion.prompt.text.clone(),
            range: 0..completion.prompt.text.len(),
            options: completion.options.clone(),
            max_output: completion.max_output,
            priority: engine_priority(completion.priority, read),
            resume_from: running.answer.sent(),
            answered: running.answered(),
            segments: Vec::new(),
            prefill_only: false,
            time_left: completion.deadline.since(now),
        };
        let ran_before = std::mem::replace(&mut running.maybe_ran, true);
        running.phase = Phase::Streaming(ActiveStream {
            engine: grant.engine,
            addr,
            dispatcher: from.clone(),
            ran_before,
            decode_start: None,
            last_event: now,
        });
        self.emit(Output::StartStream(Box::new(start)));
    }

    fn awaits_grant(&self, attempt: AttemptId) -> bool {
        let Some(running) = self.running.get(attempt.request) else { return false };
        running.attempt == attempt.number && matches!(running.phase, Phase::AwaitingGrant(_))
    }

    pub(super) fn withdraw_attempt(
        &mut self,
        now: Moment,
        to: &HostName,
        attempt: AttemptId,
        engine: EngineName,
    ) {
        let withdrawn = PeerMessage::Withdraw(AttemptRef { attempt, engine });
        self.notify_dispatcher(now, to, withdrawn);
    }

    /// Places a denied request at another engine.
    pub(super) fn on_denial(&mut self, now: Moment, denial: Denial) {
        if self.on_group_denial(now, &denial)
            || self.on_successor_denial(&denial)
            || !self.awaits_grant(denial.attempt)
        {
            return;
        }
        let id = denial.attempt.request;
        let (attempt, engine, reason) = (denial.attempt, denial.engine.clone(), denial.reason);
        self.record(Event::Denied { attempt, engine, reason });
        let Some(running) = self.running.get_mut(id) else { return };
        running.excluded.push(denial.engine);
        if running.attempts >= MAX_ATTEMPTS {
            self.refuse_request(now, id, denial.reason, denial.room_in);
            return;
        }
        self.place(now, id, denial.room_in);
    }

    /// Repeats start requests that may have been lost. Resolves the dispatcher again, since it may
    /// have changed.
    pub(super) fn repeat_start_requests(&mut self, now: Moment) {
        self.repeat_segment_requests(now);
        let waiting = self.running.iter().filter_map(|running| match &running.phase {
            Phase::AwaitingGrant(pending)
                if now.since(pending.requested) >= START_REQUEST_INTERVAL =>
            {
                Some((running.completion.id, pending.engine.clone()))
            }
            _ => None,
        });
        let waiting: Vec<(RequestId, EngineName)> = waiting.collect();
        for (id, engine) in waiting {
            if self.engine_takes_work(&engine) {
                self.request_start(now, id, engine);
            } else {
                self.withdraw(now, id);
                self.place(now, id, None);
            }
        }
    }

    /// Withdraws the start request or grant of a request, and cancels its stream.
    pub(super) fn withdraw(&mut self, now: Moment, id: RequestId) {
        self.drop_successor(now, id);
        let Some(running) = self.running.get(id) else { return };
        let attempt = running.attempt_id();
        match &running.phase {
            Phase::AwaitingGrant(pending) => {
                let PendingGrant { engine, dispatcher, .. } = pending.clone();
                self.withdraw_attempt(now, &dispatcher, attempt, engine);
            }
            Phase::Streaming(streaming) => {
                let streaming = streaming.clone();
                let sent = running.answer.sent();
                self.emit(Output::CancelStream { attempt, addr: streaming.addr });
                self.finish_attempt(now, attempt, &streaming, sent, false);
            }
            Phase::Group(_) => self.withdraw_group(now, id),
        }
    }

    /// Notifies the dispatcher that an attempt is over.
    pub(super) fn finish_attempt(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        streaming: &ActiveStream,
        output_tokens: u32,
        failed: bool,
    ) {
        let decode = streaming.decode_start.map_or(Duration::ZERO, |start| now.since(start));
        let engine = streaming.engine.clone();
        let finished = Finished { attempt, engine, output_tokens, decode, failed };
        let dispatcher = streaming.dispatcher.clone();
        self.notify_dispatcher(now, &dispatcher, PeerMessage::Finished(finished));
    }

    /// Ends a request with a refusal. The outcome depends on whether an attempt may have run.
    pub(super) fn refuse_request(
        &mut self,
        now: Moment,
        id: RequestId,
        reason: Reason,
        retry_after: Option<Duration>,
    ) {
        let Some(running) = self.running.get(id) else { return };
        let outcome = if running.maybe_ran { Outcome::Failed } else { Outcome::NotRun };
        self.end_with_refusal(now, id, Refusal { outcome, reason, retry_after });
    }

    /// Ends a request with `refusal` immediately.
    pub(super) fn end_with_refusal(&mut self, now: Moment, id: RequestId, refusal: Refusal) {
        self.withdraw(now, id);
        let Some(running) = self.running.remove(id) else { return };
        let unused = if running.maybe_ran { 0 } else { admitted_tokens(&running.completion) };
        self.limits.release(now, &running.completion.customer, unused);
        self.record(Event::Refused { request: id, refusal });
        self.answer(running.caller, AnswerPiece::Refused(refusal));
    }

    /// Ends a request whose answer is complete.
    pub(super) fn complete(&mut self, now: Moment, id: RequestId, finish: FinishReason) {
        let Some(running) = self.running.remove(id) else { return };
        let completion = &running.completion;
        let tokens = running.answer.sent();
        let unused = completion.max_output.saturating_sub(tokens);
        self.limits.release(now, &completion.customer, unused);
        let after = now.since(completion.arrived);
        self.record(Event::Completed { request: id, tokens, after });
        let prompt_tokens = completion.prompt.tokens;
        let end = AnswerPiece::End { finish, prompt_tokens, output_tokens: tokens };
        self.answer(running.caller, end);
    }

    /// Ends the completion of a caller that closed its connection or reads its answer too slowly.
    /// An open call continues.
    pub(super) fn on_caller_gone(&mut self, now: Moment, caller: CallerId) {
        if let Some(id) = self.running.of_caller(caller) {
            self.refuse_request(now, id, Reason::CallerGone, None);
            return;
        }
        self.calls.forget_caller(caller);
    }

    /// Ends all requests whose deadline has passed.
    pub(super) fn end_overdue(&mut self, now: Moment) {
        while let Some(id) = self.running.overdue(now) {
            self.refuse_request(now, id, Reason::DeadlinePassed, None);
        }
    }

    /// Gives every open request its final answer, because this process exits.
    pub(super) fn end_all_at_stop(&mut self, now: Moment) {
        let open: Vec<RequestId> = self.running.iter().map(|one| one.completion.id).collect();
        for id in open {
            self.refuse_request(now, id, Reason::Stopping, Some(STOP_RETRY));
        }
        self.end_calls_at_stop(now);
    }

    /// Returns whether an attempt of this process is still active.
    pub(super) fn has_attempt(&self, attempt: AttemptId) -> bool {
        let Some(running) = self.running.get(attempt.request) else { return false };
        match &running.phase {
            Phase::Group(group) => group.group.attempts().any(|(id, _)| id == attempt),
            Phase::AwaitingGrant(_) | Phase::Streaming(_) => {
                let successor = running.successor.as_ref().map(|next| next.number);
                running.attempt == attempt.number || successor == Some(attempt.number)
            }
        }
    }
}

/// Creates the refusal for a request that did not run.
pub(super) fn not_run(reason: Reason, retry_after: Option<Duration>) -> Refusal {
    Refusal { outcome: Outcome::NotRun, reason, retry_after }
}

/// Returns the number of tokens that a request was admitted for.
fn admitted_tokens(completion: &Completion) -> u32 {
    completion.prompt.tokens.saturating_add(completion.max_output)
}

/// Returns an empty shared string, for an answer that has no text yet.
pub(super) fn empty_text() -> Arc<str> {
    Arc::from("")
}
