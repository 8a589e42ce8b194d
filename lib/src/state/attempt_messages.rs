//! The messages that origins and dispatchers exchange about attempts on engines, independent of
//! their encoding.
//!
//! The origin is the entry host that handles a request, and a dispatcher is the one that owns the
//! queue of an engine. The coordination layer carries these messages between entry hosts; placement
//! and queues use them.

use std::time::Duration;

use super::engine_queue_order::LENGTH_LEVELS;
use super::names::AttemptId;
use super::names::CustomerName;
use super::names::EngineName;
use super::names::ModelName;
use super::outcome::Reason;
use super::request::PrefixHash;
use super::request::Priority;

/// The load of one engine, as reported by its dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineLoad {
    /// The engine.
    pub engine: EngineName,
    /// Prompt tokens of short requests that are queued or in prefill.
    pub short_tokens: u32,
    /// Prompt tokens of long requests that are queued or in prefill.
    pub long_tokens: u32,
    /// Prompt tokens that are queued or in prefill, by length level, the shortest first.
    pub level_tokens: [u32; LENGTH_LEVELS],
    /// Requests that are queued or running.
    pub requests: u32,
    /// Reserved or used memory, in tokens.
    pub held: u32,
    /// Total memory, in tokens.
    pub memory: u32,
    /// The observed prefill rate, in tokens a second.
    pub prefill_rate: u32,
    /// The observed decode rate of one stream, in milli-tokens a second.
    pub decode_rate: u32,
    /// Whether the engine responds.
    pub healthy: bool,
    /// The models loaded on the engine.
    pub models: Vec<ModelName>,
}

/// What one customer uses at one entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerUsage {
    /// The customer.
    pub customer: CustomerName,
    /// Its recent average demand, admitted or not, in tokens a second.
    pub demand: u32,
    /// Its requests in flight.
    pub in_flight: u32,
}

/// Requests permission to start an attempt on an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct StartRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The engine.
    pub engine: EngineName,
    /// The customer that the attempt is charged to.
    pub customer: CustomerName,
    /// The customer's weight, from the rules.
    pub weight: u32,
    /// The request's priority.
    pub priority: Priority,
    /// The length of the prompt in tokens, or of this segment if the prompt is split.
    pub prompt_tokens: u32,
    /// The maximum length of the answer, in tokens.
    pub output_tokens: u32,
    /// The hashes of the prompt's blocks.
    pub blocks: Vec<PrefixHash>,
    /// How long ago the request arrived.
    pub waited: Duration,
    /// The time left until the deadline.
    pub left: Duration,
    /// Whether this is a segment of a group. A segment is granted at once or denied, never queued.
    pub segment: bool,
}

/// Permission to start an attempt on an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// The attempt.
    pub attempt: AttemptId,
    /// The engine.
    pub engine: EngineName,
    /// How long the grant is valid while it is unused; after that its memory is released.
    pub valid: Duration,
    /// The tokens that the dispatcher expects to be cached.
    pub cached: u32,
    /// How long the request was queued at the dispatcher.
    pub queued: Duration,
}

/// A refusal of permission to start an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Denial {
    /// The attempt.
    pub attempt: AttemptId,
    /// The engine.
    pub engine: EngineName,
    /// The reason.
    pub reason: Reason,
    /// The time after which the dispatcher expects to have room, if known.
    pub room_in: Option<Duration>,
}

/// Reports that the prefill of an attempt has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct FirstToken {
    /// The attempt.
    pub attempt: AttemptId,
    /// The engine.
    pub engine: EngineName,
    /// The tokens that the engine found in its cache.
    pub cached: u32,
    /// The duration of the prefill on the engine.
    pub prefill: Duration,
}

/// Reports that an attempt has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Finished {
    /// The attempt.
    pub attempt: AttemptId,
    /// The engine.
    pub engine: EngineName,
    /// The tokens of the answer.
    pub output_tokens: u32,
    /// The time from the first token to the last.
    pub decode: Duration,
    /// Whether the engine failed.
    pub failed: bool,
}
