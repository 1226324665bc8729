//! Malformed messages, slow senders and invalid settings.

use std::collections::BTreeSet;

use bytes::Bytes;
use eelgrassramp::Attempt;
use eelgrassramp::ClockMark;
use eelgrassramp::Incarnation;
use eelgrassramp::Kind;
use eelgrassramp::TableVersion;
use eelgrassramp::Tier;
use eelgrassramp::sidecar::Settings;
use eelgrassramp::wire;
use eelgrassramp::wire::Attach;
use eelgrassramp::wire::Cancel;
use eelgrassramp::wire::CloseKey;
use eelgrassramp::wire::Dispatch;
use eelgrassramp::wire::EngineOrder;
use eelgrassramp::wire::Frame;
use eelgrassramp::wire::FrameDecoder;
use eelgrassramp::wire::ReportRequest;
use eelgrassramp::wire::Revoke;
use eelgrassramp::wire::TablesSnapshot;
use eelgrassramp::wire::WorkEstimate;
use googletest::prelude::*;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::proptest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::fixture::Received;
use super::fixture::SETTINGS;
use super::fixture::Script;
use super::fixture::message;
use super::fixture::read;
use super::fixture::request;
use super::fixture::sidecar;
use super::http::post;
use super::http::start_server;

/// Decodes `bytes` as each message type that a sidecar accepts, and as frames.
fn decode_all(bytes: &[u8]) -> Vec<Option<Kind>> {
    let kind = |e: eelgrassramp::Error| e.kind();
    let mut decoder = FrameDecoder::new();
    decoder.extend(bytes);
    vec![
        wire::from_bytes::<Dispatch>(bytes).err().map(kind),
        wire::from_bytes::<Attach>(bytes).err().map(kind),
        wire::from_bytes::<Revoke>(bytes).err().map(kind),
        wire::from_bytes::<Cancel>(bytes).err().map(kind),
        wire::from_bytes::<CloseKey>(bytes).err().map(kind),
        wire::from_bytes::<ReportRequest>(bytes).err().map(kind),
        wire::from_bytes::<TablesSnapshot>(bytes).err().map(kind),
        wire::from_bytes::<EngineOrder>(bytes).err().map(kind),
        decoder.next_frame::<Frame>().err().map(kind),
    ]
}

fn any_dispatch() -> impl Strategy<Value = Dispatch> {
    let identity = (0..4_u128, 0..3_u64, any::<bool>(), any::<u64>());
    let key = (
        proptest::option::of(0..3_u128),
        proptest::option::of(any::<u64>()),
    );
    let rest = (
        0..Tier::ALL.len(),
        any::<u64>(),
        any::<u32>(),
        any::<bool>(),
        any::<u64>(),
        "\\PC{0,12}",
    );
    (identity, key, rest).prop_map(|(identity, key, rest)| {
        let (id, attempt, is_current, mark) = identity;
        let (tier, deadline_ms, tokens, non_idempotent, tables, path) = rest;
        let mut msg = message(id, Tier::ALL[tier]);
        msg.attempt = Attempt(attempt);
        msg.incarnation = Incarnation(u64::from(is_current));
        msg.mark = ClockMark(if is_current { mark % 100 } else { mark });
        msg.key = key.0.map(request);
        msg.key_time_ms = key.1;
        msg.deadline_ms = deadline_ms;
        msg.tables = TableVersion(tables);
        msg.non_idempotent = non_idempotent;
        msg.call.path = path;
        msg.work = WorkEstimate {
            prefill_tokens: tokens,
            output_tokens: tokens,
        };
        msg
    })
}

/// Sends all messages to one sidecar; returns whether each response ended and no request ran
/// twice.
async fn all_end_once(messages: Vec<Dispatch>) -> bool {
    let fx = sidecar(Script::Completes);
    let incarnation = fx.service.incarnation();
    let ids: BTreeSet<_> = messages.iter().map(|m| m.request).collect();
    let mut all_ended = true;
    for mut msg in messages {
        if msg.incarnation == Incarnation(1) {
            msg.incarnation = incarnation;
        }
        let received = read(fx.service.dispatch(msg).await).await;
        all_ended &= received != Received::Truncated;
    }
    all_ended && ids.into_iter().all(|id| fx.engine.runs_of(id) <= 1)
}

