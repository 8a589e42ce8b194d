//! What one entry host knows about an engine, and the time to the first token estimated from it.

use std::collections::VecDeque;
use std::ops::RangeBounds;
use std::slice::SliceIndex;
use std::time::Duration;

use super::attempt_messages::EngineLoad;
use super::engine_queue_order::LENGTH_LEVELS;
use super::engine_queue_order::LengthLevel;
use super::memory::long_prompt_memory;
use super::names::ModelName;
use super::placement::PlacerSettings;
use super::prefix::PrefixIndex;
use super::request::PrefixHash;
use super::time::Moment;

/// The minimum wait at an engine without enough free memory.
const MIN_MEMORY_WAIT: Duration = Duration::from_millis(500);

/// The minimum wait of a long prompt at an engine without enough free memory.
const MIN_MEMORY_WAIT_LONG: Duration = Duration::from_secs(2);

/// The time in which all held memory of an engine is released and reserved anew, by which full
/// engines are compared.
const MEMORY_TURNOVER: Duration = Duration::from_secs(30);

/// The delay by a longer prompt that is read concurrently.
const CONCURRENT_PREFILL_DELAY: Duration = Duration::from_millis(30);

/// The maximum number of placements kept for one engine between two of its reports.
const MAX_PLACEMENTS: usize = 256;

/// The weight of the time by which a long prompt delays longer ones.
const DELAY_WEIGHT: f64 = 1.0;

/// The maximum number of prefixes that one entry host keeps.
const MAX_PREFIXES: usize = 65_536;

/// The engine hash under which the prefixes of every engine are recorded.
const ANY_ENGINE: u64 = 0;

