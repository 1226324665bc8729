//! Limits on retries.
//!
//! A request is retried only if it is proven not to have been executed, before its deadline, and
//! within a budget that only successes fill. See `docs/design/retry.md`.

mod backoff;
mod budget;

pub use self::backoff::Backoff;
pub use self::budget::RetryBudget;
