//! The order in which asks for one engine are granted.
//!
//! Each ask has a target time: its arrival, later by its own prefill time, so that short asks pass
//! long ones, but an ask that has waited as long as its own prefill is passed by no newcomer.

use std::collections::BTreeMap;
use std::time::Duration;

use super::attempt_messages::StartRequest;
use super::names::CustomerName;
use super::request::Priority;
use super::time::Moment;

/// The length from which a prompt is long, in tokens.
pub const LONG_TOKENS: u32 = 32_768;

/// The length up to which a prompt is short, in tokens; between the two it is medium.
pub const SHORT_TOKENS: u32 = 4_096;

/// How far a priority moves the target time, per step.
const PRIORITY_STEP: Duration = Duration::from_secs(2);

/// The most by which a customer's own load moves its asks back.
const FAIR_MAX: Duration = Duration::from_secs(10);

/// The number of length levels.
pub const LEVELS: usize = 5;

/// The longest prompt of each level but the last, in tokens.
const LEVEL_BOUNDS: [u32; LEVELS - 1] = [SHORT_TOKENS, 16_384, LONG_TOKENS - 1, 131_072];

/// The engine priority of each level for a request of normal priority.
const LEVEL_PRIORITIES: [u8; LEVELS] = [8, 6, 5, 3, 1];

/// How long a prompt is, roughly; engines read the prompts of a lower level first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LengthLevel(u8);

impl LengthLevel {
    /// Returns the level of a prompt of which `tokens` must be read.
    ///
    /// ```
    /// use wasabicrank_lib::state::LengthLevel;
    /// assert!(LengthLevel::of(1_000) < LengthLevel::of(10_000));
    /// assert!(LengthLevel::of(1_000_000).is_long());
    /// ```
    pub fn of(tokens: u32) -> LengthLevel {
        let below = LEVEL_BOUNDS.iter().filter(|bound| **bound < tokens).count();
        LengthLevel(below as u8)
    }

    /// Returns the level's number, from zero.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Tells whether prompts of the level have at least `LONG_TOKENS`.
    pub fn is_long(self) -> bool {
        self >= LengthLevel::of(LONG_TOKENS)
    }

    /// Tells whether prompts of the level have at most `SHORT_TOKENS`.
    pub fn is_short(self) -> bool {
        self.0 == 0
    }
}

/// Returns the priority that an engine is given, from 0 to 9, for a request of which `tokens` must be
/// read: the shorter, the higher, and the caller's priority within a length.
///
/// ```
/// use wasabicrank_lib::state::{Priority, engine_priority};
/// assert!(engine_priority(Priority::Low, 1_000) > engine_priority(Priority::High, 500_000));
/// ```
pub fn engine_priority(priority: Priority, tokens: u32) -> u8 {
    let base = LEVEL_PRIORITIES[LengthLevel::of(tokens).index()];
    match priority {
        Priority::Low => base - 1,
        Priority::Normal => base,
        Priority::High => base + 1,
    }
}

/// The engine priority of the segments of a group, above that of other very long prompts: a
/// group holds several engines' memory until its last segment is read.
pub const SEGMENT_PRIORITY: u8 = 2;

/// A target time, in microseconds of the dispatcher's clock; it may lie before the clock's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Target(i64);

impl Target {
    /// Returns the target of an ask that counts from `start` and needs `own` to be read.
    pub(crate) fn new(start: Moment, own: Duration, factor: f64, priority: Priority) -> Target {
        let step = signed_micros(PRIORITY_STEP);
        let offset = match priority {
            Priority::Low => step,
            Priority::Normal => 0,
            Priority::High => -step,
        };
        let own = signed_micros(own.mul_f64(factor));
        Target(signed(start.0).saturating_add(own).saturating_add(offset))
    }

    /// Tells whether the target has passed.
    pub(crate) fn is_past(self, now: Moment) -> bool {
        self.0 <= signed(now.0)
    }
}

fn signed(micros: u64) -> i64 {
    i64::try_from(micros).unwrap_or(i64::MAX)
}

fn signed_micros(span: Duration) -> i64 {
    i64::try_from(span.as_micros()).unwrap_or(i64::MAX)
}

/// Spaces the asks of each customer by its weight, so that a customer that floods an engine waits
/// behind those that do not.
#[derive(Debug, Clone, Default)]
pub(crate) struct FairClock {
    lanes: BTreeMap<(CustomerName, LengthLevel), Lane>,
}

/// The asks of one customer in one length level.
#[derive(Debug, Clone)]
struct Lane {
    next: Moment,
    waiting: u32,
    weight: u32,
}

impl FairClock {
    /// Counts an ask as waiting and returns the time from which it counts.
    pub(crate) fn enter(
        &mut self,
        now: Moment,
        arrived: Moment,
        ask: &StartRequest,
        level: LengthLevel,
        own: Duration,
    ) -> Moment {
        let weights = self.waiting_weight(level, &ask.customer, ask.weight);
        let key = (ask.customer.clone(), level);
        let lane = self.lanes.entry(key).or_insert(Lane { next: now, waiting: 0, weight: 1 });
        lane.weight = ask.weight.max(1);
        lane.waiting += 1;
        let start = lane.next.max(arrived).min(now + FAIR_MAX);
        let spacing = own.mul_f64(f64::from(weights) / f64::from(lane.weight));
        lane.next = (lane.next.max(arrived) + spacing).min(now + FAIR_MAX);
        start
    }

    /// Counts an ask as waiting no more.
    pub(crate) fn leave(&mut self, now: Moment, customer: &CustomerName, level: LengthLevel) {
        let key = (customer.clone(), level);
        let Some(lane) = self.lanes.get_mut(&key) else { return };
        lane.waiting = lane.waiting.saturating_sub(1);
        if lane.waiting == 0 && lane.next <= now {
            self.lanes.remove(&key);
        }
    }

    /// Returns the weight of all customers that wait in `level`, with that of `customer`.
    fn waiting_weight(&self, level: LengthLevel, customer: &CustomerName, weight: u32) -> u32 {
        let others = self
            .lanes
            .iter()
            .filter(|(key, lane)| key.1 == level && key.0 != *customer && lane.waiting > 0);
        others.map(|(_, lane)| lane.weight).sum::<u32>().saturating_add(weight.max(1))
    }

    /// Drops the lanes of customers that have nothing waiting and owe nothing.
    pub(crate) fn prune(&mut self, now: Moment) {
        self.lanes.retain(|_, lane| lane.waiting > 0 || lane.next > now);
    }
}
