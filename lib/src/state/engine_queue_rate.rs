//! The observed rates of one engine: how fast it reads prompts and how fast it generates.
//!
//! An engine reads several prompts at once, so one prompt's own time says little. The meter counts
//! the tokens read over the time in which anything was being read.

use std::time::Duration;

use super::time::Moment;

/// The tokens after which a busy span gives a sample although it goes on.
const SAMPLE_TOKENS: f64 = 32_768.0;

/// The tokens below which a finished busy span gives no sample.
const SAMPLE_MIN: f64 = 4_096.0;

/// The part of a new sample in the rate.
const SAMPLE_PART: f64 = 0.4;

/// How many times what is partly read a sample must have been read whole.
const PARTLY_FACTOR: f64 = 4.0;

/// The most by which one sample may be above the rate.
const RISE_MAX: f64 = 1.5;

/// The busy time from which unfinished prompts lower the rate.
const OVERDUE_AFTER: Duration = Duration::from_millis(500);

/// The idle time after which a rate that was low is taken for recovered.
const RECOVERY: Duration = Duration::from_secs(60);

/// The part of a new answer in the decode interval.
const DECODE_PART: f64 = 0.1;

/// Observes one engine's rates.
#[derive(Debug, Clone)]
pub(crate) struct RateMeter {
    nominal: f64,
    rate: f64,
    interval: f64,
    answer: f64,
    since: Moment,
    done: f64,
    reading: f64,
    count: u32,
    /// What was being read when the span began, part of which was read before it.
    carried: f64,
}

impl RateMeter {
    /// Makes a meter that expects `rate` tokens a second and `interval` between answer tokens.
    pub(crate) fn new(rate: u32, interval: Duration, answer: u32) -> RateMeter {
        let rate = f64::from(rate.max(1));
        RateMeter {
            nominal: rate,
            rate,
            interval: interval.as_secs_f64(),
            answer: f64::from(answer),
            since: Moment(0),
            done: 0.0,
            reading: 0.0,
            count: 0,
            carried: 0.0,
        }
    }

    /// Records that the engine starts to read `tokens`.
    pub(crate) fn begin(&mut self, now: Moment, tokens: u32) {
        if self.count == 0 {
            self.restart(now);
        }
        self.count += 1;
        self.reading += f64::from(tokens);
    }

    /// Records that `tokens` that were begun are not being read any more, with those that were read.
    pub(crate) fn end(&mut self, now: Moment, tokens: u32, read: Option<u32>) {
        self.count = self.count.saturating_sub(1);
        self.reading = (self.reading - f64::from(tokens)).max(0.0);
        let Some(read) = read else { return self.forget_idle(now) };
        self.done += f64::from(read);
        if self.is_enough() {
            self.sample(now);
        }
        self.forget_idle(now);
    }

    /// Records an answer of `tokens` that took `span` after its first token.
    pub(crate) fn answered(&mut self, tokens: u32, span: Duration) {
        if tokens < 2 {
            return;
        }
        let interval = span.as_secs_f64() / f64::from(tokens - 1);
        self.interval += (interval - self.interval) * DECODE_PART;
        self.answer += (f64::from(tokens) - self.answer) * DECODE_PART;
    }

    /// Returns the prefill rate, in tokens a second.
    ///
    /// Prompts that take longer than they should bring it down before they end; idle time brings it
    /// back, so that an engine that was slow is tried again.
    pub(crate) fn rate(&self, now: Moment) -> f64 {
        let busy = now.since(self.since);
        if self.count == 0 {
            let part = (busy.as_secs_f64() / RECOVERY.as_secs_f64()).min(1.0);
            return self.rate + (self.nominal - self.rate).max(0.0) * part;
        }
        if busy < OVERDUE_AFTER {
            return self.rate;
        }
        let bound = (self.done + self.reading) / busy.as_secs_f64();
        self.rate.min(bound).max(1.0)
    }

    /// Returns the expected time to generate an answer of at most `tokens`.
    pub(crate) fn answer_time(&self, tokens: u32) -> Duration {
        let expected = f64::from(tokens).min(self.answer);
        Duration::from_secs_f64(expected * self.interval)
    }

    /// Returns the rate of one stream's decoding, in milli-tokens a second.
    pub(crate) fn decode_rate(&self) -> u32 {
        (1_000.0 / self.interval.max(0.000_001)) as u32
    }

    /// Tells whether what was read outweighs what is partly read at the ends of the span.
    fn is_enough(&self) -> bool {
        let partly = self.carried.max(self.reading);
        if partly == 0.0 {
            return self.done >= SAMPLE_MIN;
        }
        self.done >= SAMPLE_TOKENS.max(partly * PARTLY_FACTOR)
    }

    fn sample(&mut self, now: Moment) {
        let busy = now.since(self.since).as_secs_f64();
        if busy > 0.0 {
            let rate = (self.done / busy).min(self.rate * RISE_MAX);
            self.rate += (rate - self.rate) * SAMPLE_PART;
            self.nominal = self.nominal.max(self.rate);
        }
        self.restart(now);
    }

    fn forget_idle(&mut self, now: Moment) {
        if self.count == 0 {
            self.restart(now);
        }
    }

    fn restart(&mut self, now: Moment) {
        self.since = now;
        self.done = 0.0;
        self.carried = self.reading;
    }
}
