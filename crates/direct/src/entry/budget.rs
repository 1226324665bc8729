//! Retry budgets and the quotas of client accounts.

use std::sync::Arc;

use eelgrassramp::AccountName;
use eelgrassramp::Kind;
use eelgrassramp::PoolName;

use super::Entry;
use crate::quota::RequestCost;
use crate::refusal::Refusal;
use crate::request_log::RequestLogContext;
use crate::tables::Account;

impl Entry {
    /// Counts a new request for `pool`, from which its retry budget is computed.
    pub(crate) fn count_request(&self, pool: &PoolName) {
        let now = self.cx.timers.now();
        let mut state = self.lock();
        let entries = state.listed_entry_count();
        let budget = state.retry_budget(pool, self.identity.is_first_start);
        budget.count_request(now, &self.limits.load().retry, entries);
    }

    /// Reserves one retry of a request in the budget of `pool`; returns `None` when none is left.
    pub(crate) fn try_reserve_retry(
        self: &Arc<Self>,
        pool: &PoolName,
        request_log: &RequestLogContext,
    ) -> Option<RetryPermit> {
        let now = self.cx.timers.now();
        let mut state = self.lock();
        let entries = state.listed_entry_count();
        let budget = state.retry_budget(pool, self.identity.is_first_start);
        let is_allowed = budget.try_reserve(now, &self.limits.load().retry, entries);
        drop(state);
        if !is_allowed {
            request_log.retry_denied(self, entries);
            return None;
        }
        Some(RetryPermit {
            entry: Arc::clone(self),
            pool: pool.clone(),
            is_spent: false,
        })
    }

    /// Returns whether client accounts get shares of contended pools.
    pub(crate) fn has_fair_shares(&self) -> bool {
        self.limits.load().fair_shares
    }

    /// Charges a request's units to its account's quota.
    pub(crate) fn charge_quota(&self, account: &Account, cost: RequestCost) -> Result<(), Refusal> {
        let Some(quota) = &account.quota else {
            return Ok(());
        };
        let now = self.cx.timers.now();
        let acquired = self
            .lock()
            .quotas
            .try_acquire(now, &account.name, quota, cost);
        acquired.map_err(|retry_after| {
            let detail = format!(
                "quota of account {:?} exceeded by a request for {} units",
                account.name, cost.units
            );
            Refusal::with_retry_after(Kind::QuotaExceeded, detail, retry_after)
        })
    }

    /// Refunds the units of a request that no endpoint executed.
    pub(crate) fn refund_quota(&self, account: &AccountName, units: f64) {
        self.lock().quotas.refund(account, units);
    }
}

/// A retry that the budget allows; dropping it before it is spent returns it to the budget.
#[derive(Debug)]
pub(crate) struct RetryPermit {
    entry: Arc<Entry>,
    pool: PoolName,
    is_spent: bool,
}

impl RetryPermit {
    /// Spends the permit for a retry that is now sent.
    pub(crate) fn spend(mut self) {
        self.is_spent = true;
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        let mut state = self.entry.lock();
        let Some(budget) = state.retry_budgets.get_mut(&self.pool) else {
            return;
        };
        if self.is_spent {
            budget.spend_reserved();
        } else {
            budget.cancel_reserved();
        }
    }
}
