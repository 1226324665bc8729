//! State machine that advances the move of one pool or rolls it back.

mod advance;
mod stored_progress;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jiff::Timestamp;
use rand::rngs::StdRng;

use self::advance::DecisionContext;
use self::stored_progress::StoredProgress;
use super::judge::Judge;
use super::message::MoveAction;
use super::message::MoveEvent;
use super::progress::Phase;
use super::progress::Progress;
use super::schedule::Rates;
use super::version_loads::VersionLoads;
use crate::id::FencingToken;
use crate::id::RequestId;
use crate::id::TableVersion;
use crate::name::PoolName;
use crate::name::RouteName;
use crate::name::VersionName;
use crate::tables::Pool;
use crate::tables::Route;
use crate::time::Monotonic;
use crate::wire::Brake;
use crate::wire::EngineAction;
use crate::wire::EngineOrder;
use crate::wire::PoolSplit;
use crate::wire::Report;
use crate::wire::RouteShare;
use crate::wire::SplitSeq;

/// Identifies a move: a later move to the same version has a higher table version.
#[derive(Debug, Clone, PartialEq, Eq)]
struct MoveId {
    tables: TableVersion,
    old: VersionName,
    new: VersionName,
}

#[derive(Debug)]
struct ObservedMove {
    id: MoveId,
    judge: Judge,
    rates: Rates,
}

/// When a route reached its current step, and its request count on the new version at that time.
#[derive(Debug, Clone, Copy)]
struct StepStart {
    at: Monotonic,
    new_version_requests: u64,
}

/// The move of one pool as seen by one process.
///
/// Only the holder of the pool's lease gets actions that advance the move. A
/// [`MoveAction::Brake`] needs no lease: any process that detects a regression requests it
/// immediately.
#[derive(Debug)]
pub struct Mover {
    pool: Arc<Pool>,
    routes: Vec<Arc<Route>>,
    tables: TableVersion,
    rng: StdRng,
    token: Option<FencingToken>,
    stored_progress: StoredProgress,
    observed: Option<ObservedMove>,
    brakes: BTreeMap<(VersionName, TableVersion), String>,
    step_starts: BTreeMap<RouteName, StepStart>,
    watch_since: Option<Monotonic>,
    loads: VersionLoads,
    split: Option<PoolSplit>,
    split_steps: u32,
}

impl Mover {
    /// Creates the state machine for the pool row `pool` of table version `tables`.
    ///
    /// `load_interval` is the minimum time between two load orders of this process for this
    /// pool, which limits the load on the weight store.
    #[must_use]
    pub const fn new(
        tables: TableVersion,
        pool: Arc<Pool>,
        routes: Vec<Arc<Route>>,
        load_interval: Duration,
        rng: StdRng,
    ) -> Self {
        Self {
            pool,
            routes,
            tables,
            rng,
            token: None,
            stored_progress: StoredProgress::new(),
            observed: None,
            brakes: BTreeMap::new(),
            step_starts: BTreeMap::new(),
            watch_since: None,
            loads: VersionLoads::new(load_interval),
            split: None,
            split_steps: 0,
        }
    }

    /// Returns the progress last read or written by this process.
    #[must_use]
    pub const fn progress(&self) -> Option<&Progress> {
        self.stored_progress.progress()
    }

    /// Returns the name of the pool.
    #[must_use]
    pub fn pool(&self) -> &PoolName {
        &self.pool.name
    }

    /// Handles one event and returns the resulting actions.
    ///
    /// `wall` is the wall-clock time, used only for the dates of the move.
    pub fn handle(&mut self, now: Monotonic, wall: Timestamp, event: MoveEvent) -> Vec<MoveAction> {
        let mut actions = Vec::new();
        match event {
            MoveEvent::Tick => self.tick(now, &mut actions),
            MoveEvent::Tables {
                version,
                pool,
                routes,
            } => self.adopt_tables(version, pool, routes),
            MoveEvent::Lease(token) => self.adopt_token(token),
            MoveEvent::ProgressRead { version, progress } => {
                self.stored_progress.read(version, progress);
                self.adopt_progress(now);
            }
            MoveEvent::ReadFailed => self.stored_progress.read_failed(now),
            MoveEvent::Written(version) => {
                self.stored_progress.written(version);
                self.adopt_progress(now);
            }
            MoveEvent::WriteFailed(kind) => self.stored_progress.write_failed(now, kind),
            MoveEvent::Report(report) => {
                let known = self.brakes.len();
                self.handle_report(now, &report);
                if self.brakes.len() == known {
                    // Counters are evaluated at the next tick, not for each report.
                    return actions;
                }
            }
            MoveEvent::Ordered { endpoint, reply } => {
                self.loads.record_order_end(&endpoint);
                if let Some(reply) = reply.filter(|r| r.done) {
                    self.loads.record_version(now, &endpoint, &reply.version);
                }
            }
            MoveEvent::Brakes(brakes) => self.merge_brakes(brakes),
        }
        self.act_as_lease_holder(now, wall, &mut actions);
        actions
    }

