//! Classification of late responses.

use std::time::Duration;

use eelgrassramp_direct::lateness::LateCause;
use eelgrassramp_direct::lateness::LatencyObjective;
use eelgrassramp_direct::lateness::RequestTimings;
use googletest::prelude::*;

const TARGET: LatencyObjective = LatencyObjective {
    objective: Duration::from_millis(300),
    max_pause: Some(Duration::from_millis(200)),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request that was sent after `queued_ms` and whose first piece came `response_ms` later.
fn timings(queued_ms: u64, response_ms: u64) -> RequestTimings {
    RequestTimings {
        queue_wait: ms(queued_ms),
        first_piece: ms(queued_ms + response_ms),
        ..RequestTimings::default()
    }
}

#[gtest]
fn response_within_objective_and_pause_limit_is_on_time() {
    let mut on_time = timings(100, 150);
    on_time.longest_pause = ms(200);

    expect_that!(on_time.late_cause(TARGET), none());
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
    let paused = RequestTimings {
        longest_pause: ms(201),
        ..timings(10, 100)
    };

    let cases = [
        (caller_retry, LateCause::CallerRetry),
        (redispatched, LateCause::Redispatched),
        (timings(250, 100), LateCause::QueueWait),
        (timings(10, 400), LateCause::SlowFirstByte),
        (paused, LateCause::StreamPause),
    ];

    for (timings, cause) in cases {
        expect_that!(timings.late_cause(TARGET), some(eq(cause)), "{timings:?}");
    }
}

#[gtest]
fn pauses_are_ignored_without_pause_limit() {
    let target = LatencyObjective {
        max_pause: None,
        ..TARGET
    };
    let paused = RequestTimings {
        longest_pause: ms(9_000),
        ..timings(10, 100)
    };

    expect_that!(paused.late_cause(target), none());
}
