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

use crate::fixture::Act;
use crate::fixture::Fixture;
use crate::fixture::Reply;
use crate::fixture::Script;
use crate::fixture::endpoint;
use crate::fixture::failed;
use crate::fixture::request;
use crate::fixture::sidecar;
use crate::fixture::tables;
use crate::fixture::whole;
use crate::fixture::with_header;

const KEY: &str = "basket-17";

fn keyed(body: &'static str) -> CallerRequest {
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

/// Tables whose pool had an endpoint at `gone` until just now.
fn tables_without(ports: &[u16], gone: u16) -> Tables {
    let mut tables = tables(ports);
    let pool = Arc::make_mut(tables.pools.get_mut("cards").unwrap());
    let before = ports.iter().chain([&gone]);
    pool.former.push(FormerMembers {
        until: Context::QUIET_START,
        sidecars: before
            .map(|p| (endpoint(*p).name.clone(), sidecar(*p)))
            .collect::<BTreeMap<_, _>>(),
    });
    tables
}

/// Ports of which the last one is the home of the key.
fn ports_with_last_as_home() -> Vec<u16> {
    let mut ports = vec![1, 2, 3, 4];
    let home = home_port(&ports);
    ports.retain(|p| *p != home);
    ports.push(home);
    ports
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_key_goes_to_the_same_endpoint_from_every_entry() {
    let ports = [1, 2, 3];
    let first = Fixture::start(&ports).await;
    let second = Fixture::start(&ports).await;

    for fixture in [&first, &second] {
        let got = fixture.call(keyed("{}")).await;

        expect_that!(got.is_answer(), eq(true), "{got:?}");
        let state = fixture.link.state();
        expect_that!(state.dispatched[0].0, eq(sidecar(home_port(&ports))));
        expect_that!(state.dispatched[0].1.key, some(anything()));
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_key_in_progress_is_not_dispatched_twice() {
    let fixture = Fixture::start(&[1]).await;
    let mut slow = vec![Act::Wait(Duration::from_millis(900))];
    slow.extend(whole());
    fixture
        .link
        .state()
        .dispatch
        .push_back(Script::Stream(slow));

    let (first, same, other) = tokio::join!(
        fixture.call(keyed("{}")),
        fixture.call(keyed("{}")),
        fixture.call(keyed("{\"other\":1}")),
    );

    expect_that!(first.is_answer(), eq(true), "{first:?}");
    expect_that!(same.kind(), some(eq(Kind::KeyInProgress)));
    expect_that!(other.kind(), some(eq(Kind::KeyReused)));
    expect_that!(fixture.link.state().dispatched.len(), eq(1));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_former_home_closes_the_key_before_the_new_home_is_asked() {
    let ports = ports_with_last_as_home();
    let gone = ports[3];
    let fixture = Fixture::with_tables(tables_without(&ports[..3], gone)).await;

    let got = fixture.call(keyed("{}")).await;

    expect_that!(got.is_answer(), eq(true), "{got:?}");
    let state = fixture.link.state();
    expect_that!(state.claimed, elements_are![eq(&sidecar(gone))]);
    let dispatch = &state.dispatched[0].1;
    expect_that!(dispatch.former_homes_closed, some(eq(TableVersion(1))));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_former_home_that_cannot_tell_makes_the_outcome_unknown() {
    let replies = [
        Reply::Gives(CloseKeyReply::Unknown),
        Reply::Broken,
        Reply::Silence,
    ];
    for reply in replies {
        let ports = ports_with_last_as_home();
        let fixture = Fixture::with_tables(tables_without(&ports[..3], ports[3])).await;
        fixture.link.state().claim.push_back(reply);

        let got = fixture.call(keyed("{}")).await;

        expect_that!(got.kind(), some(eq(Kind::OutcomeUnknown)), "{reply:?}");
        expect_that!(got.ran, eq(Ran::Maybe));
        expect_that!(fixture.link.state().dispatched, is_empty());
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_key_made_after_the_change_needs_no_former_home() {
    let ports = ports_with_last_as_home();
    let fixture = Fixture::with_tables(tables_without(&ports[..3], ports[3])).await;
    let made = Context::QUIET_START.as_millisecond() + 3_600_000;
    let uuid = format!("{made:012x}7000800000000000beef");
    let req = with_header(request("charges"), "idempotency-key", &uuid);

    let got = fixture.call(req).await;

    expect_that!(got.is_answer(), eq(true), "{got:?}");
    expect_that!(fixture.link.state().claimed, is_empty());
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_key_that_its_home_was_not_asked_about_may_have_run_before() {
    let cases = [
        (Script::NotSent, Ran::Maybe),
        (
            Script::Stream(vec![failed(Kind::StaleMark, Ran::No)]),
            Ran::Maybe,
        ),
        (
            Script::Stream(vec![failed(Kind::NotServed, Ran::No)]),
            Ran::Maybe,
        ),
        (
            Script::Stream(vec![failed(Kind::Draining, Ran::No)]),
            Ran::No,
        ),
        (
            Script::Stream(vec![failed(Kind::KeyReused, Ran::No)]),
            Ran::No,
        ),
    ];
    for (script, ran) in cases {
        let fixture = Fixture::start(&[1, 2]).await;
        fixture.set_up(|state| state.dispatch.extend(vec![script.clone(); 30]));

        let got = fixture.call(keyed("{}")).await;

        expect_that!(got.status, ge(400), "{script:?}");
        expect_that!(got.ran, eq(ran), "{script:?}: {got:?}");
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_key_used_at_a_former_home_that_is_gone_may_have_run() {
    let ports = ports_with_last_as_home();
    let fixture = Fixture::with_tables(tables_without(&ports[..3], ports[3])).await;
    let used = CloseKeyReply::Used(RequestId::from_bits(5));
    fixture.set_up(|state| state.claim.push_back(Reply::Gives(used)));

    let got = fixture.call(keyed("{}")).await;

    expect_that!(got.status, ge(400), "{got:?}");
    expect_that!(got.ran, eq(Ran::Maybe));
    expect_that!(fixture.link.state().dispatched, is_empty());
}

#[googletest::test]
fn a_home_moves_only_for_keys_of_the_endpoint_that_came_or_went() {
    let names: Vec<EndpointName> = (0..20).map(|p| endpoint(p).name.clone()).collect();
    let (kept, gone) = (&names[..19], &names[19]);

    for i in 0..2_000 {
        let id = RequestId::from_bits(i * 0x9e37_79b9_7f4a_7c15);
        let before = key::home_endpoint(id, &names);
        let after = key::home_endpoint(id, kept);

        if before != Some(gone) {
            expect_that!(after, eq(before));
        }
    }
}
