//! Faults at each step of one dispatch.

use std::time::Duration;

use eelgrassramp::Incarnation;
use eelgrassramp::Kind;
use eelgrassramp::Ran;
use eelgrassramp::wire::RevokeReply;
use googletest::prelude::*;

use crate::fixture::BODY;
use crate::fixture::Fixture;
use crate::fixture::MessageReply;
use crate::fixture::StreamAction;
use crate::fixture::StreamReply;
use crate::fixture::data_frame;
use crate::fixture::failed_frame;
use crate::fixture::final_frame;
use crate::fixture::head_frame;
use crate::fixture::queued_frame;
use crate::fixture::request;
use crate::fixture::started_frame;

fn resume_from(offset: usize) -> StreamReply {
    StreamReply::Stream(vec![
        queued_frame(),
        started_frame(),
        head_frame(),
        data_frame(offset, BODY.len()),
        final_frame(),
    ])
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_response_without_faults_is_forwarded_completely() {
    let fixture = Fixture::start(&[1]).await;

    let response = fixture.call(request("charges")).await;

    expect_that!(response.is_complete_response(), eq(true), "{response:?}");
    expect_that!(fixture.link.state().dispatched.len(), eq(1));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_refused_connection_is_retried_at_another_endpoint() {
    let fixture = Fixture::start(&[1, 2]).await;
    fixture
        .link
        .state()
        .dispatch
        .push_back(StreamReply::NotSent);

    let response = fixture.call(request("charges")).await;

    expect_that!(response.is_complete_response(), eq(true), "{response:?}");
    let state = fixture.link.state();
    let targets: Vec<_> = state.dispatched.iter().map(|(to, _)| *to).collect();
    expect_that!(targets.len(), eq(2));
    expect_that!(targets.first(), not(eq(targets.last())));
    expect_that!(state.revoked, is_empty());
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn an_unconfirmed_dispatch_is_revoked_and_retried_under_a_new_request_id() {
    for script in [
        StreamReply::Broken,
        StreamReply::Hang,
        StreamReply::Stream(vec![StreamAction::Break]),
        StreamReply::Stream(vec![]),
    ] {
        let fixture = Fixture::start(&[1, 2]).await;
        fixture.update_script(|state| {
            state.dispatch.push_back(script.clone());
            state
                .revoke
                .push_back(MessageReply::Message(RevokeReply::NeverStarted));
        });

        let response = fixture.call(request("charges")).await;

        expect_that!(
            response.is_complete_response(),
            eq(true),
            "{script:?}: {response:?}"
        );
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
        fixture.update_script(|state| {
            state.dispatch.push_back(StreamReply::Broken);
            state.revoke.push_back(MessageReply::Message(reply));
            state.attach.push_back(resume_from(0));
        });

        let response = fixture.call(request("charges")).await;

        expect_that!(
            response.is_complete_response(),
            eq(true),
            "{reply:?}: {response:?}"
        );
        expect_that!(fixture.link.state().dispatched.len(), eq(1));
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn an_unknown_outcome_is_never_dispatched_again() {
    let replies = [
        MessageReply::Message(RevokeReply::OtherIncarnation(Incarnation(99))),
        MessageReply::Message(RevokeReply::Forgotten),
        MessageReply::Broken,
        MessageReply::Hang,
    ];
    for reply in replies {
        let fixture = Fixture::start(&[1, 2]).await;
        fixture.update_script(|state| {
            state.dispatch.push_back(StreamReply::Broken);
            state.revoke.extend([reply; 8]);
        });

        let response = fixture.call(request("charges")).await;

        expect_that!(response.kind(), some(eq(Kind::OutcomeUnknown)), "{reply:?}");
        expect_that!(response.ran, eq(Ran::Maybe));
        expect_that!(fixture.link.state().dispatched.len(), eq(1));
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_stream_broken_after_any_frame_resumes_at_the_forwarded_offset() {
    let actions = [
        queued_frame(),
        started_frame(),
        head_frame(),
        data_frame(0, 5),
        data_frame(5, 9),
    ];
    for interrupted in [StreamAction::Break, StreamAction::Hang] {
        for frames_kept in 1..=actions.len() {
            let passed = [0, 0, 0, 0, 5, 9][frames_kept];
            let fixture = Fixture::start(&[1, 2]).await;
            fixture.update_script(|state| {
                let mut script = actions[..frames_kept].to_vec();
                script.push(interrupted.clone());
                state.dispatch.push_back(StreamReply::Stream(script));
                state.attach.push_back(resume_from(passed));
            });

            let response = fixture.call(request("charges")).await;

            expect_that!(
                response.is_complete_response(),
                eq(true),
                "{interrupted:?} after {frames_kept}: {response:?}"
            );
            let state = fixture.link.state();
            expect_that!(state.attached[0].offset, eq(passed as u64));
            expect_that!(state.dispatched.len(), eq(1));
        }
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn an_idle_connection_is_replaced_within_two_seconds() {
    let fixture = Fixture::start(&[1]).await;
    fixture.update_script(|state| {
        state.dispatch.push_back(StreamReply::Stream(vec![
            queued_frame(),
            started_frame(),
            head_frame(),
            data_frame(0, 5),
            StreamAction::Hang,
        ]));
        state.attach.push_back(resume_from(5));
    });
    let started_at = fixture.cx.timers.now();

    let response = fixture.call(request("charges")).await;

    let elapsed = fixture.cx.timers.now().since(started_at);
    expect_that!(response.is_complete_response(), eq(true), "{response:?}");
    expect_that!(elapsed, le(Duration::from_secs(2)));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn heartbeats_prevent_the_idle_timeout_of_a_slow_response() {
    let fixture = Fixture::start(&[1]).await;
    let heartbeat = StreamAction::Frame(eelgrassramp::wire::Frame::Heartbeat);
    let mut script = vec![queued_frame(), started_frame()];
    for _ in 0..20 {
        script.push(StreamAction::Wait(Duration::from_millis(400)));
        script.push(heartbeat.clone());
    }
    script.extend([head_frame(), data_frame(0, BODY.len()), final_frame()]);
    fixture
        .link
        .state()
        .dispatch
        .push_back(StreamReply::Stream(script));

    let response = fixture.call(request("charges")).await;

    expect_that!(response.is_complete_response(), eq(true), "{response:?}");
    expect_that!(fixture.link.state().attached, is_empty());
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn duplicated_and_missing_frames_do_not_change_the_response() {
    let fixture = Fixture::start(&[1]).await;
    fixture.update_script(|state| {
        state.dispatch.push_back(StreamReply::Stream(vec![
            queued_frame(),
            queued_frame(),
            started_frame(),
            head_frame(),
            head_frame(),
            data_frame(0, 5),
            data_frame(0, 5),
            data_frame(2, 8),
            data_frame(12, 20),
        ]));
        state.attach.push_back(resume_from(4));
    });

    let response = fixture.call(request("charges")).await;

    expect_that!(response.is_complete_response(), eq(true), "{response:?}");
    expect_that!(fixture.link.state().attached[0].offset, eq(8));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_truncated_response_is_an_error() {
    let fixture = Fixture::start(&[1]).await;
    fixture.update_script(|state| {
        let interrupted = vec![
            queued_frame(),
            started_frame(),
            head_frame(),
            data_frame(0, 5),
            StreamAction::Break,
        ];
        state.dispatch.push_back(StreamReply::Stream(interrupted));
    });

    let response = fixture.call(request("charges")).await;

    expect_that!(
        response.kind(),
        some(eq(Kind::StreamBroken)),
        "{response:?}"
    );
    expect_that!(response.ran, eq(Ran::Maybe));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_restarted_sidecar_does_not_prove_the_outcome_in_its_previous_incarnation() {
    let fixture = Fixture::start(&[1, 2]).await;
    fixture.update_script(|state| {
        let interrupted = vec![queued_frame(), StreamAction::Break];
        state.dispatch.push_back(StreamReply::Stream(interrupted));
        let refused = vec![failed_frame(Kind::WrongIncarnation, Ran::No)];
        state.attach.push_back(StreamReply::Stream(refused));
    });

    let response = fixture.call(request("charges")).await;

    expect_that!(
        response.kind(),
        some(eq(Kind::OutcomeUnknown)),
        "{response:?}"
    );
    expect_that!(fixture.link.state().dispatched.len(), eq(1));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn outdated_state_is_refreshed_and_the_request_retried() {
    for kind in [
        Kind::WrongIncarnation,
        Kind::StaleMark,
        Kind::StaleTables,
        Kind::NotServed,
    ] {
        let fixture = Fixture::start(&[1, 2]).await;
        fixture.update_script(|state| {
            state
                .dispatch
                .push_back(StreamReply::Stream(vec![failed_frame(kind, Ran::No)]));
        });

        let response = fixture.call(request("charges")).await;

        expect_that!(
            response.is_complete_response(),
            eq(true),
            "{kind}: {response:?}"
        );
        expect_that!(fixture.link.state().dispatched.len(), eq(2));
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_failure_after_the_start_is_returned_at_once_without_a_retry() {
    let fixture = Fixture::start(&[1, 2]).await;
    let script = vec![
        queued_frame(),
        started_frame(),
        failed_frame(Kind::EndpointFailed, Ran::Maybe),
    ];
    fixture
        .link
        .state()
        .dispatch
        .push_back(StreamReply::Stream(script));
    let started_at = fixture.cx.timers.now();

    let response = fixture.call(request("charges")).await;

    expect_that!(
        response.kind(),
        some(eq(Kind::EndpointFailed)),
        "{response:?}"
    );
    expect_that!(response.ran, eq(Ran::Maybe));
    expect_that!(fixture.link.state().dispatched.len(), eq(1));
    expect_that!(fixture.cx.timers.now(), eq(started_at));
}
