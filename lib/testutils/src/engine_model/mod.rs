//! An engine in virtual time: continuous batching with chunked prefill, without any I/O.
//!
//! The engine works in steps. A step prefills one chunk of waiting prompts, by priority and then in
//! order of arrival, and generates one token for each stream whose prefill is done. The HTTP
//! stand-in drives it in real time, a replay in virtual time.

mod interface;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use wasabicrank_lib::state::AttemptId;
use wasabicrank_lib::state::Moment;

pub use interface::*;

use crate::prefix_cache::CacheEvent;
use crate::prefix_cache::PrefixCache;
use crate::text::BLOCK_TOKENS;

/// An attempt on the engine.
#[derive(Debug, Clone)]
struct Attempt {
    order: Order,
    since: Moment,
    /// When the prefill of its first chunk began.
    prefill_start: Option<Moment>,
    /// The tokens still to be prefilled.
    unprefilled: u32,
    cached: u32,
    /// The number of its blocks pinned in the cache.
    pinned: usize,
    /// The answer tokens generated so far, including those it resumed from.
    generated: u32,
    held: u32,
    /// Whether its reader disconnected, so that only a cancel frees its memory.
    abandoned: bool,
}

/// The step in progress.
#[derive(Debug, Clone)]
struct Step {
    ends: Moment,
    /// The prompts prefilled in it, with the number of tokens of each.
    chunks: Vec<(u64, u32)>,
    /// The streams that get a token in it.
    streams: Vec<u64>,
}

/// An engine in virtual time.
#[derive(Debug, Clone)]
pub struct EngineModel {
    config: ModelConfig,
    now: Moment,
    step: Option<Step>,
    attempts: BTreeMap<u64, Attempt>,
    by_id: HashMap<AttemptId, u64>,
    /// Prompts to prefill, by priority and then by arrival.
    waiting: BTreeSet<(Reverse<u8>, u64)>,
    decoding: BTreeSet<u64>,
    cache: PrefixCache,
    events: Vec<EngineEvent>,
    next_seq: u64,
    held: u32,
    queued_tokens: u32,
    peak_held: u32,
    over_memory: u64,
}

impl EngineModel {
    /// Creates an idle engine.
    ///
    /// ```
    /// use wasabicrank_testutils::engine_model::{EngineModel, ModelConfig};
    /// let model = EngineModel::new(ModelConfig::default());
    /// assert_eq!(model.next_event(), None);
    /// ```
    pub fn new(config: ModelConfig) -> EngineModel {
        EngineModel {
            config,
            now: Moment(0),
            step: None,
            attempts: BTreeMap::new(),
            by_id: HashMap::new(),
            waiting: BTreeSet::new(),
            decoding: BTreeSet::new(),
            cache: PrefixCache::default(),
            events: Vec::new(),
            next_seq: 1,
            held: 0,
            queued_tokens: 0,
            peak_held: 0,
            over_memory: 0,
        }
    }

    /// Accepts an order at `now` or returns why it was rejected.
    pub fn submit(&mut self, now: Moment, order: Order) -> Result<(), Rejection> {
        self.run_until(now);
        if self.by_id.contains_key(&order.attempt) {
            return Err(Rejection::Duplicate);
        }
        let generated = match order.work {
            Work::Stream { resume_from, .. } => resume_from,
            Work::Export => 0,
        };
        let read = order.prompt_tokens.saturating_add(generated);
        if read > self.config.memory - self.held.min(self.config.memory) {
            return Err(Rejection::MemoryFull);
        }
        let seq = self.next_seq;
        self.next_seq += 1;
        self.waiting.insert((Reverse(order.priority), seq));
        self.by_id.insert(order.attempt, seq);
        self.queued_tokens += read;
        // Pin cached blocks before reserving the prompt's memory, which could evict them.
        let pinned = self.cache.hits(&order.blocks);
        self.cache.pin(&order.blocks[..pinned]);
        self.hold(read);
        let attempt = Attempt {
            order,
            since: now,
            prefill_start: None,
            unprefilled: read,
            cached: 0,
            pinned,
            generated,
            held: read,
            abandoned: false,
        };
        self.attempts.insert(seq, attempt);
        self.begin_step();
        Ok(())
    }

