//! Endpoint selection for single requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::EndpointName;
use eelgrassramp_direct::dispatcher::Dispatcher;
use eelgrassramp_direct::dispatcher::Grant;
use eelgrassramp_direct::dispatcher::Placement;
use eelgrassramp_direct::dispatcher::QueueEvent;
use eelgrassramp_direct::endpoint::Endpoint;
use eelgrassramp_direct::endpoint::EndpointKey;
use eelgrassramp_direct::endpoint::EndpointState;
use eelgrassramp_direct::endpoint_tracker::Outcome;
use googletest::prelude::*;

use super::fixture;
use super::fixture::at;
use super::fixture::granted;
use super::fixture::request;
use super::fixture::seqs;

const SLOTS: u32 = 2;

fn endpoint(name: &str, domain: &str, state: EndpointState) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        state,
        ..fixture::endpoint(name, domain, SLOTS)
    })
}

fn ready(name: &str) -> Arc<Endpoint> {
    endpoint(name, "a", EndpointState::Ready)
}

fn dispatcher(endpoints: &[Arc<Endpoint>]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("entry-1", "a");
    dispatcher.set_endpoints(at(0), endpoints);
    dispatcher
}

fn end(dispatcher: &mut Dispatcher, ms: u64, grant: &Grant, outcome: Outcome) {
    dispatcher.record_outcome(at(ms), &grant.endpoint, &grant.route, outcome);
}

const SERVED: Outcome = Outcome::Served { slowness: 1.0 };

#[gtest]
fn an_endpoint_gets_no_more_than_it_can_run() {
    let mut dispatcher = dispatcher(&[ready("a"), ready("b")]);

    let grants: Vec<_> = (0..6)
        .filter_map(|seq| granted(dispatcher.admit(at(0), request(seq, 2, 0))))
        .collect();

    expect_that!(grants.len(), eq(2 * SLOTS as usize));
    expect_that!(dispatcher.queued_total(), eq(2));
}

#[gtest]
fn the_most_urgent_route_has_an_extra_place_inside_each_endpoint() {
    let mut dispatcher = dispatcher(&[ready("a")]);
    for seq in 0..u64::from(SLOTS) {
        dispatcher.admit(at(0), request(seq, 2, 0));
    }

    dispatcher.admit(at(0), request(10, 1, 0));
    dispatcher.admit(at(0), request(11, 0, 0));
    let events = dispatcher.dispatch_queued(at(0));

    expect_that!(seqs(&events), elements_are![eq(&11)]);
    expect_that!(dispatcher.queued_total(), eq(1));
}

#[gtest]
fn work_that_other_entries_told_of_takes_places() {
    let mut dispatcher = dispatcher(&[ready("a")]);
    let others = HashMap::from([(EndpointKey::from(&EndpointName::from("a")), SLOTS)]);
    dispatcher.set_peer_load(at(0), 1, &others);

    dispatcher.admit(at(100), request(1, 2, 100));
    let while_fresh = dispatcher.dispatch_queued(at(900));
    let when_stale = dispatcher.dispatch_queued(at(1_100));

    expect_that!(seqs(&while_fresh), is_empty());
    expect_that!(seqs(&when_stale), elements_are![eq(&1)]);
}

#[gtest]
fn a_free_place_goes_to_the_most_urgent_that_waits() {
    let mut dispatcher = dispatcher(&[ready("a")]);
    let first = granted(dispatcher.admit(at(0), request(1, 2, 0))).expect("a place is free");
    dispatcher.admit(at(0), request(2, 2, 0));
    dispatcher.admit(at(1), request(3, 2, 1));
    dispatcher.admit(at(2), request(4, 1, 2));

    end(&mut dispatcher, 10, &first, SERVED);
    let events = dispatcher.dispatch_queued(at(10));

    expect_that!(seqs(&events), elements_are![eq(&4)]);
}

#[gtest]
fn a_draining_endpoint_gets_nothing_and_what_waited_goes_elsewhere() {
    let mut dispatcher = dispatcher(&[ready("a")]);
    let announced = [endpoint("a", "a", EndpointState::Draining), ready("b")];
    dispatcher.set_endpoints(at(0), &announced);

    let grant = granted(dispatcher.admit(at(0), request(1, 0, 0)));

    let name = grant.map(|g| g.endpoint.name.as_str().to_owned());
    expect_that!(name, some(eq("b")));
}

#[gtest]
fn an_endpoint_that_had_the_request_does_not_get_it_again() {
    let mut dispatcher = dispatcher(&[ready("a")]);
    let mut again = request(1, 0, 0);
    again.attempted.push(EndpointName::from("a"));

    let placement = dispatcher.admit(at(0), again);

    expect_that!(granted(placement).is_some(), eq(false));
}

#[gtest]
fn a_silent_endpoint_is_left_alone_and_then_tried_with_one_request() {
    let mut dispatcher = dispatcher(&[ready("a"), ready("b"), ready("c")]);
    let grants: Vec<_> = (0..6)
        .filter_map(|seq| granted(dispatcher.admit(at(0), request(seq, 2, 0))))
        .collect();
    for grant in &grants {
        let is_a = grant.endpoint.name.as_str() == "a";
        let outcome = if is_a { Outcome::TimedOut } else { SERVED };
        end(&mut dispatcher, 900, grant, outcome);
    }

    let soon = take_all(&mut dispatcher, 950, 10);
    dispatcher.tick(at(4_000));
    let later = take_all(&mut dispatcher, 4_000, 20);

    expect_that!(soon.get("a"), none());
    expect_that!(later.get("a"), some(eq(&1)));
}

