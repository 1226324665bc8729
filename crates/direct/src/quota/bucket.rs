//! Token bucket of one account at one entry.

use std::time::Duration;

use eelgrassramp::Monotonic;

use super::CallerAttempt;
use super::MAX_RESERVE_STEPS;
use super::RequestCost;
use super::returns::ReturnSchedule;
use crate::decaying_sum::DecayingSum;

/// Time constant of the exponentially decaying average of an account's demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Fraction of a bucket that a caller which returns late leaves for those that can be on time.
const LATE_RESERVE_RATIO: f64 = 0.25;

/// Number of priorities whose demand is told apart.
const PRIORITIES: usize = MAX_RESERVE_STEPS as usize + 1;

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
    /// Demand by priority.
    demand: [DecayingSum; PRIORITIES],
    pub(super) returns: ReturnSchedule,
}

impl Bucket {
    pub(super) const fn new(now: Monotonic, level: f64) -> Self {
        Self {
            level,
            updated_at: now,
            global_limit: None,
            unreserved_share: 1.0,
            admitted: 0.0,
            demand: [DecayingSum::new(DEMAND_TIME_CONSTANT); PRIORITIES],
            returns: ReturnSchedule::new(),
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

    pub(super) fn record_demand(&mut self, now: Monotonic, cost: RequestCost) {
        if let Some(demand) = self.demand.get_mut(cost.priority_steps() as usize) {
            demand.add(now, cost.units);
        }
    }

    /// Returns the recent demand at this entry in units per second.
    pub(super) fn demand_per_second(&self, now: Monotonic) -> f64 {
        let demand = self.demand.iter();
        demand.map(|demand| demand.rate_per_second(now)).sum()
    }

    /// Returns the units that have to remain in the bucket after a request, beside its own.
    ///
    /// A caller that returns in time uses what it was promised. One that returns late leaves some for
    /// those that can still be on time; it is served when the demand has fallen.
    pub(super) fn reserve_for(
        &mut self,
        now: Monotonic,
        cost: RequestCost,
        priority_reserve: f64,
        limit: RateLimit,
    ) -> f64 {
        let is_promised = cost.attempt == CallerAttempt::OnTimeReturn
            && self.returns.redeem(now, cost.priority_steps());
        if is_promised {
            return 0.0;
        }
        let reserve = priority_reserve + self.returns.held_units(now);
        match cost.attempt {
            CallerAttempt::First | CallerAttempt::OnTimeReturn => reserve,
            CallerAttempt::LateReturn => reserve + LATE_RESERVE_RATIO * limit.burst,
        }
    }

    /// Returns the delay after which a refused caller may return; `missing` is the time until the
    /// bucket holds what it needs.
    ///
    /// This entry promises its share of the rate, which follows its demand beside that on the other
    /// entries, less what callers of higher priority ask for.
    pub(super) fn promise_return(
        &mut self,
        now: Monotonic,
        cost: RequestCost,
        missing: Duration,
        per_second: f64,
        peer_demand: f64,
    ) -> Duration {
        let own_demand = self.demand_per_second(now).max(1.0);
        let own_rate = per_second * own_demand / (own_demand + peer_demand);
        let higher = self.demand.iter().take(cost.priority_steps() as usize);
        let higher_demand: f64 = higher.map(|demand| demand.rate_per_second(now)).sum();
        self.returns
            .promise(now, missing, cost, own_rate - higher_demand)
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