    fn tick(&mut self, now: Monotonic, actions: &mut Vec<MoveAction>) {
        let Some(observed) = &mut self.observed else {
            return;
        };
        let found = observed.judge.close_window();
        let routes = self.routes.iter().map(|r| &r.name);
        observed.rates.measure(now, &observed.judge, routes);
        let key = (observed.id.new.clone(), observed.id.tables);
        let Some(found) = found.filter(|_| !self.brakes.contains_key(&key)) else {
            return;
        };
        self.brakes.insert(key, found.evidence.clone());
        actions.push(MoveAction::Brake(Brake {
            pool: self.pool.name.clone(),
            version: observed.id.new.clone(),
            tables: observed.id.tables,
            evidence: found.evidence,
        }));
    }

    fn adopt_tables(&mut self, version: TableVersion, pool: Arc<Pool>, routes: Vec<Arc<Route>>) {
        if version > self.tables {
            assert!(
                pool.name == self.pool.name,
                "tables row belongs to another pool"
            );
            self.loads.retain(&pool);
            self.tables = version;
            self.pool = pool;
            self.routes = routes;
        }
    }

    fn adopt_token(&mut self, token: Option<FencingToken>) {
        if token == self.token {
            return;
        }
        self.token = token;
        self.split = None;
        self.split_steps = 0;
        self.stored_progress.forget();
        self.step_starts.clear();
    }

    /// Continues from the stored progress, which may have been written by an earlier holder.
    fn adopt_progress(&mut self, now: Monotonic) {
        let Some(progress) = self.stored_progress.progress().cloned() else {
            return;
        };
        if let (Phase::TakenBack, Some(evidence)) = (progress.phase, &progress.evidence) {
            let key = (progress.new.clone(), progress.tables);
            self.brakes.entry(key).or_insert_with(|| evidence.clone());
        }
        self.observe_move(&MoveId {
            tables: progress.tables,
            old: progress.old,
            new: progress.new,
        });
        if progress.phase == Phase::Watching {
            self.watch_since.get_or_insert(now);
        } else {
            self.watch_since = None;
        }
    }

    fn handle_report(&mut self, now: Monotonic, report: &Report) {
        if report.pool != self.pool.name {
            return;
        }
        if let Some(split) = report.split.as_ref().filter(|s| s.pool == report.pool) {
            self.observe_move(&MoveId {
                tables: split.seq.tables,
                old: split.old.clone(),
                new: split.new.clone(),
            });
        }
        self.loads
            .record_version(now, &report.endpoint, &report.version);
        self.merge_brakes(report.brakes.clone());
        if let Some(observed) = &mut self.observed {
            let judge = &mut observed.judge;
            judge.report(&report.endpoint, &report.load, &report.outcomes);
        }
    }

    fn merge_brakes(&mut self, brakes: Vec<Brake>) {
        let own = brakes.into_iter().filter(|b| b.pool == self.pool.name);
        for brake in own {
            let key = (brake.version, brake.tables);
            self.brakes.entry(key).or_insert(brake.evidence);
        }
    }

    /// Starts to observe a move, unless a later one is already observed.
    fn observe_move(&mut self, id: &MoveId) {
        let known = self.observed.as_ref().map(|w| w.id.tables);
        if known.is_some_and(|tables| tables >= id.tables) {
            return;
        }
        self.step_starts.clear();
        self.observed = Some(ObservedMove {
            id: id.clone(),
            judge: Judge::new(id.old.clone(), id.new.clone()),
            rates: Rates::default(),
        });
    }

    /// Advances the move if this process holds the lease.
    fn act_as_lease_holder(
        &mut self,
        now: Monotonic,
        wall: Timestamp,
        actions: &mut Vec<MoveAction>,
    ) {
        let Some(token) = self.token else {
            return;
        };
        if self.stored_progress.start_needed_read(now) {
            actions.push(MoveAction::ReadProgress);
        }
        if !self.stored_progress.is_ready(now) {
            return;
        }
        if self
            .stored_progress
            .progress()
            .is_some_and(|p| p.fence > token)
        {
            // A later holder has written the progress, so this process has lost the lease.
            return;
        }
        if let Some(next) = self.next_progress(now, wall, token) {
            let expected = self.stored_progress.write(next.clone());
            actions.push(MoveAction::WriteProgress {
                expected,
                progress: Box::new(next),
            });
        }
        self.order_load(now, token, actions);
        self.set_split(token, actions);
    }

