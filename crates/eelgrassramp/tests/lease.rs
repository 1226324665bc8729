//! The lease core under pauses, drifting clocks and a store that fails in every way.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassramp::EntryName;
use eelgrassramp::FencingToken;
use eelgrassramp::Incarnation;
use eelgrassramp::Monotonic;
use eelgrassramp::ObjectVersion;
use eelgrassramp::lease::Lease;
use eelgrassramp::lease::LeaseAction;
use eelgrassramp::lease::LeaseEvent;
use eelgrassramp::lease::LeaseObject;
use eelgrassramp::lease::LeaseTimings;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const STEP_MS: u64 = 50;

/// The lease object with its history, so that stale replies can be given.
#[derive(Debug, Default)]
struct Store {
    history: Vec<LeaseObject>,
    outage: bool,
}

impl Store {
    fn version(&self) -> ObjectVersion {
        ObjectVersion(u64::try_from(self.history.len()).expect("few writes"))
    }

    fn read(&self, back: usize) -> LeaseEvent {
        let length = self.history.len().saturating_sub(back);
        LeaseEvent::Read {
            version: ObjectVersion(u64::try_from(length).expect("few writes")),
            value: self.history[..length].last().cloned(),
        }
    }

    fn write(&mut self, expected: ObjectVersion, value: LeaseObject) -> LeaseEvent {
        if expected != self.version() {
            return LeaseEvent::WriteConflict;
        }
        self.history.push(value);
        LeaseEvent::Written {
            version: self.version(),
        }
    }
}

/// One entry with a clock of its own that drifts, and pauses.
#[derive(Debug)]
struct Process {
    lease: Lease,
    rate: f64,
    paused_until: u64,
    pending: Vec<(u64, LeaseEvent)>,
}

impl Process {
    fn new(number: u64, rate: f64) -> Self {
        let entry = EntryName::from(format!("entry-{number}").as_str());
        Self {
            lease: Lease::new(Incarnation(number), entry, LeaseTimings::default()),
            rate,
            paused_until: 0,
            pending: Vec::new(),
        }
    }

    fn clock(&self, now_ms: u64) -> Monotonic {
        Monotonic::ZERO + Duration::from_millis(now_ms).mul_f64(self.rate)
    }

    fn token(&self, now_ms: u64) -> Option<FencingToken> {
        self.lease.token(self.clock(now_ms))
    }
}

#[derive(Debug)]
struct World {
    rng: StdRng,
    now_ms: u64,
    faulty: bool,
    store: Store,
    late_writes: Vec<(u64, ObjectVersion, LeaseObject)>,
    processes: Vec<Process>,
    owners: BTreeMap<FencingToken, usize>,
    fired: BTreeMap<&'static str, u32>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let processes = (1..=3)
            .map(|number| Process::new(number, rng.random_range(0.9..1.1)))
            .collect();
        Self {
            rng,
            now_ms: 0,
            faulty: true,
            store: Store::default(),
            late_writes: Vec::new(),
            processes,
            owners: BTreeMap::new(),
            fired: BTreeMap::new(),
        }
    }

    fn chance(&mut self, fault: &'static str, probability: f64) -> bool {
        let fires = self.faulty && self.rng.random_bool(probability);
        if fires {
            *self.fired.entry(fault).or_default() += 1;
        }
        fires
    }

    fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.now_ms += STEP_MS;
            self.change_outage();
            self.land_late_writes();
            for i in 0..self.processes.len() {
                self.step(i);
            }
            self.check_tokens();
        }
    }

    fn change_outage(&mut self) {
        if !self.faulty {
            self.store.outage = false;
        } else if self.store.outage {
            self.store.outage = !self.rng.random_bool(0.005);
        } else {
            self.store.outage = self.chance("outage", 0.0005);
        }
    }

    fn land_late_writes(&mut self) {
        let now = self.now_ms;
        let due: Vec<_> = self.late_writes.extract_if(.., |w| w.0 <= now).collect();
        for (_, expected, value) in due {
            let _outcome = self.store.write(expected, value);
        }
    }

    fn step(&mut self, i: usize) {
        if self.processes[i].paused_until > self.now_ms {
            return;
        }
        if self.chance("pause", 0.002) {
            self.processes[i].paused_until = self.now_ms + self.rng.random_range(100..30_000);
            return;
        }
        let now = self.now_ms;
        let mut events: Vec<_> = self.processes[i]
            .pending
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, event)| event)
            .collect();
        events.push(LeaseEvent::Tick);
        for event in events {
            let clock = self.processes[i].clock(now);
            if let Some(action) = self.processes[i].lease.handle(clock, event) {
                self.perform(i, action);
            }
        }
    }

    fn perform(&mut self, i: usize, action: LeaseAction) {
        let event = match action {
            _ if self.store.outage => failure_of(&action),
            LeaseAction::Read if self.chance("stale read", 0.05) => self.store.read(1),
            LeaseAction::Read => self.store.read(0),
            LeaseAction::Write { expected, value } => self.write(expected, value),
        };
        let delay = if self.chance("slow reply", 0.05) {
            self.rng.random_range(100..8_000)
        } else {
            self.rng.random_range(1..20)
        };
        self.processes[i].pending.push((self.now_ms + delay, event));
    }

    fn write(&mut self, expected: ObjectVersion, value: LeaseObject) -> LeaseEvent {
        if self.chance("late write", 0.05) {
            let at = self.now_ms + self.rng.random_range(100..20_000);
            self.late_writes.push((at, expected, value));
            return LeaseEvent::WriteUnsettled;
        }
        let outcome = self.store.write(expected, value);
        if self.chance("lost reply", 0.1) {
            return LeaseEvent::WriteUnsettled;
        }
        outcome
    }

    /// At most one process may act at any time, and no token ever has two owners.
    fn check_tokens(&mut self) {
        let holders: Vec<_> = (0..self.processes.len())
            .filter_map(|i| Some((self.processes[i].token(self.now_ms)?, i)))
            .collect();
        assert!(
            holders.len() <= 1,
            "at {} ms two hold the lease: {holders:?}",
            self.now_ms
        );
        for (fence, i) in holders {
            let owner = *self.owners.entry(fence).or_insert(i);
            assert_eq!(owner, i, "token {fence} has two owners");
            let (highest, _) = self.owners.last_key_value().expect("just inserted");
            assert_eq!(*highest, fence, "token {fence} is used after {highest}");
        }
    }

    fn holder(&self) -> Option<usize> {
        (0..self.processes.len()).find(|i| self.processes[*i].token(self.now_ms).is_some())
    }
}

