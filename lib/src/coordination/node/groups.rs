//! Prompts that exceed one engine's memory: executes the actions of the group's state machine.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;

use super::Node;
use super::completions::START_REQUEST_INTERVAL;
use super::completions::empty_text;
use super::io::AttemptEvent;
use super::io::FinishReason;
use super::io::Output;
use super::io::Segment;
use super::io::StreamStart;
use super::running::ActiveStream;
use super::running::GroupState;
use super::running::Phase;
use crate::coordination::AttemptRef;
use crate::coordination::PeerMessage;
use crate::state::AttemptId;
use crate::state::Denial;
use crate::state::EngineName;
use crate::state::Event;
use crate::state::Finished;
use crate::state::Grant;
use crate::state::GroupAction;
use crate::state::HostName;
use crate::state::LongGroup;
use crate::state::Moment;
use crate::state::Outcome;
use crate::state::Piece;
use crate::state::Reason;
use crate::state::Refusal;
use crate::state::RequestId;
use crate::state::SEGMENT_PRIORITY;
use crate::state::SegmentExport;
use crate::state::SegmentPlan;
use crate::state::StartRequest;
use crate::state::TOKEN_BYTES;

/// A segment to be started at its engine.
struct SegmentStart {
    attempt: AttemptId,
    plan: SegmentPlan,
    start: u32,
    earlier: Vec<SegmentExport>,
    last: bool,
}

impl Node {
    /// Starts to reserve a group of engines for one prompt.
    pub(super) fn reserve_group(&mut self, now: Moment, id: RequestId, plans: Vec<SegmentPlan>) {
        let Some(running) = self.running.get_mut(id) else { return };
        let deadline = running.completion.deadline;
        let first = running.attempts + 1;
        running.attempts += u32::try_from(plans.len()).unwrap_or(u32::MAX);
        running.attempt = running.attempts;
        let mut group = LongGroup::new(id, first, plans, deadline);
        let actions = group.start();
        running.phase = Phase::Group(Box::new(GroupState { group, requested: now, stream: None }));
        self.run_group_actions(now, id, actions);
    }

    /// Passes a grant to the group that requested it. Returns `false` if no group did.
    pub(super) fn on_group_grant(&mut self, now: Moment, grant: &Grant) -> bool {
        let (attempt, queued) = (grant.attempt, grant.queued);
        let Some(group) = self.group_of(attempt) else { return false };
        let actions = group.granted(attempt);
        self.record(Event::Granted { attempt, engine: grant.engine.clone(), queued });
        self.run_group_actions(now, attempt.request, actions);
        true
    }

    /// Passes a denial to the group that it is for. Returns `false` if there is none.
    pub(super) fn on_group_denial(&mut self, now: Moment, denial: &Denial) -> bool {
        let (attempt, reason) = (denial.attempt, denial.reason);
        let Some(group) = self.group_of(attempt) else { return false };
        let actions = group.denied(attempt, reason, denial.room_in);
        self.record(Event::Denied { attempt, engine: denial.engine.clone(), reason });
        self.run_group_actions(now, attempt.request, actions);
        true
    }

    fn group_of(&mut self, attempt: AttemptId) -> Option<&mut LongGroup> {
        let running = self.running.get_mut(attempt.request)?;
        let Phase::Group(phase) = &mut running.phase else { return None };
        let is_member = phase.group.attempts().any(|(id, _)| id == attempt);
        is_member.then_some(&mut phase.group)
    }

    /// Handles an event of a member's engine.
    pub(super) fn on_group_event(&mut self, now: Moment, attempt: AttemptId, event: AttemptEvent) {
        let id = attempt.request;
        match event {
            AttemptEvent::Exported { export, .. } => {
                let Some(group) = self.group_of(attempt) else { return };
                let actions = group.exported(attempt, export.to_string());
                self.run_group_actions(now, id, actions);
            }
            AttemptEvent::Piece { offset, tokens, text } => {
                if !self.forward_piece(now, attempt, Piece { offset, tokens, text }) {
                    self.fail_member(now, attempt);
                }
            }
            AttemptEvent::Done { finish, tokens } => self.end_group(now, attempt, finish, tokens),
            AttemptEvent::Refused(_) | AttemptEvent::Lost { .. } => self.fail_member(now, attempt),
            AttemptEvent::Started { .. } => {}
        }
    }

    fn end_group(&mut self, now: Moment, attempt: AttemptId, finish: FinishReason, tokens: u32) {
        let Some(running) = self.running.get(attempt.request) else { return };
        if running.answer.finish(tokens).is_err() {
            self.fail_member(now, attempt);
            return;
        }
        let Some(group) = self.group_of(attempt) else { return };
        let actions = group.completed(attempt);
        for action in actions {
            match action {
                GroupAction::Complete => self.complete(now, attempt.request, finish),
                action => self.run_group_actions(now, attempt.request, vec![action]),
            }
        }
    }