    fn next_progress(
        &mut self,
        now: Monotonic,
        wall: Timestamp,
        token: FencingToken,
    ) -> Option<Progress> {
        let stored = self.stored_progress.progress().cloned();
        let context = DecisionContext {
            now,
            wall,
            tables: self.tables,
            pool: &self.pool,
            routes: &self.routes,
            observed: self.observed.as_ref(),
            brakes: &self.brakes,
            loads: &self.loads,
            watch_since: self.watch_since,
        };
        let mut next = context.advance(stored.as_ref(), &mut self.step_starts)?;
        if stored
            .as_ref()
            .is_some_and(|s| is_redundant_write(s, &next))
        {
            return None;
        }
        next.fence = token;
        next.edit = RequestId::random(&mut self.rng);
        next.updated = wall;
        let was_taken_back = stored.filter(|s| s.phase == Phase::TakenBack);
        assert!(
            was_taken_back.is_none_or(|s| s.tables < next.tables || next.phase == Phase::TakenBack),
            "a move advanced after it was rolled back"
        );
        Some(next)
    }

    fn order_load(&mut self, now: Monotonic, token: FencingToken, actions: &mut Vec<MoveAction>) {
        let Some(progress) = self.stored_progress.progress() else {
            return;
        };
        let is_over = matches!(progress.phase, Phase::Waiting | Phase::TakenBack);
        let is_wanted = self.pool.r#move.as_ref();
        if is_over || is_wanted.is_none_or(|m| m.to != progress.new) {
            return;
        }
        let Some(endpoint) = self.loads.next(now, &self.pool, &progress.new) else {
            return;
        };
        actions.push(MoveAction::Order {
            endpoint: endpoint.name.clone(),
            sidecar: endpoint.sidecar,
            order: EngineOrder {
                pool: self.pool.name.clone(),
                fence: token,
                action: EngineAction::Load(progress.new.clone()),
            },
        });
    }

    /// Requests the split for the stored progress if it differs from the last one.
    fn set_split(&mut self, token: FencingToken, actions: &mut Vec<MoveAction>) {
        let Some(progress) = self.stored_progress.progress() else {
            return;
        };
        let is_wanted = self
            .pool
            .r#move
            .as_ref()
            .is_some_and(|m| m.to == progress.new);
        if !is_wanted || matches!(progress.phase, Phase::Waiting | Phase::Loading) {
            return;
        }
        let shares = self.shares(progress);
        if self.split.as_ref().is_some_and(|s| s.shares == shares) {
            return;
        }
        self.split_steps += 1;
        let split = PoolSplit {
            pool: self.pool.name.clone(),
            seq: SplitSeq {
                tables: progress.tables,
                fence: token,
                step: self.split_steps,
            },
            old: progress.old.clone(),
            new: progress.new.clone(),
            shares,
        };
        self.split = Some(split.clone());
        actions.push(MoveAction::Split(split));
    }

    fn shares(&self, progress: &Progress) -> Vec<RouteShare> {
        let rates = self.observed.as_ref().map(|w| &w.rates);
        let is_braked = progress.phase == Phase::TakenBack
            || self
                .brakes
                .contains_key(&(progress.new.clone(), progress.tables));
        let share = |route: &RouteName| {
            if is_braked {
                return 0;
            }
            let step = progress.step_of(route);
            let before = self.split.as_ref().and_then(|s| share_of(s, route));
            let per_second = rates.and_then(|r| r.per_second(route)).unwrap_or(0.0);
            // The share is kept until the next step, because the rate varies continuously.
            let share = step.share_permille(per_second);
            before.filter(|b| step.is_share(*b)).unwrap_or(share)
        };
        self.routes
            .iter()
            .map(|r| RouteShare {
                route: r.name.clone(),
                to_new_permille: share(&r.name),
            })
            .collect()
    }
}

fn share_of(split: &PoolSplit, route: &RouteName) -> Option<u16> {
    let found = split.shares.iter().find(|s| s.route == *route);
    found.map(|s| s.to_new_permille)
}

/// Minimum time between two writes that change only the reason for being late.
const REASON_WRITE_INTERVAL: Duration = Duration::from_mins(5);

/// Returns whether `next` contains no change worth writing.
fn is_redundant_write(stored: &Progress, next: &Progress) -> bool {
    let is_same_reason = stored.late.is_some() == next.late.is_some()
        && super::schedule::time_until(stored.updated, next.updated) < REASON_WRITE_INTERVAL;
    stored.tables == next.tables
        && stored.phase == next.phase
        && stored.routes == next.routes
        && stored.evidence == next.evidence
        && (is_same_reason || stored.late == next.late)
}
