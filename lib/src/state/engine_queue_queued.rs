//! Start requests that wait in the queue of an engine.

use std::time::Duration;

use super::attempt_messages::StartRequest;
use super::engine_queue_order::DueTime;
use super::engine_queue_order::LengthLevel;
use super::names::Incarnation;
use super::time::Moment;

/// The position of a request in the queue: its due time, then the order of arrival.
pub(crate) type QueuePosition = (DueTime, u64);

/// A start request that waits for its grant.
#[derive(Debug, Clone)]
pub(crate) struct QueuedRequest {
    /// The entry host that sent it.
    pub(crate) origin: Incarnation,
    /// The request.
    pub(crate) request: StartRequest,
    /// When it reached the dispatcher.
    pub(crate) queued_at: Moment,
    /// The deadline of the final answer.
    pub(crate) deadline: Moment,
    /// The length level of its uncached tokens.
    pub(crate) level: LengthLevel,
    /// The expected time of its own prefill.
    pub(crate) prefill_time: Duration,
}

impl QueuedRequest {
    /// Returns the memory that it needs: the prompt and the longest answer, in tokens.
    pub(crate) fn memory_need(&self) -> u32 {
        self.request.prompt_tokens.saturating_add(self.request.output_tokens)
    }

    /// Returns the length level of the whole prompt. Cached tokens are included because they occupy
    /// memory too.
    pub(crate) fn prompt_level(&self) -> LengthLevel {
        LengthLevel::of(self.request.prompt_tokens)
    }
}