    fn fail_member(&mut self, now: Moment, attempt: AttemptId) {
        let Some(group) = self.group_of(attempt) else { return };
        let engine = group.attempts().find(|(id, _)| *id == attempt).map(|(_, name)| name.clone());
        let Some(engine) = engine else { return };
        let actions = group.failed(&engine);
        if let Some(running) = self.running.get_mut(attempt.request) {
            running.excluded.push(engine);
        }
        self.run_group_actions(now, attempt.request, actions);
    }

    /// Fails the group members at an unreachable engine.
    pub(super) fn fail_members_at(&mut self, now: Moment, addr: SocketAddr) {
        let engines = self.list.engines.iter().filter(|engine| engine.addr == addr);
        let Some(engine) = engines.map(|engine| engine.name.clone()).next() else { return };
        let members = self.running.iter().filter_map(|running| match &running.phase {
            Phase::Group(phase) => phase.group.attempts().find(|(_, name)| **name == engine),
            Phase::AwaitingGrant(_) | Phase::Streaming(_) => None,
        });
        let members: Vec<AttemptId> = members.map(|(attempt, _)| attempt).collect();
        for attempt in members {
            self.fail_member(now, attempt);
        }
    }

    /// Releases everything that a group holds, when its request ends early.
    pub(super) fn withdraw_group(&mut self, now: Moment, id: RequestId) {
        let Some(running) = self.running.get_mut(id) else { return };
        let Phase::Group(phase) = &mut running.phase else { return };
        let actions = phase.group.caller_gone();
        for action in actions {
            if !matches!(action, GroupAction::Refuse(_)) {
                self.run_group_actions(now, id, vec![action]);
            }
        }
    }

    /// Executes the actions of a group. A refusal comes last, after everything that the group holds
    /// has been released.
    fn run_group_actions(&mut self, now: Moment, id: RequestId, mut actions: Vec<GroupAction>) {
        actions.sort_by_key(|action| matches!(action, GroupAction::Refuse(_)));
        for action in actions {
            match action {
                GroupAction::RequestStart { attempt, plan } => {
                    self.request_segment(now, attempt, &plan)
                }
                GroupAction::Prefill { attempt, plan, start, earlier } => {
                    let segment = SegmentStart { attempt, plan, start, earlier, last: false };
                    self.start_segment(now, segment);
                }
                GroupAction::Generate { attempt, plan, start, earlier } => {
                    let segment = SegmentStart { attempt, plan, start, earlier, last: true };
                    self.start_segment(now, segment);
                }
                GroupAction::Delete { attempt, engine } => {
                    self.delete_segment(now, attempt, engine);
                }
                GroupAction::Withdraw { attempt, engine } => {
                    let withdrawn = AttemptRef { attempt, engine };
                    self.withdraw_segment(now, withdrawn);
                }
                GroupAction::Refuse(refusal) => self.refuse_group(now, id, refusal),
                GroupAction::Complete => {}
            }
        }
    }

    /// Ends a group's request, or places it again if one of its engines failed.
    ///
    /// A request counts as run if any engine has read a part of its prompt.
    fn refuse_group(&mut self, now: Moment, id: RequestId, refusal: Refusal) {
        if refusal.reason == Reason::TargetFailed {
            if let Some(running) = self.running.get_mut(id) {
                running.answer.restart();
            }
            self.retry_request(now, id);
            return;
        }
        let ran = self.running.get(id).is_some_and(|running| running.maybe_ran);
        let outcome = if ran { Outcome::Failed } else { Outcome::NotRun };
        self.end_with_refusal(now, id, Refusal { outcome, ..refusal });
    }

    /// Repeats the start requests of groups, which may have been lost with their dispatcher.
    pub(super) fn repeat_segment_requests(&mut self, now: Moment) {
        let waiting = self.running.iter().filter_map(|running| match &running.phase {
            Phase::Group(phase) if now.since(phase.requested) >= START_REQUEST_INTERVAL => {
                phase.group.pending_request().map(|(attempt, plan)| (attempt, plan.clone()))
            }
            _ => None,
        });
        let waiting: Vec<(AttemptId, SegmentPlan)> = waiting.collect();
        for (attempt, plan) in waiting {
            if self.engine_takes_work(&plan.engine) {
                self.request_segment(now, attempt, &plan);
            } else {
                self.fail_member(now, attempt);
            }
        }
    }

