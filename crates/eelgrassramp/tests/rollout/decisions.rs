//! Single decisions of the core: leases, lost replies, dates, loads, and no way back up.

use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::FencingToken;
use eelgrassramp::Kind;
use eelgrassramp::Monotonic;
use eelgrassramp::ObjectVersion;
use eelgrassramp::TableVersion;
use eelgrassramp::rollout::MoveAction;
use eelgrassramp::rollout::MoveEvent;
use eelgrassramp::rollout::Mover;
use eelgrassramp::rollout::Phase;
use eelgrassramp::rollout::Progress;
use eelgrassramp::rollout::Status;
use eelgrassramp::tables::Move;
use eelgrassramp::tables::Pool;
use eelgrassramp::wire::Brake;
use eelgrassramp::wire::EngineAction;
use eelgrassramp::wire::Report;
use googletest::prelude::*;
use jiff::Timestamp;

use crate::setup;
use crate::simulation::Disturbances;
use crate::simulation::Fault;
use crate::simulation::NEW;
use crate::simulation::OLD;
use crate::simulation::POOL;
use crate::simulation::Simulation;
use crate::trial::Policy;
use crate::trial::mover;
use crate::trial::pool;
use crate::trial::routes;

const FENCE: FencingToken = FencingToken(4);
const HOURS: u64 = 3_600;

/// A core with the means to feed it, and the object that it keeps its progress in.
struct Bench {
    mover: Mover,
    world: Simulation,
    version: ObjectVersion,
    stored: Option<Progress>,
    tables: TableVersion,
}

impl Bench {
    fn new(by_s: u64) -> Self {
        let by = Timestamp::UNIX_EPOCH + Duration::from_secs(by_s);
        let pool = pool(
            &setup(Fault::None, Disturbances::default(), Policy::Sequential),
            by,
        );
        Self {
            mover: mover(&pool, 1),
            world: Simulation::new(1, 10, 10, Fault::None, Disturbances::default()),
            version: ObjectVersion(0),
            stored: None,
            tables: TableVersion(1),
        }
    }

    fn handle(&mut self, event: MoveEvent) -> Vec<MoveAction> {
        let now = Monotonic::from_millis(self.world.now_ms);
        let wall = Timestamp::UNIX_EPOCH + now.as_duration();
        self.mover.handle(now, wall, event)
    }

    /// Tells the event and answers the calls to the store; returns all other actions.
    fn settle(&mut self, event: MoveEvent) -> Vec<MoveAction> {
        let mut rest = Vec::new();
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.handle(event) {
                match action {
                    MoveAction::ReadProgress => events.push(MoveEvent::ProgressRead {
                        version: self.version,
                        progress: self.stored.clone(),
                    }),
                    MoveAction::WriteProgress { progress, .. } => {
                        self.version = self.version.next();
                        self.stored = Some(*progress);
                        events.push(MoveEvent::Written(self.version));
                    }
                    other => rest.push(other),
                }
            }
        }
        rest
    }

    fn run(&mut self, seconds: u64) -> Vec<MoveAction> {
        let mut actions = Vec::new();
        for _ in 0..seconds {
            let until = self.world.now_ms + 1_000;
            self.world.advance(until, |_, _, _| false, |_, _| {});
            for report in self.world.reports() {
                actions.extend(self.settle(MoveEvent::Report(Box::new(report))));
            }
            actions.extend(self.settle(MoveEvent::Tick));
        }
        actions
    }

    fn phase(&self) -> Option<Phase> {
        self.stored.as_ref().map(|p| p.phase)
    }

    fn pool_with(&mut self, change: impl FnOnce(&mut Pool)) -> MoveEvent {
        let by = Timestamp::UNIX_EPOCH + Duration::from_secs(3 * HOURS);
        let setup = setup(Fault::None, Disturbances::default(), Policy::Sequential);
        let mut pool = Pool::clone(&pool(&setup, by));
        change(&mut pool);
        self.tables = self.tables.next();
        MoveEvent::Tables {
            version: self.tables,
            pool: Arc::new(pool),
            routes: routes(),
        }
    }
}

