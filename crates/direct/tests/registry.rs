//! Tests of the set of known endpoints during and after a registry outage.

use std::time::Duration;

use eelgrassramp::DomainName;
use eelgrassramp::EndpointName;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::VersionName;
use eelgrassramp_direct::endpoint::Endpoint;
use eelgrassramp_direct::endpoint::EndpointState;
use eelgrassramp_direct::registry::KnownEndpoints;
use eelgrassramp_direct::registry::Outage;
use googletest::prelude::*;

fn endpoint(name: &str, state: EndpointState) -> Endpoint {
    Endpoint {
        name: EndpointName::from(name),
        started_ms: Some(1),
        pool: PoolName::from("drafts"),
        address: "10.0.0.1:80".parse().expect("the address is valid"),
        domain: DomainName::from("a"),
        version: VersionName::from("v1"),
        slots: 4,
        state,
        cold: None,
    }
}

fn outage(ended_ms: u64, lasted_ms: u64) -> Outage {
    Outage {
        ended_at: Monotonic::from_millis(ended_ms),
        lasted: Duration::from_millis(lasted_ms),
    }
}

fn names(known: &KnownEndpoints) -> Vec<String> {
    let endpoints = known.endpoints();
    endpoints
        .iter()
        .map(|e| e.name.as_str().to_owned())
        .collect()
}

fn known_with_two_endpoints(second_state: EndpointState) -> KnownEndpoints {
    let mut known = KnownEndpoints::default();
    let announced = [
        endpoint("a", EndpointState::Ready),
        endpoint("b", second_state),
    ];
    known.update(Monotonic::ZERO, announced, None);
    known
}

#[gtest]
fn an_endpoint_missing_without_an_outage_is_removed_immediately() {
    let mut known = known_with_two_endpoints(EndpointState::Ready);

    let remaining = [endpoint("a", EndpointState::Ready)];
    known.update(Monotonic::from_millis(5_000), remaining, None);

    expect_that!(names(&known), elements_are![eq("a")]);
}

#[gtest]
fn an_endpoint_missing_after_an_outage_is_kept_for_the_grace_period() {
    let mut known = known_with_two_endpoints(EndpointState::Ready);

    known.update(
        Monotonic::from_millis(9_010),
        [],
        Some(outage(9_000, 5_000)),
    );

    expect_that!(names(&known), elements_are![eq("a"), eq("b")]);
    expect_that!(known.expire(Monotonic::from_millis(10_990)), eq(false));
    expect_that!(known.expire(Monotonic::from_millis(11_000)), eq(true));
    expect_that!(names(&known), is_empty());
}

#[gtest]
fn a_short_outage_has_no_grace_period() {
    let mut known = known_with_two_endpoints(EndpointState::Ready);

    known.update(
        Monotonic::from_millis(9_010),
        [],
        Some(outage(9_000, 1_000)),
    );

    expect_that!(names(&known), is_empty());
}

#[gtest]
fn a_draining_endpoint_missing_after_an_outage_is_removed() {
    let mut known = known_with_two_endpoints(EndpointState::Draining);

    known.update(
        Monotonic::from_millis(9_010),
        [],
        Some(outage(9_000, 5_000)),
    );

    expect_that!(names(&known), elements_are![eq("a")]);
}

#[gtest]
fn an_endpoint_announced_again_is_listed_once() {
    let mut known = known_with_two_endpoints(EndpointState::Ready);
    known.update(
        Monotonic::from_millis(9_010),
        [],
        Some(outage(9_000, 5_000)),
    );

    let reannounced = [endpoint("a", EndpointState::Draining)];
    known.update(
        Monotonic::from_millis(9_500),
        reannounced,
        Some(outage(9_000, 5_000)),
    );

    let endpoints = known.endpoints();
    expect_that!(names(&known), elements_are![eq("a"), eq("b")]);
    expect_that!(endpoints[0].state, eq(EndpointState::Draining));
}
