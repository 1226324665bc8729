//! Running, resuming and reattaching to requests.

use eelgrassramp::Kind;
use eelgrassramp::Ran;
use eelgrassramp::Tier;
use eelgrassramp::wire::Attach;
use googletest::prelude::*;

use super::fixture::BODY;
use super::fixture::BREAK_AT;
use super::fixture::Received;
use super::fixture::Script;
use super::fixture::read;
use super::fixture::read_from;
use super::fixture::request;
use super::fixture::sidecar;

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_duplicate_gets_the_response_of_the_first_run() {
    let fx = sidecar(Script::Completes);
    let msg = fx.dispatch(1, Tier::Interactive).await;

    let first = read(fx.service.dispatch(msg.clone()).await).await;
    let second = read(fx.service.dispatch(msg).await).await;

    expect_that!(first, eq(&Received::Complete(BODY.to_owned())));
    expect_that!(second, eq(&first));
    expect_that!(fx.engine.runs_of(request(1)), eq(1));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_broken_engine_stream_is_resumed_where_it_broke() {
    let fx = sidecar(Script::BreaksOnce);

    let received = read(fx.start_request(1, Tier::Interactive).await).await;

    expect_that!(received, eq(&Received::Complete(BODY.to_owned())));
    expect_that!(fx.engine.runs_of(request(1)), eq(1));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_stream_that_cannot_be_resumed_may_have_run() {
    let fx = sidecar(Script::BreaksWithoutResume);

    let received = read(fx.start_request(1, Tier::Interactive).await).await;

    expect_that!(
        received.failure(),
        some(eq((Kind::StreamBroken, Ran::Maybe)))
    );
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn an_engine_that_refuses_the_connection_has_not_run_the_request() {
    let fx = sidecar(Script::RefusesConnection);

    let received = read(fx.start_request(1, Tier::Order).await).await;

    expect_that!(received.failure(), some(eq((Kind::ConnectFailed, Ran::No))));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_reader_attaches_in_the_middle_of_a_response() {
    let fx = sidecar(Script::Completes);
    read(fx.start_request(1, Tier::Interactive).await).await;
    let offset = u64::try_from(BREAK_AT).expect("small");
    let attach = Attach {
        request: request(1),
        incarnation: fx.service.incarnation(),
        offset,
    };

    let received = read_from(fx.service.attach(attach).await, offset).await;

    expect_that!(
        received,
        eq(&Received::Complete(BODY[BREAK_AT..].to_owned()))
    );
}
