//! The queues in which requests wait for an endpoint.
//!
//! Each pool has one queue for each of its versions, because room at one version is of no use
//! to a request that was drawn for another.

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

/// What a waiting request gets.
pub(super) type Grant = Result<Candidate>;

/// What a waiting request wants.
#[derive(Debug, Clone)]
pub(super) struct Wish {
    pub pool: PoolName,
    pub route: RouteName,
    /// What decides the side of a split.
    pub draw: RequestId,
    pub prefix: Vec<u64>,
    pub tried: Vec<EndpointName>,
    pub home: Option<EndpointName>,
}

#[derive(Debug)]
struct Waiter {
    wish: Wish,
    tx: oneshot::Sender<Grant>,
}

#[derive(Debug)]
struct Gate {
    queue: FairQueue<Waiter>,
    /// Requests whose turn came when no endpoint that they may use had room.
    parked: Vec<QueuedRequest<Waiter>>,
}

/// The queues of all pools.
#[derive(Debug)]
pub(super) struct Gates {
    limits: Limits,
    pools: BTreeMap<PoolName, BTreeMap<VersionName, Gate>>,
}

impl Gates {
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            pools: BTreeMap::new(),
        }
    }

    /// Queues a request, or answers it at once when it cannot wait.
    pub fn enter(
        &mut self,
        now: Monotonic,
        router: &Router,
        ticket: Ticket,
        wish: Wish,
        tx: oneshot::Sender<Grant>,
    ) {
        let version = router
            .pool(&wish.pool)
            .map(|pool| router.gossip().version_for(pool, &wish.route, wish.draw));
        let version = match version {
            Some(Some(version)) => version,
            Some(None) => return refuse(tx, Kind::Braked, &wish.pool),
            None => return refuse(tx, Kind::PoolUnavailable, &wish.pool),
        };
        let gate = self.gate(&wish.pool, &version);
        if is_hopeless(now, router, &gate.queue, &ticket, &wish.pool) {
            return refuse(tx, Kind::DeadlineUnmeetable, &wish.pool);
        }
        match gate.queue.push(now, ticket, Waiter { wish, tx }) {
            PushOutcome::Queued { displaced } => answer_all(displaced, Kind::Displaced),
            PushOutcome::Refused { kind, entry } => answer_all(vec![entry], kind),
        }
    }

    /// Takes a request out.
    pub fn leave(&mut self, pool: &PoolName, request: RequestId) {
        let Some(gates) = self.pools.get_mut(pool) else {
            return;
        };
        for gate in gates.values_mut() {
            gate.queue.remove(request);
            gate.parked.retain(|e| e.ticket.request != request);
        }
    }

    /// Returns the pools in whose queues requests wait.
    pub fn waiting_pools(&self) -> Vec<PoolName> {
        let waits = |gate: &Gate| !gate.queue.is_empty() || !gate.parked.is_empty();
        self.pools
            .iter()
            .filter(|(_, gates)| gates.values().any(waits))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        let gates = self.pools.values().flat_map(BTreeMap::values);
        gates.map(|g| g.queue.len() + g.parked.len()).sum()
    }

    /// Tells whether a request less urgent than an order waits for a pool.
    pub fn holds_less_than_order(&self, pool: &PoolName) -> bool {
        let Some(gates) = self.pools.get(pool) else {
            return false;
        };
        gates.values().any(|gate| {
            let all = gate.queue.cost_ahead_of(Tier::Batch);
            let parked = gate.parked.iter().any(|e| e.ticket.tier != Tier::Order);
            parked || all > gate.queue.cost_ahead_of(Tier::Order)
        })
    }

    /// Grants endpoints of one pool as long as there is room.
    pub fn pump(
        &mut self,
        now: Monotonic,
        pool: &PoolName,
        router: &mut Router,
        rng: &mut impl Rng,
    ) {
        let Some(gates) = self.pools.get_mut(pool) else {
            return;
        };
        for (version, gate) in gates {
            answer_all(gate.queue.expire(now), Kind::DeadlineExpired);
            gate.place_parked(now, router, rng);
            gate.place_queued(now, pool, version, router, rng);
        }
    }

    fn gate(&mut self, pool: &PoolName, version: &VersionName) -> &mut Gate {
        let limits = self.limits;
        self.pools
            .entry(pool.clone())
            .or_default()
            .entry(version.clone())
            .or_insert_with(|| Gate {
                queue: FairQueue::new(limits),
                parked: Vec::new(),
            })
    }
}

impl Gate {
    fn place_parked(&mut self, now: Monotonic, router: &mut Router, rng: &mut impl Rng) {
        let parked = std::mem::take(&mut self.parked);
        self.parked = parked
            .into_iter()
            .filter_map(|entry| place(now, entry, router, rng))
            .collect();
    }

    fn place_queued(
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
            if let Some(entry) = place(now, entry, router, rng) {
                self.parked.push(entry);
                return;
            }
        }
    }
}

/// Answers a request whose turn it is; gives it back when it has to wait on.
fn place(
    now: Monotonic,
    entry: QueuedRequest<Waiter>,
    router: &mut Router,
    rng: &mut impl Rng,
) -> Option<QueuedRequest<Waiter>> {
    if entry.item.tx.is_closed() {
        return None;
    }
    let wish = &entry.item.wish;
    let ask = RoutingQuery {
        request: entry.ticket.request,
        split_key: wish.draw,
        route: &wish.route,
        tier: entry.ticket.tier,
        tokens: entry.ticket.cost,
        prefix: &wish.prefix,
        tried: &wish.tried,
        home: wish.home.as_ref(),
    };
    match router.choose(now, &wish.pool, &ask, rng) {
        Choice::Send(candidate) => {
            grant(now, entry, candidate, router);
            None
        }
        Choice::Full | Choice::Unreported => Some(entry),
        Choice::Refused(kind) => {
            answer_all(vec![entry], kind);
            None
        }
    }
}

fn grant(now: Monotonic, entry: QueuedRequest<Waiter>, candidate: Candidate, router: &mut Router) {
    let Waiter { wish, tx } = entry.item;
    let endpoint = candidate.endpoint.name.clone();
    if tx.send(Ok(candidate)).is_err() {
        let request = entry.ticket.request;
        router.ended(now, &wish.pool, &endpoint, request, Outcome::Neutral);
    }
}

/// Tells whether the work ahead of a request already takes longer than it may wait.
///
/// Orders are never refused by an estimate.
fn is_hopeless(
    now: Monotonic,
    router: &Router,
    queue: &FairQueue<Waiter>,
    ticket: &Ticket,
    pool: &PoolName,
) -> bool {
    let speed = router.pool_speed(now, pool);
    if ticket.tier == Tier::Order || speed <= 0.0 {
        return false;
    }
    let ahead = queue.cost_ahead_of(ticket.tier) as f64 / speed;
    ahead > ticket.deadline.since(now).as_secs_f64()
}

fn answer_all(entries: Vec<QueuedRequest<Waiter>>, kind: Kind) {
    for entry in entries {
        refuse(entry.item.tx, kind, &entry.item.wish.pool);
    }
}

fn refuse(tx: oneshot::Sender<Grant>, kind: Kind, pool: &PoolName) {
    // The request may have left in the meantime.
    let _received = tx.send(Err(Error::new(kind, format!("pool \"{pool}\""))));
}
