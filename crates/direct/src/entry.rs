//! Shared state of one entry process.

mod acquire;
mod attempts;
mod budget;
mod crashes;
mod endpoint_signals;
mod endpoints;
mod remote_load;
mod stall_recovery;
mod state;
mod usage;

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
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
use eelgrassramp::connection_table::ConnectionTable;
use eelgrassramp::lock;
use eelgrassramp::num::millis;
use eelgrassramp::request_body::RequestBodies;
use rand::Rng;
use slog::info;
use tokio::sync::Notify;

pub(crate) use self::budget::RetryPermit;
pub use self::crashes::BlockedParts;
use self::remote_load::PeerLoads;
use self::state::State;
pub use self::usage::SharedState;
use crate::connections::ConnectionPool;
use crate::crash_attribution::CrashAttribution;
use crate::dispatcher::Dispatcher;
use crate::endpoint::Endpoint;
use crate::metrics::Gauge;
use crate::metrics::Metrics;
use crate::prior_wait::PriorWaitEstimator;
use crate::process_limits::ProcessLimits;
use crate::protocol::CallerProtocol;
use crate::protocol::EndpointProtocol;
use crate::quota::Quotas;
use crate::quota::Tolerance;
use crate::registry::KnownEndpoints;
use crate::request_log;
use crate::request_log::LogRateLimiter;
use crate::retry::RetryLimits;
use crate::rollout::ExposureLimits;
use crate::rollout::Report;
use crate::rollout::ReportSink;
use crate::rollout::RolloutOrder;
use crate::stall::SuspensionDetector;
use crate::tables::Limits;
use crate::tables::Tables;

/// Interval of [`Entry::run_periodic_work`].
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Ticks between two clean-ups of idle connections and old records.
const TICKS_PER_SWEEP: u64 = 20;

/// Time to stop of a process whose settings name none.
const DEFAULT_STOP_GRACE: Duration = Duration::from_secs(8);

/// Identity of an entry process.
#[derive(Debug, Clone)]
pub struct EntryIdentity {
    /// Name, unique among entries.
    pub name: EntryName,
    /// Failure domain that the entry runs in.
    pub domain: DomainName,
    /// Distinguishes successive processes of the same entry.
    pub incarnation: u64,
    /// Whether the whole fleet starts for the first time, so that no earlier process sent anything.
    pub is_first_start: bool,
}

/// Limits that apply to the fleet, which is all entries together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetLimits {
    /// Retry budget.
    pub retry: RetryLimits,
    /// How far client accounts may exceed their quotas.
    pub quota: Tolerance,
    /// Share of traffic that a new version may receive before it is known to be good.
    pub exposure: ExposureLimits,
    /// Whether client accounts that compete for a pool get shares of it by the weight of their
    /// quotas.
    pub fair_shares: bool,
}

/// One entry: its tables and endpoints, and its queued and in-flight requests.
pub struct Entry {
    cx: Context,
    identity: EntryIdentity,
    caller_protocol: Arc<dyn CallerProtocol>,
    endpoint_protocol: Arc<dyn EndpointProtocol>,
    limits: ArcSwap<FleetLimits>,
    stop_grace: ArcSwap<Duration>,
    reports: Arc<dyn ReportSink>,
    tables: ArcSwapOption<Tables>,
    tables_received: Notify,
    endpoints: ArcSwap<Vec<Arc<Endpoint>>>,
    connections: Arc<ConnectionPool>,
    request_bodies: RequestBodies,
    callers: Arc<ConnectionTable>,
    peer_messages: RequestBodies,
    peers: Arc<ConnectionTable>,
    metrics: Arc<Metrics>,
    log_limiter: LogRateLimiter,
    suspension_detector: SuspensionDetector,
    next_request_seq: AtomicU64,
    takes_requests: AtomicBool,
    state: Mutex<State>,
}

impl Entry {
    /// Creates an entry without tables and endpoints.
    #[must_use]
    pub fn new(
        cx: &Context,
        identity: EntryIdentity,
        caller_protocol: Arc<dyn CallerProtocol>,
        endpoint_protocol: Arc<dyn EndpointProtocol>,
        fleet_limits: FleetLimits,
        metrics: Arc<Metrics>,
        reports: Arc<dyn ReportSink>,
    ) -> Arc<Self> {
        let process_limits = ProcessLimits::default();
        let dispatcher = Dispatcher::new(identity.name.as_str(), identity.domain.as_str());
        Arc::new(Self {
            cx: cx.clone(),
            caller_protocol,
            endpoint_protocol,
            limits: ArcSwap::from_pointee(fleet_limits),
            stop_grace: ArcSwap::from_pointee(DEFAULT_STOP_GRACE),
            reports,
            tables: ArcSwapOption::empty(),
            tables_received: Notify::new(),
            endpoints: ArcSwap::default(),
            connections: ConnectionPool::new(cx),
            request_bodies: RequestBodies::new(process_limits.caller_bodies()),
            callers: ConnectionTable::new(process_limits.caller_connections()),
            peer_messages: RequestBodies::new(process_limits.peer_messages()),
            peers: ConnectionTable::new(process_limits.peer_connections()),
            metrics,
            log_limiter: LogRateLimiter::default(),
            suspension_detector: SuspensionDetector::default(),
            next_request_seq: AtomicU64::new(1),
            takes_requests: AtomicBool::new(true),
            state: Mutex::new(State {
                dispatcher,
                result_senders: HashMap::new(),
                retry_budgets: HashMap::new(),
                quotas: quotas_with(&fleet_limits),
                known_endpoints: KnownEndpoints::default(),
                rng: cx.rng("entry"),
                peer_loads: PeerLoads::default(),
                prior_waits: PriorWaitEstimator::default(),
                crash_attribution: CrashAttribution::default(),
                rollout_decisions_from: Monotonic::ZERO,
            }),
            identity,
        })
    }

