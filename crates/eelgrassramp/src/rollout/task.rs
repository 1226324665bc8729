//! Task that runs the move of one pool in one entry and executes the actions of its [`Mover`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::message::MoveAction;
use super::message::MoveEvent;
use super::mover::Mover;
use super::progress;
use super::progress::Progress;
use super::runner::Dependencies;
use super::runner::routes_of;
use crate::error::Result;
use crate::id::FencingToken;
use crate::id::ObjectVersion;
use crate::lease::LeaderElector;
use crate::name::EndpointName;
use crate::name::PoolName;
use crate::name::VersionName;
use crate::process::Context;
use crate::store::ObjectApi;
use crate::tables::Endpoint;
use crate::tables::Pool;
use crate::tables::Tables;
use crate::wire::Brake;
use crate::wire::EngineOrder;
use crate::wire::PoolSplit;
use crate::wire::ReportRequest;

/// Interval between two rounds of reports, which is the comparison window.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of one call to the object API.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of one order; long, because loading a version is slow.
const ORDER_TIMEOUT: Duration = Duration::from_mins(2);

/// Number of endpoints per version polled by an entry that does not hold the lease.
const WATCHED_ENDPOINTS: usize = 4;

/// Capacity of the event channel.
const EVENT_BUFFER: usize = 1_024;

/// The task that runs the move of one pool.
#[derive(Debug)]
pub(super) struct PoolTask {
    deps: Dependencies,
    cx: Context,
    name: PoolName,
    pool: Arc<Pool>,
    mover: Mover,
    holder: Arc<LeaderElector>,
    cache_seqs: BTreeMap<EndpointName, u64>,
    tx: mpsc::Sender<MoveEvent>,
    rx: mpsc::Receiver<MoveEvent>,
}

impl PoolTask {
    pub(super) fn new(deps: Dependencies, cx: Context, tables: &Tables, pool: &Arc<Pool>) -> Self {
        let name = pool.name.clone();
        let holder = LeaderElector::start(
            &cx,
            Arc::clone(&deps.api),
            name.clone(),
            deps.me,
            deps.entry.clone(),
            deps.terms,
            Arc::clone(&deps.contender),
        );
        let mover = Mover::new(
            tables.version,
            Arc::clone(pool),
            routes_of(tables, &name),
            deps.load_interval,
            cx.rng(&format!("move {name}")),
        );
        let (tx, rx) = mpsc::channel(EVENT_BUFFER);
        Self {
            deps,
            cx,
            name,
            pool: Arc::clone(pool),
            mover,
            holder,
            cache_seqs: BTreeMap::new(),
            tx,
            rx,
        }
    }

    pub(super) async fn run(mut self) {
        info!(self.cx.log, "move task started"; "pool" => %self.name);
        let mut ticks = self.cx.timers.every(ROUND_INTERVAL);
        loop {
            tokio::select! {
                biased;
                () = self.cx.stop.cancelled() => return,
                Some(event) = self.rx.recv() => self.handle(event),
                () = ticks.tick() => self.run_round(),
            }
        }
    }

    /// Ends the current window and requests the reports of the next one.
    fn run_round(&mut self) {
        self.adopt_tables();
        self.handle(MoveEvent::Lease(self.holder.token()));
        let brakes = self.deps.gossip.brakes(&self.name);
        self.handle(MoveEvent::Brakes(brakes));
        self.handle(MoveEvent::Tick);
        let endpoints = match self.holder.token() {
            Some(_) => self.pool.endpoints.values().cloned().collect(),
            None => self.watched_endpoints(),
        };
        for endpoint in endpoints {
            self.exchange_reports(&endpoint);
        }
    }

    fn adopt_tables(&mut self) {
        let tables = self.deps.tables.get();
        let Some(pool) = tables.pools.get(&self.name) else {
            return;
        };
        if !Arc::ptr_eq(pool, &self.pool) {
            self.pool = Arc::clone(pool);
            self.handle(MoveEvent::Tables {
                version: tables.version,
                pool: Arc::clone(pool),
                routes: routes_of(&tables, &self.name),
            });
        }
    }

