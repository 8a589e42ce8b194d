//! Limits on the prompt tokens that are released to an engine before it has read them.

use super::engine_queue_order::LENGTH_LEVELS;
use super::engine_queue_order::LengthLevel;
use super::engine_queue_policy::QueuePolicy;

/// The tokens in prefill and their limit, by length level.
///
/// A level is open while fewer tokens than its limit are in prefill, so one prompt of any length
/// always fits. The limit of a long level is one token, so the engine reads long prompts one at a
/// time in each level.
#[derive(Debug, Clone)]
pub(crate) struct ReleaseLimits {
    isolate: bool,
    used: [u32; LENGTH_LEVELS],
    limits: [u32; LENGTH_LEVELS],
}

impl ReleaseLimits {
    pub(crate) fn new(policy: &QueuePolicy) -> ReleaseLimits {
        let (short, medium) = (policy.short_released, policy.medium_released);
        let limits = [short, medium, medium, 1, 1];
        ReleaseLimits { isolate: policy.length_isolation, used: [0; LENGTH_LEVELS], limits }
    }

    /// Adds tokens that are in prefill.
    pub(crate) fn add(&mut self, level: LengthLevel, tokens: u32) {
        let used = &mut self.used[level.index()];
        *used = used.saturating_add(tokens);
    }

    /// Adds the tokens of a request if its level is open and returns whether it was.
    pub(crate) fn try_add(&mut self, level: LengthLevel, tokens: u32) -> bool {
        let open = if self.isolate { self.is_open(level.index()) } else { self.all_open() };
        if open {
            self.add(level, tokens);
        }
        open
    }

    /// Returns whether every level is at its limit.
    pub(crate) fn is_exhausted(&self) -> bool {
        (0..LENGTH_LEVELS).all(|level| !self.is_open(level))
    }

    fn is_open(&self, level: usize) -> bool {
        self.used[level] < self.limits[level]
    }

    fn all_open(&self) -> bool {
        (0..LENGTH_LEVELS).all(|level| self.is_open(level))
    }
}
