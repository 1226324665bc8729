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
use self::pool::PoolState;
use self::pool::View;
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
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Longest time after which a refused caller may come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

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
    pub give_up_at: Monotonic,
    /// Endpoints that had it already.
    pub tried: Vec<EndpointName>,
    /// Random number from 0 to 1 that decides between versions.
    pub draw: f64,
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
    Waits,
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
    pub busy: u32,
    /// The endpoint's slowness as far as known.
    pub slowness: f64,
    /// Age of what the other entries told of their work there.
    pub others_age: Option<Duration>,
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
    view: View,
    pools: HashMap<PoolName, PoolState>,
    restrictions: Restrictions,
    /// Failure domains whose endpoints get nothing.
    emptied: BTreeSet<DomainName>,
}

impl Dispatcher {
    /// Creates a dispatcher for the entry named `entry` in `domain`.
    #[must_use]
    pub fn new(entry: &str, domain: &str) -> Self {
        Self {
            view: View {
                preference: xxh3_64(entry.as_bytes()),
                entries: 1,
                colleagues: PeerEntries::default(),
                domain: domain.into(),
            },
            pools: HashMap::new(),
            restrictions: Restrictions::default(),
            emptied: BTreeSet::new(),
        }
    }

    /// Replaces the known endpoints; those that stay keep what was learned of them.
    pub fn set_endpoints(&mut self, now: Monotonic, endpoints: &[Arc<Endpoint>]) {
        for pool in self.pools.values_mut() {
            pool.retain(endpoints);
        }
        let preference = self.view.preference;
        for endpoint in endpoints {
            let restriction = self.restrictions.of(IncarnationKey::from(&**endpoint));
            let is_near = endpoint.domain.as_str() == &*self.view.domain;
            let is_emptied = self.emptied.contains(&endpoint.domain);
            let pool = self.pool_mut(&endpoint.pool);
            let slowness = pool.median_slowness();
            let lane = pool.lanes.entry(endpoint.name.clone());
            let lane = lane.or_insert_with(|| {
                EndpointTracker::new(now, Arc::clone(endpoint), slowness, preference, is_near)
            });
            lane.update(now, Arc::clone(endpoint));
            lane.restrict(restriction);
            lane.set_emptied(is_emptied);
        }
    }

    /// Takes in what the other entries have in flight, and how many of them were heard.
    pub fn set_others(
        &mut self,
        now: Monotonic,
        peers: u32,
        in_flight: &HashMap<EndpointKey, u32>,
    ) {
        self.view.entries = peers + 1;
        for lane in self.pools.values_mut().flat_map(|p| p.lanes.values_mut()) {
            let others = in_flight.get(&lane.key()).copied();
            lane.set_others(now, others.unwrap_or(0));
        }
    }

    /// Returns this entry's requests in flight by endpoint.
    #[must_use]
    pub fn in_flight(&self) -> Vec<(EndpointKey, u32)> {
        let lanes = self.pools.values().flat_map(|p| p.lanes.values());
        let busy = lanes.filter(|lane| lane.in_flight() > 0);
        busy.map(|lane| (lane.key(), lane.in_flight())).collect()
    }

    /// Returns how many endpoints of `pool` take new work.
    #[must_use]
    pub fn ready_endpoints(&self, now: Monotonic, pool: &PoolName) -> usize {
        let pool = self.pools.get(pool);
        pool.map_or(0, |p| p.lanes.values().filter(|l| l.is_ready(now)).count())
    }

    /// Returns how many requests wait for any pool.
    #[must_use]
    pub fn all_waiting(&self) -> usize {
        self.waiting().map(|(_, n)| n).sum()
    }

    /// Returns how many requests wait for each pool.
    pub fn waiting(&self) -> impl Iterator<Item = (&PoolName, usize)> {
        self.pools
            .iter()
            .map(|(name, pool)| (name, pool.line.len()))
    }

    /// Asks for an endpoint for a new request.
    pub fn enter(&mut self, now: Monotonic, ticket: DispatchRequest) -> Placement {
        let pool = self.pools.entry(ticket.pool.clone()).or_default();
        let estimate = pool.line.arrive(now, &ticket.class);
        let class = ticket.class.clone();
        if pool.line.is_empty()
            && let Some(grant) = pool.place(now, &ticket, &self.view)
        {
            pool.line.count_grant(now, &class);
            return Placement::Granted(grant);
        }
        if let Some(opens_at) = pool.paused_until(now).filter(|at| *at > ticket.give_up_at) {
            return Placement::Refused(retry_at(now, opens_at, &ticket));
        }
        if now + estimate > ticket.give_up_at {
            let wait = pool.line.time_to_catch_up(now, &class).max(estimate);
            return Placement::Refused(retry_after(wait, &ticket));
        }
        let waiting = QueuedRequest {
            seq: ticket.seq,
            arrived: ticket.arrived,
            start_by: ticket.start_by,
            give_up_at: ticket.give_up_at,
            item: ticket,
        };
        pool.line.push(&class, waiting);
        Placement::Waits
    }

