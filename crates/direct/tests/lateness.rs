//! Classification of late responses.

use std::time::Duration;

use eelgrassramp_direct::lateness::LateCause;
use eelgrassramp_direct::lateness::LatencyObjective;
use eelgrassramp_direct::lateness::RequestTimings;
use googletest::prelude::*;

const OBJECTIVE: LatencyObjective = LatencyObjective {
    objective: Duration::from_millis(300),
    max_gap: Some(Duration::from_millis(200)),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request that was sent after `queued_ms` and whose first chunk came `response_ms` later.
fn timings(queued_ms: u64, response_ms: u64) -> RequestTimings {
    RequestTimings {
        time_to_dispatch: ms(queued_ms),
        first_chunk: ms(queued_ms + response_ms),
        ..RequestTimings::default()
    }
}

#[gtest]
fn response_within_objective_and_gap_limit_is_on_time() {
    let mut on_time = timings(100, 150);
    on_time.longest_gap = ms(200);

    expect_that!(on_time.late_cause(OBJECTIVE), none());
}

#[gtest]
fn late_response_is_classified_by_cause() {
    let caller_retry = RequestTimings {
        prior_wait: ms(900),
        ..timings(10, 100)
    };
    let redispatched = RequestTimings {
        earlier_attempts: 1,
        ..timings(400, 100)
    };
    let with_gap = RequestTimings {
        longest_gap: ms(201),
        ..timings(10, 100)
    };

    let cases = [
        (caller_retry, LateCause::CallerRetry),
        (redispatched, LateCause::Redispatched),
        (timings(250, 100), LateCause::QueueWait),
        (timings(10, 400), LateCause::SlowFirstChunk),
        (with_gap, LateCause::StreamGap),
    ];

    for (timings, cause) in cases {
        expect_that!(
            timings.late_cause(OBJECTIVE),
            some(eq(cause)),
            "{timings:?}"
        );
    }
}

#[gtest]
fn gaps_are_ignored_without_gap_limit() {
    let without_gap_limit = LatencyObjective {
        max_gap: None,
        ..OBJECTIVE
    };
    let with_gap = RequestTimings {
        longest_gap: ms(9_000),
        ..timings(10, 100)
    };

    expect_that!(with_gap.late_cause(without_gap_limit), none());
}
