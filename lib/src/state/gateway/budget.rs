//! The budget for sends beyond the first of a request, which all entry hosts share without asking.
//!
//! A service may get `ratio` times its requests, and some more, as repeated sends in any window.
//! The part that grows with the requests needs no division: each host counts its own. The constant
//! part is divided among more hosts than there are, so that restarted hosts, which begin a new
//! count, stay within it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::state::Moment;

/// What part of the published ratio a host spends. The rest covers requests that the platform
/// counts in another window than this host.
const RATIO_PART: f64 = 0.7;

/// How many starts of hosts the constant part is divided among: so many for each host that is known,
/// and some more, since hosts start again and hear of others only after their start.
const STARTS_EACH: f64 = 1.2;
const MORE_STARTS: f64 = 10.0;

/// The published bounds of repeated sends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Repeated sends for each request.
    pub ratio: f64,
    /// Repeated sends that are allowed whatever the number of requests.
    pub slack: f64,
    /// The window in which both are counted.
    pub window: Duration,
}

/// Counts the requests and the repeated sends of one service in a sliding window.
#[derive(Debug, Clone)]
pub struct GatewayRetryBudget {
    bounds: RetryBounds,
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl GatewayRetryBudget {
    /// Makes an empty count.
    pub fn new(bounds: RetryBounds) -> GatewayRetryBudget {
        GatewayRetryBudget { bounds, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Counts a request that a caller sent.
    pub fn count_request(&mut self, now: Moment) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one repeated send from the budget, of which `hosts` hosts are known to have a part;
    /// returns whether there was one left.
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
        if self.left(now, hosts) < 1.0 {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Returns how many repeated sends are left now to this one of `hosts` hosts.
    pub fn left(&mut self, now: Moment, hosts: usize) -> f64 {
        self.expire(now);
        let allowed = self.bounds.ratio * RATIO_PART * self.requests.len() as f64
            + self.bounds.slack / (STARTS_EACH * hosts as f64 + MORE_STARTS);
        allowed - self.repeats.len() as f64
    }

    fn expire(&mut self, now: Moment) {
        let window = self.bounds.window;
        let is_old = |at: &Moment| now.since(*at) > window;
        while self.requests.front().is_some_and(is_old) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(is_old) {
            self.repeats.pop_front();
        }
    }
}
