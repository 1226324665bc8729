//! Engine orders and their fencing tokens.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use eelgrassramp::Error;
use eelgrassramp::FencingToken;
use eelgrassramp::Incarnation;
use eelgrassramp::Kind;
use eelgrassramp::ObjectVersion;
use eelgrassramp::Ran;
use eelgrassramp::Tier;
use eelgrassramp::VersionName;
use eelgrassramp::lease::LeaseObject;
use eelgrassramp::store::Object;
use eelgrassramp::store::ObjectApi;
use eelgrassramp::store::Vm;
use eelgrassramp::wire::EngineAction;
use eelgrassramp::wire::EngineOrder;
use googletest::prelude::*;

use super::fixture::BODY;
use super::fixture::Fixture;
use super::fixture::Received;
use super::fixture::Script;
use super::fixture::read;
use super::fixture::request;
use super::fixture::sidecar;
use super::fixture::sidecar_with;

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

/// A store that holds one lease; without a token it is unavailable.
#[derive(Debug)]
struct LeaseStore {
    fence: Option<u64>,
}

#[async_trait]
impl ObjectApi for LeaseStore {
    async fn get(&self, key: &str) -> eelgrassramp::Result<Object> {
        let unavailable = || Error::new(Kind::StoreUnavailable, "unavailable by script");
        let lease = LeaseObject {
            holder: Incarnation(1),
            entry: "entry-1".into(),
            fence: FencingToken(self.fence.ok_or_else(unavailable)?),
            write: 1,
            released: false,
        };
        Ok(Object {
            key: key.to_owned(),
            version: ObjectVersion(1),
            value: lease.to_bytes()?,
        })
    }

    async fn put(
        &self,
        _: &str,
        _: ObjectVersion,
        _: Bytes,
    ) -> eelgrassramp::Result<ObjectVersion> {
        Err(Error::new(Kind::StoreUnavailable, "the store is read-only"))
    }

    async fn watch(
        &self,
        key: &str,
        _: ObjectVersion,
        _: Duration,
    ) -> eelgrassramp::Result<Object> {
        self.get(key).await
    }

    async fn list(&self, _: &str) -> eelgrassramp::Result<Vec<Object>> {
        Ok(Vec::new())
    }

    async fn vms(&self) -> eelgrassramp::Result<Vec<Vm>> {
        Ok(Vec::new())
    }
}

async fn fenced_sidecar(script: Script) -> Fixture {
    let fx = sidecar(script);
    fx.service.order(order(5, EngineAction::Fence)).await;
    fx
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn an_order_of_a_former_lease_holder_is_refused() {
    let fx = fenced_sidecar(Script::Completes).await;

    let old = fx.service.order(order(4, load("v2"))).await;
    let new = fx.service.order(order(6, load("v3"))).await;
    let outdated = fx.service.order(order(5, load("v2"))).await;

    expect_that!(old.refused, some(eq(Kind::FencedOff)));
    expect_that!(new.done, eq(true));
    expect_that!(outdated.refused, some(eq(Kind::FencedOff)));
    expect_that!(outdated.version, eq(&VersionName::from("v3")));
    expect_that!(outdated.fence, eq(FencingToken(6)));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn the_first_order_after_a_start_must_be_a_fence_order() {
    let fx = sidecar(Script::Completes);

    let unknown = fx.service.order(order(9, load("v2"))).await;
    let fence = fx.service.order(order(9, EngineAction::Fence)).await;
    let known = fx.service.order(order(9, load("v2"))).await;

    expect_that!(unknown.refused, some(eq(Kind::FencedOff)));
    expect_that!(fence.done, eq(true));
    expect_that!(known.done, eq(true));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn after_a_start_the_lowest_token_is_read_from_the_lease() {
    let with_lease = sidecar_with(
        Some(Arc::new(LeaseStore { fence: Some(8) })),
        Script::Completes,
    );
    let unavailable = sidecar_with(
        Some(Arc::new(LeaseStore { fence: None })),
        Script::Completes,
    );

    let former_holder = with_lease
        .service
        .order(order(7, EngineAction::Fence))
        .await;
    let holder = with_lease.service.order(order(8, load("v2"))).await;
    let unknown = unavailable.service.order(order(9, load("v2"))).await;

    expect_that!(former_holder.refused, some(eq(Kind::FencedOff)));
    expect_that!(holder.done, eq(true));
    expect_that!(unknown.refused, some(eq(Kind::StoreUnavailable)));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn an_order_that_the_engine_ignored_is_not_done() {
    let fx = fenced_sidecar(Script::IgnoresOrders).await;

    let reply = fx.service.order(order(5, load("v2"))).await;

    expect_that!(reply.done, eq(false));
    expect_that!(reply.version, eq(&VersionName::from("v1")));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_version_is_loaded_only_after_running_requests_have_ended() {
    let fx = fenced_sidecar(Script::Blocks).await;
    let running = tokio::spawn(read(fx.start_request(1, Tier::Interactive).await));
    let also_running = tokio::spawn(read(fx.start_request(2, Tier::Interactive).await));
    let waiting = tokio::spawn(read(fx.start_request(3, Tier::Interactive).await));
    let service = fx.service.clone();
    let loading = tokio::spawn(async move { service.order(order(5, load("v2"))).await });

    let waiting = waiting.await.expect("task");
    let during = read(fx.start_request(4, Tier::Interactive).await).await;
    let loaded_early = loading.is_finished();
    fx.engine.release(2);

    expect_that!(waiting.failure(), some(eq((Kind::NotServed, Ran::No))));
    expect_that!(during.failure(), some(eq((Kind::NotServed, Ran::No))));
    expect_that!(loaded_early, eq(false));
    expect_that!(running.await, ok(eq(&Received::Complete(BODY.to_owned()))));
    expect_that!(
        also_running.await,
        ok(eq(&Received::Complete(BODY.to_owned())))
    );
    expect_that!(loading.await.map(|r| r.done), ok(eq(&true)));
    expect_that!(fx.engine.runs_of(request(3)), eq(0));
}
