//! One endpoint as this entry sees it.

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

/// Time after which half of what a report says of the backlog is taken from the pool's mean.
const STALENESS_HALF_LIFE: Duration = Duration::from_secs(2);

/// Requests that a sidecar may hold back beyond what its engine runs, at least.
const MIN_SHORT_QUEUE: u32 = 2;

/// Slots of an engine for each request that its sidecar may hold back.
const SLOTS_PER_QUEUED: u32 = 4;

/// Speed assumed before any was measured, in tokens per second.
const DEFAULT_SPEED: f64 = 1_000.0;

/// A dispatch that the last report cannot have counted.
#[derive(Debug, Clone, Copy)]
struct Uncounted {
    request: RequestId,
    at: Monotonic,
    tokens: u64,
}

#[derive(Debug)]
pub(super) struct View {
    pub endpoint: Arc<Endpoint>,
    pub version: VersionName,
    pub health: Health,
    pub outstanding: u32,
    load: Option<Load>,
    reported_at: Monotonic,
    pub asked_at: Option<Monotonic>,
    pub report_wanted: bool,
    uncounted: VecDeque<Uncounted>,
}

impl View {
    pub fn new(endpoint: Arc<Endpoint>) -> Self {
        Self {
            version: endpoint.version.clone(),
            endpoint,
            health: Health::default(),
            outstanding: 0,
            load: None,
            reported_at: Monotonic::ZERO,
            asked_at: None,
            report_wanted: false,
            uncounted: VecDeque::new(),
        }
    }

    pub const fn load(&self) -> Option<&Load> {
        self.load.as_ref()
    }

    /// Returns how old the last report is.
    pub fn staleness(&self, now: Monotonic) -> Duration {
        now.since(self.reported_at)
    }

    /// Takes a load that counts everything sent until `basis`; tells whether it is another life.
    pub fn observe(&mut self, now: Monotonic, basis: Monotonic, load: Load) -> bool {
        let same_life = self
            .load
            .as_ref()
            .map(|l| l.incarnation == load.incarnation);
        let is_late = self
            .load
            .as_ref()
            .is_some_and(|l| l.incarnation == load.incarnation && l.mark > load.mark);
        if is_late {
            return false;
        }
        self.load = Some(load);
        self.reported_at = now;
        self.health.reached();
        if same_life == Some(false) {
            self.uncounted.clear();
            return true;
        }
        self.uncounted.retain(|u| u.at > basis);
        false
    }

    pub const fn want_report(&mut self) {
        self.report_wanted = true;
    }

    pub fn sent(&mut self, now: Monotonic, request: RequestId, tokens: u64) {
        self.outstanding += 1;
        self.uncounted.push_back(Uncounted {
            request,
            at: now,
            tokens,
        });
    }

    pub fn ended(&mut self, request: RequestId) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.uncounted.retain(|u| u.request != request);
    }

    pub fn speed(&self) -> f64 {
        self.load
            .as_ref()
            .map(|l| f64::from(l.tokens_per_second))
            .filter(|speed| speed.is_finite() && *speed > 0.0)
            .unwrap_or(DEFAULT_SPEED)
    }

    /// Estimates the tokens queued and running now.
    pub fn backlog(&self, now: Monotonic, pool_mean: f64) -> f64 {
        let reported = self.load.as_ref().map_or(0.0, |l| l.backlog_tokens as f64);
        let half_lives = self.staleness(now).as_secs_f64() / STALENESS_HALF_LIFE.as_secs_f64();
        let trust = (-half_lives).exp2();
        reported * trust + pool_mean * (1.0 - trust) + self.uncounted_tokens()
    }

    /// Tells whether the sidecar would start a request of `tier` at once or nearly so.
    ///
    /// Orders displace other work, so they always have room.
    pub fn has_room(&self, tier: Tier) -> bool {
        if tier == Tier::Order {
            return true;
        }
        let Some(load) = self.load.as_ref() else {
            return false;
        };
        let queue = MIN_SHORT_QUEUE.max(load.slots / SLOTS_PER_QUEUED);
        tier <= load.floor && self.held() < load.slots.saturating_add(queue)
    }

    /// Tells whether the engine would start a request at once.
    pub fn has_free_slot(&self) -> bool {
        self.load.as_ref().is_some_and(|l| self.held() < l.slots)
    }

    /// Returns the requests that the engine can run at a time.
    pub fn slots(&self) -> f64 {
        self.load
            .as_ref()
            .map_or(1.0, |l| f64::from(l.slots.max(1)))
    }

    /// Returns the requests that wait or run at the sidecar, as far as is known.
    fn held(&self) -> u32 {
        let uncounted = u32::try_from(self.uncounted.len()).unwrap_or(u32::MAX);
        self.load.as_ref().map_or(uncounted, |l| {
            l.running.saturating_add(l.queued).saturating_add(uncounted)
        })
    }

    /// Tells whether the endpoint could take work at all.
    pub fn is_usable(&self, now: Monotonic) -> bool {
        let takes_work = self.load.as_ref().is_some_and(|l| !l.draining);
        takes_work && !self.endpoint.leaving && !self.health.is_unreachable(now)
    }

    fn uncounted_tokens(&self) -> f64 {
        self.uncounted.iter().map(|u| u.tokens as f64).sum()
    }
}
