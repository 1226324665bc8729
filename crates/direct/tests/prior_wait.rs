//! What the patience of callers tells of the time that they have waited before.

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

/// Learns that callers begin with one of these patiences, in turn.
fn learned(began_with: &[u64]) -> PriorWaitEstimator {
    let mut patience = PriorWaitEstimator::default();
    for (i, began_with) in (0..).zip(began_with.iter().cycle().take(40)) {
        patience.arrive(at(i * 10), &route(), ms(*began_with));
    }
    patience
}

#[gtest]
fn a_caller_that_comes_back_has_waited_for_what_it_lacks() {
    let mut patience = learned(&[3_000, 2_900, 2_800]);
    patience.refuse(at(500), &route());

    let new = patience.arrive(at(600), &route(), ms(2_850));
    let back = patience.arrive(at(1_500), &route(), ms(1_900));

    expect_that!(new, eq(Duration::ZERO));
    expect_that!(back, eq(ms(900)));
}

#[gtest]
fn nobody_comes_back_while_nobody_is_refused() {
    let mut patience = learned(&[3_000]);

    let impatient = patience.arrive(at(500), &route(), ms(500));
    patience.refuse(at(600), &route());
    let soon = patience.arrive(at(700), &route(), ms(2_000));
    let long_after = patience.arrive(at(20_000), &route(), ms(2_000));

    expect_that!(impatient, eq(Duration::ZERO));
    expect_that!(soon, eq(ms(1_000)));
    expect_that!(long_after, eq(Duration::ZERO));
}

/// Callers with little patience must not stand behind all others for that.
#[gtest]
fn where_callers_differ_the_impatient_ones_count_as_new() {
    let mut patience = learned(&[12_000, 4_000]);
    patience.refuse(at(500), &route());

    let impatient = patience.arrive(at(600), &route(), ms(4_000));
    let back = patience.arrive(at(600), &route(), ms(3_000));

    expect_that!(impatient, eq(Duration::ZERO));
    expect_that!(back, eq(ms(1_000)));
}

#[gtest]
fn what_a_few_callers_began_with_tells_nothing() {
    let mut patience = PriorWaitEstimator::default();
    for i in 0..5 {
        patience.arrive(at(i), &route(), ms(3_000));
    }
    patience.refuse(at(10), &route());

    let back = patience.arrive(at(1_000), &route(), ms(1_000));

    expect_that!(back, eq(Duration::ZERO));
}

#[gtest]
fn routes_are_told_apart() {
    let mut patience = learned(&[3_000]);
    let other = RouteName::from("orders");
    patience.refuse(at(500), &other);

    let of_other = patience.arrive(at(600), &other, ms(1_000));
    let of_calm = patience.arrive(at(600), &route(), ms(1_000));

    expect_that!(of_other, eq(Duration::ZERO));
    expect_that!(of_calm, eq(Duration::ZERO));
}
