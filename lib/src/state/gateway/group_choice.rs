//! Which engine takes a request, and which others read its prompt with it.
//!
//! Reading a prompt holds up the answers that the same engine is writing, for long prompts by more
//! than a whole pause that callers of short ones accept. The choice therefore weighs, in units of a
//! request's worth, how late the first event comes, which running answers it makes late, and how
//! many engines it disturbs. Short prompts end up packed on few engines, in an order that all hosts
//! share, and long ones are split over the others.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::EngineProfile;
use super::GapClass;
use super::PromptSize;
use super::ServerLoad;

/// The most engines that read one prompt: the first one and its helpers.
const GROUP_MAX: usize = 16;
/// The least reading that is worth another engine.
const LEAST_PART: Duration = Duration::from_millis(10);
/// The most helpers whose memory holds a part of one prompt.
const HOLDERS_MAX: usize = 4;
/// What each holder beside the first engine costs: orders, and one more engine that can fail it.
const HOLDER_COST: f64 = 0.1;
/// The tokens by which a part is rounded up, as engines give memory out in blocks.
const HOLD_MARGIN: u64 = 512;
/// A request is worth this much, and one more for each ten thousand tokens of its prompt: close to
/// what both users' sheets give for their kinds of request.
const BASE_WORTH: f64 = 0.8;
const TOKENS_PER_WORTH: f64 = 10_000.0;
/// What part of its worth an answer loses when it is late, from the users' sheets.
const LATE_LOSS: f64 = 0.64;
/// The longest reading at once that makes no answer of each class late: of pauses of 200, 500 and
/// 800 ms, less one pass and the prompts that are read in the same one.
const READ_LIMITS: [Duration; GapClass::ALL.len()] =
    [Duration::from_millis(110), Duration::from_millis(410), Duration::from_millis(700)];
/// What part of its worth an answer of each class loses to a reading at the limit: for the most
/// sensitive also what those lose that arrive meanwhile, and little more than half for the others,
/// whose events often fall between two passes.
const READ_HARMS: [f64; GapClass::ALL.len()] = [1.28, 0.64, 0.38];
/// How steeply the harm rises up to the limit: short prompts come often, and several may be read in
/// one pass.
const READ_POWERS: [i32; GapClass::ALL.len()] = [9, 6, 8];
/// What part of the objective the first event may take by the estimate.
const SAFE_PART: f64 = 0.8;
/// The part of the slots that short requests take at the engines of their pool before it grows.
const POOL_SLOTS_PART: f64 = 0.6;
/// What part of its worth a request gains by an event at once over one that is just on time, for the
/// engines are then free for others.
const EARLY_GAIN: f64 = 0.2;
/// What taking an engine outside the pool costs a short request.
const OUTSIDE_COST: f64 = 0.6;
/// What an engine of the pool costs a long request, beside what its answers lose.
const POOL_COST: f64 = 0.3;
/// What each further place in the common order costs short requests, so that they leave the other
/// engines soon when they become fewer.
const PACK_COST: f64 = 0.001;
/// What an engine in another zone costs a short request: hosts know the loads of their own zone sooner,
/// and bytes between zones are dear.
const FAR_COST: f64 = 0.05;
/// The most that chance adds to an engine's cost for a short request. What hosts know of each other is
/// a tenth of a second old: without it, all would choose the same engine meanwhile.
const CHANCE_COST: f64 = 0.01;
/// What each further place in the common order costs long requests, so that they stay away from the
/// pool of short ones.
const ORDER_COST: f64 = 0.002;
/// What each further engine in a group costs.
const MEMBER_COST: f64 = 0.007;
/// What a place at an engine costs that lately failed requests.
const DOUBT_COST: f64 = 2.0;
/// The slots that stay free at each engine for short prompts that can still be answered on time.
const FREE_SLOTS: u32 = 2;
/// The part of an engine's memory that requests are placed in.
const MEMORY_PART: f64 = 0.93;
/// The time from a request's arrival at an engine to its first event beyond reading and one pass.
const FIRST_EVENT_EXTRA: Duration = Duration::from_millis(12);
/// The longest backlog behind which a request is sent; it waits here otherwise, to be placed anew.
const LONGEST_BACKLOG: Duration = Duration::from_millis(300);

/// An engine that may take the request; the order of all candidates is common to all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupCandidate {
    /// What all hosts have there.
    pub load: ServerLoad,
    /// Whether it was lost or failed often lately.
    pub doubtful: bool,
    /// Its availability zone, as a number that is the same for all engines of one zone.
    pub zone: usize,
    /// Whether that is the zone of the host that chooses.
    pub is_near: bool,
}

