//! The least urgent tier that is accepted while orders wait.

use std::time::Duration;

use crate::tier::Tier;
use crate::time::Monotonic;

/// Shortest time between two raises by one tier.
const RAISE_PERIOD: Duration = Duration::from_millis(100);

/// Time without pressure after which the floor goes down by one tier.
const DECAY_PERIOD: Duration = Duration::from_secs(1);

/// Rises while orders wait and goes down slowly.
///
/// A floor that fell as soon as one order was served would let lower tiers in again, only to
/// displace them with the next order.
#[derive(Debug, Default)]
pub(super) struct AdmissionFloor {
    raised: usize,
    raised_at: Option<Monotonic>,
    changed_at: Monotonic,
}

impl AdmissionFloor {
    pub(super) const fn tier(&self) -> Tier {
        Tier::ALL[Tier::ALL.len() - 1 - self.raised]
    }

    /// Raises the floor by one tier because of pressure.
    pub(super) fn raise(&mut self, now: Monotonic) {
        let recent = self
            .raised_at
            .is_some_and(|at| now.since(at) < RAISE_PERIOD);
        self.changed_at = now;
        if recent {
            return;
        }
        self.raised_at = Some(now);
        self.raised = (self.raised + 1).min(Tier::ALL.len() - 1);
    }

    /// Accepts nothing but orders, because an order had to be refused.
    pub(super) const fn raise_fully(&mut self, now: Monotonic) {
        self.raised = Tier::ALL.len() - 1;
        self.raised_at = Some(now);
        self.changed_at = now;
    }

    /// Lets the floor down by one tier for each period without pressure.
    pub(super) fn decay(&mut self, now: Monotonic) {
        while self.raised > 0 && now.since(self.changed_at) >= DECAY_PERIOD {
            self.raised -= 1;
            self.changed_at = self.changed_at + DECAY_PERIOD;
        }
    }
}
