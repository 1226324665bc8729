//! Access of the moves to the gossip state of this process's router.

use std::fmt::Debug;

use crate::entry::Service;
use crate::name::EndpointName;
use crate::name::PoolName;
use crate::wire::Brake;
use crate::wire::PoolSplit;

/// The brakes, splits and leaving endpoints used for routing in this process.
pub trait Gossip: Debug + Send + Sync {
    /// Returns the known brakes of a pool.
    fn brakes(&self, pool: &PoolName) -> Vec<Brake>;

    /// Returns the newest known split of a pool.
    fn split(&self, pool: &PoolName) -> Option<PoolSplit>;

    /// Returns the endpoints known to be leaving.
    fn leaving(&self) -> Vec<EndpointName>;

    /// Applies a brake in this process immediately.
    fn add_brake(&self, brake: Brake);

    /// Applies a split in this process, unless a newer one is known.
    fn add_split(&self, split: PoolSplit);
}

impl Gossip for Service {
    fn brakes(&self, pool: &PoolName) -> Vec<Brake> {
        self.with_gossip_state(|known| known.brakes_of(pool).cloned().collect())
    }

    fn split(&self, pool: &PoolName) -> Option<PoolSplit> {
        self.with_gossip_state(|known| known.split(pool).cloned())
    }

    fn leaving(&self) -> Vec<EndpointName> {
        self.with_gossip_state(|known| known.leaving().cloned().collect())
    }

    fn add_brake(&self, brake: Brake) {
        self.with_gossip_state(|known| known.add_brake(brake));
    }

    fn add_split(&self, split: PoolSplit) {
        self.with_gossip_state(|known| known.add_split(split));
    }
}
