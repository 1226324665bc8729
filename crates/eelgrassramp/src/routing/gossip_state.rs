//! State that processes gossip besides the tables: brakes, splits and leaving endpoints.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::id::RequestId;
use crate::name::EndpointName;
use crate::name::PoolName;
use crate::name::RouteName;
use crate::name::VersionName;
use crate::tables::Pool;
use crate::wire::Brake;
use crate::wire::PoolSplit;

const PERMILLE: u64 = 1_000;

/// Brakes, splits and leaving endpoints known to this process.
///
/// Brakes are only added and a split is only replaced by a newer one, so merging the state of
/// other processes needs no coordination.
#[derive(Debug, Clone, Default)]
pub struct GossipState {
    brakes: BTreeSet<Brake>,
    splits: BTreeMap<PoolName, PoolSplit>,
    leaving: BTreeMap<PoolName, BTreeSet<EndpointName>>,
    changes: u64,
}

impl GossipState {
    /// Adds a brake; returns whether it is new.
    pub fn add_brake(&mut self, brake: Brake) -> bool {
        let is_new = self.brakes.insert(brake);
        self.count_change(is_new)
    }

    /// Stores a split unless one with an equal or higher sequence is known for its pool.
    ///
    /// Returns whether the split was stored.
    pub fn add_split(&mut self, split: PoolSplit) -> bool {
        let is_old = self
            .splits
            .get(&split.pool)
            .is_some_and(|known| known.seq >= split.seq);
        if !is_old {
            self.splits.insert(split.pool.clone(), split);
        }
        self.count_change(!is_old)
    }

    /// Adds a leaving endpoint; returns whether it is new.
    pub fn add_leaving(&mut self, pool: PoolName, endpoint: EndpointName) -> bool {
        let is_new = self.leaving.entry(pool).or_default().insert(endpoint);
        self.count_change(is_new)
    }

    /// Clears the leaving endpoints; the caller adds those that are still leaving again.
    pub fn clear_leaving(&mut self) {
        self.leaving.clear();
    }

    /// Returns the number of changes so far.
    #[must_use]
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns all brakes.
    pub fn brakes(&self) -> impl Iterator<Item = &Brake> {
        self.brakes.iter()
    }

    /// Returns the brakes of one pool.
    pub fn brakes_of<'a>(&'a self, pool: &'a PoolName) -> impl Iterator<Item = &'a Brake> {
        self.brakes.iter().filter(move |b| b.pool == *pool)
    }

    /// Returns the newest split of a pool.
    #[must_use]
    pub fn split(&self, pool: &PoolName) -> Option<&PoolSplit> {
        self.splits.get(pool)
    }

    /// Returns the leaving endpoints of all pools.
    pub fn leaving(&self) -> impl Iterator<Item = &EndpointName> {
        self.leaving.values().flatten()
    }

    /// Returns the leaving endpoints of one pool.
    pub fn leaving_of(&self, pool: &PoolName) -> impl Iterator<Item = &EndpointName> {
        self.leaving.get(pool).into_iter().flatten()
    }

    /// Returns whether an endpoint is leaving.
    #[must_use]
    pub fn is_leaving(&self, pool: &PoolName, endpoint: &EndpointName) -> bool {
        self.leaving.get(pool).is_some_and(|l| l.contains(endpoint))
    }

    /// Returns whether a version gets no new work.
    ///
    /// A brake applies to the move in which it was set and does not affect a later move to the
    /// same version.
    #[must_use]
    pub fn is_braked(&self, pool: &PoolName, version: &VersionName) -> bool {
        let move_began = self
            .splits
            .get(pool)
            .filter(|s| s.new == *version)
            .map(|s| s.seq.tables);
        self.brakes_of(pool)
            .filter(|b| b.version == *version)
            .any(|b| move_began.is_none_or(|began| b.tables >= began))
    }

    /// Selects the version for a request; the same key always maps to the same side of a split.
    ///
    /// Returns `None` when every eligible version is braked.
    #[must_use]
    pub fn version_for(
        &self,
        pool: &Pool,
        route: &RouteName,
        split_key: RequestId,
    ) -> Option<VersionName> {
        let split = self.splits.get(&pool.name);
        let (first, second) = match split {
            Some(split) if is_drawn_to_new(split, route, split_key) => {
                (&split.new, Some(&split.old))
            }
            Some(split) => (
                &split.old,
                Some(&split.new).filter(|_| has_share(split, route)),
            ),
            None => (&pool.version, None),
        };
        std::iter::once(first)
            .chain(second)
            .find(|v| !self.is_braked(&pool.name, v))
            .cloned()
    }
}

impl GossipState {
    fn count_change(&mut self, is_new: bool) -> bool {
        self.changes += u64::from(is_new);
        is_new
    }
}

fn share(split: &PoolSplit, route: &RouteName) -> u64 {
    split
        .shares
        .iter()
        .find(|s| s.route == *route)
        .map_or(0, |s| u64::from(s.to_new_permille))
}

fn has_share(split: &PoolSplit, route: &RouteName) -> bool {
    share(split, route) > 0
}

fn is_drawn_to_new(split: &PoolSplit, route: &RouteName, split_key: RequestId) -> bool {
    xxh3_64(&split_key.to_bits().to_le_bytes()) % PERMILLE < share(split, route)
}
