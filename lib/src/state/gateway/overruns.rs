//! The recent distribution, for each route, of how much later than expected first events arrive.
//!
//! The expected time covers what differs from one request of a route to the next: the length of its
//! prompt and the known backlog of its server. What is left has one distribution per route, so that hosts
//! with few requests have enough of them to compare with. Responses of plain services have no expected
//! time; their overrun is the whole time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::state::Moment;

/// How long overruns are collected in one histogram. The current and the previous one are used, so that
/// those of the last one to two minutes count.
const PERIOD: Duration = Duration::from_secs(60);
/// The unit of a recorded overrun, and the longest one that is recorded.
const TIME_UNIT: Duration = Duration::from_micros(100);
const MAX_OVERRUN: Duration = Duration::from_secs(120);
/// The number of decimal digits that a recorded overrun keeps.
const PRECISION: u8 = 2;
/// The fewest overruns from which a quantile is read: of ten, one lies above the 90th percentile.
const MIN_OVERRUNS: u64 = 10;
/// The maximum number of routes that are kept.
const MAX_ROUTES: usize = 128;

#[derive(Debug)]
struct RouteOverruns {
    began: Moment,
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl RouteOverruns {
    fn new(now: Moment) -> Option<RouteOverruns> {
        let histogram = Histogram::new_with_max(units(MAX_OVERRUN), PRECISION).ok()?;
        Some(RouteOverruns { began: now, previous: histogram.clone(), current: histogram })
    }

    /// Begins new histograms when the current one is older than a period.
    fn rotate(&mut self, now: Moment) {
        let age = now.since(self.began);
        if age < PERIOD {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if age >= PERIOD * 2 {
            self.previous.reset();
        }
        self.began = now;
    }
}

/// The recent overruns of one route.
#[derive(Debug, Clone)]
pub struct OverrunDistribution(Histogram<u32>);

impl OverrunDistribution {
    /// Returns the overrun that the fraction `quantile` of the responses did not exceed.
    pub fn quantile(&self, quantile: f64) -> Duration {
        time(self.0.value_at_quantile(quantile))
    }

    /// Returns how much longer a response is expected to take that has an overrun of `passed` without
    /// an event: the mean of the longer ones. Returns `None` if none was longer.
    pub fn time_left(&self, passed: Duration) -> Option<Duration> {
        let (mut sum, mut count) = (0, 0);
        let is_longer = |value: u64| value > units(passed);
        for step in self.0.iter_recorded().filter(|step| is_longer(step.value_iterated_to())) {
            sum += step.value_iterated_to() * u64::from(step.count_at_value());
            count += u64::from(step.count_at_value());
        }
        (count > 0).then(|| time(sum / count).saturating_sub(passed))
    }
}

/// The recent overruns of all routes.
#[derive(Debug, Default)]
pub struct OverrunTable {
    routes: HashMap<Arc<str>, RouteOverruns>,
}

impl OverrunTable {
    /// Records how much later than expected a first event arrived; 0 if it was early.
    pub fn record(&mut self, now: Moment, route: &Arc<str>, overrun: Duration) {
        if !self.routes.contains_key(route) {
            self.make_space(now);
            let Some(overruns) = RouteOverruns::new(now) else { return };
            self.routes.insert(route.clone(), overruns);
        }
        if let Some(overruns) = self.routes.get_mut(route) {
            overruns.rotate(now);
            overruns.current.saturating_record(units(overrun));
        }
    }

    /// Returns the distribution of a route's overruns, or `None` if there are too few.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{Moment, OverrunTable};
    /// let route = Arc::from("chat");
    /// let mut overruns = OverrunTable::default();
    /// for millis in 1..=10 {
    ///     assert!(overruns.distribution(Moment(0), &route).is_none());
    ///     overruns.record(Moment(0), &route, Duration::from_millis(10 * millis));
    /// }
    /// let recent = overruns.distribution(Moment(0), &route).unwrap();
    /// assert_eq!(recent.quantile(0.9).as_millis(), 90);
    /// assert!(overruns.distribution(Moment(300_000_000), &route).is_none());
    /// ```
    pub fn distribution(&self, now: Moment, route: &Arc<str>) -> Option<OverrunDistribution> {
        let overruns = self.routes.get(route)?;
        let age = now.since(overruns.began);
        if age >= PERIOD * 2 {
            return None;
        }
        let mut all = overruns.current.clone();
        if age < PERIOD {
            all.add(&overruns.previous).ok()?;
        }
        (all.len() >= MIN_OVERRUNS).then_some(OverrunDistribution(all))
    }

    /// Removes the routes without recent overruns, or the one that began first, if there are too many.
    fn make_space(&mut self, now: Moment) {
        if self.routes.len() < MAX_ROUTES {
            return;
        }
        self.routes.retain(|_, overruns| now.since(overruns.began) < PERIOD * 2);
        if self.routes.len() < MAX_ROUTES {
            return;
        }
        let oldest = self.routes.iter().min_by_key(|(_, overruns)| overruns.began);
        if let Some(oldest) = oldest.map(|(route, _)| route.clone()) {
            self.routes.remove(&oldest);
        }
    }
}

fn units(time: Duration) -> u64 {
    (time.as_micros() / TIME_UNIT.as_micros()) as u64
}

fn time(units: u64) -> Duration {
    TIME_UNIT.mul_f64(units as f64)
}
