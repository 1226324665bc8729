//! How fast a move may go, and whether it will be done by its date.

use std::collections::BTreeMap;
use std::time::Duration;

use jiff::Timestamp;

use super::judge::Judge;
use super::step::Step;
use crate::name::RouteName;
use crate::tier::Tier;
use crate::time::Monotonic;

/// Least time that a step lasts.
const MIN_STEP: Duration = Duration::from_secs(20);

/// Most time that a step lasts, so that a far date does not slow a move down for ever.
const MAX_STEP: Duration = Duration::from_mins(10);

/// Least time for which the last rest stays on the old version.
const MIN_WATCH: Duration = Duration::from_mins(1);

/// Most time for which the last rest stays on the old version.
const MAX_WATCH: Duration = Duration::from_mins(30);

/// Share of the time to the date that is kept for the watch.
const WATCH_SHARE: f64 = 0.25;

/// Share of the time for steps that is planned; the rest is for outages and new holders.
const PLANNED_SHARE: f64 = 0.6;

/// Time before the date at which all has to be done.
const DEADLINE_MARGIN: Duration = Duration::from_secs(30);

/// Weight of a new measurement in the rate of a route's requests.
const RATE_SMOOTHING: f64 = 0.1;

/// Time over which the rate of a route's requests is measured.
const RATE_PERIOD: Duration = Duration::from_secs(5);

/// One route that takes route_step in a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RouteStep {
    pub(super) route: RouteName,
    pub(super) tier: Tier,
    pub(super) step: Step,
}

/// The plan for the rest of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Schedule {
    /// Least length of a step.
    pub(super) step: Duration,
    /// Length of the watch before the rest moves over.
    pub(super) watch: Duration,
    /// Why the move cannot be done by its date.
    pub(super) late: Option<String>,
}

impl Schedule {
    /// Plans the rest of a move whose `route_steps` are at their steps, at the measured `rates`.
    ///
    /// A less urgent tier is one step ahead, so each tier that still waits for others adds one
    /// step.
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

/// Returns the time from `wall` to `by`, or zero when it has passed.
pub(super) fn time_until(wall: Timestamp, by: Timestamp) -> Duration {
    Duration::try_from(by.duration_since(wall)).unwrap_or_default()
}

/// Measured rates of requests by route.
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
    /// Takes in how many requests `judge` has requests_seen by now.
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

    /// Tells whether any rate was measured yet.
    pub(super) fn is_measured(&self) -> bool {
        self.routes.values().any(|r| r.per_second.is_some())
    }

    /// Returns the requests a second of a route; `None` while it is not measured.
    pub(super) fn per_second(&self, route: &RouteName) -> Option<f64> {
        self.routes.get(route)?.per_second
    }
}
