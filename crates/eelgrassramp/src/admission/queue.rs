//! The bounded queue: tiers, limits, deadlines and displacement.

use std::collections::BTreeSet;
use std::collections::HashMap;

use super::ticket::Limits;
use super::ticket::QueuedRequest;
use super::ticket::Ticket;
use super::tier_queue::Position;
use super::tier_queue::TierQueue;
use super::tier_queue::WaitingRequest;
use crate::error::Kind;
use crate::id::RequestId;
use crate::tier::Tier;
use crate::time::Monotonic;

/// Result of [`FairQueue::push`].
#[derive(Debug, PartialEq, Eq)]
pub enum PushOutcome<T> {
    /// The request was queued.
    Queued {
        /// Requests removed to make room; none of them was started.
        displaced: Vec<QueuedRequest<T>>,
    },
    /// The request was not queued, and no other request was displaced.
    Refused {
        /// Why it was refused.
        kind: Kind,
        /// The request itself.
        entry: QueuedRequest<T>,
    },
}

/// A bounded queue with strict tiers and fair shares among client accounts within each.
///
/// Every operation takes logarithmic time in the queue length for each request that it moves.
/// Memory use is bounded by the queue length: an idle account is evicted once virtual time has
/// reached its start time.
///
/// # Examples
///
/// ```
/// use eelgrassramp::admission::{FairQueue, Limits, PushOutcome, Ticket};
/// use eelgrassramp::{AccountName, Monotonic, RequestId, Tier};
///
/// let mut queue = FairQueue::new(Limits { items: 1, cost: 1000, per_account_items: 1 });
/// let ticket = |id, tier| Ticket {
///     request: RequestId::from_bits(id),
///     tier,
///     account: AccountName::from("counter-ica"),
///     weight: 1,
///     deadline: Monotonic::from_millis(500),
///     cost: 10,
///     non_idempotent: false,
/// };
///
/// queue.push(Monotonic::ZERO, ticket(1, Tier::Draft), "draft");
/// let pushed = queue.push(Monotonic::ZERO, ticket(2, Tier::Order), "order");
///
/// let PushOutcome::Queued { displaced } = pushed else { panic!("the order was refused") };
/// assert_eq!(displaced[0].item, "draft");
/// assert_eq!(queue.pop(Monotonic::ZERO).map(|e| e.item), Some("order"));
/// ```
#[derive(Debug)]
pub struct FairQueue<T> {
    limits: Limits,
    tiers: [TierQueue; Tier::ALL.len()],
    slots: HashMap<RequestId, Slot<T>>,
    deadlines: BTreeSet<(Position, RequestId)>,
    expired: Vec<QueuedRequest<T>>,
    seq: u64,
}

