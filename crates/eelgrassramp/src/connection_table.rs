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

use crate::sync::lock;
use crate::time::Monotonic;
use tokio_util::sync::CancellationToken;

/// The open connections of one listener.
#[derive(Debug)]
pub struct ConnectionTable {
    max: AtomicUsize,
    open: Mutex<Open>,
}

#[derive(Debug, Default)]
struct Open {
    next_id: u64,
    connections: BTreeMap<u64, Arc<Connection>>,
}

#[derive(Debug)]
struct Connection {
    /// Since when it waits for its client; `None` while the client waits for a response.
    waits_since: Mutex<Option<Monotonic>>,
    close: CancellationToken,
}

/// A connection of a [`ConnectionTable`], until it is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    table: Arc<ConnectionTable>,
    id: u64,
    connection: Arc<Connection>,
}

impl ConnectionTable {
    /// Creates a table without connections, of which at most `max` may be open.
    #[must_use]
    pub fn new(max: usize) -> Arc<Self> {
        Arc::new(Self {
            max: AtomicUsize::new(max),
            open: Mutex::default(),
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
        let connection = Arc::new(Connection {
            waits_since: Mutex::new(Some(now)),
            close: CancellationToken::new(),
        });
        open.connections.insert(id, Arc::clone(&connection));
        Some(OpenConnection {
            table: Arc::clone(self),
            id,
            connection,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        lock(&self.open)
    }
}

impl Open {
    fn close_longest_waiting(&mut self) -> Option<()> {
        let waiting = self.connections.iter();
        let waiting = waiting.filter_map(|(id, c)| Some(((*lock(&c.waits_since))?, *id)));
        let (_, id) = waiting.min()?;
        let closed = self.connections.remove(&id)?;
        closed.close.cancel();
        Some(())
    }
}

impl OpenConnection {
    /// Records since when the connection waits for its client, or that it does not.
    pub fn set_waits_since(&self, since: Option<Monotonic>) {
        *lock(&self.connection.waits_since) = since;
    }

    /// Completes when the connection has to be closed in favour of another one.
    pub async fn closed(&self) {
        self.connection.close.cancelled().await;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.table.lock().connections.remove(&self.id);
    }
}
