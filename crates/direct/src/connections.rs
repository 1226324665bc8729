//! Connections to endpoints: opened on demand, kept while they are known to be clean.

mod read_limit;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::Context;
use eelgrassramp::EndpointName;
use eelgrassramp::Monotonic;
use eelgrassramp::lock;
use http_body_util::Full;
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

/// Time in which an endpoint has to accept a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Time for which sent bytes may stay unacknowledged before the connection is given up.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time without traffic after which the other side is probed, and between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which the connection is given up.
const PROBE_COUNT: u32 = 2;

/// Time for which a connection is kept idle when the endpoint states no limit.
const DEFAULT_IDLE: Duration = Duration::from_millis(1_500);

/// Longest time for which a connection is kept idle.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// Part of the endpoint's stated limit for which an idle connection is used again.
const IDLE_SHARE: f64 = 0.5;

/// Most idle connections kept to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 6;

/// Most bytes of an answer that a connection holds in its read buffer, which also bounds its head.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;

/// Most endpoints whose stray bytes are remembered until they are taken.
const MAX_UNSOLICITED_SENDERS: usize = 256;

/// Sets the options of every TCP connection of this system.
///
/// A connection whose other side fell silent without a reset shows only by probes and by bytes
/// that stay unacknowledged.
///
/// # Errors
///
/// Returns the error of the socket that refused an option.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_COUNT);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Opens an HTTP/1 connection; the task that drives it ends with the connection.
///
/// # Errors
///
/// Returns what kept the connection from being opened, after `limit` at the latest.
pub async fn connect(
    cx: &Context,
    addr: SocketAddr,
    limit: Duration,
) -> std::io::Result<(SendRequest<Full<Bytes>>, AbortHandle)> {
    let stream = open_stream(cx, addr, limit).await?;
    let (tx, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    let task = tokio::spawn(async move {
        // The requester sees every failure that matters; one while idle only ends the task.
        let _ended = driver.await;
    });
    Ok((tx, task.abort_handle()))
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

/// The request side of an HTTP/1 connection whose task ends with it.
#[derive(Debug)]
pub struct Connection {
    tx: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    key: Key,
    read_limit: ReadLimit,
}

impl Connection {
    /// Returns the handle through which one request is sent.
    pub fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        self.read_limit.reset();
        &mut self.tx
    }

    /// Counts bytes of the body of the answer, which bound the bytes that are none of it.
    pub fn count_body(&self, n: u64) {
        self.read_limit.count_body(n);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The task closes the connection only once it is polled again; aborting it is immediate.
        self.task.abort();
    }
}

/// An incarnation of an endpoint, so that a reused address never meets an old connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Key {
    name: EndpointName,
    started_ms: Option<u64>,
    address: SocketAddr,
}

impl From<&Endpoint> for Key {
    fn from(endpoint: &Endpoint) -> Self {
        Self {
            name: endpoint.name.clone(),
            started_ms: endpoint.started_ms,
            address: endpoint.address,
        }
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    use_until: Monotonic,
}

/// The kept connections of one process.
#[derive(Debug)]
pub struct ConnectionPool {
    cx: Context,
    idle: Mutex<HashMap<Key, Vec<Idle>>>,
    /// Endpoints that sent bytes on an idle connection.
    unsolicited_senders: Arc<Mutex<Vec<Key>>>,
}

impl ConnectionPool {
    /// Creates an empty set.
    #[must_use]
    pub fn new(cx: &Context) -> Arc<Self> {
        Arc::new(Self {
            cx: cx.clone(),
            idle: Mutex::default(),
            unsolicited_senders: Arc::default(),
        })
    }

    /// Returns a kept connection to the endpoint, or opens one.
    ///
    /// # Errors
    ///
    /// Returns what kept the connection from being opened.
    pub async fn get(&self, endpoint: &Endpoint) -> std::io::Result<Connection> {
        let key = Key::from(endpoint);
        if let Some(connection) = self.take_idle(&key) {
            return Ok(connection);
        }
        self.open(key).await
    }

    /// Keeps a connection on which a whole answer has just been read.
    pub fn put(&self, connection: Connection, stated: Option<Duration>) {
        if connection.tx.is_closed() {
            return;
        }
        let keep = stated.map_or(DEFAULT_IDLE, |d| d.mul_f64(IDLE_SHARE));
        let use_until = self.cx.timers.now() + keep.min(MAX_IDLE);
        let mut idle = self.lock();
        let list = idle.entry(connection.key.clone()).or_default();
        if list.len() < MAX_IDLE_PER_ENDPOINT {
            list.push(Idle {
                connection,
                use_until,
            });
        }
    }

    /// Closes connections that are idle for too long or lead to endpoints that have gone.
    pub fn evict_expired(&self, endpoints: &[Arc<Endpoint>]) {
        let now = self.cx.timers.now();
        let mut idle = self.lock();
        idle.retain(|key, list| {
            list.retain(|i| i.use_until > now && !i.connection.tx.is_closed());
            !list.is_empty() && endpoints.iter().any(|e| Key::from(&**e) == *key)
        });
    }

    /// Closes all idle connections, and returns how many there were.
    pub fn close_all_idle(&self) -> usize {
        let closed = std::mem::take(&mut *self.lock());
        closed.values().map(Vec::len).sum()
    }

    /// Closes the idle connections to an endpoint that gets nothing more.
    pub fn close_idle(&self, endpoint: &Endpoint) {
        let closed = self.lock().remove(&Key::from(endpoint));
        drop(closed);
    }

    fn take_idle(&self, key: &Key) -> Option<Connection> {
        let now = self.cx.timers.now();
        let mut idle = self.lock();
        let list = idle.get_mut(key)?;
        while let Some(Idle {
            connection,
            use_until,
        }) = list.pop()
        {
            if use_until > now && connection.tx.is_ready() && !connection.tx.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    async fn open(&self, key: Key) -> std::io::Result<Connection> {
        let stream = open_stream(&self.cx, key.address, CONNECT_TIMEOUT).await?;
        let read_limit = ReadLimit::default();
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

    /// Returns the endpoints that sent bytes on idle connections since the last call, each as
    /// often as it did.
    pub fn take_unsolicited_senders(&self) -> Vec<(EndpointName, SocketAddr)> {
        let unsolicited_senders = std::mem::take(&mut *lock(&self.unsolicited_senders));
        unsolicited_senders
            .into_iter()
            .map(|k| (k.name, k.address))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Key, Vec<Idle>>> {
        lock(&self.idle)
    }
}

/// Tells whether a connection ended because bytes came that belong to no request.
///
/// Failures of the socket, of a request that is under way, and connections that were given up by
/// this side are something else.
fn is_unsolicited_data(e: &hyper::Error) -> bool {
    let is_of_socket =
        std::error::Error::source(e).is_some_and(<dyn std::error::Error>::is::<std::io::Error>);
    !is_of_socket && !e.is_canceled() && !e.is_closed() && !e.is_incomplete_message()
}
