//! How the queue of an engine decides.

use std::time::Duration;

/// How a queue decides.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuePolicy {
    /// How many times its own prefill time an ask may be passed by shorter ones.
    pub age_factor: f64,
    /// Prompt tokens of short asks released to the engine at a time.
    pub short_released: u32,
    /// Prompt tokens of medium asks released to the engine at a time.
    pub medium_released: u32,
    /// How long a grant may stay unused.
    pub grant_valid: Duration,
    /// The prefill rate expected before any was observed, in tokens a second.
    pub prefill_rate: u32,
    /// The time between answer tokens expected before any was observed.
    pub token_interval: Duration,
    /// The length of an answer expected before any was observed, in tokens.
    pub answer_tokens: u32,
    /// Whether lengths are kept apart; otherwise asks are granted in the order of arrival.
    pub length_isolation: bool,
    /// Whether cached prefixes are counted.
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
