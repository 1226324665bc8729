//! The state that all requests of one entry share.

mod budget;
mod heed;
mod others;
mod place;
mod standstill;
mod state;
mod usage;

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use eelgrassramp::Context;
use eelgrassramp::DomainName;
use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;
use eelgrassramp::lock;
use eelgrassramp::num::millis;
use rand::Rng;
use slog::info;
use tokio::sync::Notify;

use self::others::Others;
use self::state::State;
pub use self::usage::Usage;
use crate::connections::Connections;
use crate::deployment::Deployment;
use crate::dispatcher::Dispatcher;
use crate::endpoint::Endpoint;
use crate::endpoint::ReportedLoad;
use crate::endpoint_tracker::Outcome;
use crate::journal;
use crate::journal::LogBudget;
use crate::meters::Gauge;
use crate::meters::Meters;
use crate::prior_wait::PriorWaitEstimator;
use crate::protocol::CallerProtocol;
use crate::protocol::EndpointProtocol;
use crate::pulse::Pulse;
use crate::quota::Quotas;
use crate::quota::Tolerance;
use crate::registry::Outage;
use crate::registry::Registry;
use crate::retry::RetryLimits;
use crate::rollout::ExposureLimits;
use crate::rollout::Order;
use crate::rollout::Report;
use crate::rollout::ReportSink;

/// Time between two looks at what waits and at failures that fade.
const TICK: Duration = Duration::from_millis(50);

/// Ticks between two sweeps of idle connections.
const TICKS_PER_SWEEP: u64 = 20;

/// What an entry is started with.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the entry, unique among entries.
    pub name: EntryName,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Distinguishes starts of the same entry.
    pub incarnation: u64,
}

/// Limits that hold for all entries together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetLimits {
    /// How many dispatches may be repeated.
    pub retry: RetryLimits,
    /// How far accounts may go beyond their quotas.
    pub quota: Tolerance,
    /// How much traffic a new version may get before it is known to be good.
    pub exposure: ExposureLimits,
}

/// One entry: what it knows, what waits and what is in flight.
pub struct Entry {
    cx: Context,
    identity: Identity,
    caller_protocol: Arc<dyn CallerProtocol>,
    endpoint_protocol: Arc<dyn EndpointProtocol>,
    limits: ArcSwap<FleetLimits>,
    reports: Arc<dyn ReportSink>,
    deployment: ArcSwapOption<Deployment>,
    has_tables: Notify,
    endpoints: ArcSwap<Vec<Arc<Endpoint>>>,
    connections: Arc<Connections>,
    meters: Arc<Meters>,
    log_budget: LogBudget,
    pulse: Pulse,
    seq: AtomicU64,
    state: Mutex<State>,
}

impl Entry {
    /// Creates an entry that knows no tables and no endpoints yet.
    #[must_use]
    pub fn new(
        cx: &Context,
        identity: Identity,
        caller_protocol: Arc<dyn CallerProtocol>,
        endpoint_protocol: Arc<dyn EndpointProtocol>,
        fleet_limits: FleetLimits,
        meters: Arc<Meters>,
        reports: Arc<dyn ReportSink>,
    ) -> Arc<Self> {
        let dispatcher = Dispatcher::new(identity.name.as_str(), identity.domain.as_str());
        Arc::new(Self {
            cx: cx.clone(),
            caller_protocol,
            endpoint_protocol,
            limits: ArcSwap::from_pointee(fleet_limits),
            reports,
            deployment: ArcSwapOption::empty(),
            has_tables: Notify::new(),
            endpoints: ArcSwap::default(),
            connections: Connections::new(cx),
            meters,
            log_budget: LogBudget::default(),
            pulse: Pulse::default(),
            seq: AtomicU64::new(1),
            state: Mutex::new(State {
                dispatcher,
                waiters: HashMap::new(),
                budgets: HashMap::new(),
                quotas: Quotas::new(fleet_limits.quota),
                registry: Registry::default(),
                rng: cx.rng("entry"),
                others: Others::default(),
                patience: PriorWaitEstimator::default(),
                decides_from: Monotonic::ZERO,
            }),
            identity,
        })
    }

