//! Request queue of one pool: strict priority with a guaranteed minimum share for each class, and
//! fair shares of each class among client accounts.
//!
//! More requests may arrive than the pool's endpoints can execute concurrently. Endpoints execute
//! in order of arrival, so requests are queued here, where their order can still be chosen. See
//! `docs/design/platform.md`, "Where work waits", and `docs/design/fair-shares.md`.

mod account_queue;
mod class_queue;

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::RouteName;

use self::class_queue::ClassQueue;
use crate::fair_share::Claim;
use crate::fair_share::FairShares;

/// A class with fewer grants per arrival than this goes before classes of higher priority.
pub const MIN_GRANT_SHARE: f64 = 0.3;

/// Queue length of a class below which the wait is estimated as zero.
const MIN_LENGTH_FOR_ESTIMATE: usize = 4;

/// Priority of a request; the highest priority compares lowest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority {
    /// Priority of the client account, compared before the route's; 0 is the highest.
    pub account_priority: u32,
    /// Priority of the route; 0 is the highest.
    pub route_priority: u32,
}

impl Priority {
    /// Combines the priorities of a request's account and route.
    ///
    /// If the account has no priority, the route's takes its place.
    #[must_use]
    pub fn new(account_priority: Option<u32>, route_priority: u32) -> Self {
        Self {
            account_priority: account_priority.unwrap_or(route_priority),
            route_priority,
        }
    }
}

/// Identifies one class of requests: those of one route at one priority, which share a queue.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestClass {
    /// Priority of the requests.
    pub priority: Priority,
    /// The route.
    pub route: RouteName,
}

/// A queued request.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedRequest<T> {
    /// Unique identifier.
    pub seq: u64,
    /// Whose share of the pool it is counted against, and how much work it is.
    pub claim: Claim,
    /// Time at which it was submitted for queueing.
    pub queued_at: Monotonic,
    /// Latest grant time at which the latency objective can still be met.
    pub start_by: Monotonic,
    /// Time at which the request is refused if it has not been granted an endpoint.
    pub expires_at: Monotonic,
    /// Data attached by the calling code.
    pub item: T,
}

/// The request queue of one pool.
#[derive(Debug)]
pub struct RequestQueue<T> {
    classes: BTreeMap<RequestClass, ClassQueue<T>>,
    shares: FairShares,
}

impl<T> Default for RequestQueue<T> {
    fn default() -> Self {
        Self {
            classes: BTreeMap::new(),
            shares: FairShares::default(),
        }
    }
}

impl<T> RequestQueue<T> {
    /// Returns how much of the pool each account has used of late.
    #[must_use]
    pub const fn shares(&self) -> &FairShares {
        &self.shares
    }

    /// Returns how much of the pool each account has used of late, to merge what other entries
    /// report.
    pub const fn shares_mut(&mut self) -> &mut FairShares {
        &mut self.shares
    }

    /// Counts an arrival and returns the estimated wait, which is zero while the queue is short.
    pub fn record_arrival(
        &mut self,
        now: Monotonic,
        class: &RequestClass,
        claim: &Claim,
    ) -> Duration {
        self.shares.record_weight(claim);
        let queue = self.classes.entry(class.clone()).or_default();
        queue.record_arrival(now, claim);
        if queue.len() < MIN_LENGTH_FOR_ESTIMATE {
            return Duration::ZERO;
        }
        queue.time_to_grant(now, claim, &self.shares)
    }

    /// Queues a request whose arrival has been counted.
    ///
    /// A request whose caller was refused by another entry before may already be late.
    pub fn push(&mut self, class: &RequestClass, request: QueuedRequest<T>) {
        self.shares.record_contention(request.queued_at);
        let queue = self.classes.entry(class.clone()).or_default();
        queue.push(request);
    }

