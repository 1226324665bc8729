//! Everything that an entry decides by, in one place and without I/O.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use tokio::sync::oneshot;

use super::histograms::Histograms;
use super::keys_in_progress::Keys;
use super::pool_queues::Gates;
use super::pool_queues::Grant;
use super::pool_queues::Wish;
use super::settings::Settings;
use crate::admission::Ticket;
use crate::id::RequestId;
use crate::name::PoolName;
use crate::retry::RetryBudget;
use crate::routing::Router;
use crate::time::Monotonic;

/// The decision state of one entry; its owner guards it with one lock.
#[derive(Debug)]
pub(super) struct Core {
    pub router: Router,
    pub gates: Gates,
    pub keys: Keys,
    pub histograms: Histograms,
    pub rng: StdRng,
    budgets: BTreeMap<PoolName, RetryBudget>,
    /// Tokens of order-tier work that waits here, by pool.
    order_pressure: BTreeMap<PoolName, u64>,
}

impl Core {
    pub fn new(settings: &Settings, rng: StdRng) -> Self {
        let router = Router::new(
            settings.name.clone(),
            settings.domain.clone(),
            settings.policy,
        );
        Self {
            router,
            gates: Gates::new(settings.limits.into()),
            keys: Keys::default(),
            histograms: Histograms::new(settings.limits.accounts),
            rng,
            budgets: BTreeMap::new(),
            order_pressure: BTreeMap::new(),
        }
    }

    /// Puts a request into its queue and grants what can be granted.
    pub fn enter(
        &mut self,
        now: Monotonic,
        ticket: Ticket,
        wish: Wish,
        tx: oneshot::Sender<Grant>,
    ) {
        let pool = wish.pool.clone();
        self.gates.enter(now, &self.router, ticket, wish, tx);
        self.pump(now, &pool);
    }

    /// Takes a request out of its queue.
    pub fn leave(&mut self, pool: &PoolName, request: RequestId) {
        self.gates.leave(pool, request);
    }

    /// Grants endpoints to the requests of one pool whose turn it is.
    pub fn pump(&mut self, now: Monotonic, pool: &PoolName) {
        self.gates.pump(now, pool, &mut self.router, &mut self.rng);
    }

    /// Grants endpoints to the requests of all pools whose turn it is.
    pub fn pump_all(&mut self, now: Monotonic) {
        for pool in self.gates.waiting_pools() {
            self.pump(now, &pool);
        }
    }

    /// Counts a success towards the retry budget of a pool.
    pub fn earn_retry(&mut self, pool: &PoolName) {
        if let Some(budget) = self.budgets.get_mut(pool) {
            budget.record_success();
        }
    }

    /// Takes one retry out of the budget of a pool.
    pub fn spend_retry(&mut self, pool: &PoolName) -> bool {
        self.budgets.entry(pool.clone()).or_default().try_spend()
    }

    /// Adds to the order-tier work that waits here.
    pub fn raise_order_pressure(&mut self, pool: &PoolName, tokens: u64) {
        let pressure = self.order_pressure.entry(pool.clone()).or_default();
        *pressure = pressure.saturating_add(tokens);
    }

    /// Takes back what [`Self::raise_order_pressure`] added.
    pub fn lower_order_pressure(&mut self, pool: &PoolName, tokens: u64) {
        if let Some(pressure) = self.order_pressure.get_mut(pool) {
            *pressure = pressure.saturating_sub(tokens);
        }
    }

    /// Returns the tokens of order-tier work that wait here for a pool.
    pub fn order_pressure(&self, pool: &PoolName) -> u64 {
        self.order_pressure.get(pool).copied().unwrap_or(0)
    }

    /// Tells whether an order of this pool may be refused: nothing less urgent waits here and
    /// every reachable endpoint refuses less urgent work.
    pub fn may_refuse_order(&self, now: Monotonic, pool: &PoolName) -> bool {
        !self.gates.holds_less_than_order(pool) && self.router.admits_only_orders(now, pool)
    }
}
