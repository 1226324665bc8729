//! Which connections are closed when there are too many.

use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::Timers;
use eelgrassramp::connection_table::ConnectionTable;
use eelgrassramp::connection_table::OpenConnection;
use eelgrassramp::connection_table::ServedRequest;
use googletest::prelude::*;
use tokio::time::timeout;

fn at(seconds: u64) -> Monotonic {
    Monotonic::ZERO + Duration::from_secs(seconds)
}

/// Opens one connection a second.
fn open(table: &Arc<ConnectionTable>, count: u64) -> Vec<OpenConnection> {
    let opened = (0..count).filter_map(|n| table.open(at(n)));
    opened.collect()
}

/// Returns for each connection whether it has to close.
async fn are_closed(connections: &[OpenConnection]) -> Vec<bool> {
    let mut closed = Vec::new();
    for connection in connections {
        closed.push(timeout(Duration::ZERO, connection.closed()).await.is_ok());
    }
    closed
}

#[gtest]
#[tokio::test]
async fn the_connection_that_has_waited_longest_makes_room() {
    let table = ConnectionTable::new(3);
    let connections = open(&table, 3);
    connections[0].wait_from(at(10));

    let next = table.open(at(11));

    expect_that!(next, some(anything()));
    expect_that!(are_closed(&connections).await, eq(&[false, true, false]));
    expect_that!(table.count(), eq(3));
}

#[gtest]
#[tokio::test]
async fn a_connection_whose_client_waits_for_a_response_is_not_closed() {
    let table = ConnectionTable::new(2);
    let connections = open(&table, 2);
    let _request = connections[0].begin_request(&Timers::start());

    let next = table.open(at(5));

    expect_that!(next, some(anything()));
    expect_that!(are_closed(&connections).await, eq(&[false, true]));
}

#[gtest]
#[tokio::test]
async fn no_connection_is_added_while_all_are_in_use() {
    let table = ConnectionTable::new(2);
    let connections = open(&table, 2);
    let timers = Timers::start();
    let requests = connections.iter().map(|c| c.begin_request(&timers));
    let _requests: Vec<ServedRequest> = requests.collect();

    let refused = table.open(at(5));
    drop(connections);
    let accepted = table.open(at(6));

    expect_that!(refused, none());
    expect_that!(accepted, some(anything()));
    expect_that!(table.count(), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_lowered_maximum_holds_from_the_next_connection_on() {
    let table = ConnectionTable::new(4);
    let connections = open(&table, 4);
    table.set_max(2);

    let next = table.open(at(9));

    expect_that!(next, some(anything()));
    expect_that!(
        are_closed(&connections).await,
        eq(&[true, true, true, false])
    );
    expect_that!(table.count(), eq(2));
}

/// Guards against a connection with several requests that counts as unused when the first of them ends.
#[gtest]
#[tokio::test]
async fn a_connection_is_in_use_until_the_last_of_its_requests_has_ended() {
    let table = ConnectionTable::new(1);
    let connection = table.open(at(0)).expect("there is room");
    let timers = Timers::start();
    let first = connection.begin_request(&timers);
    let second = connection.begin_request(&timers);

    drop(first);
    let refused = table.open(at(5));
    drop(second);
    let accepted = table.open(at(6));

    expect_that!(refused, none());
    expect_that!(accepted, some(anything()));
}

/// Guards against a listener that is ahead of the connections which it told to close.
#[gtest]
#[tokio::test]
async fn the_socket_of_a_closed_connection_is_waited_for() {
    let table = ConnectionTable::new(1);
    let closed = table.open(at(0)).expect("there is room");
    let _next = table.open(at(1)).expect("the first one makes room");

    let before = timeout(Duration::ZERO, table.wait_until_closed()).await;
    drop(closed);
    let after = timeout(Duration::ZERO, table.wait_until_closed()).await;

    expect_that!(before, err(anything()));
    expect_that!(after, ok(anything()));
}
