//! How memory and sockets of a process are divided.

use eelgrassramp_direct::ProcessLimits;
use googletest::prelude::*;

fn limits(megabytes: usize, sockets: usize) -> ProcessLimits {
    ProcessLimits {
        memory_bytes: Some(megabytes * 1_000_000),
        sockets: Some(sockets),
    }
}

#[gtest]
fn connections_leave_sockets_for_endpoints_and_the_store() {
    let limits = limits(10_000, 1_000);

    let taken = limits.caller_connections() + limits.peer_connections();

    expect_that!(limits.caller_connections(), eq(700));
    expect_that!(taken, le(800));
}

#[gtest]
fn connections_fit_into_a_small_memory() {
    const CONNECTION_BYTES: usize = 40 * 1024;
    let limits = limits(40, 4_000);

    let bytes = limits.caller_connections() * CONNECTION_BYTES;

    expect_that!(bytes, le(8_000_000));
    expect_that!(bytes, gt(7_900_000));
}

#[gtest]
fn bodies_messages_and_connections_leave_memory_for_everything_else() {
    let limits = limits(100, 4_000);
    let connections = limits.caller_connections() * 40 * 1024;

    let bodies = limits.caller_bodies().max_bytes + limits.peer_messages().max_bytes;

    expect_that!(bodies + connections, le(60_000_000));
}

#[gtest]
fn a_process_without_known_limits_has_some() {
    let limits = ProcessLimits::default();

    expect_that!(limits.caller_connections(), eq(2_800));
    expect_that!(limits.peer_connections(), eq(400));
    expect_that!(limits.caller_bodies().max_bytes, ge(48 * 1024 * 1024 - 100));
}

#[gtest]
fn at_least_one_connection_is_accepted() {
    let limits = limits(1, 1);

    expect_that!(limits.caller_connections(), ge(1));
    expect_that!(limits.peer_connections(), ge(1));
}
