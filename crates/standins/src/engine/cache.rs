//! The prefix cache: a bounded set of blocks, the least recently used goes first.

use std::collections::BTreeMap;
use std::collections::HashMap;

/// Blocks by hash, each with the time of its last use.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    clock: u64,
    used: HashMap<u64, u64>,
    by_age: BTreeMap<u64, u64>,
}

/// What changed in the cache.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Change {
    pub(super) added: Vec<u64>,
    pub(super) removed: Vec<u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            used: HashMap::new(),
            by_age: BTreeMap::new(),
        }
    }

    /// Returns how many leading blocks of `chain` are held, and marks them as used.
    pub(super) fn hit(&mut self, chain: &[u64]) -> usize {
        let held = chain
            .iter()
            .take_while(|b| self.used.contains_key(b))
            .count();
        // The first block is touched last, since a chain is useless without its beginning.
        for block in chain[..held].iter().rev() {
            self.touch(*block);
        }
        held
    }

    /// Takes in the blocks of `chain` and drops the ones that no longer fit.
    pub(super) fn insert(&mut self, chain: &[u64]) -> Change {
        let mut change = Change::default();
        for block in chain.iter().rev() {
            if !self.used.contains_key(block) {
                change.added.push(*block);
            }
            self.touch(*block);
        }
        while self.used.len() > self.capacity {
            let Some((_, block)) = self.by_age.pop_first() else {
                break;
            };
            self.used.remove(&block);
            change.removed.push(block);
        }
        change
    }

    /// Returns all blocks that are held.
    pub(super) fn blocks(&self) -> Vec<u64> {
        self.by_age.values().copied().collect()
    }

    /// Forgets everything.
    pub(super) fn clear(&mut self) {
        self.used.clear();
        self.by_age.clear();
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(before) = self.used.insert(block, self.clock) {
            self.by_age.remove(&before);
        }
        self.by_age.insert(self.clock, block);
    }
}
