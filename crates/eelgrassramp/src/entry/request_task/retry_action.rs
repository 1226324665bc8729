//! What follows a dispatch that was refused.

use crate::error::Error;
use crate::error::Kind;
use crate::tier::Tier;

/// How a refused dispatch is retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RetryAction {
    /// The caller gets the refusal.
    Never,
    /// Fetches the newer state of the sidecar, then retries.
    RefreshThenRetry,
    /// Retries at another endpoint, charged to the retry budget.
    OtherEndpoint,
    /// Waits until work of a lower tier has been preempted, then retries.
    WaitForPreemption,
}

/// Returns how a dispatch that was refused with `kind` is retried.
pub(super) fn retry_action(kind: Kind, tier: Tier) -> RetryAction {
    match kind {
        Kind::WrongIncarnation
        | Kind::StaleMark
        | Kind::StaleTables
        | Kind::NotServed
        | Kind::Braked => RetryAction::RefreshThenRetry,
        Kind::Overloaded | Kind::Displaced if tier == Tier::Order => RetryAction::WaitForPreemption,
        Kind::ConnectFailed
        | Kind::Draining
        | Kind::Revoked
        | Kind::Overloaded
        | Kind::Displaced
        | Kind::DeadlineUnmeetable
        | Kind::PoolUnavailable
        | Kind::EndpointFailed => RetryAction::OtherEndpoint,
        _ => RetryAction::Never,
    }
}

/// Returns whether a sidecar refuses with this kind only after it has checked that the idempotency
/// key was not used before for this request.
pub(super) const fn follows_key_check(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::Overloaded
            | Kind::Displaced
            | Kind::DeadlineUnmeetable
            | Kind::DeadlineExpired
            | Kind::Draining
            | Kind::Braked
            | Kind::KeyReused
            | Kind::BadRequest
    )
}

/// Returns whether the entry's own queue refused a request of tier `order`.
pub(super) fn is_order_refusal(err: &Error, tier: Tier) -> bool {
    tier == Tier::Order && err.kind() == Kind::Overloaded
}
