//! Index of the engine's prefix cache, served to entries as incremental updates.

use std::collections::HashSet;
use std::collections::VecDeque;

use crate::wire::CacheUpdate;

/// Maximum number of changes kept for entries that have not read them yet.
const MAX_CHANGES: usize = 4096;

/// Maximum number of block hashes in the index.
const MAX_BLOCKS: usize = 65_536;

/// The block hashes in the cache, and a log of the latest changes.
///
/// The sidecar numbers the changes itself: an engine does not notice that it lost an event,
/// and the correction by the next full report has to reach the entries as a change too.
#[derive(Debug)]
pub struct CacheIndex {
    engine_seq: u64,
    seq: u64,
    blocks: HashSet<u64>,
    changes: VecDeque<Change>,
    changes_base_seq: u64,
}

#[derive(Debug)]
struct Change {
    seq: u64,
    added: Vec<u64>,
    removed: Vec<u64>,
}

impl CacheIndex {
    /// Creates an empty index; `first_seq` must exceed all sequence numbers of former incarnations.
    #[must_use]
    pub fn new(first_seq: u64) -> Self {
        Self {
            engine_seq: 0,
            seq: first_seq,
            blocks: HashSet::new(),
            changes: VecDeque::new(),
            changes_base_seq: first_seq,
        }
    }

    /// Returns the engine's sequence number up to which its events have been applied.
    #[must_use]
    pub const fn engine_seq(&self) -> u64 {
        self.engine_seq
    }

    /// Applies an engine update: the events after [`Self::engine_seq`] or the whole content.
    pub fn apply(&mut self, update: CacheUpdate) {
        if update.whole {
            self.engine_seq = update.seq;
            self.replace_content(update.added);
        } else if update.seq > self.engine_seq {
            self.engine_seq = update.seq;
            self.record_change(update.added, update.removed);
        }
    }

    /// Returns the update for an entry that knows the cache up to `seq`.
    #[must_use]
    pub fn changes_since(&self, seq: u64) -> CacheUpdate {
        if seq < self.changes_base_seq || seq > self.seq {
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

    /// Replaces the content and records the difference as a change.
    fn replace_content(&mut self, content: Vec<u64>) {
        let content: HashSet<u64> = content.into_iter().take(MAX_BLOCKS).collect();
        let added = content.difference(&self.blocks).copied().collect();
        let removed = self.blocks.difference(&content).copied().collect();
        self.record_change(added, removed);
    }

    fn record_change(&mut self, added: Vec<u64>, removed: Vec<u64>) {
        if added.is_empty() && removed.is_empty() {
            return;
        }
        for block in &removed {
            self.blocks.remove(block);
        }
        self.blocks.extend(&added);
        self.seq += 1;
        if self.blocks.len() > MAX_BLOCKS {
            self.reset();
            return;
        }
        self.changes.push_back(Change {
            seq: self.seq,
            added,
            removed,
        });
        if self.changes.len() > MAX_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.changes_base_seq = oldest.seq;
        }
    }

    /// Clears the index: more blocks than a cache can hold mean that removal events were lost.
    fn reset(&mut self) {
        self.blocks.clear();
        self.changes.clear();
        self.changes_base_seq = self.seq;
    }
}
