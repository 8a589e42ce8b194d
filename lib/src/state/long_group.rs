//! A prompt longer than one engine's memory, read by a group of engines in segments.
//!
//! The members are reserved all or nothing, one after another in the order of their names: a member
//! grants at once or denies, so that no group ever waits while it holds memory and two groups cannot
//! deadlock. Each engine reads its segment after the earlier ones and exports it; the last one
//! generates the answer. Whatever ends the group early lists everything that is to be deleted.

use std::time::Duration;

use super::names::AttemptId;
use super::names::EngineName;
use super::names::RequestId;
use super::outcome::Outcome;
use super::outcome::Reason;
use super::outcome::Refusal;
use super::placement::SegmentPlan;
use super::time::Moment;

/// An export of a segment on an engine, as later engines are told of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentExport {
    /// The engine that holds it.
    pub engine: EngineName,
    /// The engine's name for it.
    pub export: String,
    /// The tokens of the segment.
    pub tokens: u32,
}

/// What the group wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum GroupAction {
    /// Ask the engine's dispatcher for room, as a segment.
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
    /// Delete the attempt on the engine until its listing shows it gone, then tell the dispatcher
    /// that it is finished.
    Delete { attempt: AttemptId, engine: EngineName },
    /// Take back an ask or an unused grant at the dispatcher.
    Withdraw { attempt: AttemptId, engine: EngineName },
    /// The answer is whole.
    Complete,
    /// Answer the caller with a refusal or failure.
    Refuse(Refusal),
}

/// How far a member is.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Member {
    Planned,
    Asked,
    Reserved,
    Reading,
    Exported(String),
}

/// One segment with its member.
#[derive(Debug, Clone)]
struct Segment {
    plan: SegmentPlan,
    attempt: AttemptId,
    start: u32,
    member: Member,
}

/// The state machine of one group.
#[derive(Debug, Clone)]
pub struct LongGroup {
    segments: Vec<Segment>,
    /// The places in `segments`, in the order of the engines' names.
    ask_order: Vec<usize>,
    deadline: Moment,
    ended: bool,
}

