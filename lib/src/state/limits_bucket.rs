//! The token bucket and the demand meter of one customer at one entry host.

use std::time::Duration;

use super::time::Moment;

/// The time for which unused rate is saved.
const DEPTH: Duration = Duration::from_millis(500);

/// The time over which demand is averaged.
const DEMAND_SPAN: Duration = Duration::from_millis(500);

/// The shortest wait that a refusal names.
const WAIT_MIN: Duration = Duration::from_millis(100);

/// The longest wait that a refusal names.
const WAIT_MAX: Duration = Duration::from_secs(3_600);

/// A token bucket whose rate may change.
///
/// A request larger than the bucket is admitted when the bucket is full and leaves a debt, which is
/// paid before anything else is admitted.
#[derive(Debug, Clone)]
pub(crate) struct Bucket {
    rate: f64,
    level: f64,
    updated: Moment,
    fresh: bool,
}

impl Bucket {
    /// Makes a bucket that is full once its rate is set.
    pub(crate) fn new(now: Moment) -> Bucket {
        Bucket { rate: 0.0, level: 0.0, updated: now, fresh: true }
    }

    /// Sets the rate, in tokens a second; what was saved at another rate keeps its part.
    pub(crate) fn set_rate(&mut self, now: Moment, rate: f64) {
        self.refill(now);
        self.rate = rate;
        if self.fresh {
            self.level = self.depth();
            self.fresh = false;
        }
        self.level = self.level.min(self.depth());
    }

    /// Takes `tokens`, or returns how long until they can be had.
    pub(crate) fn take(&mut self, now: Moment, tokens: u32) -> Result<(), Duration> {
        self.refill(now);
        let tokens = f64::from(tokens);
        let wanted = tokens.min(self.depth());
        if self.level < wanted {
            return Err(self.wait(wanted - self.level));
        }
        self.level -= tokens;
        Ok(())
    }

    /// Gives tokens back that were taken and not used.
    pub(crate) fn give_back(&mut self, now: Moment, tokens: u32) {
        self.refill(now);
        self.level = (self.level + f64::from(tokens)).min(self.depth());
    }

    /// Tells whether the bucket holds no debt and has nothing to fill up.
    pub(crate) fn is_full(&self, now: Moment) -> bool {
        let level = self.level + now.since(self.updated).as_secs_f64() * self.rate;
        level >= self.depth()
    }

    fn depth(&self) -> f64 {
        self.rate * DEPTH.as_secs_f64()
    }

    fn refill(&mut self, now: Moment) {
        let earned = now.since(self.updated).as_secs_f64() * self.rate;
        self.updated = self.updated.max(now);
        self.level = (self.level + earned).min(self.depth());
    }

    fn wait(&self, missing: f64) -> Duration {
        let wait = missing / self.rate.max(0.001);
        Duration::from_secs_f64(wait.min(WAIT_MAX.as_secs_f64())).max(WAIT_MIN)
    }
}

/// The average rate of what a customer asked for, admitted or not.
#[derive(Debug, Clone)]
pub(crate) struct DemandMeter {
    rate: f64,
    updated: Moment,
}

impl DemandMeter {
    /// Makes a meter that has seen nothing.
    pub(crate) fn new(now: Moment) -> DemandMeter {
        DemandMeter { rate: 0.0, updated: now }
    }

    /// Counts `tokens` that were asked for.
    pub(crate) fn add(&mut self, now: Moment, tokens: u32) {
        self.rate = self.rate(now) + f64::from(tokens) / DEMAND_SPAN.as_secs_f64();
        self.updated = self.updated.max(now);
    }

    /// Returns the rate, in tokens a second.
    pub(crate) fn rate(&self, now: Moment) -> f64 {
        let spans = now.since(self.updated).as_secs_f64() / DEMAND_SPAN.as_secs_f64();
        self.rate * (-spans).exp()
    }
}