    /// Takes a waiting request out.
    pub fn leave(&mut self, ticket: &DispatchRequest) {
        if let Some(pool) = self.pools.get_mut(&ticket.pool) {
            pool.line.remove(&ticket.class, ticket.seq);
        }
    }

    /// Notes that the head of an answer came.
    pub fn answered(&mut self, now: Monotonic, endpoint: &Endpoint, load: Option<ReportedLoad>) {
        if let Some(lane) = self.lane_mut(endpoint) {
            lane.heard(now);
            if let Some(load) = load {
                lane.report(now, load);
            }
        }
    }

    /// Notes that an endpoint is sending parts of an answer.
    pub fn heard(&mut self, now: Monotonic, endpoint: &Endpoint) {
        if let Some(lane) = self.lane_mut(endpoint) {
            lane.heard(now);
        }
    }

    /// Notes the end of a dispatch.
    pub fn ended(
        &mut self,
        now: Monotonic,
        endpoint: &Endpoint,
        route: &RouteName,
        outcome: Outcome,
    ) {
        if let Some(pool) = self.pools.get_mut(&endpoint.pool) {
            pool.judge(endpoint, route, outcome);
        }
        if let Some(lane) = self.lane_mut(endpoint) {
            lane.end(now, outcome);
        }
    }

    /// Hands free places to those whose turn it is, and refuses those that waited too long.
    pub fn pump(&mut self, now: Monotonic) -> Vec<QueueEvent> {
        let mut wakes = Vec::new();
        for pool in self.pools.values_mut() {
            if pool.line.is_empty() {
                continue;
            }
            for waiting in pool.line.take_expired(now) {
                wakes.push(pool.expired(now, &waiting));
            }
            if let Some(opens_at) = pool.paused_until(now) {
                for waiting in pool.line.take_expired(opens_at) {
                    let wait = retry_at(now, opens_at, &waiting.item);
                    wakes.push(QueueEvent::Expired(waiting.seq, wait));
                }
            }
            pool.hand_out(now, &self.view, &mut wakes);
            for waiting in pool.line.take_hopeless(now) {
                wakes.push(pool.expired(now, &waiting));
            }
        }
        wakes
    }

    /// Lets failures fade; called regularly.
    pub fn tick(&mut self, now: Monotonic) {
        for pool in self.pools.values_mut() {
            pool.fade_failures(now);
        }
        self.restrictions.expire(now);
    }

    /// Notes that an endpoint sent bytes that belong to no request.
    pub fn blame(&mut self, name: &EndpointName, address: SocketAddr) {
        let lanes = self
            .pools
            .values_mut()
            .filter_map(|p| p.lanes.get_mut(name));
        for lane in lanes.filter(|lane| lane.endpoint().address == address) {
            lane.fail();
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
    pub fn advance(&mut self, now: Monotonic) -> Vec<Report> {
        let pools = self.pools.values_mut();
        pools.filter_map(|pool| pool.advance(now)).collect()
    }

    /// Returns what this entry counted in each move.
    #[must_use]
    pub fn rollouts(&self) -> Vec<RolloutCounts> {
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
    pub fn hear_rollouts(&mut self, entry: &EntryName, usage: Vec<RolloutCounts>) {
        for theirs in usage {
            let pool = self.pools.get_mut(&theirs.pool);
            let rollout = pool.and_then(|pool| pool.rollout.as_mut());
            if let Some(rollout) = rollout.filter(|r| r.order().id == theirs.id) {
                rollout.hear(entry, theirs.answers);
                rollout.set_ended(theirs.ended);
            }
        }
    }

    fn pool_mut(&mut self, name: &PoolName) -> &mut PoolState {
        self.pools.entry(name.clone()).or_default()
    }

    fn lane_mut(&mut self, endpoint: &Endpoint) -> Option<&mut EndpointTracker> {
        let lane = self.pools.get_mut(&endpoint.pool)?;
        let lane = lane.lanes.get_mut(&endpoint.name)?;
        lane.endpoint()
            .is_same_incarnation(endpoint)
            .then_some(lane)
    }
}

/// Tells a refused caller to come back soon after the endpoints take work again.
///
/// The request's number spreads callers that were refused together.
fn retry_at(now: Monotonic, opens_at: Monotonic, ticket: &DispatchRequest) -> Duration {
    let spread = 1.0 + (ticket.seq % 8) as f64 / 32.0;
    opens_at.since(now).mul_f64(spread).max(MIN_RETRY_AFTER)
}

/// Chooses when a refused caller may come back: when about half of what waits has been served.
///
/// The request's number spreads callers that were refused together.
fn retry_after(wait: Duration, ticket: &DispatchRequest) -> Duration {
    let spread = 0.75 + (ticket.seq % 8) as f64 / 16.0;
    let wait = wait.mul_f64(0.5 * spread);
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
