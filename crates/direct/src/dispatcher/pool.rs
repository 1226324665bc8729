//! State of one pool: its request queue, its endpoints, and endpoint selection.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::EndpointName;
use eelgrassramp::Monotonic;
use eelgrassramp::RouteName;

use super::DispatchRequest;
use super::Grant;
use super::QueueEvent;
use super::peer_entries::PeerEntries;
use super::rate_limit::RateLimits;
use super::retry_delay;
use super::withdrawn::WithdrawnVersions;
use crate::endpoint::Endpoint;
use crate::endpoint_tracker::DispatchEnd;
use crate::endpoint_tracker::EndpointTracker;
use crate::fair_share::Claim;
use crate::request_queue::QueuedRequest;
use crate::request_queue::RequestClass;
use crate::request_queue::RequestQueue;
use crate::rollout::ExposureLimits;
use crate::rollout::Report;
use crate::rollout::Rollout;
use crate::rollout::RolloutOrder;
use crate::rollout::VersionGroup;
use crate::work::WorkModel;

/// Relative slowdown of an endpoint whose slots are all in use.
const SATURATION_PENALTY: f64 = 0.5;

/// Slowness factor of an endpoint in another failure domain, because traffic between domains costs
/// more.
const OTHER_DOMAIN_PENALTY: f64 = 1.1;

/// Requests that an endpoint may hold beyond its concurrency limit, by priority of their route.
///
/// An endpoint starts the requests that it has queued itself first, so a request sent beyond the
/// limit overtakes those queued at entries. Only the highest-priority route may use this.
const EXTRA_SLOTS_BY_PRIORITY: [u32; 1] = [1];

/// Time without any response data after which an endpoint with requests in flight counts as
/// stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Half-life of the moving averages of failure rates.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// If more than this share of a pool's endpoints that accept requests should be avoided, none is.
const MAX_AVOIDED_SHARE: f64 = 0.5;

/// Mean number of entries that prefer the same endpoint.
const ENTRIES_PER_ENDPOINT: f64 = 6.0;

/// Free slots required at an endpoint that is not among this entry's preferred ones.
const MIN_FREE_SLOTS: u32 = 2;

/// State of one pool as seen by one entry.
#[derive(Debug, Default)]
pub(super) struct PoolState {
    pub(super) trackers: BTreeMap<EndpointName, EndpointTracker>,
    pub(super) queue: RequestQueue<DispatchRequest>,
    pub(super) rollout: Option<Rollout>,
    /// The last rollout, once it no longer restricts which endpoints are used.
    finished_rollout: Option<Rollout>,
    pub(super) withdrawn: WithdrawnVersions,
    /// Rate limit of each cold endpoint in requests per second; `None` if there is no limit.
    pub(super) cold_rate_limit: Option<f64>,
    decayed_at: Monotonic,
    pub(super) work: WorkModel,
}

/// State of the entry that all its pools share.
#[derive(Debug)]
pub(super) struct EntryContext {
    /// Seed that gives each entry its own order of preference among equal endpoints.
    pub(super) hash_seed: u64,
    /// Number of entries that reported load, including this one.
    pub(super) entries: u32,
    /// All listed entries, including those that have not reported load.
    pub(super) peer_entries: PeerEntries,
    /// The entry's failure domain.
    pub(super) domain: Box<str>,
}

impl PoolState {
    pub(super) fn retain(&mut self, endpoints: &[Arc<Endpoint>]) {
        self.trackers.retain(|_, tracker| {
            endpoints
                .iter()
                .any(|e| e.is_same_incarnation(tracker.endpoint()))
        });
    }

    /// Returns when the first endpoint accepts requests again, if all endpoints in service asked for
    /// a backoff.
    pub(super) fn all_backed_off_until(&self, now: Monotonic) -> Option<Monotonic> {
        let serving = self.serving_trackers();
        let until = serving.map(EndpointTracker::backoff_until).min();
        until.filter(|until| *until > now)
    }

    /// Returns what a request claims of the pool.
    pub(super) fn claim_of(&self, request: &DispatchRequest) -> Claim {
        let Some(share) = &request.share else {
            return Claim::UNSHARED;
        };
        Claim {
            share: Some(share.clone()),
            work: self.work.estimate(request.size),
        }
    }

