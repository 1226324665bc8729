//! What a queue has to know of a request.

use crate::id::RequestId;
use crate::name::AccountName;
use crate::tier::Tier;
use crate::time::Monotonic;

/// What decides a request's place in a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The request.
    pub request: RequestId,
    /// How urgent it is.
    pub tier: Tier,
    /// The client account that it belongs to.
    pub account: AccountName,
    /// Relative share of the account; 0 counts as 1.
    pub weight: u32,
    /// When the request is of no use any more.
    pub deadline: Monotonic,
    /// Predicted work in tokens; 0 counts as 1.
    pub cost: u64,
    /// Whether the request must not be cancelled once started; waiting, it may still give way.
    pub non_idempotent: bool,
}

/// A request in a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest<T> {
    /// Its place.
    pub ticket: Ticket,
    /// What the queue's owner keeps with it.
    pub item: T,
}

/// Bounds of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most requests.
    pub items: usize,
    /// Most predicted work in tokens.
    ///
    /// One request may pass it: the first one that waits, or one that took the place of all
    /// less urgent work.
    pub cost: u64,
    /// Most requests of one account in one tier.
    ///
    /// Orders are exempt, as an order must not be refused while less urgent work is served.
    pub per_account_items: usize,
}