/// Mixes the bits of `value`, so that similar values rank engines in unrelated orders.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns a hash of a name that is equal in every process.
pub(crate) fn name_hash(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// A prompt that this entry host placed at the engine.
#[derive(Debug, Clone, Copy)]
struct OwnPlacement {
    at: Moment,
    tokens: u32,
}

/// The state of one engine, as known to one entry host.
#[derive(Debug, Clone)]
pub(crate) struct EngineView {
    rate: u32,
    reported: Option<(Moment, EngineLoad)>,
    own_placements: VecDeque<OwnPlacement>,
}

impl EngineView {
    /// Creates the view of an engine without a report.
    pub(crate) fn new(rate: u32) -> EngineView {
        EngineView { rate, reported: None, own_placements: VecDeque::new() }
    }

    /// Records a report made at `at`, which includes all placements before that time.
    pub(crate) fn report(&mut self, at: Moment, load: EngineLoad) {
        if self.reported.as_ref().is_some_and(|(last, _)| *last > at) {
            return;
        }
        self.own_placements.retain(|placed| placed.at > at);
        self.rate = load.prefill_rate.max(1);
        self.reported = Some((at, load));
    }

    /// Records a prompt that this entry host placed at the engine.
    pub(crate) fn record_placement(&mut self, now: Moment, tokens: u32) {
        self.own_placements.push_back(OwnPlacement { at: now, tokens });
        if self.own_placements.len() > MAX_PLACEMENTS {
            self.own_placements.pop_front();
        }
    }

    /// Returns whether the engine responded to its dispatcher.
    pub(crate) fn is_healthy(&self) -> bool {
        self.reported.as_ref().is_none_or(|(_, load)| load.healthy)
    }

    /// Returns whether the engine has `model` or has no report.
    pub(crate) fn has_model(&self, model: &ModelName) -> bool {
        self.reported.as_ref().is_none_or(|(_, load)| load.models.contains(model))
    }

    /// Returns whether the last report is older than `after`.
    pub(crate) fn is_stale(&self, now: Moment, after: Duration) -> bool {
        self.reported.as_ref().is_some_and(|(at, _)| now.since(*at) > after)
    }

    /// Returns the memory that is free for long prompts, in tokens.
    pub(crate) fn free_for_long(&self) -> u32 {
        let total = self.reported.as_ref().map_or(0, |(_, load)| load.memory);
        self.free().saturating_sub(total - long_prompt_memory(total))
    }

    /// Returns the memory that is free, in tokens.
    fn free(&self) -> u32 {
        let placed: u32 = self.own_placements.iter().map(|placed| placed.tokens).sum();
        let load = self.reported.as_ref().map(|(_, load)| load);
        load.map_or(u32::MAX, |load| load.memory.saturating_sub(load.held).saturating_sub(placed))
    }

    /// Returns the expected time until `need` tokens of memory are free.
    pub(crate) fn memory_wait(&self, need: u32, long: bool) -> Duration {
        let Some((_, load)) = &self.reported else { return Duration::ZERO };
        let free = if long { self.free_for_long() } else { self.free() };
        let missing = need.saturating_sub(free);
        if missing == 0 {
            return Duration::ZERO;
        }
        let fraction = f64::from(missing) / f64::from(load.memory.max(1));
        let wait = if long { MIN_MEMORY_WAIT_LONG } else { MIN_MEMORY_WAIT };
        wait + MEMORY_TURNOVER.mul_f64(fraction)
    }

    /// Returns the expected time to the first token of a prompt with `uncached` tokens.
    pub(crate) fn time_to_first_token(
        &self,
        now: Moment,
        uncached: u32,
        settings: &PlacerSettings,
    ) -> Duration {
        let level = LengthLevel::of(uncached);
        let rate = f64::from(self.rate);
        let last = if settings.length_isolation { level.index() } else { LENGTH_LEVELS - 1 };
        let ahead = self.unread_tokens(now, ..=last, settings);
        let time = Duration::from_secs_f64((ahead + f64::from(uncached)) / rate);
        if self.unread_tokens(now, last + 1.., settings) == 0.0 {
            return time;
        }
        // A longer prompt in prefill is delayed by the duration of this prefill. That is counted
        // only for long prompts, whose prefill takes long.
        let delay = if level.is_long() { f64::from(uncached) / rate } else { 0.0 };
        time + CONCURRENT_PREFILL_DELAY + Duration::from_secs_f64(delay * DELAY_WEIGHT)
    }

    /// Returns the estimated tokens of the given levels that the engine has not read yet.
    fn unread_tokens(
        &self,
        now: Moment,
        levels: impl RangeBounds<usize> + SliceIndex<[u32], Output = [u32]>,
        settings: &PlacerSettings,
    ) -> f64 {
        let own = self.own_unread_tokens(now, &levels);
        let reported = self.reported.as_ref().filter(|_| settings.peer_reports);
        let Some((at, load)) = reported else { return own };
        let drained = now.since(*at).as_secs_f64() * f64::from(self.rate);
        let queued = load.level_tokens[levels].iter().map(|tokens| f64::from(*tokens)).sum::<f64>();
        own + (queued - drained).max(0.0)
    }

    /// Returns the estimated tokens of the host's own placements that the engine has not read yet.
    fn own_unread_tokens(&self, now: Moment, levels: &impl RangeBounds<usize>) -> f64 {
        let rate = f64::from(self.rate);
        let counted = self
            .own_placements
            .iter()
            .filter(|placed| levels.contains(&LengthLevel::of(placed.tokens).index()));
        let mut free_at = 0.0f64;
        for placed in counted {
            let at = placed.at.0 as f64 / 1e6;
            free_at = free_at.max(at) + f64::from(placed.tokens) / rate;
        }
        (free_at - now.0 as f64 / 1e6).max(0.0) * rate
    }
}

/// The prefixes that this entry host expects to be cached, by engine and on any engine.
///
/// For each prompt, only the prefixes of 1, 2, 4, 8, … blocks and the whole are kept, so that a
/// prompt of a million tokens takes about ten entries.
#[derive(Debug, Clone)]
pub(crate) struct CachedPrefixes {
    index: PrefixIndex,
}

impl Default for CachedPrefixes {
    fn default() -> Self {
        CachedPrefixes { index: PrefixIndex::new(MAX_PREFIXES) }
    }
}

impl CachedPrefixes {
    /// Records that the engine with hash `engine` has `blocks` cached.
    pub(crate) fn record_cached(&mut self, now: Moment, engine: u64, blocks: &[PrefixHash]) {
        for depth in depths(blocks.len()) {
            let hash = blocks[depth - 1];
            self.index.record_cached(now, &[key(engine, hash), key(ANY_ENGINE, hash)]);
        }
    }

    /// Returns the number of leading blocks of a prompt that the engine is expected to have cached.
    pub(crate) fn cached(&self, engine: u64, blocks: &[PrefixHash]) -> u32 {
        let known = depths(blocks.len())
            .take_while(|depth| self.index.cached_tokens(&[key(engine, blocks[depth - 1])]) > 0);
        known.last().map_or(0, |depth| u32::try_from(depth).unwrap_or(u32::MAX))
    }

    /// Returns the number of leading blocks of a prompt that any engine is expected to have cached.
    pub(crate) fn cached_anywhere(&self, blocks: &[PrefixHash]) -> u32 {
        self.cached(ANY_ENGINE, blocks)
    }
}

/// Returns 1, 2, 4, 8, … up to `count`, and `count` itself.
fn depths(count: usize) -> impl Iterator<Item = usize> {
    let powers = (0..usize::BITS).map(|bit| 1usize << bit).take_while(move |depth| *depth < count);
    powers.chain((count > 0).then_some(count))
}

fn key(engine: u64, hash: PrefixHash) -> PrefixHash {
    PrefixHash(mix(engine ^ hash.0))
}
