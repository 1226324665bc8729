//! The timer service under paused time.

use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::Timers;
use googletest::prelude::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

#[gtest]
#[tokio::test(start_paused = true)]
async fn ticks_keep_their_period() {
    let timers = Timers::start();
    let mut ticks = timers.every(MS(250));

    for _ in 0..4 {
        ticks.tick().await;
    }

    assert_that!(timers.now(), eq(Monotonic::from_millis(1000)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_subscriber_that_was_busy_gets_one_tick_for_several_periods() {
    let timers = Timers::start();
    let mut ticks = timers.every(MS(100));

    timers.after(MS(1050)).await;
    ticks.tick().await;
    ticks.tick().await;

    assert_that!(timers.now(), eq(Monotonic::from_millis(1100)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn waits_end_in_the_order_of_their_deadlines() {
    let timers = Timers::start();
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
    for ms in [300, 100, 200] {
        let (timers, tx) = (timers.clone(), tx.clone());
        tokio::spawn(async move {
            timers.after(MS(ms)).await;
            tx.send(ms).expect("the receiver lives");
        });
    }
    drop(tx);

    let mut order = Vec::new();
    while let Some(ms) = rx.recv().await {
        order.push(ms);
    }

    assert_that!(order, eq(&vec![100, 200, 300]));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn limited_work_is_given_up_at_its_limit() {
    let timers = Timers::start();

    let late = timers.limit(MS(40), timers.after(MS(50))).await;
    let done = timers.limit(MS(40), async { 7 }).await;

    expect_that!(late, none());
    expect_that!(done, some(eq(7)));
    expect_that!(timers.now(), eq(Monotonic::from_millis(40)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn waiting_for_a_point_that_has_passed_takes_no_time() {
    let timers = Timers::start();
    timers.after(MS(80)).await;

    timers.until(Monotonic::from_millis(20)).await;

    assert_that!(timers.now(), eq(Monotonic::from_millis(80)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_wall_clock_that_was_set_runs_with_the_timers() {
    let start: jiff::Timestamp = "2026-12-20T06:00:00Z".parse().expect("a date");
    let timers = Timers::start_at(start);

    timers.after(MS(1500)).await;

    assert_that!(timers.wall_now().to_string(), eq("2026-12-20T06:00:01.5Z"));
}
