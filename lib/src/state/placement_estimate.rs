//! What one entry host believes of an engine, and the time to the first token that follows.

use std::collections::VecDeque;
use std::time::Duration;

use super::ask::EngineLoad;
use super::engine_queue_order::LengthClass;
use super::names::ModelName;
use super::placement::PlacerSettings;
use super::prefix::PrefixIndex;
use super::request::PrefixHash;
use super::time::Moment;

/// The time in which an engine's held memory turns over, to weigh engines that are full.
const MEMORY_TURNOVER: Duration = Duration::from_secs(30);

/// The cost to a short request of a long prompt that is read beside it.
const BESIDE_LONG: Duration = Duration::from_millis(30);

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
    pub(crate) fn placed(&mut self, now: Moment, tokens: u32) {
        self.placed.push_back(Placed { at: now, tokens });
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

    /// Returns the memory that is free, in tokens.
    pub(crate) fn free(&self) -> u32 {
        let placed: u32 = self.placed.iter().map(|placed| placed.tokens).sum();
        let load = self.reported.as_ref().map(|(_, load)| load);
        load.map_or(u32::MAX, |load| load.memory.saturating_sub(load.held).saturating_sub(placed))
    }

    /// Returns the expected wait until `need` tokens of memory are free.
    pub(crate) fn memory_wait(&self, need: u32) -> Duration {
        let Some((_, load)) = &self.reported else { return Duration::ZERO };
        let missing = need.saturating_sub(self.free());
        MEMORY_TURNOVER.mul_f64(f64::from(missing) / f64::from(load.memory.max(1)))
    }

    /// Returns the expected time until a prompt of which `read` tokens are not cached has its first
    /// token here.
    pub(crate) fn time_to_first(
        &self,
        now: Moment,
        read: u32,
        settings: &PlacerSettings,
    ) -> Duration {
        let class = LengthClass::of(read);
        let rate = f64::from(self.rate);
        let queue = self.queue(now, class, settings);
        let time = Duration::from_secs_f64((queue + f64::from(read)) / rate);
        let beside = class != LengthClass::Long && self.has_long(settings);
        if beside { time + BESIDE_LONG } else { time }
    }

    /// Returns the tokens that are read before a prompt of `class`.
    fn queue(&self, now: Moment, class: LengthClass, settings: &PlacerSettings) -> f64 {
        let all = class == LengthClass::Long || !settings.length_isolation;
        let mut queue = 0.0;
        if let Some((at, load)) = self.reported.as_ref().filter(|_| settings.peer_reports) {
            let drained = now.since(*at).as_secs_f64() * f64::from(self.rate);
            let long = if all { f64::from(load.long_tokens) } else { 0.0 };
            queue += (f64::from(load.short_tokens) + long - drained).max(0.0);
        }
        queue + self.own_queue(now, all)
    }

    /// Returns the tokens of the host's own placements that are not read yet.
    fn own_queue(&self, now: Moment, all: bool) -> f64 {
        let rate = f64::from(self.rate);
        let counted = self
            .placed
            .iter()
            .filter(|placed| all || LengthClass::of(placed.tokens) != LengthClass::Long);
        let mut free_at = 0.0f64;
        for placed in counted {
            let at = placed.at.0 as f64 / 1e6;
            free_at = free_at.max(at) + f64::from(placed.tokens) / rate;
        }
        (free_at - now.0 as f64 / 1e6).max(0.0) * rate
    }

    fn has_long(&self, settings: &PlacerSettings) -> bool {
        let reported = self.reported.as_ref().filter(|_| settings.peer_reports);
        let placed = self.placed.iter().any(|p| LengthClass::of(p.tokens) == LengthClass::Long);
        placed || reported.is_some_and(|(_, load)| load.long_tokens > 0)
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
