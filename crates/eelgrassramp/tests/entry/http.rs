//! The HTTP interface for callers over real sockets, including malformed and slow requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Context;
use eelgrassramp::entry::Service;
use eelgrassramp::entry::serve_with;
use eelgrassramp::link::SidecarLink;
use eelgrassramp::tables::CurrentTables;
use eelgrassramp::wire::Frame;
use eelgrassramp::wire::Header;
use googletest::prelude::*;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::fixture::BODY;
use crate::fixture::ScriptedLink;
use crate::fixture::StreamAction;
use crate::fixture::StreamReply;
use crate::fixture::data_frame;
use crate::fixture::queued_frame;
use crate::fixture::settings;
use crate::fixture::started_frame;
use crate::fixture::tables;

struct Server {
    address: SocketAddr,
    link: Arc<ScriptedLink>,
    cx: Context,
    serve_task: JoinHandle<eelgrassramp::Result<()>>,
}

impl Server {
    async fn start() -> Self {
        let mut settings = settings();
        settings.limits.receive_ms = 300;
        settings.drain.unready_ms = 0;
        let cx = Context::quiet(3);
        let link = ScriptedLink::new(cx.timers.clone());
        let service = Service::new(
            settings.clone(),
            Arc::clone(&link) as Arc<dyn SidecarLink>,
            Arc::new(CurrentTables::new(tables(&[1]))),
            cx.clone(),
        );
        while !service.is_ready() {
            tokio::task::yield_now().await;
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let serve_cx = cx.clone();
        let serve_task =
            tokio::spawn(async move { serve_with(&settings, service, listener, serve_cx).await });
        Self {
            address,
            link,
            cx,
            serve_task,
        }
    }

    /// Sends bytes on a new connection and reads until it is closed.
    async fn send_raw(&self, bytes: &[u8]) -> String {
        let mut socket = TcpStream::connect(self.address).await.unwrap();
        socket.write_all(bytes).await.unwrap();
        let mut out = Vec::new();
        // The server may reset the connection instead of closing it.
        let _ended = socket.read_to_end(&mut out).await;
        String::from_utf8_lossy(&out).into_owned()
    }

    async fn post(&self, path: &str, body: &str) -> String {
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        self.send_raw(format!("{head}{body}").as_bytes()).await
    }
}

fn event_stream(rest: Vec<StreamAction>) -> StreamReply {
    let head = StreamAction::Frame(Frame::Head {
        status: 200,
        headers: vec![Header {
            name: "content-type".to_owned(),
            value: b"text/event-stream".to_vec(),
        }],
    });
    let mut actions = vec![queued_frame(), started_frame(), head];
    actions.extend(rest);
    StreamReply::Stream(actions)
}

#[googletest::test]
#[tokio::test]
async fn a_response_over_http1_reports_that_the_request_ran() {
    let server = Server::start().await;

    let response = server.post("/charges", "{}").await;

    expect_that!(response, starts_with("HTTP/1.1 200"));
    expect_that!(response, contains_substring("eelgrassramp-ran: yes"));
    expect_that!(response, contains_substring("eelgrassramp-request: "));
    expect_that!(response, ends_with(std::str::from_utf8(BODY).unwrap()));
}

#[googletest::test]
#[tokio::test]
async fn a_response_over_http2_with_prior_knowledge_is_complete() {
    let server = Server::start().await;
    let socket = TcpStream::connect(server.address).await.unwrap();
    let (mut tx, connection) =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(socket))
            .await
            .unwrap();
    tokio::spawn(connection);
    let req = hyper::Request::post(format!("http://{}/charges", server.address))
        .body(Full::new(bytes::Bytes::from_static(b"{}")))
        .unwrap();

    let resp = tx.send_request(req).await.unwrap();

    expect_that!(resp.status().as_u16(), eq(200));
    let body = resp.into_body().collect().await.unwrap().to_bytes();
    expect_that!(&*body, eq(BODY));
}

