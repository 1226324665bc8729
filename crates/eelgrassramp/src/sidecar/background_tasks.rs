//! What a sidecar does by itself as time passes.

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

/// Period of checks on waiting requests.
pub(super) const TICK: Duration = Duration::from_millis(25);

/// Period of questions to the engine.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// Polls between two readings of the whole cache, which mend what lost events left behind.
const POLLS_PER_WHOLE: u64 = 120;

/// A position that no engine has reached, so that it answers with the whole cache; half of the
/// range, since some JSON readers hold numbers with a sign.
const UNKNOWN_SEQ: u64 = u64::MAX >> 1;

/// Greatest lag of the engine's report, within which its version may be outdated.
const MAX_REPORT_LAG: Duration = Duration::from_secs(10);

/// Period at which old ledger entries are dropped.
const EXPIRY_PERIOD: Duration = Duration::from_secs(1);

/// Shortest time between two reads of the tables from the store.
const TABLES_PERIOD: Duration = Duration::from_secs(2);

/// Starts the upkeep, which ends with the last handle of the service.
pub(super) fn spawn(shared: &Arc<Shared>) {
    tokio::spawn(tick(Arc::downgrade(shared), shared.cx.timers.every(TICK)));
    tokio::spawn(expire(
        Arc::downgrade(shared),
        shared.cx.timers.every(EXPIRY_PERIOD),
    ));
    tokio::spawn(fetch_tables(
        Arc::downgrade(shared),
        shared.cx.timers.every(TABLES_PERIOD),
    ));
    tokio::spawn(poll(
        Arc::downgrade(shared),
        shared.cx.timers.every(POLL_PERIOD),
    ));
}

async fn tick(shared: Weak<Shared>, mut ticks: Ticks) {
    loop {
        ticks.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let now = shared.now();
        let mut state = shared.lock();
        let actions = state.scheduler.tick(now);
        shared.perform(&mut state, actions);
    }
}

async fn expire(shared: Weak<Shared>, mut ticks: Ticks) {
    loop {
        ticks.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let now = shared.now();
        shared.lock().expire(now);
    }
}

async fn poll(shared: Weak<Shared>, mut ticks: Ticks) {
    for turn in 0_u64.. {
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let wants_whole = turn % POLLS_PER_WHOLE == 0;
        if let Err(e) = ask_engine(&shared, wants_whole).await {
            debug!(shared.cx.log, "engine not asked"; "error" => %e);
        }
        drop(shared);
        ticks.tick().await;
    }
}

/// Reads the tables from the store while newer ones than those here have been named.
///
/// Entries hand tables to sidecars, so the store is asked only when no entry has done so.
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
        let is_behind = shared.lock().noted_tables > known || known == TableVersion::default();
        if !is_behind {
            continue;
        }
        match store.get(tables::OBJECT_KEY).await {
            Ok(object) if object.version.0 > known.0 => offer(&shared, &object),
            Ok(_) => {}
            Err(e) => debug!(shared.cx.log, "tables not read"; "error" => %e),
        }
    }
}

fn offer(shared: &Shared, object: &Object) {
    match Tables::from_snapshot(&object.into()) {
        Ok(tables) => {
            shared.tables.offer(tables);
        }
        Err(e) => warn!(shared.cx.log, "tables refused"; "error" => %e),
    }
}

/// Reads the engine's load and cache events.
async fn ask_engine(shared: &Arc<Shared>, wants_whole: bool) -> Result<()> {
    let load = shared.engine.load().await?;
    take_load(shared, &load);
    let seq = if wants_whole {
        UNKNOWN_SEQ
    } else {
        shared.lock().cache.engine_seq()
    };
    let update = shared.engine.cache_events(seq).await?;
    if update.whole || !wants_whole {
        shared.lock().cache.apply(update);
    }
    Ok(())
}

fn take_load(shared: &Arc<Shared>, load: &EngineLoad) {
    let now = shared.now();
    let mut state = shared.lock();
    let is_outdated = state
        .last_order
        .is_some_and(|at| now.since(at) < MAX_REPORT_LAG);
    if !is_outdated && !state.is_loading && load.version != state.version {
        info!(shared.cx.log, "engine serves another version"; "version" => %load.version);
        state.version = load.version.clone();
    }
    if load.slots > 0 {
        let actions = state.scheduler.set_slots(now, load.slots);
        shared.perform(&mut state, actions);
    }
}
