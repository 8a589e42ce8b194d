//! The token bucket and the demand meter of one customer at one entry host.

use std::time::Duration;

use super::time::Moment;

/// The depth of a bucket: the time after which unused rate no longer accumulates.
const BUCKET_DEPTH: Duration = Duration::from_millis(500);

/// The time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);

/// The minimum retry delay of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The maximum retry delay of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3_600);

/// A token bucket with a variable rate.
///
/// A request larger than the bucket is admitted when the bucket is full and leaves a negative
/// level, which is refilled before the next request is admitted.
#[derive(Debug, Clone)]
pub(crate) struct Bucket {
    rate: f64,
    level: f64,
    updated: Moment,
    /// Whether no rate was set yet.
    new: bool,
}

impl Bucket {
    /// Creates a bucket that becomes full when its rate is first set.
    pub(crate) fn new(now: Moment) -> Bucket {
        Bucket { rate: 0.0, level: 0.0, updated: now, new: true }
    }

    /// Sets the rate, in tokens a second. The level is kept, up to the depth at the new rate.
    pub(crate) fn set_rate(&mut self, now: Moment, rate: f64) {
        self.refill(now);
        self.rate = rate;
        if self.new {
            self.level = self.depth();
            self.new = false;
        }
        self.level = self.level.min(self.depth());
    }

    /// Takes `tokens`, or returns the time until they are available.
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

    /// Returns tokens that were taken and not used.
    pub(crate) fn give_back(&mut self, now: Moment, tokens: u32) {
        self.refill(now);
        self.level = (self.level + f64::from(tokens)).min(self.depth());
    }

    /// Returns whether the bucket is full.
    pub(crate) fn is_full(&self, now: Moment) -> bool {
        let level = self.level + now.since(self.updated).as_secs_f64() * self.rate;
        level >= self.depth()
    }

    fn depth(&self) -> f64 {
        self.rate * BUCKET_DEPTH.as_secs_f64()
    }

    fn refill(&mut self, now: Moment) {
        let earned = now.since(self.updated).as_secs_f64() * self.rate;
        self.updated = self.updated.max(now);
        self.level = (self.level + earned).min(self.depth());
    }

    fn wait(&self, missing: f64) -> Duration {
        let wait = missing / self.rate.max(0.001);
        Duration::from_secs_f64(wait.min(MAX_RETRY_AFTER.as_secs_f64())).max(MIN_RETRY_AFTER)
    }
}

/// The average rate of the tokens that a customer requested, admitted or not.
#[derive(Debug, Clone)]
pub(crate) struct DemandMeter {
    rate: f64,
    updated: Moment,
}

impl DemandMeter {
    /// Creates a meter at a rate of zero.
    pub(crate) fn new(now: Moment) -> DemandMeter {
        DemandMeter { rate: 0.0, updated: now }
    }

    /// Counts `tokens` that were requested.
    pub(crate) fn add(&mut self, now: Moment, tokens: u32) {
        self.rate = self.rate(now) + f64::from(tokens) / DEMAND_WINDOW.as_secs_f64();
        self.updated = self.updated.max(now);
    }

    /// Returns the rate, in tokens a second.
    pub(crate) fn rate(&self, now: Moment) -> f64 {
        let spans = now.since(self.updated).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.rate * (-spans).exp()
    }
}
