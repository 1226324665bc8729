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
/// Changes get sequence numbers of the sidecar's own, because an engine that has lost an event
/// cannot tell, and what the next whole report corrects must reach the entries as a change.
#[derive(Debug)]
pub struct CacheIndex {
    engine_seq: u64,
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
    /// Starts with an empty cache; `first_seq` has to be above the numbers of former lives.
    #[must_use]
    pub fn new(first_seq: u64) -> Self {
        Self {
            engine_seq: 0,
            seq: first_seq,
            blocks: HashSet::new(),
            changes: VecDeque::new(),
            changes_after: first_seq,
        }
    }

    /// Returns the engine's sequence number up to which its events are known.
    #[must_use]
    pub const fn engine_seq(&self) -> u64 {
        self.engine_seq
    }

    /// Takes in the engine's answer to a question for the events after [`Self::engine_seq`]
    /// or for its whole content.
    pub fn apply(&mut self, update: CacheUpdate) {
        if update.whole {
            self.engine_seq = update.seq;
            self.replace(update.added);
        } else if update.seq > self.engine_seq {
            self.engine_seq = update.seq;
            self.change(update.added, update.removed);
        }
    }

    /// Returns what an entry needs that knows the cache up to `seq`.
    #[must_use]
    pub fn changes_since(&self, seq: u64) -> CacheUpdate {
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

    /// Takes the whole content in as the difference to what was known.
    fn replace(&mut self, content: Vec<u64>) {
        let content: HashSet<u64> = content.into_iter().take(MAX_BLOCKS).collect();
        let added = content.difference(&self.blocks).copied().collect();
        let removed = self.blocks.difference(&content).copied().collect();
        self.change(added, removed);
    }

    fn change(&mut self, added: Vec<u64>, removed: Vec<u64>) {
        if added.is_empty() && removed.is_empty() {
            return;
        }
        for block in &removed {
            self.blocks.remove(block);
        }
        self.blocks.extend(&added);
        self.seq += 1;
        if self.blocks.len() > MAX_BLOCKS {
            self.forget();
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
            self.changes_after = oldest.seq;
        }
    }

    /// Starts again from an empty cache, since events that claim more blocks than a cache can
    /// hold show that removals were lost.
    fn forget(&mut self) {
        self.blocks.clear();
        self.changes.clear();
        self.changes_after = self.seq;
    }
}
