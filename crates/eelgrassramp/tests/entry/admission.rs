//! Tiers, admission, cancellation, deadlines and draining at the entry.

use std::time::Duration;

use eelgrassramp::Kind;
use eelgrassramp::Ran;
use eelgrassramp::Tier;
use eelgrassramp::wire::Load;
use googletest::prelude::*;

use crate::fixture::Fixture;
use crate::fixture::StreamAction;
use crate::fixture::StreamReply;
use crate::fixture::complete_stream;
use crate::fixture::complete_stream_with_load;
use crate::fixture::failed_frame;
use crate::fixture::load;
use crate::fixture::queued_frame;
use crate::fixture::request;
use crate::fixture::sidecar;
use crate::fixture::started_frame;
use crate::fixture::with_header;

fn endless_stream() -> StreamReply {
    let heartbeat = StreamAction::Frame(eelgrassramp::wire::Frame::Heartbeat);
    let wait = StreamAction::Wait(Duration::from_millis(400));
    let mut actions = vec![queued_frame(), started_frame()];
    for _ in 0..300 {
        actions.extend([wait.clone(), heartbeat.clone()]);
    }
    StreamReply::Stream(actions)
}

fn full_load() -> Load {
    Load {
        running: 8,
        queued: 2,
        ..load()
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn drafts_queue_at_the_entry_while_all_endpoints_are_full_but_orders_are_dispatched() {
    let fixture = Fixture::start(&[1]).await;
    fixture.update_script(|state| {
        state.load.insert(sidecar(1), full_load());
        state
            .dispatch
            .push_back(StreamReply::Stream(complete_stream_with_load(full_load())));
    });
    fixture.cx.timers.after(Duration::from_secs(1)).await;
    let draft = with_header(request("drafts"), "eelgrassramp-deadline-ms", "300");

    let (draft, order) = tokio::join!(fixture.call(draft), fixture.call(request("charges")));

    expect_that!(draft.kind(), some(eq(Kind::DeadlineExpired)), "{draft:?}");
    expect_that!(draft.ran, eq(Ran::No));
    expect_that!(order.is_complete_response(), eq(true), "{order:?}");
    expect_that!(fixture.link.state().dispatched.len(), eq(1));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_refused_order_is_retried_until_lower_tier_work_is_preempted() {
    let fixture = Fixture::start(&[1, 2]).await;
    fixture.update_script(|state| {
        for _ in 0..12 {
            let refusal = vec![failed_frame(Kind::Overloaded, Ran::No)];
            state.dispatch.push_back(StreamReply::Stream(refusal));
        }
    });

    let response = fixture.call(request("charges")).await;

    expect_that!(response.is_complete_response(), eq(true), "{response:?}");
    let state = fixture.link.state();
    expect_that!(state.dispatched.len(), eq(13));
    let sent_order_pressure = state.reported.iter().any(|r| r.order_pressure > 0);
    expect_that!(sent_order_pressure, eq(true));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn an_order_is_refused_once_all_endpoints_admit_only_orders() {
    let fixture = Fixture::start(&[1, 2]).await;
    let raised = Load {
        floor: Tier::Order,
        ..full_load()
    };
    fixture.update_script(|state| {
        for port in [1, 2] {
            state.load.insert(sidecar(port), raised);
        }
    });
    fixture.cx.timers.after(Duration::from_secs(1)).await;
    fixture.update_script(|state| {
        let mut refusal = failed_frame(Kind::Overloaded, Ran::No);
        if let StreamAction::Frame(eelgrassramp::wire::Frame::Failed(f)) = &mut refusal {
            f.load = raised;
        }
        state
            .dispatch
            .extend(vec![StreamReply::Stream(vec![refusal]); 20]);
    });

    let response = fixture.call(request("charges")).await;

    expect_that!(response.kind(), some(eq(Kind::Overloaded)), "{response:?}");
    expect_that!(response.ran, eq(Ran::No));
    expect_that!(response.retry_after_s, some(ge(1)));
    expect_that!(fixture.link.state().dispatched.len(), le(2));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_caller_disconnect_cancels_a_draft_but_never_a_started_charge() {
    for (route, expected_cancellations) in [("drafts", 1), ("charges", 0)] {
        let fixture = Fixture::start(&[1]).await;
        fixture.link.state().dispatch.push_back(endless_stream());

        let call = fixture.service.call(request(route));
        let outcome = fixture.cx.timers.limit(Duration::from_secs(2), call).await;
        fixture.cx.timers.after(Duration::from_secs(5)).await;

        expect_that!(outcome.is_none(), eq(true));
        expect_that!(
            fixture.link.state().cancelled.len(),
            eq(expected_cancellations),
            "{route}"
        );
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn the_deadline_ends_the_request_at_once_with_ran_maybe() {
    for (route, expected_cancellations) in [("drafts", 1), ("charges", 0)] {
        let fixture = Fixture::start(&[1]).await;
        fixture.link.state().dispatch.push_back(endless_stream());
        let req = with_header(request(route), "eelgrassramp-deadline-ms", "1500");
        let started_at = fixture.cx.timers.now();

        let response = fixture.call(req).await;

        let elapsed = fixture.cx.timers.now().since(started_at);
        expect_that!(
            response.kind(),
            some(eq(Kind::DeadlineExceeded)),
            "{response:?}"
        );
        expect_that!(response.ran, eq(Ran::Maybe));
        expect_that!(elapsed, le(Duration::from_millis(1_510)));
        expect_that!(
            fixture.link.state().cancelled.len(),
            eq(expected_cancellations),
            "{route}"
        );
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn the_retry_budget_limits_retries_in_a_failing_pool() {
    let fixture = Fixture::start(&[1, 2]).await;
    let calls = 60;
    fixture
        .link
        .state()
        .dispatch
        .extend(vec![StreamReply::NotSent; 1_000]);
    let mut kinds = Vec::new();

    for _ in 0..calls {
        kinds.push(fixture.call(request("drafts")).await.kind());
        fixture.cx.timers.after(Duration::from_secs(2)).await;
    }

    let sent = fixture.link.state().dispatched.len();
    expect_that!(sent, le(calls + 20));
    expect_that!(kinds, each(some(anything())));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn draining_an_entry_waits_for_requests_in_progress() {
    let fixture = Fixture::start(&[1]).await;
    let mut slow_stream = vec![
        queued_frame(),
        started_frame(),
        StreamAction::Wait(Duration::from_secs(1)),
    ];
    slow_stream.extend(complete_stream());
    fixture
        .link
        .state()
        .dispatch
        .push_back(StreamReply::Stream(slow_stream));
    let service = fixture.service.clone();
    let call = tokio::spawn(async move { service.call(request("charges")).await });
    fixture.cx.timers.after(Duration::from_millis(100)).await;

    fixture.cx.stop.cancel();
    let ready = fixture.service.is_ready();
    fixture.service.wait_until_idle().await;

    expect_that!(ready, eq(false));
    let answer = call.await.unwrap();
    expect_that!(answer.head.status, eq(200));
}
