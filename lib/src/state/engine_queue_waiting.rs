//! Asks that wait at a dispatcher.

use std::time::Duration;

use super::attempt_messages::StartRequest;
use super::engine_queue_order::LengthLevel;
use super::engine_queue_order::Target;
use super::names::Incarnation;
use super::time::Moment;

/// The place of an ask in the queue.
pub(crate) type Place = (Target, u64);

/// An ask that waits.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    /// The origin.
    pub(crate) from: Incarnation,
    /// The ask.
    pub(crate) ask: StartRequest,
    /// When it came.
    pub(crate) asked: Moment,
    /// When the final answer must have gone out.
    pub(crate) deadline: Moment,
    /// The level of what must be read.
    pub(crate) level: LengthLevel,
    /// The time that its own prefill takes.
    pub(crate) own: Duration,
}

impl Waiting {
    /// Returns the memory that it needs: the prompt and the whole answer that it may have.
    pub(crate) fn need(&self) -> u32 {
        self.ask.prompt_tokens.saturating_add(self.ask.output_tokens)
    }

    /// Returns the level of the whole prompt, cached or not, as its memory counts.
    pub(crate) fn size(&self) -> LengthLevel {
        LengthLevel::of(self.ask.prompt_tokens)
    }
}
