//! Tiers, admission and departures at the entry.

use std::time::Duration;

use eelgrassramp::Kind;
use eelgrassramp::Ran;
use eelgrassramp::Tier;
use eelgrassramp::wire::Load;
use googletest::prelude::*;

use crate::fixture::Act;
use crate::fixture::Fixture;
use crate::fixture::Script;
use crate::fixture::failed;
use crate::fixture::load;
use crate::fixture::queued;
use crate::fixture::request;
use crate::fixture::sidecar;
use crate::fixture::started;
use crate::fixture::whole;
use crate::fixture::whole_under;
use crate::fixture::with_header;

fn endless() -> Script {
    let beat = Act::Frame(eelgrassramp::wire::Frame::Heartbeat);
    let wait = Act::Wait(Duration::from_millis(400));
    let mut acts = vec![queued(), started()];
    for _ in 0..300 {
        acts.extend([wait.clone(), beat.clone()]);
    }
    Script::Stream(acts)
}

fn full() -> Load {
    Load {
        running: 8,
        queued: 2,
        ..load()
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn drafts_wait_at_the_entry_while_all_endpoints_are_full_and_orders_do_not() {
    let fixture = Fixture::start(&[1]).await;
    fixture.set_up(|state| {
        state.load.insert(sidecar(1), full());
        state
            .dispatch
            .push_back(Script::Stream(whole_under(full())));
    });
    fixture.cx.timers.after(Duration::from_secs(1)).await;
    let draft = with_header(request("drafts"), "eelgrassramp-deadline-ms", "300");

    let (draft, order) = tokio::join!(fixture.call(draft), fixture.call(request("charges")));

    expect_that!(draft.kind(), some(eq(Kind::DeadlineExpired)), "{draft:?}");
    expect_that!(draft.ran, eq(Ran::No));
    expect_that!(order.is_answer(), eq(true), "{order:?}");
    expect_that!(fixture.link.state().dispatched.len(), eq(1));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_refused_order_waits_until_less_urgent_work_has_given_way() {
    let fixture = Fixture::start(&[1, 2]).await;
    fixture.set_up(|state| {
        for _ in 0..12 {
            let refusal = vec![failed(Kind::Overloaded, Ran::No)];
            state.dispatch.push_back(Script::Stream(refusal));
        }
    });

    let got = fixture.call(request("charges")).await;

    expect_that!(got.is_answer(), eq(true), "{got:?}");
    let state = fixture.link.state();
    expect_that!(state.dispatched.len(), eq(13));
    let pressed = state.reported.iter().any(|r| r.order_pressure > 0);
    expect_that!(pressed, eq(true));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn an_order_is_refused_once_the_floor_is_raised_everywhere() {
    let fixture = Fixture::start(&[1, 2]).await;
    let raised = Load {
        floor: Tier::Order,
        ..full()
    };
    fixture.set_up(|state| {
        for port in [1, 2] {
            state.load.insert(sidecar(port), raised);
        }
    });
    fixture.cx.timers.after(Duration::from_secs(1)).await;
    fixture.set_up(|state| {
        let mut refusal = failed(Kind::Overloaded, Ran::No);
        if let Act::Frame(eelgrassramp::wire::Frame::Failed(f)) = &mut refusal {
            f.load = raised;
        }
        state
            .dispatch
            .extend(vec![Script::Stream(vec![refusal]); 20]);
    });

    let got = fixture.call(request("charges")).await;

    expect_that!(got.kind(), some(eq(Kind::Overloaded)), "{got:?}");
    expect_that!(got.ran, eq(Ran::No));
    expect_that!(got.retry_after_s, some(ge(1)));
    expect_that!(fixture.link.state().dispatched.len(), le(2));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_caller_that_leaves_cancels_a_draft_but_never_a_started_charge() {
    for (route, cancels) in [("drafts", 1), ("charges", 0)] {
        let fixture = Fixture::start(&[1]).await;
        fixture.link.state().dispatch.push_back(endless());

        let call = fixture.service.call(request(route));
        let left = fixture.cx.timers.limit(Duration::from_secs(2), call).await;
        fixture.cx.timers.after(Duration::from_secs(5)).await;

        expect_that!(left.is_none(), eq(true));
        expect_that!(fixture.link.state().cancelled.len(), eq(cancels), "{route}");
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn the_deadline_ends_the_wait_at_once_and_says_that_it_may_have_run() {
    for (route, cancels) in [("drafts", 1), ("charges", 0)] {
        let fixture = Fixture::start(&[1]).await;
        fixture.link.state().dispatch.push_back(endless());
        let req = with_header(request(route), "eelgrassramp-deadline-ms", "1500");
        let began = fixture.cx.timers.now();

        let got = fixture.call(req).await;

        let took = fixture.cx.timers.now().since(began);
        expect_that!(got.kind(), some(eq(Kind::DeadlineExceeded)), "{got:?}");
        expect_that!(got.ran, eq(Ran::Maybe));
        expect_that!(took, le(Duration::from_millis(1_510)));
        expect_that!(fixture.link.state().cancelled.len(), eq(cancels), "{route}");
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn the_retry_budget_ends_retries_in_a_pool_that_fails() {
    let fixture = Fixture::start(&[1, 2]).await;
    let calls = 60;
    fixture
        .link
        .state()
        .dispatch
        .extend(vec![Script::NotSent; 1_000]);
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
async fn a_drained_entry_has_finished_its_requests() {
    let fixture = Fixture::start(&[1]).await;
    let mut slow = vec![queued(), started(), Act::Wait(Duration::from_secs(1))];
    slow.extend(whole());
    fixture
        .link
        .state()
        .dispatch
        .push_back(Script::Stream(slow));
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
