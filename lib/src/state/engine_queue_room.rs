//! The bound on prompt tokens that an engine has been given and has not read yet.

use super::engine_queue_order::LEVELS;
use super::engine_queue_order::LengthLevel;
use super::engine_queue_policy::QueuePolicy;

/// What may still be released to the engine, by length level.
///
/// A level is open while less than its bound is being read, so that one prompt always fits; long
/// prompts are read one at a time in each level.
#[derive(Debug, Clone)]
pub(crate) struct Room {
    isolate: bool,
    used: [u32; LEVELS],
    bounds: [u32; LEVELS],
}

impl Room {
    pub(crate) fn new(policy: &QueuePolicy) -> Room {
        let (short, medium) = (policy.short_released, policy.medium_released);
        let bounds = [short, medium, medium, 1, 1];
        Room { isolate: policy.length_isolation, used: [0; LEVELS], bounds }
    }

    /// Counts tokens that are being read.
    pub(crate) fn count(&mut self, level: LengthLevel, tokens: u32) {
        let used = &mut self.used[level.index()];
        *used = used.saturating_add(tokens);
    }

    /// Takes room for an ask; tells whether there was any.
    pub(crate) fn take(&mut self, level: LengthLevel, tokens: u32) -> bool {
        let open = if self.isolate { self.is_open(level.index()) } else { self.all_open() };
        if open {
            self.count(level, tokens);
        }
        open
    }

    /// Tells whether nothing more can be released.
    pub(crate) fn is_closed(&self) -> bool {
        (0..LEVELS).all(|level| !self.is_open(level))
    }

    fn is_open(&self, level: usize) -> bool {
        self.used[level] < self.bounds[level]
    }

    fn all_open(&self) -> bool {
        (0..LEVELS).all(|level| self.is_open(level))
    }
}