    /// Counts a request that was granted without queueing.
    pub fn record_immediate_grant(&mut self, now: Monotonic, class: &RequestClass, claim: &Claim) {
        self.shares.record_grant(now, claim);
        let queue = self.classes.entry(class.clone()).or_default();
        queue.record_grant(now, claim);
    }

    /// Returns the class whose request is granted next.
    ///
    /// A class that was granted less than [`MIN_GRANT_SHARE`] of its arrivals goes first, the one
    /// with the lowest share before the others; otherwise the highest priority goes first.
    pub fn select_class(&mut self, now: Monotonic) -> Option<RequestClass> {
        for queue in self.classes.values_mut() {
            queue.move_late(now);
        }
        let nonempty = || self.classes.iter().filter(|(_, queue)| !queue.is_empty());
        let below_share = nonempty()
            .map(|(class, queue)| (class, queue.grant_share(now)))
            .filter(|(_, share)| *share < MIN_GRANT_SHARE)
            .min_by(|(_, a), (_, b)| a.total_cmp(b));
        let highest_priority = || nonempty().next().map(|(class, _)| class);
        below_share
            .map(|(class, _)| class)
            .or_else(highest_priority)
            .cloned()
    }

    /// Returns the other classes with queued requests, in the order in which they are considered
    /// after `first`.
    #[must_use]
    pub fn remaining_classes(&self, first: &RequestClass) -> Vec<RequestClass> {
        let nonempty = self.classes.iter().filter(|(_, queue)| !queue.is_empty());
        nonempty
            .map(|(class, _)| class)
            .filter(|class| *class != first)
            .cloned()
            .collect()
    }

    /// Returns the next request of `class`.
    #[must_use]
    pub fn front(&self, now: Monotonic, class: &RequestClass) -> Option<&QueuedRequest<T>> {
        self.classes.get(class)?.front(now, &self.shares)
    }

    /// Removes the next request of `class` and counts it as granted.
    pub fn pop(&mut self, now: Monotonic, class: &RequestClass) -> Option<QueuedRequest<T>> {
        let queue = self.classes.get_mut(class)?;
        let request = queue.pop(now, &self.shares)?;
        self.shares.record_grant(now, &request.claim);
        Some(request)
    }

    /// Removes one request, for example because its caller has disconnected.
    pub fn remove(&mut self, class: &RequestClass, seq: u64) -> Option<QueuedRequest<T>> {
        self.classes.get_mut(class)?.remove(seq)
    }

    /// Removes all requests that have expired.
    pub fn take_expired(&mut self, now: Monotonic) -> Vec<QueuedRequest<T>> {
        let mut expired = Vec::new();
        for queue in self.classes.values_mut() {
            queue.take_expired(now, &mut expired);
        }
        expired
    }

    /// Removes late requests that are not expected to be granted before they expire.
    ///
    /// Refusing them at once is better for their callers than refusing them when they expire.
    pub fn take_unservable(&mut self, now: Monotonic) -> Vec<QueuedRequest<T>> {
        let mut unservable = Vec::new();
        for queue in self.classes.values_mut() {
            queue.move_late(now);
            queue.take_unservable(now, &self.shares, &mut unservable);
        }
        unservable
    }

    /// Returns the time until the account behind `claim` is granted, at its share of the recent rate,
    /// all its queued requests and those recently refused that are expected to be retried.
    #[must_use]
    pub fn time_to_clear_backlog(
        &self,
        now: Monotonic,
        class: &RequestClass,
        claim: &Claim,
    ) -> Duration {
        let queue = self.classes.get(class);
        queue.map_or(Duration::ZERO, |queue| {
            queue.time_to_clear_backlog(now, claim)
        })
    }

    /// Forgets accounts that claimed nothing of late.
    pub fn expire(&mut self, now: Monotonic) {
        self.shares.expire(now);
        for queue in self.classes.values_mut() {
            queue.expire(now);
        }
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes.values().map(ClassQueue::len).sum()
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.classes.values().all(ClassQueue::is_empty)
    }
}
