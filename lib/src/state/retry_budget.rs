//! The budget for retries: a failing engine must not multiply the load on the others.

use std::time::Duration;

use super::time::Moment;

/// First tries that earn one retry.
const TRIES_EACH: f64 = 10.0;

/// Retries that are always possible, per second.
const FLOOR_RATE: f64 = 1.0;

/// The most retries that can be saved up.
const SAVED_MAX: f64 = 20.0;

/// Counts first tries and the retries that they allow.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
    updated: Moment,
}

impl RetryBudget {
    /// Makes a budget with a few retries saved.
    pub fn new(now: Moment) -> RetryBudget {
        RetryBudget { saved: SAVED_MAX / 2.0, updated: now }
    }

    /// Counts a first try.
    pub fn record_first_attempt(&mut self, now: Moment) {
        self.refill(now);
        self.add(1.0 / TRIES_EACH);
    }

    /// Takes one retry from the budget, or returns how long until there is one.
    ///
    /// ```
    /// use wasabicrank_lib::state::{Moment, RetryBudget};
    /// let mut budget = RetryBudget::new(Moment(0));
    /// let allowed = (0..100).filter(|_| budget.take_retry(Moment(0)).is_ok()).count();
    /// assert_eq!(allowed, 10);
    /// ```
    pub fn take_retry(&mut self, now: Moment) -> Result<(), Duration> {
        self.refill(now);
        if self.saved < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.saved) / FLOOR_RATE));
        }
        self.saved -= 1.0;
        Ok(())
    }

    fn refill(&mut self, now: Moment) {
        let passed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.add(passed * FLOOR_RATE);
    }

    fn add(&mut self, retries: f64) {
        self.saved = (self.saved + retries).min(SAVED_MAX);
    }
}
