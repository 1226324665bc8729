//! Operators' orders, and how entries name them to each other.

use std::time::Duration;

use eelgrassramp::PoolName;
use eelgrassramp::VersionName;

use super::RolloutOutcome;

/// An operator's order to roll out a version in a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutOrder {
    /// Revision at which the order's object was created. An operator who replaces the order keeps it.
    pub id: u64,
    /// Epoch of the platform's store in which the order was read. In a later one the store has lost
    /// changes, and an order that was written again has another id.
    pub epoch: u64,
    /// Revision of the object's last change, which an operator or a report made.
    pub revision: u64,
    /// The pool.
    pub pool: PoolName,
    /// The new version.
    pub new_version: VersionName,
    /// Time from the order to the deadline.
    pub duration: Duration,
    /// Outcome that was already reported for this order, if any.
    pub outcome: Option<RolloutOutcome>,
    /// Version of an earlier order in the same object, if the report on its roll-back still stands
    /// there.
    pub rolled_back_before: Option<VersionName>,
}

impl RolloutOrder {
    /// Returns whether `other` is this order, which may have been written again after it was lost.
    #[must_use]
    pub fn is_same_order(&self, other: &Self) -> bool {
        let is_same_id = self.id == other.id || self.epoch != other.epoch;
        is_same_id && self.pool == other.pool && self.new_version == other.new_version
    }

    /// Returns whether `later`, a later state of the same object, is another order for the same version:
    /// the store loses no outcome within an epoch, so an operator has replaced the order meanwhile.
    #[must_use]
    pub fn was_ordered_again(&self, later: &Self) -> bool {
        let is_later = self.epoch == later.epoch && self.revision < later.revision;
        is_later && self.outcome.is_some() && later.outcome.is_none()
    }
}

/// Names the order that a message of another entry is about, beside the id of its object.
///
/// An operator may replace an order in its object, so the id alone does not name it. See
/// `docs/design/platform.md`, "What entries believe of each other".
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderReference {
    /// Epoch of the platform's store in which the sender read the order.
    pub epoch: u64,
    /// The new version.
    pub new_version: VersionName,
    /// Revision of the object's last change that the sender has read.
    pub revision: u64,
}

impl From<&RolloutOrder> for OrderReference {
    fn from(order: &RolloutOrder) -> Self {
        Self {
            epoch: order.epoch,
            new_version: order.new_version.clone(),
            revision: order.revision,
        }
    }
}