    /// Returns the context of the process: its log, timers and stop signal.
    #[must_use]
    pub const fn cx(&self) -> &Context {
        &self.cx
    }

    /// Returns the identity of this entry.
    #[must_use]
    pub const fn identity(&self) -> &EntryIdentity {
        &self.identity
    }

    /// Returns the metrics of the process.
    #[must_use]
    pub const fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Replaces the limits; a rollout in progress keeps the limits that it started with.
    pub fn set_limits(&self, limits: FleetLimits) {
        let mut state = self.lock();
        state.quotas.set_tolerance(limits.quota);
        state.quotas.set_paces_returns(limits.fair_shares);
        drop(state);
        self.limits.store(Arc::new(limits));
    }

    /// Sets what the process may use, from which the space for the bodies of requests and the maximum number
    /// of connections follow.
    pub fn set_process_limits(&self, limits: ProcessLimits) {
        self.request_bodies.set_limits(limits.caller_bodies());
        self.callers.set_max(limits.caller_connections());
        self.peer_messages.set_limits(limits.peer_messages());
        self.peers.set_max(limits.peer_connections());
    }

    /// Returns the messages of other entries that are being received.
    pub(crate) const fn peer_messages(&self) -> &RequestBodies {
        &self.peer_messages
    }

    /// Returns the connections of other entries.
    pub(crate) const fn peers(&self) -> &Arc<ConnectionTable> {
        &self.peers
    }

    /// Returns the connections of callers.
    pub(crate) const fn callers(&self) -> &Arc<ConnectionTable> {
        &self.callers
    }

    /// Sets the time from the signal to stop until the process is killed.
    pub fn set_stop_grace(&self, grace: Duration) {
        self.stop_grace.store(Arc::new(grace));
    }

    /// Returns the time from the signal to stop until the process is killed.
    pub(crate) fn stop_grace(&self) -> Duration {
        **self.stop_grace.load()
    }

    /// Returns the current tables.
    #[must_use]
    pub fn tables(&self) -> Option<Arc<Tables>> {
        self.tables.load_full()
    }

    /// Returns the current tables, waiting up to `limit` for the first ones.
    pub(crate) async fn await_tables(&self, limit: Duration) -> Option<Arc<Tables>> {
        if let Some(tables) = self.tables() {
            return Some(tables);
        }
        let notified = self.tables_received.notified();
        let _in_time = self.cx.timers.limit(limit, notified).await;
        self.tables()
    }

    /// Returns the version of the current tables, or 0 when there are none.
    #[must_use]
    pub fn tables_version(&self) -> u64 {
        self.tables.load().as_ref().map_or(0, |t| t.version())
    }

    /// Installs tables if they are newer than the current ones; returns whether it did.
    pub fn set_tables(&self, tables: Tables) -> bool {
        let version = tables.version();
        let previous = self.tables_version();
        if version <= previous {
            return false;
        }
        self.lock()
            .dispatcher
            .set_cold_rate_limits(tables.cold_rate_limits());
        self.tables.store(Some(Arc::new(tables)));
        self.tables_received.notify_waiters();
        info!(self.cx.log, "tables in force"; "version" => version, "before" => previous);
        true
    }

    /// Replaces the operators' orders to move pools to other versions.
    pub fn set_rollout_orders(&self, orders: Vec<RolloutOrder>) {
        let now = self.cx.timers.now();
        for order in &orders {
            info!(self.cx.log, "move ordered"; "pool" => order.pool.as_str(),
                "version" => order.new_version.as_str(), "ended" => ?order.outcome,
                "duration_ms" => millis(order.duration));
        }
        let limits = self.limits.load().exposure;
        let mut state = self.lock();
        let reports = state.dispatcher.set_orders(now, orders, limits);
        for (pool, version) in state.dispatcher.withdrawn_versions() {
            info!(self.cx.log, "version withdrawn"; "pool" => pool.as_str(),
                "version" => version.as_str());
        }
        drop(state);
        self.publish_reports(reports);
    }

