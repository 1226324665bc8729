//! Orders to the engine and their fencing tokens.

use eelgrassramp::FencingToken;
use eelgrassramp::Kind;
use eelgrassramp::Ran;
use eelgrassramp::Tier;
use eelgrassramp::VersionName;
use eelgrassramp::wire::EngineAction;
use eelgrassramp::wire::EngineOrder;
use googletest::prelude::*;

use super::fixture::BODY;
use super::fixture::Fixture;
use super::fixture::Got;
use super::fixture::Script;
use super::fixture::read;
use super::fixture::request;
use super::fixture::sidecar;

fn order(fence: u64, action: EngineAction) -> EngineOrder {
    EngineOrder {
        pool: "greeting".into(),
        fence: FencingToken(fence),
        action,
    }
}

fn load(version: &str) -> EngineAction {
    EngineAction::Load(VersionName::from(version))
}

async fn fenced(script: Script) -> Fixture {
    let fx = sidecar(script);
    fx.service.order(order(5, EngineAction::Fence)).await;
    fx
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn an_order_of_a_former_holder_changes_nothing() {
    let fx = fenced(Script::Answers).await;

    let old = fx.service.order(order(4, load("v2"))).await;
    let new = fx.service.order(order(6, load("v3"))).await;
    let late = fx.service.order(order(5, load("v2"))).await;

    expect_that!(old.refused, some(eq(Kind::FencedOff)));
    expect_that!(new.done, eq(true));
    expect_that!(late.refused, some(eq(Kind::FencedOff)));
    expect_that!(late.version, eq(&VersionName::from("v3")));
    expect_that!(late.fence, eq(FencingToken(6)));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn the_first_order_of_a_life_has_to_announce_its_token() {
    let fx = sidecar(Script::Answers);

    let unknown = fx.service.order(order(9, load("v2"))).await;
    let fence = fx.service.order(order(9, EngineAction::Fence)).await;
    let known = fx.service.order(order(9, load("v2"))).await;

    expect_that!(unknown.refused, some(eq(Kind::FencedOff)));
    expect_that!(fence.done, eq(true));
    expect_that!(known.done, eq(true));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn an_order_that_the_engine_ignored_is_not_done() {
    let fx = fenced(Script::IgnoresOrders).await;

    let reply = fx.service.order(order(5, load("v2"))).await;

    expect_that!(reply.done, eq(false));
    expect_that!(reply.version, eq(&VersionName::from("v1")));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_version_is_loaded_only_after_running_requests_have_ended() {
    let fx = fenced(Script::Holds).await;
    let running = tokio::spawn(read(fx.begin(1, Tier::Interactive).await));
    let also_running = tokio::spawn(read(fx.begin(2, Tier::Interactive).await));
    let waiting = tokio::spawn(read(fx.begin(3, Tier::Interactive).await));
    let service = fx.service.clone();
    let loading = tokio::spawn(async move { service.order(order(5, load("v2"))).await });

    let waiting = waiting.await.expect("task");
    let during = read(fx.begin(4, Tier::Interactive).await).await;
    let is_early = loading.is_finished();
    fx.engine.release(2);

    expect_that!(waiting.failure(), some(eq((Kind::NotServed, Ran::No))));
    expect_that!(during.failure(), some(eq((Kind::NotServed, Ran::No))));
    expect_that!(is_early, eq(false));
    expect_that!(running.await, ok(eq(&Got::Whole(BODY.to_owned()))));
    expect_that!(also_running.await, ok(eq(&Got::Whole(BODY.to_owned()))));
    expect_that!(loading.await.map(|r| r.done), ok(eq(&true)));
    expect_that!(fx.engine.runs_of(request(3)), eq(0));
}
