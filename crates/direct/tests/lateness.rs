//! Why an answer counts as late.

use std::time::Duration;

use eelgrassramp_direct::lateness::LateCause;
use eelgrassramp_direct::lateness::LatencyObjective;
use eelgrassramp_direct::lateness::RequestTimings;
use googletest::prelude::*;

const AIM: LatencyObjective = LatencyObjective {
    objective: Duration::from_millis(300),
    pause: Some(Duration::from_millis(200)),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request that was sent after `waited_ms` and had its first piece `read_ms` later.
fn course(waited_ms: u64, read_ms: u64) -> RequestTimings {
    RequestTimings {
        waited: ms(waited_ms),
        first_piece: ms(waited_ms + read_ms),
        ..RequestTimings::default()
    }
}

#[gtest]
fn an_answer_within_its_objective_and_without_a_long_pause_is_on_time() {
    let mut on_time = course(100, 150);
    on_time.longest_pause = ms(200);

    expect_that!(on_time.lateness(AIM), none());
}

#[gtest]
fn lateness_is_told_by_its_cause() {
    let came_back = RequestTimings {
        waited_before: ms(900),
        ..course(10, 100)
    };
    let sent_again = RequestTimings {
        earlier_sends: 1,
        ..course(400, 100)
    };
    let paused = RequestTimings {
        longest_pause: ms(201),
        ..course(10, 100)
    };

    let cases = [
        (came_back, LateCause::CameBack),
        (sent_again, LateCause::SentAgain),
        (course(250, 100), LateCause::Waited),
        (course(10, 400), LateCause::ReadLate),
        (paused, LateCause::Paused),
    ];

    for (course, lateness) in cases {
        expect_that!(course.lateness(AIM), some(eq(lateness)), "{course:?}");
    }
}

#[gtest]
fn a_route_without_a_limit_of_pauses_is_never_late_by_one() {
    let aim = LatencyObjective { pause: None, ..AIM };
    let paused = RequestTimings {
        longest_pause: ms(9_000),
        ..course(10, 100)
    };

    expect_that!(paused.lateness(aim), none());
}
