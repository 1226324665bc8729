//! Preemption by requests of the tier `Order`, cancellation and expiry.

use eelgrassramp::Kind;
use eelgrassramp::Ran;
use eelgrassramp::Tier;
use eelgrassramp::link::FrameStream;
use eelgrassramp::wire::Cancel;
use googletest::prelude::*;
use tokio::task::JoinHandle;

use super::fixture::BODY;
use super::fixture::Fixture;
use super::fixture::Received;
use super::fixture::Script;
use super::fixture::read;
use super::fixture::request;
use super::fixture::sidecar;

const SLOTS: usize = 2;

fn blocked_sidecar() -> Fixture {
    sidecar(Script::Blocks)
}

fn spawn_read(frames: FrameStream) -> JoinHandle<Received> {
    tokio::spawn(read(frames))
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn an_order_preempts_a_running_draft_and_displaces_nothing_else() {
    let fx = blocked_sidecar();
    let first = spawn_read(fx.start_request(1, Tier::Draft).await);
    let second = spawn_read(fx.start_request(2, Tier::Interactive).await);

    let order = spawn_read(fx.start_request(3, Tier::Order).await);
    let draft = first.await.expect("task");
    fx.engine.release(SLOTS);

    expect_that!(draft.failure(), some(eq((Kind::Preempted, Ran::Maybe))));
    expect_that!(fx.engine.cancelled(), elements_are![eq(&request(1))]);
    expect_that!(order.await, ok(eq(&Received::Complete(BODY.to_owned()))));
    expect_that!(second.await, ok(eq(&Received::Complete(BODY.to_owned()))));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_non_idempotent_run_is_neither_preempted_nor_cancelled() {
    let fx = blocked_sidecar();
    let mut charges = Vec::new();
    for id in 1..=2 {
        let mut msg = fx.dispatch(id, Tier::Draft).await;
        msg.non_idempotent = true;
        charges.push(spawn_read(fx.service.dispatch(msg).await));
    }
    let order = spawn_read(fx.start_request(3, Tier::Order).await);
    let cancel = Cancel {
        request: request(1),
        incarnation: fx.service.incarnation(),
    };

    fx.service.cancel(cancel).await;
    fx.engine.release(3);

    for charge in charges {
        expect_that!(charge.await, ok(eq(&Received::Complete(BODY.to_owned()))));
    }
    expect_that!(order.await, ok(eq(&Received::Complete(BODY.to_owned()))));
    expect_that!(fx.engine.cancelled(), is_empty());
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_cancelled_request_frees_its_slot_and_stops_in_the_engine() {
    let fx = blocked_sidecar();
    let cancelled = spawn_read(fx.start_request(1, Tier::Interactive).await);
    let _running = fx.start_request(2, Tier::Interactive).await;
    let waiting = spawn_read(fx.start_request(3, Tier::Interactive).await);
    let cancel = Cancel {
        request: request(1),
        incarnation: fx.service.incarnation(),
    };

    fx.service.cancel(cancel).await;
    let cancelled = cancelled.await.expect("task");
    fx.engine.release(SLOTS);

    expect_that!(
        cancelled.failure(),
        some(eq((Kind::CallerGone, Ran::Maybe)))
    );
    expect_that!(fx.engine.cancelled(), elements_are![eq(&request(1))]);
    expect_that!(waiting.await, ok(eq(&Received::Complete(BODY.to_owned()))));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn an_expired_queued_request_is_refused_immediately_and_has_not_run() {
    let fx = blocked_sidecar();
    let _running = [
        fx.start_request(1, Tier::Interactive).await,
        fx.start_request(2, Tier::Interactive).await,
    ];
    let mut msg = fx.dispatch(3, Tier::Interactive).await;
    msg.deadline_ms = 500;
    let started_at = fx.cx.timers.now();

    let received = read(fx.service.dispatch(msg).await).await;

    let waited = fx.cx.timers.now().since(started_at).as_millis();
    expect_that!(
        received.failure(),
        some(eq((Kind::DeadlineExpired, Ran::No)))
    );
    expect_that!(waited, all![ge(500), le(550)]);
    expect_that!(fx.engine.runs_of(request(3)), eq(0));
}
