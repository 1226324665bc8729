//! Queued requests and queue limits.

use crate::id::RequestId;
use crate::name::AccountName;
use crate::tier::Tier;
use crate::time::Monotonic;

/// Scheduling parameters of a request in a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The request.
    pub request: RequestId,
    /// Priority tier.
    pub tier: Tier,
    /// The client account it belongs to.
    pub account: AccountName,
    /// Relative share of the account; 0 counts as 1.
    pub weight: u32,
    /// Time after which the request is dropped if it still waits.
    pub deadline: Monotonic,
    /// Predicted work in tokens; 0 counts as 1.
    pub cost: u64,
    /// Whether the request must not be cancelled once started; it may be displaced while waiting.
    pub non_idempotent: bool,
}

/// A request in a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest<T> {
    /// Its scheduling parameters.
    pub ticket: Ticket,
    /// Data attached by the owner of the queue.
    pub item: T,
}

/// Limits of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of requests.
    pub items: usize,
    /// Maximum predicted work in tokens.
    ///
    /// One request may exceed it: the first one to wait, or one that displaced all less urgent
    /// work.
    pub cost: u64,
    /// Maximum number of requests of one account in one tier.
    ///
    /// Orders are exempt, because an order must not be refused while less urgent work is served.
    pub per_account_items: usize,
}
