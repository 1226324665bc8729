//! Tests of single decisions of [`Mover`]: leases, lost replies, deadlines, load orders and
//! permanent rollback.

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

/// A mover with simulated inputs and its stored progress.
struct MoverHarness {
    mover: Mover,
    world: Simulation,
    version: ObjectVersion,
    stored: Option<Progress>,
    tables: TableVersion,
}

impl MoverHarness {
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

    /// Handles an event and all resulting store calls; returns the other actions.
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

fn ramping(by_s: u64) -> MoverHarness {
    let mut harness = MoverHarness::new(by_s);
    harness.settle(MoveEvent::Lease(Some(FENCE)));
    harness.run(20);
    assert_eq!(harness.phase(), Some(Phase::Ramping));
    harness
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
fn the_least_urgent_route_advances_first() {
    let mut harness = MoverHarness::new(HOURS);
    harness.settle(MoveEvent::Lease(Some(FENCE)));

    let actions = harness.run(60);

    expect_that!(
        shares(&actions),
        elements_are![ge(&1), eq(&0), eq(&0), eq(&0)]
    );
}

#[gtest]
fn without_the_lease_the_move_does_not_advance() {
    let mut harness = MoverHarness::new(HOURS);

    let actions = harness.run(30);

    expect_that!(actions, is_empty());
    expect_that!(harness.stored, none());
}

#[gtest]
fn a_brake_from_another_process_rolls_the_move_back_permanently() {
    let mut harness = ramping(HOURS);

    let actions = harness.settle(MoveEvent::Brakes(vec![brake(1)]));

    expect_that!(harness.phase(), some(eq(Phase::TakenBack)));
    expect_that!(shares(&actions), each(eq(&0)));
    let stored = harness.stored.clone();
    let mut next = MoverHarness::new(HOURS);
    next.stored = stored;
    next.version = harness.version;
    next.settle(MoveEvent::Lease(Some(FENCE.next())));
    let actions = next.run(120);
    expect_that!(next.phase(), some(eq(Phase::TakenBack)));
    expect_that!(shares(&actions), each(eq(&0)));
    let reason = next.stored.as_ref().and_then(Progress::reason);
    expect_that!(reason, some(eq("seen by another process")));
}

#[gtest]
fn a_later_move_to_the_same_version_is_not_braked() {
    let mut harness = ramping(HOURS);
    harness.settle(MoveEvent::Brakes(vec![brake(1)]));
    let unrelated = harness.pool_with(|pool| {
        pool.r#move = Some(Move {
            to: NEW.into(),
            by: Timestamp::UNIX_EPOCH + Duration::from_secs(HOURS),
            not_before: None,
        });
    });
    harness.settle(unrelated);
    expect_that!(harness.phase(), some(eq(Phase::TakenBack)));

    let later = harness.pool_with(|_| {});
    harness.settle(later);
    harness.run(20);

    expect_that!(harness.phase(), some(eq(Phase::Ramping)));
    let tables = harness.stored.as_ref().map(|p| p.tables);
    expect_that!(tables, some(gt(TableVersion(1))));
}

#[gtest]
fn a_replaced_lease_holder_takes_no_action() {
    let mut harness = ramping(HOURS);
    harness.settle(MoveEvent::Lease(None));
    if let Some(stored) = &mut harness.stored {
        stored.fence = FENCE.next();
    }

    harness.settle(MoveEvent::Lease(Some(FENCE)));
    let actions = harness.run(60);

    expect_that!(actions, is_empty());
}

#[gtest]
fn after_a_lost_write_reply_the_object_is_read_again() {
    let mut harness = MoverHarness::new(HOURS);
    harness.handle(MoveEvent::Lease(Some(FENCE)));
    let read = MoveEvent::ProgressRead {
        version: ObjectVersion(0),
        progress: None,
    };
    let actions = harness.handle(read);
    let Some(MoveAction::WriteProgress { progress, .. }) = actions.into_iter().next() else {
        panic!("expected a write of the progress");
    };

    let failed = harness.handle(MoveEvent::WriteFailed(Kind::WriteUnsettled));
    harness.world.now_ms += 2_000;
    let reread = harness.handle(MoveEvent::Tick);

    expect_that!(failed, is_empty());
    expect_that!(reread, elements_are![eq(&MoveAction::ReadProgress)]);
    harness.version = ObjectVersion(1);
    harness.stored = Some(*progress.clone());
    harness.settle(MoveEvent::ProgressRead {
        version: harness.version,
        progress: harness.stored.clone(),
    });
    let began = harness.mover.progress().map(|p| p.began);
    expect_that!(began, some(eq(progress.began)));
}

#[gtest]
fn a_move_that_cannot_meet_its_deadline_is_reported_late_and_does_not_skip_steps() {
    let mut harness = ramping(400);

    harness.run(30);

    let stored = harness.stored.as_ref();
    expect_that!(stored.map(Progress::status), some(eq(Status::Late)));
    let reason = stored.and_then(Progress::reason);
    expect_that!(reason, some(contains_substring("requests a second")));
    let highest = stored.and_then(|p| p.routes.iter().map(|r| r.step).max());
    expect_that!(highest, some(lt(eelgrassramp::rollout::Step::HOLDBACK)));
}

#[gtest]
fn a_move_does_not_start_before_its_earliest_start_time() {
    let mut harness = MoverHarness::new(3 * HOURS);
    let event = harness.pool_with(|pool| {
        if let Some(wanted) = &mut pool.r#move {
            wanted.not_before = Some(Timestamp::UNIX_EPOCH + Duration::from_mins(5));
        }
    });
    harness.settle(event);
    harness.settle(MoveEvent::Lease(Some(FENCE)));

    harness.run(290);
    let before = harness.phase();
    harness.run(30);

    expect_that!(before, some(eq(Phase::Waiting)));
    expect_that!(harness.phase(), some(eq(Phase::Ramping)));
}

#[gtest]
fn endpoints_load_one_at_a_time_with_the_fencing_token_of_the_lease() {
    let mut harness = MoverHarness::new(HOURS);
    harness.settle(MoveEvent::Lease(Some(FENCE)));
    let unloaded = |mut report: Report| {
        report.version = OLD.into();
        report
    };

    let mut orders = Vec::new();
    for _ in 0..30 {
        harness.world.now_ms += 1_000;
        for report in harness.world.reports().into_iter().map(unloaded) {
            orders.extend(harness.settle(MoveEvent::Report(Box::new(report))));
        }
        orders.extend(harness.settle(MoveEvent::Tick));
    }

    expect_that!(harness.phase(), some(eq(Phase::Loading)));
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
fn a_failed_write_is_retried_after_a_delay() {
    let mut harness = MoverHarness::new(HOURS);
    harness.handle(MoveEvent::Lease(Some(FENCE)));
    harness.handle(MoveEvent::ProgressRead {
        version: ObjectVersion(0),
        progress: None,
    });

    let refused = harness.handle(MoveEvent::WriteFailed(Kind::StoreUnavailable));
    harness.world.now_ms += 2_000;
    let later = harness.handle(MoveEvent::Tick);

    expect_that!(refused, is_empty());
    expect_that!(
        later,
        elements_are![matches_pattern!(MoveAction::WriteProgress { .. })]
    );
}
