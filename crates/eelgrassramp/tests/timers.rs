//! The timer service on a paused tokio clock.

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
async fn missed_periods_are_merged_into_one_tick() {
    let timers = Timers::start();
    let mut ticks = timers.every(MS(100));

    timers.after(MS(1050)).await;
    ticks.tick().await;
    ticks.tick().await;

    assert_that!(timers.now(), eq(Monotonic::from_millis(1100)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn waits_end_in_deadline_order() {
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
async fn limit_cancels_work_that_takes_too_long() {
    let timers = Timers::start();

    let late = timers.limit(MS(40), timers.after(MS(50))).await;
    let done = timers.limit(MS(40), async { 7 }).await;

    expect_that!(late, none());
    expect_that!(done, some(eq(7)));
    expect_that!(timers.now(), eq(Monotonic::from_millis(40)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn until_returns_at_once_for_a_point_in_the_past() {
    let timers = Timers::start();
    timers.after(MS(80)).await;

    timers.until(Monotonic::from_millis(20)).await;

    assert_that!(timers.now(), eq(Monotonic::from_millis(80)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn wall_clock_advances_with_the_timers() {
    let start: jiff::Timestamp = "2026-12-20T06:00:00Z".parse().expect("a date");
    let timers = Timers::start_at(start);

    timers.after(MS(1500)).await;

    assert_that!(timers.wall_now().to_string(), eq("2026-12-20T06:00:01.5Z"));
}
