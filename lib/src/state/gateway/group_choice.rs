//! Chooses the engine that serves a request and the helpers that prefill its prompt jointly.
//!
//! Prefill delays the responses that the same engine is decoding; for a long prompt, by more than
//! the whole event gap that callers with short prompts accept. The choice therefore minimizes a
//! cost, in units of request value, of how late the first event comes, which running responses it
//! makes late, and how many engines it disturbs. As a result, short prompts are packed on few
//! engines, in an order that all hosts share, and long prompts are split over the others.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::EngineProfile;
use super::GapClass;
use super::PromptSize;
use super::SequenceLoad;
use super::ServerLoad;

/// The maximum number of engines that prefill one prompt: the first one and its helpers.
const MAX_GROUP: usize = 16;
/// The minimum prefill time per engine for which a group is extended by another engine.
const MIN_PREFILL_PART: Duration = Duration::from_millis(10);
/// The maximum number of helpers whose memory holds a part of one prompt.
const MAX_HOLDERS: usize = 4;
/// The cost of each holder besides the first engine: the reservation orders, and one more engine
/// whose failure fails the request.
const HOLDER_COST: f64 = 0.1;
/// The tokens added to a held part, since engines allocate memory in blocks.
const HOLD_MARGIN_TOKENS: u64 = 512;
/// The value of a request: this base, plus one for each ten thousand tokens of its prompt. This is
/// close to what both users' sheets give for their kinds of request.
const BASE_VALUE: f64 = 0.8;
const TOKENS_PER_VALUE: f64 = 10_000.0;
/// The fraction of its value that a late response loses, from the users' sheets.
pub(crate) const LATE_LOSS_FRACTION: f64 = 0.64;
/// The longest uninterrupted prefill that makes no response of each class late: event gaps of 200,
/// 500 and 800 ms, less one scheduler pass and the other prompts that are prefilled in the same
/// pass.
const PREFILL_LIMITS: [Duration; GapClass::ALL.len()] =
    [Duration::from_millis(110), Duration::from_millis(410), Duration::from_millis(700)];
/// The fraction of its value that a response of each class loses to a prefill at the limit. For the
/// most sensitive class it includes the loss of the responses that arrive meanwhile; for the others
/// it is little more than half or less, since their events often fall between two passes.
const PREFILL_PENALTIES: [f64; GapClass::ALL.len()] = [1.28, 0.64, 0.38];
/// The exponents with which the penalty rises up to the limit; short prompts arrive often, and
/// several may be prefilled in one pass.
const PREFILL_PENALTY_EXPONENTS: [i32; GapClass::ALL.len()] = [9, 6, 8];
/// The fraction of the objective that the estimated time to the first event may take.
const SAFE_OBJECTIVE_FRACTION: f64 = 0.8;
/// The fraction of their slots that short requests fill at the engines of the pool before it grows.
const POOL_SLOT_FRACTION: f64 = 0.6;
/// The fraction of its value that a request gains by an immediate first event over one that is just
/// on time, since the engines are then free for other requests sooner.
const EARLY_BONUS: f64 = 0.2;
/// The cost of an engine outside the pool for a short request.
const OUTSIDE_POOL_COST: f64 = 0.6;
/// The cost of an engine that serves short requests for a long request, besides the penalty for its
/// running responses.
const POOL_COST: f64 = 0.3;
/// The cost per position in the shared order for short requests, so that they soon vacate the other
/// engines when fewer of them run.
const PACKING_COST: f64 = 0.001;
/// The cost of an engine in another zone for a short request: hosts learn the load of their own
/// zone sooner, and traffic between zones is expensive.
const CROSS_ZONE_COST: f64 = 0.05;
/// The maximum random cost added to an engine for a short request. What hosts know of each other's
/// load is a tenth of a second old; without jitter, all of them would choose the same engine
/// meanwhile.
const JITTER_COST: f64 = 0.01;
/// The cost per position, counted from the end of the shared order, for long requests, so that they
/// stay away from the pool of short ones; also the cost per position of engines outside the pool
/// for short requests.
const ORDER_COST: f64 = 0.002;
/// The cost of each engine in a group.
const MEMBER_COST: f64 = 0.007;
/// The cost of an engine that failed requests recently.
const DEGRADED_COST: f64 = 2.0;
/// The slots reserved at each engine for short prompts that can still be served on time.
pub(crate) const RESERVED_SLOTS: u32 = 2;
/// The fraction of an engine's memory that is filled with requests.
const USABLE_MEMORY_FRACTION: f64 = 0.93;
/// The time from a request's arrival at an engine to its first event, besides prefill and one pass.
const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(12);
/// The longest backlog of an engine that a request is sent to; behind a longer one the request
/// waits at this host, to be placed again later.
const MAX_BACKLOG: Duration = Duration::from_millis(300);

