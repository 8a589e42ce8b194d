//! Demand for prefill time, and the minimum value per second that a request must have under load.

use std::time::Duration;

use crate::state::Moment;

/// The time constant of the demand's moving average: long enough to cover a few long prompts, short
/// enough to follow a burst.
const AVERAGING_TIME: Duration = Duration::from_secs(4);
/// The load factor above which prefill time has a price.
pub(crate) const SCARCE_LOAD_FACTOR: f64 = 0.4;
/// The price increase of a second of prefill per unit of load factor.
const LOAD_PRICE: f64 = 14.0;
/// The price increase of a second of prefill per second of mean backlog.
const BACKLOG_PRICE: f64 = 4.0;

/// Seconds of prefill that are started per second, as an exponential moving average.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrefillDemand {
    rate: f64,
    updated: Moment,
}

impl PrefillDemand {
    /// Counts a request whose prefill takes `prefill` of engine time.
    pub fn count(&mut self, now: Moment, prefill: Duration) {
        self.rate = self.rate(now) + prefill.as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        self.updated = now;
    }

    /// Returns the seconds of prefill that are started per second.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{Moment, PrefillDemand};
    /// let mut demand = PrefillDemand::default();
    /// demand.count(Moment(0), Duration::from_secs(8));
    /// assert_eq!(demand.rate(Moment(0)), 2.0);
    /// assert!(demand.rate(Moment(4_000_000)) < 1.0);
    /// ```
    pub fn rate(&self, now: Moment) -> f64 {
        let passed = now.since(self.updated).as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        self.rate * (-passed).exp()
    }
}

/// Returns the minimum value per second of prefill that a request must have to be sent, from the
/// load factor and the mean backlog of the engines in seconds; 0 while there is capacity for all
/// requests.
///
/// ```
/// use wasabicrank_lib::state::prefill_price;
/// assert_eq!(prefill_price(0.4, 0.0), 0.0);
/// assert!(prefill_price(1.0, 0.5) > prefill_price(1.0, 0.0));
/// ```
pub fn prefill_price(load_factor: f64, backlog: f64) -> f64 {
    (load_factor - SCARCE_LOAD_FACTOR).max(0.0) * LOAD_PRICE + backlog * BACKLOG_PRICE
}
