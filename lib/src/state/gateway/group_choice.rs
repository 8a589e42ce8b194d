//! Which engine takes a request, and which others read its prompt with it.
//!
//! Reading a prompt holds up the answers that the same engine is writing, for long prompts by more
//! than a whole pause that callers of short ones accept. The choice therefore weighs, in units of a
//! request's worth, how late the first event comes, which running answers it makes late, and how
//! many engines it disturbs. Short prompts end up packed on few engines, in an order that all hosts
//! share, and long ones are split over the others.

use std::time::Duration;

use super::EngineProfile;
use super::PauseClass;
use super::PromptSize;
use super::ServerLoad;

/// The most engines that read one prompt: the first one and its helpers.
const GROUP_MAX: usize = 16;
/// A request is worth this much, and one more for each ten thousand tokens of its prompt: close to
/// what both users' sheets give for their kinds of request.
const BASE_WORTH: f64 = 0.8;
const TOKENS_PER_WORTH: f64 = 10_000.0;
/// What part of its worth an answer loses when it is late, from the users' sheets.
const LATE_LOSS: f64 = 0.75;
/// The worth of a short request whose answer is made late, from the users' sheets.
const TIGHT_WORTH: f64 = 1.0;
/// The worth of a longer request whose answer is made late, from the users' sheets.
const LOOSE_WORTH: f64 = 4.0;
/// The longest reading that does not make a tight answer late, of a pause of 200 ms.
const TIGHT_READ: Duration = Duration::from_millis(110);
/// The longest reading that does not make a loose answer late, of a pause of 500 ms.
const LOOSE_READ: Duration = Duration::from_millis(400);
/// What part of the objective the first event may take by the estimate.
const SAFE_PART: f64 = 0.8;
/// What taking an engine without short requests for one costs.
const OPEN_COST: f64 = 0.25;
/// What each further place in the common order costs, so that hosts fill engines alike.
const ORDER_COST: f64 = 0.004;
/// What each further engine in a group costs.
const MEMBER_COST: f64 = 0.02;
/// What a place at an engine costs that lately failed requests.
const DOUBT_COST: f64 = 2.0;
/// The slots that stay free at each engine, for requests that other hosts send meanwhile.
const FREE_SLOTS: u32 = 2;
/// The part of an engine's memory that requests are placed in.
const MEMORY_PART: f64 = 0.93;
/// The time from a request's arrival at an engine to its first event beyond reading and one pass.
const FIRST_EVENT_EXTRA: Duration = Duration::from_millis(12);
/// The longest backlog behind which a request is sent; it waits here otherwise, to be placed anew.
const LONGEST_BACKLOG: Duration = Duration::from_millis(600);

/// An engine that may take the request; the order of all candidates is common to all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupCandidate {
    /// What all hosts have there.
    pub load: ServerLoad,
    /// Whether it was lost or failed often lately.
    pub doubtful: bool,
}

/// What is asked of the engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineAsk {
    /// The prompt and the longest answer.
    pub size: PromptSize,
    /// How sensitive the answer is to pauses.
    pub pauses: PauseClass,
    /// How long after now the first event is still on time.
    pub on_time: Duration,
    /// How long after now the caller gives up without a first event.
    pub give_up: Duration,
}

/// Where a request goes: positions among the candidates.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupChoice {
    /// The engine that writes the answer.
    pub first: usize,
    /// The engines that read with it.
    pub helpers: Vec<usize>,
    /// When the first event is expected, from now.
    pub first_event: Duration,
}

/// The result of a choice.
#[derive(Debug, Clone, PartialEq)]
pub enum ChoiceOutcome {
    /// The request goes there now.
    Send(GroupChoice),
    /// Nothing is free enough yet; the time is when there may be.
    Wait(Duration),
    /// It cannot be served before its caller gives up.
    Hopeless(Duration),
    /// It is larger than any engine's memory.
    TooLarge,
    /// No engine is there.
    NoEngine,
}

/// Returns what a prompt of `tokens` is worth, in the units that choices are weighed in.
///
/// ```
/// use wasabicrank_lib::state::prompt_worth;
/// assert!(prompt_worth(200_000) > 10.0 * prompt_worth(5_000));
/// ```
pub fn prompt_worth(tokens: u64) -> f64 {
    BASE_WORTH + tokens as f64 / TOKENS_PER_WORTH
}

/// Chooses engines for `ask` among `candidates`, which share `profile`.
pub fn choose_group(
    profile: &EngineProfile,
    ask: &EngineAsk,
    candidates: &[GroupCandidate],
) -> ChoiceOutcome {
    if candidates.is_empty() {
        return ChoiceOutcome::NoEngine;
    }
    let room = (profile.memory as f64 * MEMORY_PART) as u64;
    let answer = ask.size.answer.min(profile.usual_answer.saturating_mul(3));
    let need = ask.size.prompt + answer;
    if need > room {
        return ChoiceOutcome::TooLarge;
    }
    let choice = Chooser { profile, ask, candidates, room, need };
    choice.best()
}