    fn publish_reports(&self, reports: Vec<Report>) {
        for report in reports {
            info!(self.cx.log, "move decided"; "pool" => report.order.pool.as_str(),
                "version" => report.order.new_version.as_str(), "ended" => ?report.outcome,
                "reason" => &report.reason);
            self.reports.report(report);
        }
    }

    /// Returns whether requests can be served: tables and endpoints are known, and the process is not
    /// shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let has_state = self.tables.load().is_some() && !self.endpoints.load().is_empty();
        has_state && !self.cx.stop.is_cancelled()
    }

    /// Refuses all further requests, because the process stops and may end before they do.
    pub(crate) fn stop_taking_requests(&self) {
        self.takes_requests.store(false, Ordering::Relaxed);
    }

    /// Returns whether new requests are taken.
    pub(crate) fn takes_requests(&self) -> bool {
        self.takes_requests.load(Ordering::Relaxed)
    }

    /// Runs periodic work until the process ends: rollout decisions, expiry of endpoints, dispatch of
    /// queued requests and clean-up of idle connections.
    pub async fn run_periodic_work(self: Arc<Self>) {
        let mut ticks = self.cx.timers.every(TICK_INTERVAL);
        let mut tick_count = 0_u64;
        loop {
            ticks.tick().await;
            tick_count += 1;
            self.check_for_suspension();
            let now = self.cx.timers.now();
            let mut state = self.lock();
            state.dispatcher.tick(now);
            let reports = state.decide_rollouts(now);
            let has_queued = state.dispatcher.queued_total() > 0;
            let has_expired = state.known_endpoints.expire(now);
            let endpoints = has_expired.then(|| state.known_endpoints.endpoints());
            drop(state);
            self.publish_reports(reports);
            self.block_crashing_prompts();
            self.penalize_unsolicited_data();
            if let Some(endpoints) = endpoints {
                self.install_endpoints(endpoints);
            }
            if has_queued {
                self.dispatch_queued_requests();
            }
            if tick_count.is_multiple_of(TICKS_PER_SWEEP) {
                self.connections.close_unusable_idle(&self.endpoints());
                self.expire_crashes();
                request_log::log_suppressed_lines(&self);
            }
        }
    }

    /// Returns the current gauges for the metrics page.
    #[must_use]
    pub fn gauges(&self) -> Vec<Gauge> {
        let now = self.cx.timers.now();
        let mut gauges = vec![
            Gauge::new("tables_version", self.tables_version() as f64),
            Gauge::new("endpoints", self.endpoints.load().len() as f64),
            Gauge::new("body_bytes", self.request_bodies.total_bytes() as f64),
            Gauge::new("body_bytes_max", self.request_bodies.max_bytes() as f64),
            Gauge::new("caller_connections", self.callers.count() as f64),
            Gauge::new("caller_connections_max", self.callers.max() as f64),
        ];
        gauges.extend(self.lock().gauges(now));
        gauges
    }

    pub(crate) const fn log_limiter(&self) -> &LogRateLimiter {
        &self.log_limiter
    }

    /// Returns the limits on what callers send that are in force now.
    pub(crate) fn caller_limits(&self) -> Limits {
        self.tables().map(|t| *t.limits()).unwrap_or_default()
    }

    pub(crate) fn caller_protocol(&self) -> &dyn CallerProtocol {
        &*self.caller_protocol
    }

    pub(crate) fn endpoint_protocol(&self) -> &dyn EndpointProtocol {
        &*self.endpoint_protocol
    }

    pub(crate) fn connections(&self) -> &ConnectionPool {
        &self.connections
    }

    pub(crate) const fn request_bodies(&self) -> &RequestBodies {
        &self.request_bodies
    }

    /// Returns whether more than `attempted_count` endpoints of `pool` accept new requests.
    pub(crate) fn has_more_endpoints_than(&self, pool: &PoolName, attempted_count: usize) -> bool {
        let now = self.cx.timers.now();
        self.lock().dispatcher.ready_endpoints(now, pool) > attempted_count
    }

    pub(crate) fn next_seq(&self) -> u64 {
        self.next_request_seq.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn random_u32(&self) -> u32 {
        self.lock().rng.next_u32()
    }

    pub(crate) fn queued_count(&self) -> usize {
        self.lock().dispatcher.queued_total()
    }

    /// Dispatches queued requests to endpoints with free slots.
    fn dispatch_queued_requests(&self) {
        let now = self.cx.timers.now();
        let mut state = self.lock();
        loop {
            let queue_events = state.dispatcher.dispatch_queued(now);
            if queue_events.is_empty() {
                return;
            }
            for queue_event in queue_events {
                state.notify_queued(now, queue_event);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

fn quotas_with(limits: &FleetLimits) -> Quotas {
    let mut quotas = Quotas::new(limits.quota);
    quotas.set_paces_returns(limits.fair_shares);
    quotas
}

impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Entry")
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}
