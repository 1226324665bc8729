//! Request queue of one pool: strict priority with a guaranteed minimum share for each class.
//!
//! More requests may arrive than the pool's endpoints can execute concurrently. Endpoints execute
//! in order of arrival, so requests are queued here, where their order can still be chosen. See
//! `docs/design/platform.md`, "Where work waits".

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::RouteName;

use crate::decaying_sum::DecayingSum;

/// A class with fewer grants per arrival than this goes before classes of higher priority.
pub const MIN_GRANT_SHARE: f64 = 0.3;

/// Time constant of the arrival and grant rates used for [`MIN_GRANT_SHARE`] and for wait
/// estimates.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Fraction of a class's grant rate that is assumed to be available for late requests, in addition
/// to the recent rate of their grants.
///
/// Late requests are granted only while no request that can still be on time is queued, so queueing
/// more of them would only delay their refusal.
const LATE_GRANT_SHARE: f64 = 0.1;

/// Lower bound of the grant rate in wait estimates.
const MIN_GRANTS_PER_SECOND: f64 = 0.1;

const MAX_ESTIMATE: Duration = Duration::from_mins(1);

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
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest<T> {
    /// Unique identifier.
    pub seq: u64,
    /// Time at which it was submitted for queueing.
    pub queued_at: Monotonic,
    /// Latest grant time at which the latency objective can still be met.
    pub start_by: Monotonic,
    /// Time at which the request is refused if it has not been granted an endpoint.
    pub expires_at: Monotonic,
    /// Data attached by the calling code.
    pub item: T,
}

#[derive(Debug)]
struct ClassQueue<T> {
    on_time: VecDeque<QueuedRequest<T>>,
    late: VecDeque<QueuedRequest<T>>,
    arrivals: DecayingSum,
    grants: DecayingSum,
    /// Grants of requests that could no longer be on time.
    late_grants: DecayingSum,
}

impl<T> Default for ClassQueue<T> {
    fn default() -> Self {
        Self {
            on_time: VecDeque::new(),
            late: VecDeque::new(),
            arrivals: DecayingSum::new(RATE_TIME_CONSTANT),
            grants: DecayingSum::new(RATE_TIME_CONSTANT),
            late_grants: DecayingSum::new(RATE_TIME_CONSTANT),
        }
    }
}

impl<T> ClassQueue<T> {
    fn len(&self) -> usize {
        self.on_time.len() + self.late.len()
    }

    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Moves requests that can no longer be on time to the late queue, which is granted last.
    fn move_late(&mut self, now: Monotonic) {
        while self.on_time.front().is_some_and(|w| w.start_by < now) {
            self.late.extend(self.on_time.pop_front());
        }
    }

    /// Returns how many late requests can be expected to be granted within `time_left`.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float cast saturates, and no factor is negative"
    )]
    fn late_capacity(&self, now: Monotonic, time_left: Duration) -> usize {
        let expected = LATE_GRANT_SHARE * self.grants.rate_per_second(now);
        let per_second = expected + self.late_grants.rate_per_second(now);
        let granted = per_second * time_left.as_secs_f64();
        granted.ceil().max(1.0) as usize
    }

    /// Removes late requests that are not expected to be granted before they expire, newest first.
    fn take_unservable(&mut self, now: Monotonic, taken: &mut Vec<QueuedRequest<T>>) {
        while let Some(last) = self.late.back() {
            let time_left = last.expires_at.since(now);
            if self.late.len() <= self.late_capacity(now, time_left) {
                return;
            }
            taken.extend(self.late.pop_back());
        }
    }

    /// Returns the time to grant `requests` requests at the recent grant rate.
    fn time_to_grant(&self, now: Monotonic, requests: f64) -> Duration {
        let seconds = requests / self.grants.rate_per_second(now).max(MIN_GRANTS_PER_SECOND);
        Duration::from_secs_f64(seconds.min(MAX_ESTIMATE.as_secs_f64()))
    }

    fn grant_share(&self, now: Monotonic) -> f64 {
        let arrivals = self.arrivals.value_at(now);
        if arrivals < 1.0 {
            1.0
        } else {
            self.grants.value_at(now) / arrivals
        }
    }

    fn front(&self) -> Option<&QueuedRequest<T>> {
        self.on_time.front().or_else(|| self.late.front())
    }

    fn pop(&mut self, now: Monotonic) -> Option<QueuedRequest<T>> {
        self.grants.add(now, 1.0);
        if let Some(request) = self.on_time.pop_front() {
            return Some(request);
        }
        self.late_grants.add(now, 1.0);
        self.late.pop_front()
    }

    fn remove(&mut self, seq: u64) -> Option<QueuedRequest<T>> {
        for list in [&mut self.on_time, &mut self.late] {
            if let Some(at) = list.iter().position(|w| w.seq == seq) {
                return list.remove(at);
            }
        }
        None
    }

    fn take_expired(&mut self, now: Monotonic, expired: &mut Vec<QueuedRequest<T>>) {
        for list in [&mut self.on_time, &mut self.late] {
            if list.iter().all(|w| w.expires_at > now) {
                continue;
            }
            let (kept, removed) = std::mem::take(list)
                .into_iter()
                .partition(|w| w.expires_at > now);
            *list = kept;
            let removed: VecDeque<_> = removed;
            expired.extend(removed);
        }
    }
}

