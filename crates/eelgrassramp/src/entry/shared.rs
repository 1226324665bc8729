//! State shared by all requests and background tasks of one entry.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;

use cadence::prelude::*;
use slog::debug;
use tokio::sync::Notify;

use super::settings::Settings;
use super::state::EntryState;
use crate::error::Error;
use crate::error::Ran;
use crate::id::RequestId;
use crate::id::TableVersion;
use crate::link::SidecarLink;
use crate::membership::MembershipTracker;
use crate::name::PoolName;
use crate::num;
use crate::process::Context;
use crate::retry::Backoff;
use crate::routing::Candidate;
use crate::routing::PollTarget;
use crate::tables::CurrentTables;
use crate::tables::Route;
use crate::tables::TableGossip;
use crate::time::Monotonic;
use crate::time::Timers;
use crate::wire;
use crate::wire::Load;
use crate::wire::Report;
use crate::wire::ReportRequest;

/// Bytes of HTTP headers and framing of one call and its reply.
const HTTP_OVERHEAD_BYTES: usize = 220;

/// Timeout of a report call to a sidecar.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(800);

/// The shared state of one entry.
#[derive(Debug)]
pub(super) struct Shared {
    pub settings: Settings,
    pub cx: Context,
    pub tables: Arc<CurrentTables>,
    /// Distributes the tables between this entry and the sidecars.
    pub spread: Arc<TableGossip>,
    /// The membership, in a process that follows the platform's list.
    pub membership: OnceLock<Arc<MembershipTracker>>,
    /// Wakes the polling loop when reports are needed immediately.
    pub poll_requested: Notify,
    link: Arc<dyn SidecarLink>,
    state: Mutex<EntryState>,
    refreshing: Mutex<HashSet<SocketAddr>>,
}

impl Shared {
    pub fn new(
        settings: Settings,
        link: Arc<dyn SidecarLink>,
        tables: Arc<CurrentTables>,
        cx: Context,
    ) -> Self {
        let state = EntryState::new(&settings, cx.rng(&format!("entry {}", settings.name)));
        let peers = settings.peers.clone();
        let spread = TableGossip::start(&cx, Arc::clone(&tables), Arc::clone(&link), peers);
        Self {
            settings,
            cx,
            tables,
            spread,
            membership: OnceLock::new(),
            poll_requested: Notify::new(),
            link,
            state: Mutex::new(state),
            refreshing: Mutex::default(),
        }
    }