/// What is asked of the engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineAsk {
    /// The prompt and the longest answer.
    pub size: PromptSize,
    /// How sensitive the answer is to pauses.
    pub pauses: GapClass,
    /// How long after now the first event is still on time.
    pub on_time: Duration,
    /// How long after now the caller gives up without a first event.
    pub abandon_after: Duration,
    /// What a second of an engine's reading must be worth, for the engines' time is scarce.
    pub price: f64,
    /// Draws what chance adds to each engine's cost.
    pub draw: u64,
}

/// An engine that reads with the first one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HelperChoice {
    /// Its position among the candidates.
    pub position: usize,
    /// The tokens of the prompt that its memory holds; the first engine holds the others.
    pub held: u64,
}

/// Where a request goes: positions among the candidates.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupChoice {
    /// The engine that writes the answer.
    pub first: usize,
    /// The engines that read with it.
    pub helpers: Vec<HelperChoice>,
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
    /// It is larger than the memory of all engines that could hold it together.
    TooLarge,
    /// The engines' time is worth more to other requests.
    TooCostly,
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

/// Returns for each engine whether it is one of those that the short requests share: the first ones of
/// its zone, as many as the short requests that run in the zone need.
fn tight_pool(slots: u32, candidates: &[GroupCandidate]) -> Vec<bool> {
    let zones = candidates.iter().map(|one| one.zone + 1).max().unwrap_or(0);
    let mut running = vec![0; zones];
    for one in candidates {
        running[one.zone] += one.load.running[GapClass::Tight as usize];
    }
    let each = (f64::from(slots) * POOL_SLOTS_PART).max(1.0) as u32;
    let mut left: Vec<u32> = running.iter().map(|count| count / each + 1).collect();
    let joins = |one: &GroupCandidate| {
        let is_open = left[one.zone] > 0;
        left[one.zone] -= u32::from(is_open);
        is_open
    };
    candidates.iter().map(joins).collect()
}

/// Returns what part of its worth an answer is taken to lose when its engine reads for `reading`
/// beside it: nearly nothing well below the limit, since readings come in different passes.
fn read_harm(pauses: GapClass, reading: Duration) -> f64 {
    let limit = READ_LIMITS[pauses as usize];
    let share = reading.as_secs_f64() / limit.as_secs_f64();
    READ_HARMS[pauses as usize] * share.min(1.0).powi(READ_POWERS[pauses as usize])
}

/// Returns a number from 0 to 1 that is spread evenly over draws and positions.
fn chance(draw: u64, position: usize) -> f64 {
    let mut random = SmallRng::seed_from_u64(draw ^ (position as u64).rotate_left(32));
    random.random()
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
    let holders = if profile.joint { candidates.len().min(HOLDERS_MAX + 1) } else { 1 };
    if need > room * holders as u64 {
        return ChoiceOutcome::TooLarge;
    }
    let pool = tight_pool(profile.slots, candidates);
    let choice = Chooser { profile, ask, candidates, room, need, pool: &pool };
    choice.best()
}

struct Chooser<'a> {
    profile: &'a EngineProfile,
    ask: &'a EngineAsk,
    candidates: &'a [GroupCandidate],
    room: u64,
    need: u64,
    /// For each engine, whether short requests share it.
    pool: &'a [bool],
}

