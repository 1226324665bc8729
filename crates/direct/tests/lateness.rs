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

/// A request that was sent after `waited_ms` and whose first piece came `read_ms` later.
fn course(waited_ms: u64, read_ms: u64) -> RequestTimings {
    RequestTimings {
        queue_wait: ms(waited_ms),
        first_piece: ms(waited_ms + read_ms),
        ..RequestTimings::default()
    }
}

#[gtest]
fn an_answer_within_its_objective_and_without_a_long_pause_is_on_time() {
    let mut on_time = course(100, 150);
    on_time.longest_pause = ms(200);

    expect_that!(on_time.late_cause(TARGET), none());
}

#[gtest]
fn lateness_is_told_by_its_cause() {
    let caller_retry = RequestTimings {
        prior_wait: ms(900),
        ..course(10, 100)
    };
    let redispatched = RequestTimings {
        earlier_attempts: 1,
        ..course(400, 100)
    };
    let paused = RequestTimings {
        longest_pause: ms(201),
        ..course(10, 100)
    };

    let cases = [
        (caller_retry, LateCause::CallerRetry),
        (redispatched, LateCause::Redispatched),
        (course(250, 100), LateCause::QueueWait),
        (course(10, 400), LateCause::SlowFirstByte),
        (paused, LateCause::StreamPause),
    ];

    for (course, lateness) in cases {
        expect_that!(course.late_cause(TARGET), some(eq(lateness)), "{course:?}");
    }
}

#[gtest]
fn a_route_without_a_limit_of_pauses_is_never_late_by_one() {
    let target = LatencyObjective {
        max_pause: None,
        ..TARGET
    };
    let paused = RequestTimings {
        longest_pause: ms(9_000),
        ..course(10, 100)
    };

    expect_that!(paused.late_cause(target), none());
}
