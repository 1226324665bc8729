//! The set of brakes known to a sidecar; brakes are never withdrawn.

use std::collections::BTreeSet;

use crate::id::TableVersion;
use crate::name::PoolName;
use crate::name::VersionName;
use crate::wire::Brake;

/// Maximum number of brakes; far more than the versions of one pool that can be bad at once.
const MAX_BRAKES: usize = 256;

/// Maximum length of the stored evidence, in bytes.
const MAX_EVIDENCE_BYTES: usize = 512;

/// The brakes known to this process; each marks a version of a pool as bad.
#[derive(Debug, Default)]
pub struct BrakeSet {
    brakes: BTreeSet<Brake>,
}

impl BrakeSet {
    /// Adds the brakes known to another process; returns whether any was new.
    ///
    /// The first evidence received for a brake is kept. When the set is full, the brake with the
    /// oldest table version is removed.
    pub fn merge(&mut self, brakes: impl IntoIterator<Item = Brake>) -> bool {
        let mut is_new = false;
        for brake in brakes {
            is_new |= self.insert_brake(brake);
        }
        is_new
    }

    /// Returns whether a brake applies to `version` of `pool`.
    ///
    /// `move_tables` is the table version of the latest move. A brake set during an earlier move
    /// no longer applies.
    #[must_use]
    pub fn is_braked(
        &self,
        pool: &PoolName,
        version: &VersionName,
        move_tables: TableVersion,
    ) -> bool {
        self.brakes
            .iter()
            .any(|b| b.pool == *pool && b.version == *version && b.tables >= move_tables)
    }

    /// Returns all brakes.
    #[must_use]
    pub fn to_vec(&self) -> Vec<Brake> {
        self.brakes.iter().cloned().collect()
    }

    /// Returns the number of brakes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.brakes.len()
    }

    /// Returns whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.brakes.is_empty()
    }

    fn insert_brake(&mut self, mut brake: Brake) -> bool {
        let is_present = self.brakes.iter().any(|b| {
            b.pool == brake.pool && b.version == brake.version && b.tables == brake.tables
        });
        if is_present {
            return false;
        }
        truncate_evidence(&mut brake.evidence);
        self.brakes.insert(brake);
        if self.brakes.len() > MAX_BRAKES {
            let oldest = self.brakes.iter().min_by_key(|b| b.tables).cloned();
            if let Some(oldest) = oldest {
                self.brakes.remove(&oldest);
            }
        }
        true
    }
}

fn truncate_evidence(text: &mut String) {
    if text.len() <= MAX_EVIDENCE_BYTES {
        return;
    }
    let mut end = MAX_EVIDENCE_BYTES;
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
}
