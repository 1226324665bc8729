//! Runs one complete move of the simulated pool with a real [`Mover`] and returns its result.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::EndpointName;
use eelgrassramp::FencingToken;
use eelgrassramp::Kind;
use eelgrassramp::Monotonic;
use eelgrassramp::ObjectVersion;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;
use eelgrassramp::TableVersion;
use eelgrassramp::VersionName;
use eelgrassramp::num;
use eelgrassramp::rollout::MoveAction;
use eelgrassramp::rollout::MoveEvent;
use eelgrassramp::rollout::Mover;
use eelgrassramp::rollout::Phase;
use eelgrassramp::rollout::Progress;
use eelgrassramp::tables::Endpoint;
use eelgrassramp::tables::FencingCheck;
use eelgrassramp::tables::Move;
use eelgrassramp::tables::Pool;
use eelgrassramp::tables::PoolKind;
use eelgrassramp::tables::Route;
use eelgrassramp::wire::Brake;
use eelgrassramp::wire::PoolSplit;
use eelgrassramp::wire::Report;
use jiff::Timestamp;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::simulation::Disturbances;
use crate::simulation::Fault;
use crate::simulation::NEW;
use crate::simulation::OLD;
use crate::simulation::POOL;
use crate::simulation::ROUTES;
use crate::simulation::Routed;
use crate::simulation::Simulation;
use crate::threshold::FixedThreshold;

const TICK_MS: u64 = 1_000;
const OBSERVED_AFTER_DEADLINE_MS: u64 = 600_000;
const LEASE_TAKEOVER_MS: u64 = 12_000;
const ENTRIES: usize = 3;
const SPLIT_DELAY_MS: u64 = 300;
const ALLOWED_AFTER_VERDICT_MS: u64 = 2_000;

/// How regressions are detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The sequential tests of [`Mover`].
    Sequential,
    /// A fixed threshold on windows of one minute.
    FixedThreshold,
}

/// Parameters of a simulated move.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub fault: Fault,
    pub disturbances: Disturbances,
    pub policy: Policy,
    pub old: usize,
    pub new: usize,
    /// Maximum time from the start to the deadline, in minutes; the minimum is half of it.
    pub minutes: u64,
}

/// Result of one move.
#[derive(Debug, Clone, Default)]
pub struct MoveResult {
    pub taken_back_ms: Option<u64>,
    pub done_ms: Option<u64>,
    pub by_ms: u64,
    /// Requests affected by the fault.
    pub bad: u64,
    /// Requests of the pool from the start to the deadline.
    pub total: u64,
    /// Dispatches to the new version more than 2 s after the verdict.
    pub dispatched_late: u64,
    pub late_reason: Option<String>,
    pub evidence: Option<String>,
    /// Whether the fault affected any request.
    pub fault_fired: bool,
}

impl MoveResult {
    pub fn is_done_in_time(&self) -> bool {
        self.taken_back_ms.is_none() && self.done_ms.is_some_and(|at| at <= self.by_ms)
    }
}

/// Times at which the brake reaches the entries and sidecars, which then stop new work.
#[derive(Debug)]
struct BrakePropagation {
    verdict_ms: u64,
    entries: [u64; ENTRIES],
    sidecars: Vec<u64>,
}

impl BrakePropagation {
    fn new(verdict_ms: u64, sidecars: usize, rng: &mut StdRng) -> Self {
        let link = |rng: &mut StdRng| {
            let mut delay = 5 + rng.random_range(0..100);
            while rng.random::<f64>() < 0.05 {
                delay += 500;
            }
            delay
        };
        Self {
            verdict_ms,
            // An entry receives it with the next response or report, at least once per second.
            entries: std::array::from_fn(|_| verdict_ms + rng.random_range(0..1_000)),
            sidecars: (0..sidecars).map(|_| verdict_ms + link(rng)).collect(),
        }
    }

    fn stops(&self, at_ms: u64, draw: f64) -> bool {
        let pick = num::length(num::round_to_u64(draw * 1e9));
        at_ms >= self.entries[pick % ENTRIES] || at_ms >= self.sidecars[pick % self.sidecars.len()]
    }
}

struct Store {
    version: ObjectVersion,
    progress: Option<Progress>,
    away: std::ops::Range<u64>,
}

struct Trial {
    world: Simulation,
    mover: Mover,
    rng: StdRng,
    store: Store,
    token: FencingToken,
    start: Timestamp,
    split: Option<(u64, PoolSplit)>,
    propagation: Option<BrakePropagation>,
    fixed_threshold: Option<FixedThreshold>,
    result: MoveResult,
    new_endpoints: usize,
}