/// An engine that may serve the request; all hosts list the candidates in the same order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupCandidate {
    /// Its load from all hosts.
    pub load: ServerLoad,
    /// Whether it was lost or failed often recently.
    pub degraded: bool,
    /// The index of its availability zone among the zones of all candidates.
    pub zone: usize,
    /// Whether it is in the zone of the choosing host.
    pub same_zone: bool,
}

/// The request to choose engines for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupQuery {
    /// The length of the prompt and the maximum length of the response.
    pub size: PromptSize,
    /// How sensitive the response is to gaps between its events.
    pub gap_class: GapClass,
    /// How long from now the first event is still on time.
    pub objective_left: Duration,
    /// How long from now the caller abandons the request without a first event.
    pub abandon_after: Duration,
    /// The minimum value per second of prefill, which rises under load.
    pub price: f64,
    /// Whether expected times include the slots and the sequences that are in use at engines.
    pub engine_model: bool,
    /// Whether it may use the slots that are reserved for short prompts.
    pub uses_reserve: bool,
    /// The seed of the random cost that is added to each engine.
    pub jitter_seed: u64,
}

/// An engine that prefills jointly with the first one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HelperChoice {
    /// Its position among the candidates.
    pub position: usize,
    /// The tokens of the prompt that its memory holds; the first engine holds the rest.
    pub held_tokens: u64,
}

/// The chosen engines, as positions among the candidates.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupChoice {
    /// The engine that produces the response.
    pub first: usize,
    /// The engines that prefill jointly with it.
    pub helpers: Vec<HelperChoice>,
    /// The expected time from now to the first event.
    pub first_event: Duration,
}

/// A request that is worth less than its prefill costs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostlyRequest {
    /// Its value if its first event comes as expected.
    pub value: f64,
    /// The expected time from now to the first event.
    pub first_event: Duration,
}

/// The result of a choice.
#[derive(Debug, Clone, PartialEq)]
pub enum ChoiceOutcome {
    /// The request is sent to these engines now.
    Send(GroupChoice),
    /// No engine has capacity yet; one may have after this time.
    Wait(Duration),
    /// The first event would come this much later than the caller waits.
    TooLate(Duration),
    /// The request is larger than the memory of all engines that could hold it jointly.
    TooLarge,
    /// Its value per second of prefill is below the price.
    TooCostly(CostlyRequest),
    /// There is no candidate.
    NoEngine,
}

/// Returns the value of a request with a prompt of `tokens`, in the units of all costs of a choice.
///
/// ```
/// use wasabicrank_lib::state::prompt_value;
/// assert!(prompt_value(200_000) > 10.0 * prompt_value(5_000));
/// ```
pub fn prompt_value(tokens: u64) -> f64 {
    BASE_VALUE + tokens as f64 / TOKENS_PER_VALUE
}

/// Returns for each engine whether it is in the pool of short requests: the first engines of each
/// zone, as many as the short requests that run in the zone need.
fn tight_pool(slots: u32, candidates: &[GroupCandidate]) -> Vec<bool> {
    let zones = candidates.iter().map(|one| one.zone + 1).max().unwrap_or(0);
    let mut running = vec![0; zones];
    for one in candidates {
        running[one.zone] += one.load.running[GapClass::Tight as usize];
    }
    let each = (f64::from(slots) * POOL_SLOT_FRACTION).max(1.0) as u32;
    let mut left: Vec<u32> = running.iter().map(|count| count / each + 1).collect();
    let joins = |one: &GroupCandidate| {
        let is_open = left[one.zone] > 0;
        left[one.zone] -= u32::from(is_open);
        is_open
    };
    candidates.iter().map(joins).collect()
}

