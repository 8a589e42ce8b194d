//! An engine's cache of prompt blocks, kept in the memory that requests leave over.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::text::BLOCK_TOKENS;

/// A change of the cache, as engines publish it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// The number of the event, from one.
    pub seq: u64,
    /// What happened to the block.
    pub kind: CacheChange,
    /// The hash of the prompt's text up to the block's end.
    pub hash: u64,
}

/// What happened to a block of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// It was read and is in the cache.
    Stored,
    /// It is not in the cache any more.
    Evicted,
}

/// A cached block.
#[derive(Debug, Clone, Copy)]
struct Block {
    /// The running requests that use it; their own memory counts it.
    pins: u32,
    /// Its place among the blocks that may be evicted; lower goes first.
    stamp: u64,
}

/// The cached blocks, with those that no request uses in the order of their last use.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    blocks: HashMap<u64, Block>,
    idle: BTreeMap<u64, u64>,
    stamp: u64,
    seq: u64,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// Returns how many of the first `hashes` are cached without a gap.
    pub fn hits(&self, hashes: &[u64]) -> usize {
        hashes.iter().take_while(|hash| self.blocks.contains_key(hash)).count()
    }

    /// Keeps the blocks from eviction for one request, storing those that are new.
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

    /// Ends one request's use of the blocks; the prompt's end is to be evicted before its start.
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

    /// Evicts until the blocks that no request uses fit into `room` tokens.
    pub fn shrink(&mut self, room: u32) {
        let keep = (room / BLOCK_TOKENS) as usize;
        while self.idle.len() > keep {
            let Some((_, hash)) = self.idle.pop_first() else { return };
            self.blocks.remove(&hash);
            self.push_event(CacheChange::Evicted, hash);
        }
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    fn push_event(&mut self, kind: CacheChange, hash: u64) {
        self.seq += 1;
        self.events.push(CacheEvent { seq: self.seq, kind, hash });
    }
}