    /// Returns the services of the process.
    #[must_use]
    pub const fn cx(&self) -> &Context {
        &self.cx
    }

    /// Returns who this entry is.
    #[must_use]
    pub const fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the counters of the process.
    #[must_use]
    pub const fn meters(&self) -> &Arc<Meters> {
        &self.meters
    }

    /// Puts other limits in force; a move that has begun keeps its own.
    pub fn set_limits(&self, limits: FleetLimits) {
        self.lock().quotas.set_tolerance(limits.quota);
        self.limits.store(Arc::new(limits));
    }

    /// Returns the tables in force.
    #[must_use]
    pub fn deployment(&self) -> Option<Arc<Deployment>> {
        self.deployment.load_full()
    }

    /// Returns the tables in force, or waits for the first ones for at most `limit`.
    pub(crate) async fn await_deployment(&self, limit: Duration) -> Option<Arc<Deployment>> {
        if let Some(deployment) = self.deployment() {
            return Some(deployment);
        }
        let notified = self.has_tables.notified();
        let _in_time = self.cx.timers.limit(limit, notified).await;
        self.deployment()
    }

    /// Returns the version of the tables in force; 0 means none.
    #[must_use]
    pub fn deployment_version(&self) -> u64 {
        self.deployment.load().as_ref().map_or(0, |d| d.version())
    }

    /// Puts tables in force unless newer ones are; tells whether it did.
    pub fn set_deployment(&self, deployment: Deployment) -> bool {
        let version = deployment.version();
        let before = self.deployment_version();
        if version <= before {
            return false;
        }
        self.lock()
            .dispatcher
            .set_cold_rate_limits(deployment.cold_rates());
        self.deployment.store(Some(Arc::new(deployment)));
        self.has_tables.notify_waiters();
        info!(self.cx.log, "tables in force"; "version" => version, "before" => before);
        true
    }

    /// Takes in all endpoints that the registry announces, read after `outage` if there was one.
    pub fn set_endpoints(&self, announced: Vec<Endpoint>, outage: Option<Outage>) {
        let now = self.cx.timers.now();
        let mut state = self.lock();
        state.registry.update(now, announced, outage);
        let endpoints = state.registry.endpoints();
        drop(state);
        self.use_endpoints(endpoints);
    }

    fn use_endpoints(&self, endpoints: Vec<Arc<Endpoint>>) {
        self.log_changes(&endpoints);
        let now = self.cx.timers.now();
        self.lock().dispatcher.set_endpoints(now, &endpoints);
        self.connections.sweep(&endpoints);
        self.endpoints.store(Arc::new(endpoints));
        self.pump();
    }

    /// Takes in the operators' orders to move pools.
    pub fn set_orders(&self, orders: Vec<Order>) {
        let now = self.cx.timers.now();
        for order in &orders {
            info!(self.cx.log, "move ordered"; "pool" => order.pool.as_str(),
                "version" => order.target.as_str(), "ended" => ?order.ended,
                "duration_ms" => millis(order.duration));
        }
        let limits = self.limits.load().exposure;
        self.lock().dispatcher.set_orders(now, orders, limits);
    }

    fn tell(&self, reports: Vec<Report>) {
        for report in reports {
            info!(self.cx.log, "move decided"; "pool" => report.pool.as_str(),
                "version" => report.target.as_str(), "ended" => ?report.ended,
                "reason" => &report.reason);
            self.reports.report(report);
        }
    }

    /// Returns the known endpoints.
    #[must_use]
    pub fn endpoints(&self) -> Arc<Vec<Arc<Endpoint>>> {
        self.endpoints.load_full()
    }

