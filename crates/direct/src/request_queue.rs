//! The waiting line of one pool: strict urgency with a guaranteed share for each class.
//!
//! It answers the load in which more work arrives than the pool's endpoints can run at once.
//! Endpoints admit in order of arrival, so the order is kept here, where it can still be
//! chosen. See `docs/design/platform.md`, "Where work waits".

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::RouteName;

use crate::decaying_sum::DecayingSum;

/// Share of its arrivals that a class is served before more urgent classes go first.
pub const MIN_SERVICE_SHARE: f64 = 0.3;

/// Time over which arrivals and grants are remembered for [`MIN_SERVICE_SHARE`] and for estimates.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Part of the grants of a class that is expected to go to requests that can no longer be on time,
/// beyond those of late that went to such requests.
///
/// They are served only while none waits that still can be; more of them would wait for nothing.
const LATE_GRANT_SHARE: f64 = 0.1;

/// Rate of grants that is reckoned with at least.
const MIN_GRANTS_PER_SECOND: f64 = 0.1;

/// Longest wait that is estimated.
const MAX_ESTIMATE: Duration = Duration::from_mins(1);

/// Requests that a class may have waiting before its estimate of the wait is used.
const MIN_LENGTH_FOR_ESTIMATE: usize = 4;

/// How urgent a request is; the most urgent compares lowest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority {
    /// Rank of the client account, which goes before the route's; 0 is the most urgent.
    pub account: u32,
    /// Rank of the route; 0 is the most urgent.
    pub route: u32,
}

impl Priority {
    /// Combines the ranks of a request's account and route.
    ///
    /// A request whose account has no rank of its own counts with its route's.
    #[must_use]
    pub fn new(account: Option<u32>, route: u32) -> Self {
        Self {
            account: account.unwrap_or(route),
            route,
        }
    }
}

/// Requests that are ordered among themselves by arrival: one route at one urgency.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class {
    /// How urgent its requests are.
    pub priority: Priority,
    /// The route.
    pub route: RouteName,
}

