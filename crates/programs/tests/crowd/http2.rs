//! Clients that open many streams on HTTP/2 connections, with large heads and bodies that do not end.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http::Request;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::client::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::fixture::Target;
use crate::fixture::start;

/// Connections of the crowd.
const CONNECTIONS: usize = 100;

/// Streams on each connection.
const STREAMS: usize = 200;

/// Size of the head of each request, which the settings allow.
const HEAD_BYTES: usize = 14 * 1024;

/// Time after which a client stops sending to a server that does not read.
const SEND_TIMEOUT: Duration = Duration::from_secs(8);

/// A body of which nothing is sent.
struct SilentBody;

impl Body for SilentBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Infallible>>> {
        Poll::Pending
    }
}

/// Opens the streams of one connection; they stay open until the tasks are dropped.
async fn open_streams(addr: SocketAddr, path: &str) -> Option<JoinSet<()>> {
    let mut tasks = JoinSet::new();
    let stream = TcpStream::connect(addr).await.ok()?;
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (mut tx, connection) = handshake.await.ok()?;
    tasks.spawn(async move {
        let _ended = connection.await;
    });
    for _ in 0..STREAMS {
        let req = Request::post(format!("http://shop{path}"))
            .header("note", "n".repeat(HEAD_BYTES))
            .body(SilentBody);
        tx.ready().await.ok()?;
        let resp = tx.send_request(req.ok()?);
        tasks.spawn(async move {
            let _resp = resp.await;
        });
    }
    Some(tasks)
}

async fn open_crowd(addr: SocketAddr, path: &'static str) -> Vec<JoinSet<()>> {
    let mut connections = JoinSet::new();
    for _ in 0..CONNECTIONS {
        connections.spawn(tokio::time::timeout(SEND_TIMEOUT, open_streams(addr, path)));
    }
    let opened = connections.join_all().await.into_iter();
    opened.filter_map(|o| o.ok().flatten()).collect()
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_with_large_heads_that_do_not_end() -> googletest::Result<()> {
    let mut setup = start().await;

    let crowd = |addr| open_crowd(addr, "/status");
    let violations = setup.run(Target::Entry, crowd).await;

    verify_that!(violations, is_empty())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_to_a_sidecar_with_large_heads_that_do_not_end() -> googletest::Result<()> {
    let mut setup = start().await;

    let crowd = |addr| open_crowd(addr, "/v1/dispatch");
    let violations = setup.run(Target::Sidecar, crowd).await;

    verify_that!(violations, is_empty())
}
