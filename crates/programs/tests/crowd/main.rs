//! Clients that send what they should not, many at once, to the entry and the sidecar as processes.
//!
//! Nothing here depends on the speed of the machine: the process has to live within its limits and the
//! system to answer an ordinary request in the end.

mod fixture;
mod http2;

use eelgrassramp_standins::crowd::Framing;
use googletest::prelude::*;

use self::fixture::MAX_BODY_BYTES;
use self::fixture::Target;
use self::fixture::start;
use self::fixture::upload;

/// Clients with large requests.
const LARGE_CLIENTS: usize = 200;

/// Clients that send no request.
const MANY_CLIENTS: usize = 450;

/// Bytes by which a body stops short of its end.
const MISSING_BYTES: usize = 100;

/// Bytes of a body in chunks of one byte.
const SMALL_CHUNKS_BYTES: usize = 128 * 1024;

/// A body of the largest size.
const LARGEST: Framing = Framing::Length(MAX_BODY_BYTES);

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_that_stop_short() -> googletest::Result<()> {
    let mut setup = start().await;

    let violations = setup
        .run_crowd(Target::Entry, LARGE_CLIENTS, |_| {
            upload("/status", LARGEST, MAX_BODY_BYTES - MISSING_BYTES)
        })
        .await;

    verify_that!(violations, is_empty())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_large_chunks_that_stop_short() -> googletest::Result<()> {
    let mut setup = start().await;

    let violations = setup
        .run_crowd(Target::Entry, LARGE_CLIENTS, |_| {
            upload("/status", Framing::Chunks(64 * 1024), MAX_BODY_BYTES)
        })
        .await;

    verify_that!(violations, is_empty())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_very_small_chunks_that_stop_short() -> googletest::Result<()> {
    let mut setup = start().await;

    let violations = setup
        .run_crowd(Target::Entry, LARGE_CLIENTS, |_| {
            upload("/status", Framing::Chunks(1), SMALL_CHUNKS_BYTES)
        })
        .await;

    verify_that!(violations, is_empty())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunked_bodies_far_over_the_limit() -> googletest::Result<()> {
    let mut setup = start().await;

    let violations = setup
        .run_crowd(Target::Entry, LARGE_CLIENTS, |_| {
            upload("/status", Framing::Chunks(64 * 1024), 4 * MAX_BODY_BYTES)
        })
        .await;

    verify_that!(violations, is_empty())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_announced_far_over_the_limit() -> googletest::Result<()> {
    let mut setup = start().await;

    let violations = setup
        .run_crowd(Target::Entry, LARGE_CLIENTS, |_| {
            upload("/status", Framing::Length(1 << 40), 4 * MAX_BODY_BYTES)
        })
        .await;

    verify_that!(violations, is_empty())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_that_do_not_end() -> googletest::Result<()> {
    let mut setup = start().await;

    let violations = setup
        .run_crowd(Target::Entry, MANY_CLIENTS, |_| {
            upload("/status", Framing::Head, 200 * 1024)
        })
        .await;

    verify_that!(violations, is_empty())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_to_a_sidecar_that_do_not_end() -> googletest::Result<()> {
    let mut setup = start().await;

    let violations = setup
        .run_crowd(Target::Sidecar, MANY_CLIENTS, |_| {
            upload("/v1/dispatch", Framing::Head, 200 * 1024)
        })
        .await;

    verify_that!(violations, is_empty())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_on_which_nothing_is_sent() -> googletest::Result<()> {
    let mut setup = start().await;

    let violations = setup
        .run_crowd(Target::Entry, MANY_CLIENTS, |_| {
            upload("/status", Framing::Silence, 0)
        })
        .await;

    verify_that!(violations, is_empty())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_messages_to_a_sidecar_that_stop_short() -> googletest::Result<()> {
    let mut setup = start().await;

    let violations = setup
        .run_crowd(Target::Sidecar, LARGE_CLIENTS, |_| {
            upload("/v1/dispatch", LARGEST, MAX_BODY_BYTES - MISSING_BYTES)
        })
        .await;

    verify_that!(violations, is_empty())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn messages_to_a_sidecar_in_very_small_chunks() -> googletest::Result<()> {
    let mut setup = start().await;

    let violations = setup
        .run_crowd(Target::Sidecar, LARGE_CLIENTS, |_| {
            upload("/v1/dispatch", Framing::Chunks(1), SMALL_CHUNKS_BYTES)
        })
        .await;

    verify_that!(violations, is_empty())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_to_a_sidecar_on_which_nothing_is_sent() -> googletest::Result<()> {
    let mut setup = start().await;

    let violations = setup
        .run_crowd(Target::Sidecar, MANY_CLIENTS, |_| {
            upload("/v1/dispatch", Framing::Silence, 0)
        })
        .await;

    verify_that!(violations, is_empty())
}
