//! Selects an endpoint for each request, and queues requests while none is free.
//!
//! Endpoints differ in speed and are shared by several entries, and each entry learns of the
//! others' load with a delay. The dispatcher therefore keeps to the known concurrency limit of an
//! endpoint, which only requests of the highest-priority route may exceed, by one. It grants free
//! slots by priority and prefers fast endpoints. It performs no I/O; the calling code passes in the
//! time and the events. See `docs/design/platform.md`.

mod cold;
mod incarnation_records;
mod peer_entries;
mod pool;
mod rate_limit;
mod restriction;
mod rollouts;
mod shares;
mod withdrawn;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::DomainName;
use eelgrassramp::EndpointName;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;
use xxhash_rust::xxh3::xxh3_64;

use self::peer_entries::PeerEntries;
use self::pool::EntryContext;
use self::pool::PoolState;
pub use self::rate_limit::RateLimitReport;
use self::rate_limit::RateLimits;
pub use self::restriction::MAX_ENDPOINT_BACKOFF;
pub use self::restriction::Restriction;
use self::restriction::Restrictions;
pub use self::shares::PoolShares;
use crate::endpoint::Endpoint;
use crate::endpoint::EndpointKey;
use crate::endpoint::IncarnationKey;
use crate::endpoint::ReportedLoad;
use crate::endpoint_tracker::DispatchEnd;
use crate::endpoint_tracker::EndpointTracker;
use crate::fair_share::AccountShare;
use crate::request_queue::QueuedRequest;
use crate::request_queue::RequestClass;
use crate::work::RequestSize;

/// Minimum delay before a refused caller may retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum delay before a refused caller may retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);

/// A request as the dispatcher sees it.
#[derive(Debug, Clone)]
pub struct DispatchRequest {
    /// Identifier, unique within this process.
    pub seq: u64,
    /// The pool that serves the request.
    pub pool: PoolName,
    /// Selects the request's queue.
    pub class: RequestClass,
    /// Time at which an endpoint is requested; for a later attempt, this is after the arrival.
    pub submitted_at: Monotonic,
    /// Latest grant time at which the latency objective can still be met.
    pub start_by: Monotonic,
    /// Time at which the request is refused if it has not been granted an endpoint.
    pub expires_at: Monotonic,
    /// Endpoints of earlier attempts, including failed connections; they are not chosen again.
    pub attempted: Vec<EndpointName>,
    /// Random number in 0..1 that selects a version during a rollout.
    pub version_draw: f64,
    /// Account whose share of the pool the request is counted against; `None` if the pool is not
    /// shared out by account.
    pub share: Option<AccountShare>,
    /// Declared size.
    pub size: RequestSize,
}

/// Result of submitting a request.
#[derive(Debug)]
pub enum SubmitResult {
    /// The request goes to this endpoint now.
    Granted(Grant),
    /// The request is queued; a later [`QueueEvent`] reports its result.
    Queued,
    /// The request is refused; the caller may retry after the given delay.
    Refused(Duration),
}

/// Permission to send one request to one endpoint.
#[derive(Debug, Clone)]
pub struct Grant {
    /// Identifier of the request, unique within this process.
    pub seq: u64,
    /// The request's route.
    pub route: RouteName,
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Estimated number of requests at the endpoint, including this one.
    pub endpoint_load: u32,
    /// Moving average of the endpoint's response time ÷ reference time; 1 is normal, 2 is half as
    /// fast.
    pub slowness: f64,
    /// Age of the load reported by the other entries for this endpoint.
    pub peer_load_age: Option<Duration>,
    /// Whether the endpoint was chosen although it should be avoided because of recent failures; a
    /// stall does not count.
    pub is_avoided: bool,
    /// Rate limit that the endpoint named, in requests per second.
    pub rate_limit: Option<f64>,
    /// Declared size of the request.
    pub size: RequestSize,
    /// Whether the request's account uses more of the pool than its share.
    pub is_over_share: bool,
}

/// Result for a queued request.
#[derive(Debug)]
pub enum QueueEvent {
    /// The request may be sent.
    Granted(u64, Grant),
    /// The request is refused, because it expired or is not expected to be granted an endpoint in
    /// time; the caller may retry after the given delay.
    Refused(u64, Duration),
}

/// Dispatches the requests of all pools of one entry.
#[derive(Debug)]
pub struct Dispatcher {
    context: EntryContext,
    pools: HashMap<PoolName, PoolState>,
    restrictions: Restrictions,
    rate_limits: RateLimits,
    /// Failure domains whose endpoints receive no new requests.
    evacuated: BTreeSet<DomainName>,
}

