//! Retry budgets and the quotas of client accounts.

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

    /// Spends one retry of a request from the budget of `pool`; returns false when none is left.
    pub(crate) fn try_spend_retry(&self, pool: &PoolName, request_log: &RequestLogContext) -> bool {
        let now = self.cx.timers.now();
        let mut state = self.lock();
        let entries = state.listed_entry_count();
        let budget = state.retry_budget(pool, self.identity.is_first_start);
        let is_allowed = budget.try_spend(now, &self.limits.load().retry, entries);
        drop(state);
        if !is_allowed {
            request_log.retry_denied(self, entries);
        }
        is_allowed
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
