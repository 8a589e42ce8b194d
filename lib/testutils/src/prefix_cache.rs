//! An engine's prefix cache of prompt blocks, kept in the memory not used by requests.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::text::BLOCK_TOKENS;

/// A cache change, as published by engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// The sequence number of the event, starting at one.
    pub seq: u64,
    /// The kind of change.
    pub kind: CacheChange,
    /// The hash of the prompt's text up to the block's end.
    pub hash: u64,
}

/// How a cache block changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block was prefilled and stored in the cache.
    Stored,
    /// The block was evicted from the cache.
    Evicted,
}

/// A cached block.
#[derive(Debug, Clone, Copy)]
struct Block {
    /// The number of running requests that use it; its memory is counted as theirs.
    pins: u32,
    /// Its position among the evictable blocks; lower values are evicted first.
    stamp: u64,
}

/// The cached blocks; those that no request uses are kept in LRU order.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    blocks: HashMap<u64, Block>,
    idle: BTreeMap<u64, u64>,
    stamp: u64,
    seq: u64,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// Returns the length of the prefix of `hashes` that is cached without a gap.
    pub fn hits(&self, hashes: &[u64]) -> usize {
        hashes.iter().take_while(|hash| self.blocks.contains_key(hash)).count()
    }

    /// Pins the blocks against eviction for one request, storing those that are new.
    pub fn pin(&mut self, hashes: &[u64]) {
        for &hash in hashes {
            match self.blocks.get_mut(&hash) {
                Some(block) => {
                    if block.pins == 0 {
                        self.idle.remove(&block.stamp);
                    }
                    block.pins += 1;
                }
                None => {
                    self.blocks.insert(hash, Block { pins: 1, stamp: 0 });
                    self.push_event(CacheChange::Stored, hash);
                }
            }
        }
    }

    /// Unpins one request's blocks, last block first, so that a prompt's end is evicted before its
    /// start.
    pub fn unpin(&mut self, hashes: &[u64]) {
        for &hash in hashes.iter().rev() {
            let Some(block) = self.blocks.get_mut(&hash) else { continue };
            block.pins = block.pins.saturating_sub(1);
            if block.pins == 0 {
                self.stamp += 1;
                block.stamp = self.stamp;
                self.idle.insert(block.stamp, hash);
            }
        }
    }

    /// Evicts unpinned blocks until the remaining ones fit into `room` tokens.
    pub fn shrink(&mut self, room: u32) {
        let keep = (room / BLOCK_TOKENS) as usize;
        while self.idle.len() > keep {
            let Some((_, hash)) = self.idle.pop_first() else { return };
            self.blocks.remove(&hash);
            self.push_event(CacheChange::Evicted, hash);
        }
    }

    /// Takes the events recorded since the last call.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    fn push_event(&mut self, kind: CacheChange, hash: u64) {
        self.seq += 1;
        self.events.push(CacheEvent { seq: self.seq, kind, hash });
    }
}
