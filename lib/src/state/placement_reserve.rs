//! The short reserve: engines kept free of long prompts. Its share of the engines is somewhat
//! larger than the share of short requests in the load.

use std::time::Duration;

use super::engine_queue_order::LengthLevel;
use super::placement::Candidate;
use super::time::Moment;

/// The time constant of the moving average of the load.
const LOAD_WINDOW: Duration = Duration::from_secs(60);

/// The ratio of the reserve's share of the engines to the share of short requests in the load; more
/// than one leaves room for peaks.
const SHARE_RATIO: f64 = 1.5;

/// The maximum share of the engines in the reserve.
const MAX_SHARE: f64 = 0.5;

/// The fleet size below which no engine is reserved.
const MIN_FLEET_SIZE: usize = 4;

/// The fleet size up to which the reserve has an exact number of engines. In a larger fleet it
/// holds the engines whose hash is below the share of the hash range.
const MAX_EXACT_FLEET_SIZE: usize = 64;

/// Tracks the share of short requests in the load.
#[derive(Debug, Clone, Default)]
pub(crate) struct ShortReserve {
    short_tokens: f64,
    total_tokens: f64,
    updated: Moment,
}

impl ShortReserve {
    /// Counts a request with a prompt of `tokens`.
    pub(crate) fn observe(&mut self, now: Moment, tokens: u32) {
        let decay = self.decay(now);
        self.short_tokens *= decay;
        self.total_tokens *= decay;
        self.updated = self.updated.max(now);
        self.total_tokens += f64::from(tokens);
        if !LengthLevel::of(tokens).is_long() {
            self.short_tokens += f64::from(tokens);
        }
    }

    /// Returns the share of the load that comes from prompts that are not long.
    pub(crate) fn share(&self, _now: Moment) -> f64 {
        if self.total_tokens > 0.0 { self.short_tokens / self.total_tokens } else { 0.0 }
    }

    fn decay(&self, now: Moment) -> f64 {
        (-now.since(self.updated).as_secs_f64() / LOAD_WINDOW.as_secs_f64()).exp()
    }

    /// Returns the hash below which an engine belongs to the reserve.
    pub(crate) fn cutoff(share: f64, candidates: &[Candidate]) -> u64 {
        let share = (share * SHARE_RATIO).min(MAX_SHARE);
        if candidates.len() < MIN_FLEET_SIZE {
            return 0;
        }
        if candidates.len() > MAX_EXACT_FLEET_SIZE {
            return (share * u64::MAX as f64) as u64;
        }
        let mut hashes: Vec<u64> = candidates.iter().map(Candidate::hash).collect();
        hashes.sort_unstable();
        let count = (share * candidates.len() as f64).round() as usize;
        hashes.get(count).copied().unwrap_or(0)
    }
}
