//! Event streams that are cut at any byte.

use bytes::Bytes;
use eelgrassramp_direct::events::EventSplitter;
use googletest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 13\r\ndata: c\r\n\r\n";

fn starts_of_events() -> [usize; 4] {
    [0, 15, 31, STREAM.len()]
}

#[gtest]
fn only_whole_events_pass_wherever_the_stream_is_cut() {
    for cut in 0..=STREAM.len() {
        let mut splitter = EventSplitter::default();

        let passed = splitter.push(&Bytes::from_static(&STREAM[..cut]));

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
            passed.extend_from_slice(&splitter.push(&Bytes::copy_from_slice(piece)));
        }

        expect_that!(passed, eq(STREAM), "pieces of {size} bytes");
        expect_that!(splitter.last_id(), some(eq(13)));
    }
}

#[gtest]
fn a_half_event_does_not_count_as_the_last_one() {
    let mut splitter = EventSplitter::default();
    splitter.push(&Bytes::from_static(&STREAM[..20]));

    splitter.drop_partial();

    expect_that!(splitter.last_id(), some(eq(1)));
    expect_that!(splitter.partial(), is_empty());
}
