//! [`SidecarLink`] over HTTP/1.1 with one request at a time per connection.
//!
//! Connections are not multiplexed, so that a stalled connection does not delay other requests: see
//! `docs/design/entry.md`, "Connections".

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use super::FrameStream;
use super::LinkError;
use super::SidecarLink;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::time::Monotonic;
use crate::time::Timers;
use crate::wire;
use crate::wire::Attach;
use crate::wire::Cancel;
use crate::wire::CloseKey;
use crate::wire::CloseKeyReply;
use crate::wire::Dispatch;
use crate::wire::EngineOrder;
use crate::wire::Failure;
use crate::wire::Frame;
use crate::wire::FrameDecoder;
use crate::wire::OrderReply;
use crate::wire::Report;
use crate::wire::ReportRequest;
use crate::wire::Revoke;
use crate::wire::RevokeReply;
use crate::wire::TablesSnapshot;
use crate::wire::path;

/// Timeout for establishing a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a call that is answered with one message.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of an engine order, which may load a version from the weight store.
const ORDER_TIMEOUT: Duration = Duration::from_mins(2);

/// Timeout for the end of the body after the last frame.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(200);

/// Idle time after which a connection is closed rather than reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

/// Maximum number of idle connections per sidecar.
const MAX_IDLE_CONNECTIONS: usize = 8;

type Sender = http1::SendRequest<Full<Bytes>>;

/// A [`SidecarLink`] over HTTP with a pool of idle connections per sidecar.
///
/// Attach and revoke always open a new connection and discard the sidecar's idle connections,
/// because they are called when a connection is suspected to be dead.
#[derive(Debug, Clone)]
pub struct HttpLink {
    timers: Timers,
    idle: Arc<IdlePool>,
}

/// Whether a call may reuse an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reuse {
    Allowed,
    Never,
}

impl HttpLink {
    /// Creates a link without connections.
    #[must_use]
    pub fn new(timers: Timers) -> Self {
        Self {
            timers,
            idle: Arc::default(),
        }
    }

    async fn send(
        &self,
        to: SocketAddr,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<(Sender, Response<Incoming>), LinkError> {
        let mut req = req;
        if reuse == Reuse::Never {
            self.idle.discard(to);
        }
        while let Some(mut tx) = self.idle.take(to, self.timers.now()) {
            match tx.try_send_request(req).await {
                Ok(resp) => return Ok((tx, resp)),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(broken(to, e.into_error())),
                },
            }
        }
        let mut tx = self.connect(to).await.map_err(LinkError::NotSent)?;
        match tx.try_send_request(req).await {
            Ok(resp) => Ok((tx, resp)),
            Err(e) if e.message().is_some() => Err(LinkError::NotSent(Error::with_source(
                Kind::ConnectFailed,
                format!("sidecar {to}"),
                e.into_error(),
            ))),
            Err(e) => Err(broken(to, e.into_error())),
        }
    }

    async fn connect(&self, to: SocketAddr) -> Result<Sender> {
        let failed =
            |e| Error::with_source(Kind::ConnectFailed, format!("connect to sidecar {to}"), e);
        let timeout = || {
            Error::new(
                Kind::ConnectFailed,
                format!("connect to sidecar {to}: timeout"),
            )
        };
        let socket = self
            .timers
            .limit(CONNECT_TIMEOUT, TcpStream::connect(to))
            .await
            .ok_or_else(timeout)?
            .map_err(|e| failed(e.into()))?;
        socket.set_nodelay(true).map_err(|e| failed(e.into()))?;
        let (tx, connection) =
            http1::handshake(TokioIo::new(socket))
                .await
                .map_err(|e: hyper::Error| {
                    failed(Box::<dyn std::error::Error + Send + Sync>::from(e))
                })?;
        tokio::spawn(async move {
            // A connection failure is reported by the call that uses the connection.
            let _ended = connection.await;
        });
        Ok(tx)
    }