impl LongGroup {
    /// Makes a group for `request` from its plan; the attempts are numbered from `first_number`.
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
    /// // The engine that is first by name is asked first.
    /// assert!(matches!(&actions[..], [GroupAction::RequestStart { plan, .. }] if plan.engine.as_str() == "e1"));
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
            segments.push(Segment { plan, attempt, start, member: Member::Planned });
            start += tokens;
        }
        let mut ask_order: Vec<usize> = (0..segments.len()).collect();
        ask_order.sort_by(|a, b| segments[*a].plan.engine.cmp(&segments[*b].plan.engine));
        LongGroup { segments, ask_order, deadline, ended: false }
    }

    /// Starts the reservation.
    pub fn start(&mut self) -> Vec<GroupAction> {
        self.ask_next()
    }

    /// Tells whether the group has ended, well or not.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Returns the attempts of the group with their engines.
    pub fn attempts(&self) -> impl Iterator<Item = (AttemptId, &EngineName)> {
        self.segments.iter().map(|segment| (segment.attempt, &segment.plan.engine))
    }

    /// Returns the member whose dispatcher has been asked and has not answered.
    pub fn pending_request(&self) -> Option<(AttemptId, &SegmentPlan)> {
        let asked = self.segments.iter().find(|segment| segment.member == Member::Asked);
        asked.map(|segment| (segment.attempt, &segment.plan))
    }

    /// Takes a dispatcher's grant; a grant that nobody waits for any more is taken back by the caller.
    pub fn granted(&mut self, attempt: AttemptId) -> Vec<GroupAction> {
        let Some(segment) = self.segment_in(attempt, &Member::Asked) else { return Vec::new() };
        segment.member = Member::Reserved;
        let actions = self.ask_next();
        if actions.is_empty() { self.read_next() } else { actions }
    }

    /// Takes a dispatcher's denial; the whole group is given up.
    pub fn denied(
        &mut self,
        attempt: AttemptId,
        reason: Reason,
        room_in: Option<Duration>,
    ) -> Vec<GroupAction> {
        let Some(segment) = self.segment_in(attempt, &Member::Asked) else { return Vec::new() };
        segment.member = Member::Planned;
        self.give_up(Outcome::NotRun, reason, room_in)
    }

    /// Takes the name of the export that a member made of its segment.
    pub fn exported(&mut self, attempt: AttemptId, export: String) -> Vec<GroupAction> {
        let Some(segment) = self.segment_in(attempt, &Member::Reading) else { return Vec::new() };
        segment.member = Member::Exported(export);
        self.read_next()
    }

    /// Records that the last member sent the whole answer.
    pub fn completed(&mut self, attempt: AttemptId) -> Vec<GroupAction> {
        let last = self.segments.last().map(|segment| segment.attempt);
        let reading = self.segment_in(attempt, &Member::Reading).is_some();
        if !reading || last != Some(attempt) {
            return Vec::new();
        }
        let mut actions = self.release();
        actions.push(GroupAction::Complete);
        actions
    }

    /// Records that a member's engine failed or left; the whole group is given up.
    pub fn failed(&mut self, engine: &EngineName) -> Vec<GroupAction> {
        let is_member = self.segments.iter().any(|segment| segment.plan.engine == *engine);
        if !is_member {
            return Vec::new();
        }
        self.give_up(Outcome::Failed, Reason::TargetFailed, None)
    }

    /// Records that the caller went away.
    pub fn caller_gone(&mut self) -> Vec<GroupAction> {
        self.give_up(Outcome::Failed, Reason::CallerGone, None)
    }

    /// Gives the group up once its deadline has passed.
    pub fn poll(&mut self, now: Moment) -> Vec<GroupAction> {
        if now < self.deadline {
            return Vec::new();
        }
        self.give_up(Outcome::Failed, Reason::DeadlinePassed, None)
    }

    fn segment_in(&mut self, attempt: AttemptId, member: &Member) -> Option<&mut Segment> {
        if self.ended {
            return None;
        }
        let mut segments = self.segments.iter_mut();
        segments.find(|segment| segment.attempt == attempt && segment.member == *member)
    }

    /// Asks for the next member in the order of names; nothing if all are reserved.
    fn ask_next(&mut self) -> Vec<GroupAction> {
        let planned = |at: &&usize| self.segments[**at].member == Member::Planned;
        let Some(at) = self.ask_order.iter().find(planned).copied() else { return Vec::new() };
        let segment = &mut self.segments[at];
        segment.member = Member::Asked;
        vec![GroupAction::RequestStart { attempt: segment.attempt, plan: segment.plan.clone() }]
    }

    /// Starts to read the first segment that has not been read.
    fn read_next(&mut self) -> Vec<GroupAction> {
        let reserved = |segment: &Segment| segment.member == Member::Reserved;
        let Some(at) = self.segments.iter().position(reserved) else { return Vec::new() };
        let earlier = self.segments[..at].iter().filter_map(Segment::export).collect();
        let is_last = at + 1 == self.segments.len();
        let segment = &mut self.segments[at];
        segment.member = Member::Reading;
        let (attempt, plan, start) = (segment.attempt, segment.plan.clone(), segment.start);
        if is_last {
            vec![GroupAction::Generate { attempt, plan, start, earlier }]
        } else {
            vec![GroupAction::Prefill { attempt, plan, start, earlier }]
        }
    }

    fn give_up(
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

    /// Ends the group and gives back all that it has.
    fn release(&mut self) -> Vec<GroupAction> {
        self.ended = true;
        self.segments.iter().filter_map(Segment::release).collect()
    }
}

impl Segment {
    fn export(&self) -> Option<SegmentExport> {
        let Member::Exported(export) = &self.member else { return None };
        Some(SegmentExport {
            engine: self.plan.engine.clone(),
            export: export.clone(),
            tokens: self.plan.tokens,
        })
    }

    fn release(&self) -> Option<GroupAction> {
        let (attempt, engine) = (self.attempt, self.plan.engine.clone());
        match self.member {
            Member::Planned => None,
            Member::Asked | Member::Reserved => Some(GroupAction::Withdraw { attempt, engine }),
            Member::Reading | Member::Exported(_) => Some(GroupAction::Delete { attempt, engine }),
        }
    }
}
