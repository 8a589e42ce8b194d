//! A token bucket for single requests at a rate that changes.

use std::time::Duration;

use crate::state::Moment;

/// The time for which permits that nobody takes accumulate, besides the first one.
const DEPTH: Duration = Duration::from_millis(500);
/// The same for a bucket whose permits lapse.
const SHORT_DEPTH: Duration = Duration::from_millis(250);
/// The most permits that were taken without being there and are made up for.
const MAX_DEBT: f64 = 20.0;
/// The longest time until the next permit that is stated.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A token bucket that is empty at first.
#[derive(Debug, Clone)]
pub struct RateBucket {
    /// In permits per second.
    rate: f64,
    level: f64,
    updated: Moment,
    /// Whether permits that nobody takes lapse, instead of being there until somebody does.
    lapses: bool,
}

impl RateBucket {
    /// Creates an empty bucket without a rate.
    pub fn new(now: Moment) -> RateBucket {
        RateBucket { rate: 0.0, level: 0.0, updated: now, lapses: false }
    }

    /// Creates a bucket without a rate that has a part of a permit, from 0 to 1. Random parts spread
    /// the first permits of many buckets that begin together.
    pub fn with_part(now: Moment, part: f64) -> RateBucket {
        RateBucket { level: part, ..RateBucket::new(now) }
    }

    /// Sets whether permits that nobody takes lapse. Where many hosts have a bucket each, they would
    /// otherwise save up a permit each, and could use all of these at the same moment.
    ///
    /// ```
    /// use wasabicrank_lib::state::{Moment, RateBucket};
    /// let mut bucket = RateBucket::new(Moment(0));
    /// bucket.set_lapse(true);
    /// bucket.set_rate(Moment(0), 0.5);
    /// assert!(bucket.take(Moment(3_000_000)).is_err());
    /// assert!(bucket.take(Moment(4_010_000)).is_ok());
    /// ```
    pub fn set_lapse(&mut self, lapses: bool) {
        self.lapses = lapses;
    }

    /// Fills the bucket up to `now` at the rate so far, and sets the rate from now on.
    ///
    /// ```
    /// use wasabicrank_lib::state::{Moment, RateBucket};
    /// let mut bucket = RateBucket::new(Moment(0));
    /// bucket.set_rate(Moment(0), 2.0);
    /// assert!(bucket.take(Moment(400_000)).is_err());
    /// assert!(bucket.take(Moment(500_000)).is_ok());
    /// ```
    pub fn set_rate(&mut self, now: Moment, rate: f64) {
        self.fill(now);
        self.rate = rate;
        self.level = self.level.min(self.depth());
    }

    /// Takes a permit, or returns the time until there is one.
    pub fn take(&mut self, now: Moment) -> Result<(), Duration> {
        self.fill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.level) / self.rate;
        Err(Duration::try_from_secs_f64(wait).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT)))
    }

    /// Returns a permit that was not used.
    pub fn give_back(&mut self, now: Moment) {
        self.fill(now);
        self.level = (self.level + 1.0).min(self.depth());
    }

    /// Takes a permit that may not be there; later ones make up for it.
    pub fn charge(&mut self, now: Moment) {
        self.fill(now);
        self.level = (self.level - 1.0).max(-MAX_DEBT);
    }

    fn depth(&self) -> f64 {
        let depth = if self.lapses { SHORT_DEPTH } else { DEPTH };
        1.0 + self.rate * depth.as_secs_f64()
    }

    fn fill(&mut self, now: Moment) {
        let filled = now.since(self.updated).as_secs_f64() * self.rate;
        self.updated = self.updated.max(now);
        self.level += filled;
        let excess = self.level - self.depth();
        if excess > 0.0 {
            // Whole permits lapse, so that the next one comes as long after them as in a full bucket.
            self.level = match self.lapses {
                true => self.level - excess.ceil(),
                false => self.depth(),
            };
        }
    }
}
