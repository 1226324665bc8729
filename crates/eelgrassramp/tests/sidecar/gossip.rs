//! Tables, brakes, splits and leave signals.

use bytes::Bytes;
use eelgrassramp::FencingToken;
use eelgrassramp::Kind;
use eelgrassramp::Ran;
use eelgrassramp::TableVersion;
use eelgrassramp::Tier;
use eelgrassramp::wire::Brake;
use eelgrassramp::wire::PoolSplit;
use eelgrassramp::wire::ReportRequest;
use eelgrassramp::wire::SplitSeq;
use eelgrassramp::wire::TablesSnapshot;
use googletest::prelude::*;

use super::fixture::BODY;
use super::fixture::Fixture;
use super::fixture::Received;
use super::fixture::Script;
use super::fixture::read;
use super::fixture::request;
use super::fixture::sidecar;

fn tables(version: u64, leaving: bool) -> TablesSnapshot {
    let document = format!(
        r#"{{ "routes": [], "pools": [ {{ "name": "greeting", "kind": "model", "version": "v1",
            "fencing": "engine", "endpoints": [ {{ "name": "greeting-1",
            "sidecar": "127.0.0.1:7101", "domain": "a", "hardware": "gen3", "version": "v1",
            "leaving": {leaving} }} ] }} ] }}"#
    );
    TablesSnapshot {
        version: TableVersion(version),
        document: Bytes::from(document),
    }
}

fn brake(tables: u64) -> Brake {
    Brake {
        pool: "greeting".into(),
        version: "v1".into(),
        tables: TableVersion(tables),
        evidence: "3 of 4 failed".into(),
    }
}

fn split(tables: u64, step: u32) -> PoolSplit {
    PoolSplit {
        pool: "greeting".into(),
        seq: SplitSeq {
            tables: TableVersion(tables),
            fence: FencingToken(1),
            step,
        },
        old: "v1".into(),
        new: "v2".into(),
        shares: Vec::new(),
    }
}

async fn dispatch_and_read(fx: &Fixture, id: u128, tables: u64) -> Received {
    let mut msg = fx.dispatch(id, Tier::Interactive).await;
    msg.tables = TableVersion(tables);
    read(fx.service.dispatch(msg).await).await
}

async fn send_report(fx: &Fixture, change: impl FnOnce(&mut ReportRequest)) {
    let mut msg = ReportRequest::default();
    change(&mut msg);
    fx.service.report(msg).await;
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn older_tables_are_ignored_and_older_dispatches_are_refused() {
    let fx = sidecar(Script::Completes);

    let newer = fx.service.push_tables(tables(7, false)).await;
    let older = fx.service.push_tables(tables(6, true)).await;
    let stale = dispatch_and_read(&fx, 1, 6).await;
    let current = dispatch_and_read(&fx, 2, 7).await;
    let ahead = dispatch_and_read(&fx, 3, 8).await;

    expect_that!(newer, ok(anything()));
    expect_that!(older, ok(anything()));
    expect_that!(fx.load().await.tables, eq(TableVersion(7)));
    expect_that!(stale.failure(), some(eq((Kind::StaleTables, Ran::No))));
    expect_that!(current, eq(&Received::Complete(BODY.to_owned())));
    expect_that!(ahead, eq(&Received::Complete(BODY.to_owned())));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_refused_dispatch_never_runs_but_its_next_attempt_may() {
    let fx = sidecar(Script::Completes);
    let pushed = fx.service.push_tables(tables(7, false)).await;
    let mut refused = fx.dispatch(1, Tier::Interactive).await;
    refused.tables = TableVersion(6);
    let mut retried = refused.clone();
    retried.tables = TableVersion(7);
    retried.attempt = refused.attempt.next();
    read(fx.service.dispatch(refused.clone()).await).await;
    refused.tables = TableVersion(7);

    let copy = read(fx.service.dispatch(refused).await).await;
    let runs_before = fx.engine.runs_of(request(1));
    let retry = read(fx.service.dispatch(retried).await).await;

    expect_that!(pushed, ok(anything()));
    expect_that!(copy.failure(), some(eq((Kind::StaleTables, Ran::No))));
    expect_that!(runs_before, eq(0));
    expect_that!(retry, eq(&Received::Complete(BODY.to_owned())));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn every_leave_signal_refuses_new_requests() {
    let by_tables = sidecar(Script::Completes);
    let by_entry = sidecar(Script::Completes);
    let by_stop = sidecar(Script::Completes);

    let pushed = by_tables.service.push_tables(tables(7, true)).await;
    send_report(&by_entry, |msg| msg.leaving.push("greeting-1".into())).await;
    by_stop.cx.stop.cancel();

    expect_that!(pushed, ok(anything()));
    for fx in [by_tables, by_entry, by_stop] {
        let received = dispatch_and_read(&fx, 1, 7).await;
        expect_that!(received.failure(), some(eq((Kind::Draining, Ran::No))));
        expect_that!(fx.load().await.draining, eq(true));
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_brake_refuses_a_version_until_a_later_move() {
    let fx = sidecar(Script::Completes);

    send_report(&fx, |msg| msg.brakes.push(brake(3))).await;
    let braked = dispatch_and_read(&fx, 1, 3).await;
    send_report(&fx, |msg| msg.split = Some(split(4, 1))).await;
    let later = dispatch_and_read(&fx, 2, 4).await;

    expect_that!(braked.failure(), some(eq((Kind::Braked, Ran::No))));
    expect_that!(later, eq(&Received::Complete(BODY.to_owned())));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn brakes_accumulate_and_the_highest_split_is_kept() {
    let fx = sidecar(Script::Completes);

    send_report(&fx, |msg| {
        msg.brakes.push(brake(3));
        msg.split = Some(split(4, 2));
    })
    .await;
    send_report(&fx, |msg| msg.split = Some(split(4, 1))).await;
    let report = fx.service.report(ReportRequest::default()).await;

    expect_that!(report.brakes, elements_are![eq(&brake(3))]);
    expect_that!(report.split, some(eq(&split(4, 2))));
    expect_that!(report.load.brakes, eq(1));
}