    /// Tells whether requests can be served: tables and endpoints are known, and no stop began.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_known = self.deployment.load().is_some() && !self.endpoints.load().is_empty();
        is_known && !self.cx.stop.is_cancelled()
    }

    /// Looks regularly at what waits, until the process ends.
    pub async fn tick(self: Arc<Self>) {
        let mut ticks = self.cx.timers.every(TICK);
        let mut n = 0_u64;
        loop {
            ticks.tick().await;
            n += 1;
            self.look_again_after_pause();
            let now = self.cx.timers.now();
            let mut state = self.lock();
            state.dispatcher.tick(now);
            let reports = state.advance(now);
            let is_waiting = state.dispatcher.queued_total() > 0;
            let has_expired = state.registry.expire(now);
            let endpoints = has_expired.then(|| state.registry.endpoints());
            drop(state);
            self.tell(reports);
            self.blame_strays();
            if let Some(endpoints) = endpoints {
                self.use_endpoints(endpoints);
            }
            if is_waiting {
                self.pump();
            }
            if n.is_multiple_of(TICKS_PER_SWEEP) {
                self.connections.sweep(&self.endpoints());
                journal::tell_left_out(&self);
            }
        }
    }

    /// Returns values of the moment for the metrics page.
    #[must_use]
    pub fn gauges(&self) -> Vec<Gauge> {
        let now = self.cx.timers.now();
        let mut gauges = vec![
            Gauge::new("tables_version", self.deployment_version() as f64),
            Gauge::new("endpoints", self.endpoints.load().len() as f64),
        ];
        let retry_limits = self.limits.load().retry;
        gauges.extend(self.lock().gauges(now, &retry_limits));
        gauges
    }

    pub(crate) const fn log_budget(&self) -> &LogBudget {
        &self.log_budget
    }

    pub(crate) fn caller_protocol(&self) -> &dyn CallerProtocol {
        &*self.caller_protocol
    }

    pub(crate) fn endpoint_protocol(&self) -> &dyn EndpointProtocol {
        &*self.endpoint_protocol
    }

    pub(crate) fn connections(&self) -> &Connections {
        &self.connections
    }

    /// Tells whether more than `tried` endpoints of `pool` take new work.
    pub(crate) fn has_other_endpoint(&self, pool: &PoolName, tried: usize) -> bool {
        let now = self.cx.timers.now();
        self.lock().dispatcher.ready_endpoints(now, pool) > tried
    }

    pub(crate) fn next_seq(&self) -> u64 {
        self.seq.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn draw(&self) -> u32 {
        self.lock().rng.next_u32()
    }

    pub(crate) fn all_waiting(&self) -> usize {
        self.lock().dispatcher.queued_total()
    }

    pub(crate) fn answered(&self, endpoint: &Endpoint, load: Option<ReportedLoad>) {
        let now = self.cx.timers.now();
        self.lock()
            .dispatcher
            .record_response_head(now, endpoint, load);
    }

    /// Notes that an endpoint is sending parts of an answer.
    pub(crate) fn heard(&self, endpoint: &Endpoint) {
        let now = self.cx.timers.now();
        self.lock().dispatcher.record_activity(now, endpoint);
    }

    pub(crate) fn ended(&self, endpoint: &Endpoint, route: &RouteName, outcome: Outcome) {
        let now = self.cx.timers.now();
        let mut state = self.lock();
        state
            .dispatcher
            .record_outcome(now, endpoint, route, outcome);
        drop(state);
        self.pump();
    }

    /// Hands free endpoints to those that wait.
    fn pump(&self) {
        let now = self.cx.timers.now();
        let mut state = self.lock();
        loop {
            let wakes = state.dispatcher.dispatch_queued(now);
            if wakes.is_empty() {
                return;
            }
            for wake in wakes {
                state.wake(now, wake);
            }
        }
    }

    fn log_changes(&self, endpoints: &[Arc<Endpoint>]) {
        let before = self.endpoints.load();
        for new in endpoints {
            if !before.iter().any(|old| old == new) {
                info!(self.cx.log, "endpoint known"; "endpoint" => new.name.as_str(),
                    "pool" => new.pool.as_str(), "address" => %new.address,
                    "state" => ?new.state, "version" => new.version.as_str());
            }
        }
        for old in before.iter() {
            if !endpoints.iter().any(|new| new.is_same_incarnation(old)) {
                info!(self.cx.log, "endpoint gone"; "endpoint" => old.name.as_str(),
                    "pool" => old.pool.as_str(), "address" => %old.address);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Entry")
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}
