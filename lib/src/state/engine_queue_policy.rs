//! The parameters of the queue of an engine.

use std::time::Duration;

/// The parameters of a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuePolicy {
    /// For how many times its own prefill time a request may be overtaken by shorter ones.
    pub age_factor: f64,
    /// The prompt tokens of short requests that are released to the engine at a time.
    pub short_released: u32,
    /// The prompt tokens of medium requests that are released to the engine at a time.
    pub medium_released: u32,
    /// How long a grant stays valid while it is unused.
    pub grant_valid: Duration,
    /// The initial estimate of the prefill rate, in tokens a second.
    pub prefill_rate: u32,
    /// The initial estimate of the time between answer tokens.
    pub token_interval: Duration,
    /// The initial estimate of the length of an answer, in tokens.
    pub answer_tokens: u32,
    /// Whether each length level is limited on its own; otherwise requests are granted in the order
    /// of arrival.
    pub length_isolation: bool,
    /// Whether cached prefixes reduce the tokens that a request is expected to need read.
    pub prefix_reuse: bool,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        QueuePolicy {
            age_factor: 1.0,
            short_released: 16_384,
            medium_released: 32_768,
            grant_valid: Duration::from_secs(2),
            prefill_rate: 20_000,
            token_interval: Duration::from_millis(30),
            answer_tokens: 256,
            length_isolation: true,
            prefix_reuse: true,
        }
    }
}