    /// Cancels an attempt and frees its memory; returns whether it existed.
    pub fn cancel(&mut self, now: Moment, attempt: AttemptId) -> bool {
        self.run_until(now);
        let Some(&seq) = self.by_id.get(&attempt) else { return false };
        self.release(seq);
        true
    }

    /// Records that the reader of an attempt's answer disconnected.
    ///
    /// The engine finishes the answer and then holds its memory until the attempt is cancelled.
    pub fn abandon(&mut self, now: Moment, attempt: AttemptId) {
        self.run_until(now);
        if let Some(entry) = self.by_id.get(&attempt).and_then(|seq| self.attempts.get_mut(seq)) {
            entry.abandoned = true;
        }
    }

    /// Returns the time of the next event, or `None` if the engine is idle.
    pub fn next_event(&self) -> Option<Moment> {
        if self.events.is_empty() {
            self.step.as_ref().map(|step| step.ends)
        } else {
            Some(self.now)
        }
    }

    /// Advances to `now` and returns the events since the last call, in order of time.
    pub fn advance(&mut self, now: Moment) -> Vec<EngineEvent> {
        self.run_until(now);
        std::mem::take(&mut self.events)
    }

    /// Returns the load at the time the model has advanced to.
    pub fn load(&self) -> ModelLoad {
        ModelLoad {
            queued_tokens: self.queued_tokens,
            running: u32::try_from(self.attempts.len()).unwrap_or(u32::MAX),
            held: self.held,
        }
    }

    /// Returns the memory held by each attempt, oldest first.
    pub fn holdings(&self) -> Vec<Holding> {
        let holding = |attempt: &Attempt| Holding {
            attempt: attempt.order.attempt,
            owner: attempt.order.owner,
            export: attempt.order.work == Work::Export,
            held: attempt.held,
            since: attempt.since,
        };
        self.attempts.values().map(holding).collect()
    }

    /// Returns the length of the prefix of `blocks` that is cached.
    pub fn cached_blocks(&self, blocks: &[u64]) -> usize {
        self.cache.hits(blocks)
    }

    /// Takes the prefix cache events recorded since the last call.
    pub fn take_cache_events(&mut self) -> Vec<CacheEvent> {
        self.cache.take_events()
    }

    /// Returns the peak memory use, in tokens.
    pub fn peak_held(&self) -> u32 {
        self.peak_held
    }

    /// Returns how many answers were dropped because they outgrew the memory.
    pub fn over_memory(&self) -> u64 {
        self.over_memory
    }

    /// Returns the speed and size.
    pub fn config(&self) -> &ModelConfig {
        &self.config
    }

    fn run_until(&mut self, now: Moment) {
        while let Some(step) = self.step.take_if(|step| step.ends <= now) {
            self.now = step.ends;
            self.finish_step(step);
            self.begin_step();
        }
        self.now = self.now.max(now);
    }

    /// Starts the next step if there is work and no step is in progress.
    fn begin_step(&mut self) {
        if self.step.is_some() {
            return;
        }
        let (chunks, read) = self.choose_chunks();
        let streams: Vec<u64> = self.decoding.iter().copied().collect();
        if chunks.is_empty() && streams.is_empty() {
            return;
        }
        let micros = u64::from(read) * 1_000_000 / u64::from(self.config.prefill_rate.max(1));
        let mut span = Duration::from_micros(micros);
        if !streams.is_empty() {
            let count = u32::try_from(streams.len()).unwrap_or(u32::MAX);
            span += self.config.step_base + self.config.step_stream * count;
        }
        // A step takes nonzero time so that a full cache hit cannot stop the clock.
        let ends = self.now + span.max(Duration::from_micros(1));
        self.step = Some(Step { ends, chunks, streams });
    }

    /// Fills one chunk from the waiting prompts; returns the parts and their total tokens.
    fn choose_chunks(&mut self) -> (Vec<(u64, u32)>, u32) {
        let mut chunks = Vec::new();
        let mut left = self.config.chunk_tokens;
        for &(_, seq) in &self.waiting {
            if left == 0 {
                break;
            }
            let Some(attempt) = self.attempts.get_mut(&seq) else { continue };
            if attempt.prefill_start.is_none() {
                attempt.prefill_start = Some(self.now);
                let cached = use_cache(&mut self.cache, attempt);
                self.queued_tokens -= cached;
            }
            let part = attempt.unprefilled.min(left);
            left -= part;
            chunks.push((seq, part));
        }
        (chunks, self.config.chunk_tokens - left)
    }

