//! Runs the moves of all pools inside one entry.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio_util::sync::CancellationToken;

use super::gossip::Gossip;
use super::task::PoolTask;
use crate::id::Incarnation;
use crate::lease::Contender;
use crate::lease::LeaseTerms;
use crate::link::SidecarLink;
use crate::name::EntryName;
use crate::name::PoolName;
use crate::process::Context;
use crate::store::ObjectApi;
use crate::tables::Current;
use crate::tables::Route;
use crate::tables::Tables;

/// Least time between two orders of one entry to load a version, for each pool.
///
/// Only the holder of a pool's lease orders loads, so the weight store sees at most one load
/// per interval and per pool that moves.
pub const LOAD_INTERVAL: Duration = Duration::from_secs(15);

/// What the moves of one entry need.
#[derive(Debug, Clone)]
pub struct Dependencies {
    /// Name of the entry, for operators.
    pub entry: EntryName,
    /// This life of the entry.
    pub me: Incarnation,
    /// Calls to sidecars.
    pub link: Arc<dyn SidecarLink>,
    /// The object API that holds leases and progress.
    pub api: Arc<dyn ObjectApi>,
    /// The tables in force.
    pub tables: Arc<Current>,
    /// What routing shares with the moves.
    pub gossip: Arc<dyn Gossip>,
    /// Tells when this entry contends for leases.
    pub contender: Arc<dyn Contender>,
    /// The times of leases.
    pub terms: LeaseTerms,
    /// Least time between two orders of this entry to load a version, for each pool.
    pub load_interval: Duration,
}

/// Advances and watches the moves that the tables ask for, until the process stops.
///
/// Each pool with a move has a task of its own, which contends for the pool's lease.
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
                info!(cx.log, "move is not asked for any more"; "pool" => %pool);
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

/// Returns the routes that go to a pool.
pub(super) fn routes_of(tables: &Tables, pool: &PoolName) -> Vec<Arc<Route>> {
    let routes = tables.routes.iter().filter(|r| r.pool == *pool);
    routes.cloned().collect()
}
