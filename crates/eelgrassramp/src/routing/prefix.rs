//! An estimate of which prompt prefixes lie in which endpoint's cache.

use std::collections::HashMap;
use std::collections::HashSet;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::wire::CacheUpdate;

/// Bytes of prompt text in one prefix block.
pub const BLOCK_BYTES: usize = 256;

/// Prefix blocks of one request that are looked at.
const MAX_BLOCKS: usize = 64;

/// Prefix blocks remembered for one pool.
const MAX_KNOWN_BLOCKS: usize = 65_536;

/// Endpoints that the index can tell apart, one bit of a mask each.
pub(super) const MAX_SLOTS: usize = 64;

/// Cuts a prompt into whole blocks and returns their hash chain.
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

/// Maps prefix blocks to the endpoints that probably hold them, as a mask of slots.
#[derive(Debug, Default)]
pub(super) struct PrefixIndex {
    holders: HashMap<u64, u64>,
    endpoint_caches: HashMap<usize, EndpointCache>,
}

/// What is known of one endpoint's cache events.
#[derive(Debug, Default)]
struct EndpointCache {
    seq: u64,
    incomplete: bool,
    blocks: HashSet<u64>,
}

impl PrefixIndex {
    /// Returns the sequence number to ask the endpoint in `slot` for changes after.
    ///
    /// An endpoint whose estimate is incomplete is asked for everything.
    pub fn resume_seq(&self, slot: usize) -> u64 {
        self.endpoint_caches
            .get(&slot)
            .filter(|s| !s.incomplete)
            .map_or(0, |s| s.seq)
    }

    /// Tells whether events of the endpoint in `slot` were missed.
    pub fn is_incomplete(&self, slot: usize) -> bool {
        self.endpoint_caches.get(&slot).is_none_or(|s| s.incomplete)
    }

    /// Takes the changes that were asked for after `asked`.
    pub fn update(&mut self, slot: usize, asked: u64, update: &CacheUpdate) {
        if update.whole {
            self.clear(slot);
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

    /// Adds the blocks of a request that the endpoint in `slot` was just given.
    pub fn add_dispatched(&mut self, slot: usize, prefix: &[u64]) {
        for block in prefix {
            self.add(slot, *block);
        }
    }

    /// Forgets what the endpoint in `slot` holds, as after its restart.
    pub fn clear(&mut self, slot: usize) {
        let Some(endpoint_cache) = self.endpoint_caches.remove(&slot) else {
            return;
        };
        for block in endpoint_cache.blocks {
            self.clear_bit(slot, block);
        }
    }

    /// Returns for each slot how many leading blocks of `prefix` it holds; 0 is left out.
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
        debug_assert!(slot < MAX_SLOTS, "slot {slot} has no bit");
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

/// How deep a request's prefix is cached in each slot.
#[derive(Debug, Default)]
pub(super) struct CachedDepths {
    masks: Vec<u64>,
}

impl CachedDepths {
    /// Returns the number of leading blocks that the endpoint in `slot` holds.
    pub fn of(&self, slot: usize) -> usize {
        self.masks.partition_point(|mask| mask & (1 << slot) != 0)
    }

    /// Returns the slots that hold the longest prefix, as a mask.
    pub fn deepest(&self) -> u64 {
        self.masks.last().copied().unwrap_or(0)
    }
}
