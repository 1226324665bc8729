//! Schedules the steps of a move and predicts whether it will meet its deadline.

use std::collections::BTreeMap;
use std::time::Duration;

use jiff::Timestamp;

use super::judge::Judge;
use super::step::Step;
use crate::name::RouteName;
use crate::tier::Tier;
use crate::time::Monotonic;

/// Minimum duration of a step.
const MIN_STEP: Duration = Duration::from_secs(20);

/// Maximum duration of a step, so that a distant deadline does not slow a move indefinitely.
const MAX_STEP: Duration = Duration::from_mins(10);

/// Minimum time for which the holdback stays on the old version.
const MIN_WATCH: Duration = Duration::from_mins(1);

/// Maximum time for which the holdback stays on the old version.
const MAX_WATCH: Duration = Duration::from_mins(30);

/// Fraction of the time to the deadline reserved for the watch phase.
const WATCH_SHARE: f64 = 0.25;

/// Fraction of the time for steps that is scheduled; the remainder covers outages and lease
/// changes.
const PLANNED_SHARE: f64 = 0.6;

/// Safety margin before the deadline.
const DEADLINE_MARGIN: Duration = Duration::from_secs(30);

/// Weight of a new measurement in the moving average of a route's request rate.
const RATE_SMOOTHING: f64 = 0.1;

/// Interval over which a route's request rate is measured.
const RATE_PERIOD: Duration = Duration::from_secs(5);

/// The current step of one route in a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RouteStep {
    pub(super) route: RouteName,
    pub(super) tier: Tier,
    pub(super) step: Step,
}

/// The schedule for the remainder of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Schedule {
    /// Minimum duration of a step.
    pub(super) step: Duration,
    /// Duration of the watch phase before the holdback is shifted too.
    pub(super) watch: Duration,
    /// Why the move cannot meet its deadline.
    pub(super) late: Option<String>,
}

impl Schedule {
    /// Schedules the remainder of a move from the current `route_steps` and measured `rates`.
    ///
    /// Each tier stays one step behind the next less urgent one, so every additional tier adds
    /// one step.
    pub(super) fn plan(
        wall: Timestamp,
        by: Timestamp,
        route_steps: &[RouteStep],
        rates: &Rates,
    ) -> Self {
        let left = time_until(wall, by).saturating_sub(DEADLINE_MARGIN);
        let watch = left.mul_f64(WATCH_SHARE).clamp(MIN_WATCH, MAX_WATCH);
        let steps = steps_left(route_steps);
        let room = left.saturating_sub(watch).mul_f64(PLANNED_SHARE) / (steps + 1);
        let step = room.clamp(MIN_STEP, MAX_STEP);
        Self {
            step,
            watch,
            late: lateness_reason(left, route_steps, rates),
        }
    }
}

fn steps_left(route_steps: &[RouteStep]) -> u32 {
    let most = route_steps.iter().map(|p| p.step.steps_left()).max();
    let mut tiers: Vec<_> = route_steps.iter().map(|p| p.tier).collect();
    tiers.sort_unstable();
    tiers.dedup();
    let behind = u32::try_from(tiers.len().saturating_sub(1)).unwrap_or(0);
    most.map_or(0, |most| most + behind.min(most))
}

fn lateness_reason(left: Duration, route_steps: &[RouteStep], rates: &Rates) -> Option<String> {
    for route_step in route_steps.iter().filter(|p| p.step < Step::HOLDBACK) {
        let per_second = rates.per_second(&route_step.route)?;
        let route = &route_step.route;
        if per_second <= 0.0 {
            if left <= MIN_STEP * route_step.step.steps_left() + MIN_WATCH {
                return Some(format!(
                    "route \"{route}\" has no requests to judge by, at {} of 5 steps",
                    5 - route_step.step.steps_left(),
                ));
            }
            continue;
        }
        let needed = route_step.step.time_left(per_second, MIN_STEP)? + MIN_WATCH;
        if needed > left {
            return Some(format!(
                "route \"{route}\" needs {} s more at {per_second:.1} requests a second, {} s are left",
                needed.as_secs(),
                left.as_secs(),
            ));
        }
    }
    None
}

/// Returns the time from `wall` to `by`, or zero if `by` has passed.
pub(super) fn time_until(wall: Timestamp, by: Timestamp) -> Duration {
    Duration::try_from(by.duration_since(wall)).unwrap_or_default()
}

/// Measured request rates by route.
#[derive(Debug, Default)]
pub(super) struct Rates {
    since: Option<Monotonic>,
    routes: BTreeMap<RouteName, Rate>,
}

#[derive(Debug, Default)]
struct Rate {
    requests_seen: u64,
    per_second: Option<f64>,
}

impl Rates {
    /// Updates the rates from the request counts of `judge`.
    pub(super) fn measure<'a>(
        &mut self,
        now: Monotonic,
        judge: &Judge,
        routes: impl Iterator<Item = &'a RouteName>,
    ) {
        let since = *self.since.get_or_insert(now);
        let period = now.since(since);
        if period < RATE_PERIOD {
            return;
        }
        self.since = Some(now);
        for route in routes {
            let rate = self.routes.entry(route.clone()).or_default();
            let requests_seen = judge.total_requests(route);
            let per_second =
                requests_seen.saturating_sub(rate.requests_seen) as f64 / period.as_secs_f64();
            rate.requests_seen = requests_seen;
            let before = rate.per_second.unwrap_or(per_second);
            rate.per_second = Some(before + RATE_SMOOTHING * (per_second - before));
        }
    }

    /// Returns whether any rate has been measured.
    pub(super) fn is_measured(&self) -> bool {
        self.routes.values().any(|r| r.per_second.is_some())
    }

    /// Returns the requests per second of a route, or `None` before the first measurement.
    pub(super) fn per_second(&self, route: &RouteName) -> Option<f64> {
        self.routes.get(route)?.per_second
    }
}
