//! Idempotency keys at the entry.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Context;
use eelgrassramp::EndpointName;
use eelgrassramp::Kind;
use eelgrassramp::Ran;
use eelgrassramp::RequestId;
use eelgrassramp::TableVersion;
use eelgrassramp::entry::CallerRequest;
use eelgrassramp::key;
use eelgrassramp::key::Key;
use eelgrassramp::tables::FormerMembers;
use eelgrassramp::tables::Tables;
use eelgrassramp::wire::CloseKeyReply;
use googletest::prelude::*;

use crate::fixture::Fixture;
use crate::fixture::MessageReply;
use crate::fixture::StreamAction;
use crate::fixture::StreamReply;
use crate::fixture::complete_stream;
use crate::fixture::endpoint;
use crate::fixture::failed_frame;
use crate::fixture::request;
use crate::fixture::sidecar;
use crate::fixture::tables;
use crate::fixture::with_header;

const KEY: &str = "basket-17";

fn request_with_key(body: &'static str) -> CallerRequest {
    let mut req = with_header(request("charges"), "idempotency-key", KEY);
    req.body = body.into();
    req
}

fn home_port(ports: &[u16]) -> u16 {
    let names: Vec<EndpointName> = ports.iter().map(|p| endpoint(*p).name.clone()).collect();
    let id = Key::new(&"anonymous".into(), KEY).unwrap().id;
    let home = key::home_endpoint(id, &names).unwrap();
    ports
        .iter()
        .copied()
        .find(|p| endpoint(*p).name == *home)
        .unwrap()
}

/// Tables from whose pool the endpoint at port `removed` was removed just now.
fn tables_with_removed_endpoint(ports: &[u16], removed: u16) -> Tables {
    let mut tables = tables(ports);
    let pool = Arc::make_mut(tables.pools.get_mut("cards").unwrap());
    let members_before = ports.iter().chain([&removed]);
    pool.former.push(FormerMembers {
        until: Context::QUIET_START,
        sidecars: members_before
            .map(|p| (endpoint(*p).name.clone(), sidecar(*p)))
            .collect::<BTreeMap<_, _>>(),
    });
    tables
}

