//! A prompt that exceeds the memory of one engine, read in segments by a group of engines.
//!
//! The reservation is all or nothing. The engines are reserved one after another in the order of
//! their names, and each grants or denies at once, so that no group waits while it holds memory and
//! two groups cannot deadlock. Each engine reads its segment after the earlier ones and exports it;
//! the last one generates the answer. An early end returns the actions that delete or withdraw
//! everything that the group has.

use std::time::Duration;

use super::names::AttemptId;
use super::names::EngineName;
use super::names::RequestId;
use super::outcome::Outcome;
use super::outcome::Reason;
use super::outcome::Refusal;
use super::placement::SegmentPlan;
use super::time::Moment;

/// An exported segment, which the engines of later segments import.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentExport {
    /// The engine that holds it.
    pub engine: EngineName,
    /// The name that the engine gave the export.
    pub export: String,
    /// The tokens of the segment.
    pub tokens: u32,
}

/// An action for the caller of the state machine to execute.
#[derive(Debug, Clone, PartialEq)]
pub enum GroupAction {
    /// Send a start request for a segment to the engine's dispatcher.
    RequestStart { attempt: AttemptId, plan: SegmentPlan },
    /// Read a segment and export it.
    Prefill {
        attempt: AttemptId,
        plan: SegmentPlan,
        /// Where the segment starts in the prompt, in tokens.
        start: u32,
        earlier: Vec<SegmentExport>,
    },
    /// Read the last segment and generate the answer.
    Generate {
        attempt: AttemptId,
        plan: SegmentPlan,
        /// Where the segment starts in the prompt, in tokens.
        start: u32,
        earlier: Vec<SegmentExport>,
    },
    /// Repeat the deletion of the attempt on the engine until it is no longer listed, then report
    /// it as finished to the dispatcher.
    Delete { attempt: AttemptId, engine: EngineName },
    /// Withdraw a start request or an unused grant at the dispatcher.
    Withdraw { attempt: AttemptId, engine: EngineName },
    /// The answer is complete.
    Complete,
    /// Respond to the caller with a refusal or failure.
    Refuse(Refusal),
}

/// The progress of a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
enum SegmentState {
    Planned,
    Requested,
    Reserved,
    Reading,
    Exported(String),
}

/// One segment with its engine and progress.
#[derive(Debug, Clone)]
struct Segment {
    plan: SegmentPlan,
    attempt: AttemptId,
    start: u32,
    state: SegmentState,
}

/// The state machine of one group.
#[derive(Debug, Clone)]
pub struct LongGroup {
    segments: Vec<Segment>,
    /// Indices into `segments`, in the order of the engines' names.
    request_order: Vec<usize>,
    deadline: Moment,
    ended: bool,
}

impl LongGroup {
    /// Creates a group for `request` from its plan; the attempts are numbered from `first_number`.
    ///
    /// ```
    /// use wasabicrank_lib::state::*;
    /// let request = RequestId { origin: Incarnation(1), seq: 1 };
    /// let plan = |name: &str| SegmentPlan {
    ///     engine: EngineName::new(name),
    ///     tokens: 300_000,
    ///     output_tokens: 0,
    /// };
    /// let plans = vec![plan("e2"), plan("e1")];
    /// let mut group = LongGroup::new(request, 1, plans, Moment(60_000_000));
    /// let actions = group.start();
    /// // The engines are reserved in the order of their names.
    /// let [GroupAction::RequestStart { plan, .. }] = &actions[..] else { panic!("{actions:?}") };
    /// assert_eq!(plan.engine.as_str(), "e1");
    /// ```
    pub fn new(
        request: RequestId,
        first_number: u32,
        plans: Vec<SegmentPlan>,
        deadline: Moment,
    ) -> LongGroup {
        let mut start = 0;
        let mut segments = Vec::new();
        for (number, plan) in (first_number..).zip(plans) {
            let attempt = AttemptId { request, number };
            let tokens = plan.tokens;
            segments.push(Segment { plan, attempt, start, state: SegmentState::Planned });
            start += tokens;
        }
        let mut request_order: Vec<usize> = (0..segments.len()).collect();
        request_order.sort_by(|a, b| segments[*a].plan.engine.cmp(&segments[*b].plan.engine));
        LongGroup { segments, request_order, deadline, ended: false }
    }

    /// Starts the reservations.
    pub fn start(&mut self) -> Vec<GroupAction> {
        self.request_next()
    }

    /// Returns whether the group has ended, successfully or not.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Returns the attempts of the group with their engines.
    pub fn attempts(&self) -> impl Iterator<Item = (AttemptId, &EngineName)> {
        self.segments.iter().map(|segment| (segment.attempt, &segment.plan.engine))
    }

    /// Returns the segment whose start request has not been answered yet.
    pub fn pending_request(&self) -> Option<(AttemptId, &SegmentPlan)> {
        let pending = self.segments.iter().find(|segment| segment.state == SegmentState::Requested);
        pending.map(|segment| (segment.attempt, &segment.plan))
    }

    /// Handles a grant. The caller withdraws a grant that is no longer expected.
    pub fn granted(&mut self, attempt: AttemptId) -> Vec<GroupAction> {
        let Some(segment) = self.segment_in_state(attempt, &SegmentState::Requested) else {
            return Vec::new();
        };
        segment.state = SegmentState::Reserved;
        let actions = self.request_next();
        if actions.is_empty() { self.read_next() } else { actions }
    }