    /// Creates the event that refuses a queued request, with the caller's retry delay.
    pub(super) fn refusal_event(
        &self,
        now: Monotonic,
        queued: &QueuedRequest<DispatchRequest>,
    ) -> QueueEvent {
        let request = &queued.item;
        let wait = self
            .queue
            .time_to_clear_backlog(now, &request.class, &queued.claim);
        let wait = wait.max(now.since(queued.queued_at));
        QueueEvent::Refused(queued.seq, retry_delay(wait, request))
    }

    pub(super) fn median_slowness(&self) -> f64 {
        let mut all: Vec<f64> = self
            .trackers
            .values()
            .map(EndpointTracker::slowness)
            .collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(1.0)
    }

    /// Narrows the candidates to this entry's preferred endpoints; if none of these is free, to
    /// others with [`MIN_FREE_SLOTS`].
    ///
    /// Entries learn of each other's load with a delay, so if all of them considered the same
    /// endpoints, several would claim the same free slot at once.
    fn narrow_to_preferred<'a>(
        &self,
        now: Monotonic,
        usable: Vec<&'a EndpointTracker>,
        context: &EntryContext,
    ) -> Vec<&'a EndpointTracker> {
        let preferred_limit = context.preferred_count(self.trackers.len());
        if preferred_limit >= self.trackers.len() {
            return usable;
        }
        let mut preferences: Vec<u64> = self
            .trackers
            .values()
            .map(EndpointTracker::preference)
            .collect();
        let (_, limit, _) = preferences.select_nth_unstable(preferred_limit);
        let is_preferred = |tracker: &&EndpointTracker| tracker.preference() < *limit;
        let (preferred, others): (Vec<_>, Vec<_>) = usable.into_iter().partition(is_preferred);
        if !preferred.is_empty() {
            return preferred;
        }
        let others = others.into_iter();
        others
            .filter(|tracker| {
                tracker.estimated_load(now).saturating_add(MIN_FREE_SLOTS)
                    <= tracker.concurrency_limit()
            })
            .collect()
    }

    /// Decays the averages of failure rates by the time since the last call.
    pub(super) fn decay_failure_rates(&mut self, now: Monotonic) {
        let age = now.since(self.decayed_at).as_secs_f64();
        let factor = 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64());
        self.decayed_at = now;
        for tracker in self.trackers.values_mut() {
            tracker.decay_failure_rate(factor);
        }
    }

    /// Selects a version by the rollout's share; falls back to the old version if no endpoint of
    /// the new one accepts requests.
    ///
    /// While the new version is sampled, an endpoint whose pace is used up does not count either:
    /// requests that wait for it would hold up those behind them.
    fn choose_version(
        &self,
        now: Monotonic,
        request: &DispatchRequest,
        context: &EntryContext,
        rate_limits: &RateLimits,
    ) -> VersionGroup {
        let Some(rollout) = &self.rollout else {
            return VersionGroup::Old;
        };
        let chosen = rollout.choose_group(now, request.version_draw, context.entries);
        let is_sampling = rollout.is_sampling(now);
        let mut ready = self
            .trackers
            .values()
            .filter(|tracker| tracker.accepts_requests(now))
            .filter(|tracker| {
                !is_sampling || self.is_within_pace(now, tracker, context, rate_limits)
            });
        let is_available =
            ready.any(|tracker| rollout.group_of(&tracker.endpoint().version) == chosen);
        match (chosen, is_available) {
            (VersionGroup::New, false) => VersionGroup::Old,
            (group, _) => group,
        }
    }

    pub(super) fn count_rollout_request(
        &mut self,
        endpoint: &Endpoint,
        route: &RouteName,
        end: DispatchEnd,
    ) {
        let Some(rollout) = &mut self.rollout else {
            return;
        };
        if self.withdrawn.contains(&endpoint.version) {
            // The new version is compared with those that it replaces.
            return;
        }
        let (is_bad, slowness) = match end {
            DispatchEnd::Served { slowness } => (false, slowness),
            DispatchEnd::Failed | DispatchEnd::Disconnected | DispatchEnd::TimedOut => {
                (true, f64::NAN)
            }
            DispatchEnd::Refused | DispatchEnd::Unreachable | DispatchEnd::Neutral => return,
        };
        rollout.count_finished(route, &endpoint.version, is_bad, slowness);
    }

    /// Sets the operators' order: starts a rollout unless the order is known. Returns the report to
    /// repeat, if any.
    pub(super) fn set_order(
        &mut self,
        now: Monotonic,
        order: RolloutOrder,
        limits: ExposureLimits,
    ) -> Option<Report> {
        if let Some(version) = &order.rolled_back_before {
            self.withdrawn.record_roll_back(now, version);
        }
        if let Some(rollout) = self.rollout_of(&order) {
            return rollout.update_order(order);
        }
        self.end_rollout(now);
        self.withdrawn.reinstate(&order.new_version);
        self.rollout = Some(Rollout::new(now, order, limits));
        None
    }

    /// Ends the rollout in progress, because its order was replaced or deleted.
    fn end_rollout(&mut self, now: Monotonic) {
        if let Some(rollout) = self.rollout.take() {
            self.withdrawn.record_end(now, &rollout);
        }
    }

    fn rollout_of(&mut self, order: &RolloutOrder) -> Option<&mut Rollout> {
        let known = [&mut self.rollout, &mut self.finished_rollout];
        let mut known = known.into_iter().flatten();
        known
            .find(|rollout| rollout.order().is_same_order(order))
            .filter(|rollout| !rollout.order().was_ordered_again(order))
    }

    /// Forgets the rollout, because its order was deleted.
    pub(super) fn drop_rollout(&mut self, now: Monotonic) {
        self.end_rollout(now);
        self.finished_rollout = None;
    }

    /// Forgets withdrawn versions that have had no endpoints for some time.
    pub(super) fn expire_withdrawn(&mut self, now: Monotonic) {
        self.withdrawn.expire(now, &self.trackers);
    }

    pub(super) fn advance_rollout(&mut self, now: Monotonic) -> Option<Report> {
        let rollout = self.rollout.as_mut()?;
        if rollout.is_over(now) {
            self.finished_rollout = self.rollout.take();
            return None;
        }
        let old = self.trackers.values().filter(|tracker| {
            let version = &tracker.endpoint().version;
            rollout.group_of(version) == VersionGroup::Old
        });
        let old_in_flight = old.map(EndpointTracker::in_flight).sum();
        rollout.advance(now, old_in_flight)
    }

    fn pool_failure_rate(&self) -> f64 {
        let n = self.trackers.len().max(1) as f64;
        self.trackers
            .values()
            .map(EndpointTracker::failure_rate)
            .sum::<f64>()
            / n
    }

    pub(super) fn grant_queued(
        &mut self,
        now: Monotonic,
        context: &EntryContext,
        rate_limits: &mut RateLimits,
        events: &mut Vec<QueueEvent>,
    ) {
        while let Some(first) = self.queue.select_class(now) {
            let mut classes = vec![first.clone()];
            classes.extend(self.queue.remaining_classes(&first));
            let granted = classes
                .into_iter()
                .find_map(|class| self.grant_first(now, &class, context, rate_limits));
            match granted {
                Some(event) => events.push(event),
                None => return,
            }
        }
    }

    fn grant_first(
        &mut self,
        now: Monotonic,
        class: &RequestClass,
        context: &EntryContext,
        rate_limits: &mut RateLimits,
    ) -> Option<QueueEvent> {
        let request = self.queue.front(now, class)?.item.clone();
        let grant = self.try_grant(now, &request, context, rate_limits)?;
        self.queue.pop(now, class);
        Some(QueueEvent::Granted(request.seq, grant))
    }

    /// Returns whether all rate limits of the endpoint allow this entry to send one more request.
    fn is_within_pace(
        &self,
        now: Monotonic,
        tracker: &EndpointTracker,
        context: &EntryContext,
        rate_limits: &RateLimits,
    ) -> bool {
        self.is_within_cold_limit(now, tracker, context)
            && rate_limits.allows(now, tracker, context)
    }

    /// Returns whether the cold-start rate limit, if any, allows this entry to send one more
    /// request.
    fn is_within_cold_limit(
        &self,
        now: Monotonic,
        tracker: &EndpointTracker,
        context: &EntryContext,
    ) -> bool {
        let Some(rate) = self.cold_rate_limit.filter(|_| tracker.is_cold(now)) else {
            return true;
        };
        let (own_hash, name) = (context.hash_seed, &tracker.endpoint().name);
        let interval = context
            .peer_entries
            .cold_send_interval(now, own_hash, name, rate);
        interval.is_some_and(|interval| tracker.has_no_dispatch_within(now, interval))
    }

    /// Chooses the endpoint with the lowest score among those with capacity, and records the
    /// dispatch.
    pub(super) fn try_grant(
        &mut self,
        now: Monotonic,
        request: &DispatchRequest,
        context: &EntryContext,
        rate_limits: &mut RateLimits,
    ) -> Option<Grant> {
        let mean_failure_rate = self.pool_failure_rate();
        let extra = extra_slots(request);
        let serving = self.serving_trackers();
        let ready: Vec<_> = serving
            .filter(|tracker| tracker.accepts_requests(now))
            .collect();
        let should_avoid = |tracker: &EndpointTracker| {
            tracker.is_avoided(now, mean_failure_rate) || tracker.is_stalled(now, STALL_TIMEOUT)
        };
        let total = ready.len() as f64;
        let may_avoid = ready.iter().filter(|tracker| should_avoid(tracker)).count() as f64
            <= MAX_AVOIDED_SHARE * total;
        let group = self.choose_version(now, request, context, rate_limits);
        let is_chosen_version = |tracker: &EndpointTracker| {
            let rollout = self.rollout.as_ref();
            rollout.is_none_or(|r| r.group_of(&tracker.endpoint().version) == group)
        };
        let needs_shown_room = request.share.is_some() && context.is_isolated();
        let usable = ready
            .into_iter()
            .filter(|tracker| is_chosen_version(tracker))
            .filter(|tracker| !needs_shown_room || tracker.has_shown_room())
            .filter(|tracker| !request.attempted.contains(&tracker.endpoint().name))
            .filter(|tracker| tracker.has_capacity(now, extra))
            .filter(|tracker| self.is_within_pace(now, tracker, context, rate_limits))
            .filter(|tracker| !(may_avoid && should_avoid(tracker)));
        let usable = self.narrow_to_preferred(now, prefer_warm(now, usable.collect()), context);
        let best = usable
            .into_iter()
            .map(|tracker| (context.score(now, tracker), tracker))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, tracker)| tracker.endpoint().name.clone())?;
        let account = request.share.as_ref().map(|share| &share.account);
        let is_over_share = self.queue.shares().is_over_share(now, account);
        let tracker = self.trackers.get_mut(&best)?;
        let is_avoided = tracker.is_avoided(now, mean_failure_rate);
        tracker.record_dispatch(now);
        rate_limits.record_dispatch(now, tracker, context);
        if let Some(rollout) = &mut self.rollout {
            let version = &tracker.endpoint().version;
            rollout.count_sent(&request.class.route, version);
        }
        Some(Grant {
            seq: request.seq,
            route: request.class.route.clone(),
            endpoint: Arc::clone(tracker.endpoint()),
            endpoint_load: tracker.estimated_load(now),
            slowness: tracker.slowness(),
            peer_load_age: tracker.peer_load_age(now),
            is_avoided,
            rate_limit: rate_limits.per_second(tracker.incarnation()),
            size: request.size,
            is_over_share,
        })
    }
}

