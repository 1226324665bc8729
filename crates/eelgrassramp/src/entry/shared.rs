//! What all requests and loops of one entry share.

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
use super::state::Core;
use crate::error::Error;
use crate::error::Ran;
use crate::id::RequestId;
use crate::id::TableVersion;
use crate::link::SidecarLink;
use crate::membership::Follower;
use crate::name::PoolName;
use crate::num;
use crate::process::Context;
use crate::retry::Backoff;
use crate::routing::Candidate;
use crate::routing::PollTarget;
use crate::tables::Current;
use crate::tables::Route;
use crate::tables::Spread;
use crate::time::Monotonic;
use crate::time::Timers;
use crate::wire;
use crate::wire::Load;
use crate::wire::Report;
use crate::wire::ReportRequest;

/// Bytes of HTTP around the bodies of one call and its answer.
const CALL_OVERHEAD_BYTES: usize = 220;

/// Time for a call that fetches what a sidecar knows better.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(800);

/// The shared state of one entry.
#[derive(Debug)]
pub(super) struct Shared {
    pub settings: Settings,
    pub cx: Context,
    pub tables: Arc<Current>,
    /// Spreads the tables among this entry and the sidecars.
    pub spread: Arc<Spread>,
    /// Who takes part, in a process that reads the platform's list.
    pub membership: OnceLock<Arc<Follower>>,
    /// Wakes the polling loop when reports are wanted at once.
    pub pressed: Notify,
    link: Arc<dyn SidecarLink>,
    core: Mutex<Core>,
    refreshing: Mutex<HashSet<SocketAddr>>,
}

impl Shared {
    pub fn new(
        settings: Settings,
        link: Arc<dyn SidecarLink>,
        tables: Arc<Current>,
        cx: Context,
    ) -> Self {
        let core = Core::new(&settings, cx.rng(&format!("entry {}", settings.name)));
        let peers = settings.peers.clone();
        let spread = Spread::start(&cx, Arc::clone(&tables), Arc::clone(&link), peers);
        Self {
            settings,
            cx,
            tables,
            spread,
            membership: OnceLock::new(),
            pressed: Notify::new(),
            link,
            core: Mutex::new(core),
            refreshing: Mutex::default(),
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
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

    /// Tells whether the tables in force may be trusted.
    pub fn has_tables(&self) -> bool {
        self.tables_version().0 > 0 && self.spread.is_ready()
    }

    /// Makes the router follow the tables in force.
    pub fn sync_tables(&self) {
        let tables = self.tables.get();
        self.lock().router.sync(&tables);
    }

    pub fn new_request(&self) -> RequestId {
        RequestId::random(&mut self.lock().rng)
    }

    pub fn next_wait(&self, backoff: &mut Backoff) -> Duration {
        backoff.next_wait(&mut self.lock().rng)
    }

    /// Asks for fresh reports of a pool because orders wait.
    pub fn press(&self, pool: &PoolName) {
        self.lock().router.request_reports(pool);
        self.pressed.notify_one();
    }

    /// Takes a load that came with an answer, and fetches what the sidecar knows better.
    pub fn observe(
        self: &Arc<Self>,
        pool: &PoolName,
        candidate: &Candidate,
        basis: Monotonic,
        load: Load,
    ) {
        let now = self.now();
        let endpoint = &candidate.endpoint;
        self.note_sidecar(endpoint.sidecar, &load);
        let knows_more = {
            let mut core = self.lock();
            core.router
                .observe_load(now, basis, pool, &endpoint.name, load);
            core.pump(now, pool);
            core.router.is_behind(pool, &load)
        };
        if knows_more || load.tables > self.tables_version() {
            let shared = Arc::clone(self);
            let pool = pool.clone();
            let candidate = candidate.clone();
            tokio::spawn(async move { shared.refresh(&pool, &candidate).await });
        }
    }

    /// Fetches the tables and the report of a sidecar that knows better.
    pub async fn refresh(&self, pool: &PoolName, candidate: &Candidate) {
        let sidecar = candidate.endpoint.sidecar;
        if !self.lock_refreshing().insert(sidecar) {
            return;
        }
        let known = {
            let core = self.lock();
            let endpoint = &candidate.endpoint.name;
            core.router.load_of(pool, endpoint).map(|l| l.tables)
        };
        if known.is_some_and(|v| v > self.tables_version()) {
            self.fetch_tables(sidecar).await;
        }
        let target = self
            .lock()
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

    /// Notes the tables that a sidecar knows and its life.
    fn note_sidecar(&self, sidecar: SocketAddr, load: &Load) {
        self.spread.observe(sidecar, load.tables);
        if let Some(membership) = self.membership.get() {
            membership.note_life(sidecar, load.incarnation);
        }
    }

    /// Asks one sidecar for its report and returns the bytes that it took.
    pub async fn poll(&self, target: &PollTarget) -> usize {
        let asked = self.now();
        let msg = self.report_request(target);
        let sent = wire::to_bytes(&msg).map_or(0, |b| b.len());
        let call = self.link.report(target.sidecar, msg);
        let reply = self.timers().limit(REFRESH_TIMEOUT, call).await;
        let received = if let Some(Ok(report)) = reply {
            self.take_report(target, asked, &report).await;
            wire::to_bytes(&report).map_or(0, |b| b.len())
        } else {
            let now = self.now();
            self.lock().router.report_failed(now, target);
            0
        };
        let bytes = sent + received + CALL_OVERHEAD_BYTES;
        let count = i64::try_from(bytes).unwrap_or(i64::MAX);
        // A metric that cannot be sent is dropped.
        let _sent = self.cx.metrics.count("control.bytes", count);
        bytes
    }

    async fn take_report(&self, target: &PollTarget, asked: Monotonic, report: &Report) {
        self.learn_report(target, asked, report);
        self.note_sidecar(target.sidecar, &report.load);
        if report.load.tables > self.tables_version() {
            self.fetch_tables(target.sidecar).await;
        }
    }

    fn learn_report(&self, target: &PollTarget, asked: Monotonic, report: &Report) {
        let now = self.now();
        let mut core = self.lock();
        core.router.observe_report(now, asked, target, report);
        core.pump(now, &target.pool);
    }

    fn report_request(&self, target: &PollTarget) -> ReportRequest {
        let core = self.lock();
        let knowledge = core.router.gossip();
        ReportRequest {
            tables: self.tables_version(),
            brakes: knowledge.brakes_of(&target.pool).cloned().collect(),
            leaving: knowledge.leaving_of(&target.pool).cloned().collect(),
            split: knowledge.split(&target.pool).cloned(),
            outcomes: false,
            cache_seq: target.cache_seq,
            order_pressure: core.order_pressure(&target.pool),
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

    pub fn count(&self, what: &str, pool: &PoolName) {
        let metric = self.cx.metrics.count_with_tags(what, 1);
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
    pub fn waiting(&self) -> u64 {
        num::count(self.lock().gates.len())
    }
}