    /// Handles a denial, which aborts the whole group.
    pub fn denied(
        &mut self,
        attempt: AttemptId,
        reason: Reason,
        room_in: Option<Duration>,
    ) -> Vec<GroupAction> {
        let Some(segment) = self.segment_in_state(attempt, &SegmentState::Requested) else {
            return Vec::new();
        };
        segment.state = SegmentState::Planned;
        self.abort(Outcome::NotRun, reason, room_in)
    }

    /// Handles the export of a segment, by the name that its engine gave it.
    pub fn exported(&mut self, attempt: AttemptId, export: String) -> Vec<GroupAction> {
        let Some(segment) = self.segment_in_state(attempt, &SegmentState::Reading) else {
            return Vec::new();
        };
        segment.state = SegmentState::Exported(export);
        self.read_next()
    }

    /// Handles the completion of the answer by the engine of the last segment.
    pub fn completed(&mut self, attempt: AttemptId) -> Vec<GroupAction> {
        let last = self.segments.last().map(|segment| segment.attempt);
        let reading = self.segment_in_state(attempt, &SegmentState::Reading).is_some();
        if !reading || last != Some(attempt) {
            return Vec::new();
        }
        let mut actions = self.release();
        actions.push(GroupAction::Complete);
        actions
    }

    /// Handles the failure or departure of an engine, which aborts the whole group if it is a
    /// member.
    pub fn failed(&mut self, engine: &EngineName) -> Vec<GroupAction> {
        let is_member = self.segments.iter().any(|segment| segment.plan.engine == *engine);
        if !is_member {
            return Vec::new();
        }
        self.abort(Outcome::Failed, Reason::TargetFailed, None)
    }

    /// Handles the disconnection of the caller, which aborts the group.
    pub fn caller_gone(&mut self) -> Vec<GroupAction> {
        self.abort(Outcome::Failed, Reason::CallerGone, None)
    }

    /// Aborts the group once its deadline has passed.
    pub fn poll(&mut self, now: Moment) -> Vec<GroupAction> {
        if now < self.deadline {
            return Vec::new();
        }
        self.abort(Outcome::Failed, Reason::DeadlinePassed, None)
    }

    fn segment_in_state(
        &mut self,
        attempt: AttemptId,
        state: &SegmentState,
    ) -> Option<&mut Segment> {
        if self.ended {
            return None;
        }
        let mut segments = self.segments.iter_mut();
        segments.find(|segment| segment.attempt == attempt && segment.state == *state)
    }

    /// Requests the next segment in the order of the engines' names; nothing if all are reserved.
    fn request_next(&mut self) -> Vec<GroupAction> {
        let planned = |index: &&usize| self.segments[**index].state == SegmentState::Planned;
        let Some(index) = self.request_order.iter().find(planned).copied() else {
            return Vec::new();
        };
        let segment = &mut self.segments[index];
        segment.state = SegmentState::Requested;
        vec![GroupAction::RequestStart { attempt: segment.attempt, plan: segment.plan.clone() }]
    }

    /// Starts the first segment that has not been read.
    fn read_next(&mut self) -> Vec<GroupAction> {
        let reserved = |segment: &Segment| segment.state == SegmentState::Reserved;
        let Some(index) = self.segments.iter().position(reserved) else { return Vec::new() };
        let earlier = self.segments[..index].iter().filter_map(Segment::export).collect();
        let is_last = index + 1 == self.segments.len();
        let segment = &mut self.segments[index];
        segment.state = SegmentState::Reading;
        let (attempt, plan, start) = (segment.attempt, segment.plan.clone(), segment.start);
        if is_last {
            vec![GroupAction::Generate { attempt, plan, start, earlier }]
        } else {
            vec![GroupAction::Prefill { attempt, plan, start, earlier }]
        }
    }

    fn abort(
        &mut self,
        outcome: Outcome,
        reason: Reason,
        retry_after: Option<Duration>,
    ) -> Vec<GroupAction> {
        if self.ended {
            return Vec::new();
        }
        let mut actions = vec![GroupAction::Refuse(Refusal { outcome, reason, retry_after })];
        actions.extend(self.release());
        actions
    }

    /// Ends the group and returns the actions that release everything that it has.
    fn release(&mut self) -> Vec<GroupAction> {
        self.ended = true;
        self.segments.iter().filter_map(Segment::release).collect()
    }
}

impl Segment {
    fn export(&self) -> Option<SegmentExport> {
        let SegmentState::Exported(export) = &self.state else { return None };
        Some(SegmentExport {
            engine: self.plan.engine.clone(),
            export: export.clone(),
            tokens: self.plan.tokens,
        })
    }

    fn release(&self) -> Option<GroupAction> {
        let (attempt, engine) = (self.attempt, self.plan.engine.clone());
        match self.state {
            SegmentState::Planned => None,
            SegmentState::Requested | SegmentState::Reserved => {
                Some(GroupAction::Withdraw { attempt, engine })
            }
            SegmentState::Reading | SegmentState::Exported(_) => {
                Some(GroupAction::Delete { attempt, engine })
            }
        }
    }
}
