//! The queues in which requests wait for an endpoint.
//!
//! Each pool has one queue per version, because free capacity at one version cannot be used by a
//! request that the traffic split assigned to another.

use std::collections::BTreeMap;

use rand::Rng;
use tokio::sync::oneshot;

use crate::admission::FairQueue;
use crate::admission::Limits;
use crate::admission::PushOutcome;
use crate::admission::QueuedRequest;
use crate::admission::Ticket;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::id::RequestId;
use crate::name::EndpointName;
use crate::name::PoolName;
use crate::name::RouteName;
use crate::name::VersionName;
use crate::routing::Candidate;
use crate::routing::Choice;
use crate::routing::Outcome;
use crate::routing::Router;
use crate::routing::RoutingQuery;
use crate::tier::Tier;
use crate::time::Monotonic;

/// The reply to a queued request: an endpoint, or the reason why it was rejected.
pub(super) type GrantResult = Result<Candidate>;

/// The requirements of a queued request for its endpoint.
#[derive(Debug, Clone)]
pub(super) struct EndpointRequest {
    pub pool: PoolName,
    pub route: RouteName,
    /// Assigns the request to a side of a traffic split.
    pub split_key: RequestId,
    pub prefix: Vec<u64>,
    pub tried: Vec<EndpointName>,
    pub home: Option<EndpointName>,
}

#[derive(Debug)]
struct Waiter {
    endpoint_request: EndpointRequest,
    tx: oneshot::Sender<GrantResult>,
}

#[derive(Debug)]
struct VersionQueue {
    queue: FairQueue<Waiter>,
    /// Requests taken from the queue when no endpoint that they may use had capacity.
    parked: Vec<QueuedRequest<Waiter>>,
}

/// The queues of all pools.
#[derive(Debug)]
pub(super) struct PoolQueues {
    limits: Limits,
    pools: BTreeMap<PoolName, BTreeMap<VersionName, VersionQueue>>,
}

impl PoolQueues {
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            pools: BTreeMap::new(),
        }
    }

    /// Queues a request, or rejects it at once.
    pub fn enqueue(
        &mut self,
        now: Monotonic,
        router: &Router,
        ticket: Ticket,
        endpoint_request: EndpointRequest,
        tx: oneshot::Sender<GrantResult>,
    ) {
        let version = router.pool(&endpoint_request.pool).map(|pool| {
            router
                .gossip()
                .version_for(pool, &endpoint_request.route, endpoint_request.split_key)
        });
        let version = match version {
            Some(Some(version)) => version,
            Some(None) => return reject(tx, Kind::Braked, &endpoint_request.pool),
            None => return reject(tx, Kind::PoolUnavailable, &endpoint_request.pool),
        };
        let version_queue = self.version_queue(&endpoint_request.pool, &version);
        if cannot_meet_deadline(
            now,
            router,
            &version_queue.queue,
            &ticket,
            &endpoint_request.pool,
        ) {
            return reject(tx, Kind::DeadlineUnmeetable, &endpoint_request.pool);
        }
        match version_queue.queue.push(
            now,
            ticket,
            Waiter {
                endpoint_request,
                tx,
            },
        ) {
            PushOutcome::Queued { displaced } => reject_all(displaced, Kind::Displaced),
            PushOutcome::Refused { kind, entry } => reject_all(vec![entry], kind),
        }
    }

    /// Removes a request.
    pub fn remove(&mut self, pool: &PoolName, request: RequestId) {
        let Some(version_queues) = self.pools.get_mut(pool) else {
            return;
        };
        for version_queue in version_queues.values_mut() {
            version_queue.queue.remove(request);
            version_queue.parked.retain(|e| e.ticket.request != request);
        }
    }

    /// Returns the pools that have waiting requests.
    pub fn waiting_pools(&self) -> Vec<PoolName> {
        let has_waiting = |version_queue: &VersionQueue| {
            !version_queue.queue.is_empty() || !version_queue.parked.is_empty()
        };
        self.pools
            .iter()
            .filter(|(_, version_queues)| version_queues.values().any(has_waiting))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        let version_queues = self.pools.values().flat_map(BTreeMap::values);
        version_queues
            .map(|version_queue| version_queue.queue.len() + version_queue.parked.len())
            .sum()
    }

    /// Returns whether a request of a tier below `order` waits for a pool.
    pub fn has_waiting_below_order(&self, pool: &PoolName) -> bool {
        let Some(version_queues) = self.pools.get(pool) else {
            return false;
        };
        version_queues.values().any(|version_queue| {
            let total_cost = version_queue.queue.cost_ahead_of(Tier::Batch);
            let parked = version_queue
                .parked
                .iter()
                .any(|e| e.ticket.tier != Tier::Order);
            parked || total_cost > version_queue.queue.cost_ahead_of(Tier::Order)
        })
    }

    /// Grants endpoints of one pool to waiting requests while there is capacity.
    pub fn grant_endpoints(
        &mut self,
        now: Monotonic,
        pool: &PoolName,
        router: &mut Router,
        rng: &mut impl Rng,
    ) {
        let Some(version_queues) = self.pools.get_mut(pool) else {
            return;
        };
        for (version, version_queue) in version_queues {
            reject_all(version_queue.queue.expire(now), Kind::DeadlineExpired);
            version_queue.grant_parked(now, router, rng);
            version_queue.grant_queued(now, pool, version, router, rng);
        }
    }

    fn version_queue(&mut self, pool: &PoolName, version: &VersionName) -> &mut VersionQueue {
        let limits = self.limits;
        self.pools
            .entry(pool.clone())
            .or_default()
            .entry(version.clone())
            .or_insert_with(|| VersionQueue {
                queue: FairQueue::new(limits),
                parked: Vec::new(),
            })
    }
}