proptest! {
    #[test]
    fn random_bytes_are_refused_as_malformed_or_decoded(bytes: Vec<u8>) {
        for kind in decode_all(&bytes).into_iter().flatten() {
            assert_eq!(kind, Kind::Malformed);
        }
    }

    #[test]
    fn a_damaged_dispatch_is_refused_as_malformed_or_decoded(
        msg in any_dispatch(), at: proptest::sample::Index, byte: u8,
    ) {
        let mut bytes = wire::to_bytes(&msg).expect("encode").to_vec();
        let i = at.index(bytes.len());
        bytes[i] = byte;
        for kind in decode_all(&bytes).into_iter().flatten() {
            assert_eq!(kind, Kind::Malformed);
        }
    }

    #[test]
    fn every_dispatch_gets_one_end_and_no_request_runs_twice(
        messages in proptest::collection::vec(any_dispatch(), 1..20),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("runtime");
        assert!(runtime.block_on(all_end_once(messages)));
    }
}

#[googletest::test]
#[tokio::test]
async fn a_body_above_the_limit_is_refused_as_too_large() {
    let server = start_server(Script::Completes).await;
    let body = Bytes::from(vec![0; wire::MAX_MESSAGE_BYTES + 1]);

    let (status, body) = post(server.address, wire::path::DISPATCH, body).await;

    let failure: wire::Failure = wire::from_bytes(&body).expect("failure");
    expect_that!(status, eq(413));
    expect_that!(failure.kind, eq(Kind::RequestTooLarge));
}

#[googletest::test]
#[tokio::test]
async fn a_sender_that_stops_within_the_headers_is_disconnected() {
    let server = start_server(Script::Completes).await;
    let mut tcp = TcpStream::connect(server.address).await.expect("connect");
    tcp.write_all(b"POST /v1/disp").await.expect("send");

    tokio::time::pause();
    let mut response = String::new();
    let ended = tcp.read_to_string(&mut response).await;

    expect_that!(ended, ok(eq(&0)));
}

#[googletest::test]
#[tokio::test]
async fn a_sender_that_stops_within_the_body_gets_a_timeout() {
    let server = start_server(Script::Completes).await;
    let mut tcp = TcpStream::connect(server.address).await.expect("connect");
    let head = b"POST /v1/dispatch HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n\
        content-length: 10\r\n\r\n";
    tcp.write_all(head).await.expect("send");
    let mut buf = [0; 12];
    tcp.read_exact(&mut buf).await.expect("interim response");

    tokio::time::pause();
    let mut response = Vec::new();
    tcp.read_to_end(&mut response).await.expect("response");

    let response = String::from_utf8_lossy(&response);
    expect_that!(&buf, eq(b"HTTP/1.1 100"));
    expect_that!(response, contains_substring("HTTP/1.1 408"));
}

#[googletest::test]
fn the_sample_settings_are_valid() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/settings/sidecar.jsonc"
    );

    let settings = Settings::from_file(std::path::Path::new(path));

    expect_that!(settings, ok(anything()));
}

#[googletest::test]
fn each_invalid_settings_file_gets_its_own_message() {
    let cases = [
        (
            "\"slots\": 2",
            "\"slots\": 0",
            "field \"slots\": must be above 0",
        ),
        (
            "\"slots\": 2",
            "\"slots\": 2, \"slot\": 1",
            "unknown field `slot`",
        ),
        ("127.0.0.1:0", "localhost", "field \"listen\""),
        (
            "\"gen3\"",
            "\"gen 3\"",
            "field \"hardware\": \"gen 3\" is not a valid name",
        ),
        ("\"kind\": \"model\",", "", "missing field `kind`"),
        (
            "\"slots\": 2",
            "\"slots\": 2, \"key_retention_ms\": 5",
            "field \"key_retention_ms\": must be at least as long",
        ),
    ];

    for (good, bad, message) in cases {
        let text = SETTINGS.replace(good, bad);
        let e = Settings::from_text(&text, "sidecar.jsonc").expect_err("bad settings");
        expect_that!(e.kind(), eq(Kind::InvalidSettings));
        expect_that!(
            e.detail(),
            all![starts_with("sidecar.jsonc: "), contains_substring(message)]
        );
    }
}
