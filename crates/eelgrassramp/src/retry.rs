//! Limits on dispatching a request again.
//!
//! Retries are bounded three ways: by the proof that nothing ran, by the request's deadline,
//! and by a budget that only successes fill. See `docs/design/retry.md`.

mod backoff;
mod budget;

pub use self::backoff::Backoff;
pub use self::budget::RetryBudget;
