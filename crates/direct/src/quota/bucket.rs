//! Token bucket of one account at one entry.

use std::time::Duration;

use eelgrassramp::Monotonic;

use crate::decaying_sum::DecayingSum;

/// Time constant of the exponentially decaying average of an account's demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Refill rate and capacity of a bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct RateLimit {
    /// Refill rate in units per second.
    pub(super) per_second: f64,
    /// Capacity in units.
    pub(super) burst: f64,
}

impl RateLimit {
    /// Returns the given share of this limit.
    pub(super) fn scaled_by(self, share: f64) -> Self {
        Self {
            per_second: self.per_second * share,
            burst: self.burst * share,
        }
    }
}

/// Token bucket of one account.
#[derive(Debug)]
pub(super) struct Bucket {
    pub(super) level: f64,
    updated_at: Monotonic,
    /// Limit over all entries as of the last request here; `None` if only other entries had any.
    global_limit: Option<RateLimit>,
    /// Fraction of `global_limit` not reserved for silent entries, as of the last request.
    unreserved_share: f64,
    /// Units admitted by this entry since it started.
    pub(super) admitted: f64,
    demand: DecayingSum,
}

impl Bucket {
    pub(super) const fn new(now: Monotonic, level: f64) -> Self {
        Self {
            level,
            updated_at: now,
            global_limit: None,
            unreserved_share: 1.0,
            admitted: 0.0,
            demand: DecayingSum::new(DEMAND_TIME_CONSTANT),
        }
    }

    /// Refills the bucket up to `now` at `unreserved_share` of `global_limit`.
    pub(super) fn refill(
        &mut self,
        now: Monotonic,
        global_limit: RateLimit,
        unreserved_share: f64,
    ) {
        self.global_limit = Some(global_limit);
        self.unreserved_share = unreserved_share;
        self.level = self.level_at(now);
        self.updated_at = now;
    }

    /// Takes out units used by another entry; negative units return an unused reservation.
    pub(super) fn charge(&mut self, now: Monotonic, units: f64) {
        if let Some(global_limit) = self.global_limit {
            self.refill(now, global_limit, self.unreserved_share);
            self.level = (self.level - units).min(global_limit.burst);
        }
    }

    /// Adopts the level reported by another entry, unless this entry's own one is lower.
    pub(super) fn adopt_level(&mut self, now: Monotonic, level: f64) {
        if self.global_limit.is_none() {
            self.level = level;
            self.updated_at = now;
        } else {
            self.level = self.level.min(level);
        }
    }

    /// Returns the limit over all entries, or `None` for an account without requests here.
    pub(super) const fn global_limit(&self) -> Option<RateLimit> {
        self.global_limit
    }

    pub(super) fn record_demand(&mut self, now: Monotonic, units: f64) {
        self.demand.add(now, units);
    }

    /// Returns the recent demand at this entry in units per second.
    pub(super) fn demand_per_second(&self, now: Monotonic) -> f64 {
        self.demand.rate_per_second(now)
    }

    pub(super) fn level_at(&self, now: Monotonic) -> f64 {
        let Some(global_limit) = self.global_limit else {
            return self.level;
        };
        let unreserved_limit = global_limit.scaled_by(self.unreserved_share);
        let elapsed = now.since(self.updated_at).as_secs_f64();
        (self.level + unreserved_limit.per_second * elapsed).min(unreserved_limit.burst)
    }
}
