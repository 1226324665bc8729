//! Discrete-event simulation of a pool during a move: endpoints, traffic and faults.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use eelgrassramp::ClockMark;
use eelgrassramp::EndpointName;
use eelgrassramp::FencingToken;
use eelgrassramp::Incarnation;
use eelgrassramp::RouteName;
use eelgrassramp::TableVersion;
use eelgrassramp::Tier;
use eelgrassramp::VersionName;
use eelgrassramp::num;
use eelgrassramp::wire::CacheUpdate;
use eelgrassramp::wire::Load;
use eelgrassramp::wire::Outcomes;
use eelgrassramp::wire::Report;
use eelgrassramp::wire::SplitSeq;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub const OLD: &str = "v1";
pub const NEW: &str = "v2";
pub const POOL: &str = "greeting";
const SLOTS: u32 = 10;
const SERVICE_MS: f64 = 2_000.0;
const NOISE: f64 = 0.4;
const ENDPOINT_SPREAD: f64 = 0.08;
const BASE_FAILURES: f64 = 0.003;
const BURST_FAILURES: f64 = 0.05;
const LOG_SHIFT: f64 = 10.0;

/// A route of the simulated pool.
#[derive(Debug, Clone, Copy)]
pub struct SimRoute {
    pub name: &'static str,
    pub tier: Tier,
    pub per_second: f64,
}

pub const ROUTES: [SimRoute; 4] = [
    SimRoute {
        name: "drafts",
        tier: Tier::Draft,
        per_second: 10.0,
    },
    SimRoute {
        name: "checks",
        tier: Tier::Standard,
        per_second: 8.0,
    },
    SimRoute {
        name: "greetings",
        tier: Tier::Interactive,
        per_second: 9.0,
    },
    SimRoute {
        name: "orders",
        tier: Tier::Order,
        per_second: 3.0,
    },
];

/// Fault of the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    Fails(f64),
    Slow(f64),
    FailsAfterSeconds(u64, f64),
    FailsUnderLoad(f64),
    SlowUnderLoad(f64),
    FailsOnRoute(usize, f64),
    Duplicates(f64),
}

/// Disturbances that affect both versions or single endpoints.
#[derive(Debug, Clone, Copy, Default)]
pub struct Disturbances {
    pub bursts: bool,
    pub slow_engines: bool,
    pub crashes: bool,
}

#[derive(Debug)]
struct SimEndpoint {
    name: EndpointName,
    version: VersionName,
    is_new: bool,
    effect: f64,
    slow_until_ms: u64,
    down_until_ms: u64,
    running: u32,
    outcomes: Vec<Outcomes>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Completion {
    at_ms: u64,
    endpoint: usize,
    route: usize,
    outcome: u8,
    log_slowness_micro: u64,
}

const OK: u8 = 0;
const FAILED: u8 = 1;
const DUPLICATED: u8 = 2;

/// Where one request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Routed {
    Old,
    New { is_faulty: bool },
    Shed,
}

#[derive(Debug)]
pub struct Simulation {
    pub now_ms: u64,
    rng: StdRng,
    endpoints: Vec<SimEndpoint>,
    old: usize,
    running: BinaryHeap<Reverse<Completion>>,
    next_ms: [f64; ROUTES.len()],
    fault: Fault,
    disturbances: Disturbances,
    burst_until_ms: u64,
}

impl Simulation {
    pub fn new(
        seed: u64,
        old: usize,
        new: usize,
        fault: Fault,
        disturbances: Disturbances,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let endpoints = (0..old + new).map(|i| {
            let is_new = i >= old;
            SimEndpoint {
                name: EndpointName::new(format!("e{i}")),
                version: VersionName::from(if is_new { NEW } else { OLD }),
                is_new,
                effect: normal(&mut rng) * ENDPOINT_SPREAD,
                slow_until_ms: 0,
                down_until_ms: 0,
                running: 0,
                outcomes: ROUTES.iter().map(|r| no_outcomes(r, is_new)).collect(),
            }
        });
        Self {
            endpoints: endpoints.collect(),
            old,
            rng,
            now_ms: 0,
            running: BinaryHeap::new(),
            next_ms: [0.0; ROUTES.len()],
            fault,
            disturbances,
            burst_until_ms: 0,
        }
    }