/// The request queue of one pool.
#[derive(Debug)]
pub struct RequestQueue<T> {
    classes: BTreeMap<RequestClass, ClassQueue<T>>,
}

impl<T> Default for RequestQueue<T> {
    fn default() -> Self {
        Self {
            classes: BTreeMap::new(),
        }
    }
}

impl<T> RequestQueue<T> {
    /// Counts an arrival and returns the estimated wait.
    ///
    /// The estimate is the queue length of the class divided by its recent grant rate; it is zero
    /// while the queue is short.
    pub fn record_arrival(&mut self, now: Monotonic, class: &RequestClass) -> Duration {
        let queue = self.classes.entry(class.clone()).or_default();
        queue.arrivals.add(now, 1.0);
        if queue.len() < MIN_LENGTH_FOR_ESTIMATE {
            return Duration::ZERO;
        }
        self.time_to_grant_queued(now, class)
    }

    /// Queues a request whose arrival has been counted.
    ///
    /// A request whose caller was refused by another entry before may already be late.
    pub fn push(&mut self, class: &RequestClass, request: QueuedRequest<T>) {
        let queue = self.classes.entry(class.clone()).or_default();
        if request.start_by < request.queued_at {
            queue.late.push_back(request);
        } else {
            queue.on_time.push_back(request);
        }
    }

    /// Counts a request that was granted without queueing.
    pub fn record_immediate_grant(&mut self, now: Monotonic, class: &RequestClass) {
        let queue = self.classes.entry(class.clone()).or_default();
        queue.grants.add(now, 1.0);
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
    pub fn front(&self, class: &RequestClass) -> Option<&QueuedRequest<T>> {
        self.classes.get(class)?.front()
    }

    /// Removes the next request of `class` and counts it as granted.
    pub fn pop(&mut self, now: Monotonic, class: &RequestClass) -> Option<QueuedRequest<T>> {
        let queue = self.classes.get_mut(class)?;
        queue.front()?;
        queue.pop(now)
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
            queue.take_unservable(now, &mut unservable);
        }
        unservable
    }

    /// Returns the time to grant all queued requests of a class at its recent grant rate.
    #[must_use]
    pub fn time_to_grant_queued(&self, now: Monotonic, class: &RequestClass) -> Duration {
        let queue = self.classes.get(class);
        queue.map_or(Duration::ZERO, |queue| {
            queue.time_to_grant(now, queue.len() as f64)
        })
    }

    /// Returns the time to grant, at the recent grant rate of a class, all its queued requests and
    /// those recently refused that are expected to be retried.
    #[must_use]
    pub fn time_to_clear_backlog(&self, now: Monotonic, class: &RequestClass) -> Duration {
        let Some(queue) = self.classes.get(class) else {
            return Duration::ZERO;
        };
        let ungranted = queue.arrivals.value_at(now) - queue.grants.value_at(now);
        queue.time_to_grant(now, ungranted.max(queue.len() as f64))
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
