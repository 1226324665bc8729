//! Outcome of a rollout, and how far it is settled.

/// Outcome of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutOutcome {
    /// All requests go to the new version from now on.
    Completed,
    /// The new version has a fault and receives no requests.
    RolledBack,
}

/// How far an outcome is settled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// An entry has decided so; the platform's store may yet accept another outcome.
    Proposed,
    /// The platform's store has accepted it, and accepts no other one.
    Committed,
}

/// An outcome and its standing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// The outcome.
    pub outcome: RolloutOutcome,
    /// How far it is settled.
    pub standing: Standing,
}

impl Decision {
    /// Creates a decision of one entry.
    #[must_use]
    pub const fn proposed(outcome: RolloutOutcome) -> Self {
        Self {
            outcome,
            standing: Standing::Proposed,
        }
    }

    /// Creates a decision that the platform's store has accepted.
    #[must_use]
    pub const fn committed(outcome: RolloutOutcome) -> Self {
        Self {
            outcome,
            standing: Standing::Committed,
        }
    }

    /// Returns whether the store has accepted the outcome.
    #[must_use]
    pub fn is_committed(self) -> bool {
        self.standing == Standing::Committed
    }

    /// Returns whether an entry whose decision is `own`, if it has one, takes this one over from another
    /// entry.
    ///
    /// Of proposals it takes over only a roll-back: if that is a mistake, the old version serves on, while
    /// a completion decided with few responses would send all requests to a version that has faults.
    pub(super) fn replaces(self, own: Option<Self>) -> bool {
        match self.standing {
            Standing::Committed => own.is_none_or(|own| !own.is_committed()),
            Standing::Proposed => {
                let is_roll_back = self.outcome == RolloutOutcome::RolledBack;
                is_roll_back
                    && own.is_none_or(|own| own == Self::proposed(RolloutOutcome::Completed))
            }
        }
    }
}