impl Dispatcher {
    /// Creates a dispatcher for the entry named `entry` in `domain`.
    #[must_use]
    pub fn new(entry: &str, domain: &str) -> Self {
        Self {
            context: EntryContext {
                hash_seed: xxh3_64(entry.as_bytes()),
                entries: 1,
                peer_entries: PeerEntries::default(),
                domain: domain.into(),
            },
            pools: HashMap::new(),
            restrictions: Restrictions::default(),
            rate_limits: RateLimits::default(),
            evacuated: BTreeSet::new(),
        }
    }

    /// Replaces the known endpoints; the state of endpoints that remain is kept.
    pub fn set_endpoints(&mut self, now: Monotonic, endpoints: &[Arc<Endpoint>]) {
        for pool in self.pools.values_mut() {
            pool.retain(endpoints);
        }
        let hash_seed = self.context.hash_seed;
        for endpoint in endpoints {
            let restriction = self
                .restrictions
                .restriction_of(IncarnationKey::from(&**endpoint));
            let is_same_domain = endpoint.domain.as_str() == &*self.context.domain;
            let is_evacuated = self.evacuated.contains(&endpoint.domain);
            let pool = self.pool_mut(&endpoint.pool);
            let slowness = pool.median_slowness();
            let tracker = pool.trackers.entry(endpoint.name.clone());
            let tracker = tracker.or_insert_with(|| {
                EndpointTracker::new(
                    now,
                    Arc::clone(endpoint),
                    slowness,
                    hash_seed,
                    is_same_domain,
                )
            });
            tracker.set_announced(now, Arc::clone(endpoint));
            tracker.set_restriction(restriction);
            tracker.set_evacuated(is_evacuated);
        }
    }

    /// Sets the number of requests that the other entries have in flight at each endpoint, and how
    /// many entries reported.
    pub fn set_peer_load(
        &mut self,
        now: Monotonic,
        peers: u32,
        in_flight: &HashMap<EndpointKey, u32>,
    ) {
        self.context.entries = peers + 1;
        for tracker in self
            .pools
            .values_mut()
            .flat_map(|p| p.trackers.values_mut())
        {
            let peer_load = in_flight.get(&tracker.key()).copied();
            tracker.set_peer_load(now, peer_load.unwrap_or(0));
        }
    }

    /// Returns this entry's requests in flight by endpoint.
    #[must_use]
    pub fn in_flight(&self) -> Vec<(EndpointKey, u32)> {
        let trackers = self.pools.values().flat_map(|p| p.trackers.values());
        let busy = trackers.filter(|tracker| tracker.in_flight() > 0);
        busy.map(|tracker| (tracker.key(), tracker.in_flight()))
            .collect()
    }

    /// Returns how many endpoints of `pool` accept new requests now.
    #[must_use]
    pub fn ready_endpoints(&self, now: Monotonic, pool: &PoolName) -> usize {
        let pool = self.pools.get(pool);
        pool.map_or(0, |p| {
            p.serving_trackers()
                .filter(|tracker| tracker.accepts_requests(now))
                .count()
        })
    }

    /// Returns the number of queued requests in all pools.
    #[must_use]
    pub fn queued_total(&self) -> usize {
        self.queued_by_pool().map(|(_, n)| n).sum()
    }

    /// Returns the number of queued requests of each pool.
    pub fn queued_by_pool(&self) -> impl Iterator<Item = (&PoolName, usize)> {
        self.pools
            .iter()
            .map(|(name, pool)| (name, pool.queue.len()))
    }

    /// Grants the request an endpoint, queues it, or refuses it.
    ///
    /// It is refused at once if the expected wait exceeds the time until it expires.
    pub fn submit(&mut self, now: Monotonic, request: DispatchRequest) -> SubmitResult {
        let pool = self.pools.entry(request.pool.clone()).or_default();
        let claim = pool.claim_of(&request);
        let estimate = pool.queue.record_arrival(now, &request.class, &claim);
        let class = request.class.clone();
        if pool.queue.is_empty()
            && let Some(grant) = pool.try_grant(now, &request, &self.context, &mut self.rate_limits)
        {
            pool.queue.record_immediate_grant(now, &class, &claim);
            return SubmitResult::Granted(grant);
        }
        if let Some(resumes_at) = pool
            .all_backed_off_until(now)
            .filter(|at| *at > request.expires_at)
        {
            return SubmitResult::Refused(delay_after_backoff(now, resumes_at, &request));
        }
        if now + estimate > request.expires_at {
            let backlog = pool.queue.time_to_clear_backlog(now, &class, &claim);
            return SubmitResult::Refused(retry_delay(backlog.max(estimate), &request));
        }
        let queued = QueuedRequest {
            seq: request.seq,
            claim,
            queued_at: request.submitted_at,
            start_by: request.start_by,
            expires_at: request.expires_at,
            item: request,
        };
        pool.queue.push(&class, queued);
        SubmitResult::Queued
    }

