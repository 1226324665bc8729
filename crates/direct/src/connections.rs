//! HTTP/1 connections to endpoints.
//!
//! Connections are opened on demand and reused after a response was read completely.

mod read_limit;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use eelgrassramp::Context;
use eelgrassramp::EndpointName;
use eelgrassramp::Monotonic;
use eelgrassramp::lock;
use eelgrassramp::request_body::SentBody;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use self::read_limit::LimitedStream;
use self::read_limit::ReadLimit;
use crate::endpoint::Endpoint;

/// Timeout for opening a connection to an endpoint.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Time that sent bytes may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle time before the first TCP keep-alive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Idle timeout of a connection when the endpoint sends none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum idle timeout of a connection.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Fraction of the endpoint's idle timeout for which an idle connection is reused.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;

/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 6;

/// Maximum size of the read buffer of a connection, which also limits the response head.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;

/// Maximum number of recorded senders of unsolicited bytes.
const MAX_UNSOLICITED_SENDERS: usize = 256;

/// Sets the socket options that all TCP connections of this system use.
///
/// Keep-alive probes and the timeout for unacknowledged bytes detect a remote host that vanished
/// without a reset.
///
/// # Errors
///
/// Returns the error of the first option that could not be set.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Client side of a connection whose responses are read as a whole.
#[derive(Debug)]
pub struct WholeResponseClient {
    tx: SendRequest<Full<Bytes>>,
    read_limit: ReadLimit,
}

impl WholeResponseClient {
    /// Opens an HTTP/1 connection, driven by a task that ends with the connection. A response that is
    /// longer than `max_response_bytes`, head and framing included, fails.
    ///
    /// # Errors
    ///
    /// Returns the I/O error, or a timeout after `limit`.
    async fn connect(
        cx: &Context,
        addr: SocketAddr,
        limit: Duration,
        max_response_bytes: u64,
    ) -> std::io::Result<Self> {
        let stream = open_stream(cx, addr, limit).await?;
        let read_limit = ReadLimit::of_response(max_response_bytes);
        let stream = LimitedStream::new(stream, read_limit.clone());
        let (tx, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        tokio::spawn(async move {
            // Errors during a request are returned to its sender; errors while idle are ignored.
            let _ended = driver.await;
        });
        Ok(Self { tx, read_limit })
    }

    /// Returns `kept` if another request can be sent on it, and otherwise opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the I/O error, or a timeout after `limit`.
    pub async fn reuse_or_connect(
        kept: Option<Self>,
        cx: &Context,
        addr: SocketAddr,
        limit: Duration,
        max_response_bytes: u64,
    ) -> std::io::Result<Self> {
        if let Some(mut kept) = kept
            && kept.tx.ready().await.is_ok()
        {
            return Ok(kept);
        }
        Self::connect(cx, addr, limit, max_response_bytes).await
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection, also when the response is too long.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> hyper::Result<Response<Bytes>> {
        self.read_limit.reset();
        let (parts, mut body) = self.tx.send_request(req).await?.into_parts();
        // One buffer takes less memory than a list of chunks, which may be small.
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                whole.extend_from_slice(&data);
            }
        }
        Ok(Response::from_parts(parts, whole.freeze()))
    }
}

async fn open_stream(
    cx: &Context,
    addr: SocketAddr,
    limit: Duration,
) -> std::io::Result<TcpStream> {
    let stream = cx.timers.limit(limit, TcpStream::connect(addr)).await;
    let stream = stream.unwrap_or_else(|| Err(std::io::ErrorKind::TimedOut.into()))?;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// The sending side of an HTTP/1 connection; dropping it aborts the task that drives it.
#[derive(Debug)]
pub struct Connection {
    tx: SendRequest<SentBody>,
    task: AbortHandle,
    key: IncarnationId,
    read_limit: ReadLimit,
}

impl Connection {
    /// Resets the byte counts of the read limit and returns the handle to send one request with.
    pub fn begin_request(&mut self) -> &mut SendRequest<SentBody> {
        self.read_limit.reset();
        &mut self.tx
    }

    /// Counts body bytes of the response; the allowed overhead grows with them.
    pub fn count_body(&self, n: u64) {
        self.read_limit.count_body(n);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Without the abort, the connection would stay open until the task is polled again.
        self.task.abort();
    }
}

/// Identifies an incarnation of an endpoint.
///
/// Prevents a connection to one incarnation from being used for another one that has the same address.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct IncarnationId {
    name: EndpointName,
    started_ms: Option<u64>,
    address: SocketAddr,
}

