//! The callers' interface over real sockets, with hostile callers.

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

use crate::fixture::Act;
use crate::fixture::BODY;
use crate::fixture::Script;
use crate::fixture::ScriptedLink;
use crate::fixture::data;
use crate::fixture::queued;
use crate::fixture::settings;
use crate::fixture::started;
use crate::fixture::tables;

struct Server {
    address: SocketAddr,
    link: Arc<ScriptedLink>,
    cx: Context,
    served: JoinHandle<eelgrassramp::Result<()>>,
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
        let serving = cx.clone();
        let served =
            tokio::spawn(async move { serve_with(&settings, service, listener, serving).await });
        Self {
            address,
            link,
            cx,
            served,
        }
    }

    /// Sends bytes on a connection of its own and reads until it closes.
    async fn raw(&self, bytes: &[u8]) -> String {
        let mut socket = TcpStream::connect(self.address).await.unwrap();
        socket.write_all(bytes).await.unwrap();
        let mut out = Vec::new();
        // A reset is as good an end as a close.
        let _ended = socket.read_to_end(&mut out).await;
        String::from_utf8_lossy(&out).into_owned()
    }

    async fn post(&self, path: &str, body: &str) -> String {
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        self.raw(format!("{head}{body}").as_bytes()).await
    }
}

fn event_stream(rest: Vec<Act>) -> Script {
    let head = Act::Frame(Frame::Head {
        status: 200,
        headers: vec![Header {
            name: "content-type".to_owned(),
            value: b"text/event-stream".to_vec(),
        }],
    });
    let mut acts = vec![queued(), started(), head];
    acts.extend(rest);
    Script::Stream(acts)
}

#[googletest::test]
#[tokio::test]
async fn an_answer_over_http1_tells_that_it_ran() {
    let server = Server::start().await;

    let got = server.post("/charges", "{}").await;

    expect_that!(got, starts_with("HTTP/1.1 200"));
    expect_that!(got, contains_substring("eelgrassramp-ran: yes"));
    expect_that!(got, contains_substring("eelgrassramp-request: "));
    expect_that!(got, ends_with(std::str::from_utf8(BODY).unwrap()));
}

#[googletest::test]
#[tokio::test]
async fn an_answer_over_http2_with_prior_knowledge_is_whole() {
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
    let script = event_stream(vec![data(0, 5), Act::Break]);
    server.link.state().dispatch.push_back(script);

    let got = server.post("/drafts", "{}").await;

    expect_that!(got, contains_substring("event: error"));
    expect_that!(got, contains_substring("stream_broken"));
    expect_that!(got, not(ends_with("0\r\n\r\n")));
}

#[googletest::test]
#[tokio::test]
async fn hostile_requests_get_a_named_error_and_never_reach_a_sidecar() {
    let server = Server::start().await;
    let large = "x".repeat(5_000);
    let cases = [
        (server.post("/nowhere", "{}").await, "404", "unknown_route"),
        (
            server.post("/charges", &large).await,
            "413",
            "request_too_large",
        ),
        (
            server
                .raw(b"POST /charges HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{")
                .await,
            "408",
            "request_timeout",
        ),
        (
            server
                .raw(
                    b"POST /charges HTTP/1.1\r\nhost: x\r\neelgrassramp-account: \xff\r\n\
                      connection: close\r\ncontent-length: 0\r\n\r\n",
                )
                .await,
            "400",
            "bad_request",
        ),
    ];

    for (got, status, kind) in cases {
        expect_that!(got, starts_with(format!("HTTP/1.1 {status}")));
        expect_that!(got, contains_substring(kind));
        expect_that!(got, contains_substring("eelgrassramp-ran: no"));
    }
    expect_that!(server.link.state().dispatched, is_empty());
}

#[googletest::test]
#[tokio::test]
async fn headers_that_are_too_large_or_too_slow_end_the_connection() {
    let server = Server::start().await;
    let large = format!(
        "POST /charges HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n",
        "y".repeat(64 * 1024)
    );
    let many = format!("POST /charges HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(200));

    let too_large = server.raw(large.as_bytes()).await;
    let too_many = server.raw(many.as_bytes()).await;
    let too_slow = server.raw(b"POST /charges HTTP/1.1\r\nhost").await;

    expect_that!(too_large, not(starts_with("HTTP/1.1 200")));
    expect_that!(too_many, not(starts_with("HTTP/1.1 200")));
    expect_that!(too_slow, not(starts_with("HTTP/1.1 200")));
    expect_that!(server.link.state().dispatched, is_empty());
}

#[googletest::test]
#[tokio::test]
async fn a_stop_lets_a_running_stream_end_whole_and_then_ends_the_process() {
    let server = Server::start().await;
    let wait = Act::Wait(Duration::from_millis(150));
    let last = Act::Frame(Frame::Final {
        length: BODY.len() as u64,
        usage: eelgrassramp::wire::Usage::default(),
        load: crate::fixture::load(),
    });
    let script = event_stream(vec![data(0, 5), wait, data(5, BODY.len()), last]);
    server.link.state().dispatch.push_back(script);
    let address = server.address;
    let stop = server.cx.stop.clone();
    let stopper = async {
        while server.link.state().dispatched.is_empty() {
            tokio::task::yield_now().await;
        }
        stop.cancel();
    };

    let (got, ()) = tokio::join!(server.post("/drafts", "{}"), stopper);
    let outcome = server.served.await.unwrap();

    expect_that!(got, ends_with("0\r\n\r\n"));
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
