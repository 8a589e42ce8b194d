//! Prefixes of prompts: their block hashes, and which of them an engine has in its cache.
//!
//! The contents of an engine's cache are inferred from the requests that ran there and from its
//! cache events, which arrive late and with gaps. A wrong inference costs prefill time only, never
//! correctness.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use super::request::PrefixHash;
use super::time::Moment;

/// The length of one block, in tokens.
pub const BLOCK_TOKENS: u32 = 1_024;

/// The length of one block, in bytes of text.
pub const BLOCK_BYTES: usize = 4_096;

/// The bytes of text per token in estimates.
pub const TOKEN_BYTES: usize = 4;

/// The maximum delay of a cache event. An eviction is ignored if the block was used within this
/// time, because the eviction may be older than the use.
const EVENT_LAG: Duration = Duration::from_secs(2);

/// Returns the hash of `text` from its start to the end of each whole block.
///
/// ```
/// use wasabicrank_lib::state::block_hashes;
/// let text = "x".repeat(10_000);
/// assert_eq!(block_hashes(&text).len(), 2);
/// assert_eq!(block_hashes(&text)[0], block_hashes(&text[..4_096])[0]);
/// ```
pub fn block_hashes(text: &str) -> Vec<PrefixHash> {
    let mut hasher = blake3::Hasher::new();
    let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks.map(|block| prefix_hash(hasher.update(block))).collect()
}

/// Returns the hash of the input of `hasher` so far: its first eight bytes, little endian.
fn prefix_hash(hasher: &blake3::Hasher) -> PrefixHash {
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    PrefixHash(u64::from_le_bytes(bytes))
}

/// Returns an estimate of the number of tokens of `text`.
///
/// ```
/// use wasabicrank_lib::state::token_estimate;
/// assert_eq!(token_estimate("hello"), 2);
/// ```
pub fn token_estimate(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}

/// A change of an engine's cache, as the engine publishes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// The sequence number that the engine gave the event; a gap means lost events.
    pub seq: u64,
    /// What happened.
    pub change: CacheChange,
    /// The block.
    pub hash: PrefixHash,
}

/// What happened to a block in an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// The last use of a block, by order and time.
#[derive(Debug, Clone, Copy)]
struct Use {
    order: u64,
    at: Moment,
}

/// The blocks that one engine is expected to have cached: a bounded set that evicts the least
/// recently used block.
#[derive(Debug, Clone)]
pub struct PrefixIndex {
    capacity: usize,
    uses: HashMap<PrefixHash, Use>,
    order: BTreeMap<u64, PrefixHash>,
    next_order: u64,
    next_event: Option<u64>,
}

impl PrefixIndex {
    /// Creates an index of at most `capacity` blocks.
    ///
    /// ```
    /// use wasabicrank_lib::state::{Moment, PrefixHash, PrefixIndex};
    /// let mut index = PrefixIndex::new(2);
    /// index.record_cached(Moment(0), &[PrefixHash(1), PrefixHash(2)]);
    /// assert_eq!(index.cached_tokens(&[PrefixHash(1), PrefixHash(9)]), 1_024);
    /// ```
    pub fn new(capacity: usize) -> PrefixIndex {
        PrefixIndex {
            capacity,
            uses: HashMap::new(),
            order: BTreeMap::new(),
            next_order: 0,
            next_event: None,
        }
    }

    /// Returns the number of blocks in the index.
    pub fn len(&self) -> usize {
        self.uses.len()
    }

    /// Returns whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.uses.is_empty()
    }

    /// Returns the tokens at the start of a prompt with `blocks` that are expected to be cached.
    pub fn cached_tokens(&self, blocks: &[PrefixHash]) -> u32 {
        let known = blocks.iter().take_while(|hash| self.uses.contains_key(hash)).count();
        u32::try_from(known).unwrap_or(u32::MAX).saturating_mul(BLOCK_TOKENS)
    }

    /// Records that the engine read a prompt with `blocks` and has them cached.
    pub fn record_cached(&mut self, now: Moment, blocks: &[PrefixHash]) {
        // The first blocks are shared by the most prompts, so they are recorded last and evicted
        // last.
        for &hash in blocks.iter().rev() {
            self.touch(now, hash);
        }
    }

    /// Records that the engine read a prompt with `blocks`, and removes first those beyond the
    /// `cached` tokens that the engine found in its cache.
    pub fn correct(&mut self, now: Moment, blocks: &[PrefixHash], cached: u32) {
        let found = (cached / BLOCK_TOKENS) as usize;
        for hash in blocks.iter().skip(found) {
            self.remove(*hash);
        }
        self.record_cached(now, blocks);
    }

    /// Applies the engine's cache events.
    ///
    /// Each lost event may have been an eviction, so one of the least recently used blocks is
    /// removed for each.
    pub fn apply_events(&mut self, now: Moment, events: &[CacheEvent]) {
        for event in events {
            let next = self.next_event.unwrap_or(event.seq);
            if event.seq < next {
                continue;
            }
            self.remove_oldest(event.seq - next);
            self.next_event = Some(event.seq + 1);
            match event.change {
                CacheChange::Stored => self.touch(now, event.hash),
                CacheChange::Evicted => self.apply_eviction(now, event.hash),
            }
        }
    }

    fn apply_eviction(&mut self, now: Moment, hash: PrefixHash) {
        let recent = self.uses.get(&hash).is_some_and(|last| now.since(last.at) < EVENT_LAG);
        if !recent {
            self.remove(hash);
        }
    }

    fn touch(&mut self, now: Moment, hash: PrefixHash) {
        self.remove(hash);
        self.order.insert(self.next_order, hash);
        self.uses.insert(hash, Use { order: self.next_order, at: now });
        self.next_order += 1;
        if self.uses.len() > self.capacity {
            self.remove_oldest(1);
        }
    }

    fn remove(&mut self, hash: PrefixHash) {
        if let Some(last) = self.uses.remove(&hash) {
            self.order.remove(&last.order);
        }
    }

    fn remove_oldest(&mut self, count: u64) {
        for _ in 0..count {
            let Some((_, hash)) = self.order.pop_first() else { return };
            self.uses.remove(&hash);
        }
    }
}
