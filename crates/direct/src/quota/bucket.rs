//! The token bucket of one account at one entry.

use std::time::Duration;

use eelgrassramp::Monotonic;

use crate::decaying_sum::DecayingSum;

/// Time over which an account's demand is remembered.
const DEMAND_MEMORY: Duration = Duration::from_secs(2);

/// How fast a bucket fills, and how much it holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Fill {
    /// Units a second.
    pub(super) per_second: f64,
    /// Units.
    pub(super) burst: f64,
}

impl Fill {
    /// Returns the filling that is left to an entry for which `part` of it is meant.
    pub(super) fn of_part(self, part: f64) -> Self {
        Self {
            per_second: self.per_second * part,
            burst: self.burst * part,
        }
    }
}

/// Units that an account may still use.
#[derive(Debug)]
pub(super) struct Bucket {
    pub(super) level: f64,
    at: Monotonic,
    /// Filling over all entries at the last request; `None` while only other entries got any.
    whole: Option<Fill>,
    /// Part of the filling that was this entry's at the last request.
    own_part: f64,
    /// Units admitted by this entry since its start.
    pub(super) admitted: f64,
    asked: DecayingSum,
}

impl Bucket {
    pub(super) const fn new(now: Monotonic, level: f64) -> Self {
        Self {
            level,
            at: now,
            whole: None,
            own_part: 1.0,
            admitted: 0.0,
            asked: DecayingSum::new(DEMAND_MEMORY),
        }
    }

    /// Fills the bucket up to `now` with this entry's part of `whole`.
    pub(super) fn refill(&mut self, now: Monotonic, whole: Fill, own_part: f64) {
        self.whole = Some(whole);
        self.own_part = own_part;
        self.level = self.level_at(now);
        self.at = now;
    }

    /// Takes out units that another entry used; negative units were kept for it in vain.
    pub(super) fn charge(&mut self, now: Monotonic, units: f64) {
        if let Some(whole) = self.whole {
            self.refill(now, whole, self.own_part);
            self.level = (self.level - units).min(whole.burst);
        }
    }

    /// Takes over the level that another entry told.
    pub(super) fn adopt(&mut self, now: Monotonic, level: f64) {
        if self.whole.is_none() {
            self.level = level;
            self.at = now;
        } else {
            self.level = self.level.min(level);
        }
    }

    /// Returns how the bucket fills over all entries; an account that never asked here has none.
    pub(super) const fn whole(&self) -> Option<Fill> {
        self.whole
    }

    pub(super) fn ask(&mut self, now: Monotonic, units: f64) {
        self.asked.add(now, units);
    }

    /// Returns the units a second that were asked of this entry of late.
    pub(super) fn asked(&self, now: Monotonic) -> f64 {
        self.asked.rate_per_second(now)
    }

    /// Returns the level at `now`.
    pub(super) fn level_at(&self, now: Monotonic) -> f64 {
        let Some(whole) = self.whole else {
            return self.level;
        };
        let fill = whole.of_part(self.own_part);
        let age = now.since(self.at).as_secs_f64();
        (self.level + fill.per_second * age).min(fill.burst)
    }
}