    /// Selects a few endpoints of each version, different ones in each entry.
    ///
    /// This lets other entries detect a regression while the lease holder is paused.
    fn watched_endpoints(&self) -> Vec<Arc<Endpoint>> {
        let mut by_version: BTreeMap<&VersionName, Vec<_>> = BTreeMap::new();
        for endpoint in self.pool.endpoints.values() {
            let rank = xxh3_64_with_seed(endpoint.name.as_str().as_bytes(), self.deps.me.0);
            let of_version = by_version.entry(&endpoint.version).or_default();
            of_version.push((rank, endpoint));
        }
        let mut chosen = Vec::new();
        for mut of_version in by_version.into_values() {
            of_version.sort_unstable_by_key(|(rank, _)| *rank);
            let first = of_version.into_iter().take(WATCHED_ENDPOINTS);
            chosen.extend(first.map(|(_, endpoint)| Arc::clone(endpoint)));
        }
        chosen
    }

    /// Exchanges gossip with one sidecar and passes its report to the mover.
    fn exchange_reports(&self, endpoint: &Endpoint) {
        let link = Arc::clone(&self.deps.link);
        let timers = self.cx.timers.clone();
        let tx = self.tx.clone();
        let sidecar = endpoint.sidecar;
        let msg = ReportRequest {
            tables: self.deps.tables.get().version,
            brakes: self.deps.gossip.brakes(&self.name),
            leaving: self.deps.gossip.leaving(),
            split: self.deps.gossip.split(&self.name),
            outcomes: true,
            cache_seq: self.cache_seqs.get(&endpoint.name).copied().unwrap_or(0),
            order_pressure: 0,
        };
        tokio::spawn(async move {
            let reply = timers
                .limit(REPORT_TIMEOUT, link.report(sidecar, msg))
                .await;
            if let Some(Ok(report)) = reply {
                let _closed = tx.send(MoveEvent::Report(Box::new(report))).await;
            }
        });
    }

    fn handle(&mut self, event: MoveEvent) {
        self.record_event(&event);
        let now = self.cx.timers.now();
        let actions = self.mover.handle(now, self.cx.timers.wall_now(), event);
        for action in actions {
            self.perform(action);
        }
    }

    fn record_event(&mut self, event: &MoveEvent) {
        match event {
            MoveEvent::Report(report) => {
                self.holder.observe_fence(report.fence);
                self.cache_seqs
                    .insert(report.endpoint.clone(), report.cache.seq);
            }
            MoveEvent::Ordered { endpoint, reply } => {
                let done = reply.as_ref().is_some_and(|r| r.done);
                info!(self.cx.log, "order answered"; "pool" => %self.name,
                    "endpoint" => %endpoint, "done" => done);
            }
            MoveEvent::WriteFailed(kind) => {
                warn!(self.cx.log, "progress not written"; "pool" => %self.name, "kind" => %kind);
            }
            _ => {}
        }
    }

    fn perform(&self, action: MoveAction) {
        match action {
            MoveAction::Brake(brake) => self.brake(brake),
            MoveAction::ReadProgress => self.read(),
            MoveAction::WriteProgress { expected, progress } => self.write(expected, &progress),
            MoveAction::Order {
                endpoint,
                sidecar,
                order,
            } => self.order(endpoint, sidecar, order),
            MoveAction::Split(split) => self.split(split),
        }
    }

    fn brake(&self, brake: Brake) {
        warn!(self.cx.log, "version is bad, move taken back"; "pool" => %self.name,
            "version" => %brake.version, "evidence" => &brake.evidence);
        self.deps.gossip.add_brake(brake);
        self.exchange_with_all();
    }