/// Returns the fraction of its value that a running response is assumed to lose when its engine
/// prefills for that many seconds: nearly nothing well below the limit, since prefills fall into different
/// passes.
fn prefill_penalty(gap_class: GapClass, prefill_seconds: f64) -> f64 {
    let share = prefill_seconds / PREFILL_LIMITS[gap_class as usize].as_secs_f64();
    PREFILL_PENALTIES[gap_class as usize]
        * share.min(1.0).powi(PREFILL_PENALTY_EXPONENTS[gap_class as usize])
}

/// Returns a number from 0 to 1 that is uniformly distributed over seeds and positions.
fn jitter(seed: u64, position: usize) -> f64 {
    let mut random = SmallRng::seed_from_u64(seed ^ (position as u64).rotate_left(32));
    random.random()
}

/// Returns the cost of a candidate that does not depend on the length of the prefill.
fn fixed_cost(
    query: &GroupQuery,
    candidates: &[GroupCandidate],
    position: usize,
    in_pool: bool,
) -> f64 {
    let candidate = &candidates[position];
    let load = &candidate.load;
    let mut cost = 0.0;
    if candidate.degraded {
        cost += DEGRADED_COST;
    }
    match query.gap_class {
        GapClass::Tight => {
            if !in_pool {
                cost += OUTSIDE_POOL_COST + ORDER_COST * position as f64;
            }
            if !candidate.same_zone {
                cost += CROSS_ZONE_COST;
            }
            cost += load.backlog.as_secs_f64();
            cost += PACKING_COST * position as f64;
            cost += JITTER_COST * jitter(query.jitter_seed, position);
        }
        GapClass::Loose | GapClass::Wide => {
            let from_end = candidates.len() - 1 - position;
            cost += ORDER_COST * from_end as f64;
            if load.running[GapClass::Tight as usize] > 0 {
                cost += POOL_COST;
            }
        }
    }
    cost
}

/// Chooses engines for `query` among `candidates`, which share `profile`.
pub fn choose_group(
    profile: &EngineProfile,
    query: &GroupQuery,
    candidates: &[GroupCandidate],
) -> ChoiceOutcome {
    if candidates.is_empty() {
        return ChoiceOutcome::NoEngine;
    }
    let capacity = (profile.memory_tokens as f64 * USABLE_MEMORY_FRACTION) as u64;
    let output = query.size.max_output.min(profile.mean_output.saturating_mul(3));
    let needed = query.size.prompt + output;
    let holders = if profile.joint_prefill { candidates.len().min(MAX_HOLDERS + 1) } else { 1 };
    if needed > capacity * holders as u64 {
        return ChoiceOutcome::TooLarge;
    }
    let pool = tight_pool(profile.slots, candidates);
    let cost = |(position, in_pool)| EngineCost::new(query, candidates, position, in_pool);
    let costs: Vec<EngineCost> = pool.into_iter().enumerate().map(cost).collect();
    let chooser = Chooser { profile, query, candidates, capacity, needed, costs };
    chooser.best()
}

struct Chooser<'a> {
    profile: &'a EngineProfile,
    query: &'a GroupQuery,
    candidates: &'a [GroupCandidate],
    capacity: u64,
    needed: u64,
    costs: Vec<EngineCost>,
}

/// What the cost of prefilling at one engine is computed from.
struct EngineCost {
    /// The part that does not depend on the length of the prefill.
    fixed: f64,
    /// The prefill that the engine has left, in seconds.
    backlog: f64,
    /// The summed value of the responses that run there, by gap class.
    values: [f64; GapClass::ALL.len()],
}

impl EngineCost {
    fn new(
        query: &GroupQuery,
        candidates: &[GroupCandidate],
        position: usize,
        in_pool: bool,
    ) -> EngineCost {
        let load = &candidates[position].load;
        let mut cost = EngineCost {
            fixed: fixed_cost(query, candidates, position, in_pool),
            backlog: load.backlog.as_secs_f64(),
            values: load.response_value,
        };
        // Only the penalty beyond that of the backlog counts.
        cost.fixed -= cost.penalty(0.0);
        cost
    }

