//! What goes into an engine's model and what comes out of it.

use std::time::Duration;

use wasabicrank_lib::state::AttemptId;
use wasabicrank_lib::state::Incarnation;
use wasabicrank_lib::state::Moment;

/// The speed and size of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelConfig {
    /// The memory for prompts and answers, in tokens.
    pub memory: u32,
    /// The rate at which an idle engine reads a prompt, in tokens a second.
    pub prefill_rate: u32,
    /// The most prompt tokens read in one step.
    pub chunk_tokens: u32,
    /// The time of a step that makes tokens, beside the time for prompts and streams.
    pub step_base: Duration,
    /// The time that each stream adds to a step.
    pub step_stream: Duration,
    /// Whether each token is an event; a replay that counts only first and last ones turns it off.
    pub token_events: bool,
}

impl Default for ModelConfig {
    fn default() -> Self {
        ModelConfig {
            memory: 400_000,
            prefill_rate: 20_000,
            chunk_tokens: 512,
            step_base: Duration::from_millis(12),
            step_stream: Duration::from_micros(150),
            token_events: true,
        }
    }
}

/// What is to come of a prompt that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// An answer.
    Stream {
        /// The answer tokens that the caller already has, to be read after the prompt.
        resume_from: u32,
        /// The answer's whole length in tokens.
        answer_tokens: u32,
        /// The most tokens that were allowed.
        max_tokens: u32,
    },
    /// A segment of a split prompt, held until it is cancelled.
    Export,
}

/// A request to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The attempt.
    pub attempt: AttemptId,
    /// The incarnation of the entry host that answers for it.
    pub owner: Incarnation,
    /// Higher goes first; 0 to 9.
    pub priority: u8,
    /// The prompt's length, of this segment if it is split.
    pub prompt_tokens: u32,
    /// The hash at the end of each whole block of the prompt.
    pub blocks: Vec<u64>,
    /// What is to come of it.
    pub work: Work,
}

/// Why an engine did not take an order; nothing of it runs or is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The prompt does not fit into the memory that is left.
    MemoryFull,
    /// An attempt with this name is here already.
    Duplicate,
}

/// Why a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// The answer was whole.
    Stop,
    /// The answer reached the most tokens that were allowed.
    Length,
}

/// Something that an engine did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineEvent {
    /// When.
    pub at: Moment,
    /// The attempt that it was done for.
    pub attempt: AttemptId,
    /// What.
    pub kind: EngineEventKind,
}

/// What an engine did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEventKind {
    /// The prompt was read, `cached` tokens of it from the cache, in `prefill` since its turn came.
    Started { cached: u32, prefill: Duration },
    /// One answer token was made; `offset` tokens of the answer stand before it.
    Token { offset: u32 },
    /// The answer ended; it has `tokens` in all.
    Finished { tokens: u32, finish: Finish },
    /// A segment was read and is held as the export `export`.
    Exported { export: u64, tokens: u32 },
    /// The engine ran out of memory and dropped the attempt.
    OutOfMemory,
}

/// What an engine holds for one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holding {
    /// The attempt.
    pub attempt: AttemptId,
    /// The incarnation of the entry host that answers for it.
    pub owner: Incarnation,
    /// Whether it is a segment of a split prompt.
    pub export: bool,
    /// The memory that it holds, in tokens.
    pub held: u32,
    /// When it came.
    pub since: Moment,
}

/// What an engine says of its load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ModelLoad {
    /// The prompt tokens that are still to be read.
    pub queued_tokens: u32,
    /// The attempts that are here.
    pub running: u32,
    /// The memory that is held, in tokens.
    pub held: u32,
}
