//! Estimation of prior waits from the remaining timeouts of callers.

use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::RouteName;
use eelgrassramp_direct::prior_wait::PriorWaitEstimator;
use googletest::prelude::*;

fn at(ms: u64) -> Monotonic {
    Monotonic::from_millis(ms)
}

fn route() -> RouteName {
    RouteName::from("drafts")
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Creates an estimator that has seen these initial timeouts, in turn.
fn learned(began_with: &[u64]) -> PriorWaitEstimator {
    let mut estimator = PriorWaitEstimator::default();
    for (i, began_with) in (0..).zip(began_with.iter().cycle().take(40)) {
        estimator.record_arrival(at(i * 10), &route(), ms(*began_with));
    }
    estimator
}

#[gtest]
fn retry_has_waited_for_difference_to_initial_timeout() {
    let mut estimator = learned(&[3_000, 2_900, 2_800]);
    estimator.record_refusal(at(500), &route());

    let new = estimator.record_arrival(at(600), &route(), ms(2_850));
    let retry = estimator.record_arrival(at(1_500), &route(), ms(1_900));

    expect_that!(new, eq(Duration::ZERO));
    expect_that!(retry, eq(ms(900)));
}

#[gtest]
fn no_prior_wait_without_recent_refusals() {
    let mut estimator = learned(&[3_000]);

    let short_timeout = estimator.record_arrival(at(500), &route(), ms(500));
    estimator.record_refusal(at(600), &route());
    let soon = estimator.record_arrival(at(700), &route(), ms(2_000));
    let long_after = estimator.record_arrival(at(20_000), &route(), ms(2_000));

    expect_that!(short_timeout, eq(Duration::ZERO));
    expect_that!(soon, eq(ms(1_000)));
    expect_that!(long_after, eq(Duration::ZERO));
}

/// Callers with a short timeout must not be mistaken for retries and queued behind all others.
#[gtest]
fn short_initial_timeout_is_not_mistaken_for_retry() {
    let mut estimator = learned(&[12_000, 4_000]);
    estimator.record_refusal(at(500), &route());

    let short_timeout = estimator.record_arrival(at(600), &route(), ms(4_000));
    let retry = estimator.record_arrival(at(600), &route(), ms(3_000));

    expect_that!(short_timeout, eq(Duration::ZERO));
    expect_that!(retry, eq(ms(1_000)));
}

#[gtest]
fn too_few_samples_give_no_estimate() {
    let mut estimator = PriorWaitEstimator::default();
    for i in 0..5 {
        estimator.record_arrival(at(i), &route(), ms(3_000));
    }
    estimator.record_refusal(at(10), &route());

    let retry = estimator.record_arrival(at(1_000), &route(), ms(1_000));

    expect_that!(retry, eq(Duration::ZERO));
}

#[gtest]
fn routes_are_told_apart() {
    let mut estimator = learned(&[3_000]);
    let other = RouteName::from("orders");
    estimator.record_refusal(at(500), &other);

    let of_other = estimator.record_arrival(at(600), &other, ms(1_000));
    let of_calm = estimator.record_arrival(at(600), &route(), ms(1_000));

    expect_that!(of_other, eq(Duration::ZERO));
    expect_that!(of_calm, eq(Duration::ZERO));
}