/// Runs a move with the given seed.
pub fn run(setup: &Scenario, seed: u64) -> MoveResult {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    let by_ms = rng.random_range(setup.minutes / 2..=setup.minutes) * 60_000;
    let start = Timestamp::UNIX_EPOCH;
    let pool = pool(setup, start + Duration::from_millis(by_ms));
    let mut trial = Trial {
        world: Simulation::new(seed, setup.old, setup.new, setup.fault, setup.disturbances),
        mover: mover(&pool, seed),
        store: Store {
            version: ObjectVersion(0),
            progress: None,
            away: outage(&mut rng, by_ms),
        },
        token: FencingToken(1),
        start,
        split: None,
        propagation: None,
        fixed_threshold: (setup.policy == Policy::FixedThreshold).then(FixedThreshold::default),
        result: MoveResult {
            by_ms,
            ..MoveResult::default()
        },
        new_endpoints: setup.new,
        rng,
    };
    let holder_dies_ms = trial.rng.random_range(0..by_ms) / TICK_MS * TICK_MS;
    trial.deliver(MoveEvent::Lease(Some(FencingToken(1))));
    loop {
        let now = trial.world.now_ms;
        if now == holder_dies_ms {
            trial.replace_holder(&pool, seed);
        }
        trial.step(now + TICK_MS, now < by_ms);
        let is_down = (holder_dies_ms..holder_dies_ms + LEASE_TAKEOVER_MS).contains(&now);
        if !is_down {
            trial.observe();
        }
        if now == holder_dies_ms + LEASE_TAKEOVER_MS {
            let token = trial.token;
            trial.deliver(MoveEvent::Lease(Some(token)));
        }
        if trial.is_over() {
            break;
        }
    }
    trial.finish()
}

impl Trial {
    fn step(&mut self, until_ms: u64, counts: bool) {
        let result = &mut self.result;
        let split = &self.split;
        let propagation = &self.propagation;
        let choose = |at_ms: u64, route: usize, draw: f64| {
            let Some((from_ms, split)) = split else {
                return false;
            };
            let share = f64::from(split.shares[route].to_new_permille) / 1_000.0;
            let is_stopped = propagation.as_ref().is_some_and(|s| s.stops(at_ms, draw));
            at_ms >= *from_ms && draw < share && !is_stopped
        };
        let verdict_ms = propagation.as_ref().map(|s| s.verdict_ms);
        let count = |at_ms: u64, routed: Routed| {
            result.total += u64::from(counts);
            if let Routed::New { is_faulty } = routed {
                result.fault_fired |= is_faulty;
                result.bad += u64::from(is_faulty);
                let is_late = verdict_ms.is_some_and(|v| at_ms > v + ALLOWED_AFTER_VERDICT_MS);
                result.dispatched_late += u64::from(is_late);
            }
        };
        self.world.advance(until_ms, choose, count);
    }

    fn observe(&mut self) {
        let reports = self.world.reports();
        let found = self
            .fixed_threshold
            .as_mut()
            .and_then(|fixed_threshold| fixed_threshold.add(&reports));
        for mut report in reports {
            if self.rng.random::<f64>() < 0.02 {
                continue;
            }
            if self.fixed_threshold.is_some() {
                hide_failures(&mut report);
            }
            self.deliver(MoveEvent::Report(Box::new(report)));
        }
        if let (Some(evidence), None) = (found, &self.propagation) {
            let brake = Brake {
                pool: POOL.into(),
                version: NEW.into(),
                tables: TableVersion(1),
                evidence,
            };
            self.brake(&brake);
            self.deliver(MoveEvent::Brakes(vec![brake]));
        }
        self.deliver(MoveEvent::Tick);
    }

