//! The reserve: engines kept free of long prompts, somewhat more than the part of
//! short requests in the load.

use std::time::Duration;

use super::engine_queue_order::LengthLevel;
use super::placement::Candidate;
use super::time::Moment;

/// The time over which the load is averaged.
const LOAD_SPAN: Duration = Duration::from_secs(60);

/// The engines in the reserve for each part of the load, so that it has room for peaks.
const SHARE_FACTOR: f64 = 1.5;

/// The largest part of the engines in the reserve.
const SHARE_MAX: f64 = 0.5;

/// The fleet size below which no engine is kept free.
const FLEET_MIN: usize = 4;

/// The fleet size up to which the reserve is counted out exactly.
const EXACT_MAX: usize = 64;

/// Observes the part of short requests in the load.
#[derive(Debug, Clone, Default)]
pub(crate) struct ShortReserve {
    short: f64,
    all: f64,
    updated: Moment,
}

impl ShortReserve {
    /// Counts a request with a prompt of `tokens`.
    pub(crate) fn observe(&mut self, now: Moment, tokens: u32) {
        let decay = self.decay(now);
        self.short *= decay;
        self.all *= decay;
        self.updated = self.updated.max(now);
        self.all += f64::from(tokens);
        if !LengthLevel::of(tokens).is_long() {
            self.short += f64::from(tokens);
        }
    }

    /// Returns the part of the load that is not long.
    pub(crate) fn share(&self, _now: Moment) -> f64 {
        if self.all > 0.0 { self.short / self.all } else { 0.0 }
    }

    fn decay(&self, now: Moment) -> f64 {
        (-now.since(self.updated).as_secs_f64() / LOAD_SPAN.as_secs_f64()).exp()
    }

    /// Returns the bound below which an engine's hash puts it into the reserve.
    pub(crate) fn cutoff(share: f64, candidates: &[Candidate]) -> u64 {
        let share = (share * SHARE_FACTOR).min(SHARE_MAX);
        if candidates.len() < FLEET_MIN {
            return 0;
        }
        if candidates.len() > EXACT_MAX {
            return (share * u64::MAX as f64) as u64;
        }
        let mut hashes: Vec<u64> = candidates.iter().map(Candidate::hash).collect();
        hashes.sort_unstable();
        let count = (share * candidates.len() as f64).round() as usize;
        hashes.get(count).copied().unwrap_or(0)
    }
}