    fn request_segment(&mut self, now: Moment, attempt: AttemptId, plan: &SegmentPlan) {
        let Some(running) = self.running.get_mut(attempt.request) else { return };
        if let Phase::Group(phase) = &mut running.phase {
            phase.requested = now;
        }
        let completion = &running.completion;
        let weight = self.rules.customers.get(&completion.customer).map_or(1, |rule| rule.weight);
        let request = StartRequest {
            attempt,
            engine: plan.engine.clone(),
            customer: completion.customer.clone(),
            weight,
            priority: completion.priority,
            prompt_tokens: plan.tokens,
            output_tokens: plan.output_tokens,
            blocks: Vec::new(),
            waited: now.since(completion.arrived),
            left: completion.deadline.since(now),
            segment: true,
        };
        match self.engine_dispatcher(&plan.engine) {
            Some(dispatcher) => self.send_start_request(now, &dispatcher, request),
            None => self.fail_member(now, attempt),
        }
    }

    fn engine_dispatcher(&self, engine: &EngineName) -> Option<HostName> {
        let engine = self.list.engines.iter().find(|listed| listed.name == *engine)?;
        self.members.dispatcher_of(&engine.name, &engine.zone)
    }

    fn start_segment(&mut self, now: Moment, segment: SegmentStart) {
        let SegmentStart { attempt, plan, start, earlier, last } = segment;
        let dispatcher = self.engine_dispatcher(&plan.engine);
        let addr = self.engine_addr(&plan.engine);
        let segments = self.locate_segments(&earlier);
        let (Some(dispatcher), Some(addr), Some(segments)) = (dispatcher, addr, segments) else {
            self.fail_member(now, attempt);
            return;
        };
        let owner = self.incarnation;
        let Some(running) = self.running.get_mut(attempt.request) else { return };
        let (resume_from, answered) = match last {
            true => (running.answer.sent(), running.answered()),
            false => (0, empty_text()),
        };
        let completion = &running.completion;
        let text = completion.prompt.text.clone();
        let range = segment_range(&text, start, plan.tokens, last);
        let stream = StreamStart {
            engine: plan.engine.clone(),
            addr,
            attempt,
            owner,
            model: completion.model.clone(),
            text,
            range,
            options: completion.options.clone(),
            max_output: completion.max_output,
            priority: SEGMENT_PRIORITY,
            resume_from,
            answered,
            segments,
            prefill_only: !last,
            time_left: completion.deadline.since(now),
        };
        running.maybe_ran = true;
        if let (true, Phase::Group(phase)) = (last, &mut running.phase) {
            phase.stream = Some(ActiveStream {
                engine: plan.engine,
                addr,
                dispatcher,
                ran_before: true,
                decode_start: None,
                last_event: now,
            });
        }
        self.emit(Output::StartStream(Box::new(stream)));
    }

    fn engine_addr(&self, engine: &EngineName) -> Option<SocketAddr> {
        let engine = self.list.engines.iter().find(|listed| listed.name == *engine)?;
        Some(engine.addr)
    }

    /// Returns the locations of the earlier segments, or `None` if one of their engines is no
    /// longer in the live list.
    fn locate_segments(&self, earlier: &[SegmentExport]) -> Option<Vec<Segment>> {
        let place = |export: &SegmentExport| {
            let addr = self.engine_addr(&export.engine)?;
            let name: Arc<str> = Arc::from(export.export.as_str());
            Some(Segment { addr, export: name, tokens: export.tokens })
        };
        earlier.iter().map(place).collect()
    }

    fn delete_segment(&mut self, now: Moment, attempt: AttemptId, engine: EngineName) {
        if let Some(addr) = self.engine_addr(&engine) {
            self.emit(Output::CancelStream { attempt, addr });
        }
        let Some(dispatcher) = self.engine_dispatcher(&engine) else { return };
        let decode = std::time::Duration::ZERO;
        let finished = Finished { attempt, engine, output_tokens: 0, decode, failed: false };
        self.notify_dispatcher(now, &dispatcher, PeerMessage::Finished(finished));
    }

    fn withdraw_segment(&mut self, now: Moment, withdrawn: AttemptRef) {
        let Some(dispatcher) = self.engine_dispatcher(&withdrawn.engine) else { return };
        self.notify_dispatcher(now, &dispatcher, PeerMessage::Withdraw(withdrawn));
    }
}

/// Returns the byte range of a segment, aligned to character boundaries. The last segment extends
/// to the end of the text.
fn segment_range(text: &str, start: u32, tokens: u32, last: bool) -> Range<usize> {
    let byte = |tokens: u32| text.floor_char_boundary(tokens as usize * TOKEN_BYTES);
    let end = if last { text.len() } else { byte(start + tokens) };
    byte(start)..end
}
