//! The HTTP server of the sidecar.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use eelgrassramp::Result;
use eelgrassramp::Tier;
use eelgrassramp::sidecar::serve_with;
use eelgrassramp::wire;
use eelgrassramp::wire::Failure;
use eelgrassramp::wire::Frame;
use eelgrassramp::wire::FrameDecoder;
use eelgrassramp::wire::Report;
use eelgrassramp::wire::ReportRequest;
use googletest::prelude::*;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::fixture::FakeEngine;
use super::fixture::Script;
use super::fixture::message;
use super::fixture::settings;

pub struct Server {
    pub address: SocketAddr,
    engine: Arc<FakeEngine>,
    cx: eelgrassramp::Context,
    task: JoinHandle<Result<()>>,
}

pub async fn start_server(script: Script) -> Server {
    let cx = eelgrassramp::Context::quiet(1);
    let engine = FakeEngine::new(script);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let task = tokio::spawn(serve_with(
        settings(),
        Arc::clone(&engine) as _,
        None,
        listener,
        cx.clone(),
    ));
    Server {
        address,
        engine,
        cx,
        task,
    }
}

pub async fn post(to: SocketAddr, path: &str, body: Bytes) -> (u16, Bytes) {
    let tcp = TcpStream::connect(to).await.expect("connect");
    let (mut tx, connection) = http1::handshake(TokioIo::new(tcp))
        .await
        .expect("handshake");
    tokio::spawn(connection);
    let req = http::Request::post(path)
        .header("host", "sidecar")
        .body(Full::new(body))
        .expect("request");
    let resp = tx.send_request(req).await.expect("response");
    let status = resp.status().as_u16();
    let body = resp.into_body().collect().await.expect("body");
    (status, body.to_bytes())
}

async fn dispatch_body(to: SocketAddr) -> Bytes {
    let report_request = wire::to_bytes(&ReportRequest::default()).expect("encode");
    let (_, body) = post(to, wire::path::REPORT, report_request).await;
    let report: Report = wire::from_bytes(&body).expect("report");
    let mut msg = message(1, Tier::Interactive);
    msg.incarnation = report.load.incarnation;
    msg.mark = report.load.mark;
    wire::to_bytes(&msg).expect("encode")
}

fn last_frame(body: &[u8]) -> Frame {
    let mut decoder = FrameDecoder::new();
    decoder.extend(body);
    let next = || decoder.next_frame().expect("frame");
    std::iter::from_fn(next).last().expect("some frame")
}

#[googletest::test]
#[tokio::test]
async fn a_stop_lets_a_running_response_complete() {
    let server = start_server(Script::Blocks).await;
    let body = dispatch_body(server.address).await;
    let response = tokio::spawn(post(server.address, wire::path::DISPATCH, body));
    while server.engine.runs_of(super::fixture::request(1)) == 0 {
        tokio::task::yield_now().await;
    }

    server.cx.stop.cancel();
    server.engine.release(1);

    let (status, body) = response.await.expect("response");
    // With paused time, the grace for reattaching entries elapses immediately.
    tokio::time::pause();
    expect_that!(status, eq(200));
    expect_that!(
        last_frame(&body),
        pat!(Frame::Final {
            length: eq(&14),
            ..
        })
    );
    expect_that!(server.task.await.expect("task"), ok(anything()));
}

#[googletest::test]
#[tokio::test]
async fn a_malformed_call_gets_a_failure_with_its_kind() {
    let server = start_server(Script::Completes).await;
    let invalid_body = Bytes::from_static(b"\xc1\xff not a message");

    let (status, body) = post(server.address, wire::path::DISPATCH, invalid_body).await;

    let failure: Failure = wire::from_bytes(&body).expect("failure");
    expect_that!(status, eq(400));
    expect_that!(failure.kind, eq(eelgrassramp::Kind::Malformed));
    expect_that!(failure.ran, eq(eelgrassramp::Ran::No));
}
