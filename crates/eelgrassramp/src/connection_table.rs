//! The open connections of one listener, and their maximum.
//!
//! Clients may open connections without end and send nothing on them. Each costs a file descriptor and
//! memory, which requests, endpoints and the store need too. When there are too many, the connection is closed
//! that has waited longest for its client, so that clients which send their requests are served.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::sync::lock;
use crate::time::Monotonic;
use crate::time::Timers;

/// The open connections of one listener.
#[derive(Debug)]
pub struct ConnectionTable {
    max: AtomicUsize,
    open: Mutex<Open>,
    /// Woken when a connection that was told to close has closed.
    closed: Notify,
}

#[derive(Debug, Default)]
struct Open {
    next_id: u64,
    connections: BTreeMap<u64, Arc<Connection>>,
    /// Connections that were told to close and still have their socket.
    closing: usize,
}

#[derive(Debug)]
struct Connection {
    state: Mutex<ConnectionState>,
    close: CancellationToken,
}

/// Who waits for whom on a connection.
#[derive(Debug)]
struct ConnectionState {
    /// Requests whose client waits for the response.
    requests: usize,
    /// Since when the connection waits for its client, if there are none of these.
    waits_since: Monotonic,
}

impl Connection {
    fn waits_since(&self) -> Option<Monotonic> {
        let state = lock(&self.state);
        (state.requests == 0).then_some(state.waits_since)
    }
}

/// A connection of a [`ConnectionTable`], until it is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    table: Arc<ConnectionTable>,
    id: u64,
    connection: Arc<Connection>,
}

/// A request on an [`OpenConnection`], until its client was answered.
#[derive(Debug)]
pub struct ServedRequest {
    connection: Arc<Connection>,
    timers: Timers,
}

impl ConnectionTable {
    /// Creates a table without connections, of which at most `max` may be open.
    #[must_use]
    pub fn new(max: usize) -> Arc<Self> {
        Arc::new(Self {
            max: AtomicUsize::new(max),
            open: Mutex::default(),
            closed: Notify::new(),
        })
    }

    /// Sets the maximum; it holds for the next connection.
    pub fn set_max(&self, max: usize) {
        self.max.store(max, Ordering::Relaxed);
    }

    /// Returns the maximum.
    #[must_use]
    pub fn max(&self) -> usize {
        self.max.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().connections.len()
    }

    /// Adds a connection that waits for its client from `now`.
    ///
    /// If there are too many, the one that has waited longest is told to close. `None` if all of them are
    /// in use: then the new one has to be closed.
    pub fn open(self: &Arc<Self>, now: Monotonic) -> Option<OpenConnection> {
        let mut open = self.lock();
        while open.connections.len() >= self.max() {
            open.close_longest_waiting()?;
        }
        let id = open.next_id;
        open.next_id += 1;
        let state = ConnectionState {
            requests: 0,
            waits_since: now,
        };
        let connection = Arc::new(Connection {
            state: Mutex::new(state),
            close: CancellationToken::new(),
        });
        open.connections.insert(id, Arc::clone(&connection));
        Some(OpenConnection {
            table: Arc::clone(self),
            id,
            connection,
        })
    }

    /// Waits until no connection that was told to close is open any more.
    ///
    /// A listener that accepts before that has more sockets than the maximum, as connections are closed by their
    /// own tasks.
    pub async fn wait_until_closed(&self) {
        loop {
            let closed = self.closed.notified();
            if self.lock().closing == 0 {
                return;
            }
            closed.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        lock(&self.open)
    }
}

impl Open {
    fn close_longest_waiting(&mut self) -> Option<()> {
        let waiting = self.connections.iter();
        let waiting = waiting.filter_map(|(id, c)| Some((c.waits_since()?, *id)));
        let (_, id) = waiting.min()?;
        let closed = self.connections.remove(&id)?;
        self.closing += 1;
        closed.close.cancel();
        Some(())
    }
}

impl OpenConnection {
    /// Records that the client has sent something, or was answered, and is waited for from `now`.
    pub fn wait_from(&self, now: Monotonic) {
        lock(&self.connection.state).waits_since = now;
    }

    /// Records that the client has sent a request and waits for its response, until that is dropped.
    #[must_use]
    pub fn begin_request(&self, timers: &Timers) -> ServedRequest {
        lock(&self.connection.state).requests += 1;
        ServedRequest {
            connection: Arc::clone(&self.connection),
            timers: timers.clone(),
        }
    }

    /// Completes when the connection has to be closed in favour of another one.
    pub async fn closed(&self) {
        self.connection.close.cancelled().await;
    }
}

impl Drop for ServedRequest {
    fn drop(&mut self) {
        let mut state = lock(&self.connection.state);
        state.requests -= 1;
        state.waits_since = self.timers.now();
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut open = self.table.lock();
        if open.connections.remove(&self.id).is_none() {
            open.closing -= 1;
            drop(open);
            self.table.closed.notify_one();
        }
    }
}
