//! How much of the engines' time is taken, and what a second of it must then be worth.

use std::time::Duration;

use crate::state::Moment;

/// The time over which the demand is averaged: long enough for a few long prompts, short enough to
/// follow a burst.
const AVERAGED: Duration = Duration::from_secs(4);
/// The load factor from which the engines' time is scarce.
const SCARCE_FROM: f64 = 0.4;
/// What a second of reading must be worth at a load factor of one more.
const LOAD_PRICE: f64 = 14.0;
/// What a second of reading must be worth for each second that all engines are behind.
const BACKLOG_PRICE: f64 = 4.0;

/// The engines' time that requests take in a second, averaged over some seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadingDemand {
    rate: f64,
    updated: Moment,
}

impl ReadingDemand {
    /// Counts a request that engines begin to read for `reading`.
    pub fn count(&mut self, now: Moment, reading: Duration) {
        self.rate = self.rate(now) + reading.as_secs_f64() / AVERAGED.as_secs_f64();
        self.updated = now;
    }

    /// Returns the seconds of reading that are taken in a second.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{Moment, ReadingDemand};
    /// let mut demand = ReadingDemand::default();
    /// demand.count(Moment(0), Duration::from_secs(8));
    /// assert_eq!(demand.rate(Moment(0)), 2.0);
    /// assert!(demand.rate(Moment(4_000_000)) < 1.0);
    /// ```
    pub fn rate(&self, now: Moment) -> f64 {
        let passed = now.since(self.updated).as_secs_f64() / AVERAGED.as_secs_f64();
        self.rate * (-passed).exp()
    }
}

/// Returns what a second of an engine's reading must be worth at a load factor, with so many seconds
/// of reading before each engine: nothing while there is enough for all.
///
/// ```
/// use wasabicrank_lib::state::reading_price;
/// assert_eq!(reading_price(0.4, 0.0), 0.0);
/// assert!(reading_price(1.0, 0.5) > reading_price(1.0, 0.0));
/// ```
pub fn reading_price(load_factor: f64, backlog: f64) -> f64 {
    (load_factor - SCARCE_FROM).max(0.0) * LOAD_PRICE + backlog * BACKLOG_PRICE
}