    fn finish_step(&mut self, step: Step) {
        for (seq, part) in step.chunks {
            let Some(attempt) = self.attempts.get_mut(&seq) else { continue };
            attempt.unprefilled -= part;
            self.queued_tokens -= part;
            if attempt.unprefilled == 0 {
                self.finish_prefill(seq);
            }
        }
        for seq in step.streams {
            self.generate_token(seq);
        }
    }

    /// Moves an attempt whose prefill is done to decoding, or holds it as an export.
    fn finish_prefill(&mut self, seq: u64) {
        let Some(attempt) = self.attempts.get_mut(&seq) else { return };
        self.waiting.remove(&(Reverse(attempt.order.priority), seq));
        self.cache.pin(&attempt.order.blocks[attempt.pinned..]);
        attempt.pinned = attempt.order.blocks.len();
        let name = attempt.order.attempt;
        match attempt.order.work {
            Work::Export => {
                let tokens = attempt.order.prompt_tokens;
                self.push_event(name, EngineEventKind::Exported { export: seq, tokens });
            }
            Work::Stream { .. } => {
                let prefill = self.now.since(attempt.prefill_start.unwrap_or(attempt.since));
                let cached = attempt.cached;
                self.decoding.insert(seq);
                self.push_event(name, EngineEventKind::Started { cached, prefill });
                // The step that prefills the last prompt token generates the first answer token.
                self.generate_token(seq);
            }
        }
    }

    fn generate_token(&mut self, seq: u64) {
        let Some(attempt) = self.attempts.get_mut(&seq) else { return };
        let Work::Stream { answer_tokens, max_tokens, .. } = attempt.order.work else { return };
        let name = attempt.order.attempt;
        if attempt.generated < answer_tokens {
            if self.held >= self.config.memory {
                self.over_memory += 1;
                self.push_event(name, EngineEventKind::OutOfMemory);
                self.release(seq);
                return;
            }
            let offset = attempt.generated;
            attempt.generated += 1;
            attempt.held += 1;
            self.hold(1);
            if self.config.token_events {
                self.push_event(name, EngineEventKind::Token { offset });
            }
        }
        let Some(attempt) = self.attempts.get_mut(&seq) else { return };
        if attempt.generated >= answer_tokens {
            let tokens = attempt.generated;
            let finish = if tokens >= max_tokens { Finish::Length } else { Finish::Stop };
            let abandoned = attempt.abandoned;
            self.decoding.remove(&seq);
            self.push_event(name, EngineEventKind::Finished { tokens, finish });
            if !abandoned {
                self.release(seq);
            }
        }
    }

    fn release(&mut self, seq: u64) {
        let Some(attempt) = self.attempts.remove(&seq) else { return };
        self.by_id.remove(&attempt.order.attempt);
        self.waiting.remove(&(Reverse(attempt.order.priority), seq));
        self.decoding.remove(&seq);
        self.cache.unpin(&attempt.order.blocks[..attempt.pinned]);
        self.queued_tokens -= attempt.unprefilled;
        self.held -= attempt.held;
        self.cache.shrink(self.config.memory - self.held);
    }

    fn hold(&mut self, tokens: u32) {
        self.held += tokens;
        self.peak_held = self.peak_held.max(self.held);
        self.cache.shrink(self.config.memory.saturating_sub(self.held));
    }

    fn push_event(&mut self, attempt: AttemptId, kind: EngineEventKind) {
        self.events.push(EngineEvent { at: self.now, attempt, kind });
    }
}

/// Pins and uses the cached prefix of an attempt's prompt; returns the tokens saved.
fn use_cache(cache: &mut PrefixCache, attempt: &mut Attempt) -> u32 {
    let hits = cache.hits(&attempt.order.blocks);
    cache.pin(&attempt.order.blocks[attempt.pinned..hits]);
    attempt.pinned = hits;
    let blocks = u32::try_from(hits).unwrap_or(u32::MAX);
    // The last token is always prefilled, because the first answer token is computed from it.
    let cached = blocks.saturating_mul(BLOCK_TOKENS).min(attempt.unprefilled.saturating_sub(1));
    attempt.cached = cached;
    attempt.unprefilled -= cached;
    cached
}
