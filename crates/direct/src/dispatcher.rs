//! Decides which waiting request goes to which endpoint, and when.
//!
//! The decisions answer the load in which engines of unlike speed are shared by entries that
//! see each other's work late: endpoints get no more than they can run at once, free places go
//! to the most urgent request, and fast endpoints come first. There is no I/O here; the owner
//! passes the time and the events. See `docs/design/platform.md`.

mod cold;
mod pool;
mod restriction;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::DomainName;
use eelgrassramp::EndpointName;
use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;
use xxhash_rust::xxh3::xxh3_64;

use self::cold::PeerEntries;
use self::pool::EntryContext;
use self::pool::PoolState;
pub use self::restriction::MAX_PAUSE;
pub use self::restriction::Restriction;
use self::restriction::Restrictions;
use crate::endpoint::Endpoint;
use crate::endpoint::EndpointKey;
use crate::endpoint::IncarnationKey;
use crate::endpoint::ReportedLoad;
use crate::endpoint_tracker::EndpointTracker;
use crate::endpoint_tracker::Outcome;
use crate::request_queue::Class;
use crate::request_queue::QueuedRequest;
use crate::rollout::Comparison;
use crate::rollout::End;
use crate::rollout::ExposureLimits;
use crate::rollout::Order;
use crate::rollout::Report;
use crate::rollout::Rollout;

/// Shortest time after which a refused caller may come back.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Longest time after which a refused caller may come back.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);

/// What the dispatcher has to know of a request.
#[derive(Debug, Clone)]
pub struct DispatchRequest {
    /// Identity within this process.
    pub seq: u64,
    /// The pool that serves it.
    pub pool: PoolName,
    /// Its class.
    pub class: Class,
    /// When it arrived.
    pub arrived: Monotonic,
    /// Until when it can be started and still be on time.
    pub start_by: Monotonic,
    /// When it is refused if it has not been started.
    pub expires_at: Monotonic,
    /// Endpoints that had it already.
    pub attempted: Vec<EndpointName>,
    /// Random number from 0 to 1 that decides between versions.
    pub version_draw: f64,
}

/// What an entry counted in one move.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutCounts {
    /// The pool that moves.
    pub pool: PoolName,
    /// The order.
    pub id: u64,
    /// How it ended, when that is known.
    pub ended: Option<End>,
    /// Answers of both versions by route.
    pub answers: Vec<(RouteName, Comparison)>,
}

/// What became of a request that asked for an endpoint.
#[derive(Debug)]
pub enum Placement {
    /// It goes to this endpoint now.
    Granted(Grant),
    /// It waits; the owner hears of it later.
    Queued,
    /// It is refused; the caller may come back after the time given.
    Refused(Duration),
}

/// The right to send one request to one endpoint.
#[derive(Debug, Clone)]
pub struct Grant {
    /// The request's identity within this process.
    pub seq: u64,
    /// The request's route.
    pub route: RouteName,
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Requests at the endpoint, this one included, as far as known.
    pub endpoint_load: u32,
    /// The endpoint's slowness as far as known.
    pub slowness: f64,
    /// Age of what the other entries told of their work there.
    pub peer_load_age: Option<Duration>,
    /// Whether the endpoint was chosen although it is avoided.
    pub avoided: bool,
}

/// What the owner has to do after an event.
#[derive(Debug)]
pub enum QueueEvent {
    /// The request may be sent.
    Granted(u64, Grant),
    /// The request has waited as long as it may.
    Expired(u64, Duration),
}

