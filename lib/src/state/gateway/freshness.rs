//! The age of the configuration: how long ago it was surely the newest one.
//!
//! A customer's key may be taken away at any time, and no request may run with it some seconds
//! later. An entry host therefore serves only while a read that was sent lately has shown that its
//! configuration is the newest. Ages count from when the read was sent, on a clock that goes on
//! while the machine is suspended.

use std::time::Duration;

use crate::state::Moment;

/// What part of the time until a revoked key must be refused the configuration may age. The rest
/// covers requests that were sent just before and arrive late.
const USABLE_PART: f64 = 0.85;

/// Says whether the configuration is new enough to serve by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    limit: Duration,
    verified: Option<Moment>,
}

impl Freshness {
    /// Makes a state in which nothing is verified; `revoke_bound` is the time after which a revoked
    /// key must be refused.
    pub fn new(revoke_bound: Duration) -> Freshness {
        Freshness { limit: revoke_bound.mul_f64(USABLE_PART), verified: None }
    }

    /// Takes a new time after which a revoked key must be refused.
    pub fn set_bound(&mut self, revoke_bound: Duration) {
        self.limit = revoke_bound.mul_f64(USABLE_PART);
    }

    /// Notes that a read sent at `sent` showed the configuration in force.
    pub fn verify(&mut self, sent: Moment) {
        self.verified = self.verified.max(Some(sent));
    }

    /// Returns the time since the configuration was surely the newest; nothing if it never was.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.verified.map(|verified| now.since(verified))
    }

    /// Returns whether requests may be judged by the configuration.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{Freshness, Moment};
    /// let mut freshness = Freshness::new(Duration::from_secs(5));
    /// assert!(!freshness.is_usable(Moment(0)));
    /// freshness.verify(Moment(0));
    /// assert!(freshness.is_usable(Moment(4_000_000)));
    /// assert!(!freshness.is_usable(Moment(4_300_000)));
    /// ```
    pub fn is_usable(&self, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age < self.limit)
    }
}
