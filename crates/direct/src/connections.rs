//! Connections to endpoints: opened on demand, kept while they are known to be clean.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::Context;
use eelgrassramp::Monotonic;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

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

/// Sets the options of every TCP connection of this system.
///
/// A connection whose other side fell silent without a reset shows only by probes and by bytes
/// that stay unacknowledged.
///
/// # Errors
///
/// Returns the error of the socket that refused an option.
pub fn tune(stream: &TcpStream) -> std::io::Result<()> {
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
    let stream = cx.timers.limit(limit, TcpStream::connect(addr)).await;
    let stream = stream.unwrap_or_else(|| Err(std::io::ErrorKind::TimedOut.into()))?;
    tune(&stream)?;
    let (tx, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    let task = tokio::spawn(async move {
        // The requester sees every failure that matters; one while idle only ends the task.
        let _ended = driver.await;
    });
    Ok((tx, task.abort_handle()))
}

/// The request side of an HTTP/1 connection whose task ends with it.
#[derive(Debug)]
pub struct Connection {
    tx: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    key: Key,
}

impl Connection {
    /// Returns the handle that requests are sent through.
    pub const fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.tx
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
    name: eelgrassramp::EndpointName,
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
pub struct Connections {
    cx: Context,
    idle: Mutex<HashMap<Key, Vec<Idle>>>,
}

impl Connections {
    /// Creates an empty set.
    #[must_use]
    pub fn new(cx: &Context) -> Arc<Self> {
        Arc::new(Self {
            cx: cx.clone(),
            idle: Mutex::default(),
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
    pub fn sweep(&self, endpoints: &[Arc<Endpoint>]) {
        let now = self.cx.timers.now();
        let mut idle = self.lock();
        idle.retain(|key, list| {
            list.retain(|i| i.use_until > now && !i.connection.tx.is_closed());
            !list.is_empty() && endpoints.iter().any(|e| Key::from(&**e) == *key)
        });
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
        let (tx, task) = connect(&self.cx, key.address, CONNECT_TIMEOUT).await?;
        Ok(Connection { tx, task, key })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Key, Vec<Idle>>> {
        self.idle
            .lock()
            .expect("no code panics while it holds the idle connections")
    }
}
