//! A model of an engine under load, from the figures that its service publishes.
//!
//! An engine works in scheduler passes. Each pass prefills the prompts that have arrived and have a slot,
//! and advances all running sequences by several steps; events leave at its end. A prompt therefore waits
//! for the end of the current pass and for the whole pass that prefills it.

use std::time::Duration;

use super::EngineProfile;
use super::ServerLoad;

/// The passes that a prompt waits for besides its prefill: half of the current one in the mean, and its
/// own.
const FIRST_EVENT_PASSES: f64 = 1.5;

/// The sequences that an engine runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SequenceLoad {
    /// The number of sequences, those in prefill and those that wait for a slot included.
    pub sequences: u32,
    /// The tokens of their contexts.
    pub context: u64,
}

impl From<&ServerLoad> for SequenceLoad {
    fn from(load: &ServerLoad) -> SequenceLoad {
        SequenceLoad { sequences: load.running_total(), context: load.tokens }
    }
}

impl EngineProfile {
    /// Returns the duration of a pass, without prefill, of an engine with this load:
    /// `pass_steps` x (`step_ms` + sequences x `per_seq_ms` + context in 1,000 tokens x `context_per_k`).
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{SequenceLoad, EngineProfile};
    /// let profile = EngineProfile {
    ///     slots: 12,
    ///     memory_tokens: 315_000,
    ///     step_ms: 0.85,
    ///     per_seq_ms: 0.005,
    ///     context_per_k: 0.0025,
    ///     prefill_rate: 177_000.0,
    ///     attention_ms: 0.1,
    ///     pass_steps: 57,
    ///     mean_output: 1_710,
    ///     joint_prefill: true,
    /// };
    /// let load = SequenceLoad { sequences: 10, context: 50_000 };
    /// assert_eq!(profile.loaded_pass_time(load), Duration::from_micros(58_425));
    /// ```
    pub fn loaded_pass_time(&self, load: SequenceLoad) -> Duration {
        let sequences = f64::from(load.sequences.min(self.slots));
        let step_ms = self.step_ms
            + sequences * self.per_seq_ms
            + load.context as f64 / 1_000.0 * self.context_per_k;
        Duration::from_secs_f64(f64::from(self.pass_steps) * step_ms.max(0.0) / 1_000.0)
    }

    /// Returns how long a prompt waits for passes besides its prefill; nothing at an idle engine.
    pub fn pass_delay(&self, load: SequenceLoad) -> Duration {
        match load.sequences {
            0 => Duration::ZERO,
            _ => self.loaded_pass_time(load).mul_f64(FIRST_EVENT_PASSES),
        }
    }

    /// Returns how long a prompt waits for a slot: nothing while one is free. Responses of the mean length
    /// that are evenly spread over their duration end at equal intervals; those that wait already get the
    /// first slots.
    pub fn slot_wait(&self, load: SequenceLoad) -> Duration {
        let slots = self.slots.max(1);
        if load.sequences < slots {
            return Duration::ZERO;
        }
        let passes = self.mean_output as f64 / f64::from(self.pass_steps.max(1));
        let response = self.loaded_pass_time(load).mul_f64(passes);
        let turn = load.sequences - slots + 1;
        response.mul_f64(f64::from(turn) / f64::from(slots))
    }
}
