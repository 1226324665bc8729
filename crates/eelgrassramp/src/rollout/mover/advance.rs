//! Decides the next progress of a move from the stored one and what is known.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jiff::Timestamp;

use super::Reached;
use super::Watched;
use crate::id::FencingToken;
use crate::id::RequestId;
use crate::id::TableVersion;
use crate::name::RouteName;
use crate::name::VersionName;
use crate::rollout::Phase;
use crate::rollout::Progress;
use crate::rollout::RouteProgress;
use crate::rollout::Step;
use crate::rollout::schedule::Pace;
use crate::rollout::schedule::Part;
use crate::rollout::schedule::Rates;
use crate::rollout::schedule::until;
use crate::rollout::version_loads::Loads;
use crate::tables::Move;
use crate::tables::Pool;
use crate::tables::Route;
use crate::time::Monotonic;

/// The step from which on most endpoints must serve the new version.
const STEP_THAT_NEEDS_MOST: Step = Step::THIRD;

/// What a decision rests on.
#[derive(Debug)]
pub(super) struct Ground<'a> {
    pub(super) now: Monotonic,
    pub(super) wall: Timestamp,
    pub(super) tables: TableVersion,
    pub(super) pool: &'a Pool,
    pub(super) routes: &'a [Arc<Route>],
    pub(super) watched: Option<&'a Watched>,
    pub(super) brakes: &'a BTreeMap<(VersionName, TableVersion), String>,
    pub(super) loads: &'a Loads,
    pub(super) watch_since: Option<Monotonic>,
}

impl Ground<'_> {
    /// Returns what the progress ought to be now; `None` when the tables ask for no move.
    pub(super) fn advance(
        &self,
        stored: Option<&Progress>,
        reached: &mut BTreeMap<RouteName, Reached>,
    ) -> Option<Progress> {
        let wanted = self.pool.r#move.as_ref()?;
        let own = stored.filter(|p| p.is_of(&self.pool.version, wanted));
        let mut next = own.cloned().unwrap_or_else(|| self.begin(wanted));
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
            Phase::Ramping => self.raise(&mut next, reached),
            Phase::Watching => self.leave_watching(&mut next),
            Phase::Done | Phase::TakenBack => return Some(next),
        }
        next.late = self.late(&next);
        Some(next)
    }

    fn begin(&self, wanted: &Move) -> Progress {
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
        let loaded = self.loads.loaded(self.now, self.pool, &next.new);
        let is_measured = self.watched.is_some_and(|w| w.rates.is_measured());
        if loaded.serving > 0 && is_measured {
            next.phase = Phase::Ramping;
            next.routes = self.parts(next).into_iter().map(to_progress).collect();
        }
    }

    fn leave_watching(&self, next: &mut Progress) {
        let parts = self.parts(next);
        if parts.iter().any(|p| p.step < Step::HOLDBACK) {
            // A route was added to the tables meanwhile.
            next.phase = Phase::Ramping;
            return;
        }
        let since = self.watch_since.unwrap_or(self.now);
        if self.now.since(since) >= self.pace(next).watch.min(self.rest(next)) {
            next.phase = Phase::Done;
            next.routes = parts
                .into_iter()
                .map(|p| RouteProgress {
                    route: p.route,
                    step: Step::ALL,
                })
                .collect();
        }
    }

    /// Returns the time for which a watch that began now could last before the date.
    fn rest(&self, next: &Progress) -> Duration {
        let since = self.watch_since.unwrap_or(self.now);
        until(self.wall, next.by) + self.now.since(since)
    }

    fn raise(&self, next: &mut Progress, reached: &mut BTreeMap<RouteName, Reached>) {
        let parts = self.parts(next);
        let pace = self.pace(next);
        let raised = parts.iter().map(|part| {
            let may = self.may_raise(part, &parts, &pace, next, reached);
            let step = if may { part.step.next() } else { part.step };
            self.count_reached(part, step, reached);
            RouteProgress {
                route: part.route.clone(),
                step,
            }
        });
        next.routes = raised.collect();
        if next.routes.iter().all(|r| r.step >= Step::HOLDBACK) {
            next.phase = Phase::Watching;
        }
    }

    fn may_raise(
        &self,
        part: &Part,
        parts: &[Part],
        pace: &Pace,
        next: &Progress,
        reached: &BTreeMap<RouteName, Reached>,
    ) -> bool {
        if part.step >= Step::HOLDBACK {
            return false;
        }
        let Some(since) = reached.get(&part.route) else {
            return false;
        };
        let is_first = part.step == Step::NONE;
        let lasted = is_first || self.now.since(since.at) >= pace.step;
        let judged = self.judged(&part.route).saturating_sub(since.judged);
        lasted
            && judged >= part.step.requests()
            && self.less_urgent_lead(part, parts)
            && self.has_capacity(part.step.next(), next)
    }

    /// Tells whether every less urgent route has its verdict for the step that `part` is to
    /// reach.
    fn less_urgent_lead(&self, part: &Part, parts: &[Part]) -> bool {
        let wanted = part.step.next();
        parts
            .iter()
            .filter(|p| p.tier > part.tier && self.seen(&p.route) > 0)
            .all(|p| p.step > wanted || p.step >= Step::HOLDBACK)
    }

    fn has_capacity(&self, step: Step, next: &Progress) -> bool {
        let loaded = self.loads.loaded(self.now, self.pool, &next.new);
        let needs_most = step > STEP_THAT_NEEDS_MOST;
        loaded.serving > 0 && (!needs_most || loaded.is_most())
    }

    fn count_reached(&self, part: &Part, step: Step, reached: &mut BTreeMap<RouteName, Reached>) {
        if step == part.step && reached.contains_key(&part.route) {
            return;
        }
        let since = Reached {
            at: self.now,
            judged: self.judged(&part.route),
        };
        reached.insert(part.route.clone(), since);
    }

    fn late(&self, next: &Progress) -> Option<String> {
        if matches!(next.phase, Phase::Done | Phase::TakenBack) {
            return None;
        }
        let loaded = self.loads.loaded(self.now, self.pool, &next.new);
        if loaded.wanted == 0 {
            let (pool, new) = (&next.pool, &next.new);
            return Some(format!(
                "pool \"{pool}\" has no endpoint of version \"{new}\""
            ));
        }
        if next.phase == Phase::Ramping && loaded.serving == 0 {
            return Some(format!("no endpoint serves version \"{}\" now", next.new));
        }
        let pace = self.pace(next);
        if pace.late.is_some() || self.wall < next.by {
            return pace.late;
        }
        Some(format!("the date {} has passed", next.by))
    }

    fn pace(&self, next: &Progress) -> Pace {
        let parts = self.parts(next);
        let none = Rates::default();
        let rates = self.watched.map_or(&none, |w| &w.rates);
        Pace::plan(self.wall, next.by, &parts, rates)
    }

    fn parts(&self, next: &Progress) -> Vec<Part> {
        let part = |r: &Arc<Route>| Part {
            route: r.name.clone(),
            tier: r.tier,
            step: next.step_of(&r.name),
        };
        self.routes.iter().map(part).collect()
    }

    fn judged(&self, route: &RouteName) -> u64 {
        self.watched.map_or(0, |w| w.judge.judged(route))
    }

    fn seen(&self, route: &RouteName) -> u64 {
        self.watched.map_or(0, |w| w.judge.seen(route))
    }
}

fn to_progress(part: Part) -> RouteProgress {
    RouteProgress {
        route: part.route,
        step: part.step,
    }
}
