//! One dispatch with a fault at each of its steps.

use std::time::Duration;

use eelgrassramp::Incarnation;
use eelgrassramp::Kind;
use eelgrassramp::Ran;
use eelgrassramp::wire::RevokeReply;
use googletest::prelude::*;

use crate::fixture::Act;
use crate::fixture::BODY;
use crate::fixture::Fixture;
use crate::fixture::Reply;
use crate::fixture::Script;
use crate::fixture::data;
use crate::fixture::failed;
use crate::fixture::head;
use crate::fixture::last;
use crate::fixture::queued;
use crate::fixture::request;
use crate::fixture::started;

fn resumed_from(offset: usize) -> Script {
    Script::Stream(vec![
        queued(),
        started(),
        head(),
        data(offset, BODY.len()),
        last(),
    ])
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn an_answer_without_faults_is_passed_on_whole() {
    let fixture = Fixture::start(&[1]).await;

    let got = fixture.call(request("charges")).await;

    expect_that!(got.is_answer(), eq(true), "{got:?}");
    expect_that!(fixture.link.state().dispatched.len(), eq(1));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_refused_connection_leads_to_another_endpoint() {
    let fixture = Fixture::start(&[1, 2]).await;
    fixture.link.state().dispatch.push_back(Script::NotSent);

    let got = fixture.call(request("charges")).await;

    expect_that!(got.is_answer(), eq(true), "{got:?}");
    let state = fixture.link.state();
    let targets: Vec<_> = state.dispatched.iter().map(|(to, _)| *to).collect();
    expect_that!(targets.len(), eq(2));
    expect_that!(targets.first(), not(eq(targets.last())));
    expect_that!(state.revoked, is_empty());
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_dispatch_without_any_sign_is_revoked_and_sent_under_a_new_identity() {
    for script in [
        Script::Broken,
        Script::Silence,
        Script::Stream(vec![Act::Break]),
        Script::Stream(vec![]),
    ] {
        let fixture = Fixture::start(&[1, 2]).await;
        fixture.set_up(|state| {
            state.dispatch.push_back(script.clone());
            state
                .revoke
                .push_back(Reply::Gives(RevokeReply::NeverStarted));
        });

        let got = fixture.call(request("charges")).await;

        expect_that!(got.is_answer(), eq(true), "{script:?}: {got:?}");
        let state = fixture.link.state();
        let ids: Vec<_> = state.dispatched.iter().map(|(_, d)| d.request).collect();
        expect_that!(ids.len(), eq(2), "{script:?}");
        expect_that!(state.revoked[0].request, eq(ids[0]));
        expect_that!(ids[1], not(eq(ids[0])));
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_running_request_is_attached_to_after_a_revocation() {
    for reply in [RevokeReply::Running, RevokeReply::Finished] {
        let fixture = Fixture::start(&[1, 2]).await;
        fixture.set_up(|state| {
            state.dispatch.push_back(Script::Broken);
            state.revoke.push_back(Reply::Gives(reply));
            state.attach.push_back(resumed_from(0));
        });

        let got = fixture.call(request("charges")).await;

        expect_that!(got.is_answer(), eq(true), "{reply:?}: {got:?}");
        expect_that!(fixture.link.state().dispatched.len(), eq(1));
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn an_unknown_outcome_is_never_dispatched_again() {
    let others = [
        Reply::Gives(RevokeReply::OtherIncarnation(Incarnation(99))),
        Reply::Gives(RevokeReply::Forgotten),
        Reply::Broken,
        Reply::Silence,
    ];
    for reply in others {
        let fixture = Fixture::start(&[1, 2]).await;
        fixture.set_up(|state| {
            state.dispatch.push_back(Script::Broken);
            state.revoke.extend([reply; 8]);
        });

        let got = fixture.call(request("charges")).await;

        expect_that!(got.kind(), some(eq(Kind::OutcomeUnknown)), "{reply:?}");
        expect_that!(got.ran, eq(Ran::Maybe));
        expect_that!(fixture.link.state().dispatched.len(), eq(1));
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_stream_cut_after_any_frame_is_resumed_where_the_caller_stands() {
    let acts = [queued(), started(), head(), data(0, 5), data(5, 9)];
    for cut in [Act::Break, Act::Silence] {
        for kept in 1..=acts.len() {
            let passed = [0, 0, 0, 0, 5, 9][kept];
            let fixture = Fixture::start(&[1, 2]).await;
            fixture.set_up(|state| {
                let mut script = acts[..kept].to_vec();
                script.push(cut.clone());
                state.dispatch.push_back(Script::Stream(script));
                state.attach.push_back(resumed_from(passed));
            });

            let got = fixture.call(request("charges")).await;

            expect_that!(got.is_answer(), eq(true), "{cut:?} after {kept}: {got:?}");
            let state = fixture.link.state();
            expect_that!(state.attached[0].offset, eq(passed as u64));
            expect_that!(state.dispatched.len(), eq(1));
        }
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_silent_connection_is_replaced_within_two_seconds() {
    let fixture = Fixture::start(&[1]).await;
    fixture.set_up(|state| {
        state.dispatch.push_back(Script::Stream(vec![
            queued(),
            started(),
            head(),
            data(0, 5),
            Act::Silence,
        ]));
        state.attach.push_back(resumed_from(5));
    });
    let began = fixture.cx.timers.now();

    let got = fixture.call(request("charges")).await;

    let took = fixture.cx.timers.now().since(began);
    expect_that!(got.is_answer(), eq(true), "{got:?}");
    expect_that!(took, le(Duration::from_secs(2)));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn heartbeats_keep_a_slow_answer_alive() {
    let fixture = Fixture::start(&[1]).await;
    let beat = Act::Frame(eelgrassramp::wire::Frame::Heartbeat);
    let mut script = vec![queued(), started()];
    for _ in 0..20 {
        script.push(Act::Wait(Duration::from_millis(400)));
        script.push(beat.clone());
    }
    script.extend([head(), data(0, BODY.len()), last()]);
    fixture
        .link
        .state()
        .dispatch
        .push_back(Script::Stream(script));

    let got = fixture.call(request("charges")).await;

    expect_that!(got.is_answer(), eq(true), "{got:?}");
    expect_that!(fixture.link.state().attached, is_empty());
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn duplicated_and_missing_frames_do_not_show_in_the_answer() {
    let fixture = Fixture::start(&[1]).await;
    fixture.set_up(|state| {
        state.dispatch.push_back(Script::Stream(vec![
            queued(),
            queued(),
            started(),
            head(),
            head(),
            data(0, 5),
            data(0, 5),
            data(2, 8),
            data(12, 20),
        ]));
        state.attach.push_back(resumed_from(4));
    });

    let got = fixture.call(request("charges")).await;

    expect_that!(got.is_answer(), eq(true), "{got:?}");
    expect_that!(fixture.link.state().attached[0].offset, eq(8));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_short_answer_is_an_error() {
    let fixture = Fixture::start(&[1]).await;
    fixture.set_up(|state| {
        let cut = vec![queued(), started(), head(), data(0, 5), Act::Break];
        state.dispatch.push_back(Script::Stream(cut));
    });

    let got = fixture.call(request("charges")).await;

    expect_that!(got.kind(), some(eq(Kind::StreamBroken)), "{got:?}");
    expect_that!(got.ran, eq(Ran::Maybe));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_restarted_sidecar_proves_nothing_about_the_life_before_it() {
    let fixture = Fixture::start(&[1, 2]).await;
    fixture.set_up(|state| {
        let cut = vec![queued(), Act::Break];
        state.dispatch.push_back(Script::Stream(cut));
        let refused = vec![failed(Kind::WrongIncarnation, Ran::No)];
        state.attach.push_back(Script::Stream(refused));
    });

    let got = fixture.call(request("charges")).await;

    expect_that!(got.kind(), some(eq(Kind::OutcomeUnknown)), "{got:?}");
    expect_that!(fixture.link.state().dispatched.len(), eq(1));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn outdated_knowledge_is_refreshed_and_the_request_sent_again() {
    for kind in [
        Kind::WrongIncarnation,
        Kind::StaleMark,
        Kind::StaleTables,
        Kind::NotServed,
    ] {
        let fixture = Fixture::start(&[1, 2]).await;
        fixture.set_up(|state| {
            state
                .dispatch
                .push_back(Script::Stream(vec![failed(kind, Ran::No)]));
        });

        let got = fixture.call(request("charges")).await;

        expect_that!(got.is_answer(), eq(true), "{kind}: {got:?}");
        expect_that!(fixture.link.state().dispatched.len(), eq(2));
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_failure_that_may_have_run_is_final_and_told_at_once() {
    let fixture = Fixture::start(&[1, 2]).await;
    let script = vec![
        queued(),
        started(),
        failed(Kind::EndpointFailed, Ran::Maybe),
    ];
    fixture
        .link
        .state()
        .dispatch
        .push_back(Script::Stream(script));
    let began = fixture.cx.timers.now();

    let got = fixture.call(request("charges")).await;

    expect_that!(got.kind(), some(eq(Kind::EndpointFailed)), "{got:?}");
    expect_that!(got.ran, eq(Ran::Maybe));
    expect_that!(fixture.link.state().dispatched.len(), eq(1));
    expect_that!(fixture.cx.timers.now(), eq(began));
}