    pub fn lock_state(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn link(&self) -> &dyn SidecarLink {
        &*self.link
    }

    pub const fn timers(&self) -> &Timers {
        &self.cx.timers
    }

    pub fn now(&self) -> Monotonic {
        self.cx.timers.now()
    }

    pub fn tables_version(&self) -> TableVersion {
        self.tables.get().version
    }

    /// Returns whether tables are in force and confirmed by the object API or by enough peers.
    pub fn has_tables(&self) -> bool {
        self.tables_version().0 > 0 && self.spread.is_ready()
    }

    /// Updates the router to the tables in force.
    pub fn sync_tables(&self) {
        let tables = self.tables.get();
        self.lock_state().router.sync(&tables);
    }

    pub fn new_request(&self) -> RequestId {
        RequestId::random(&mut self.lock_state().rng)
    }

    pub fn next_backoff(&self, backoff: &mut Backoff) -> Duration {
        backoff.next_wait(&mut self.lock_state().rng)
    }

    /// Requests new load reports of a pool because requests of tier `order` are waiting.
    pub fn request_reports(&self, pool: &PoolName) {
        self.lock_state().router.request_reports(pool);
        self.poll_requested.notify_one();
    }

    /// Handles a load received with a response frame; fetches the tables and the report of the
    /// sidecar if its state is newer.
    pub fn observe_load(
        self: &Arc<Self>,
        pool: &PoolName,
        candidate: &Candidate,
        sent_at: Monotonic,
        load: Load,
    ) {
        let now = self.now();
        let endpoint = &candidate.endpoint;
        self.record_sidecar(endpoint.sidecar, &load);
        let has_newer_state = {
            let mut state = self.lock_state();
            state
                .router
                .observe_load(now, sent_at, pool, &endpoint.name, load);
            state.grant_endpoints(now, pool);
            state.router.is_behind(pool, &load)
        };
        if has_newer_state || load.tables > self.tables_version() {
            let shared = Arc::clone(self);
            let pool = pool.clone();
            let candidate = candidate.clone();
            tokio::spawn(async move { shared.refresh_from_sidecar(&pool, &candidate).await });
        }
    }

    /// Fetches the tables and the report of a sidecar whose state is newer.
    pub async fn refresh_from_sidecar(&self, pool: &PoolName, candidate: &Candidate) {
        let sidecar = candidate.endpoint.sidecar;
        if !self.lock_refreshing().insert(sidecar) {
            return;
        }
        let sidecar_tables = {
            let state = self.lock_state();
            let endpoint = &candidate.endpoint.name;
            state.router.load_of(pool, endpoint).map(|l| l.tables)
        };
        if sidecar_tables.is_some_and(|v| v > self.tables_version()) {
            self.fetch_tables(sidecar).await;
        }
        let target =
            self.lock_state()
                .router
                .poll_target(self.now(), pool, &candidate.endpoint.name);
        if let Some(target) = target {
            self.poll(&target).await;
        }
        self.lock_refreshing().remove(&sidecar);
    }

    async fn fetch_tables(&self, sidecar: SocketAddr) {
        if self.spread.refresh(sidecar).await {
            self.sync_tables();
        }
    }

    /// Records the tables version and the incarnation of a sidecar.
    fn record_sidecar(&self, sidecar: SocketAddr, load: &Load) {
        self.spread.observe(sidecar, load.tables);
        if let Some(membership) = self.membership.get() {
            membership.observe_incarnation(sidecar, load.incarnation);
        }
    }

    /// Requests the report of one sidecar and returns the number of bytes transferred.
    pub async fn poll(&self, target: &PollTarget) -> usize {
        let requested_at = self.now();
        let msg = self.report_request(target);
        let sent = wire::to_bytes(&msg).map_or(0, |b| b.len());
        let call = self.link.report(target.sidecar, msg);
        let reply = self.timers().limit(REFRESH_TIMEOUT, call).await;
        let received = if let Some(Ok(report)) = reply {
            self.handle_report(target, requested_at, &report).await;
            wire::to_bytes(&report).map_or(0, |b| b.len())
        } else {
            let now = self.now();
            self.lock_state().router.report_failed(now, target);
            0
        };
        let bytes = sent + received + HTTP_OVERHEAD_BYTES;
        let byte_count = i64::try_from(bytes).unwrap_or(i64::MAX);
        // A metric that cannot be sent is dropped.
        let _sent = self.cx.metrics.count("control.bytes", byte_count);
        bytes
    }

    async fn handle_report(&self, target: &PollTarget, requested_at: Monotonic, report: &Report) {
        self.apply_report(target, requested_at, report);
        self.record_sidecar(target.sidecar, &report.load);
        if report.load.tables > self.tables_version() {
            self.fetch_tables(target.sidecar).await;
        }
    }

    fn apply_report(&self, target: &PollTarget, requested_at: Monotonic, report: &Report) {
        let now = self.now();
        let mut state = self.lock_state();
        state
            .router
            .observe_report(now, requested_at, target, report);
        state.grant_endpoints(now, &target.pool);
    }

    fn report_request(&self, target: &PollTarget) -> ReportRequest {
        let state = self.lock_state();
        let gossip = state.router.gossip();
        ReportRequest {
            tables: self.tables_version(),
            brakes: gossip.brakes_of(&target.pool).cloned().collect(),
            leaving: gossip.leaving_of(&target.pool).cloned().collect(),
            split: gossip.split(&target.pool).cloned(),
            outcomes: false,
            cache_seq: target.cache_seq,
            order_pressure: state.order_pressure(&target.pool),
        }
    }

    pub fn count_request(&self, route: &Route, kind: &str) {
        let metric = self.cx.metrics.count_with_tags("requests", 1);
        // A metric that cannot be sent is dropped.
        let _sent = metric
            .with_tag("route", route.name.as_str())
            .with_tag("tier", route.tier.as_str())
            .with_tag("kind", kind)
            .try_send();
    }

    pub fn count_for_pool(&self, metric_name: &str, pool: &PoolName) {
        let metric = self.cx.metrics.count_with_tags(metric_name, 1);
        // A metric that cannot be sent is dropped.
        let _sent = metric.with_tag("pool", pool.as_str()).try_send();
    }

    pub fn log_failure(&self, request: RequestId, route: &Route, err: &Error, ran: Ran) {
        debug!(self.cx.log, "request failed";
            "request" => %request,
            "route" => %route.name,
            "tier" => %route.tier,
            "kind" => %err.kind(),
            "ran" => ran.as_str(),
            "detail" => err.detail());
    }

    fn lock_refreshing(&self) -> MutexGuard<'_, HashSet<SocketAddr>> {
        self.refreshing
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of waiting requests, for metrics.
    pub fn waiting_requests(&self) -> u64 {
        num::count(self.lock_state().queues.len())
    }
}
