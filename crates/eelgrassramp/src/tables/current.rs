//! The tables in force in this process.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use tokio::sync::watch;

use super::model::Tables;
use crate::id::TableVersion;

/// Holds the newest tables that this process has seen; the version never decreases.
#[derive(Debug)]
pub struct CurrentTables {
    tables: ArcSwap<Tables>,
    version: watch::Sender<TableVersion>,
    confirmed: AtomicBool,
}

impl CurrentTables {
    /// Creates a holder of `tables`, which may be the empty default.
    #[must_use]
    pub fn new(tables: Tables) -> Self {
        let (version, _) = watch::channel(tables.version);
        Self {
            tables: ArcSwap::from_pointee(tables),
            version,
            confirmed: AtomicBool::new(false),
        }
    }

    /// Returns the tables in force.
    #[must_use]
    pub fn get(&self) -> Arc<Tables> {
        self.tables.load_full()
    }

    /// Puts `tables` in force if they are newer; returns whether they are.
    pub fn offer(&self, tables: Tables) -> bool {
        let tables = Arc::new(tables);
        self.version.send_if_modified(|version| {
            if tables.version <= *version {
                return false;
            }
            *version = tables.version;
            self.tables.store(Arc::clone(&tables));
            true
        })
    }

    /// Records that the object API was read, so the tables are at least as new as its version then.
    pub fn confirm(&self) {
        self.confirmed.store(true, Ordering::Release);
    }

    /// Returns whether the object API was read since this process started.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.confirmed.load(Ordering::Acquire)
    }

    /// Subscribes to changes of the version in force.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<TableVersion> {
        self.version.subscribe()
    }
}

impl Default for CurrentTables {
    fn default() -> Self {
        Self::new(Tables::default())
    }
}
