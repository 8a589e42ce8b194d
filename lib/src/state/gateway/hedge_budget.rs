//! The budget of hedged requests, which all entry hosts share without coordination.
//!
//! A share of a host's requests earns a token each, by systematic sampling: a sum grows by the share
//! with each request and starts at a random phase, and a token is earned when it passes a whole number.
//! A host with few requests in a window thus gets a token now and then, and all hosts together
//! get the share of all requests, although no host's own share need be a whole number.

use std::collections::VecDeque;
use std::time::Duration;

use crate::state::Moment;

/// The fraction of the allowed ratio that a host spends. The rest covers hosts whose tokens coincide,
/// and requests that the platform counts in a different window.
const SPENDABLE_FRACTION: f64 = 0.7;

/// Returns the hedged requests per request that hosts spend of the allowed `ratio`.
///
/// ```
/// assert!(wasabicrank_lib::state::spendable_ratio(0.1) < 0.1);
/// ```
pub fn spendable_ratio(ratio: f64) -> f64 {
    ratio * SPENDABLE_FRACTION
}

/// Counts the tokens that requests earned, and the hedged requests, in a sliding window.
#[derive(Debug, Clone)]
pub struct HedgeBudget {
    sum: f64,
    earned: VecDeque<Moment>,
    spent: VecDeque<Moment>,
}

impl HedgeBudget {
    /// Creates a budget without tokens. `phase`, from 0 to 1, differs at random from host to host.
    pub fn new(phase: f64) -> HedgeBudget {
        let sum = phase.clamp(0.0, 1.0);
        HedgeBudget { sum, earned: VecDeque::new(), spent: VecDeque::new() }
    }

    /// Counts a request from a caller, for which `ratio` hedged requests are allowed.
    pub fn count_request(&mut self, now: Moment, ratio: f64, window: Duration) {
        self.expire(now, window);
        self.sum += spendable_ratio(ratio);
        if self.sum >= 1.0 {
            self.sum -= 1.0;
            self.earned.push_back(now);
        }
    }

    /// Returns whether more tokens were earned than spent in the last `window`.
    pub fn has_token(&mut self, now: Moment, window: Duration) -> bool {
        self.expire(now, window);
        self.earned.len() > self.spent.len()
    }

    /// Spends a token; returns whether one was left.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{HedgeBudget, Moment};
    /// let window = Duration::from_secs(10);
    /// let mut budget = HedgeBudget::new(0.5);
    /// (0..10).for_each(|_| budget.count_request(Moment(0), 0.1, window));
    /// assert!(budget.take(Moment(0), window));
    /// assert!(!budget.take(Moment(0), window));
    /// ```
    pub fn take(&mut self, now: Moment, window: Duration) -> bool {
        let has_token = self.has_token(now, window);
        if has_token {
            self.spent.push_back(now);
        }
        has_token
    }

    /// Returns the newest token to the budget, for a send that did not happen.
    pub fn return_token(&mut self) {
        self.spent.pop_back();
    }

    fn expire(&mut self, now: Moment, window: Duration) {
        for times in [&mut self.earned, &mut self.spent] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
    }
}
