//! The volume of log lines under load.

use eelgrassramp::Monotonic;
use eelgrassramp_direct::request_log::LogLineKind;
use eelgrassramp_direct::request_log::LogRateLimiter;
use googletest::prelude::*;

/// Asks for 2,000 lines of a kind in each of ten seconds, and returns how many were allowed.
fn overload(budget: &LogRateLimiter, kind: LogLineKind) -> u64 {
    let millis = (0..20_000).map(|i| i / 2);
    let allowed = millis.filter(|ms| budget.allows(Monotonic::from_millis(*ms), kind));
    allowed.count() as u64
}

#[gtest]
fn lines_stay_within_their_budget_and_the_rest_is_counted() {
    let budget = LogRateLimiter::default();

    let allowed = overload(&budget, LogLineKind::Ended);
    let left_out = budget.take_suppressed();

    expect_that!(allowed, le(13 * 120));
    expect_that!(left_out, elements_are![eq(&("ended", 20_000 - allowed))]);
    expect_that!(budget.take_suppressed(), is_empty());
}

#[gtest]
fn failures_are_left_out_later_than_successes() {
    let budget = LogRateLimiter::default();

    let successes = overload(&budget, LogLineKind::Dispatched);
    let failures = overload(&budget, LogLineKind::Failed);

    expect_that!(failures, gt(2 * successes));
}