#[derive(Debug)]
struct Slot<T> {
    at: Position,
    entry: QueuedRequest<T>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            tiers: Default::default(),
            slots: HashMap::new(),
            deadlines: BTreeSet::new(),
            expired: Vec::new(),
            seq: 0,
        }
    }

    /// Adds a request; if the queue is full, displaces other requests or refuses this one.
    ///
    /// A request is never refused for lack of room while less urgent work waits. Within its own
    /// tier, it displaces only requests of the account with the largest weighted backlog, and
    /// only if that account keeps at least the weighted backlog of the request's own account.
    pub fn push(&mut self, now: Monotonic, ticket: Ticket, item: T) -> PushOutcome<T> {
        self.collect_expired(now);
        let entry = QueuedRequest { ticket, item };
        let room = self
            .validate(now, &entry.ticket)
            .and_then(|()| self.select_same_tier_victims(&entry.ticket));
        let victims = match room {
            Ok(victims) => victims,
            Err(kind) => return PushOutcome::Refused { kind, entry },
        };
        let displaced = self.make_room(&entry.ticket, victims);
        self.insert(entry);
        PushOutcome::Queued { displaced }
    }

    /// Removes and returns the next request to serve; never one whose deadline has passed.
    pub fn pop(&mut self, now: Monotonic) -> Option<QueuedRequest<T>> {
        self.collect_expired(now);
        let tier = self.tiers.iter_mut().find(|t| t.len() > 0)?;
        let waiting = tier.pop()?;
        tier.evict_idle(self.limits.items);
        Some(self.take_slot(waiting.request).entry)
    }

    /// Removes and returns all requests whose deadline has passed.
    pub fn expire(&mut self, now: Monotonic) -> Vec<QueuedRequest<T>> {
        self.collect_expired(now);
        std::mem::take(&mut self.expired)
    }

    /// Removes one request, for example because its caller disconnected.
    pub fn remove(&mut self, request: RequestId) -> Option<QueuedRequest<T>> {
        if self.slots.contains_key(&request) {
            return Some(self.detach(request));
        }
        let expired = |e: &QueuedRequest<T>| e.ticket.request == request;
        let i = self.expired.iter().position(expired)?;
        Some(self.expired.swap_remove(i))
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the total predicted work of all waiting requests, in tokens.
    #[must_use]
    pub fn cost(&self) -> u64 {
        self.tiers.iter().map(TierQueue::cost).sum()
    }

    /// Returns the predicted work, in tokens, that may be served before a new request of `tier`.
    #[must_use]
    pub fn cost_ahead_of(&self, tier: Tier) -> u64 {
        self.tiers[..=tier.rank()].iter().map(TierQueue::cost).sum()
    }

    /// Returns the number of waiting requests of `tier`.
    #[must_use]
    pub const fn len_of(&self, tier: Tier) -> usize {
        self.tiers[tier.rank()].len()
    }

    /// Returns the earliest deadline, at which the owner should call [`Self::expire`].
    #[must_use]
    pub fn next_deadline(&self) -> Option<Monotonic> {
        let waiting = self.deadlines.first().map(|(at, _)| at.deadline);
        let expired = self.expired.iter().map(|e| e.ticket.deadline).min();
        expired.or(waiting)
    }

    /// Returns the most urgent tier that has waiting requests.
    #[must_use]
    pub fn most_urgent(&self) -> Option<Tier> {
        let waits = |tier: &Tier| self.tiers[tier.rank()].len() > 0;
        Tier::ALL.into_iter().find(waits)
    }

    /// Returns the number of tracked accounts, summed over all tiers.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.tiers.iter().map(TierQueue::accounts).sum()
    }

    fn validate(&self, now: Monotonic, ticket: &Ticket) -> Result<(), Kind> {
        if ticket.deadline <= now {
            return Err(Kind::DeadlineExpired);
        }
        if self.slots.contains_key(&ticket.request) {
            return Err(Kind::KeyInProgress);
        }
        let held = self.tiers[ticket.tier.rank()].len_of(&ticket.account);
        if ticket.tier != Tier::Order && held >= self.limits.per_account_items {
            return Err(Kind::Overloaded);
        }
        Ok(())
    }

    /// Selects the requests of the same tier to displace.
    ///
    /// Selects none while less urgent work waits, because that is displaced first.
    fn select_same_tier_victims(&self, ticket: &Ticket) -> Result<Vec<RequestId>, Kind> {
        let rank = ticket.tier.rank();
        let less_urgent_waits = self.tiers[rank + 1..].iter().any(|t| t.len() > 0);
        let items = self.excess_items();
        let tokens = self.excess_cost(ticket);
        if less_urgent_waits || (items == 0 && tokens == 0) {
            return Ok(Vec::new());
        }
        self.tiers[rank]
            .select_displaced(
                &ticket.account,
                ticket.weight,
                self.cost_of(ticket),
                items,
                tokens,
            )
            .ok_or(Kind::Overloaded)
    }

    fn make_room(&mut self, ticket: &Ticket, victims: Vec<RequestId>) -> Vec<QueuedRequest<T>> {
        let mut displaced = Vec::new();
        for request in victims {
            displaced.push(self.detach(request));
        }
        while self.excess_items() > 0 || self.excess_cost(ticket) > 0 {
            let Some(victim) = self.least_urgent_after(ticket.tier) else {
                break;
            };
            displaced.push(self.detach(victim.request));
        }
        assert!(
            self.excess_items() == 0,
            "queue is over its item limit after displacement"
        );
        let gives_way = |e: &QueuedRequest<T>| e.ticket.tier >= ticket.tier;
        assert!(
            displaced.iter().all(gives_way),
            "displaced a request of a more urgent tier"
        );
        displaced
    }

    fn least_urgent_after(&self, tier: Tier) -> Option<WaitingRequest> {
        let less_urgent = &self.tiers[tier.rank() + 1..];
        less_urgent.iter().rev().find_map(TierQueue::least_urgent)
    }

    fn excess_items(&self) -> usize {
        (self.len() + 1).saturating_sub(self.limits.items)
    }

    fn excess_cost(&self, ticket: &Ticket) -> u64 {
        let own = self.cost_of(ticket);
        let total = self.cost().saturating_add(own);
        total.saturating_sub(self.limits.cost)
    }

    fn insert(&mut self, entry: QueuedRequest<T>) {
        let ticket = &entry.ticket;
        let at = Position {
            deadline: ticket.deadline,
            seq: self.seq,
        };
        let waiting = WaitingRequest {
            request: ticket.request,
            cost: self.cost_of(ticket),
        };
        self.seq += 1;
        self.tiers[ticket.tier.rank()].insert(&ticket.account, ticket.weight, at, waiting);
        self.deadlines.insert((at, ticket.request));
        self.slots.insert(ticket.request, Slot { at, entry });
    }

    fn collect_expired(&mut self, now: Monotonic) {
        while let Some((at, request)) = self.deadlines.first().copied() {
            if at.deadline > now {
                return;
            }
            let entry = self.detach(request);
            self.expired.push(entry);
        }
    }

    fn detach(&mut self, request: RequestId) -> QueuedRequest<T> {
        let Slot { at, entry } = self.take_slot(request);
        let tier = &mut self.tiers[entry.ticket.tier.rank()];
        let waiting = tier.remove(&entry.ticket.account, at);
        assert!(
            waiting.is_some(),
            "request {request} is missing from its tier"
        );
        tier.evict_idle(self.limits.items);
        entry
    }

    fn take_slot(&mut self, request: RequestId) -> Slot<T> {
        let slot = self.slots.remove(&request);
        let slot = slot.expect("every request of a tier has a slot");
        self.deadlines.remove(&(slot.at, request));
        slot
    }

    /// Returns the accounted cost of a request, limited to the cost limit of the queue.
    fn cost_of(&self, ticket: &Ticket) -> u64 {
        ticket.cost.min(self.limits.cost).max(1)
    }
}
