//! Tests of the HTTP link with real sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use eelgrassramp::ClockMark;
use eelgrassramp::Incarnation;
use eelgrassramp::Kind;
use eelgrassramp::Ran;
use eelgrassramp::RequestId;
use eelgrassramp::TableVersion;
use eelgrassramp::Tier;
use eelgrassramp::Timers;
use eelgrassramp::link::HttpLink;
use eelgrassramp::link::LinkError;
use eelgrassramp::link::SidecarLink;
use eelgrassramp::wire;
use eelgrassramp::wire::Attach;
use eelgrassramp::wire::Call;
use eelgrassramp::wire::Dispatch;
use eelgrassramp::wire::Failure;
use eelgrassramp::wire::Frame;
use eelgrassramp::wire::Load;
use eelgrassramp::wire::Revoke;
use eelgrassramp::wire::RevokeReply;
use eelgrassramp::wire::SplitSeq;
use eelgrassramp::wire::Usage;
use eelgrassramp::wire::WorkEstimate;
use futures_util::StreamExt;
use googletest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// How a test server responds to each call.
#[derive(Debug, Clone)]
enum Behaviour {
    /// Answers with this status and body and the correct length.
    Answer(u16, Vec<u8>),
    /// Announces a longer body than it sends, then closes the connection.
    Truncated(Vec<u8>),
    /// Reads the call and closes the connection.
    Close,
}

struct Server {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl Server {
    /// Starts a server that responds in the same way to every call.
    async fn start(behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&connections);
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve(socket, behaviour.clone()));
            }
        });
        Self {
            address,
            connections,
        }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

async fn serve(mut socket: TcpStream, behaviour: Behaviour) {
    while read_call(&mut socket).await {
        match &behaviour {
            Behaviour::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                socket.write_all(head.as_bytes()).await.unwrap();
                socket.write_all(body).await.unwrap();
            }
            Behaviour::Truncated(body) => {
                let head = "HTTP/1.1 200 x\r\ncontent-length: 100000\r\n\r\n";
                socket.write_all(head.as_bytes()).await.unwrap();
                socket.write_all(body).await.unwrap();
                return;
            }
            Behaviour::Close => return,
        }
    }
}

/// Reads one call with its body; returns whether there was one.
async fn read_call(socket: &mut TcpStream) -> bool {
    let mut buf = Vec::new();
    loop {
        let mut chunk = [0; 4_096];
        match socket.read(&mut chunk).await {
            Ok(0) | Err(_) => return false,
            Ok(n) => buf.extend_from_slice(&chunk[..n]),
        }
        let text = String::from_utf8_lossy(&buf).to_lowercase();
        let Some((head, _)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "))
            .map_or(0, |l| l.parse().unwrap());
        let head_length = buf.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
        if buf.len() >= head_length + length {
            return true;
        }
    }
}

fn load() -> Load {
    Load {
        incarnation: Incarnation(1),
        mark: ClockMark(1),
        tables: TableVersion(1),
        backlog_tokens: 0,
        queued: 0,
        running: 0,
        slots: 1,
        tokens_per_second: 1.0,
        floor: Tier::Batch,
        draining: false,
        brakes: 0,
        split: SplitSeq::default(),
    }
}

fn dispatch() -> Dispatch {
    Dispatch {
        request: RequestId::from_bits(1),
        attempt: eelgrassramp::Attempt(0),
        incarnation: Incarnation(1),
        mark: ClockMark(1),
        tables: TableVersion(1),
        route: "r".into(),
        pool: "p".into(),
        version: "v1".into(),
        tier: Tier::Order,
        account: "a".into(),
        key: None,
        key_time_ms: None,
        former_homes_closed: None,
        deadline_ms: 1_000,
        work: WorkEstimate::default(),
        non_idempotent: false,
        prefix: Vec::new(),
        call: Call {
            method: "POST".to_owned(),
            path: "/".to_owned(),
            headers: Vec::new(),
            body: bytes::Bytes::new(),
        },
    }
}

fn attach() -> Attach {
    Attach {
        request: RequestId::from_bits(1),
        incarnation: Incarnation(1),
        offset: 0,
    }
}

fn revoke() -> Revoke {
    Revoke {
        request: RequestId::from_bits(1),
        incarnation: Incarnation(1),
        mark: ClockMark(1),
    }
}

fn frames(frames: &[Frame]) -> Vec<u8> {
    frames
        .iter()
        .flat_map(|f| wire::to_frame(f).unwrap())
        .collect()
}

fn complete_answer() -> Vec<u8> {
    frames(&[
        Frame::Queued(load()),
        Frame::Started,
        Frame::Final {
            length: 0,
            usage: Usage::default(),
            load: load(),
        },
    ])
}

fn link() -> HttpLink {
    HttpLink::new(Timers::start())
}

#[googletest::test]
#[tokio::test]
async fn connection_is_reused_after_a_complete_answer() {
    let server = Server::start(Behaviour::Answer(200, complete_answer())).await;
    let link = link();

    for _ in 0..5 {
        let stream = link.dispatch(server.address, dispatch()).await.unwrap();
        let count = stream.collect::<Vec<_>>().await.len();
        tokio::task::yield_now().await;
        expect_that!(count, eq(3));
    }

    expect_that!(server.connections(), le(2));
}

#[googletest::test]
#[tokio::test]
async fn attach_uses_new_connections() {
    let server = Server::start(Behaviour::Answer(200, complete_answer())).await;
    let link = link();
    let stream = link.dispatch(server.address, dispatch()).await.unwrap();
    let _frames: Vec<_> = stream.collect().await;

    for _ in 0..3 {
        let stream = link.attach(server.address, attach()).await.unwrap();
        let _frames: Vec<_> = stream.collect().await;
    }

    expect_that!(server.connections(), eq(4));
}

#[googletest::test]
#[tokio::test]
async fn refused_connection_is_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);

    let outcome = link().dispatch(address, dispatch()).await;

    let err = outcome.err().unwrap();
    expect_that!(matches!(err, LinkError::NotSent(_)), eq(true), "{err}");
}

