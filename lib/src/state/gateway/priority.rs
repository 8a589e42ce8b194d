//! How well each priority of a service is served, and what that means for less urgent requests.
//!
//! A host sees only its own requests. They are a random sample of the service's requests, so the shares
//! of all hosts agree in the mean; the prior keeps those of a host with few requests near 1.

use std::collections::BTreeMap;
use std::time::Duration;

use super::DecayingSum;
use crate::state::Moment;

/// The time constant of outcomes: about half of a burst of 9.5 s.
const OUTCOME_TIME: Duration = Duration::from_secs(5);
/// The time constant of the demand by priority. Long prompts are rare at one host, so it is longer than
/// that of outcomes.
const DEMAND_TIME: Duration = Duration::from_secs(10);
/// The requests that count as served on time beside those that a host has seen.
const SERVED_PRIOR: f64 = 1.0;
/// The seconds of prefill that count as urgent demand beside what a host has seen.
const DEMAND_PRIOR: f64 = 0.3;
/// The share of its value that a more urgent priority may lose before less urgent requests are refused:
/// two thirds of the 15% by which a less urgent kind may be served better.
const TOLERATED_LOSS: f64 = 0.1;
/// The share of less urgent requests that is refused per share of lost value above the tolerated one. A
/// caller that is refused tries again, so that refusing a share x of the attempts refuses only x² of the
/// callers.
const LOSS_GAIN: f64 = 4.0;
/// The share of the attempts of the least urgent priority that is served whatever the load, so that each
/// kind, size and customer keeps at least a quarter of the rate at which all are served.
const KEPT_SHARE: f64 = 0.25;
/// The addition to that share for each less urgent priority: where all but the most urgent priority have
/// only these shares, they keep the order.
const KEPT_STEP: f64 = 0.05;

/// The outcomes and the demand of one priority.
#[derive(Debug, Clone, Copy, Default)]
struct PriorityRecord {
    ended: DecayingSum,
    served: DecayingSum,
    demand: DecayingSum,
}

impl PriorityRecord {
    fn served_share(&self, now: Moment) -> f64 {
        let served = self.served.get(now, OUTCOME_TIME) + SERVED_PRIOR;
        served / (self.ended.get(now, OUTCOME_TIME) + SERVED_PRIOR)
    }
}

/// The outcomes and the demand of a service's priorities, as one host sees them.
#[derive(Debug, Clone, Default)]
pub struct PriorityOutcomes {
    records: BTreeMap<u8, PriorityRecord>,
}

impl PriorityOutcomes {
    /// Counts a request that asks for `prefill` of engine time.
    pub fn count_demand(&mut self, now: Moment, priority: u8, prefill: Duration) {
        let record = self.records.entry(priority).or_default();
        record.demand.add(now, DEMAND_TIME, prefill.as_secs_f64());
    }

    /// Counts a request that got `share` of its value: 1 on time, 0 if it was refused.
    pub fn record(&mut self, now: Moment, priority: u8, share: f64) {
        let record = self.records.entry(priority).or_default();
        record.ended.add(now, OUTCOME_TIME, 1.0);
        record.served.add(now, OUTCOME_TIME, share);
    }

    /// Returns the share of their value that the requests of `priority` got.
    ///
    /// ```
    /// use wasabicrank_lib::state::{Moment, PriorityOutcomes};
    /// let mut outcomes = PriorityOutcomes::default();
    /// assert_eq!(outcomes.served_share(Moment(0), 0), 1.0);
    /// outcomes.record(Moment(0), 0, 0.0);
    /// assert_eq!(outcomes.served_share(Moment(0), 0), 0.5);
    /// ```
    pub fn served_share(&self, now: Moment, priority: u8) -> f64 {
        self.records.get(&priority).map_or(1.0, |record| record.served_share(now))
    }

    /// Returns the share of their value that the requests of all priorities got.
    pub fn capacity_share(&self, now: Moment) -> f64 {
        let sum = |part: fn(&PriorityRecord) -> DecayingSum| {
            let parts = self.records.values().map(|one| part(one).get(now, OUTCOME_TIME));
            parts.sum::<f64>() + SERVED_PRIOR
        };
        sum(|one| one.served) / sum(|one| one.ended)
    }

    /// Returns the share of its prefill demand that is as urgent as `priority` or more urgent; 1 for the
    /// least urgent priority.
    pub fn demand_share(&self, now: Moment, priority: u8) -> f64 {
        let sum = |records: &mut dyn Iterator<Item = &PriorityRecord>| {
            DEMAND_PRIOR + records.map(|one| one.demand.get(now, DEMAND_TIME)).sum::<f64>()
        };
        let urgent = sum(&mut self.records.range(..=priority).map(|(_, record)| record));
        urgent / sum(&mut self.records.values())
    }

    /// Returns the share of the requests of `priority` that are served while capacity is scarce: less
    /// than 1 if a more urgent priority loses more than is tolerated.
    ///
    /// ```
    /// use wasabicrank_lib::state::{Moment, PriorityOutcomes};
    /// let mut outcomes = PriorityOutcomes::default();
    /// (0..9).for_each(|_| outcomes.record(Moment(0), 0, 0.0));
    /// assert!(outcomes.admitted_share(Moment(0), 1) < 0.1);
    /// assert_eq!(outcomes.admitted_share(Moment(0), 0), 1.0);
    /// ```
    pub fn admitted_share(&self, now: Moment, priority: u8) -> f64 {
        let shares = self.records.range(..priority).map(|(_, record)| {
            let loss = 1.0 - record.served_share(now);
            1.0 - LOSS_GAIN * (loss - TOLERATED_LOSS).max(0.0)
        });
        shares.fold(1.0, f64::min).max(0.0)
    }
}

/// Returns the share of the attempts of a priority that is served whatever the load, by the number of less
/// urgent priorities of its service.
///
/// ```
/// use wasabicrank_lib::state::kept_share;
/// assert_eq!(kept_share(0), 0.25);
/// assert!(kept_share(1) > kept_share(0));
/// ```
pub fn kept_share(less_urgent: usize) -> f64 {
    (KEPT_SHARE + KEPT_STEP * less_urgent as f64).min(1.0)
}