impl VersionQueue {
    fn grant_parked(&mut self, now: Monotonic, router: &mut Router, rng: &mut impl Rng) {
        let parked = std::mem::take(&mut self.parked);
        self.parked = parked
            .into_iter()
            .filter_map(|entry| try_grant(now, entry, router, rng))
            .collect();
    }

    fn grant_queued(
        &mut self,
        now: Monotonic,
        pool: &PoolName,
        version: &VersionName,
        router: &mut Router,
        rng: &mut impl Rng,
    ) {
        while let Some(tier) = self.queue.most_urgent() {
            if !router.would_decide(now, pool, version, tier) {
                return;
            }
            let Some(entry) = self.queue.pop(now) else {
                return;
            };
            if let Some(entry) = try_grant(now, entry, router, rng) {
                self.parked.push(entry);
                return;
            }
        }
    }
}

/// Grants an endpoint to the next request or rejects it; returns it if it has to keep waiting.
fn try_grant(
    now: Monotonic,
    entry: QueuedRequest<Waiter>,
    router: &mut Router,
    rng: &mut impl Rng,
) -> Option<QueuedRequest<Waiter>> {
    if entry.item.tx.is_closed() {
        return None;
    }
    let endpoint_request = &entry.item.endpoint_request;
    let query = RoutingQuery {
        request: entry.ticket.request,
        split_key: endpoint_request.split_key,
        route: &endpoint_request.route,
        tier: entry.ticket.tier,
        tokens: entry.ticket.cost,
        prefix: &endpoint_request.prefix,
        tried: &endpoint_request.tried,
        home: endpoint_request.home.as_ref(),
    };
    match router.choose(now, &endpoint_request.pool, &query, rng) {
        Choice::Send(candidate) => {
            grant(now, entry, candidate, router);
            None
        }
        Choice::Full | Choice::Unreported => Some(entry),
        Choice::Refused(kind) => {
            reject_all(vec![entry], kind);
            None
        }
    }
}

fn grant(now: Monotonic, entry: QueuedRequest<Waiter>, candidate: Candidate, router: &mut Router) {
    let Waiter {
        endpoint_request,
        tx,
    } = entry.item;
    let endpoint = candidate.endpoint.name.clone();
    if tx.send(Ok(candidate)).is_err() {
        let request = entry.ticket.request;
        router.ended(
            now,
            &endpoint_request.pool,
            &endpoint,
            request,
            Outcome::Neutral,
        );
    }
}

/// Returns whether the estimated wait behind queued work exceeds the request's deadline.
///
/// Requests of tier `order` are never rejected based on an estimate.
fn cannot_meet_deadline(
    now: Monotonic,
    router: &Router,
    queue: &FairQueue<Waiter>,
    ticket: &Ticket,
    pool: &PoolName,
) -> bool {
    let tokens_per_second = router.pool_speed(now, pool);
    if ticket.tier == Tier::Order || tokens_per_second <= 0.0 {
        return false;
    }
    let wait_s = queue.cost_ahead_of(ticket.tier) as f64 / tokens_per_second;
    wait_s > ticket.deadline.since(now).as_secs_f64()
}

fn reject_all(entries: Vec<QueuedRequest<Waiter>>, kind: Kind) {
    for entry in entries {
        reject(entry.item.tx, kind, &entry.item.endpoint_request.pool);
    }
}

fn reject(tx: oneshot::Sender<GrantResult>, kind: Kind, pool: &PoolName) {
    // Sending fails only when the request has stopped waiting.
    let _received = tx.send(Err(Error::new(kind, format!("pool \"{pool}\""))));
}