    /// Returns the loss of the running responses by a prefill of this many seconds and the backlog.
    fn penalty(&self, part_seconds: f64) -> f64 {
        let loss = |gap_class: GapClass| {
            let value = self.values[gap_class as usize];
            if value > 0.0 {
                value * prefill_penalty(gap_class, self.backlog + part_seconds)
            } else {
                0.0
            }
        };
        GapClass::ALL.into_iter().map(loss).sum()
    }
}

impl Chooser<'_> {
    fn best(&self) -> ChoiceOutcome {
        let full_prefill = self.profile.prefill_time(self.query.size.prompt);
        let mut best: Option<(f64, GroupChoice)> = None;
        let mut cheapest = Vec::with_capacity(MAX_GROUP + 1);
        let parts = full_prefill.as_secs_f64() / MIN_PREFILL_PART.as_secs_f64();
        let most =
            if self.profile.joint_prefill { (parts as usize).clamp(1, MAX_GROUP) } else { 1 };
        for count in 1..=most.min(self.candidates.len()) {
            let part = full_prefill / count as u32;
            let Some((cost, choice)) = self.group(count, part, &mut cheapest) else { continue };
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, choice));
            }
        }
        let Some((_, choice)) = best else { return self.wait_for_capacity() };
        let value =
            prompt_value(self.query.size.prompt) * (1.0 - self.lateness_loss(choice.first_event));
        if value < self.query.price * full_prefill.as_secs_f64() {
            return ChoiceOutcome::TooCostly(CostlyRequest {
                value,
                first_event: choice.first_event,
            });
        }
        let backlog = self.candidates[choice.first].load.backlog;
        if choice.first_event > self.query.abandon_after {
            return ChoiceOutcome::TooLate(choice.first_event - self.query.abandon_after);
        }
        if backlog > MAX_BACKLOG {
            return ChoiceOutcome::Wait(backlog - MAX_BACKLOG);
        }
        ChoiceOutcome::Send(choice)
    }

    fn wait_for_capacity(&self) -> ChoiceOutcome {
        let capacity = |candidate: &GroupCandidate| {
            let backlog = candidate.load.backlog;
            match self.query.engine_model {
                true => backlog.max(self.profile.slot_wait(SequenceLoad::from(&candidate.load))),
                false => backlog,
            }
        };
        ChoiceOutcome::Wait(self.candidates.iter().map(capacity).min().unwrap_or_default())
    }

    /// Returns the cheapest group of `count` engines that prefill for `part` each, with its cost;
    /// `cheapest` is a buffer.
    fn group(
        &self,
        count: usize,
        part: Duration,
        cheapest: &mut Vec<(f64, usize)>,
    ) -> Option<(f64, GroupChoice)> {
        let is_group = count > 1;
        let holds_all = |at: usize| self.has_slot(at) && self.free_tokens(at) >= self.needed;
        let is_member = |at: usize| is_group || holds_all(at);
        self.find_cheapest(cheapest, count, part, is_member);
        let (first, others) = self.pick_first(cheapest, is_group)?;
        let helpers = self.divide_memory(first, &others)?;
        let members = || others.iter().copied().chain([first]);
        let backlog = members().map(|position| self.candidates[position].load.backlog).max()?;
        let first_event = backlog + part + self.current_pass(first) + FIRST_EVENT_OVERHEAD;
        let engine_costs: f64 =
            members().map(|position| self.engine_cost(position, part, is_group)).sum();
        let holders = helpers.iter().filter(|helper| helper.held_tokens > 0).count();
        let value = prompt_value(self.query.size.prompt);
        let cost = value * self.lateness_loss(first_event)
            + engine_costs
            + MEMBER_COST * count as f64
            + HOLDER_COST * holders as f64;
        Some((cost, GroupChoice { first, helpers, first_event }))
    }

    /// Lists the `count` engines with the lowest cost and backlog among those for which `is_member`
    /// holds, in order.
    fn find_cheapest(
        &self,
        cheapest: &mut Vec<(f64, usize)>,
        count: usize,
        part: Duration,
        is_member: impl Fn(usize) -> bool,
    ) {
        cheapest.clear();
        for position in (0..self.costs.len()).filter(|at| is_member(*at)) {
            let cost = self.engine_cost(position, part, count > 1) + self.costs[position].backlog;
            let is_full = cheapest.len() == count;
            if is_full && cheapest.last().is_some_and(|(most, _)| *most <= cost) {
                continue;
            }
            if is_full {
                cheapest.pop();
            }
            let rank = cheapest.partition_point(|(other, _)| *other <= cost);
            cheapest.insert(rank, (cost, position));
        }
    }

    /// Picks the engine of a group that produces the response, and returns the others: the cheapest
    /// one that can hold the whole prompt or, if none can, the one with the most free memory.
    fn pick_first(&self, cheapest: &[(f64, usize)], is_group: bool) -> Option<(usize, Vec<usize>)> {
        let members = || cheapest.iter().map(|(_, at)| *at);
        if !is_group {
            return members().next().map(|at| (at, Vec::new()));
        }
        let able = || members().filter(|at| self.has_slot(*at));
        let alone = able().find(|at| self.free_tokens(*at) >= self.needed);
        let first = alone.or_else(|| able().max_by_key(|at| self.free_tokens(*at)))?;
        Some((first, members().filter(|at| *at != first).collect()))
    }

    /// Divides what the first engine cannot hold among the helpers with the most free memory.
    fn divide_memory(&self, first: usize, others: &[usize]) -> Option<Vec<HelperChoice>> {
        let mut helpers: Vec<HelperChoice> =
            others.iter().map(|at| HelperChoice { position: *at, held_tokens: 0 }).collect();
        let mut missing = self.needed.saturating_sub(self.free_tokens(first));
        if missing == 0 {
            return Some(helpers);
        }
        let mut most_free: Vec<usize> = (0..helpers.len()).collect();
        most_free.sort_by_key(|at| std::cmp::Reverse(self.free_tokens(helpers[*at].position)));
        for at in most_free.into_iter().take(MAX_HOLDERS) {
            let held = self.free_tokens(helpers[at].position).min(missing + HOLD_MARGIN_TOKENS);
            helpers[at].held_tokens = held;
            missing = missing.saturating_sub(held);
            if missing == 0 {
                return Some(helpers);
            }
        }
        None
    }

    /// Returns the cost of prefilling for `part` at a candidate: mainly the penalty for the
    /// responses that run there.
    fn engine_cost(&self, position: usize, part: Duration, is_group: bool) -> f64 {
        let engine = &self.costs[position];
        let is_long_member = is_group && self.query.gap_class != GapClass::Tight;
        let member_cost = if is_long_member { MEMBER_COST } else { 0.0 };
        engine.fixed + member_cost + engine.penalty(part.as_secs_f64())
    }

    fn has_slot(&self, position: usize) -> bool {
        let load = &self.candidates[position].load;
        let is_urgent =
            self.query.gap_class == GapClass::Tight && self.query.objective_left > load.backlog;
        let reserved = if is_urgent || self.query.uses_reserve { 0 } else { RESERVED_SLOTS };
        load.running_total() + reserved < self.profile.slots.max(reserved + 1)
    }

    /// Returns the tokens of memory that are free at a candidate.
    fn free_tokens(&self, position: usize) -> u64 {
        self.capacity.saturating_sub(self.candidates[position].load.tokens)
    }

    /// Returns how long the prompt waits at the engine for the passes and slots of others.
    fn current_pass(&self, position: usize) -> Duration {
        if self.query.engine_model {
            let load = SequenceLoad::from(&self.candidates[position].load);
            return self.profile.pass_delay(load) + self.profile.slot_wait(load);
        }
        match self.candidates[position].load.running_total() {
            0 => Duration::ZERO,
            _ => self.profile.pass_time(),
        }
    }

    /// Returns the fraction of the value that is lost when the first event comes after
    /// `first_event`.
    fn lateness_loss(&self, first_event: Duration) -> f64 {
        let on_time =
            self.query.objective_left.mul_f64(SAFE_OBJECTIVE_FRACTION).as_secs_f64().max(1e-3);
        let share = first_event.as_secs_f64() / on_time;
        if share <= 1.0 { EARLY_BONUS * share } else { LATE_LOSS_FRACTION + 0.02 * share.min(10.0) }
    }
}
