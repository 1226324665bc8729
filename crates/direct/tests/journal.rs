//! The volume of log lines under load.

use eelgrassramp::Monotonic;
use eelgrassramp_direct::request_log::LogLineKind;
use eelgrassramp_direct::request_log::LogRateLimiter;
use googletest::prelude::*;

/// Requests 2,000 lines of a kind in each of ten seconds, and returns how many were allowed.
fn overload(limiter: &LogRateLimiter, kind: LogLineKind) -> u64 {
    let millis = (0..20_000).map(|i| i / 2);
    let allowed = millis.filter(|ms| limiter.allows(Monotonic::from_millis(*ms), kind));
    allowed.count() as u64
}

#[gtest]
fn lines_stay_within_their_rate_limit_and_the_rest_is_counted() {
    let limiter = LogRateLimiter::default();

    let allowed = overload(&limiter, LogLineKind::Ended);
    let suppressed = limiter.take_suppressed();

    expect_that!(allowed, le(13 * 120));
    expect_that!(suppressed, elements_are![eq(&("ended", 20_000 - allowed))]);
    expect_that!(limiter.take_suppressed(), is_empty());
}

#[gtest]
fn failures_are_suppressed_later_than_successes() {
    let limiter = LogRateLimiter::default();

    let successes = overload(&limiter, LogLineKind::Dispatched);
    let failures = overload(&limiter, LogLineKind::Failed);

    expect_that!(failures, gt(2 * successes));
}
