//! Event streams that are split or truncated at any byte.

use bytes::Bytes;
use eelgrassramp_direct::events::EventSplitter;
use eelgrassramp_direct::events::MAX_EVENT_BYTES;
use googletest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 13\r\ndata: c\r\n\r\n";

fn push(splitter: &mut EventSplitter, data: &[u8]) -> Bytes {
    let released = splitter.push(&Bytes::copy_from_slice(data));
    released.expect("the events are short")
}

fn event_boundaries() -> [usize; 4] {
    [0, 15, 31, STREAM.len()]
}

#[gtest]
fn only_complete_events_are_released_wherever_the_stream_is_cut() {
    for cut in 0..=STREAM.len() {
        let mut splitter = EventSplitter::default();

        let released = push(&mut splitter, &STREAM[..cut]);

        let boundary = event_boundaries().into_iter().rfind(|at| *at <= cut);
        expect_that!(released.len(), eq(boundary.unwrap_or(0)), "cut at {cut}");
        expect_that!(released.len() + splitter.partial().len(), eq(cut));
    }
}

#[gtest]
fn all_bytes_are_released_once_and_in_order_for_any_chunk_size() {
    for size in 1..STREAM.len() {
        let mut splitter = EventSplitter::default();
        let mut released = Vec::new();

        for chunk in STREAM.chunks(size) {
            released.extend_from_slice(&push(&mut splitter, chunk));
        }

        expect_that!(released, eq(STREAM), "chunks of {size} bytes");
        expect_that!(splitter.last_id(), some(eq(13)));
    }
}

#[gtest]
fn an_incomplete_event_is_not_the_last_one() {
    let mut splitter = EventSplitter::default();
    push(&mut splitter, &STREAM[..20]);

    splitter.drop_partial();

    expect_that!(splitter.last_id(), some(eq(1)));
    expect_that!(splitter.partial(), is_empty());
}

#[gtest]
fn a_stream_in_which_no_event_ends_is_rejected() {
    let mut splitter = EventSplitter::default();
    let chunk = Bytes::from_static(&[b'x'; 1_000]);
    let mut pushed = 0;

    while splitter.push(&chunk).is_ok() {
        pushed += chunk.len();
        assert!(
            pushed <= 2 * MAX_EVENT_BYTES,
            "more than twice the limit was buffered"
        );
    }

    expect_that!(pushed, ge(MAX_EVENT_BYTES - chunk.len()));
    expect_that!(pushed, le(MAX_EVENT_BYTES));
}

#[gtest]
fn many_short_events_in_one_chunk_may_exceed_the_event_limit() {
    let mut splitter = EventSplitter::default();
    let events = "id: 7\n\n".repeat(MAX_EVENT_BYTES);

    let first = push(&mut splitter, b"id: 6\n");
    let released = push(&mut splitter, format!("\n{events}").as_bytes());

    expect_that!(first.len(), eq(0));
    expect_that!(released.len(), eq(events.len() + 7));
    expect_that!(splitter.last_id(), some(eq(7)));
}
