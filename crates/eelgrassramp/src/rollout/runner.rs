//! Runs the moves of all pools in one entry.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio_util::sync::CancellationToken;

use super::gossip::Gossip;
use super::task::PoolTask;
use crate::id::Incarnation;
use crate::lease::Candidate;
use crate::lease::LeaseTimings;
use crate::link::SidecarLink;
use crate::name::EntryName;
use crate::name::PoolName;
use crate::process::Context;
use crate::store::ObjectApi;
use crate::tables::CurrentTables;
use crate::tables::Route;
use crate::tables::Tables;

/// Minimum time between two load orders of one entry, per pool.
///
/// Only the holder of a pool's lease orders loads, so the weight store sees at most one load per
/// interval for each pool with a move.
pub const LOAD_INTERVAL: Duration = Duration::from_secs(15);

/// Dependencies of the moves of one entry.
#[derive(Debug, Clone)]
pub struct Dependencies {
    /// Name of the entry, as shown to operators.
    pub entry: EntryName,
    /// The incarnation of this entry process.
    pub me: Incarnation,
    /// Client for calls to sidecars.
    pub link: Arc<dyn SidecarLink>,
    /// Object API that stores leases and progress.
    pub api: Arc<dyn ObjectApi>,
    /// The current tables.
    pub tables: Arc<CurrentTables>,
    /// Brakes, splits and leaving endpoints, shared with routing.
    pub gossip: Arc<dyn Gossip>,
    /// Decides when this entry contends for leases.
    pub contender: Arc<dyn Candidate>,
    /// Lease timing.
    pub terms: LeaseTimings,
    /// Minimum time between two load orders of this entry, per pool.
    pub load_interval: Duration,
}

/// Runs the moves specified in the tables until the process stops.
///
/// Each pool with a move has its own task, which contends for the lease of that pool.
pub async fn run(deps: Dependencies, cx: Context) {
    let mut version = deps.tables.subscribe();
    let mut tasks: BTreeMap<PoolName, CancellationToken> = BTreeMap::new();
    loop {
        version.borrow_and_update();
        let tables = deps.tables.get();
        tasks.retain(|pool, stop| {
            let is_wanted = has_move(&tables, pool);
            if !is_wanted {
                stop.cancel();
                info!(cx.log, "move removed from the tables"; "pool" => %pool);
            }
            is_wanted
        });
        for (name, pool) in &tables.pools {
            if pool.r#move.is_some() && !tasks.contains_key(name) {
                let stop = cx.stop.child_token();
                let cx = Context {
                    stop: stop.clone(),
                    ..cx.clone()
                };
                let task = PoolTask::new(deps.clone(), cx, &tables, pool);
                tokio::spawn(task.run());
                tasks.insert(name.clone(), stop);
            }
        }
        tokio::select! {
            changed = version.changed() => if changed.is_err() { return },
            () = cx.stop.cancelled() => return,
        }
    }
}

fn has_move(tables: &Tables, pool: &PoolName) -> bool {
    let pool = tables.pools.get(pool);
    pool.is_some_and(|p| p.r#move.is_some())
}

/// Returns the routes of a pool.
pub(super) fn routes_of(tables: &Tables, pool: &PoolName) -> Vec<Arc<Route>> {
    let routes = tables.routes.iter().filter(|r| r.pool == *pool);
    routes.cloned().collect()
}
