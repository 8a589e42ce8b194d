//! A sliding window rate limiter.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The calls allowed within the last `span`.
#[derive(Debug, Clone)]
pub(crate) struct RateWindow {
    span: Duration,
    limit: Option<u32>,
    calls: VecDeque<Instant>,
    peak: u32,
}

impl RateWindow {
    /// Allows `limit` calls in each `span`; `None` allows any number.
    pub(crate) fn new(span: Duration, limit: Option<u32>) -> RateWindow {
        RateWindow { span, limit, calls: VecDeque::new(), peak: 0 }
    }

    /// Changes the limit.
    pub(crate) fn set_limit(&mut self, limit: Option<u32>) {
        self.limit = limit;
    }

    /// Counts a call made now and returns whether it is within the limit.
    pub(crate) fn allow(&mut self) -> bool {
        let now = Instant::now();
        while self.calls.front().is_some_and(|call| now - *call >= self.span) {
            self.calls.pop_front();
        }
        let count = u32::try_from(self.calls.len()).unwrap_or(u32::MAX);
        if self.limit.is_some_and(|limit| count >= limit) {
            return false;
        }
        self.calls.push_back(now);
        self.peak = self.peak.max(count + 1);
        true
    }

    /// Returns the peak number of calls allowed in one span.
    pub(crate) fn peak(&self) -> u32 {
        self.peak
    }
}