#[googletest::test]
#[tokio::test]
async fn connection_closed_after_the_call_is_reported_as_broken() {
    let server = Server::start(Behaviour::Close).await;

    let outcome = link().dispatch(server.address, dispatch()).await;

    let err = outcome.err().unwrap();
    expect_that!(matches!(err, LinkError::Broken(_)), eq(true), "{err}");
}

#[googletest::test]
#[tokio::test]
async fn stream_truncated_inside_a_frame_ends_with_an_error() {
    let bytes = complete_answer();
    let server = Server::start(Behaviour::Truncated(bytes[..bytes.len() - 3].to_vec())).await;

    let stream = link().dispatch(server.address, dispatch()).await.unwrap();
    let received: Vec<_> = stream.collect().await;

    expect_that!(received.len(), eq(3));
    let last = received.last().unwrap().as_ref().err().unwrap();
    expect_that!(last.kind(), eq(Kind::StreamBroken));
}

#[googletest::test]
#[tokio::test]
async fn refusal_with_an_error_status_becomes_a_failed_frame() {
    let refusal = Failure {
        kind: Kind::Draining,
        ran: Ran::No,
        detail: "leaving".to_owned(),
        load: load(),
    };
    let body = wire::to_bytes(&refusal).unwrap().to_vec();
    let server = Server::start(Behaviour::Answer(503, body)).await;

    let stream = link().dispatch(server.address, dispatch()).await.unwrap();
    let received: Vec<_> = stream.map(|f| f.unwrap()).collect().await;

    expect_that!(received, elements_are![eq(&Frame::Failed(refusal))]);
}

#[googletest::test]
#[tokio::test]
async fn undecodable_answer_is_reported_as_broken() {
    for body in [vec![], b"not MessagePack".to_vec(), vec![0xc1; 64]] {
        let server = Server::start(Behaviour::Answer(200, body)).await;

        let outcome = link().revoke(server.address, revoke()).await;

        expect_that!(
            outcome
                .err()
                .is_some_and(|e| matches!(e, LinkError::Broken(_))),
            eq(true)
        );
    }
}

#[googletest::test]
#[tokio::test]
async fn reply_is_decoded() {
    let body = wire::to_bytes(&RevokeReply::NeverStarted).unwrap().to_vec();
    let server = Server::start(Behaviour::Answer(200, body)).await;

    let reply = link().revoke(server.address, revoke()).await.unwrap();

    expect_that!(reply, eq(RevokeReply::NeverStarted));
}
