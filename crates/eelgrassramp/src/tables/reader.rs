//! Reads the tables from the platform's object API.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::info;
use slog::warn;

use super::current::CurrentTables;
use super::model::Tables;
use crate::error::Result;
use crate::id::ObjectVersion;
use crate::id::TableVersion;
use crate::process::Context;
use crate::store::Object;
use crate::store::ObjectApi;
use crate::wire::TablesSnapshot;

/// Key of the object that holds both tables.
pub const OBJECT_KEY: &str = "tables";

/// Time after which a watch without a change is opened again.
pub const WATCH_WAIT: Duration = Duration::from_secs(20);

const WATCH_SLACK: Duration = Duration::from_secs(2);
const RETRY_AFTER: Duration = Duration::from_millis(500);

impl From<&Object> for TablesSnapshot {
    fn from(object: &Object) -> Self {
        Self {
            version: TableVersion(object.version.0),
            document: object.value.clone(),
        }
    }
}

/// Reads the tables and puts newer ones in force.
#[derive(Debug)]
pub struct TablesReader {
    cx: Context,
    api: Arc<dyn ObjectApi>,
    current: Arc<CurrentTables>,
    /// The newest version whose tables are invalid, so that a watch does not give it again.
    refused: AtomicU64,
}

impl TablesReader {
    /// Creates a reader that offers to `current`.
    #[must_use]
    pub const fn new(cx: Context, api: Arc<dyn ObjectApi>, current: Arc<CurrentTables>) -> Self {
        Self {
            cx,
            api,
            current,
            refused: AtomicU64::new(0),
        }
    }

    /// Reads the tables once.
    pub async fn read(&self) {
        let out = self.api.get(OBJECT_KEY).await;
        self.take(out).await;
    }

    /// Waits for tables newer than those in force, for [`WATCH_WAIT`] at most.
    ///
    /// A watch that gives nothing within its time is given up, because its connection may
    /// have gone silent.
    pub async fn watch(&self) {
        let seen = self.current.get().version.0;
        let seen = ObjectVersion(seen.max(self.refused.load(Ordering::Acquire)));
        let watch = self.api.watch(OBJECT_KEY, seen, WATCH_WAIT);
        let limit = WATCH_WAIT + WATCH_SLACK;
        if let Some(out) = self.cx.timers.limit(limit, watch).await {
            self.take(out).await;
        }
    }

    async fn take(&self, read: Result<Object>) {
        let taken = match read {
            Ok(object) => self.offer(&object),
            Err(e) => Err(e),
        };
        match taken {
            Ok(()) => self.current.confirm(),
            Err(e) => {
                warn!(self.cx.log, "tables not read"; "error" => %e);
                self.cx.timers.after(RETRY_AFTER).await;
            }
        }
    }

    fn offer(&self, object: &Object) -> Result<()> {
        if TableVersion(object.version.0) <= self.current.get().version {
            return Ok(());
        }
        let tables = Tables::from_snapshot(&object.into())
            .inspect_err(|_| self.refused.store(object.version.0, Ordering::Release))?;
        if self.current.offer(tables) {
            info!(self.cx.log, "tables in force"; "version" => object.version.0);
        }
        Ok(())
    }
}

/// Watches the tables and offers each new version to `current` until the process stops.
pub async fn watch_tables(cx: Context, api: Arc<dyn ObjectApi>, current: Arc<CurrentTables>) {
    let stop = cx.stop.clone();
    let reader = TablesReader::new(cx, api, current);
    let watch = async {
        loop {
            reader.watch().await;
        }
    };
    // Only the stop ends the loop.
    let _stopped = stop.run_until_cancelled(watch).await;
}