    /// Sends a call that is answered with one message.
    async fn call<M, R>(
        &self,
        to: SocketAddr,
        path: &str,
        msg: &M,
        reuse: Reuse,
        limit: Duration,
    ) -> Result<R, LinkError>
    where
        M: Serialize + Sync,
        R: DeserializeOwned,
    {
        let req = post(to, path, msg)?;
        let body = self.exchange(to, req, reuse, limit).await?;
        wire::from_bytes(&body).map_err(LinkError::Broken)
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
        limit: Duration,
    ) -> Result<Bytes, LinkError> {
        let work = async {
            let (tx, resp) = self.send(to, req, reuse).await?;
            let status = resp.status();
            let body = read_body(to, resp.into_body()).await?;
            self.idle.put(to, tx, self.timers.now());
            if status.is_success() {
                Ok(body)
            } else {
                let detail = format!("sidecar {to} answered with status {status}");
                Err(LinkError::Broken(Error::new(Kind::Malformed, detail)))
            }
        };
        self.timers.limit(limit, work).await.unwrap_or_else(|| {
            let detail = format!(
                "sidecar {to} did not answer within {} ms",
                limit.as_millis()
            );
            Err(LinkError::Broken(Error::new(Kind::StreamBroken, detail)))
        })
    }

    async fn stream<M: Serialize + Sync>(
        &self,
        to: SocketAddr,
        path: &str,
        msg: &M,
        reuse: Reuse,
    ) -> Result<FrameStream, LinkError> {
        let req = post(to, path, msg)?;
        let (tx, resp) = self.send(to, req, reuse).await?;
        if resp.status().is_success() {
            return Ok(self.frames(to, tx, resp.into_body()));
        }
        let status = resp.status();
        let body = read_body(to, resp.into_body()).await?;
        let failure: Failure = wire::from_bytes(&body).map_err(|e| {
            let detail = format!("sidecar {to} answered with status {status}");
            LinkError::Broken(Error::with_source(Kind::Malformed, detail, e))
        })?;
        let frames = futures_util::stream::iter([Ok(Frame::Failed(failure))]);
        Ok(Box::pin(frames))
    }

    fn frames(&self, to: SocketAddr, tx: Sender, body: Incoming) -> FrameStream {
        let state = FrameReader {
            link: self.clone(),
            to,
            tx,
            body,
            decoder: FrameDecoder::new(),
        };
        Box::pin(futures_util::stream::unfold(Some(state), |state| async {
            let state = state?;
            Some(state.next().await)
        }))
    }
}

/// State of reading one framed answer.
struct FrameReader {
    link: HttpLink,
    to: SocketAddr,
    tx: Sender,
    body: Incoming,
    decoder: FrameDecoder,
}

impl FrameReader {
    async fn next(mut self) -> (Result<Frame>, Option<Self>) {
        loop {
            match self.decoder.next_frame() {
                Ok(Some(frame @ (Frame::Final { .. } | Frame::Failed(_)))) => {
                    tokio::spawn(self.return_to_pool());
                    return (Ok(frame), None);
                }
                Ok(Some(frame)) => return (Ok(frame), Some(self)),
                Ok(None) => {}
                Err(e) => return (Err(e), None),
            }
            match self.body.frame().await {
                Some(Ok(chunk)) => {
                    if let Ok(bytes) = chunk.into_data() {
                        self.decoder.extend(&bytes);
                    }
                }
                Some(Err(e)) => return (Err(self.stream_broken(&e.to_string())), None),
                None => return (Err(self.stream_broken("ended early")), None),
            }
        }
    }

    fn stream_broken(&self, cause: &str) -> Error {
        let detail = format!("stream from sidecar {}: {cause}", self.to);
        Error::new(Kind::StreamBroken, detail)
    }

    /// Returns the connection to the idle pool once the end of the body has been read.
    async fn return_to_pool(mut self) {
        let end = self.link.timers.limit(BODY_END_TIMEOUT, self.body.frame());
        if matches!(end.await, Some(None)) {
            let now = self.link.timers.now();
            self.link.idle.put(self.to, self.tx, now);
        }
    }
}

/// Pool of idle connections.
#[derive(Debug, Default)]
struct IdlePool {
    by_sidecar: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    tx: Sender,
    since: Monotonic,
}

impl IdlePool {
    /// Returns the most recently used connection, and drops those that are closed or idle for too
    /// long.
    fn take(&self, to: SocketAddr, now: Monotonic) -> Option<Sender> {
        let mut by_sidecar = self.lock();
        let idle = by_sidecar.get_mut(&to)?;
        idle.retain(|c| now.since(c.since) < MAX_IDLE_TIME && c.tx.is_ready());
        idle.pop().map(|c| c.tx)
    }

