//! Input and output types of the engine model.

use std::time::Duration;

use wasabicrank_lib::state::AttemptId;
use wasabicrank_lib::state::Incarnation;
use wasabicrank_lib::state::Moment;

/// The speed and size of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelConfig {
    /// The memory for prompts and answers, in tokens.
    pub memory: u32,
    /// The prefill rate of an idle engine, in tokens per second.
    pub prefill_rate: u32,
    /// The maximum number of prompt tokens prefilled in one step.
    pub chunk_tokens: u32,
    /// The base time of a decoding step, excluding the time for prefill and for each stream.
    pub step_base: Duration,
    /// The time that each stream adds to a step.
    pub step_stream: Duration,
    /// Whether each token emits an event; replays that need only the first and last disable it.
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

/// What to produce once a prompt is prefilled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// An answer.
    Stream {
        /// The number of answer tokens that the caller already has, prefilled after the prompt.
        resume_from: u32,
        /// The total length of the answer, in tokens.
        answer_tokens: u32,
        /// The maximum number of answer tokens allowed.
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
    /// The priority, from 0 to 9; higher values are served first.
    pub priority: u8,
    /// The length in tokens of the prompt, or of this segment if the prompt is split.
    pub prompt_tokens: u32,
    /// The hash at the end of each complete block of the prompt.
    pub blocks: Vec<u64>,
    /// What to produce from the prompt.
    pub work: Work,
}

/// Why an engine rejected an order, of which nothing runs and no memory is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The prompt does not fit into the free memory.
    MemoryFull,
    /// An attempt with this ID already exists on the engine.
    Duplicate,
}

/// Why a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// The answer is complete.
    Stop,
    /// The answer reached the maximum number of tokens.
    Length,
}

/// An event of the engine model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineEvent {
    /// When the event happened.
    pub at: Moment,
    /// The attempt that it concerns.
    pub attempt: AttemptId,
    /// What happened.
    pub kind: EngineEventKind,
}

/// The kind of an engine event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEventKind {
    /// Prefill finished, `cached` tokens from the cache, `prefill` after its first chunk began.
    Started { cached: u32, prefill: Duration },
    /// One answer token was generated, after `offset` earlier answer tokens.
    Token { offset: u32 },
    /// The answer ended with `tokens` tokens in total.
    Finished { tokens: u32, finish: Finish },
    /// A segment was prefilled and is held as the export `export`.
    Exported { export: u64, tokens: u32 },
    /// The engine ran out of memory and dropped the attempt.
    OutOfMemory,
}

/// The memory that an engine holds for one attempt.
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
    /// When it was submitted.
    pub since: Moment,
}

/// The load of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ModelLoad {
    /// The prompt tokens still to be prefilled.
    pub queued_tokens: u32,
    /// The number of attempts on the engine.
    pub running: u32,
    /// The memory in use, in tokens.
    pub held: u32,
}
