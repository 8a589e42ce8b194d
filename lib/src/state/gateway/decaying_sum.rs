//! A sum whose terms lose weight with their age.

use std::time::Duration;

use crate::state::Moment;

/// A sum of which each term decays exponentially.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingSum {
    sum: f64,
    updated: Moment,
}

impl DecayingSum {
    /// Adds `term`; earlier terms decay with the time constant `time`.
    pub fn add(&mut self, now: Moment, time: Duration, term: f64) {
        self.sum = self.get(now, time) + term;
        self.updated = now;
    }

    /// Returns the sum as of `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{DecayingSum, Moment};
    /// let time = Duration::from_secs(5);
    /// let mut sum = DecayingSum::default();
    /// sum.add(Moment(0), time, 3.0);
    /// assert_eq!(sum.get(Moment(0), time), 3.0);
    /// assert!(sum.get(Moment(5_000_000), time) < 1.2);
    /// ```
    pub fn get(&self, now: Moment, time: Duration) -> f64 {
        self.sum * (-(now.since(self.updated).as_secs_f64() / time.as_secs_f64())).exp()
    }
}
