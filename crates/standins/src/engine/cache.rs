//! The prefix cache: a bounded set of blocks with least-recently-used eviction.

use std::collections::BTreeMap;
use std::collections::HashMap;

/// Blocks by hash, each with the time of its last use.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    use_counter: u64,
    last_used: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
}

/// Blocks added to and evicted from the cache.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Change {
    pub(super) added: Vec<u64>,
    pub(super) removed: Vec<u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            use_counter: 0,
            last_used: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Returns how many leading blocks of `chain` are cached and marks them as used.
    pub(super) fn touch_cached_prefix(&mut self, chain: &[u64]) -> usize {
        let prefix_len = chain
            .iter()
            .take_while(|b| self.last_used.contains_key(b))
            .count();
        // The first block is marked last, so it is evicted last: a cached chain is useless without
        // its first block.
        for block in chain[..prefix_len].iter().rev() {
            self.mark_used(*block);
        }
        prefix_len
    }

    /// Inserts the blocks of `chain` and evicts the least recently used ones above capacity.
    pub(super) fn insert(&mut self, chain: &[u64]) -> Change {
        let mut change = Change::default();
        for block in chain.iter().rev() {
            if !self.last_used.contains_key(block) {
                change.added.push(*block);
            }
            self.mark_used(*block);
        }
        while self.last_used.len() > self.capacity {
            let Some((_, block)) = self.by_last_use.pop_first() else {
                break;
            };
            self.last_used.remove(&block);
            change.removed.push(block);
        }
        change
    }

    /// Returns all cached blocks.
    pub(super) fn blocks(&self) -> Vec<u64> {
        self.by_last_use.values().copied().collect()
    }

    /// Removes all blocks.
    pub(super) fn clear(&mut self) {
        self.last_used.clear();
        self.by_last_use.clear();
    }

    fn mark_used(&mut self, block: u64) {
        self.use_counter += 1;
        if let Some(before) = self.last_used.insert(block, self.use_counter) {
            self.by_last_use.remove(&before);
        }
        self.by_last_use.insert(self.use_counter, block);
    }
}
