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

/// Key of the object that contains both tables.
pub const OBJECT_KEY: &str = "tables";

/// Time after which a watch without a change is restarted.
pub const WATCH_WAIT: Duration = Duration::from_secs(20);

const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

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
    /// The newest version with invalid tables, so that a watch does not return it again.
    invalid: AtomicU64,
}

impl TablesReader {
    /// Creates a reader that updates `current`.
    #[must_use]
    pub const fn new(cx: Context, api: Arc<dyn ObjectApi>, current: Arc<CurrentTables>) -> Self {
        Self {
            cx,
            api,
            current,
            invalid: AtomicU64::new(0),
        }
    }

    /// Reads the tables once.
    pub async fn read(&self) {
        let outcome = self.api.get(OBJECT_KEY).await;
        self.apply_result(outcome).await;
    }

    /// Waits up to [`WATCH_WAIT`] for tables newer than those in force.
    ///
    /// A watch that does not return in time is abandoned, because its connection may be dead.
    pub async fn watch(&self) {
        let seen = self.current.get().version.0;
        let seen = ObjectVersion(seen.max(self.invalid.load(Ordering::Acquire)));
        let watch = self.api.watch(OBJECT_KEY, seen, WATCH_WAIT);
        let limit = WATCH_WAIT + WATCH_TIMEOUT_MARGIN;
        if let Some(outcome) = self.cx.timers.limit(limit, watch).await {
            self.apply_result(outcome).await;
        }
    }

    async fn apply_result(&self, read: Result<Object>) {
        let applied = match read {
            Ok(object) => self.offer(&object),
            Err(e) => Err(e),
        };
        match applied {
            Ok(()) => self.current.confirm(),
            Err(e) => {
                warn!(self.cx.log, "tables not read"; "error" => %e);
                self.cx.timers.after(RETRY_INTERVAL).await;
            }
        }
    }

    fn offer(&self, object: &Object) -> Result<()> {
        if TableVersion(object.version.0) <= self.current.get().version {
            return Ok(());
        }
        let tables = Tables::from_snapshot(&object.into())
            .inspect_err(|_| self.invalid.store(object.version.0, Ordering::Release))?;
        if self.current.offer(tables) {
            info!(self.cx.log, "tables in force"; "version" => object.version.0);
        }
        Ok(())
    }
}

/// Watches the tables and updates `current` with each new version until the process stops.
pub async fn watch_tables(cx: Context, api: Arc<dyn ObjectApi>, current: Arc<CurrentTables>) {
    let stop = cx.stop.clone();
    let reader = TablesReader::new(cx, api, current);
    let watch = async {
        loop {
            reader.watch().await;
        }
    };
    // The loop only ends when the process stops.
    let _stopped = stop.run_until_cancelled(watch).await;
}
