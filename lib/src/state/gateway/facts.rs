//! What the gateway knows of a request: its size, its time and where it came from, never its body.

use std::time::Duration;

/// The sizes of a request to a model engine, as its caller states them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSize {
    /// The tokens of the prompt.
    pub prompt: u64,
    /// The most tokens that the answer may have.
    pub answer: u64,
}

/// What a request's head says.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestFacts {
    /// The caller's identifier of this attempt; empty if it sent none.
    pub id: String,
    /// The host that it names.
    pub host: String,
    /// Its path without the query.
    pub path: String,
    /// The customer's key.
    pub key: Option<String>,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// Its size, if it goes to a model engine.
    pub size: Option<PromptSize>,
    /// The last event of its stream that the caller already has.
    pub last_event: Option<u64>,
}
