//! Weighted fair queueing among the client accounts of one tier.
//!
//! Implements start-time fair queueing: each account has a virtual start time that grows by
//! cost ÷ weight with each request served, and the account with the lowest one is served next.
//! The weighted service of two backlogged accounts differs by at most one request of each.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::id::RequestId;
use crate::name::AccountName;
use crate::time::Monotonic;

/// Virtual time units per token at weight 1; large, so that division by weights keeps precision.
const UNITS_PER_TOKEN: u128 = 1 << 20;

/// Cost divided by weight, in units of 1 / [`UNITS_PER_TOKEN`] token.
type VirtualTime = u128;

/// Sort key of a request within its account: earliest deadline first, then arrival order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    pub(super) deadline: Monotonic,
    pub(super) seq: u64,
}

/// A waiting request, as stored in its tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WaitingRequest {
    pub(super) request: RequestId,
    pub(super) cost: u64,
}

#[derive(Debug, Default)]
struct Account {
    waiting: BTreeMap<Position, WaitingRequest>,
    cost: u64,
    weight: u32,
    start: VirtualTime,
}

impl Account {
    fn backlog(&self) -> VirtualTime {
        cost_per_weight(self.cost, self.weight)
    }
}

/// The requests of one tier.
#[derive(Debug, Default)]
pub(super) struct TierQueue {
    accounts: HashMap<AccountName, Account>,
    by_start: BTreeSet<(VirtualTime, AccountName)>,
    by_backlog: BTreeSet<(VirtualTime, AccountName)>,
    idle: BTreeSet<(VirtualTime, AccountName)>,
    now: VirtualTime,
    len: usize,
    cost: u64,
}

impl TierQueue {
    pub(super) const fn len(&self) -> usize {
        self.len
    }

    pub(super) const fn cost(&self) -> u64 {
        self.cost
    }

    pub(super) fn len_of(&self, account: &AccountName) -> usize {
        self.accounts.get(account).map_or(0, |a| a.waiting.len())
    }

    /// Returns the number of tracked accounts, both backlogged and idle.
    pub(super) fn accounts(&self) -> usize {
        self.accounts.len()
    }

    pub(super) fn insert(
        &mut self,
        name: &AccountName,
        weight: u32,
        at: Position,
        waiting: WaitingRequest,
    ) {
        self.detach(name);
        let now = self.now;
        let account = self.accounts.entry(name.clone()).or_default();
        account.weight = weight.max(1);
        account.start = account.start.max(now);
        account.cost += waiting.cost;
        let former = account.waiting.insert(at, waiting);
        assert!(former.is_none(), "two requests at position {at:?}");
        self.len += 1;
        self.cost += waiting.cost;
        self.attach(name);
    }

    pub(super) fn remove(&mut self, name: &AccountName, at: Position) -> Option<WaitingRequest> {
        self.take(name, at, false)
    }

    /// Removes the next request to serve and charges its cost to its account.
    pub(super) fn pop(&mut self) -> Option<WaitingRequest> {
        let (start, name) = self.by_start.first()?.clone();
        assert!(start >= self.now, "virtual time went backwards");
        self.now = start;
        let at = *self.accounts.get(&name)?.waiting.first_key_value()?.0;
        self.take(&name, at, true)
    }

    /// Returns the request to displace first: the one with the latest deadline of the account
    /// with the largest weighted backlog.
    pub(super) fn least_urgent(&self) -> Option<WaitingRequest> {
        let (_, name) = self.by_backlog.last()?;
        let (_, waiting) = self.accounts.get(name)?.waiting.last_key_value()?;
        Some(*waiting)
    }

    /// Selects requests to displace for a request of `cost` from `newcomer`.
    ///
    /// They free at least `items` requests and `tokens` of cost. All of them belong to the
    /// account with the largest weighted backlog. Returns `None` if that account would be left
    /// with a smaller weighted backlog than `newcomer`, or if it cannot free enough.
    pub(super) fn select_displaced(
        &self,
        newcomer: &AccountName,
        weight: u32,
        cost: u64,
        items: usize,
        tokens: u64,
    ) -> Option<Vec<RequestId>> {
        let (_, name) = self.by_backlog.last()?;
        if name == newcomer {
            return None;
        }
        let account = self.accounts.get(name)?;
        let queued = self.accounts.get(newcomer).map_or(0, |a| a.cost);
        let newcomer_backlog = cost_per_weight(queued + cost, weight);
        let mut victims = Vec::new();
        let mut freed = 0;
        for waiting in account.waiting.values().rev() {
            if victims.len() >= items && freed >= tokens {
                break;
            }
            victims.push(waiting.request);
            freed += waiting.cost;
        }
        let enough = victims.len() >= items && freed >= tokens;
        let left = cost_per_weight(account.cost - freed, account.weight);
        (enough && left >= newcomer_backlog).then_some(victims)
    }

    /// Evicts idle accounts whose start time virtual time has reached, then further ones until at
    /// most `most` remain.
    pub(super) fn evict_idle(&mut self, most: usize) {
        while let Some((start, name)) = self.idle.first() {
            if self.len > 0 && *start > self.now && self.idle.len() <= most {
                return;
            }
            self.accounts.remove(name);
            self.idle.pop_first();
        }
    }

    fn take(&mut self, name: &AccountName, at: Position, charge: bool) -> Option<WaitingRequest> {
        self.detach(name);
        let taken = self.accounts.get_mut(name).and_then(|account| {
            let waiting = account.waiting.remove(&at)?;
            account.cost -= waiting.cost;
            if charge {
                account.start += cost_per_weight(waiting.cost, account.weight);
            }
            Some(waiting)
        });
        self.attach(name);
        let taken = taken?;
        self.len -= 1;
        self.cost -= taken.cost;
        Some(taken)
    }

    fn detach(&mut self, name: &AccountName) {
        if let Some(account) = self.accounts.get(name) {
            let start = (account.start, name.clone());
            if account.waiting.is_empty() {
                self.idle.remove(&start);
            } else {
                self.by_start.remove(&start);
                self.by_backlog.remove(&(account.backlog(), name.clone()));
            }
        }
    }

    fn attach(&mut self, name: &AccountName) {
        if let Some(account) = self.accounts.get(name) {
            let start = (account.start, name.clone());
            if account.waiting.is_empty() {
                self.idle.insert(start);
            } else {
                self.by_start.insert(start);
                self.by_backlog.insert((account.backlog(), name.clone()));
            }
        }
    }
}

fn cost_per_weight(cost: u64, weight: u32) -> VirtualTime {
    u128::from(cost) * UNITS_PER_TOKEN / u128::from(weight.max(1))
}