struct Chooser<'a> {
    profile: &'a EngineProfile,
    ask: &'a EngineAsk,
    candidates: &'a [GroupCandidate],
    room: u64,
    need: u64,
}

impl Chooser<'_> {
    fn best(&self) -> ChoiceOutcome {
        let alone = self.profile.read_time(self.ask.size.prompt);
        let mut best: Option<(f64, GroupChoice)> = None;
        let most = if self.profile.joint && alone > TIGHT_READ { GROUP_MAX } else { 1 };
        for count in 1..=most.min(self.candidates.len()) {
            let part = alone / count as u32;
            let Some((cost, choice)) = self.group(count, part) else { continue };
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, choice));
            }
        }
        let Some((_, choice)) = best else { return self.wait_for_room() };
        let backlog = self.candidates[choice.first].load.backlog;
        if choice.first_event > self.ask.give_up {
            return ChoiceOutcome::Hopeless(choice.first_event - self.ask.give_up);
        }
        if backlog > LONGEST_BACKLOG {
            return ChoiceOutcome::Wait(backlog - LONGEST_BACKLOG);
        }
        ChoiceOutcome::Send(choice)
    }

    fn wait_for_room(&self) -> ChoiceOutcome {
        let shortest = self.candidates.iter().map(|candidate| candidate.load.backlog).min();
        ChoiceOutcome::Wait(shortest.unwrap_or_default())
    }

    /// Returns the best group of `count` engines that read `part` each, with its cost.
    fn group(&self, count: usize, part: Duration) -> Option<(f64, GroupChoice)> {
        let mut order: Vec<(f64, usize)> = (0..self.candidates.len())
            .map(|position| (self.place_cost(position, part, count > 1), position))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let at = order.iter().position(|(_, position)| self.has_room(*position))?;
        let (_, first) = order.remove(at);
        let helpers: Vec<usize> =
            order.iter().take(count - 1).map(|(_, position)| *position).collect();
        let members = || helpers.iter().copied().chain([first]);
        let backlog =
            members().map(|position| self.candidates[position].load.backlog).max()?;
        let first_event = backlog + part + self.pass(first) + FIRST_EVENT_EXTRA;
        let places: f64 =
            members().map(|position| self.place_cost(position, part, count > 1)).sum();
        let worth = prompt_worth(self.ask.size.prompt);
        let cost = worth * self.lateness(first_event) + places + MEMBER_COST * count as f64;
        Some((cost, GroupChoice { first, helpers, first_event }))
    }

    /// Returns what reading `part` at a candidate costs the requests that run there.
    fn place_cost(&self, position: usize, part: Duration, is_joint: bool) -> f64 {
        let candidate = &self.candidates[position];
        let load = &candidate.load;
        let mut cost = load.backlog.as_secs_f64();
        if candidate.doubtful {
            cost += DOUBT_COST;
        }
        let disturbed = |limit: Duration| part.as_secs_f64() / limit.as_secs_f64();
        let harm = |share: f64| if share > 1.0 { share.min(2.0) } else { 0.05 * share };
        cost += f64::from(load.tight) * TIGHT_WORTH * LATE_LOSS * harm(disturbed(TIGHT_READ));
        cost += f64::from(load.loose) * LOOSE_WORTH * LATE_LOSS * harm(disturbed(LOOSE_READ));
        match self.ask.pauses {
            PauseClass::Tight => {
                if load.tight == 0 {
                    cost += OPEN_COST;
                }
                if load.loose > 0 {
                    cost += OPEN_COST;
                }
                cost += ORDER_COST * position as f64;
            }
            PauseClass::Loose => {
                let from_end = self.candidates.len() - 1 - position;
                cost += ORDER_COST * from_end as f64;
                if is_joint {
                    cost += MEMBER_COST;
                }
            }
        }
        cost
    }

    fn has_room(&self, position: usize) -> bool {
        let load = &self.candidates[position].load;
        load.running() + FREE_SLOTS < self.profile.slots.max(FREE_SLOTS + 1)
            && load.tokens + self.need <= self.room
    }

    /// Returns how long the pass under way may still take before the prompt is looked at.
    fn pass(&self, position: usize) -> Duration {
        match self.candidates[position].load.running() {
            0 => Duration::ZERO,
            _ => self.profile.pass_time(),
        }
    }

    /// Returns what part of the worth is lost when the first event comes after `first_event`.
    fn lateness(&self, first_event: Duration) -> f64 {
        let on_time = self.ask.on_time.mul_f64(SAFE_PART).as_secs_f64().max(1e-3);
        let share = first_event.as_secs_f64() / on_time;
        if share <= 1.0 { 0.1 * share } else { LATE_LOSS + 0.02 * share.min(10.0) }
    }
}