    fn deliver(&mut self, event: MoveEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = Monotonic::from_millis(self.world.now_ms);
            let wall = self.start + Duration::from_millis(self.world.now_ms);
            for action in self.mover.handle(now, wall, event) {
                events.extend(self.execute(action));
            }
        }
    }

    fn execute(&mut self, action: MoveAction) -> Option<MoveEvent> {
        let now = self.world.now_ms;
        let is_unavailable = self.store.away.contains(&now);
        match action {
            MoveAction::ReadProgress if is_unavailable => Some(MoveEvent::ReadFailed),
            MoveAction::ReadProgress => Some(MoveEvent::ProgressRead {
                version: self.store.version,
                progress: self.store.progress.clone(),
            }),
            MoveAction::WriteProgress { .. } if is_unavailable => {
                Some(MoveEvent::WriteFailed(Kind::StoreUnavailable))
            }
            MoveAction::WriteProgress { expected, progress } => {
                Some(self.write(expected, *progress))
            }
            MoveAction::Split(split) => {
                self.split = Some((now + SPLIT_DELAY_MS, split));
                None
            }
            MoveAction::Brake(brake) => {
                self.brake(&brake);
                None
            }
            MoveAction::Order { endpoint, .. } => {
                panic!("unexpected order: endpoint {endpoint} already serves its version")
            }
        }
    }

    fn write(&mut self, expected: ObjectVersion, progress: Progress) -> MoveEvent {
        if expected != self.store.version {
            return MoveEvent::WriteFailed(Kind::Conflict);
        }
        if progress.phase == Phase::Done {
            self.result.done_ms.get_or_insert(self.world.now_ms);
        }
        self.store.version = self.store.version.next();
        self.store.progress = Some(progress);
        if self.rng.random::<f64>() < 0.05 {
            return MoveEvent::WriteFailed(Kind::WriteUnsettled);
        }
        MoveEvent::Written(self.store.version)
    }

    fn brake(&mut self, brake: &Brake) {
        if self.propagation.is_none() {
            let now = self.world.now_ms;
            self.propagation = Some(BrakePropagation::new(
                now,
                self.new_endpoints,
                &mut self.rng,
            ));
            self.result.taken_back_ms = Some(now);
            self.result.evidence = Some(brake.evidence.clone());
        }
    }

    /// Replaces the crashed holder by a new one without state, which gets the lease later.
    fn replace_holder(&mut self, pool: &Arc<Pool>, seed: u64) {
        self.token = self.token.next();
        self.mover = mover(pool, seed + 1);
    }

    fn is_over(&self) -> bool {
        let now = self.world.now_ms;
        let taken_back = self.result.taken_back_ms;
        now >= self.result.by_ms + OBSERVED_AFTER_DEADLINE_MS
            || taken_back.is_some_and(|at| now >= at + 10_000)
    }

    fn finish(mut self) -> MoveResult {
        // Number of requests expected until the deadline if the run had not ended early.
        let rate: f64 = ROUTES.iter().map(|r| r.per_second).sum();
        let whole = rate * self.result.by_ms as f64 / 1_000.0;
        self.result.total = self.result.total.max(num::round_to_u64(whole));
        if let Some(progress) = &self.store.progress {
            self.result.late_reason.clone_from(&progress.late);
        }
        self.result
    }
}

fn outage(rng: &mut StdRng, by_ms: u64) -> std::ops::Range<u64> {
    let start = rng.random_range(0..by_ms);
    start..start + rng.random_range(0..120_000)
}

fn hide_failures(report: &mut Report) {
    for outcomes in &mut report.outcomes {
        outcomes.ok += outcomes.failed + outcomes.duplicated;
        outcomes.failed = 0;
        outcomes.duplicated = 0;
        outcomes.log_slowness_sum = 0.0;
        outcomes.log_slowness_square_sum = 0.0;
    }
}

pub fn mover(pool: &Arc<Pool>, seed: u64) -> Mover {
    Mover::new(
        TableVersion(1),
        Arc::clone(pool),
        routes(),
        Duration::from_secs(10),
        StdRng::seed_from_u64(seed),
    )
}

pub fn routes() -> Vec<Arc<Route>> {
    let route = |r: &crate::simulation::SimRoute| Route {
        name: RouteName::from(r.name),
        path: Arc::from(format!("/{}", r.name)),
        model: None,
        tier: r.tier,
        pool: PoolName::from(POOL),
        non_idempotent: false,
        timeout: Duration::from_secs(30),
        max_body_bytes: 1_024,
    };
    ROUTES.iter().map(|r| Arc::new(route(r))).collect()
}

pub fn pool(setup: &Scenario, by: Timestamp) -> Arc<Pool> {
    let endpoint = |i: usize| Endpoint {
        name: EndpointName::new(format!("e{i}")),
        sidecar: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_100)),
        domain: "a".into(),
        hardware: "gen3".into(),
        version: VersionName::from(if i >= setup.old { NEW } else { OLD }),
        leaving: false,
    };
    let endpoints = (0..setup.old + setup.new).map(|i| {
        let endpoint = endpoint(i);
        (endpoint.name.clone(), Arc::new(endpoint))
    });
    Arc::new(Pool {
        name: PoolName::from(POOL),
        kind: PoolKind::Model,
        version: OLD.into(),
        r#move: Some(Move {
            to: NEW.into(),
            by,
            not_before: None,
        }),
        fencing: FencingCheck::Engine,
        weights: BTreeMap::new(),
        endpoints: endpoints.collect(),
        former: Vec::new(),
    })
}