#[googletest::test]
#[tokio::test]
async fn a_stream_that_breaks_ends_with_an_error_event_and_no_terminator() {
    let server = Server::start().await;
    let script = event_stream(vec![data_frame(0, 5), StreamAction::Break]);
    server.link.state().dispatch.push_back(script);

    let response = server.post("/drafts", "{}").await;

    expect_that!(response, contains_substring("event: error"));
    expect_that!(response, contains_substring("stream_broken"));
    expect_that!(response, not(ends_with("0\r\n\r\n")));
}

#[googletest::test]
#[tokio::test]
async fn invalid_requests_get_a_specific_error_and_are_not_dispatched() {
    let server = Server::start().await;
    let large_body = "x".repeat(5_000);
    let cases = [
        (server.post("/nowhere", "{}").await, "404", "unknown_route"),
        (
            server.post("/charges", &large_body).await,
            "413",
            "request_too_large",
        ),
        (
            server
                .send_raw(b"POST /charges HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{")
                .await,
            "408",
            "request_timeout",
        ),
        (
            server
                .send_raw(
                    b"POST /charges HTTP/1.1\r\nhost: x\r\neelgrassramp-account: \xff\r\n\
                      connection: close\r\ncontent-length: 0\r\n\r\n",
                )
                .await,
            "400",
            "bad_request",
        ),
    ];

    for (response, status, kind) in cases {
        expect_that!(response, starts_with(format!("HTTP/1.1 {status}")));
        expect_that!(response, contains_substring(kind));
        expect_that!(response, contains_substring("eelgrassramp-ran: no"));
    }
    expect_that!(server.link.state().dispatched, is_empty());
}

#[googletest::test]
#[tokio::test]
async fn too_large_too_many_or_too_slow_headers_close_the_connection() {
    let server = Server::start().await;
    let large_headers = format!(
        "POST /charges HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n",
        "y".repeat(64 * 1024)
    );
    let many_headers = format!("POST /charges HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(200));

    let too_large = server.send_raw(large_headers.as_bytes()).await;
    let too_many = server.send_raw(many_headers.as_bytes()).await;
    let too_slow = server.send_raw(b"POST /charges HTTP/1.1\r\nhost").await;

    expect_that!(too_large, not(starts_with("HTTP/1.1 200")));
    expect_that!(too_many, not(starts_with("HTTP/1.1 200")));
    expect_that!(too_slow, not(starts_with("HTTP/1.1 200")));
    expect_that!(server.link.state().dispatched, is_empty());
}

#[googletest::test]
#[tokio::test]
async fn a_stop_waits_for_a_running_stream_and_then_ends_the_process() {
    let server = Server::start().await;
    let wait = StreamAction::Wait(Duration::from_millis(150));
    let last = StreamAction::Frame(Frame::Final {
        length: BODY.len() as u64,
        usage: eelgrassramp::wire::Usage::default(),
        load: crate::fixture::load(),
    });
    let script = event_stream(vec![
        data_frame(0, 5),
        wait,
        data_frame(5, BODY.len()),
        last,
    ]);
    server.link.state().dispatch.push_back(script);
    let address = server.address;
    let stop = server.cx.stop.clone();
    let stop_after_dispatch = async {
        while server.link.state().dispatched.is_empty() {
            tokio::task::yield_now().await;
        }
        stop.cancel();
    };

    let (response, ()) = tokio::join!(server.post("/drafts", "{}"), stop_after_dispatch);
    let outcome = server.serve_task.await.unwrap();

    expect_that!(response, ends_with("0\r\n\r\n"));
    expect_that!(outcome.is_ok(), eq(true));
    expect_that!(TcpStream::connect(address).await.is_err(), eq(true));
}

#[googletest::test]
#[tokio::test]
async fn health_readiness_and_histograms_are_served() {
    let server = Server::start().await;
    let _answer = server.post("/charges", "{}").await;

    let healthz = server.post("/healthz", "").await;
    let readyz = server.post("/readyz", "").await;
    let histograms = server.post("/histograms", "").await;

    expect_that!(healthz, starts_with("HTTP/1.1 200"));
    expect_that!(readyz, starts_with("HTTP/1.1 200"));
    expect_that!(histograms, contains_substring("\"tier\":\"order\""));
    expect_that!(histograms, contains_substring("\"whole\":1"));
}
