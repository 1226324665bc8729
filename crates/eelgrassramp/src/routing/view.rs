//! Per-endpoint state of an entry: last load report, health and outstanding requests.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::health::Health;
use crate::id::RequestId;
use crate::name::VersionName;
use crate::tables::Endpoint;
use crate::tier::Tier;
use crate::time::Monotonic;
use crate::wire::Load;

/// Age of a report at which its backlog and the pool's mean have equal weight.
const STALENESS_HALF_LIFE: Duration = Duration::from_secs(2);

/// Minimum number of requests a sidecar may queue beyond its engine's slots.
const MIN_SIDECAR_QUEUE: u32 = 2;

/// Engine slots per request that the sidecar may queue.
const SLOTS_PER_QUEUED_REQUEST: u32 = 4;

/// Speed assumed before the first measurement, in tokens per second.
const DEFAULT_SPEED: f64 = 1_000.0;

/// A dispatch sent too late to be included in the last load report.
#[derive(Debug, Clone, Copy)]
struct UnreportedDispatch {
    request: RequestId,
    at: Monotonic,
    tokens: u64,
}

#[derive(Debug)]
pub(super) struct EndpointView {
    pub endpoint: Arc<Endpoint>,
    pub version: VersionName,
    pub health: Health,
    pub outstanding: u32,
    load: Option<Load>,
    reported_at: Monotonic,
    pub polled_at: Option<Monotonic>,
    pub report_requested: bool,
    unreported: VecDeque<UnreportedDispatch>,
}

impl EndpointView {
    pub fn new(endpoint: Arc<Endpoint>) -> Self {
        Self {
            version: endpoint.version.clone(),
            endpoint,
            health: Health::default(),
            outstanding: 0,
            load: None,
            reported_at: Monotonic::ZERO,
            polled_at: None,
            report_requested: false,
            unreported: VecDeque::new(),
        }
    }

    pub const fn load(&self) -> Option<&Load> {
        self.load.as_ref()
    }

    /// Returns the age of the last report.
    pub fn staleness(&self, now: Monotonic) -> Duration {
        now.since(self.reported_at)
    }

    /// Records a load that includes everything sent until `basis`.
    ///
    /// Returns true when the sidecar has restarted since the previous load. A load older than
    /// the current one is ignored.
    pub fn observe(&mut self, now: Monotonic, basis: Monotonic, load: Load) -> bool {
        let same_incarnation = self
            .load
            .as_ref()
            .map(|l| l.incarnation == load.incarnation);
        let is_outdated = self
            .load
            .as_ref()
            .is_some_and(|l| l.incarnation == load.incarnation && l.mark > load.mark);
        if is_outdated {
            return false;
        }
        self.load = Some(load);
        self.reported_at = now;
        self.health.mark_reachable();
        if same_incarnation == Some(false) {
            self.unreported.clear();
            return true;
        }
        self.unreported.retain(|u| u.at > basis);
        false
    }

    pub const fn request_report(&mut self) {
        self.report_requested = true;
    }

    pub fn record_dispatch(&mut self, now: Monotonic, request: RequestId, tokens: u64) {
        self.outstanding += 1;
        self.unreported.push_back(UnreportedDispatch {
            request,
            at: now,
            tokens,
        });
    }

    pub fn record_completion(&mut self, request: RequestId) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.unreported.retain(|u| u.request != request);
    }

    pub fn speed(&self) -> f64 {
        self.load
            .as_ref()
            .map(|l| f64::from(l.tokens_per_second))
            .filter(|speed| speed.is_finite() && *speed > 0.0)
            .unwrap_or(DEFAULT_SPEED)
    }

    /// Estimates the tokens currently queued and running.
    pub fn backlog(&self, now: Monotonic, pool_mean: f64) -> f64 {
        let reported = self.load.as_ref().map_or(0.0, |l| l.backlog_tokens as f64);
        let half_lives = self.staleness(now).as_secs_f64() / STALENESS_HALF_LIFE.as_secs_f64();
        let report_weight = (-half_lives).exp2();
        reported * report_weight + pool_mean * (1.0 - report_weight) + self.unreported_tokens()
    }

    /// Returns whether the sidecar would start a request of `tier` with little or no queueing.
    ///
    /// Always true for orders, because they preempt other work.
    pub fn has_room(&self, tier: Tier) -> bool {
        if tier == Tier::Order {
            return true;
        }
        let Some(load) = self.load.as_ref() else {
            return false;
        };
        let queue = MIN_SIDECAR_QUEUE.max(load.slots / SLOTS_PER_QUEUED_REQUEST);
        tier <= load.floor && self.requests_at_sidecar() < load.slots.saturating_add(queue)
    }

    /// Returns whether the engine has a free slot.
    pub fn has_free_slot(&self) -> bool {
        self.load
            .as_ref()
            .is_some_and(|l| self.requests_at_sidecar() < l.slots)
    }

    /// Returns the number of requests the engine can run concurrently.
    pub fn slots(&self) -> f64 {
        self.load
            .as_ref()
            .map_or(1.0, |l| f64::from(l.slots.max(1)))
    }

    /// Returns the number of requests known to be queued or running at the sidecar.
    fn requests_at_sidecar(&self) -> u32 {
        let unreported = u32::try_from(self.unreported.len()).unwrap_or(u32::MAX);
        self.load.as_ref().map_or(unreported, |l| {
            l.running
                .saturating_add(l.queued)
                .saturating_add(unreported)
        })
    }

    /// Returns whether the endpoint accepts new work.
    pub fn is_usable(&self, now: Monotonic) -> bool {
        let takes_work = self.load.as_ref().is_some_and(|l| !l.draining);
        takes_work && !self.endpoint.leaving && !self.health.is_unreachable(now)
    }

    fn unreported_tokens(&self) -> f64 {
        self.unreported.iter().map(|u| u.tokens as f64).sum()
    }
}
