//! The retry budget, which keeps a failing engine from multiplying the load on the others.

use std::time::Duration;

use super::time::Moment;

/// The number of first attempts that earn one retry.
const ATTEMPTS_PER_RETRY: f64 = 10.0;

/// The retries that are always allowed, per second.
const MIN_RETRY_RATE: f64 = 1.0;

/// The maximum number of accumulated retries.
const MAX_RETRIES: f64 = 20.0;

/// A budget of retries, earned by first attempts and over time.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    retries: f64,
    updated: Moment,
}

impl RetryBudget {
    /// Creates a budget with half of the maximum number of retries.
    pub fn new(now: Moment) -> RetryBudget {
        RetryBudget { retries: MAX_RETRIES / 2.0, updated: now }
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: Moment) {
        self.refill(now);
        self.add(1.0 / ATTEMPTS_PER_RETRY);
    }

    /// Takes one retry from the budget, or returns the time until one is available.
    ///
    /// ```
    /// use wasabicrank_lib::state::{Moment, RetryBudget};
    /// let mut budget = RetryBudget::new(Moment(0));
    /// let allowed = (0..100).filter(|_| budget.take_retry(Moment(0)).is_ok()).count();
    /// assert_eq!(allowed, 10);
    /// ```
    pub fn take_retry(&mut self, now: Moment) -> Result<(), Duration> {
        self.refill(now);
        if self.retries < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.retries) / MIN_RETRY_RATE));
        }
        self.retries -= 1.0;
        Ok(())
    }

    /// Returns whether a retry is available.
    ///
    /// ```
    /// use wasabicrank_lib::state::{Moment, RetryBudget};
    /// assert!(RetryBudget::new(Moment(0)).has_retry(Moment(0)));
    /// ```
    pub fn has_retry(&mut self, now: Moment) -> bool {
        self.refill(now);
        self.retries >= 1.0
    }

    fn refill(&mut self, now: Moment) {
        let passed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.add(passed * MIN_RETRY_RATE);
    }

    fn add(&mut self, earned: f64) {
        self.retries = (self.retries + earned).min(MAX_RETRIES);
    }
}
