//! Versions whose order was replaced or deleted while their endpoints still run.

use std::sync::Arc;

use eelgrassramp::RouteName;
use eelgrassramp::VersionName;
use eelgrassramp_direct::dispatcher::DispatchRequest;
use eelgrassramp_direct::dispatcher::Dispatcher;
use eelgrassramp_direct::dispatcher::Grant;
use eelgrassramp_direct::endpoint::Endpoint;
use eelgrassramp_direct::endpoint_tracker::DispatchEnd;
use eelgrassramp_direct::rollout::RolloutOrder;
use eelgrassramp_direct::rollout::RolloutOutcome;
use googletest::prelude::*;

use super::fixture::EXPOSURE;
use super::fixture::at;
use super::fixture::endpoint;
use super::fixture::granted;
use super::fixture::request;
use super::fixture::rollout_order;

/// Requests of which some reach each endpoint that is in use.
const REQUESTS: u64 = 40;

fn endpoint_of(version: &str) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        version: VersionName::from(version),
        ..endpoint(version, "a", 100)
    })
}

/// Creates a dispatcher with one endpoint of each version.
fn dispatcher(versions: &[&str]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("entry-1", "a");
    let endpoints: Vec<_> = versions
        .iter()
        .map(|version| endpoint_of(version))
        .collect();
    dispatcher.set_endpoints(at(0), &endpoints);
    dispatcher
}

fn rolled_back(version: &str) -> RolloutOrder {
    RolloutOrder {
        outcome: Some(RolloutOutcome::RolledBack),
        ..rollout_order(version)
    }
}

/// The next order in the same object.
fn next_order(version: &str) -> RolloutOrder {
    RolloutOrder {
        revision: 9,
        ..rollout_order(version)
    }
}

fn set_order(dispatcher: &mut Dispatcher, now_ms: u64, order: RolloutOrder) {
    dispatcher.set_orders(at(now_ms), vec![order], EXPOSURE);
}

/// Sends requests, those of the sample of a new version among them.
fn send(dispatcher: &mut Dispatcher, now_ms: u64) -> Vec<Grant> {
    let requests = (0..REQUESTS).map(|seq| DispatchRequest {
        version_draw: if seq % 10 == 0 { 0.0 } else { 0.5 },
        ..request(seq, 0, now_ms)
    });
    let grants = requests.filter_map(|request| granted(dispatcher.submit(at(now_ms), request)));
    grants.collect()
}