fn brake(tables: u64) -> Brake {
    Brake {
        pool: POOL.into(),
        version: NEW.into(),
        tables: TableVersion(tables),
        evidence: "seen by another process".to_owned(),
    }
}

fn ramping(by_s: u64) -> Bench {
    let mut bench = Bench::new(by_s);
    bench.settle(MoveEvent::Lease(Some(FENCE)));
    bench.run(20);
    assert_eq!(bench.phase(), Some(Phase::Ramping));
    bench
}

fn shares(actions: &[MoveAction]) -> Vec<u16> {
    let mut splits = actions.iter().filter_map(|a| match a {
        MoveAction::Split(split) => Some(split),
        _ => None,
    });
    let last = splits.next_back().map(|s| s.shares.iter());
    last.into_iter()
        .flatten()
        .map(|s| s.to_new_permille)
        .collect()
}

#[gtest]
fn the_least_urgent_route_begins_and_the_others_wait_for_its_verdict() {
    let mut bench = Bench::new(HOURS);
    bench.settle(MoveEvent::Lease(Some(FENCE)));

    let actions = bench.run(60);

    expect_that!(
        shares(&actions),
        elements_are![ge(&1), eq(&0), eq(&0), eq(&0)]
    );
}

#[gtest]
fn without_the_lease_nothing_goes_forward() {
    let mut bench = Bench::new(HOURS);

    let actions = bench.run(30);

    expect_that!(actions, is_empty());
    expect_that!(bench.stored, none());
}

#[gtest]
fn a_brake_seen_elsewhere_takes_the_move_back_for_good() {
    let mut bench = ramping(HOURS);

    let actions = bench.settle(MoveEvent::Brakes(vec![brake(1)]));

    expect_that!(bench.phase(), some(eq(Phase::TakenBack)));
    expect_that!(shares(&actions), each(eq(&0)));
    let stored = bench.stored.clone();
    let mut next = Bench::new(HOURS);
    next.stored = stored;
    next.version = bench.version;
    next.settle(MoveEvent::Lease(Some(FENCE.next())));
    let actions = next.run(120);
    expect_that!(next.phase(), some(eq(Phase::TakenBack)));
    expect_that!(shares(&actions), each(eq(&0)));
    let reason = next.stored.as_ref().and_then(Progress::reason);
    expect_that!(reason, some(eq("seen by another process")));
}

#[gtest]
fn a_later_move_to_the_same_version_starts_afresh() {
    let mut bench = ramping(HOURS);
    bench.settle(MoveEvent::Brakes(vec![brake(1)]));
    let unrelated = bench.pool_with(|pool| {
        pool.r#move = Some(Move {
            to: NEW.into(),
            by: Timestamp::UNIX_EPOCH + Duration::from_secs(HOURS),
            not_before: None,
        });
    });
    bench.settle(unrelated);
    expect_that!(bench.phase(), some(eq(Phase::TakenBack)));

    let later = bench.pool_with(|_| {});
    bench.settle(later);
    bench.run(20);

    expect_that!(bench.phase(), some(eq(Phase::Ramping)));
    let tables = bench.stored.as_ref().map(|p| p.tables);
    expect_that!(tables, some(gt(TableVersion(1))));
}

#[gtest]
fn a_holder_that_a_later_one_has_replaced_does_nothing() {
    let mut bench = ramping(HOURS);
    bench.settle(MoveEvent::Lease(None));
    if let Some(stored) = &mut bench.stored {
        stored.fence = FENCE.next();
    }

    bench.settle(MoveEvent::Lease(Some(FENCE)));
    let actions = bench.run(60);

    expect_that!(actions, is_empty());
}

