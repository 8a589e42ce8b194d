//! What one entry host believes of an engine, and the time to the first token that follows.

use std::collections::VecDeque;
use std::ops::RangeBounds;
use std::slice::SliceIndex;
use std::time::Duration;

use super::attempt_messages::EngineLoad;
use super::engine_queue_order::LEVELS;
use super::engine_queue_order::LengthLevel;
use super::memory::long_memory;
use super::names::ModelName;
use super::placement::PlacerSettings;
use super::prefix::PrefixIndex;
use super::request::PrefixHash;
use super::time::Moment;

/// The wait at an engine that has no room at all just now.
const MEMORY_WAIT: Duration = Duration::from_millis(500);

/// The same for a long prompt.
const MEMORY_WAIT_LONG: Duration = Duration::from_secs(2);

/// The time in which an engine's held memory turns over, to weigh engines that are full.
const MEMORY_TURNOVER: Duration = Duration::from_secs(30);

/// The cost of a longer prompt that is read beside.
const BESIDE_LONGER: Duration = Duration::from_millis(30);

/// The placements remembered for one engine between two of its reports.
const PLACED_MAX: usize = 256;

/// The weight of the time by which a longer prompt is held up.
const HELD_UP_FACTOR: f64 = 1.0;

/// The prefixes that one entry host remembers to have placed.
const PREFIXES_MAX: usize = 65_536;

/// The engine number under which prefixes are remembered that were placed anywhere.
const ANYWHERE: u64 = 0;

