//! The steps in which a route's traffic is shifted to the new version.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::num;

/// Traffic share of the new version at each step, in thousandths.
const SHARES_PERMILLE: [u16; 7] = [0, 20, 50, 200, 500, 900, 1_000];

/// Minimum number of requests the new version must complete at each step before the next one.
const MIN_REQUESTS: [u64; 7] = [0, 40, 60, 100, 150, 200, 0];

/// Maximum number of requests sent to the new version at the first step before a regression can
/// be detected.
const MAX_REQUESTS_BEFORE_DETECTION: f64 = 50.0;

/// Delay from the outcome of a request to a resulting brake, in seconds.
const BRAKE_DELAY_S: f64 = 3.0;

/// The rollout step of a route; steps are never skipped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Step(u8);

impl Step {
    /// No traffic on the new version.
    pub const NONE: Self = Self(0);

    /// The last step at which a few endpoints can serve the share of the new version.
    pub(super) const LAST_WITH_FEW_ENDPOINTS: Self = Self(3);

    /// All traffic on the new version except for a holdback, which is used for comparison.
    pub const HOLDBACK: Self = Self(5);

    /// All traffic on the new version.
    pub const ALL: Self = Self(6);

    /// Returns the next step, up to [`Self::ALL`].
    #[must_use]
    pub const fn next(self) -> Self {
        if self.0 < Self::ALL.0 {
            Self(self.0 + 1)
        } else {
            Self::ALL
        }
    }

    /// Returns the traffic share of the new version, in thousandths, for a route with
    /// `per_second` requests per second.
    ///
    /// The share of the first step is reduced on busy routes to bound the number of requests
    /// exposed to an unproven version.
    #[must_use]
    pub fn share_permille(self, per_second: f64) -> u16 {
        let share = SHARES_PERMILLE[self.index()];
        if self.0 != 1 || per_second <= 0.0 {
            return share;
        }
        let bound = MAX_REQUESTS_BEFORE_DETECTION / (per_second * BRAKE_DELAY_S) * 1_000.0;
        let bound = u16::try_from(num::round_to_u64(bound)).unwrap_or(share);
        bound.clamp(1, share)
    }

    /// Returns whether `permille` is a possible share of this step.
    #[must_use]
    pub(super) fn is_share(self, permille: u16) -> bool {
        let share = SHARES_PERMILLE[self.index()];
        if self.0 == 1 {
            (1..=share).contains(&permille)
        } else {
            permille == share
        }
    }

    /// Returns the number of requests the new version must complete before the next step.
    #[must_use]
    pub const fn requests(self) -> u64 {
        MIN_REQUESTS[self.index()]
    }

    /// Returns the number of steps from here to [`Self::HOLDBACK`].
    #[must_use]
    pub const fn steps_left(self) -> u32 {
        (Self::HOLDBACK.0.saturating_sub(self.0)) as u32
    }

    /// Returns the time needed to reach [`Self::HOLDBACK`] when each step lasts at least `least`.
    ///
    /// Returns `None` if the route has no traffic.
    #[must_use]
    pub fn time_left(self, per_second: f64, least: Duration) -> Option<Duration> {
        let mut total = Duration::ZERO;
        let mut step = self;
        while step < Self::HOLDBACK {
            let share = f64::from(step.share_permille(per_second)) / 1_000.0;
            let needed = step.requests() as f64;
            let seconds = if needed > 0.0 {
                needed / (per_second * share)
            } else {
                0.0
            };
            total += Duration::try_from_secs_f64(seconds).ok()?.max(least);
            step = step.next();
        }
        Some(total)
    }

    const fn index(self) -> usize {
        // A stored step beyond the last one, written by a version with more steps, counts as the
        // last one.
        if self.0 > Self::ALL.0 {
            Self::ALL.0 as usize
        } else {
            self.0 as usize
        }
    }
}
