//! Estimates an engine's prefill time from the performance figures that its service publishes.

use std::time::Duration;

/// The published performance figures of one service's engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineProfile {
    /// The number of requests that one engine runs concurrently.
    pub slots: u32,
    /// The capacity of one engine's memory, in tokens.
    pub memory_tokens: u64,
    /// The duration of one decode step, in milliseconds.
    pub step_ms: f64,
    /// What each running sequence adds to a step, in milliseconds.
    pub per_seq_ms: f64,
    /// What each thousand tokens of the running sequences' contexts add to a step, in milliseconds.
    pub context_per_k: f64,
    /// The prompt tokens prefilled per second, without the quadratic cost of attention.
    pub prefill_rate: f64,
    /// The attention cost of a million pairs of a token and an earlier one, in milliseconds.
    pub attention_ms: f64,
    /// The number of decode steps in one scheduler pass.
    pub pass_steps: u32,
    /// The mean length of a response, in tokens.
    pub mean_output: u64,
    /// Whether several engines can prefill one prompt jointly.
    pub joint_prefill: bool,
}

impl EngineProfile {
    /// Returns how long one idle engine takes to prefill a prompt of `tokens`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::EngineProfile;
    /// let profile = EngineProfile {
    ///     slots: 16,
    ///     memory_tokens: 450_000,
    ///     step_ms: 0.925,
    ///     per_seq_ms: 0.00483,
    ///     context_per_k: 0.00254,
    ///     prefill_rate: 256_000.0,
    ///     attention_ms: 0.0917,
    ///     pass_steps: 46,
    ///     mean_output: 1_540,
    ///     joint_prefill: true,
    /// };
    /// assert_eq!(profile.prefill_time(210_000).as_millis(), 2_842);
    /// ```
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        let tokens = tokens as f64;
        let linear_ms = tokens / self.prefill_rate.max(1.0) * 1_000.0;
        let quadratic_ms = tokens * tokens / 2e6 * self.attention_ms;
        Duration::from_secs_f64((linear_ms + quadratic_ms).max(0.0) / 1_000.0)
    }

    /// Returns how long an idle engine takes to generate `tokens`.
    ///
    /// ```
    /// # use wasabicrank_lib::state::EngineProfile;
    /// # let profile = EngineProfile {
    /// #     slots: 16, memory_tokens: 450_000, step_ms: 0.925, per_seq_ms: 0.00483,
    /// #     context_per_k: 0.00254, prefill_rate: 256_000.0,
    /// #     attention_ms: 0.0917, pass_steps: 46, mean_output: 1_540, joint_prefill: true,
    /// # };
    /// assert_eq!(profile.output_time(1_000).as_millis(), 925);
    /// ```
    pub fn output_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 * self.step_ms.max(0.0) / 1_000.0)
    }

    /// Returns the duration of a scheduler pass without prefill, which is the usual gap between two
    /// events.
    pub fn pass_time(&self) -> Duration {
        Duration::from_secs_f64(f64::from(self.pass_steps) * self.step_ms.max(0.0) / 1_000.0)
    }
}