    /// Advances to `until_ms`; `choose` decides for each request whether it goes to the new version,
    /// and `count` is called with its destination.
    pub fn advance(
        &mut self,
        until_ms: u64,
        mut choose: impl FnMut(u64, usize, f64) -> bool,
        mut count: impl FnMut(u64, Routed),
    ) {
        self.update_disturbances();
        loop {
            let (route, at) = self.next_arrival();
            let at_ms = num::round_to_u64(at.floor());
            if at_ms >= until_ms {
                break;
            }
            self.finish(at_ms);
            self.now_ms = at_ms;
            let rate = ROUTES[route].per_second * if self.is_burst() { 2.5 } else { 1.0 };
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate * 1_000.0;
            self.next_ms[route] = at + gap;
            let draw = self.rng.random::<f64>();
            let to_new = choose(at_ms, route, draw);
            let routed = self.start(route, to_new);
            count(at_ms, routed);
        }
        self.finish(until_ms);
        self.now_ms = until_ms;
    }

    pub fn reports(&mut self) -> Vec<Report> {
        let mut reports = Vec::new();
        for endpoint in &self.endpoints {
            reports.push(Report {
                endpoint: endpoint.name.clone(),
                pool: POOL.into(),
                version: endpoint.version.clone(),
                fence: FencingToken::default(),
                load: load(endpoint.running),
                brakes: Vec::new(),
                split: None,
                outcomes: endpoint.outcomes.clone(),
                cache: CacheUpdate::default(),
            });
        }
        reports
    }

    fn next_arrival(&self) -> (usize, f64) {
        let mut first = (0, self.next_ms[0]);
        for (i, at) in self.next_ms.iter().enumerate() {
            if *at < first.1 {
                first = (i, *at);
            }
        }
        first
    }

    fn is_burst(&self) -> bool {
        self.now_ms < self.burst_until_ms
    }

    fn is_faulty(&self, route: usize, load: f64) -> bool {
        match self.fault {
            Fault::None => false,
            Fault::Fails(_) | Fault::Slow(_) | Fault::Duplicates(_) => true,
            Fault::FailsAfterSeconds(s, _) => self.now_ms >= s * 1_000,
            Fault::FailsUnderLoad(_) | Fault::SlowUnderLoad(_) => load > 0.4,
            Fault::FailsOnRoute(only, _) => route == only,
        }
    }

    fn start(&mut self, route: usize, to_new: bool) -> Routed {
        let Some(i) = self.pick(to_new) else {
            return Routed::Shed;
        };
        let is_burst = self.is_burst();
        let noise = normal(&mut self.rng) * NOISE;
        let draw = self.rng.random::<f64>();
        let is_long = self.rng.random::<f64>() < 0.01;
        let endpoint = &self.endpoints[i];
        let load = f64::from(endpoint.running) / f64::from(SLOTS);
        let is_faulty = endpoint.is_new && self.is_faulty(route, load);
        let mut log = noise + endpoint.effect + (1.0 + 0.6 * load).ln();
        if self.now_ms < endpoint.slow_until_ms {
            log += 3.0_f64.ln();
        }
        let mut failures = BASE_FAILURES + if is_burst { BURST_FAILURES } else { 0.0 };
        let mut outcome = OK;
        match self.fault {
            Fault::Slow(f) | Fault::SlowUnderLoad(f) if is_faulty => log += f.ln(),
            Fault::Duplicates(p) if is_faulty && draw > 1.0 - p => outcome = DUPLICATED,
            Fault::Fails(p)
            | Fault::FailsAfterSeconds(_, p)
            | Fault::FailsUnderLoad(p)
            | Fault::FailsOnRoute(_, p)
                if is_faulty =>
            {
                failures = failures.max(p);
            }
            _ => {}
        }
        if draw < failures {
            outcome = FAILED;
        }
        let longer = if is_long { 30.0 } else { 1.0 };
        let time_ms = SERVICE_MS * log.exp().min(20.0) * longer * 0.75;
        self.endpoints[i].running += 1;
        self.running.push(Reverse(Completion {
            at_ms: self.now_ms + num::round_to_u64(time_ms),
            endpoint: i,
            route,
            outcome,
            log_slowness_micro: num::round_to_u64((log + LOG_SHIFT) * 1e6),
        }));
        if to_new {
            Routed::New { is_faulty }
        } else {
            Routed::Old
        }
    }

