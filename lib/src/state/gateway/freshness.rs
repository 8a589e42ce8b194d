//! The age of the configuration: the time since it was last verified to be the newest.
//!
//! A customer key may be revoked at any time, and no request may run with it a few seconds later.
//! An entry host therefore serves requests only while a recently sent read has verified that its
//! configuration is the newest. The age counts from when that read was sent, not from its response,
//! on a clock that keeps running while the machine is suspended.

use std::time::Duration;

use crate::state::Moment;

/// The maximum age of the configuration, as a fraction of the time until a revoked key must be
/// refused. The rest covers requests that were sent just before and arrive late.
const USABLE_FRACTION: f64 = 0.85;

/// Tracks whether the configuration was verified recently enough to serve requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    limit: Duration,
    verified: Option<Moment>,
}

impl Freshness {
    /// Creates a state in which nothing is verified; `revoke_bound` is the time after which a
    /// revoked key must be refused.
    pub fn new(revoke_bound: Duration) -> Freshness {
        Freshness { limit: revoke_bound.mul_f64(USABLE_FRACTION), verified: None }
    }

    /// Sets a new time after which a revoked key must be refused.
    pub fn set_revoke_bound(&mut self, revoke_bound: Duration) {
        self.limit = revoke_bound.mul_f64(USABLE_FRACTION);
    }

    /// Records that a read sent at `sent` returned the configuration in force.
    pub fn verify(&mut self, sent: Moment) {
        self.verified = self.verified.max(Some(sent));
    }

    /// Returns the time since the configuration was last verified; `None` if it never was.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.verified.map(|verified| now.since(verified))
    }

    /// Returns whether requests may be admitted by this configuration.
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