/// Ports of four endpoints, ordered so that the home of the key is the last.
fn ports_with_last_as_home() -> Vec<u16> {
    let mut ports = vec![1, 2, 3, 4];
    let home = home_port(&ports);
    ports.retain(|p| *p != home);
    ports.push(home);
    ports
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_key_has_the_same_home_endpoint_at_every_entry() {
    let ports = [1, 2, 3];
    let first = Fixture::start(&ports).await;
    let second = Fixture::start(&ports).await;

    for fixture in [&first, &second] {
        let response = fixture.call(request_with_key("{}")).await;

        expect_that!(response.is_complete_response(), eq(true), "{response:?}");
        let state = fixture.link.state();
        expect_that!(state.dispatched[0].0, eq(sidecar(home_port(&ports))));
        expect_that!(state.dispatched[0].1.key, some(anything()));
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_key_in_progress_is_not_dispatched_twice() {
    let fixture = Fixture::start(&[1]).await;
    let mut slow_stream = vec![StreamAction::Wait(Duration::from_millis(900))];
    slow_stream.extend(complete_stream());
    fixture
        .link
        .state()
        .dispatch
        .push_back(StreamReply::Stream(slow_stream));

    let (first, same, other) = tokio::join!(
        fixture.call(request_with_key("{}")),
        fixture.call(request_with_key("{}")),
        fixture.call(request_with_key("{\"other\":1}")),
    );

    expect_that!(first.is_complete_response(), eq(true), "{first:?}");
    expect_that!(same.kind(), some(eq(Kind::KeyInProgress)));
    expect_that!(other.kind(), some(eq(Kind::KeyReused)));
    expect_that!(fixture.link.state().dispatched.len(), eq(1));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_former_home_closes_the_key_before_the_request_is_dispatched() {
    let ports = ports_with_last_as_home();
    let removed = ports[3];
    let fixture = Fixture::with_tables(tables_with_removed_endpoint(&ports[..3], removed)).await;

    let response = fixture.call(request_with_key("{}")).await;

    expect_that!(response.is_complete_response(), eq(true), "{response:?}");
    let state = fixture.link.state();
    expect_that!(state.claimed, elements_are![eq(&sidecar(removed))]);
    let dispatch = &state.dispatched[0].1;
    expect_that!(dispatch.former_homes_closed, some(eq(TableVersion(1))));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_former_home_without_a_definite_reply_makes_the_outcome_unknown() {
    let replies = [
        MessageReply::Message(CloseKeyReply::Unknown),
        MessageReply::Broken,
        MessageReply::Hang,
    ];
    for reply in replies {
        let ports = ports_with_last_as_home();
        let fixture =
            Fixture::with_tables(tables_with_removed_endpoint(&ports[..3], ports[3])).await;
        fixture.link.state().claim.push_back(reply);

        let response = fixture.call(request_with_key("{}")).await;

        expect_that!(response.kind(), some(eq(Kind::OutcomeUnknown)), "{reply:?}");
        expect_that!(response.ran, eq(Ran::Maybe));
        expect_that!(fixture.link.state().dispatched, is_empty());
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_key_created_after_the_change_skips_former_homes() {
    let ports = ports_with_last_as_home();
    let fixture = Fixture::with_tables(tables_with_removed_endpoint(&ports[..3], ports[3])).await;
    let created_ms = Context::QUIET_START.as_millisecond() + 3_600_000;
    let uuid = format!("{created_ms:012x}7000800000000000beef");
    let req = with_header(request("charges"), "idempotency-key", &uuid);

    let response = fixture.call(req).await;

    expect_that!(response.is_complete_response(), eq(true), "{response:?}");
    expect_that!(fixture.link.state().claimed, is_empty());
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_key_that_its_home_did_not_check_may_have_run_before() {
    let cases = [
        (StreamReply::NotSent, Ran::Maybe),
        (
            StreamReply::Stream(vec![failed_frame(Kind::StaleMark, Ran::No)]),
            Ran::Maybe,
        ),
        (
            StreamReply::Stream(vec![failed_frame(Kind::NotServed, Ran::No)]),
            Ran::Maybe,
        ),
        (
            StreamReply::Stream(vec![failed_frame(Kind::Draining, Ran::No)]),
            Ran::No,
        ),
        (
            StreamReply::Stream(vec![failed_frame(Kind::KeyReused, Ran::No)]),
            Ran::No,
        ),
    ];
    for (script, ran) in cases {
        let fixture = Fixture::start(&[1, 2]).await;
        fixture.update_script(|state| state.dispatch.extend(vec![script.clone(); 30]));

        let response = fixture.call(request_with_key("{}")).await;

        expect_that!(response.status, ge(400), "{script:?}");
        expect_that!(response.ran, eq(ran), "{script:?}: {response:?}");
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_key_used_at_a_removed_former_home_may_have_run() {
    let ports = ports_with_last_as_home();
    let fixture = Fixture::with_tables(tables_with_removed_endpoint(&ports[..3], ports[3])).await;
    let used = CloseKeyReply::Used(RequestId::from_bits(5));
    fixture.update_script(|state| state.claim.push_back(MessageReply::Message(used)));

    let response = fixture.call(request_with_key("{}")).await;

    expect_that!(response.status, ge(400), "{response:?}");
    expect_that!(response.ran, eq(Ran::Maybe));
    expect_that!(fixture.link.state().dispatched, is_empty());
}

#[googletest::test]
fn adding_or_removing_an_endpoint_moves_only_its_own_keys() {
    let names: Vec<EndpointName> = (0..20).map(|p| endpoint(p).name.clone()).collect();
    let (kept, removed) = (&names[..19], &names[19]);

    for i in 0..2_000 {
        let id = RequestId::from_bits(i * 0x9e37_79b9_7f4a_7c15);
        let home_before = key::home_endpoint(id, &names);
        let home_after = key::home_endpoint(id, kept);

        if home_before != Some(removed) {
            expect_that!(home_after, eq(home_before));
        }
    }
}