/// Returns the versions that serve requests, in order.
fn versions_in_use(dispatcher: &mut Dispatcher, now_ms: u64) -> Vec<String> {
    let grants = send(dispatcher, now_ms);
    let versions = grants.iter().map(|grant| grant.endpoint.version.as_str());
    let mut versions: Vec<_> = versions.map(str::to_owned).collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

/// Guards against a version that was rolled back and counts as an old one once the next is ordered.
#[gtest]
fn a_version_that_was_rolled_back_gets_nothing_after_the_next_order() {
    let mut dispatcher = dispatcher(&["v1", "v2", "v3"]);
    set_order(&mut dispatcher, 0, rolled_back("v2"));

    set_order(&mut dispatcher, 100, next_order("v3"));

    expect_that!(
        versions_in_use(&mut dispatcher, 200),
        elements_are![eq("v1"), eq("v3")]
    );
}

#[gtest]
fn a_version_that_was_rolled_back_gets_nothing_after_its_order_was_deleted() {
    let mut dispatcher = dispatcher(&["v1", "v2"]);
    set_order(&mut dispatcher, 0, rolled_back("v2"));

    dispatcher.set_orders(at(100), Vec::new(), EXPOSURE);

    expect_that!(
        versions_in_use(&mut dispatcher, 200),
        elements_are![eq("v1")]
    );
}

/// A process that starts knows of the roll-back only by the report that still stands in the object.
#[gtest]
fn a_process_that_starts_after_the_next_order_sends_nothing_to_the_version_before() {
    let mut dispatcher = dispatcher(&["v1", "v2", "v3"]);
    let order = RolloutOrder {
        rolled_back_before: Some(VersionName::from("v2")),
        ..next_order("v3")
    };

    set_order(&mut dispatcher, 0, order);

    expect_that!(
        versions_in_use(&mut dispatcher, 100),
        elements_are![eq("v1"), eq("v3")]
    );
}

#[gtest]
fn a_version_stays_withdrawn_when_the_next_one_is_rolled_back_too() {
    let mut dispatcher = dispatcher(&["v1", "v2", "v3", "v4"]);
    set_order(&mut dispatcher, 0, rolled_back("v2"));
    set_order(&mut dispatcher, 100, rolled_back("v3"));

    set_order(&mut dispatcher, 200, next_order("v4"));

    expect_that!(
        versions_in_use(&mut dispatcher, 300),
        elements_are![eq("v1"), eq("v4")]
    );
}

#[gtest]
fn a_version_that_is_ordered_again_is_sampled_again() {
    let mut dispatcher = dispatcher(&["v1", "v2", "v3"]);
    set_order(&mut dispatcher, 0, rolled_back("v2"));
    set_order(&mut dispatcher, 100, rolled_back("v3"));

    set_order(&mut dispatcher, 200, next_order("v2"));

    expect_that!(
        versions_in_use(&mut dispatcher, 300),
        elements_are![eq("v1"), eq("v2")]
    );
}

#[gtest]
fn a_version_that_was_rolled_back_serves_not_even_alone() {
    let mut dispatcher = dispatcher(&["v2"]);
    set_order(&mut dispatcher, 0, rolled_back("v2"));

    set_order(&mut dispatcher, 100, next_order("v3"));

    expect_that!(versions_in_use(&mut dispatcher, 200), is_empty());
}

/// Another entry has judged it; the report stands in the object when this entry reads the next order.
#[gtest]
fn a_version_that_only_others_have_judged_serves_not_even_alone() {
    let mut dispatcher = dispatcher(&["v2"]);
    set_order(&mut dispatcher, 0, rollout_order("v2"));
    let order = RolloutOrder {
        rolled_back_before: Some(VersionName::from("v2")),
        ..next_order("v3")
    };

    set_order(&mut dispatcher, 100, order);

    expect_that!(versions_in_use(&mut dispatcher, 200), is_empty());
}

#[gtest]
fn a_version_that_was_not_judged_gives_way_to_the_one_before() {
    let mut dispatcher = dispatcher(&["v1", "v2", "v3"]);
    set_order(&mut dispatcher, 0, rollout_order("v2"));
    set_order(&mut dispatcher, 100, next_order("v3"));
    let beside_old = versions_in_use(&mut dispatcher, 200);

    dispatcher.set_endpoints(at(300), &["v2", "v3"].map(endpoint_of));
    let alone = versions_in_use(&mut dispatcher, 400);

    expect_that!(beside_old, elements_are![eq("v1"), eq("v3")]);
    expect_that!(alone, elements_are![eq("v2"), eq("v3")]);
}

#[gtest]
fn a_version_that_was_completed_serves_beside_the_next_one() {
    let mut dispatcher = dispatcher(&["v2", "v3"]);
    let completed = RolloutOrder {
        outcome: Some(RolloutOutcome::Completed),
        ..rollout_order("v2")
    };
    set_order(&mut dispatcher, 0, completed);

    set_order(&mut dispatcher, 100, next_order("v3"));

    expect_that!(
        versions_in_use(&mut dispatcher, 200),
        elements_are![eq("v2"), eq("v3")]
    );
}

/// Guards against a fault of the version before that hides a fault of the next one.
#[gtest]
fn failures_of_a_withdrawn_version_do_not_count_for_the_old_one() {
    let mut dispatcher = dispatcher(&["v1", "v2", "v3"]);
    set_order(&mut dispatcher, 0, rollout_order("v2"));
    let grants = send(&mut dispatcher, 0);
    set_order(&mut dispatcher, 100, rolled_back("v2"));
    set_order(&mut dispatcher, 200, next_order("v3"));

    let of_bad = grants
        .iter()
        .filter(|g| g.endpoint.version.as_str() == "v2");
    for grant in of_bad {
        let route = RouteName::from("route-0");
        dispatcher.record_outcome(at(300), &grant.endpoint, &route, DispatchEnd::Failed);
    }

    let counts = dispatcher.rollout_counts();
    let stats = counts.iter().flat_map(|counts| &counts.stats);
    let failed: f64 = stats.map(|(_, comparison)| comparison.old.failed).sum();
    expect_that!(failed, eq(0.0));
}

#[gtest]
fn a_version_without_endpoints_is_forgotten() {
    let mut dispatcher = dispatcher(&["v1", "v2"]);
    set_order(&mut dispatcher, 0, rolled_back("v2"));
    dispatcher.set_orders(at(100), Vec::new(), EXPOSURE);

    dispatcher.tick(at(200_000));
    let while_known = dispatcher.withdrawn_versions().count();
    dispatcher.set_endpoints(at(200_000), &[endpoint_of("v1")]);
    dispatcher.tick(at(230_000));
    let soon_after = dispatcher.withdrawn_versions().count();
    dispatcher.tick(at(261_000));
    let later = dispatcher.withdrawn_versions().count();

    expect_that!((while_known, soon_after, later), eq((1, 1, 0)));
}