    /// Removes a queued request, for example because its caller has disconnected.
    pub fn remove_queued(&mut self, request: &DispatchRequest) {
        if let Some(pool) = self.pools.get_mut(&request.pool) {
            pool.queue.remove(&request.class, request.seq);
        }
    }

    /// Records that the head of a response arrived, with the endpoint's load report, if any.
    pub fn record_response_head(
        &mut self,
        now: Monotonic,
        endpoint: &Endpoint,
        load: Option<ReportedLoad>,
    ) {
        if let Some(tracker) = self.tracker_mut(endpoint) {
            tracker.record_activity(now);
            match load {
                Some(load) => tracker.record_reported_load(now, load),
                None => tracker.record_no_reported_load(),
            }
        }
    }

    /// Records that an endpoint sent part of a response.
    pub fn record_activity(&mut self, now: Monotonic, endpoint: &Endpoint) {
        if let Some(tracker) = self.tracker_mut(endpoint) {
            tracker.record_activity(now);
        }
    }

    /// Records how a dispatch ended.
    pub fn record_outcome(
        &mut self,
        now: Monotonic,
        endpoint: &Endpoint,
        route: &RouteName,
        end: DispatchEnd,
    ) {
        if let Some(pool) = self.pools.get_mut(&endpoint.pool) {
            pool.count_rollout_request(endpoint, route, end);
        }
        if let Some(tracker) = self.tracker_mut(endpoint) {
            tracker.record_dispatch_end(now, end);
        }
    }

    /// Grants free slots to queued requests in order of priority, and refuses requests that have
    /// expired or are not expected to be granted one in time.
    pub fn dispatch_queued(&mut self, now: Monotonic) -> Vec<QueueEvent> {
        let mut events = Vec::new();
        for pool in self.pools.values_mut() {
            if pool.queue.is_empty() {
                continue;
            }
            for queued in pool.queue.take_expired(now) {
                events.push(pool.refusal_event(now, &queued));
            }
            if let Some(resumes_at) = pool.all_backed_off_until(now) {
                for queued in pool.queue.take_expired(resumes_at) {
                    let retry_after = delay_after_backoff(now, resumes_at, &queued.item);
                    events.push(QueueEvent::Refused(queued.seq, retry_after));
                }
            }
            pool.grant_queued(now, &self.context, &mut self.rate_limits, &mut events);
            for queued in pool.queue.take_unservable(now) {
                events.push(pool.refusal_event(now, &queued));
            }
        }
        events
    }

    /// Decays failure averages and drops old restrictions; must be called periodically.
    pub fn tick(&mut self, now: Monotonic) {
        for pool in self.pools.values_mut() {
            pool.decay_failure_rates(now);
            pool.queue.expire(now);
            pool.expire_withdrawn(now);
        }
        self.restrictions.expire(now);
        self.rate_limits.expire(now);
    }

    /// Records that an endpoint sent bytes that belong to no request.
    pub fn record_protocol_error(&mut self, name: &EndpointName, address: SocketAddr) {
        let trackers = self
            .pools
            .values_mut()
            .filter_map(|p| p.trackers.get_mut(name));
        for tracker in trackers.filter(|tracker| tracker.endpoint().address == address) {
            tracker.record_failure();
        }
    }

    fn pool_mut(&mut self, name: &PoolName) -> &mut PoolState {
        self.pools.entry(name.clone()).or_default()
    }

    fn tracker_mut(&mut self, endpoint: &Endpoint) -> Option<&mut EndpointTracker> {
        let tracker = self.pools.get_mut(&endpoint.pool)?;
        let tracker = tracker.trackers.get_mut(&endpoint.name)?;
        tracker
            .endpoint()
            .is_same_incarnation(endpoint)
            .then_some(tracker)
    }
}

/// Returns the retry delay for a caller refused while all endpoints have asked for a backoff:
/// shortly after the first of them accepts requests again.
///
/// The request's identifier adds jitter, so that callers refused together do not retry together.
fn delay_after_backoff(
    now: Monotonic,
    resumes_at: Monotonic,
    request: &DispatchRequest,
) -> Duration {
    let jitter = 1.0 + (request.seq % 8) as f64 / 32.0;
    resumes_at.since(now).mul_f64(jitter).max(MIN_RETRY_DELAY)
}

/// Returns the retry delay for a refused caller: about half of the time that the backlog takes.
///
/// The request's identifier adds jitter, so that callers refused together do not retry together.
fn retry_delay(wait: Duration, request: &DispatchRequest) -> Duration {
    let jitter = 0.75 + (request.seq % 8) as f64 / 16.0;
    let wait = wait.mul_f64(0.5 * jitter);
    wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
}
