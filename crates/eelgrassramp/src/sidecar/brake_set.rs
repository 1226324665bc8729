//! The brakes that a sidecar knows: a set that only grows.

use std::collections::BTreeSet;

use crate::id::TableVersion;
use crate::name::PoolName;
use crate::name::VersionName;
use crate::wire::Brake;

/// Most brakes that are kept; far more than the versions of one pool that can be bad at once.
const MAX_BRAKES: usize = 256;

/// Longest evidence that is kept, in bytes.
const MAX_EVIDENCE_BYTES: usize = 512;

/// All brakes known here.
#[derive(Debug, Default)]
pub struct BrakeSet {
    set: BTreeSet<Brake>,
}

impl BrakeSet {
    /// Adds the brakes that another process knows; tells whether any was new.
    ///
    /// The first evidence of a brake is kept. When the set is full, the brake of the oldest
    /// table version goes.
    pub fn merge(&mut self, brakes: impl IntoIterator<Item = Brake>) -> bool {
        let mut is_new = false;
        for brake in brakes {
            is_new |= self.add(brake);
        }
        is_new
    }

    /// Tells whether `version` of `pool` is stopped.
    ///
    /// A brake of a move is over once a later move has begun, which `move_tables` tells.
    #[must_use]
    pub fn is_braked(
        &self,
        pool: &PoolName,
        version: &VersionName,
        move_tables: TableVersion,
    ) -> bool {
        self.set
            .iter()
            .any(|b| b.pool == *pool && b.version == *version && b.tables >= move_tables)
    }

    /// Returns all brakes.
    #[must_use]
    pub fn to_vec(&self) -> Vec<Brake> {
        self.set.iter().cloned().collect()
    }

    /// Returns the number of brakes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.set.len()
    }

    /// Tells whether there is no brake.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.set.is_empty()
    }

    fn add(&mut self, mut brake: Brake) -> bool {
        let is_known = self.set.iter().any(|b| {
            b.pool == brake.pool && b.version == brake.version && b.tables == brake.tables
        });
        if is_known {
            return false;
        }
        truncate(&mut brake.evidence);
        self.set.insert(brake);
        if self.set.len() > MAX_BRAKES {
            let oldest = self.set.iter().min_by_key(|b| b.tables).cloned();
            if let Some(oldest) = oldest {
                self.set.remove(&oldest);
            }
        }
        true
    }
}

fn truncate(text: &mut String) {
    if text.len() <= MAX_EVIDENCE_BYTES {
        return;
    }
    let mut end = MAX_EVIDENCE_BYTES;
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
}
