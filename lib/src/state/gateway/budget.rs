//! The retry budget of a service, which all entry hosts share without coordination.
//!
//! In any window, a service may get `ratio` retries per request plus a constant number of them. The
//! proportional part needs no division, since each host counts its own requests. The constant part
//! is divided among more hosts than there are, so that restarted hosts, which begin a new count,
//! stay within it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::state::Moment;

/// The fraction of the published ratio that a host spends. The rest covers requests that the
/// platform counts in a different window than this host.
const SPENDABLE_FRACTION: f64 = 0.7;

/// The number of host starts that the constant part is divided among: this many per known host,
/// plus extra ones, since hosts restart and learn of others only after their start.
const STARTS_PER_HOST: f64 = 1.2;
const EXTRA_STARTS: f64 = 10.0;

/// The published bounds of retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Retries that are allowed regardless of the number of requests.
    pub slack: f64,
    /// The sliding window over which requests and retries are counted.
    pub window: Duration,
}

/// Counts the requests and the retries of one service in a sliding window.
#[derive(Debug, Clone)]
pub struct GatewayRetryBudget {
    bounds: RetryBounds,
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl GatewayRetryBudget {
    /// Creates a budget without requests or retries.
    pub fn new(bounds: RetryBounds) -> GatewayRetryBudget {
        GatewayRetryBudget { bounds, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Counts a request from a caller, which raises the budget.
    pub fn count_request(&mut self, now: Moment) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget, which `hosts` known hosts share; returns whether one was
    /// left.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{RetryBounds, Moment, GatewayRetryBudget};
    /// let window = Duration::from_secs(10);
    /// let mut budget = GatewayRetryBudget::new(RetryBounds { ratio: 0.2, slack: 32.0, window });
    /// assert!(budget.take_retry(Moment(0), 5));
    /// assert!(budget.take_retry(Moment(0), 5));
    /// assert!(!budget.take_retry(Moment(0), 5));
    /// assert!(budget.take_retry(Moment(11_000_000), 5));
    /// ```
    pub fn take_retry(&mut self, now: Moment, hosts: usize) -> bool {
        if self.remaining(now, hosts) < 1.0 {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns the newest retry to the budget, for a send that did not happen.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{RetryBounds, Moment, GatewayRetryBudget};
    /// let window = Duration::from_secs(10);
    /// let mut budget = GatewayRetryBudget::new(RetryBounds { ratio: 0.2, slack: 16.0, window });
    /// assert!(budget.take_retry(Moment(0), 5));
    /// budget.return_retry();
    /// assert!(budget.take_retry(Moment(0), 5));
    /// ```
    pub fn return_retry(&mut self) {
        self.retries.pop_back();
    }

    /// Returns how many retries this one of `hosts` hosts has left.
    pub fn remaining(&mut self, now: Moment, hosts: usize) -> f64 {
        self.expire(now);
        let allowed = self.bounds.ratio * SPENDABLE_FRACTION * self.requests.len() as f64
            + self.bounds.slack / (STARTS_PER_HOST * hosts as f64 + EXTRA_STARTS);
        allowed - self.retries.len() as f64
    }

    fn expire(&mut self, now: Moment) {
        let window = self.bounds.window;
        let is_old = |at: &Moment| now.since(*at) > window;
        while self.requests.front().is_some_and(is_old) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(is_old) {
            self.retries.pop_front();
        }
    }
}
