//! How long a model engine takes to read a prompt, from the figures that its service publishes.

use std::time::Duration;

/// The published figures of one service's engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineProfile {
    /// The requests that one engine runs at once.
    pub slots: u32,
    /// The tokens that one engine's memory holds.
    pub memory: u64,
    /// The time of one step that writes a token, in milliseconds.
    pub step_ms: f64,
    /// The prompt tokens read in a second, pairs of tokens aside.
    pub prefill_rate: f64,
    /// The time for a million pairs of a token and an earlier one, in milliseconds.
    pub pairs_ms: f64,
    /// The steps of one pass over the waiting work.
    pub pass_steps: u32,
    /// The mean tokens of an answer.
    pub usual_answer: u64,
    /// Whether several engines may read one prompt together.
    pub joint: bool,
}

impl EngineProfile {
    /// Returns how long one idle engine reads a prompt of `tokens`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::EngineProfile;
    /// let profile = EngineProfile {
    ///     slots: 16,
    ///     memory: 450_000,
    ///     step_ms: 0.925,
    ///     prefill_rate: 256_000.0,
    ///     pairs_ms: 0.0917,
    ///     pass_steps: 46,
    ///     usual_answer: 1_540,
    ///     joint: true,
    /// };
    /// assert_eq!(profile.prefill_time(210_000).as_millis(), 2_842);
    /// ```
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        let tokens = tokens as f64;
        let linear_ms = tokens / self.prefill_rate.max(1.0) * 1_000.0;
        let pairs_ms = tokens * tokens / 2e6 * self.pairs_ms;
        Duration::from_secs_f64((linear_ms + pairs_ms).max(0.0) / 1_000.0)
    }

    /// Returns how long one pass without any reading lasts: the usual pause between two events.
    pub fn pass_time(&self) -> Duration {
        Duration::from_secs_f64(f64::from(self.pass_steps) * self.step_ms.max(0.0) / 1_000.0)
    }
}