    fn split(&self, split: PoolSplit) {
        if !self.still_holds(split.seq.fence) {
            return;
        }
        for share in &split.shares {
            info!(self.cx.log, "traffic share of the new version"; "pool" => %self.name,
                "route" => %share.route, "permille" => share.to_new_permille,
                "step" => split.seq.step);
        }
        self.deps.gossip.add_split(split);
        self.exchange_with_all();
    }

    fn exchange_with_all(&self) {
        for endpoint in self.pool.endpoints.values() {
            self.exchange_reports(endpoint);
        }
    }

    fn read(&self) {
        let (api, name, tx) = self.store_call();
        let timers = self.cx.timers.clone();
        let log = self.cx.log.clone();
        tokio::spawn(async move {
            let read = timers.limit(STORE_TIMEOUT, read(&*api, &name)).await;
            let event = match read {
                Some(Ok(event)) => event,
                Some(Err(e)) => {
                    warn!(log, "progress not read"; "pool" => %name, "error" => %e);
                    MoveEvent::ReadFailed
                }
                None => MoveEvent::ReadFailed,
            };
            let _closed = tx.send(event).await;
        });
    }

    fn write(&self, expected: ObjectVersion, progress: &Progress) {
        let (api, name, tx) = self.store_call();
        let timers = self.cx.timers.clone();
        let value = progress.to_bytes();
        let still_holds = self.still_holds(progress.fence);
        info!(self.cx.log, "move goes on"; "pool" => %name, "phase" => ?progress.phase,
            "status" => %progress.status(), "reason" => progress.reason().unwrap_or(""));
        tokio::spawn(async move {
            let written = match value {
                Ok(value) if still_holds => {
                    let key = progress::key(&name);
                    timers
                        .limit(STORE_TIMEOUT, api.put(&key, expected, value))
                        .await
                }
                Ok(_) => Some(Err(crate::Error::new(
                    crate::Kind::FencedOff,
                    format!("lease of pool \"{name}\" is no longer held"),
                ))),
                Err(e) => Some(Err(e)),
            };
            let event = match written {
                Some(Ok(version)) => MoveEvent::Written(version),
                Some(Err(e)) => MoveEvent::WriteFailed(e.kind()),
                None => MoveEvent::WriteFailed(crate::Kind::WriteUnsettled),
            };
            let _closed = tx.send(event).await;
        });
    }

    fn order(&self, endpoint: EndpointName, sidecar: SocketAddr, order: EngineOrder) {
        if !self.still_holds(order.fence) {
            return;
        }
        let link = Arc::clone(&self.deps.link);
        let timers = self.cx.timers.clone();
        let tx = self.tx.clone();
        info!(self.cx.log, "order sent"; "pool" => %self.name, "endpoint" => %endpoint,
            "action" => ?order.action, "fence" => order.fence.0);
        tokio::spawn(async move {
            let reply = timers
                .limit(ORDER_TIMEOUT, link.order(sidecar, order))
                .await;
            let reply = reply.and_then(Result::ok);
            let _closed = tx.send(MoveEvent::Ordered { endpoint, reply }).await;
        });
    }

    /// Returns whether this process currently holds the lease with this token.
    fn still_holds(&self, fence: FencingToken) -> bool {
        self.holder.token() == Some(fence)
    }

    fn store_call(&self) -> (Arc<dyn ObjectApi>, PoolName, mpsc::Sender<MoveEvent>) {
        let api = Arc::clone(&self.deps.api);
        (api, self.name.clone(), self.tx.clone())
    }
}

impl Drop for PoolTask {
    fn drop(&mut self) {
        self.holder.release();
    }
}

async fn read(api: &dyn ObjectApi, pool: &PoolName) -> Result<MoveEvent> {
    let object = api.get(&progress::key(pool)).await?;
    let progress = if object.version == ObjectVersion(0) {
        None
    } else {
        Some(Progress::from_bytes(&object.value)?)
    };
    Ok(MoveEvent::ProgressRead {
        version: object.version,
        progress,
    })
}
