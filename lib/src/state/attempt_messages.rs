//! What origins and dispatchers tell each other about attempts on engines, in the core's own types.
//!
//! The coordination layer carries these between entry hosts; placement and queues read them.

use std::time::Duration;

use super::engine_queue_order::LEVELS;
use super::names::AttemptId;
use super::names::CustomerName;
use super::names::EngineName;
use super::names::ModelName;
use super::outcome::Reason;
use super::request::PrefixHash;
use super::request::Priority;

/// The load of one engine as its dispatcher knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineLoad {
    /// The engine.
    pub engine: EngineName,
    /// Prompt tokens of short requests that wait or are being read.
    pub short_tokens: u32,
    /// Prompt tokens of long requests that wait or are being read.
    pub long_tokens: u32,
    /// Prompt tokens that wait or are being read, by length level, the shortest first.
    pub level_tokens: [u32; LEVELS],
    /// Requests that wait or run.
    pub requests: u32,
    /// Memory that is reserved or held, in tokens.
    pub held: u32,
    /// Memory in all, in tokens.
    pub memory: u32,
    /// The observed prefill rate, in tokens a second.
    pub prefill_rate: u32,
    /// The observed rate of one stream's decoding, in milli-tokens a second.
    pub decode_rate: u32,
    /// Whether the engine answers.
    pub healthy: bool,
    /// The models loaded on the engine.
    pub models: Vec<ModelName>,
}

/// What one customer used at one entry host since its start.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerUsage {
    /// The customer.
    pub customer: CustomerName,
    /// Its demand, admitted or not, in tokens a second over the last seconds.
    pub demand: u32,
    /// Its requests in flight.
    pub in_flight: u32,
}

/// Asks leave to start an attempt on an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct StartRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The engine.
    pub engine: EngineName,
    /// The customer that it counts for.
    pub customer: CustomerName,
    /// Its weight among customers, from the rules.
    pub weight: u32,
    /// Its priority.
    pub priority: Priority,
    /// The prompt's length in tokens, of this segment if the prompt is split.
    pub prompt_tokens: u32,
    /// The tokens that the answer may need.
    pub output_tokens: u32,
    /// The hashes of the prompt's blocks.
    pub blocks: Vec<PrefixHash>,
    /// How long ago the request arrived.
    pub waited: Duration,
    /// The time left until its deadline.
    pub left: Duration,
    /// Whether this is a segment of a group: then it is granted at once or denied.
    pub segment: bool,
}

/// Leave to start an attempt on an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// The attempt.
    pub attempt: AttemptId,
    /// The engine.
    pub engine: EngineName,
    /// How long the leave is good for; after that the memory is given back.
    pub valid: Duration,
    /// The tokens that the dispatcher expects to be cached.
    pub cached: u32,
    /// How long the ask waited at the dispatcher.
    pub queued: Duration,
}

/// A refusal of leave to start an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Denial {
    /// The attempt.
    pub attempt: AttemptId,
    /// The engine.
    pub engine: EngineName,
    /// Why.
    pub reason: Reason,
    /// When the dispatcher expects room, if it can tell.
    pub room_in: Option<Duration>,
}

/// Says that an attempt's prefill is over.
#[derive(Debug, Clone, PartialEq)]
pub struct FirstToken {
    /// The attempt.
    pub attempt: AttemptId,
    /// The engine.
    pub engine: EngineName,
    /// The tokens that the engine found cached.
    pub cached: u32,
    /// How long the prefill took on the engine.
    pub prefill: Duration,
}

/// Says that an attempt is over.
#[derive(Debug, Clone, PartialEq)]
pub struct Finished {
    /// The attempt.
    pub attempt: AttemptId,
    /// The engine.
    pub engine: EngineName,
    /// The tokens that the answer had.
    pub output_tokens: u32,
    /// How long the tokens took after the first.
    pub decode: Duration,
    /// Whether the engine failed.
    pub failed: bool,
}