/// Mixes the bits of `value`, so that near values rank engines in unlike ways.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns a hash of a name that is the same in every process.
pub(crate) fn name_hash(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// A prompt that this entry host has asked room for.
#[derive(Debug, Clone, Copy)]
struct Placed {
    at: Moment,
    tokens: u32,
}

/// What is believed of one engine.
#[derive(Debug, Clone)]
pub(crate) struct EngineView {
    rate: u32,
    reported: Option<(Moment, EngineLoad)>,
    placed: VecDeque<Placed>,
}

impl EngineView {
    /// Makes the view of an engine that nothing is known of.
    pub(crate) fn new(rate: u32) -> EngineView {
        EngineView { rate, reported: None, placed: VecDeque::new() }
    }

    /// Takes a report made at `at`, which covers what was placed before.
    pub(crate) fn report(&mut self, at: Moment, load: EngineLoad) {
        if self.reported.as_ref().is_some_and(|(last, _)| *last > at) {
            return;
        }
        self.placed.retain(|placed| placed.at > at);
        self.rate = load.prefill_rate.max(1);
        self.reported = Some((at, load));
    }

    /// Counts a prompt that was placed here.
    pub(crate) fn record_placement(&mut self, now: Moment, tokens: u32) {
        self.placed.push_back(Placed { at: now, tokens });
        if self.placed.len() > PLACED_MAX {
            self.placed.pop_front();
        }
    }

    /// Tells whether the engine answered its dispatcher.
    pub(crate) fn is_healthy(&self) -> bool {
        self.reported.as_ref().is_none_or(|(_, load)| load.healthy)
    }

    /// Tells whether the engine has `model`, or is not known to lack it.
    pub(crate) fn has_model(&self, model: &ModelName) -> bool {
        self.reported.as_ref().is_none_or(|(_, load)| load.models.contains(model))
    }

    /// Tells whether the last report is older than `after`.
    pub(crate) fn is_stale(&self, now: Moment, after: Duration) -> bool {
        self.reported.as_ref().is_some_and(|(at, _)| now.since(*at) > after)
    }

    /// Returns the memory that is free for long prompts, in tokens.
    pub(crate) fn free_for_long(&self) -> u32 {
        let total = self.reported.as_ref().map_or(0, |(_, load)| load.memory);
        self.free().saturating_sub(total - long_memory(total))
    }

    /// Returns the memory that is free, in tokens.
    fn free(&self) -> u32 {
        let placed: u32 = self.placed.iter().map(|placed| placed.tokens).sum();
        let load = self.reported.as_ref().map(|(_, load)| load);
        load.map_or(u32::MAX, |load| load.memory.saturating_sub(load.held).saturating_sub(placed))
    }

    /// Returns the expected wait until `need` tokens of memory are free.
    pub(crate) fn memory_wait(&self, need: u32, long: bool) -> Duration {
        let Some((_, load)) = &self.reported else { return Duration::ZERO };
        let free = if long { self.free_for_long() } else { self.free() };
        let missing = need.saturating_sub(free);
        if missing == 0 {
            return Duration::ZERO;
        }
        let part = f64::from(missing) / f64::from(load.memory.max(1));
        let wait = if long { MEMORY_WAIT_LONG } else { MEMORY_WAIT };
        wait + MEMORY_TURNOVER.mul_f64(part)
    }

    /// Returns the expected time until a prompt of which `read` tokens are not cached has its first
    /// token here.
    pub(crate) fn time_to_first(
        &self,
        now: Moment,
        read: u32,
        settings: &PlacerSettings,
    ) -> Duration {
        let level = LengthLevel::of(read);
        let rate = f64::from(self.rate);
        let last = if settings.length_isolation { level.index() } else { LEVELS - 1 };
        let queue = self.queue(now, ..=last, settings);
        let time = Duration::from_secs_f64((queue + f64::from(read)) / rate);
        if self.queue(now, last + 1.., settings) == 0.0 {
            return time;
        }
        // A longer prompt that is being read is held up by as much as this one takes, which counts
        // once a prompt takes long.
        let held_up = if level.is_long() { f64::from(read) / rate } else { 0.0 };
        time + BESIDE_LONGER + Duration::from_secs_f64(held_up * HELD_UP_FACTOR)
    }

    /// Returns the tokens of the given levels that are not read yet.
    fn queue(
        &self,
        now: Moment,
        levels: impl RangeBounds<usize> + SliceIndex<[u32], Output = [u32]>,
        settings: &PlacerSettings,
    ) -> f64 {
        let own = self.own_queue(now, &levels);
        let reported = self.reported.as_ref().filter(|_| settings.peer_reports);
        let Some((at, load)) = reported else { return own };
        let drained = now.since(*at).as_secs_f64() * f64::from(self.rate);
        let queued = load.level_tokens[levels].iter().map(|tokens| f64::from(*tokens)).sum::<f64>();
        own + (queued - drained).max(0.0)
    }

    /// Returns the tokens of the host's own placements that are not read yet.
    fn own_queue(&self, now: Moment, levels: &impl RangeBounds<usize>) -> f64 {
        let rate = f64::from(self.rate);
        let counted = self
            .placed
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

/// The prefixes that this entry host knows to be at engines, and those that it has seen at all.
///
/// Of each prompt only the prefixes of 1, 2, 4, 8, … blocks are kept, so that a prompt of a million
/// tokens takes ten entries.
#[derive(Debug, Clone)]
pub(crate) struct PlacedPrefixes {
    index: PrefixIndex,
}

impl Default for PlacedPrefixes {
    fn default() -> Self {
        PlacedPrefixes { index: PrefixIndex::new(PREFIXES_MAX) }
    }
}

impl PlacedPrefixes {
    /// Records that the engine with hash `engine` has `blocks`.
    pub(crate) fn learn(&mut self, now: Moment, engine: u64, blocks: &[PrefixHash]) {
        for depth in depths(blocks.len()) {
            let hash = blocks[depth - 1];
            self.index.learn(now, &[key(engine, hash), key(ANYWHERE, hash)]);
        }
    }

    /// Returns the number of blocks at the start of a prompt that the engine is known to have.
    pub(crate) fn cached(&self, engine: u64, blocks: &[PrefixHash]) -> u32 {
        let known = depths(blocks.len())
            .take_while(|depth| self.index.cached_tokens(&[key(engine, blocks[depth - 1])]) > 0);
        known.last().map_or(0, |depth| u32::try_from(depth).unwrap_or(u32::MAX))
    }

    /// Returns the number of blocks at the start of a prompt that were placed anywhere.
    pub(crate) fn seen(&self, blocks: &[PrefixHash]) -> u32 {
        self.cached(ANYWHERE, blocks)
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
