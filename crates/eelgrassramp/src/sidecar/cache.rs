//! What is known of the engine's prefix cache, for entries that ask.

use std::collections::HashSet;
use std::collections::VecDeque;

use crate::wire::CacheUpdate;

/// Most changes that are kept for entries that lag.
const MAX_CHANGES: usize = 4096;

/// Most block hashes that are kept.
const MAX_BLOCKS: usize = 65_536;

/// A copy of the cache's contents with the latest changes.
///
/// An entry that holds an older sequence number than the kept changes gets the whole content,
/// so that a gap in the engine's events never leaves an entry with a wrong picture for good.
#[derive(Debug, Default)]
pub struct CacheIndex {
    seq: u64,
    blocks: HashSet<u64>,
    changes: VecDeque<Change>,
    changes_after: u64,
}

#[derive(Debug)]
struct Change {
    seq: u64,
    added: Vec<u64>,
    removed: Vec<u64>,
}

impl CacheIndex {
    /// Returns the sequence number up to which the cache is known.
    #[must_use]
    pub const fn seq(&self) -> u64 {
        self.seq
    }

    /// Takes in the engine's answer to a question for the changes after [`Self::seq`].
    pub fn apply(&mut self, update: CacheUpdate) {
        if update.whole || update.seq < self.seq {
            self.replace(update);
            return;
        }
        if update.seq == self.seq {
            return;
        }
        for block in &update.removed {
            self.blocks.remove(block);
        }
        self.blocks.extend(&update.added);
        self.blocks_within_bounds();
        self.seq = update.seq;
        self.changes.push_back(Change {
            seq: update.seq,
            added: update.added,
            removed: update.removed,
        });
        if self.changes.len() > MAX_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.changes_after = oldest.seq;
        }
    }

    /// Returns what an entry needs that knows the cache up to `seq`.
    #[must_use]
    pub fn after(&self, seq: u64) -> CacheUpdate {
        if seq < self.changes_after || seq > self.seq {
            return CacheUpdate {
                seq: self.seq,
                whole: true,
                added: self.blocks.iter().copied().collect(),
                removed: Vec::new(),
            };
        }
        let mut update = CacheUpdate {
            seq: self.seq,
            ..CacheUpdate::default()
        };
        for change in self.changes.iter().filter(|c| c.seq > seq) {
            update.added.retain(|b| !change.removed.contains(b));
            update.removed.retain(|b| !change.added.contains(b));
            update.added.extend(&change.added);
            update.removed.extend(&change.removed);
        }
        update
    }

    fn replace(&mut self, update: CacheUpdate) {
        self.seq = update.seq;
        self.blocks = update.added.into_iter().take(MAX_BLOCKS).collect();
        self.changes.clear();
        self.changes_after = update.seq;
    }

    /// Forgets everything when the engine's events claim more blocks than a cache can hold,
    /// which happens when removals were lost.
    fn blocks_within_bounds(&mut self) {
        if self.blocks.len() > MAX_BLOCKS {
            self.blocks.clear();
            self.changes.clear();
            self.changes_after = self.seq;
        }
    }
}
