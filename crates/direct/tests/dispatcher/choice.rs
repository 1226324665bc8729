//! Endpoint selection for single requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::EndpointName;
use eelgrassramp_direct::dispatcher::Dispatcher;
use eelgrassramp_direct::dispatcher::Grant;
use eelgrassramp_direct::dispatcher::QueueEvent;
use eelgrassramp_direct::dispatcher::SubmitResult;
use eelgrassramp_direct::endpoint::Endpoint;
use eelgrassramp_direct::endpoint::EndpointKey;
use eelgrassramp_direct::endpoint::EndpointState;
use eelgrassramp_direct::endpoint_tracker::DispatchEnd;
use googletest::prelude::*;

use super::fixture;
use super::fixture::at;
use super::fixture::granted;
use super::fixture::granted_seqs;
use super::fixture::request;

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

fn finish(dispatcher: &mut Dispatcher, ms: u64, grant: &Grant, end: DispatchEnd) {
    dispatcher.record_outcome(at(ms), &grant.endpoint, &grant.route, end);
}

const SERVED: DispatchEnd = DispatchEnd::Served { slowness: 1.0 };

#[gtest]
fn endpoints_receive_no_more_than_their_concurrency_limit() {
    let mut dispatcher = dispatcher(&[ready("a"), ready("b")]);

    let grants: Vec<_> = (0..6)
        .filter_map(|seq| granted(dispatcher.submit(at(0), request(seq, 2, 0))))
        .collect();

    expect_that!(grants.len(), eq(2 * SLOTS as usize));
    expect_that!(dispatcher.queued_total(), eq(2));
}

#[gtest]
fn highest_priority_route_may_exceed_concurrency_limit_by_one() {
    let mut dispatcher = dispatcher(&[ready("a")]);
    for seq in 0..u64::from(SLOTS) {
        dispatcher.submit(at(0), request(seq, 2, 0));
    }

    dispatcher.submit(at(0), request(10, 1, 0));
    dispatcher.submit(at(0), request(11, 0, 0));
    let events = dispatcher.dispatch_queued(at(0));

    expect_that!(granted_seqs(&events), elements_are![eq(&11)]);
    expect_that!(dispatcher.queued_total(), eq(1));
}

#[gtest]
fn fresh_peer_load_occupies_slots() {
    let mut dispatcher = dispatcher(&[ready("a")]);
    let peer_load = HashMap::from([(EndpointKey::from(&EndpointName::from("a")), SLOTS)]);
    dispatcher.set_peer_load(at(0), 1, &peer_load);

    dispatcher.submit(at(100), request(1, 2, 100));
    let while_fresh = dispatcher.dispatch_queued(at(900));
    let when_stale = dispatcher.dispatch_queued(at(1_100));

    expect_that!(granted_seqs(&while_fresh), is_empty());
    expect_that!(granted_seqs(&when_stale), elements_are![eq(&1)]);
}

#[gtest]
fn free_slot_goes_to_highest_priority_request() {
    let mut dispatcher = dispatcher(&[ready("a")]);
    let first = granted(dispatcher.submit(at(0), request(1, 2, 0))).expect("a slot is free");
    dispatcher.submit(at(0), request(2, 2, 0));
    dispatcher.submit(at(1), request(3, 2, 1));
    dispatcher.submit(at(2), request(4, 1, 2));

    finish(&mut dispatcher, 10, &first, SERVED);
    let events = dispatcher.dispatch_queued(at(10));

    expect_that!(granted_seqs(&events), elements_are![eq(&4)]);
}

#[gtest]
fn draining_endpoint_receives_no_requests() {
    let mut dispatcher = dispatcher(&[ready("a")]);
    let announced = [endpoint("a", "a", EndpointState::Draining), ready("b")];
    dispatcher.set_endpoints(at(0), &announced);

    let grant = granted(dispatcher.submit(at(0), request(1, 0, 0)));

    let name = grant.map(|g| g.endpoint.name.as_str().to_owned());
    expect_that!(name, some(eq("b")));
}

#[gtest]
fn request_is_not_sent_to_same_endpoint_twice() {
    let mut dispatcher = dispatcher(&[ready("a")]);
    let mut retry = request(1, 0, 0);
    retry.attempted.push(EndpointName::from("a"));

    let placement = dispatcher.submit(at(0), retry);

    expect_that!(granted(placement).is_some(), eq(false));
}

#[gtest]
fn unresponsive_endpoint_is_ejected_then_probed_with_one_request() {
    let mut dispatcher = dispatcher(&[ready("a"), ready("b"), ready("c")]);
    let grants: Vec<_> = (0..6)
        .filter_map(|seq| granted(dispatcher.submit(at(0), request(seq, 2, 0))))
        .collect();
    for grant in &grants {
        let is_a = grant.endpoint.name.as_str() == "a";
        let end = if is_a { DispatchEnd::TimedOut } else { SERVED };
        finish(&mut dispatcher, 900, grant, end);
    }

    let during_ejection = take_free_slots(&mut dispatcher, 950, 10);
    dispatcher.tick(at(4_000));
    let after_ejection = take_free_slots(&mut dispatcher, 4_000, 20);

    expect_that!(during_ejection.get("a"), none());
    expect_that!(after_ejection.get("a"), some(eq(&1)));
}

