//! The steps by which a route's traffic moves over.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::num;

/// The share of the new version at each step, in thousandths.
const SHARES_PERMILLE: [u16; 7] = [0, 20, 50, 200, 500, 900, 1_000];

/// Requests that the new version must have answered at each step before the next one.
const MIN_REQUESTS: [u64; 7] = [0, 40, 60, 100, 150, 200, 0];

/// Most requests to the new version at its first step before its badness can have shown.
const MAX_REQUESTS_BEFORE_DETECTION: f64 = 50.0;

/// Time from a request's outcome to the brake that it leads to, in seconds.
const BRAKE_DELAY_S: f64 = 3.0;

/// How far a route has come; steps are never skipped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Step(u8);

impl Step {
    /// No traffic is on the new version.
    pub const NONE: Self = Self(0);

    /// The last step at which a few endpoints can serve the new version's share.
    pub(super) const LAST_WITH_FEW_ENDPOINTS: Self = Self(3);

    /// All but a rest is on the new version; the rest serves to compare with.
    pub const HOLDBACK: Self = Self(5);

    /// All traffic is on the new version.
    pub const ALL: Self = Self(6);

    /// Returns the step after this one, at most [`Self::ALL`].
    #[must_use]
    pub const fn next(self) -> Self {
        if self.0 < Self::ALL.0 {
            Self(self.0 + 1)
        } else {
            Self::ALL
        }
    }

    /// Returns the share of the new version in thousandths, for a route with so many requests
    /// a second.
    ///
    /// The first step is smaller on a busy route, so that its count of requests stays bounded
    /// as well as its share.
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

    /// Tells whether `permille` is a share that this step can give.
    #[must_use]
    pub(super) fn is_share(self, permille: u16) -> bool {
        let share = SHARES_PERMILLE[self.index()];
        if self.0 == 1 {
            (1..=share).contains(&permille)
        } else {
            permille == share
        }
    }

    /// Returns the requests that the new version must have answered before the next step.
    #[must_use]
    pub const fn requests(self) -> u64 {
        MIN_REQUESTS[self.index()]
    }

    /// Returns the number of steps from here to [`Self::HOLDBACK`].
    #[must_use]
    pub const fn steps_left(self) -> u32 {
        (Self::HOLDBACK.0.saturating_sub(self.0)) as u32
    }

    /// Returns the time that traffic needs from here to [`Self::HOLDBACK`], where each step lasts
    /// for `least` or longer; `None` without traffic.
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
        // A stored step from a longer ladder counts as the last one.
        if self.0 > Self::ALL.0 {
            Self::ALL.0 as usize
        } else {
            self.0 as usize
        }
    }
}
