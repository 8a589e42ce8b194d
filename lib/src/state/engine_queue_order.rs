//! The order in which the start requests for one engine are granted.
//!
//! Each request has a due time: its arrival plus its own prefill time. So short requests overtake
//! long ones, but no new request overtakes one that has waited as long as its own prefill takes.

use std::collections::BTreeMap;
use std::time::Duration;

use super::attempt_messages::StartRequest;
use super::names::CustomerName;
use super::request::Priority;
use super::time::Moment;

/// The shortest long prompt, in tokens.
pub const LONG_TOKENS: u32 = 32_768;

/// The longest short prompt, in tokens; a prompt between short and long is medium.
pub const SHORT_TOKENS: u32 = 4_096;

/// How far one step of priority moves the due time.
const PRIORITY_STEP: Duration = Duration::from_secs(2);

/// The maximum time by which a customer's own load delays its requests.
const MAX_FAIR_DELAY: Duration = Duration::from_secs(10);

/// The number of length levels.
pub const LENGTH_LEVELS: usize = 5;

/// The longest prompt of each level but the last, in tokens.
const LEVEL_MAX_TOKENS: [u32; LENGTH_LEVELS - 1] = [SHORT_TOKENS, 16_384, LONG_TOKENS - 1, 131_072];

/// The engine priority of each level for a request of normal priority.
const LEVEL_PRIORITIES: [u8; LENGTH_LEVELS] = [8, 6, 5, 3, 1];

/// A class of prompt lengths. Engines read the prompts of a lower level first.
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
        let below = LEVEL_MAX_TOKENS.iter().filter(|bound| **bound < tokens).count();
        LengthLevel(below as u8)
    }

    /// Returns the number of the level, from zero.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Returns whether prompts of the level have at least `LONG_TOKENS` tokens.
    pub fn is_long(self) -> bool {
        self >= LengthLevel::of(LONG_TOKENS)
    }

    /// Returns whether prompts of the level have at most `SHORT_TOKENS` tokens.
    pub fn is_short(self) -> bool {
        self.0 == 0
    }
}

/// Returns the priority, from 0 to 9, that a request of which `tokens` must be read has on an
/// engine.
///
/// Shorter requests have a higher priority; the caller's priority decides within a length level.
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

/// The engine priority of the segments of a group. It is above that of other very long prompts,
/// because a group holds the memory of several engines until its last segment is read.
pub const SEGMENT_PRIORITY: u8 = 2;

/// A due time, in microseconds of the dispatcher's clock; it may be negative.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct DueTime(i64);

impl DueTime {
    /// Returns the due time of a request that counts from `start` and whose prefill takes
    /// `prefill_time`, which is weighted by `factor`.
    pub(crate) fn new(
        start: Moment,
        prefill_time: Duration,
        factor: f64,
        priority: Priority,
    ) -> DueTime {
        let step = signed_micros(PRIORITY_STEP);
        let offset = match priority {
            Priority::Low => step,
            Priority::Normal => 0,
            Priority::High => -step,
        };
        let delay = signed_micros(prefill_time.mul_f64(factor));
        DueTime(signed(start.0).saturating_add(delay).saturating_add(offset))
    }

    /// Returns whether the due time has passed.
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

/// Spaces the requests of each customer by its weight, so that a customer that floods an engine
/// waits behind those that do not.
#[derive(Debug, Clone, Default)]
pub(crate) struct FairSpacing {
    flows: BTreeMap<(CustomerName, LengthLevel), Flow>,
}

/// The requests of one customer in one length level.
#[derive(Debug, Clone)]
struct Flow {
    /// The earliest time from which the next request counts.
    next_start: Moment,
    queued: u32,
    weight: u32,
}

impl FairSpacing {
    /// Adds a request and returns the time from which it counts.
    pub(crate) fn enqueue(
        &mut self,
        now: Moment,
        arrived: Moment,
        request: &StartRequest,
        level: LengthLevel,
        prefill_time: Duration,
    ) -> Moment {
        let weights = self.queued_weight(level, &request.customer, request.weight);
        let key = (request.customer.clone(), level);
        let flow = self.flows.entry(key).or_insert(Flow { next_start: now, queued: 0, weight: 1 });
        flow.weight = request.weight.max(1);
        flow.queued += 1;
        let start = flow.next_start.max(arrived).min(now + MAX_FAIR_DELAY);
        let spacing = prefill_time.mul_f64(f64::from(weights) / f64::from(flow.weight));
        flow.next_start = (flow.next_start.max(arrived) + spacing).min(now + MAX_FAIR_DELAY);
        start
    }

    /// Removes a request that has left the queue.
    pub(crate) fn dequeue(&mut self, now: Moment, customer: &CustomerName, level: LengthLevel) {
        let key = (customer.clone(), level);
        let Some(flow) = self.flows.get_mut(&key) else { return };
        flow.queued = flow.queued.saturating_sub(1);
        if flow.queued == 0 && flow.next_start <= now {
            self.flows.remove(&key);
        }
    }

    /// Returns the total weight of the customers with queued requests in `level`, including
    /// `customer`.
    fn queued_weight(&self, level: LengthLevel, customer: &CustomerName, weight: u32) -> u32 {
        let others = self
            .flows
            .iter()
            .filter(|(key, flow)| key.1 == level && key.0 != *customer && flow.queued > 0);
        others.map(|(_, flow)| flow.weight).sum::<u32>().saturating_add(weight.max(1))
    }

    /// Drops the flows that have nothing queued and whose next request is not delayed.
    pub(crate) fn prune(&mut self, now: Moment) {
        self.flows.retain(|_, flow| flow.queued > 0 || flow.next_start > now);
    }
}