#[gtest]
fn a_lost_reply_is_settled_by_reading_the_object() {
    let mut bench = Bench::new(HOURS);
    bench.handle(MoveEvent::Lease(Some(FENCE)));
    let read = MoveEvent::ProgressRead {
        version: ObjectVersion(0),
        progress: None,
    };
    let actions = bench.handle(read);
    let Some(MoveAction::WriteProgress { progress, .. }) = actions.into_iter().next() else {
        panic!("nothing was written");
    };

    let failed = bench.handle(MoveEvent::WriteFailed(Kind::WriteUnsettled));
    bench.world.now_ms += 2_000;
    let reread = bench.handle(MoveEvent::Tick);

    expect_that!(failed, is_empty());
    expect_that!(reread, elements_are![eq(&MoveAction::ReadProgress)]);
    bench.version = ObjectVersion(1);
    bench.stored = Some(*progress.clone());
    bench.settle(MoveEvent::ProgressRead {
        version: bench.version,
        progress: bench.stored.clone(),
    });
    let began = bench.mover.progress().map(|p| p.began);
    expect_that!(began, some(eq(progress.began)));
}

#[gtest]
fn a_move_that_cannot_make_its_date_is_told_late_early_and_keeps_its_verdict() {
    let mut bench = ramping(400);

    bench.run(30);

    let stored = bench.stored.as_ref();
    expect_that!(stored.map(Progress::status), some(eq(Status::Late)));
    let reason = stored.and_then(Progress::reason);
    expect_that!(reason, some(contains_substring("requests a second")));
    let highest = stored.and_then(|p| p.routes.iter().map(|r| r.step).max());
    expect_that!(highest, some(lt(eelgrassramp::rollout::Step::HOLDBACK)));
}

#[gtest]
fn a_move_does_not_begin_before_its_time() {
    let mut bench = Bench::new(3 * HOURS);
    let event = bench.pool_with(|pool| {
        if let Some(wanted) = &mut pool.r#move {
            wanted.not_before = Some(Timestamp::UNIX_EPOCH + Duration::from_mins(5));
        }
    });
    bench.settle(event);
    bench.settle(MoveEvent::Lease(Some(FENCE)));

    bench.run(290);
    let before = bench.phase();
    bench.run(30);

    expect_that!(before, some(eq(Phase::Waiting)));
    expect_that!(bench.phase(), some(eq(Phase::Ramping)));
}

#[gtest]
fn endpoints_load_one_after_another_under_the_token_of_the_lease() {
    let mut bench = Bench::new(HOURS);
    bench.settle(MoveEvent::Lease(Some(FENCE)));
    let unloaded = |mut report: Report| {
        report.version = OLD.into();
        report
    };

    let mut orders = Vec::new();
    for _ in 0..30 {
        bench.world.now_ms += 1_000;
        for report in bench.world.reports().into_iter().map(unloaded) {
            orders.extend(bench.settle(MoveEvent::Report(Box::new(report))));
        }
        orders.extend(bench.settle(MoveEvent::Tick));
    }

    expect_that!(bench.phase(), some(eq(Phase::Loading)));
    let fences_and_actions: Vec<_> = orders
        .iter()
        .filter_map(|a| match a {
            MoveAction::Order { order, .. } => Some((order.fence, order.action.clone())),
            _ => None,
        })
        .collect();
    let load = EngineAction::Load(NEW.into());
    expect_that!(fences_and_actions, elements_are![(eq(&FENCE), eq(&load))]);
}

#[gtest]
fn a_write_that_the_store_refuses_is_not_repeated_at_once() {
    let mut bench = Bench::new(HOURS);
    bench.handle(MoveEvent::Lease(Some(FENCE)));
    bench.handle(MoveEvent::ProgressRead {
        version: ObjectVersion(0),
        progress: None,
    });

    let refused = bench.handle(MoveEvent::WriteFailed(Kind::StoreUnavailable));
    bench.world.now_ms += 2_000;
    let later = bench.handle(MoveEvent::Tick);

    expect_that!(refused, is_empty());
    expect_that!(
        later,
        elements_are![matches_pattern!(MoveAction::WriteProgress { .. })]
    );
}
