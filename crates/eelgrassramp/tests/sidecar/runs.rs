//! How requests run, break, resume and are asked for again.

use eelgrassramp::Kind;
use eelgrassramp::Ran;
use eelgrassramp::Tier;
use eelgrassramp::wire::Attach;
use googletest::prelude::*;

use super::fixture::BODY;
use super::fixture::BREAK_AT;
use super::fixture::Got;
use super::fixture::Script;
use super::fixture::read;
use super::fixture::read_from;
use super::fixture::request;
use super::fixture::sidecar;

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_duplicate_gets_the_answer_of_the_first_run() {
    let fx = sidecar(Script::Answers);
    let msg = fx.dispatch(1, Tier::Interactive).await;

    let first = read(fx.service.dispatch(msg.clone()).await).await;
    let second = read(fx.service.dispatch(msg).await).await;

    expect_that!(first, eq(&Got::Whole(BODY.to_owned())));
    expect_that!(second, eq(&first));
    expect_that!(fx.engine.runs_of(request(1)), eq(1));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_broken_engine_stream_is_resumed_where_it_broke() {
    let fx = sidecar(Script::Breaks);

    let got = read(fx.begin(1, Tier::Interactive).await).await;

    expect_that!(got, eq(&Got::Whole(BODY.to_owned())));
    expect_that!(fx.engine.runs_of(request(1)), eq(1));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_stream_that_cannot_be_resumed_may_have_run() {
    let fx = sidecar(Script::BreaksForGood);

    let got = read(fx.begin(1, Tier::Interactive).await).await;

    expect_that!(got.failure(), some(eq((Kind::StreamBroken, Ran::Maybe))));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn an_engine_that_refuses_the_connection_has_not_run_the_request() {
    let fx = sidecar(Script::Refuses);

    let got = read(fx.begin(1, Tier::Order).await).await;

    expect_that!(got.failure(), some(eq((Kind::ConnectFailed, Ran::No))));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_reader_attaches_in_the_middle_of_an_answer() {
    let fx = sidecar(Script::Answers);
    read(fx.begin(1, Tier::Interactive).await).await;
    let offset = u64::try_from(BREAK_AT).expect("small");
    let attach = Attach {
        request: request(1),
        incarnation: fx.service.incarnation(),
        offset,
    };

    let got = read_from(fx.service.attach(attach).await, offset).await;

    expect_that!(got, eq(&Got::Whole(BODY[BREAK_AT..].to_owned())));
}