impl Chooser<'_> {
    fn best(&self) -> ChoiceOutcome {
        let alone = self.profile.prefill_time(self.ask.size.prompt);
        let mut best: Option<(f64, GroupChoice)> = None;
        let parts = alone.as_secs_f64() / LEAST_PART.as_secs_f64();
        let most = if self.profile.joint { (parts as usize).clamp(1, GROUP_MAX) } else { 1 };
        for count in 1..=most.min(self.candidates.len()) {
            let part = alone / count as u32;
            let Some((cost, choice)) = self.group(count, part) else { continue };
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, choice));
            }
        }
        let Some((_, choice)) = best else { return self.wait_for_room() };
        let worth = prompt_worth(self.ask.size.prompt) * (1.0 - self.lateness(choice.first_event));
        if worth < self.ask.price * alone.as_secs_f64() {
            return ChoiceOutcome::TooCostly;
        }
        let backlog = self.candidates[choice.first].load.backlog;
        if choice.first_event > self.ask.abandon_after {
            return ChoiceOutcome::Hopeless(choice.first_event - self.ask.abandon_after);
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
            .map(|position| {
                let behind = self.candidates[position].load.backlog.as_secs_f64();
                (self.place_cost(position, part, count > 1) + behind, position)
            })
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (first, mut others) = self.pick_first(&order, count)?;
        others.truncate(count - 1);
        let helpers = self.divide_memory(first, &others)?;
        let members = || others.iter().copied().chain([first]);
        let backlog = members().map(|position| self.candidates[position].load.backlog).max()?;
        let first_event = backlog + part + self.pass(first) + FIRST_EVENT_EXTRA;
        let places: f64 =
            members().map(|position| self.place_cost(position, part, count > 1)).sum();
        let holders = helpers.iter().filter(|helper| helper.held > 0).count();
        let worth = prompt_worth(self.ask.size.prompt);
        let cost = worth * self.lateness(first_event)
            + places
            + MEMBER_COST * count as f64
            + HOLDER_COST * holders as f64;
        Some((cost, GroupChoice { first, helpers, first_event }))
    }

    /// Picks the engine that writes, and returns the others by their cost: the cheapest one that
    /// holds the whole prompt or, in a group that none of the cheapest could hold it alone, the one
    /// with the most memory.
    fn pick_first(&self, order: &[(f64, usize)], count: usize) -> Option<(usize, Vec<usize>)> {
        let has_slot = |position: &usize| self.has_slot(*position);
        let positions: Vec<usize> = order.iter().map(|(_, position)| *position).collect();
        let members = if count == 1 { &positions[..] } else { &positions[..count] };
        let alone = members.iter().copied().find(|at| has_slot(at) && self.free(*at) >= self.need);
        let roomiest = || {
            let open = members.iter().copied().filter(|at| count > 1 && has_slot(at));
            open.max_by_key(|at| self.free(*at))
        };
        let first = alone.or_else(roomiest)?;
        let others = positions.into_iter().filter(|at| *at != first).collect();
        Some((first, others))
    }

    /// Divides what the first engine cannot hold among the helpers with the most memory.
    fn divide_memory(&self, first: usize, others: &[usize]) -> Option<Vec<HelperChoice>> {
        let mut helpers: Vec<HelperChoice> =
            others.iter().map(|at| HelperChoice { position: *at, held: 0 }).collect();
        let mut missing = self.need.saturating_sub(self.free(first));
        if missing == 0 {
            return Some(helpers);
        }
        let mut roomiest: Vec<usize> = (0..helpers.len()).collect();
        roomiest.sort_by_key(|at| std::cmp::Reverse(self.free(helpers[*at].position)));
        for at in roomiest.into_iter().take(HOLDERS_MAX) {
            let held = self.free(helpers[at].position).min(missing + HOLD_MARGIN);
            helpers[at].held = held;
            missing = missing.saturating_sub(held);
            if missing == 0 {
                return Some(helpers);
            }
        }
        None
    }

    /// Returns what reading `part` at a candidate costs the requests that run there.
    fn place_cost(&self, position: usize, part: Duration, is_joint: bool) -> f64 {
        let candidate = &self.candidates[position];
        let load = &candidate.load;
        let mut cost = 0.0;
        if candidate.doubtful {
            cost += DOUBT_COST;
        }
        for pauses in GapClass::ALL {
            let harm = read_harm(pauses, load.backlog + part) - read_harm(pauses, load.backlog);
            cost += load.stake(pauses) * harm;
        }
        match self.ask.pauses {
            GapClass::Tight => {
                if !self.pool[position] {
                    cost += OUTSIDE_COST + ORDER_COST * position as f64;
                }
                if !candidate.is_near {
                    cost += FAR_COST;
                }
                cost += load.backlog.as_secs_f64();
                cost += PACK_COST * position as f64;
                cost += CHANCE_COST * chance(self.ask.draw, position);
            }
            GapClass::Loose | GapClass::Wide => {
                let from_end = self.candidates.len() - 1 - position;
                cost += ORDER_COST * from_end as f64;
                if load.running[GapClass::Tight as usize] > 0 {
                    cost += POOL_COST;
                }
                if is_joint {
                    cost += MEMBER_COST;
                }
            }
        }
        cost
    }

    fn has_slot(&self, position: usize) -> bool {
        let load = &self.candidates[position].load;
        let is_urgent = self.ask.pauses == GapClass::Tight && self.ask.on_time > load.backlog;
        let kept = if is_urgent { 0 } else { FREE_SLOTS };
        load.running_total() + kept < self.profile.slots.max(kept + 1)
    }

    /// Returns the tokens of memory that are free at a candidate.
    fn free(&self, position: usize) -> u64 {
        self.room.saturating_sub(self.candidates[position].load.tokens)
    }

    /// Returns how long the pass under way may still take before the prompt is looked at.
    fn pass(&self, position: usize) -> Duration {
        match self.candidates[position].load.running_total() {
            0 => Duration::ZERO,
            _ => self.profile.pass_time(),
        }
    }

    /// Returns what part of the worth is lost when the first event comes after `first_event`.
    fn lateness(&self, first_event: Duration) -> f64 {
        let on_time = self.ask.on_time.mul_f64(SAFE_PART).as_secs_f64().max(1e-3);
        let share = first_event.as_secs_f64() / on_time;
        if share <= 1.0 { EARLY_GAIN * share } else { LATE_LOSS + 0.02 * share.min(10.0) }
    }
}
