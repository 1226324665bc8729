//! Idempotency keys at their home endpoint.

use std::collections::BTreeMap;
use std::sync::Arc;

use eelgrassramp::Context;
use eelgrassramp::EndpointName;
use eelgrassramp::Kind;
use eelgrassramp::PoolName;
use eelgrassramp::Ran;
use eelgrassramp::RequestId;
use eelgrassramp::TableVersion;
use eelgrassramp::Tier;
use eelgrassramp::key;
use eelgrassramp::tables::Endpoint;
use eelgrassramp::tables::FencingCheck;
use eelgrassramp::tables::FormerMembers;
use eelgrassramp::tables::Pool;
use eelgrassramp::tables::PoolKind;
use eelgrassramp::tables::Tables;
use eelgrassramp::wire::Dispatch;
use eelgrassramp::wire::Frame;
use futures_util::StreamExt;
use googletest::prelude::*;

use super::fixture::BODY;
use super::fixture::Fixture;
use super::fixture::Received;
use super::fixture::Script;
use super::fixture::read;
use super::fixture::request;
use super::fixture::sidecar;

const VERSION: TableVersion = TableVersion(3);
const OTHER_ENDPOINT: &str = "greeting-2";
const OWN_ENDPOINT: &str = "greeting-1";

fn endpoint(name: &str) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        name: name.into(),
        sidecar: "127.0.0.1:7101".parse().expect("address"),
        domain: "a".into(),
        hardware: "gen3".into(),
        version: "v1".into(),
        leaving: false,
    })
}

/// Returns tables with a pool of `members` that had the members `former` until now.
fn tables(members: &[&str], former: &[&str]) -> Tables {
    let by_name = |names: &[&str]| -> BTreeMap<EndpointName, Arc<Endpoint>> {
        let pair = |name: &&str| (EndpointName::from(*name), endpoint(name));
        names.iter().map(pair).collect()
    };
    let former = FormerMembers {
        until: Context::QUIET_START,
        sidecars: by_name(former)
            .into_iter()
            .map(|(name, e)| (name, e.sidecar))
            .collect(),
    };
    let pool = Pool {
        name: "greeting".into(),
        kind: PoolKind::Service,
        version: "v1".into(),
        r#move: None,
        fencing: FencingCheck::Engine,
        weights: BTreeMap::new(),
        endpoints: by_name(members),
        former: vec![former],
    };
    Tables {
        version: VERSION,
        pools: BTreeMap::from([(PoolName::from("greeting"), Arc::new(pool))]),
        ..Tables::default()
    }
}

fn key_of(home: &str) -> RequestId {
    let names = [
        EndpointName::from(OWN_ENDPOINT),
        EndpointName::from(OTHER_ENDPOINT),
    ];
    let has_home =
        |key: &RequestId| key::home_endpoint(*key, &names) == Some(&EndpointName::from(home));
    (0..1_000)
        .map(RequestId::from_bits)
        .find(has_home)
        .expect("some key")
}

async fn dispatch_with_key(fx: &Fixture, id: u128, key: RequestId) -> Dispatch {
    let mut msg = fx.dispatch(id, Tier::Order).await;
    msg.tables = VERSION;
    msg.key = Some(key);
    msg
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_key_runs_only_at_its_home() {
    let fx = sidecar(Script::Completes);
    fx.service
        .current_tables()
        .offer(tables(&[OWN_ENDPOINT, OTHER_ENDPOINT], &[]));

    let foreign = dispatch_with_key(&fx, 1, key_of(OTHER_ENDPOINT)).await;
    let foreign = read(fx.service.dispatch(foreign).await).await;
    let own = dispatch_with_key(&fx, 2, key_of(OWN_ENDPOINT)).await;
    let own = read(fx.service.dispatch(own).await).await;

    expect_that!(foreign.failure(), some(eq((Kind::NotServed, Ran::No))));
    expect_that!(own, eq(&Received::Complete(BODY.to_owned())));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_charge_at_a_new_home_needs_the_former_homes_closed() {
    let fx = sidecar(Script::Completes);
    fx.service
        .current_tables()
        .offer(tables(&[OWN_ENDPOINT], &[OWN_ENDPOINT, OTHER_ENDPOINT]));
    let mut msg = dispatch_with_key(&fx, 1, key_of(OTHER_ENDPOINT)).await;
    msg.non_idempotent = true;
    msg.key_time_ms = Some(after_start_ms());
    let mut closed = msg.clone();
    closed.attempt = msg.attempt.next();
    closed.former_homes_closed = Some(VERSION);

    fx.cx.timers.after(std::time::Duration::from_secs(5)).await;
    let open = read(fx.service.dispatch(msg).await).await;
    let closed = read(fx.service.dispatch(closed).await).await;

    expect_that!(open.failure(), some(eq((Kind::NotServed, Ran::No))));
    expect_that!(closed, eq(&Received::Complete(BODY.to_owned())));
}

/// Returns a time after the start of a sidecar that starts now, beyond the clock margin.
fn after_start_ms() -> u64 {
    u64::try_from(Context::QUIET_START.as_millisecond()).expect("after 1970") + 4_000
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_charge_whose_key_a_former_incarnation_may_have_used_may_have_run() {
    let fx = sidecar(Script::Completes);
    let mut msg = dispatch_with_key(&fx, 1, key_of(OWN_ENDPOINT)).await;
    msg.non_idempotent = true;

    let received = read(fx.service.dispatch(msg).await).await;

    expect_that!(
        received.failure(),
        some(eq((Kind::OutcomeUnknown, Ran::Maybe)))
    );
    expect_that!(fx.engine.runs_of(request(1)), eq(0));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn two_requests_with_one_key_share_one_run_and_one_response() {
    let fx = sidecar(Script::Blocks);
    let first = dispatch_with_key(&fx, 1, key_of(OWN_ENDPOINT)).await;
    let second = dispatch_with_key(&fx, 2, key_of(OWN_ENDPOINT)).await;

    let first = tokio::spawn(read(fx.service.dispatch(first).await));
    let second = tokio::spawn(read(fx.service.dispatch(second).await));
    fx.engine.release(1);

    expect_that!(first.await, ok(eq(&Received::Complete(BODY.to_owned()))));
    expect_that!(second.await, ok(eq(&Received::Complete(BODY.to_owned()))));
    expect_that!(fx.engine.runs_of(request(1)), eq(1));
    expect_that!(fx.engine.runs_of(request(2)), eq(0));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_run_without_output_sends_heartbeats() {
    let fx = sidecar(Script::Blocks);
    let mut frames = fx.start_request(1, Tier::Interactive).await;
    let started_at = fx.cx.timers.now();

    let mut heartbeats = 0;
    while heartbeats < 3 {
        let frame = frames.next().await.expect("open").expect("frame");
        heartbeats += u32::from(frame == Frame::Heartbeat);
    }

    let waited = fx.cx.timers.now().since(started_at).as_millis();
    expect_that!(waited, all![ge(1_200), le(1_210)]);
}
