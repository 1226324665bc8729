//! Early ends of runs, and the counting of outcomes.

use std::time::Duration;

use eelgrassramp::Kind;
use eelgrassramp::Ran;
use eelgrassramp::Tier;
use eelgrassramp::wire::Outcomes;
use eelgrassramp::wire::ReportRequest;
use eelgrassramp::wire::Revoke;
use eelgrassramp::wire::RevokeReply;
use googletest::prelude::*;

use super::fixture::BODY;
use super::fixture::Fixture;
use super::fixture::Received;
use super::fixture::Script;
use super::fixture::read;
use super::fixture::request;
use super::fixture::sidecar;

async fn outcomes(fx: &Fixture) -> Vec<Outcomes> {
    let report_request = ReportRequest {
        outcomes: true,
        ..ReportRequest::default()
    };
    fx.service.report(report_request).await.outcomes
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_run_past_its_deadline_is_stopped_and_counts_against_the_version() {
    let fx = sidecar(Script::Blocks);

    let received = read(fx.start_request(1, Tier::Interactive).await).await;

    let counted = outcomes(&fx).await;
    expect_that!(
        received.failure(),
        some(eq((Kind::DeadlineExceeded, Ran::Maybe)))
    );
    expect_that!(fx.engine.cancelled(), elements_are![eq(&request(1))]);
    expect_that!(counted.len(), eq(1));
    expect_that!(counted[0].failed, eq(1));
    expect_that!(counted[0].ok, eq(0));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_run_without_readers_is_stopped() {
    let fx = sidecar(Script::Blocks);
    let frames = fx.start_request(1, Tier::Interactive).await;

    drop(frames);
    fx.cx.timers.after(Duration::from_secs(6)).await;

    expect_that!(fx.engine.cancelled(), elements_are![eq(&request(1))]);
    expect_that!(fx.service.in_progress(), eq(0));
    expect_that!(outcomes(&fx).await, is_empty());
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_non_idempotent_run_without_readers_completes() {
    let fx = sidecar(Script::Blocks);
    let mut msg = fx.dispatch(1, Tier::Order).await;
    msg.non_idempotent = true;
    let copy = msg.clone();

    drop(fx.service.dispatch(msg).await);
    fx.cx.timers.after(Duration::from_secs(20)).await;
    fx.engine.release(1);
    let received = read(fx.service.dispatch(copy).await).await;

    expect_that!(received, eq(&Received::Complete(BODY.to_owned())));
    expect_that!(fx.engine.cancelled(), is_empty());
    expect_that!(fx.engine.runs_of(request(1)), eq(1));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_revoked_request_never_starts_even_if_its_dispatch_arrives_later() {
    let fx = sidecar(Script::Completes);
    let msg = fx.dispatch(1, Tier::Interactive).await;
    let revoke = Revoke {
        request: msg.request,
        incarnation: msg.incarnation,
        mark: msg.mark,
    };

    let reply = fx.service.revoke(revoke).await;
    let late = read(fx.service.dispatch(msg).await).await;

    expect_that!(reply, eq(RevokeReply::NeverStarted));
    expect_that!(late.failure(), some(eq((Kind::Revoked, Ran::No))));
    expect_that!(fx.engine.runs_of(request(1)), eq(0));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn complete_responses_and_repeated_executions_are_counted_separately() {
    let good = sidecar(Script::Completes);
    let repeated = sidecar(Script::RunsTwice);

    read(good.start_request(1, Tier::Order).await).await;
    read(repeated.start_request(1, Tier::Order).await).await;

    let good = outcomes(&good).await;
    let repeated = outcomes(&repeated).await;
    expect_that!((good[0].ok, good[0].duplicated), eq((1, 0)));
    expect_that!((repeated[0].ok, repeated[0].duplicated), eq((0, 1)));
}
