//! Cost of a request, and its rank among the requests of its account.

use std::time::Duration;

use crate::request_queue::Priority;

/// Fraction of a bucket that is reserved for routes of higher priority, per step of priority.
const RESERVE_RATIO_PER_STEP: f64 = 0.15;

/// Maximum number of steps of priority that add to the reserve.
pub(super) const MAX_RESERVE_STEPS: u32 = 2;

/// Requests of this many units or more must leave the full reserve in the bucket, smaller ones a
/// proportional part of it.
const FULL_RESERVE_UNITS: f64 = 1_000.0;

/// Whether a caller was refused before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerAttempt {
    /// It was not, as far as is known.
    First,
    /// It was, and can still be served on time.
    OnTimeReturn,
    /// It was, and will be served late.
    LateReturn,
}

impl CallerAttempt {
    /// Returns the attempt of a caller that waited for `prior_wait` after it was refused, and can still
    /// be served on time within `slack`.
    #[must_use]
    pub fn after(prior_wait: Duration, slack: Duration) -> Self {
        if prior_wait.is_zero() {
            Self::First
        } else if prior_wait <= slack {
            Self::OnTimeReturn
        } else {
            Self::LateReturn
        }
    }
}

/// Cost of a request, and its priority among the requests of its account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestCost {
    /// Cost of the request in units.
    pub units: f64,
    /// Priority of the request; only the route's part is used here.
    pub priority: Priority,
    /// Whether the caller was refused before.
    pub attempt: CallerAttempt,
    /// Time for which the caller can stay away, if it is refused, and still be served on time.
    pub slack: Duration,
}

impl RequestCost {
    /// Returns the priority of the route, up to the lowest one that is told apart; 0 is the highest.
    pub(super) fn priority_steps(&self) -> u32 {
        self.priority.route_priority.min(MAX_RESERVE_STEPS)
    }

    /// Returns the fraction of a bucket that has to remain for requests of higher priority.
    ///
    /// Scales with the size of the request, because rejecting a small one saves little.
    pub(super) fn priority_reserve_ratio(&self) -> f64 {
        let steps = f64::from(self.priority_steps());
        RESERVE_RATIO_PER_STEP * steps * (self.units / FULL_RESERVE_UNITS).min(1.0)
    }
}
