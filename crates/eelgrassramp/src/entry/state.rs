//! The decision state of an entry, without I/O.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use tokio::sync::oneshot;

use super::histograms::Histograms;
use super::keys_in_progress::KeysInProgress;
use super::pool_queues::EndpointRequest;
use super::pool_queues::GrantResult;
use super::pool_queues::PoolQueues;
use super::settings::Settings;
use crate::admission::Ticket;
use crate::id::RequestId;
use crate::name::PoolName;
use crate::retry::RetryBudget;
use crate::routing::Router;
use crate::time::Monotonic;

/// The decision state of one entry; [`Shared`](super::shared::Shared) guards it with one lock.
#[derive(Debug)]
pub(super) struct EntryState {
    pub router: Router,
    pub queues: PoolQueues,
    pub keys_in_progress: KeysInProgress,
    pub histograms: Histograms,
    pub rng: StdRng,
    retry_budgets: BTreeMap<PoolName, RetryBudget>,
    /// Tokens of `order`-tier work waiting at this entry, by pool.
    order_pressure: BTreeMap<PoolName, u64>,
}

impl EntryState {
    pub fn new(settings: &Settings, rng: StdRng) -> Self {
        let router = Router::new(
            settings.name.clone(),
            settings.domain.clone(),
            settings.policy,
        );
        Self {
            router,
            queues: PoolQueues::new(settings.limits.into()),
            keys_in_progress: KeysInProgress::default(),
            histograms: Histograms::new(settings.limits.accounts),
            rng,
            retry_budgets: BTreeMap::new(),
            order_pressure: BTreeMap::new(),
        }
    }

    /// Queues a request and grants endpoints to waiting requests of its pool.
    pub fn enqueue(
        &mut self,
        now: Monotonic,
        ticket: Ticket,
        endpoint_request: EndpointRequest,
        tx: oneshot::Sender<GrantResult>,
    ) {
        let pool = endpoint_request.pool.clone();
        self.queues
            .enqueue(now, &self.router, ticket, endpoint_request, tx);
        self.grant_endpoints(now, &pool);
    }

    /// Removes a request from its queue.
    pub fn remove(&mut self, pool: &PoolName, request: RequestId) {
        self.queues.remove(pool, request);
    }

    /// Grants endpoints to waiting requests of one pool.
    pub fn grant_endpoints(&mut self, now: Monotonic, pool: &PoolName) {
        self.queues
            .grant_endpoints(now, pool, &mut self.router, &mut self.rng);
    }

    /// Grants endpoints to waiting requests of all pools.
    pub fn grant_endpoints_in_all_pools(&mut self, now: Monotonic) {
        for pool in self.queues.waiting_pools() {
            self.grant_endpoints(now, &pool);
        }
    }

    /// Records a successful request, which adds to the retry budget of its pool.
    pub fn record_success(&mut self, pool: &PoolName) {
        if let Some(budget) = self.retry_budgets.get_mut(pool) {
            budget.record_success();
        }
    }

    /// Spends one retry from the budget of a pool; returns false if the budget is exhausted.
    pub fn try_spend_retry(&mut self, pool: &PoolName) -> bool {
        self.retry_budgets
            .entry(pool.clone())
            .or_default()
            .try_spend()
    }

    /// Adds `order`-tier work that waits at this entry.
    pub fn add_order_pressure(&mut self, pool: &PoolName, tokens: u64) {
        let pressure = self.order_pressure.entry(pool.clone()).or_default();
        *pressure = pressure.saturating_add(tokens);
    }

    /// Removes what [`Self::add_order_pressure`] added.
    pub fn remove_order_pressure(&mut self, pool: &PoolName, tokens: u64) {
        if let Some(pressure) = self.order_pressure.get_mut(pool) {
            *pressure = pressure.saturating_sub(tokens);
        }
    }

    /// Returns the tokens of `order`-tier work waiting at this entry for a pool.
    pub fn order_pressure(&self, pool: &PoolName) -> u64 {
        self.order_pressure.get(pool).copied().unwrap_or(0)
    }

    /// Returns whether a request of tier `order` may be rejected: no request of a lower tier waits
    /// at this entry and every reachable endpoint admits only tier `order`.
    pub fn may_refuse_order(&self, now: Monotonic, pool: &PoolName) -> bool {
        !self.queues.has_waiting_below_order(pool) && self.router.admits_only_orders(now, pool)
    }
}
