//! Periodic background tasks of a sidecar.

use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use slog::debug;
use slog::info;
use slog::warn;

use crate::engine::EngineLoad;
use crate::error::Result;
use crate::id::TableVersion;
use crate::store::Object;
use crate::tables;
use crate::tables::Tables;
use crate::time::Ticks;

use super::state::Shared;

/// Interval of the scheduler's checks of queued requests.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Interval of polls of the engine.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Polls per read of the whole cache, which corrects the effect of lost events.
const POLLS_PER_FULL_READ: u64 = 120;

/// A sequence number above that of any engine, so that the engine returns its whole cache. It is
/// half of the range, since some JSON parsers use signed integers.
const FULL_READ_SEQ: u64 = u64::MAX >> 1;

/// Maximum lag of the engine's load report; for this long after an order, its version may be
/// outdated.
const MAX_REPORT_LAG: Duration = Duration::from_secs(10);

/// Interval at which expired ledger entries are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two reads of the tables from the store.
const MIN_TABLES_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Spawns the background tasks, which end when the last handle of the service is dropped.
pub(super) fn spawn(shared: &Arc<Shared>) {
    tokio::spawn(tick_scheduler(
        Arc::downgrade(shared),
        shared.cx.timers.every(TICK_INTERVAL),
    ));
    tokio::spawn(expire_ledger(
        Arc::downgrade(shared),
        shared.cx.timers.every(EXPIRY_INTERVAL),
    ));
    tokio::spawn(fetch_tables(
        Arc::downgrade(shared),
        shared.cx.timers.every(MIN_TABLES_READ_INTERVAL),
    ));
    tokio::spawn(poll_periodically(
        Arc::downgrade(shared),
        shared.cx.timers.every(POLL_INTERVAL),
    ));
}

async fn tick_scheduler(shared: Weak<Shared>, mut ticks: Ticks) {
    loop {
        ticks.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let now = shared.now();
        let mut state = shared.lock();
        let actions = state.scheduler.tick(now);
        shared.apply_actions(&mut state, actions);
    }
}

async fn expire_ledger(shared: Weak<Shared>, mut ticks: Ticks) {
    loop {
        ticks.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let now = shared.now();
        shared.lock().expire(now);
    }
}

async fn poll_periodically(shared: Weak<Shared>, mut ticks: Ticks) {
    for poll_count in 0_u64.. {
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let is_full_read = poll_count % POLLS_PER_FULL_READ == 0;
        if let Err(e) = poll_engine(&shared, is_full_read).await {
            debug!(shared.cx.log, "engine poll failed"; "error" => %e);
        }
        drop(shared);
        ticks.tick().await;
    }
}

/// Reads the tables from the store while a newer version than the current one has been named.
///
/// Entries push tables to sidecars, so the store is read only if no entry has done so.
async fn fetch_tables(shared: Weak<Shared>, mut ticks: Ticks) {
    loop {
        ticks.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let Some(store) = &shared.store else {
            return;
        };
        let known = shared.tables.get().version;
        let is_behind =
            shared.lock().newest_announced_tables > known || known == TableVersion::default();
        if !is_behind {
            continue;
        }
        match store.get(tables::OBJECT_KEY).await {
            Ok(object) if object.version.0 > known.0 => apply_tables(&shared, &object),
            Ok(_) => {}
            Err(e) => debug!(shared.cx.log, "tables not read"; "error" => %e),
        }
    }
}

fn apply_tables(shared: &Shared, object: &Object) {
    match Tables::from_snapshot(&object.into()) {
        Ok(tables) => {
            shared.tables.offer(tables);
        }
        Err(e) => warn!(shared.cx.log, "tables refused"; "error" => %e),
    }
}

/// Reads the load and the cache events of the engine.
async fn poll_engine(shared: &Arc<Shared>, is_full_read: bool) -> Result<()> {
    let load = shared.engine.load().await?;
    apply_load(shared, &load);
    let seq = if is_full_read {
        FULL_READ_SEQ
    } else {
        shared.lock().cache.engine_seq()
    };
    let update = shared.engine.cache_events(seq).await?;
    if update.whole || !is_full_read {
        shared.lock().cache.apply(update);
    }
    Ok(())
}

fn apply_load(shared: &Arc<Shared>, load: &EngineLoad) {
    let now = shared.now();
    let mut state = shared.lock();
    let is_report_stale = state
        .last_order_at
        .is_some_and(|at| now.since(at) < MAX_REPORT_LAG);
    if !is_report_stale && !state.is_loading && load.version != state.version {
        info!(shared.cx.log, "engine serves another version"; "version" => %load.version);
        state.version = load.version.clone();
    }
    if load.slots > 0 {
        let actions = state.scheduler.set_slots(now, load.slots);
        shared.apply_actions(&mut state, actions);
    }
}
