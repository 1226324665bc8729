//! Computes the next progress of a move from the stored progress and the current observations.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jiff::Timestamp;

use super::ObservedMove;
use super::StepStart;
use crate::id::FencingToken;
use crate::id::RequestId;
use crate::id::TableVersion;
use crate::name::RouteName;
use crate::name::VersionName;
use crate::rollout::Phase;
use crate::rollout::Progress;
use crate::rollout::RouteProgress;
use crate::rollout::Step;
use crate::rollout::schedule::Rates;
use crate::rollout::schedule::RouteStep;
use crate::rollout::schedule::Schedule;
use crate::rollout::schedule::time_until;
use crate::rollout::version_loads::VersionLoads;
use crate::tables::Move;
use crate::tables::Pool;
use crate::tables::Route;
use crate::time::Monotonic;

/// The last step that does not require most endpoints to serve the new version.
const LAST_STEP_WITH_FEW_ENDPOINTS: Step = Step::LAST_WITH_FEW_ENDPOINTS;

/// Input of a decision.
#[derive(Debug)]
pub(super) struct DecisionContext<'a> {
    pub(super) now: Monotonic,
    pub(super) wall: Timestamp,
    pub(super) tables: TableVersion,
    pub(super) pool: &'a Pool,
    pub(super) routes: &'a [Arc<Route>],
    pub(super) observed: Option<&'a ObservedMove>,
    pub(super) brakes: &'a BTreeMap<(VersionName, TableVersion), String>,
    pub(super) loads: &'a VersionLoads,
    pub(super) watch_since: Option<Monotonic>,
}

