//! What the gateway reads from a request's head; it never reads the body.

use std::time::Duration;

use crate::state::SharedParts;

/// The size of a request to a model engine, as stated by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSize {
    /// The length of the prompt, in tokens.
    pub prompt: u64,
    /// The maximum length of the response, in tokens.
    pub max_output: u64,
}

/// The contents of a request's head.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestFacts {
    /// The caller's id for this attempt; empty if it sent none.
    pub id: String,
    /// The host that the request names.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// The customer key.
    pub key: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The size, if the request is for a model engine.
    pub size: Option<PromptSize>,
    /// The parts of the prompt that other prompts may have as well.
    pub parts: SharedParts,
    /// The id of the last event that the caller already has, when it resumes a stream.
    pub last_event: Option<u64>,
}
