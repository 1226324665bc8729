//! The admission floor: the least urgent tier that is admitted while the endpoint is overloaded.

use std::time::Duration;

use crate::tier::Tier;
use crate::time::Monotonic;

/// Minimum time between two raises by one tier.
const MIN_RAISE_INTERVAL: Duration = Duration::from_millis(100);

/// Time without order pressure after which the floor is lowered by one tier.
const DECAY_INTERVAL: Duration = Duration::from_secs(1);

/// Rises while requests of the tier `Order` wait and is lowered again after a delay.
///
/// Without the delay, lower tiers would be admitted as soon as one order was served and then
/// be displaced by the next order.
#[derive(Debug, Default)]
pub(super) struct AdmissionFloor {
    raised_tiers: usize,
    raised_at: Option<Monotonic>,
    changed_at: Monotonic,
}

impl AdmissionFloor {
    pub(super) const fn tier(&self) -> Tier {
        Tier::ALL[Tier::ALL.len() - 1 - self.raised_tiers]
    }

    /// Raises the floor by one tier because requests of the tier `Order` wait.
    pub(super) fn raise(&mut self, now: Monotonic) {
        let is_recent = self
            .raised_at
            .is_some_and(|at| now.since(at) < MIN_RAISE_INTERVAL);
        self.changed_at = now;
        if is_recent {
            return;
        }
        self.raised_at = Some(now);
        self.raised_tiers = (self.raised_tiers + 1).min(Tier::ALL.len() - 1);
    }

    /// Admits only the tier `Order`, because a request of that tier had to be refused.
    pub(super) const fn raise_to_order(&mut self, now: Monotonic) {
        self.raised_tiers = Tier::ALL.len() - 1;
        self.raised_at = Some(now);
        self.changed_at = now;
    }

    /// Lowers the floor by one tier for each [`DECAY_INTERVAL`] without pressure.
    pub(super) fn decay(&mut self, now: Monotonic) {
        while self.raised_tiers > 0 && now.since(self.changed_at) >= DECAY_INTERVAL {
            self.raised_tiers -= 1;
            self.changed_at = self.changed_at + DECAY_INTERVAL;
        }
    }
}