/// Takes all slots that are free at `ms`, and returns how many each endpoint had.
fn take_all(dispatcher: &mut Dispatcher, ms: u64, seq: u64) -> HashMap<String, u32> {
    let mut taken = HashMap::new();
    let mut grants = Vec::new();
    for seq in seq..seq + 8 {
        let request = request(seq, 2, ms);
        match dispatcher.admit(at(ms), request.clone()) {
            Placement::Granted(grant) => grants.push(grant),
            Placement::Queued => dispatcher.remove_queued(&request),
            Placement::Refused(_) => {}
        }
    }
    for grant in grants {
        *taken
            .entry(grant.endpoint.name.as_str().to_owned())
            .or_insert(0) += 1;
        if grant.endpoint.name.as_str() != "a" {
            end(dispatcher, ms + 10, &grant, SERVED);
        }
    }
    taken
}

#[gtest]
fn an_endpoint_that_sends_nothing_while_it_has_work_gets_no_more() {
    let mut dispatcher = dispatcher(&[ready("a"), ready("b"), ready("c")]);
    let first = granted(dispatcher.admit(at(0), request(1, 2, 0))).expect("places are free");

    let names: Vec<String> = (2..6)
        .filter_map(|seq| granted(dispatcher.admit(at(1_000), request(seq, 2, 1_000))))
        .map(|grant| grant.endpoint.name.as_str().to_owned())
        .collect();

    expect_that!(names.len(), eq(4));
    expect_that!(names, not(contains(eq(first.endpoint.name.as_str()))));
}

#[gtest]
fn endpoints_are_used_when_all_are_suspected() {
    let mut dispatcher = dispatcher(&[ready("a"), ready("b")]);
    for seq in 0..4 {
        let grant = granted(dispatcher.admit(at(0), request(seq, 2, 0))).expect("places are free");
        end(&mut dispatcher, 10, &grant, Outcome::Failed);
    }

    let grant = granted(dispatcher.admit(at(20), request(9, 2, 20)));

    expect_that!(grant.is_some(), eq(true));
}

#[gtest]
fn a_faster_endpoint_goes_first() {
    let mut dispatcher = dispatcher(&[ready("a"), ready("b")]);
    for round in 0..40 {
        for seq in 0..4 {
            let request = request(round * 10 + seq, 2, round * 100);
            let grant =
                granted(dispatcher.admit(at(round * 100), request)).expect("places are free");
            let slowness = if grant.endpoint.name.as_str() == "b" {
                0.5
            } else {
                2.0
            };
            end(
                &mut dispatcher,
                round * 100 + 50,
                &grant,
                Outcome::Served { slowness },
            );
        }
    }

    let grant = granted(dispatcher.admit(at(9_000), request(999, 2, 9_000)));

    let name = grant.map(|g| g.endpoint.name.as_str().to_owned());
    expect_that!(name, some(eq("b")));
}

#[gtest]
fn a_request_that_waited_too_long_is_refused_with_a_time_to_come_back() {
    let mut dispatcher = dispatcher(&[]);
    dispatcher.admit(at(0), request(1, 0, 0));

    let events = dispatcher.dispatch_queued(at(2_000));

    expect_that!(events.len(), eq(1));
    let QueueEvent::Expired(seq, wait) = &events[0] else {
        panic!("the request was granted")
    };
    expect_that!(*seq, eq(1));
    expect_that!(*wait, ge(Duration::from_millis(300)));
}

#[gtest]
fn an_incarnation_at_a_new_address_starts_afresh() {
    let mut dispatcher = dispatcher(&[ready("a")]);
    let old = granted(dispatcher.admit(at(0), request(1, 2, 0))).expect("a place is free");
    let mut moved = (*ready("a")).clone();
    moved.started_ms = Some(2);
    dispatcher.set_endpoints(at(0), &[Arc::new(moved)]);

    end(&mut dispatcher, 10, &old, Outcome::TimedOut);
    let grants = (2..5).filter_map(|seq| granted(dispatcher.admit(at(20), request(seq, 2, 20))));

    expect_that!(grants.count(), eq(SLOTS as usize));
}

/// Traffic between failure domains is expensive, and entries of one domain learn of each other's
/// load soonest.
#[gtest]
fn endpoints_of_the_own_failure_domain_come_first_and_others_take_the_rest() {
    let own = (0..6).map(|n| endpoint(&format!("own-{n}"), "a", EndpointState::Ready));
    let far = (0..6).map(|n| endpoint(&format!("far-{n}"), "b", EndpointState::Ready));
    let endpoints: Vec<_> = own.chain(far).collect();
    let mut dispatcher = dispatcher(&endpoints);
    dispatcher.set_peer_load(at(0), 11, &HashMap::new());

    let places = u64::from(SLOTS) * 6;
    let names: Vec<_> = (0..places + 6)
        .filter_map(|seq| granted(dispatcher.admit(at(0), request(seq, 2, 0))))
        .map(|grant| grant.endpoint.name.as_str().to_owned())
        .collect();

    let (first, rest) = names.split_at(6 * SLOTS as usize);
    expect_that!(first, each(starts_with("own-")));
    // An endpoint that is not assigned to this entry must have both slots free.
    expect_that!(rest, each(starts_with("far-")));
    expect_that!(rest.len(), eq(6));
}
