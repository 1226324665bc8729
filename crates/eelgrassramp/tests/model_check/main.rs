//! Model check of the ledger: searches all interleavings of one request's messages, faults and
//! restarts.
//!
//! The network may deliver each message at any time after it was sent, any number of times, or
//! never; the sidecar may restart at any time. See `docs/design/ledger.md`, "Model check".

mod explore;
mod keys;
mod request;

use googletest::prelude::*;

use self::explore::explore;
use self::keys::KeyModel;
use self::keys::KeyMutation;
use self::request::Mutation;
use self::request::RequestModel;

const REQUEST_DEPTH: usize = 12;
const KEY_DEPTH: usize = 9;

#[googletest::test]
fn request_runs_at_most_once_in_every_interleaving() {
    let start = RequestModel::new(Mutation::None, 4);

    let found = explore(&start, REQUEST_DEPTH);

    println!("states: {}, depth: {REQUEST_DEPTH}", found.states);
    expect_that!(found.violation, none());
    expect_that!(found.states, gt(10_000));
}

#[googletest::test]
fn request_runs_at_most_once_when_the_ledger_is_full() {
    let start = RequestModel::new(Mutation::None, 1);

    let found = explore(&start, REQUEST_DEPTH);

    println!("states: {}, depth: {REQUEST_DEPTH}", found.states);
    expect_that!(found.violation, none());
    expect_that!(found.states, gt(10_000));
}

#[googletest::test]
fn each_ledger_rule_is_needed() {
    for mutation in Mutation::BREAKING {
        let found = explore(
            &RequestModel::new(mutation, mutation.entries()),
            REQUEST_DEPTH,
        );

        println!(
            "{mutation:?}: {:?} after {} states",
            found.violation, found.states
        );
        expect_that!(found.violation, some(anything()), "{mutation:?}");
    }
}

#[googletest::test]
fn key_runs_at_most_once_through_two_entries() {
    let found = explore(&KeyModel::new(KeyMutation::None), KEY_DEPTH);

    println!("states: {}, depth: {KEY_DEPTH}", found.states);
    expect_that!(found.violation, none());
    expect_that!(found.states, gt(10_000));
}

#[googletest::test]
fn each_key_rule_is_needed() {
    for mutation in KeyMutation::BREAKING {
        let found = explore(&KeyModel::new(mutation), KEY_DEPTH);

        println!(
            "{mutation:?}: {:?} after {} states",
            found.violation, found.states
        );
        expect_that!(found.violation, some(anything()), "{mutation:?}");
    }
}