impl DecisionContext<'_> {
    /// Returns the next progress, or `None` if the tables specify no move.
    pub(super) fn advance(
        &self,
        stored: Option<&Progress>,
        step_starts: &mut BTreeMap<RouteName, StepStart>,
    ) -> Option<Progress> {
        let wanted = self.pool.r#move.as_ref()?;
        let own = stored.filter(|p| p.is_of(&self.pool.version, wanted));
        let mut next = own
            .cloned()
            .unwrap_or_else(|| self.initial_progress(wanted));
        next.updated = self.wall;
        if let Some(evidence) = self.brakes.get(&(next.new.clone(), next.tables)) {
            if next.phase != Phase::TakenBack {
                next.phase = Phase::TakenBack;
                next.evidence = Some(evidence.clone());
            }
            return Some(next);
        }
        match next.phase {
            Phase::Waiting => self.leave_waiting(&mut next),
            Phase::Loading => self.leave_loading(&mut next),
            Phase::Ramping => self.advance_routes(&mut next, step_starts),
            Phase::Watching => self.leave_watching(&mut next),
            Phase::Done | Phase::TakenBack => return Some(next),
        }
        next.late = self.late(&next);
        Some(next)
    }

    fn initial_progress(&self, wanted: &Move) -> Progress {
        Progress {
            pool: self.pool.name.clone(),
            tables: self.tables,
            old: self.pool.version.clone(),
            new: wanted.to.clone(),
            by: wanted.by,
            not_before: wanted.not_before,
            fence: FencingToken::default(),
            edit: RequestId::from_bits(0),
            phase: Phase::Waiting,
            evidence: None,
            late: None,
            routes: Vec::new(),
            began: self.wall,
            updated: self.wall,
        }
    }

    fn leave_waiting(&self, next: &mut Progress) {
        if next.not_before.is_none_or(|at| self.wall >= at) {
            next.phase = Phase::Loading;
        }
    }

    fn leave_loading(&self, next: &mut Progress) {
        let loaded = self.loads.progress(self.now, self.pool, &next.new);
        let is_measured = self.observed.is_some_and(|w| w.rates.is_measured());
        if loaded.serving > 0 && is_measured {
            next.phase = Phase::Ramping;
            next.routes = self
                .route_steps(next)
                .into_iter()
                .map(to_progress)
                .collect();
        }
    }

    fn leave_watching(&self, next: &mut Progress) {
        let route_steps = self.route_steps(next);
        if route_steps.iter().any(|p| p.step < Step::HOLDBACK) {
            // A route was added to the tables during the watch phase.
            next.phase = Phase::Ramping;
            return;
        }
        let since = self.watch_since.unwrap_or(self.now);
        if self.now.since(since) >= self.schedule(next).watch.min(self.max_watch(next)) {
            next.phase = Phase::Done;
            next.routes = route_steps
                .into_iter()
                .map(|p| RouteProgress {
                    route: p.route,
                    step: Step::ALL,
                })
                .collect();
        }
    }

    /// Returns the time from the start of the watch phase to the deadline.
    fn max_watch(&self, next: &Progress) -> Duration {
        let since = self.watch_since.unwrap_or(self.now);
        time_until(self.wall, next.by) + self.now.since(since)
    }

    fn advance_routes(
        &self,
        next: &mut Progress,
        step_starts: &mut BTreeMap<RouteName, StepStart>,
    ) {
        let route_steps = self.route_steps(next);
        let schedule = self.schedule(next);
        let advanced = route_steps.iter().map(|route_step| {
            let may = self.may_advance(route_step, &route_steps, &schedule, next, step_starts);
            let step = if may {
                route_step.step.next()
            } else {
                route_step.step
            };
            self.record_step_start(route_step, step, step_starts);
            RouteProgress {
                route: route_step.route.clone(),
                step,
            }
        });
        next.routes = advanced.collect();
        if next.routes.iter().all(|r| r.step >= Step::HOLDBACK) {
            next.phase = Phase::Watching;
        }
    }

    fn may_advance(
        &self,
        route_step: &RouteStep,
        route_steps: &[RouteStep],
        schedule: &Schedule,
        next: &Progress,
        step_starts: &BTreeMap<RouteName, StepStart>,
    ) -> bool {
        if route_step.step >= Step::HOLDBACK {
            return false;
        }
        let Some(since) = step_starts.get(&route_step.route) else {
            return false;
        };
        let is_first = route_step.step == Step::NONE;
        let lasted = is_first || self.now.since(since.at) >= schedule.step;
        let new_version_requests = self
            .new_version_requests(&route_step.route)
            .saturating_sub(since.new_version_requests);
        lasted
            && new_version_requests >= route_step.step.requests()
            && self.less_urgent_are_ahead(route_step, route_steps)
            && self.has_capacity(route_step.step.next(), next)
    }

    /// Returns whether every less urgent route with traffic has passed the step that `route_step`
    /// is about to reach.
    fn less_urgent_are_ahead(&self, route_step: &RouteStep, route_steps: &[RouteStep]) -> bool {
        let wanted = route_step.step.next();
        route_steps
            .iter()
            .filter(|p| p.tier > route_step.tier && self.total_requests(&p.route) > 0)
            .all(|p| p.step > wanted || p.step >= Step::HOLDBACK)
    }

    fn has_capacity(&self, step: Step, next: &Progress) -> bool {
        let loaded = self.loads.progress(self.now, self.pool, &next.new);
        let needs_most_endpoints = step > LAST_STEP_WITH_FEW_ENDPOINTS;
        loaded.serving > 0 && (!needs_most_endpoints || loaded.is_mostly_loaded())
    }

    fn record_step_start(
        &self,
        route_step: &RouteStep,
        step: Step,
        step_starts: &mut BTreeMap<RouteName, StepStart>,
    ) {
        if step == route_step.step && step_starts.contains_key(&route_step.route) {
            return;
        }
        let since = StepStart {
            at: self.now,
            new_version_requests: self.new_version_requests(&route_step.route),
        };
        step_starts.insert(route_step.route.clone(), since);
    }

    fn late(&self, next: &Progress) -> Option<String> {
        if matches!(next.phase, Phase::Done | Phase::TakenBack) {
            return None;
        }
        let loaded = self.loads.progress(self.now, self.pool, &next.new);
        if loaded.wanted == 0 {
            let (pool, new) = (&next.pool, &next.new);
            return Some(format!(
                "pool \"{pool}\" has no endpoint of version \"{new}\""
            ));
        }
        if next.phase == Phase::Ramping && loaded.serving == 0 {
            return Some(format!("no endpoint serves version \"{}\" now", next.new));
        }
        let schedule = self.schedule(next);
        if schedule.late.is_some() || self.wall < next.by {
            return schedule.late;
        }
        Some(format!("the date {} has passed", next.by))
    }

    fn schedule(&self, next: &Progress) -> Schedule {
        let route_steps = self.route_steps(next);
        let none = Rates::default();
        let rates = self.observed.map_or(&none, |w| &w.rates);
        Schedule::plan(self.wall, next.by, &route_steps, rates)
    }

    fn route_steps(&self, next: &Progress) -> Vec<RouteStep> {
        let route_step = |r: &Arc<Route>| RouteStep {
            route: r.name.clone(),
            tier: r.tier,
            step: next.step_of(&r.name),
        };
        self.routes.iter().map(route_step).collect()
    }

    fn new_version_requests(&self, route: &RouteName) -> u64 {
        self.observed
            .map_or(0, |w| w.judge.new_version_requests(route))
    }

    fn total_requests(&self, route: &RouteName) -> u64 {
        self.observed.map_or(0, |w| w.judge.total_requests(route))
    }
}

fn to_progress(route_step: RouteStep) -> RouteProgress {
    RouteProgress {
        route: route_step.route,
        step: route_step.step,
    }
}