fn failure_of(action: &LeaseAction) -> LeaseEvent {
    match action {
        LeaseAction::Read => LeaseEvent::ReadFailed,
        LeaseAction::Write { .. } => LeaseEvent::WriteFailed,
    }
}

#[googletest::test]
fn at_most_one_process_acts_under_all_faults() {
    let mut fired = BTreeMap::new();
    let mut take_overs = 0;

    for seed in 0..60 {
        let mut world = World::new(seed);
        world.run(20_000);
        take_overs += world.owners.len();
        for (fault, count) in world.fired {
            *fired.entry(fault).or_insert(0) += count;
        }
    }

    let faults = [
        "outage",
        "pause",
        "stale read",
        "slow reply",
        "late write",
        "lost reply",
    ];
    for fault in faults {
        expect_that!(
            fired.get(fault),
            some(gt(&100)),
            "{fault} must really happen"
        );
    }
    expect_that!(take_overs, gt(1_000));
}

#[googletest::test]
fn someone_holds_the_lease_soon_after_the_faults_end() {
    for seed in 100..160 {
        let mut world = World::new(seed);
        world.run(2_000);
        world.faulty = false;
        for process in &mut world.processes {
            process.paused_until = 0;
        }

        world.run(30_000 / STEP_MS);

        expect_that!(world.holder(), some(anything()), "seed {seed}");
    }
}

#[googletest::test]
fn dead_holder_is_replaced_within_the_stated_time() {
    let mut worst_ms = 0;
    for seed in 200..260 {
        let mut world = World::new(seed);
        world.faulty = false;
        world.run(400 + seed % 40);
        let holder = world
            .holder()
            .expect("a healthy store gives the lease to someone");

        let died_ms = world.now_ms;
        world.processes[holder].paused_until = u64::MAX;
        while world.holder().is_none_or(|h| h == holder) {
            world.run(1);
        }

        worst_ms = worst_ms.max(world.now_ms - died_ms);
    }

    println!("take-over after the death of the holder: at most {worst_ms} ms");
    expect_that!(worst_ms, le(13_500));
}

#[googletest::test]
fn released_lease_is_taken_without_waiting_for_its_end() {
    let mut world = World::new(1);
    world.faulty = false;
    world.run(400);
    let holder = world
        .holder()
        .expect("a healthy store gives the lease to someone");

    world.processes[holder].lease.release();
    world.run(2_500 / STEP_MS);

    expect_that!(world.holder(), some(not(eq(holder))));
}

#[googletest::test]
fn token_known_to_a_sidecar_is_exceeded() {
    let mut world = World::new(2);
    world.faulty = false;
    world.run(400);
    let holder = world
        .holder()
        .expect("a healthy store gives the lease to someone");
    let clock = world.processes[holder].clock(world.now_ms);

    let lease = &mut world.processes[holder].lease;
    lease.observe_fence(clock, FencingToken(40));
    let at_once = lease.token(clock);
    world.run(20);

    expect_that!(at_once, none());
    expect_that!(
        world.processes[holder].token(world.now_ms),
        some(eq(FencingToken(41)))
    );
}