/// A request in the line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest<T> {
    /// Position; unique, and grows with arrival.
    pub seq: u64,
    /// When it arrived.
    pub arrived: Monotonic,
    /// Until when it can be started and still be on time.
    pub start_by: Monotonic,
    /// When it is refused if it has not been started.
    pub expires_at: Monotonic,
    /// What the owner keeps with it.
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

    /// Moves requests that can no longer be on time behind those that can.
    fn move_late(&mut self, now: Monotonic) {
        while self.on_time.front().is_some_and(|w| w.start_by < now) {
            self.late.extend(self.on_time.pop_front());
        }
    }

    /// Returns how many late requests may wait for `time_left`.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float cast saturates, and no factor is negative"
    )]
    fn late_capacity(&self, now: Monotonic, time_left: Duration) -> usize {
        let expected = LATE_GRANT_SHARE * self.grants.rate_per_second(now);
        let per_second = expected + self.late_grants.rate_per_second(now);
        let places = per_second * time_left.as_secs_f64();
        places.ceil().max(1.0) as usize
    }

    /// Takes out late requests that would wait in vain, the newest first.
    fn take_unservable(&mut self, now: Monotonic, taken: &mut Vec<QueuedRequest<T>>) {
        while let Some(last) = self.late.back() {
            let time_left = last.expires_at.since(now);
            if self.late.len() <= self.late_capacity(now, time_left) {
                return;
            }
            taken.extend(self.late.pop_back());
        }
    }

    /// Returns the time in which so many requests are served at the rate of late.
    fn service_time(&self, now: Monotonic, requests: f64) -> Duration {
        let seconds = requests / self.grants.rate_per_second(now).max(MIN_GRANTS_PER_SECOND);
        Duration::from_secs_f64(seconds.min(MAX_ESTIMATE.as_secs_f64()))
    }

    fn service_share(&self, now: Monotonic) -> f64 {
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

/// The waiting line of one pool.
#[derive(Debug)]
pub struct RequestQueue<T> {
    classes: BTreeMap<Class, ClassQueue<T>>,
}

impl<T> Default for RequestQueue<T> {
    fn default() -> Self {
        Self {
            classes: BTreeMap::new(),
        }
    }
}

impl<T> RequestQueue<T> {
    /// Counts the arrival of a request and returns how long it would wait.
    ///
    /// The estimate is the number of its class that wait, divided by the rate at which the class
    /// was served of late; it is zero while only a few wait.
    pub fn record_arrival(&mut self, now: Monotonic, class: &Class) -> Duration {
        let queue = self.classes.entry(class.clone()).or_default();
        queue.arrivals.add(now, 1.0);
        if queue.len() < MIN_LENGTH_FOR_ESTIMATE {
            return Duration::ZERO;
        }
        self.time_to_serve(now, class)
    }

    /// Adds a request that has arrived.
    ///
    /// One whose caller has waited elsewhere before may be late already.
    pub fn push(&mut self, class: &Class, request: QueuedRequest<T>) {
        let queue = self.classes.entry(class.clone()).or_default();
        if request.start_by < request.arrived {
            queue.late.push_back(request);
        } else {
            queue.on_time.push_back(request);
        }
    }

    /// Counts a request that was started without waiting.
    pub fn record_immediate_grant(&mut self, now: Monotonic, class: &Class) {
        let queue = self.classes.entry(class.clone()).or_default();
        queue.grants.add(now, 1.0);
    }

    /// Returns the class whose turn it is.
    ///
    /// A class that was served less than [`MIN_SERVICE_SHARE`] of its arrivals goes first, the most
    /// neglected before the others; all else goes by urgency.
    pub fn select_class(&mut self, now: Monotonic) -> Option<Class> {
        for queue in self.classes.values_mut() {
            queue.move_late(now);
        }
        let nonempty = || self.classes.iter().filter(|(_, queue)| !queue.is_empty());
        let underserved = nonempty()
            .map(|(class, queue)| (class, queue.service_share(now)))
            .filter(|(_, share)| *share < MIN_SERVICE_SHARE)
            .min_by(|(_, a), (_, b)| a.total_cmp(b));
        let highest_priority = || nonempty().next().map(|(class, _)| class);
        underserved
            .map(|(class, _)| class)
            .or_else(highest_priority)
            .cloned()
    }

    /// Returns the classes that wait, in the order of their turns after `first`.
    #[must_use]
    pub fn remaining_classes(&self, first: &Class) -> Vec<Class> {
        let nonempty = self.classes.iter().filter(|(_, queue)| !queue.is_empty());
        nonempty
            .map(|(class, _)| class)
            .filter(|class| *class != first)
            .cloned()
            .collect()
    }

    /// Returns the request of `class` whose turn it is.
    #[must_use]
    pub fn front(&self, class: &Class) -> Option<&QueuedRequest<T>> {
        self.classes.get(class)?.front()
    }

    /// Takes the request of `class` whose turn it is, and counts it as served.
    pub fn pop(&mut self, now: Monotonic, class: &Class) -> Option<QueuedRequest<T>> {
        let queue = self.classes.get_mut(class)?;
        queue.front()?;
        queue.pop(now)
    }

    /// Takes out one request, for example because its caller has gone.
    pub fn remove(&mut self, class: &Class, seq: u64) -> Option<QueuedRequest<T>> {
        self.classes.get_mut(class)?.remove(seq)
    }

    /// Takes all requests that have waited as long as they may.
    pub fn take_expired(&mut self, now: Monotonic) -> Vec<QueuedRequest<T>> {
        let mut expired = Vec::new();
        for queue in self.classes.values_mut() {
            queue.take_expired(now, &mut expired);
        }
        expired
    }

    /// Takes the requests that can no longer be on time and would wait in vain.
    ///
    /// Their callers are better told at once than when their patience ends.
    pub fn take_unservable(&mut self, now: Monotonic) -> Vec<QueuedRequest<T>> {
        let mut unservable = Vec::new();
        for queue in self.classes.values_mut() {
            queue.move_late(now);
            queue.take_unservable(now, &mut unservable);
        }
        unservable
    }

    /// Returns the time in which all that waits of a class is served at its rate of late.
    #[must_use]
    pub fn time_to_serve(&self, now: Monotonic, class: &Class) -> Duration {
        let queue = self.classes.get(class);
        queue.map_or(Duration::ZERO, |queue| {
            queue.service_time(now, queue.len() as f64)
        })
    }

    /// Returns the time in which all that waits of a class, and what was turned away of late and
    /// comes back, is served at its rate of late.
    #[must_use]
    pub fn time_to_clear_backlog(&self, now: Monotonic, class: &Class) -> Duration {
        let Some(queue) = self.classes.get(class) else {
            return Duration::ZERO;
        };
        let unserved = queue.arrivals.value_at(now) - queue.grants.value_at(now);
        queue.service_time(now, unserved.max(queue.len() as f64))
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes.values().map(ClassQueue::len).sum()
    }

    /// Tells whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.classes.values().all(ClassQueue::is_empty)
    }
}