impl EntryContext {
    /// Returns whether there are other entries and none of them reports its load.
    fn is_isolated(&self) -> bool {
        self.entries <= 1 && self.peer_entries.entry_count() > 1
    }

    /// Returns how many of `all` endpoints this entry prefers.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float cast saturates, and neither factor is negative"
    )]
    fn preferred_count(&self, all: usize) -> usize {
        let preferred = ENTRIES_PER_ENDPOINT * all as f64 / f64::from(self.entries.max(1));
        preferred.ceil() as usize
    }

    /// Returns the predicted slowness of an endpoint for one more request; the lowest is best.
    ///
    /// A small factor specific to the entry orders nearly equal endpoints differently in each
    /// entry, so that two entries seldom take the same free slot.
    fn score(&self, now: Monotonic, tracker: &EndpointTracker) -> f64 {
        let utilization =
            f64::from(tracker.estimated_load(now)) / f64::from(tracker.concurrency_limit());
        let domain_penalty = if tracker.endpoint().domain.as_str() == &*self.domain {
            1.0
        } else {
            OTHER_DOMAIN_PENALTY
        };
        tracker.slowness()
            * (1.0 + SATURATION_PENALTY * utilization)
            * domain_penalty
            * tracker.tie_break_factor()
    }
}

/// Removes cold endpoints unless all candidates are cold.
fn prefer_warm(now: Monotonic, usable: Vec<&EndpointTracker>) -> Vec<&EndpointTracker> {
    let (cold, warm): (Vec<_>, Vec<_>) =
        usable.into_iter().partition(|tracker| tracker.is_cold(now));
    if warm.is_empty() { cold } else { warm }
}

fn extra_slots(request: &DispatchRequest) -> u32 {
    let priority = usize::try_from(request.class.priority.route_priority).unwrap_or(usize::MAX);
    EXTRA_SLOTS_BY_PRIORITY.get(priority).copied().unwrap_or(0)
}
