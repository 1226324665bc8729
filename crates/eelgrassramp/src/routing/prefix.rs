//! Estimates which prompt prefixes are cached at which endpoints.

use std::collections::HashMap;
use std::collections::HashSet;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::wire::CacheUpdate;

/// Bytes of prompt text in one prefix block.
pub const BLOCK_BYTES: usize = 256;

/// Maximum number of prefix blocks considered for one request.
const MAX_BLOCKS: usize = 64;

/// Maximum number of prefix blocks indexed for one pool.
const MAX_KNOWN_BLOCKS: usize = 65_536;

/// Maximum number of endpoints in the index; each has one bit of a `u64` mask.
pub(super) const MAX_SLOTS: usize = 64;

/// Splits a prompt into full blocks and returns their hash chain.
///
/// Each hash covers all text up to the end of its block, so equal hashes mean equal prefixes.
#[must_use]
pub fn block_hashes(prompt: &[u8]) -> Vec<u64> {
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .scan(0, |seed, block| {
            *seed = xxh3_64_with_seed(block, *seed);
            Some(*seed)
        })
        .collect()
}

/// Maps prefix blocks to a mask of the slots whose endpoints probably hold them.
#[derive(Debug, Default)]
pub(super) struct PrefixIndex {
    holders: HashMap<u64, u64>,
    endpoint_caches: HashMap<usize, EndpointCache>,
}

/// Cache state of one endpoint, reconstructed from its cache events.
#[derive(Debug, Default)]
struct EndpointCache {
    seq: u64,
    incomplete: bool,
    blocks: HashSet<u64>,
}

impl PrefixIndex {
    /// Returns the sequence number after which to request cache events from `slot`.
    ///
    /// Returns 0, which requests the full contents, when events of this endpoint were missed.
    pub fn resume_seq(&self, slot: usize) -> u64 {
        self.endpoint_caches
            .get(&slot)
            .filter(|s| !s.incomplete)
            .map_or(0, |s| s.seq)
    }

    /// Returns whether events of the endpoint in `slot` were missed.
    pub fn is_incomplete(&self, slot: usize) -> bool {
        self.endpoint_caches.get(&slot).is_none_or(|s| s.incomplete)
    }

    /// Applies the events that were requested after sequence number `asked`.
    pub fn update(&mut self, slot: usize, asked: u64, update: &CacheUpdate) {
        if update.whole {
            self.remove_endpoint(slot);
        }
        let endpoint_cache = self.endpoint_caches.entry(slot).or_default();
        let is_gap = !update.whole && (endpoint_cache.seq != asked || update.seq < asked);
        endpoint_cache.incomplete = is_gap;
        endpoint_cache.seq = update.seq;
        for block in &update.removed {
            self.remove(slot, *block);
        }
        for block in &update.added {
            self.add(slot, *block);
        }
    }

    /// Adds the blocks of a request just dispatched to `slot`, ahead of its cache events.
    pub fn add_dispatched(&mut self, slot: usize, prefix: &[u64]) {
        for block in prefix {
            self.add(slot, *block);
        }
    }

    /// Removes all blocks of the endpoint in `slot`, for example after its restart.
    pub fn remove_endpoint(&mut self, slot: usize) {
        let Some(endpoint_cache) = self.endpoint_caches.remove(&slot) else {
            return;
        };
        for block in endpoint_cache.blocks {
            self.clear_bit(slot, block);
        }
    }

    /// Returns how many leading blocks of `prefix` each slot holds.
    pub fn depths(&self, prefix: &[u64]) -> CachedDepths {
        let mut depths = CachedDepths::default();
        let mut mask = u64::MAX;
        for block in prefix {
            mask &= self.holders.get(block).copied().unwrap_or(0);
            if mask == 0 {
                break;
            }
            depths.masks.push(mask);
        }
        depths
    }

    fn add(&mut self, slot: usize, block: u64) {
        debug_assert!(slot < MAX_SLOTS, "slot {slot} is out of range");
        if self.holders.len() >= MAX_KNOWN_BLOCKS && !self.holders.contains_key(&block) {
            return;
        }
        *self.holders.entry(block).or_default() |= 1 << slot;
        self.endpoint_caches
            .entry(slot)
            .or_default()
            .blocks
            .insert(block);
    }

    fn remove(&mut self, slot: usize, block: u64) {
        if let Some(endpoint_cache) = self.endpoint_caches.get_mut(&slot) {
            endpoint_cache.blocks.remove(&block);
        }
        self.clear_bit(slot, block);
    }

    fn clear_bit(&mut self, slot: usize, block: u64) {
        let Some(mask) = self.holders.get_mut(&block) else {
            return;
        };
        *mask &= !(1 << slot);
        if *mask == 0 {
            self.holders.remove(&block);
        }
    }
}

/// Number of leading prefix blocks of a request cached in each slot.
#[derive(Debug, Default)]
pub(super) struct CachedDepths {
    masks: Vec<u64>,
}

impl CachedDepths {
    /// Returns the number of leading blocks that the endpoint in `slot` holds.
    pub fn of(&self, slot: usize) -> usize {
        self.masks.partition_point(|mask| mask & (1 << slot) != 0)
    }

    /// Returns a mask of the slots that hold the longest cached prefix.
    pub fn deepest(&self) -> u64 {
        self.masks.last().copied().unwrap_or(0)
    }
}
