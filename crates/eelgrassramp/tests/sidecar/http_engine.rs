//! The HTTP engine client against scripted responses.

use std::net::SocketAddr;

use bytes::Bytes;
use eelgrassramp::FencingToken;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use eelgrassramp::Timers;
use eelgrassramp::engine::Engine;
use eelgrassramp::engine::EngineEvent;
use eelgrassramp::engine::HttpEngine;
use eelgrassramp::wire::Call;
use eelgrassramp::wire::EngineAction;
use eelgrassramp::wire::Usage;
use futures_util::StreamExt;
use googletest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::fixture::request;

const EVENT_STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    connection: close\r\n\r\n";
const USAGE_EVENT: &str =
    "data: {\"usage\":{\"prompt_tokens\":9,\"cached_tokens\":4,\"completion_tokens\":2}}\n\n";

/// Starts a server that replies with `response` to any request on one connection.
async fn engine_with_response(response: String) -> HttpEngine {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        let (mut tcp, _) = listener.accept().await.expect("accept");
        let mut buf = [0; 4096];
        let _read = tcp.read(&mut buf).await.expect("read");
        tcp.write_all(response.as_bytes()).await.expect("write");
    });
    HttpEngine::new(address, Timers::start())
}

fn call(path: &str) -> Call {
    Call {
        method: "POST".into(),
        path: path.into(),
        headers: Vec::new(),
        body: Bytes::from_static(b"{}"),
    }
}

async fn last_event(engine: &HttpEngine) -> Result<EngineEvent> {
    let stream = engine.run(request(1), call("/v1/completions")).await?;
    let mut events: Vec<_> = stream.collect().await;
    events.pop().expect("some event")
}

fn kind_of(outcome: Result<EngineEvent>) -> Option<Kind> {
    outcome.err().map(|e| e.kind())
}

#[googletest::test]
#[tokio::test]
async fn a_complete_event_stream_ends_with_its_usage() {
    let response = format!("{EVENT_STREAM_HEAD}data: {{}}\n\n{USAGE_EVENT}data: [DONE]\n\n");
    let engine = engine_with_response(response).await;

    let last = last_event(&engine).await;

    let usage = Usage {
        prefill_tokens: 5,
        cached_tokens: 4,
        output_tokens: 2,
    };
    expect_that!(last, ok(eq(&EngineEvent::End(usage))));
}

#[googletest::test]
#[tokio::test]
async fn an_event_stream_without_its_end_marker_is_broken() {
    let engine = engine_with_response(format!("{EVENT_STREAM_HEAD}data: {{}}\n\n")).await;

    let last = last_event(&engine).await;

    expect_that!(kind_of(last), some(eq(Kind::StreamBroken)));
}

#[googletest::test]
#[tokio::test]
async fn a_body_shorter_than_announced_is_broken() {
    let response = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n{\"a\"";
    let engine = engine_with_response(response.to_owned()).await;

    let last = last_event(&engine).await;

    expect_that!(kind_of(last), some(eq(Kind::StreamBroken)));
}

#[googletest::test]
#[tokio::test]
async fn a_connection_closed_without_a_response_may_have_run_the_call() {
    let engine = engine_with_response(String::new()).await;

    let outcome = last_event(&engine).await;

    expect_that!(kind_of(outcome), some(eq(Kind::EndpointFailed)));
}

#[googletest::test]
#[tokio::test]
async fn a_refused_connection_and_an_unsendable_call_were_not_sent() {
    let closed: SocketAddr = {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        listener.local_addr().expect("address")
    };
    let engine = HttpEngine::new(closed, Timers::start());

    let refused = last_event(&engine).await;
    let unsendable = engine.run(request(1), call("no path")).await.map(drop);

    expect_that!(kind_of(refused), some(eq(Kind::ConnectFailed)));
    expect_that!(
        unsendable.err().map(|e| e.kind()),
        some(eq(Kind::ConnectFailed))
    );
}

#[googletest::test]
#[tokio::test]
async fn an_engine_that_checks_tokens_refuses_an_old_order() {
    let engine = engine_with_response("HTTP/1.1 409 Conflict\r\n\r\n".to_owned()).await;

    let outcome = engine
        .order(EngineAction::Load("v2".into()), FencingToken(1))
        .await;

    expect_that!(outcome.err().map(|e| e.kind()), some(eq(Kind::FencedOff)));
}

/// Guards against a status that means nothing to callers, or another thing than a response.
#[googletest::test]
#[tokio::test]
async fn a_status_that_is_none_is_a_failure_of_the_endpoint() {
    for odd in ["000", "099", "101", "600", "999"] {
        let response = format!("HTTP/1.1 {odd} x\r\ncontent-length: 2\r\n\r\n{{}}");
        let engine = engine_with_response(response).await;

        let outcome = last_event(&engine).await;

        expect_that!(kind_of(outcome), some(eq(Kind::EndpointFailed)), "{odd}");
    }
}

/// Guards against a reset that is seen by writing the call alone, after which the end of the response is
/// taken for a regular one.
#[googletest::test]
#[tokio::test]
async fn a_response_that_is_reset_while_the_call_is_written_is_broken() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        let (mut tcp, _) = listener.accept().await.expect("accept");
        tcp.set_zero_linger().expect("the socket is open");
        let mut buf = [0; 4096];
        let _read = tcp.read(&mut buf).await.expect("read");
        let _sent = tcp.write_all(b"HTTP/1.1 200 OK\r\n\r\n{\"a\"").await;
    });
    let engine = HttpEngine::new(address, Timers::start());
    let long = Call {
        body: vec![b'x'; 8 * 1024 * 1024].into(),
        ..call("/v1/completions")
    };

    let outcome = match engine.run(request(1), long).await {
        Ok(stream) => stream.collect::<Vec<_>>().await.pop().expect("some event"),
        Err(e) => Err(e),
    };

    expect_that!(outcome.is_err(), eq(true));
}
