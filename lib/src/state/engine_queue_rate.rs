//! Estimates of one engine's prefill and decode rates.
//!
//! An engine prefills several prompts at once, so the prefill time of a single prompt says little
//! about its rate. The estimator divides the tokens read by the time in which at least one prompt
//! was in prefill (a busy span).

use std::time::Duration;

use super::time::Moment;

/// The fewest tokens read for a sample while some prompts are only partly read.
const MIN_OVERLAP_SAMPLE_TOKENS: f64 = 32_768.0;

/// The fewest tokens read for a sample when no prompt is partly read.
const MIN_SAMPLE_TOKENS: f64 = 4_096.0;

/// The weight of a new sample in the moving average of the prefill rate.
const SAMPLE_WEIGHT: f64 = 0.4;

/// How many times the partly read tokens the wholly read tokens of a sample must be.
const MIN_READ_RATIO: f64 = 4.0;

/// The largest ratio of a sample to the current estimate; a larger sample is capped.
const MAX_RISE: f64 = 1.5;

/// The busy time after which unfinished prompts lower the rate.
const OVERDUE_AFTER: Duration = Duration::from_millis(500);

/// The idle time after which a lowered rate is assumed to have recovered.
const RECOVERY_TIME: Duration = Duration::from_secs(60);

/// The weight of a new answer in the moving averages of token interval, answer length and answer time.
const DECODE_SAMPLE_WEIGHT: f64 = 0.1;

/// Estimates the rates of one engine.
#[derive(Debug, Clone)]
pub(crate) struct RateEstimator {
    /// The rate that an idle engine recovers to.
    nominal: f64,
    rate: f64,
    token_interval: f64,
    answer_tokens: f64,
    /// The time that an answer takes after its first token, in seconds. The product of length and interval
    /// exceeds any answer's time while both averages adapt to new answers.
    answer_time: f64,
    /// The start of the current busy span or idle time.
    span_start: Moment,
    /// The tokens read in this span.
    read_tokens: f64,
    /// The tokens of the prompts in prefill.
    open_tokens: f64,
    open_prompts: u32,
    /// The tokens in prefill when the span began; some of them were read before it.
    carried_tokens: f64,
}

impl RateEstimator {
    /// Creates an estimator that starts from a prefill rate in tokens a second, a time between
    /// answer tokens and an answer length.
    pub(crate) fn new(rate: u32, token_interval: Duration, answer_tokens: u32) -> RateEstimator {
        let rate = f64::from(rate.max(1));
        RateEstimator {
            nominal: rate,
            rate,
            token_interval: token_interval.as_secs_f64(),
            answer_tokens: f64::from(answer_tokens),
            answer_time: f64::from(answer_tokens) * token_interval.as_secs_f64(),
            span_start: Moment(0),
            read_tokens: 0.0,
            open_tokens: 0.0,
            open_prompts: 0,
            carried_tokens: 0.0,
        }
    }

    /// Records that the prefill of `tokens` begins.
    pub(crate) fn start_prefill(&mut self, now: Moment, tokens: u32) {
        if self.open_prompts == 0 {
            self.start_span(now);
        }
        self.open_prompts += 1;
        self.open_tokens += f64::from(tokens);
    }

    /// Records that the prefill of `tokens` ended; `read` is how many were read, if that is known.
    pub(crate) fn end_prefill(&mut self, now: Moment, tokens: u32, read: Option<u32>) {
        self.open_prompts = self.open_prompts.saturating_sub(1);
        self.open_tokens = (self.open_tokens - f64::from(tokens)).max(0.0);
        let Some(read) = read else { return self.restart_if_idle(now) };
        self.read_tokens += f64::from(read);
        if self.has_sample() {
            self.take_sample(now);
        }
        self.restart_if_idle(now);
    }

    /// Records an answer of `tokens`, whose tokens after the first took `span`.
    pub(crate) fn record_answer(&mut self, tokens: u32, span: Duration) {
        if tokens < 2 {
            return;
        }
        let interval = span.as_secs_f64() / f64::from(tokens - 1);
        self.token_interval += (interval - self.token_interval) * DECODE_SAMPLE_WEIGHT;
        self.answer_tokens += (f64::from(tokens) - self.answer_tokens) * DECODE_SAMPLE_WEIGHT;
        self.answer_time += (span.as_secs_f64() - self.answer_time) * DECODE_SAMPLE_WEIGHT;
    }

    /// Returns the prefill rate, in tokens a second.
    ///
    /// Prompts that take longer than expected lower it before they end. Idle time restores it, so
    /// that an engine that was slow is tried again.
    pub(crate) fn prefill_rate(&self, now: Moment) -> f64 {
        let busy = now.since(self.span_start);
        if self.open_prompts == 0 {
            let part = (busy.as_secs_f64() / RECOVERY_TIME.as_secs_f64()).min(1.0);
            return self.rate + (self.nominal - self.rate).max(0.0) * part;
        }
        if busy < OVERDUE_AFTER {
            return self.rate;
        }
        let bound = (self.read_tokens + self.open_tokens) / busy.as_secs_f64();
        self.rate.min(bound).max(1.0)
    }

    /// Returns the expected time to generate an answer of at most `tokens`.
    pub(crate) fn answer_time(&self, tokens: u32) -> Duration {
        let expected = f64::from(tokens).min(self.answer_tokens) * self.token_interval;
        Duration::from_secs_f64(expected.min(self.answer_time))
    }

    /// Returns the decode rate of one stream, in milli-tokens a second.
    pub(crate) fn decode_rate(&self) -> u32 {
        (1_000.0 / self.token_interval.max(0.000_001)) as u32
    }

    /// Returns whether the tokens read outweigh those that are partly read at the ends of the span.
    fn has_sample(&self) -> bool {
        let partial = self.carried_tokens.max(self.open_tokens);
        if partial == 0.0 {
            return self.read_tokens >= MIN_SAMPLE_TOKENS;
        }
        self.read_tokens >= MIN_OVERLAP_SAMPLE_TOKENS.max(partial * MIN_READ_RATIO)
    }

    fn take_sample(&mut self, now: Moment) {
        let busy = now.since(self.span_start).as_secs_f64();
        if busy > 0.0 {
            let rate = (self.read_tokens / busy).min(self.rate * MAX_RISE);
            self.rate += (rate - self.rate) * SAMPLE_WEIGHT;
            self.nominal = self.nominal.max(self.rate);
        }
        self.start_span(now);
    }

    fn restart_if_idle(&mut self, now: Moment) {
        if self.open_prompts == 0 {
            self.start_span(now);
        }
    }

    fn start_span(&mut self, now: Moment) {
        self.span_start = now;
        self.read_tokens = 0.0;
        self.carried_tokens = self.open_tokens;
    }
}