    fn pick(&mut self, to_new: bool) -> Option<usize> {
        let a = self.draw_endpoint(to_new)?;
        let b = self.draw_endpoint(to_new)?;
        let best = if self.endpoints[a].running <= self.endpoints[b].running {
            a
        } else {
            b
        };
        (self.endpoints[best].running < SLOTS).then_some(best)
    }

    fn draw_endpoint(&mut self, to_new: bool) -> Option<usize> {
        let side = if to_new {
            self.old..self.endpoints.len()
        } else {
            0..self.old
        };
        for _ in 0..10 {
            let i = self.rng.random_range(side.clone());
            if self.endpoints[i].down_until_ms <= self.now_ms {
                return Some(i);
            }
        }
        None
    }

    fn finish(&mut self, until_ms: u64) {
        while self
            .running
            .peek()
            .is_some_and(|Reverse(d)| d.at_ms <= until_ms)
        {
            let Some(Reverse(done)) = self.running.pop() else {
                return;
            };
            let endpoint = &mut self.endpoints[done.endpoint];
            endpoint.running -= 1;
            let outcomes = &mut endpoint.outcomes[done.route];
            match done.outcome {
                OK => {
                    let log = done.log_slowness_micro as f64 / 1e6 - LOG_SHIFT;
                    outcomes.ok += 1;
                    outcomes.log_slowness_sum += log;
                    outcomes.log_slowness_square_sum += log * log;
                }
                FAILED => outcomes.failed += 1,
                _ => outcomes.duplicated += 1,
            }
        }
    }

    fn update_disturbances(&mut self) {
        let now = self.now_ms;
        if self.disturbances.bursts && !self.is_burst() && self.rng.random_range(0..1_200) == 0 {
            self.burst_until_ms = now + self.rng.random_range(30_000..180_000);
        }
        let count = self.endpoints.len();
        if self.disturbances.slow_engines && self.rng.random_range(0..900) == 0 {
            let i = self.rng.random_range(0..count);
            self.endpoints[i].slow_until_ms = now + self.rng.random_range(60_000..900_000);
        }
        if self.disturbances.crashes && self.rng.random_range(0..1_800) == 0 {
            let i = self.rng.random_range(0..count);
            self.crash(i);
        }
    }

    /// Fails all running requests of the endpoint and makes it unavailable for 20 s.
    fn crash(&mut self, i: usize) {
        self.endpoints[i].down_until_ms = self.now_ms + 20_000;
        let running = std::mem::take(&mut self.running);
        let now = self.now_ms;
        let fail = |Reverse(mut done): Reverse<Completion>| {
            if done.endpoint == i {
                done.outcome = FAILED;
                done.at_ms = now;
            }
            Reverse(done)
        };
        self.running = running.into_iter().map(fail).collect();
    }
}

fn no_outcomes(route: &SimRoute, is_new: bool) -> Outcomes {
    Outcomes {
        route: RouteName::from(route.name),
        tier: route.tier,
        version: VersionName::from(if is_new { NEW } else { OLD }),
        ok: 0,
        failed: 0,
        duplicated: 0,
        log_slowness_sum: 0.0,
        log_slowness_square_sum: 0.0,
    }
}

pub fn load(running: u32) -> Load {
    Load {
        incarnation: Incarnation(1),
        mark: ClockMark(0),
        tables: TableVersion(1),
        backlog_tokens: 0,
        queued: 0,
        running,
        slots: SLOTS,
        tokens_per_second: 100.0,
        floor: Tier::Batch,
        draining: false,
        brakes: 0,
        split: SplitSeq::default(),
    }
}

fn normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
