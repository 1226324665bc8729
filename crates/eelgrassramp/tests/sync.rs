//! One task's panic ends no other task.

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
    let held = Arc::clone(&state);
    let panicked = std::thread::spawn(move || {
        *lock(&held) = 2;
        let _guard = lock(&held);
        panic!("as the test wants it");
    });
    expect_that!(panicked.join().is_err(), eq(true));

    let seen = *lock(&state);

    expect_that!(seen, eq(2));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_started_again() {
    let starts = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&starts);
    let task = move || {
        let n = counted.fetch_add(1, Ordering::Relaxed);
        async move { assert!(n >= 2, "as the test wants it") }
    };

    restart_on_panic(Context::quiet(1), "test", task).await;

    expect_that!(starts.load(Ordering::Relaxed), eq(3));
}
