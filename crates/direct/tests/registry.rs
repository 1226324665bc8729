//! Which endpoints are in use around an outage of the registry.

use std::time::Duration;

use eelgrassramp::DomainName;
use eelgrassramp::EndpointName;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::VersionName;
use eelgrassramp_direct::endpoint::Endpoint;
use eelgrassramp_direct::endpoint::EndpointState;
use eelgrassramp_direct::registry::Outage;
use eelgrassramp_direct::registry::Registry;
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

fn names(registry: &Registry) -> Vec<String> {
    let endpoints = registry.endpoints();
    endpoints
        .iter()
        .map(|e| e.name.as_str().to_owned())
        .collect()
}

fn with_two(state_of_second: EndpointState) -> Registry {
    let mut registry = Registry::default();
    let both = [
        endpoint("a", EndpointState::Ready),
        endpoint("b", state_of_second),
    ];
    registry.update(Monotonic::ZERO, both, None);
    registry
}

#[gtest]
fn an_endpoint_that_is_missing_in_calm_times_is_gone_at_once() {
    let mut registry = with_two(EndpointState::Ready);

    let only = [endpoint("a", EndpointState::Ready)];
    registry.update(Monotonic::from_millis(5_000), only, None);

    expect_that!(names(&registry), elements_are![eq("a")]);
}

#[gtest]
fn an_endpoint_whose_announcement_lapsed_is_kept_for_a_while() {
    let mut registry = with_two(EndpointState::Ready);

    registry.update(
        Monotonic::from_millis(9_010),
        [],
        Some(outage(9_000, 5_000)),
    );

    expect_that!(names(&registry), elements_are![eq("a"), eq("b")]);
    expect_that!(registry.expire(Monotonic::from_millis(10_990)), eq(false));
    expect_that!(registry.expire(Monotonic::from_millis(11_000)), eq(true));
    expect_that!(names(&registry), is_empty());
}

#[gtest]
fn a_short_outage_lets_nothing_lapse() {
    let mut registry = with_two(EndpointState::Ready);

    registry.update(
        Monotonic::from_millis(9_010),
        [],
        Some(outage(9_000, 1_000)),
    );

    expect_that!(names(&registry), is_empty());
}

#[gtest]
fn a_draining_endpoint_that_is_missing_after_an_outage_is_gone() {
    let mut registry = with_two(EndpointState::Draining);

    registry.update(
        Monotonic::from_millis(9_010),
        [],
        Some(outage(9_000, 5_000)),
    );

    expect_that!(names(&registry), elements_are![eq("a")]);
}

#[gtest]
fn an_endpoint_that_comes_back_is_known_once() {
    let mut registry = with_two(EndpointState::Ready);
    registry.update(
        Monotonic::from_millis(9_010),
        [],
        Some(outage(9_000, 5_000)),
    );

    let back = [endpoint("a", EndpointState::Draining)];
    registry.update(
        Monotonic::from_millis(9_500),
        back,
        Some(outage(9_000, 5_000)),
    );

    let endpoints = registry.endpoints();
    expect_that!(names(&registry), elements_are![eq("a"), eq("b")]);
    expect_that!(endpoints[0].state, eq(EndpointState::Draining));
}