/// Takes all slots that are free at `ms`, and returns how many each endpoint had.
fn take_free_slots(dispatcher: &mut Dispatcher, ms: u64, seq: u64) -> HashMap<String, u32> {
    let mut taken = HashMap::new();
    let mut grants = Vec::new();
    for seq in seq..seq + 8 {
        let request = request(seq, 2, ms);
        match dispatcher.submit(at(ms), request.clone()) {
            SubmitResult::Granted(grant) => grants.push(grant),
            SubmitResult::Queued => dispatcher.remove_queued(&request),
            SubmitResult::Refused(_) => {}
        }
    }
    for grant in grants {
        *taken
            .entry(grant.endpoint.name.as_str().to_owned())
            .or_insert(0) += 1;
        if grant.endpoint.name.as_str() != "a" {
            finish(dispatcher, ms + 10, &grant, SERVED);
        }
    }
    taken
}

#[gtest]
fn stalled_endpoint_receives_no_more_requests() {
    let mut dispatcher = dispatcher(&[ready("a"), ready("b"), ready("c")]);
    let first = granted(dispatcher.submit(at(0), request(1, 2, 0))).expect("slots are free");

    let names: Vec<String> = (2..6)
        .filter_map(|seq| granted(dispatcher.submit(at(1_000), request(seq, 2, 1_000))))
        .map(|grant| grant.endpoint.name.as_str().to_owned())
        .collect();

    expect_that!(names.len(), eq(4));
    expect_that!(names, not(contains(eq(first.endpoint.name.as_str()))));
}

#[gtest]
fn endpoints_are_used_when_all_have_failed() {
    let mut dispatcher = dispatcher(&[ready("a"), ready("b")]);
    for seq in 0..4 {
        let grant = granted(dispatcher.submit(at(0), request(seq, 2, 0))).expect("slots are free");
        finish(&mut dispatcher, 10, &grant, DispatchEnd::Failed);
    }

    let grant = granted(dispatcher.submit(at(20), request(9, 2, 20)));

    expect_that!(grant.is_some(), eq(true));
}

#[gtest]
fn faster_endpoint_is_preferred() {
    let mut dispatcher = dispatcher(&[ready("a"), ready("b")]);
    for round in 0..40 {
        for seq in 0..4 {
            let request = request(round * 10 + seq, 2, round * 100);
            let grant =
                granted(dispatcher.submit(at(round * 100), request)).expect("slots are free");
            let slowness = if grant.endpoint.name.as_str() == "b" {
                0.5
            } else {
                2.0
            };
            finish(
                &mut dispatcher,
                round * 100 + 50,
                &grant,
                DispatchEnd::Served { slowness },
            );
        }
    }

    let grant = granted(dispatcher.submit(at(9_000), request(999, 2, 9_000)));

    let name = grant.map(|g| g.endpoint.name.as_str().to_owned());
    expect_that!(name, some(eq("b")));
}

#[gtest]
fn expired_request_is_refused_with_retry_delay() {
    let mut dispatcher = dispatcher(&[]);
    dispatcher.submit(at(0), request(1, 0, 0));

    let events = dispatcher.dispatch_queued(at(2_000));

    expect_that!(events.len(), eq(1));
    let QueueEvent::Refused(seq, wait) = &events[0] else {
        panic!("the request was granted")
    };
    expect_that!(*seq, eq(1));
    expect_that!(*wait, ge(Duration::from_millis(300)));
}

#[gtest]
fn new_incarnation_does_not_inherit_state() {
    let mut dispatcher = dispatcher(&[ready("a")]);
    let old = granted(dispatcher.submit(at(0), request(1, 2, 0))).expect("a slot is free");
    let mut restarted = (*ready("a")).clone();
    restarted.started_ms = Some(2);
    dispatcher.set_endpoints(at(0), &[Arc::new(restarted)]);

    finish(&mut dispatcher, 10, &old, DispatchEnd::TimedOut);
    let grants = (2..5).filter_map(|seq| granted(dispatcher.submit(at(20), request(seq, 2, 20))));

    expect_that!(grants.count(), eq(SLOTS as usize));
}

/// Traffic between failure domains is expensive, and entries of one domain learn of each other's
/// load soonest.
#[gtest]
fn own_failure_domain_is_preferred_over_others() {
    let own = (0..6).map(|n| endpoint(&format!("own-{n}"), "a", EndpointState::Ready));
    let far = (0..6).map(|n| endpoint(&format!("far-{n}"), "b", EndpointState::Ready));
    let endpoints: Vec<_> = own.chain(far).collect();
    let mut dispatcher = dispatcher(&endpoints);
    dispatcher.set_peer_load(at(0), 11, &HashMap::new());

    let own_slots = u64::from(SLOTS) * 6;
    let names: Vec<_> = (0..own_slots + 6)
        .filter_map(|seq| granted(dispatcher.submit(at(0), request(seq, 2, 0))))
        .map(|grant| grant.endpoint.name.as_str().to_owned())
        .collect();

    let (first, rest) = names.split_at(6 * SLOTS as usize);
    expect_that!(first, each(starts_with("own-")));
    // An endpoint that is not among this entry's preferred ones must have both slots free.
    expect_that!(rest, each(starts_with("far-")));
    expect_that!(rest.len(), eq(6));
}
