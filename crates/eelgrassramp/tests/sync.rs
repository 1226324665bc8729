//! A panic in one task does not affect other tasks.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use eelgrassramp::Context;
use eelgrassramp::lock;
use eelgrassramp::restart_on_panic;
use googletest::prelude::*;

#[gtest]
fn state_can_be_used_after_a_panic_of_one_that_held_it() {
    let state = Arc::new(Mutex::new(1));
    let shared_state = Arc::clone(&state);
    let holder = std::thread::spawn(move || {
        *lock(&shared_state) = 2;
        let _guard = lock(&shared_state);
        panic!("intended by the test");
    });
    expect_that!(holder.join().is_err(), eq(true));

    let value = *lock(&state);

    expect_that!(value, eq(2));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_started_again() {
    let starts = Arc::new(AtomicU32::new(0));
    let start_count = Arc::clone(&starts);
    let task = move || {
        let n = start_count.fetch_add(1, Ordering::Relaxed);
        async move { assert!(n >= 2, "intended by the test") }
    };

    restart_on_panic(Context::quiet(1), "test", task).await;

    expect_that!(starts.load(Ordering::Relaxed), eq(3));
}
