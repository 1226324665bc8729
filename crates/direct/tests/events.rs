//! Event streams that are cut at any byte.

use bytes::Bytes;
use eelgrassramp_direct::events::EventSplitter;
use eelgrassramp_direct::events::MAX_EVENT_BYTES;
use googletest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 13\r\ndata: c\r\n\r\n";

fn push(splitter: &mut EventSplitter, data: &[u8]) -> Bytes {
    let passed = splitter.push(&Bytes::copy_from_slice(data));
    passed.expect("the events are short")
}

fn starts_of_events() -> [usize; 4] {
    [0, 15, 31, STREAM.len()]
}

#[gtest]
fn only_whole_events_pass_wherever_the_stream_is_cut() {
    for cut in 0..=STREAM.len() {
        let mut splitter = EventSplitter::default();

        let passed = push(&mut splitter, &STREAM[..cut]);

        let whole = starts_of_events().into_iter().rfind(|start| *start <= cut);
        expect_that!(passed.len(), eq(whole.unwrap_or(0)), "cut at {cut}");
        expect_that!(passed.len() + splitter.partial().len(), eq(cut));
    }
}

#[gtest]
fn all_bytes_pass_once_and_in_order_whatever_the_pieces() {
    for size in 1..STREAM.len() {
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();

        for piece in STREAM.chunks(size) {
            passed.extend_from_slice(&push(&mut splitter, piece));
        }

        expect_that!(passed, eq(STREAM), "pieces of {size} bytes");
        expect_that!(splitter.last_id(), some(eq(13)));
    }
}

#[gtest]
fn a_half_event_does_not_count_as_the_last_one() {
    let mut splitter = EventSplitter::default();
    push(&mut splitter, &STREAM[..20]);

    splitter.drop_partial();

    expect_that!(splitter.last_id(), some(eq(1)));
    expect_that!(splitter.partial(), is_empty());
}

#[gtest]
fn a_stream_in_which_no_event_ends_is_given_up() {
    let mut splitter = EventSplitter::default();
    let piece = Bytes::from_static(&[b'x'; 1_000]);
    let mut taken = 0;

    while splitter.push(&piece).is_ok() {
        taken += piece.len();
        assert!(taken <= 2 * MAX_EVENT_BYTES, "the bytes never end");
    }

    expect_that!(taken, ge(MAX_EVENT_BYTES - piece.len()));
    expect_that!(taken, le(MAX_EVENT_BYTES));
}

#[gtest]
fn many_short_events_in_one_piece_pass_however_long_it_is() {
    let mut splitter = EventSplitter::default();
    let events = "id: 7\n\n".repeat(MAX_EVENT_BYTES);

    let first = push(&mut splitter, b"id: 6\n");
    let passed = push(&mut splitter, format!("\n{events}").as_bytes());

    expect_that!(first.len(), eq(0));
    expect_that!(passed.len(), eq(events.len() + 7));
    expect_that!(splitter.last_id(), some(eq(7)));
}