/// The pools of one entry.
#[derive(Debug)]
pub struct Dispatcher {
    context: EntryContext,
    pools: HashMap<PoolName, PoolState>,
    restrictions: Restrictions,
    /// Failure domains whose endpoints get nothing.
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
            evacuated: BTreeSet::new(),
        }
    }

    /// Replaces the known endpoints; those that stay keep what was learned of them.
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

    /// Takes in what the other entries have in flight, and how many of them were heard.
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

    /// Returns how many endpoints of `pool` take new work.
    #[must_use]
    pub fn ready_endpoints(&self, now: Monotonic, pool: &PoolName) -> usize {
        let pool = self.pools.get(pool);
        pool.map_or(0, |p| {
            p.trackers.values().filter(|l| l.is_ready(now)).count()
        })
    }

    /// Returns how many requests wait for any pool.
    #[must_use]
    pub fn queued_total(&self) -> usize {
        self.queued_by_pool().map(|(_, n)| n).sum()
    }

    /// Returns how many requests wait for each pool.
    pub fn queued_by_pool(&self) -> impl Iterator<Item = (&PoolName, usize)> {
        self.pools
            .iter()
            .map(|(name, pool)| (name, pool.queue.len()))
    }

    /// Asks for an endpoint for a new request.
    pub fn admit(&mut self, now: Monotonic, request: DispatchRequest) -> Placement {
        let pool = self.pools.entry(request.pool.clone()).or_default();
        let estimate = pool.queue.record_arrival(now, &request.class);
        let class = request.class.clone();
        if pool.queue.is_empty()
            && let Some(grant) = pool.try_grant(now, &request, &self.context)
        {
            pool.queue.record_immediate_grant(now, &class);
            return Placement::Granted(grant);
        }
        if let Some(resumes_at) = pool
            .all_paused_until(now)
            .filter(|at| *at > request.expires_at)
        {
            return Placement::Refused(delay_after_pause(now, resumes_at, &request));
        }
        if now + estimate > request.expires_at {
            let wait = pool.queue.time_to_clear_backlog(now, &class).max(estimate);
            return Placement::Refused(retry_delay(wait, &request));
        }
        let queued = QueuedRequest {
            seq: request.seq,
            arrived: request.arrived,
            start_by: request.start_by,
            expires_at: request.expires_at,
            item: request,
        };
        pool.queue.push(&class, queued);
        Placement::Queued
    }

    /// Takes a waiting request out.
    pub fn remove_queued(&mut self, request: &DispatchRequest) {
        if let Some(pool) = self.pools.get_mut(&request.pool) {
            pool.queue.remove(&request.class, request.seq);
        }
    }

    /// Notes that the head of an answer came.
    pub fn record_response_head(
        &mut self,
        now: Monotonic,
        endpoint: &Endpoint,
        load: Option<ReportedLoad>,
    ) {
        if let Some(tracker) = self.tracker_mut(endpoint) {
            tracker.record_activity(now);
            if let Some(load) = load {
                tracker.record_reported_load(now, load);
            }
        }
    }

    /// Notes that an endpoint is sending parts of an answer.
    pub fn record_activity(&mut self, now: Monotonic, endpoint: &Endpoint) {
        if let Some(tracker) = self.tracker_mut(endpoint) {
            tracker.record_activity(now);
        }
    }

    /// Notes the end of a dispatch.
    pub fn record_outcome(
        &mut self,
        now: Monotonic,
        endpoint: &Endpoint,
        route: &RouteName,
        outcome: Outcome,
    ) {
        if let Some(pool) = self.pools.get_mut(&endpoint.pool) {
            pool.count_rollout_answer(endpoint, route, outcome);
        }
        if let Some(tracker) = self.tracker_mut(endpoint) {
            tracker.record_dispatch_end(now, outcome);
        }
    }

    /// Hands free places to those whose turn it is, and refuses those that waited too long.
    pub fn dispatch_queued(&mut self, now: Monotonic) -> Vec<QueueEvent> {
        let mut events = Vec::new();
        for pool in self.pools.values_mut() {
            if pool.queue.is_empty() {
                continue;
            }
            for queued in pool.queue.take_expired(now) {
                events.push(pool.expiry_event(now, &queued));
            }
            if let Some(resumes_at) = pool.all_paused_until(now) {
                for queued in pool.queue.take_expired(resumes_at) {
                    let wait = delay_after_pause(now, resumes_at, &queued.item);
                    events.push(QueueEvent::Expired(queued.seq, wait));
                }
            }
            pool.grant_queued(now, &self.context, &mut events);
            for queued in pool.queue.take_unservable(now) {
                events.push(pool.expiry_event(now, &queued));
            }
        }
        events
    }

    /// Lets failures fade; called regularly.
    pub fn tick(&mut self, now: Monotonic) {
        for pool in self.pools.values_mut() {
            pool.decay_failures(now);
        }
        self.restrictions.expire(now);
    }

    /// Notes that an endpoint sent bytes that belong to no request.
    pub fn record_protocol_error(&mut self, name: &EndpointName, address: SocketAddr) {
        let trackers = self
            .pools
            .values_mut()
            .filter_map(|p| p.trackers.get_mut(name));
        for tracker in trackers.filter(|tracker| tracker.endpoint().address == address) {
            tracker.record_failure();
        }
    }

    /// Takes in the operators' orders to move pools; moves that are no longer ordered end.
    pub fn set_orders(&mut self, now: Monotonic, orders: Vec<Order>, limits: ExposureLimits) {
        for (name, pool) in &mut self.pools {
            if !orders.iter().any(|order| order.pool == *name) {
                pool.rollout = None;
            }
        }
        for order in orders {
            let pool = self.pool_mut(&order.pool.clone());
            match &mut pool.rollout {
                Some(known) if known.order().id == order.id => known.set_ended(order.ended),
                unknown => *unknown = Some(Rollout::new(now, order, limits)),
            }
        }
    }

    /// Decides whether moves end, and returns what operators are told.
    pub fn advance_rollouts(&mut self, now: Monotonic) -> Vec<Report> {
        let pools = self.pools.values_mut();
        pools.filter_map(|pool| pool.advance_rollout(now)).collect()
    }

    /// Returns what this entry counted in each move.
    #[must_use]
    pub fn rollout_counts(&self) -> Vec<RolloutCounts> {
        let rollouts = self.pools.values().filter_map(|p| p.rollout.as_ref());
        let usage = rollouts.map(|rollout| RolloutCounts {
            pool: rollout.order().pool.clone(),
            id: rollout.order().id,
            ended: rollout.verdict(),
            answers: rollout.usage(),
        });
        usage.collect()
    }

    /// Takes in what another entry counted in its moves.
    pub fn merge_rollout_counts(&mut self, entry: &EntryName, usage: Vec<RolloutCounts>) {
        for peer_counts in usage {
            let pool = self.pools.get_mut(&peer_counts.pool);
            let rollout = pool.and_then(|pool| pool.rollout.as_mut());
            if let Some(rollout) = rollout.filter(|r| r.order().id == peer_counts.id) {
                rollout.hear(entry, peer_counts.answers);
                rollout.set_ended(peer_counts.ended);
            }
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

/// Tells a refused caller to come back soon after the endpoints take work again.
///
/// The request's number spreads callers that were refused together.
fn delay_after_pause(now: Monotonic, resumes_at: Monotonic, request: &DispatchRequest) -> Duration {
    let jitter = 1.0 + (request.seq % 8) as f64 / 32.0;
    resumes_at.since(now).mul_f64(jitter).max(MIN_RETRY_DELAY)
}

/// Chooses when a refused caller may come back: when about half of what waits has been served.
///
/// The request's number spreads callers that were refused together.
fn retry_delay(wait: Duration, request: &DispatchRequest) -> Duration {
    let jitter = 0.75 + (request.seq % 8) as f64 / 16.0;
    let wait = wait.mul_f64(0.5 * jitter);
    wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
}
