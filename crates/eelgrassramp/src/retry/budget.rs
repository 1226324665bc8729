//! The retry budget of one pool.

/// Retries earned by one success, in thousandths.
const EARNED_PERMILLE: u64 = 200;

/// Largest number of retries that can be saved up, in thousandths.
const MAX_SAVED_PERMILLE: u64 = 20_000;

const ONE_RETRY_PERMILLE: u64 = 1_000;

/// A token bucket that successes fill and retries drain.
///
/// When most requests succeed, a failing endpoint costs callers nothing; when most fail, the
/// retries stay a fixed fraction of the successes and cannot keep the pool overloaded.
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
    saved_permille: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// Starts full, so that a fresh process can retry before its first successes.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            saved_permille: MAX_SAVED_PERMILLE,
        }
    }

    /// Counts one success.
    pub fn record_success(&mut self) {
        self.saved_permille = (self.saved_permille + EARNED_PERMILLE).min(MAX_SAVED_PERMILLE);
    }

    /// Takes one retry out of the budget; returns `false` when it is spent.
    #[must_use]
    pub fn try_spend(&mut self) -> bool {
        let Some(left) = self.saved_permille.checked_sub(ONE_RETRY_PERMILLE) else {
            return false;
        };
        self.saved_permille = left;
        true
    }
}
