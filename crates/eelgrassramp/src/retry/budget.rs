//! The retry budget of one pool.

/// Retries added by one success, in thousandths.
const RETRIES_PER_SUCCESS_PERMILLE: u64 = 200;

/// Maximum balance, in thousandths of a retry.
const MAX_BALANCE_PERMILLE: u64 = 20_000;

const ONE_RETRY_PERMILLE: u64 = 1_000;

/// A token bucket that is filled by successes and drained by retries.
///
/// While most requests succeed, requests that failed on one endpoint can be retried without cost
/// to callers. When most fail, retries are limited to a fixed fraction of the successes and cannot
/// keep the pool overloaded.
///
/// # Examples
///
/// ```
/// let mut budget = eelgrassramp::retry::RetryBudget::new();
/// while budget.try_spend() {}
/// for _ in 0..5 {
///     budget.record_success();
/// }
/// assert!(budget.try_spend());
/// assert!(!budget.try_spend());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    balance_permille: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// Creates a full budget, so that a new process can retry before its first successes.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            balance_permille: MAX_BALANCE_PERMILLE,
        }
    }

    /// Adds the retries that one success allows.
    pub fn record_success(&mut self) {
        self.balance_permille =
            (self.balance_permille + RETRIES_PER_SUCCESS_PERMILLE).min(MAX_BALANCE_PERMILLE);
    }

    /// Takes one retry from the budget; returns `false` if the budget is exhausted.
    #[must_use]
    pub fn try_spend(&mut self) -> bool {
        let Some(left) = self.balance_permille.checked_sub(ONE_RETRY_PERMILLE) else {
            return false;
        };
        self.balance_permille = left;
        true
    }
}