    fn put(&self, to: SocketAddr, tx: Sender, now: Monotonic) {
        if tx.is_closed() {
            return;
        }
        let mut by_sidecar = self.lock();
        let idle = by_sidecar.entry(to).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection { tx, since: now });
        }
    }

    fn discard(&self, to: SocketAddr) {
        self.lock().remove(&to);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.by_sidecar
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn post<M: Serialize>(
    to: SocketAddr,
    path: &str,
    msg: &M,
) -> Result<Request<Full<Bytes>>, LinkError> {
    let body = wire::to_bytes(msg).map_err(LinkError::NotSent)?;
    request(to, Method::POST, path, body)
}

fn request(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, LinkError> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(hyper::header::HOST, to.to_string())
        .header(hyper::header::CONTENT_TYPE, "application/msgpack")
        .body(Full::new(body))
        .map_err(|e| LinkError::NotSent(Error::with_source(Kind::Internal, "build request", e)))
}

async fn read_body(to: SocketAddr, body: Incoming) -> Result<Bytes, LinkError> {
    Limited::new(body, wire::MAX_MESSAGE_BYTES)
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .map_err(|e| {
            let detail = format!("answer of sidecar {to}");
            LinkError::Broken(Error::with_source(Kind::StreamBroken, detail, e))
        })
}

fn broken(to: SocketAddr, e: hyper::Error) -> LinkError {
    LinkError::Broken(Error::with_source(
        Kind::StreamBroken,
        format!("call to sidecar {to}"),
        e,
    ))
}

/// Result of a call whose answer is empty.
type EmptyReply = ();

#[async_trait]
impl SidecarLink for HttpLink {
    async fn dispatch(&self, to: SocketAddr, msg: Dispatch) -> Result<FrameStream, LinkError> {
        self.stream(to, path::DISPATCH, &msg, Reuse::Allowed).await
    }

    async fn attach(&self, to: SocketAddr, msg: Attach) -> Result<FrameStream, LinkError> {
        self.stream(to, path::ATTACH, &msg, Reuse::Never).await
    }

    async fn revoke(&self, to: SocketAddr, msg: Revoke) -> Result<RevokeReply, LinkError> {
        self.call(to, path::REVOKE, &msg, Reuse::Never, CALL_TIMEOUT)
            .await
    }

    async fn cancel(&self, to: SocketAddr, msg: Cancel) -> Result<(), LinkError> {
        let req = post(to, path::CANCEL, &msg)?;
        self.exchange(to, req, Reuse::Allowed, CALL_TIMEOUT)
            .await
            .map(|_| EmptyReply::default())
    }

    async fn close_key(&self, to: SocketAddr, msg: CloseKey) -> Result<CloseKeyReply, LinkError> {
        self.call(to, path::KEY, &msg, Reuse::Allowed, CALL_TIMEOUT)
            .await
    }

    async fn report(&self, to: SocketAddr, msg: ReportRequest) -> Result<Report, LinkError> {
        self.call(to, path::REPORT, &msg, Reuse::Allowed, CALL_TIMEOUT)
            .await
    }

    async fn tables(&self, to: SocketAddr) -> Result<TablesSnapshot, LinkError> {
        let req = request(to, Method::GET, path::TABLES, Bytes::new())?;
        let body = self.exchange(to, req, Reuse::Allowed, CALL_TIMEOUT).await?;
        wire::from_bytes(&body).map_err(LinkError::Broken)
    }

    async fn push_tables(&self, to: SocketAddr, msg: TablesSnapshot) -> Result<(), LinkError> {
        let req = post(to, path::TABLES, &msg)?;
        self.exchange(to, req, Reuse::Allowed, CALL_TIMEOUT)
            .await
            .map(|_| EmptyReply::default())
    }

    async fn order(&self, to: SocketAddr, msg: EngineOrder) -> Result<OrderReply, LinkError> {
        self.call(to, path::ORDER, &msg, Reuse::Allowed, ORDER_TIMEOUT)
            .await
    }
}