impl From<&Endpoint> for IncarnationId {
    fn from(endpoint: &Endpoint) -> Self {
        Self {
            name: endpoint.name.clone(),
            started_ms: endpoint.started_ms,
            address: endpoint.address,
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Monotonic,
}

/// Opens connections to endpoints, and keeps idle ones for reuse.
#[derive(Debug)]
pub struct ConnectionPool {
    cx: Context,
    idle: Mutex<HashMap<IncarnationId, Vec<IdleConnection>>>,
    /// Endpoints that sent bytes on an idle connection, one element per connection.
    unsolicited_senders: Arc<Mutex<Vec<IncarnationId>>>,
}

impl ConnectionPool {
    /// Creates a connection pool without connections.
    #[must_use]
    pub fn new(cx: &Context) -> Arc<Self> {
        Arc::new(Self {
            cx: cx.clone(),
            idle: Mutex::default(),
            unsolicited_senders: Arc::default(),
        })
    }

    /// Returns an idle connection to the endpoint, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns the I/O error, or a timeout after [`CONNECT_TIMEOUT`].
    pub async fn get(&self, endpoint: &Endpoint) -> std::io::Result<Connection> {
        let key = IncarnationId::from(endpoint);
        if let Some(connection) = self.take_idle(&key) {
            return Ok(connection);
        }
        self.open(key).await
    }

    /// Keeps a connection for reuse after a whole response was read from it.
    ///
    /// `endpoint_idle_timeout` is the idle timeout that the endpoint sent.
    pub fn put(&self, connection: Connection, endpoint_idle_timeout: Option<Duration>) {
        if connection.tx.is_closed() {
            return;
        }
        let idle_timeout = endpoint_idle_timeout
            .map_or(DEFAULT_IDLE_TIMEOUT, |d| d.mul_f64(IDLE_TIMEOUT_FRACTION));
        let expires_at = self.cx.timers.now() + idle_timeout.min(MAX_IDLE_TIMEOUT);
        let mut idle = self.lock();
        let list = idle.entry(connection.key.clone()).or_default();
        if list.len() < MAX_IDLE_PER_ENDPOINT {
            list.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Drops idle connections that have expired, are closed, or whose endpoint is not in
    /// `endpoints`.
    pub fn close_unusable_idle(&self, endpoints: &[Arc<Endpoint>]) {
        let now = self.cx.timers.now();
        let mut idle = self.lock();
        idle.retain(|key, list| {
            list.retain(|i| i.expires_at > now && !i.connection.tx.is_closed());
            !list.is_empty() && endpoints.iter().any(|e| IncarnationId::from(&**e) == *key)
        });
    }

    /// Closes all idle connections and returns their number.
    pub fn close_all_idle(&self) -> usize {
        let closed = std::mem::take(&mut *self.lock());
        closed.values().map(Vec::len).sum()
    }

    /// Closes the idle connections to an endpoint that accepts no more requests.
    pub fn close_idle(&self, endpoint: &Endpoint) {
        let closed = self.lock().remove(&IncarnationId::from(endpoint));
        drop(closed);
    }

    /// Returns whether the endpoint refuses connections, which shows that its process has ended; `None`
    /// if it does not respond. A connection that it accepts is kept for reuse.
    pub async fn refuses_connections(&self, endpoint: &Endpoint) -> Option<bool> {
        match self.open(IncarnationId::from(endpoint)).await {
            Ok(connection) => {
                self.put(connection, None);
                Some(false)
            }
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => Some(true),
            Err(_) => None,
        }
    }

    fn take_idle(&self, key: &IncarnationId) -> Option<Connection> {
        let now = self.cx.timers.now();
        let mut idle = self.lock();
        let list = idle.get_mut(key)?;
        while let Some(IdleConnection {
            connection,
            expires_at,
        }) = list.pop()
        {
            if expires_at > now && connection.tx.is_ready() && !connection.tx.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    async fn open(&self, key: IncarnationId) -> std::io::Result<Connection> {
        let stream = open_stream(&self.cx, key.address, CONNECT_TIMEOUT).await?;
        let read_limit = ReadLimit::of_overhead();
        let stream = LimitedStream::new(stream, read_limit.clone());
        let (tx, driver) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let unsolicited_senders = Arc::clone(&self.unsolicited_senders);
        let owner = key.clone();
        let task = tokio::spawn(async move {
            let ended = driver.await;
            let mut unsolicited_senders = lock(&unsolicited_senders);
            if ended.is_err_and(|e| is_unsolicited_data(&e))
                && unsolicited_senders.len() < MAX_UNSOLICITED_SENDERS
            {
                unsolicited_senders.push(owner);
            }
        });
        let task = task.abort_handle();
        Ok(Connection {
            tx,
            task,
            key,
            read_limit,
        })
    }

    /// Returns the endpoints that sent bytes on idle connections since the last call, once for
    /// each connection.
    pub fn take_unsolicited_senders(&self) -> Vec<(EndpointName, SocketAddr)> {
        let unsolicited_senders = std::mem::take(&mut *lock(&self.unsolicited_senders));
        unsolicited_senders
            .into_iter()
            .map(|k| (k.name, k.address))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<IncarnationId, Vec<IdleConnection>>> {
        lock(&self.idle)
    }
}

/// Returns whether a connection ended because it received bytes that belong to no request.
///
/// Excluded are socket errors, failures of a request in progress and connections closed by this
/// side.
fn is_unsolicited_data(e: &hyper::Error) -> bool {
    let is_socket_error =
        std::error::Error::source(e).is_some_and(<dyn std::error::Error>::is::<std::io::Error>);
    !is_socket_error && !e.is_canceled() && !e.is_closed() && !e.is_incomplete_message()
}
