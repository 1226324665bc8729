//! Waiting requests of one account within a class, in order of arrival.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrassramp::Monotonic;

use super::QueuedRequest;
use crate::decaying_sum::DecayingSum;

/// Claimed work below which an account without waiting requests is forgotten.
const MIN_CLAIMED_WORK: f64 = 0.01;

/// Queue of one account, or of all requests if the pool is not shared out by account.
#[derive(Debug)]
pub(super) struct AccountQueue<T> {
    pub(super) on_time: VecDeque<QueuedRequest<T>>,
    pub(super) late: VecDeque<QueuedRequest<T>>,
    /// Weight of the account's share.
    pub(super) weight: f64,
    waiting_work: f64,
    /// Work that requests claimed, whether or not it was granted.
    claimed_work: DecayingSum,
    granted_work: DecayingSum,
}

impl<T> AccountQueue<T> {
    pub(super) const fn new(time_constant: Duration) -> Self {
        Self {
            on_time: VecDeque::new(),
            late: VecDeque::new(),
            weight: 1.0,
            waiting_work: 0.0,
            claimed_work: DecayingSum::new(time_constant),
            granted_work: DecayingSum::new(time_constant),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.on_time.len() + self.late.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the work of all waiting requests.
    pub(super) const fn waiting_work(&self) -> f64 {
        self.waiting_work
    }

    /// Returns the work that was claimed of late and not granted, which is at least what waits.
    pub(super) fn ungranted_work(&self, now: Monotonic) -> f64 {
        let ungranted = self.claimed_work.value_at(now) - self.granted_work.value_at(now);
        ungranted.max(self.waiting_work)
    }

    pub(super) fn record_claim(&mut self, now: Monotonic, work: f64) {
        self.claimed_work.add(now, work);
    }

    pub(super) fn record_grant(&mut self, now: Monotonic, work: f64) {
        self.granted_work.add(now, work);
    }

    /// Returns whether the queue can be forgotten.
    pub(super) fn is_expired(&self, now: Monotonic) -> bool {
        self.is_empty() && self.claimed_work.value_at(now) < MIN_CLAIMED_WORK
    }

    /// Queues a request, which may be late already if its caller was refused by another entry before.
    pub(super) fn push(&mut self, request: QueuedRequest<T>) {
        self.waiting_work += request.claim.work;
        if request.start_by < request.queued_at {
            self.late.push_back(request);
        } else {
            self.on_time.push_back(request);
        }
    }

    /// Moves requests that can no longer be on time to the late queue, which is granted last.
    pub(super) fn move_late(&mut self, now: Monotonic) {
        while self.on_time.front().is_some_and(|w| w.start_by < now) {
            self.late.extend(self.on_time.pop_front());
        }
    }

    pub(super) fn front(&self) -> Option<&QueuedRequest<T>> {
        self.on_time.front().or_else(|| self.late.front())
    }

    /// Removes the next request.
    pub(super) fn pop(&mut self) -> Option<QueuedRequest<T>> {
        let next = self.on_time.pop_front().or_else(|| self.late.pop_front());
        self.removed(next)
    }

    /// Removes the newest late request.
    pub(super) fn pop_last_late(&mut self) -> Option<QueuedRequest<T>> {
        let last = self.late.pop_back();
        self.removed(last)
    }

    pub(super) fn remove(&mut self, seq: u64) -> Option<QueuedRequest<T>> {
        let removed = [&mut self.on_time, &mut self.late]
            .into_iter()
            .find_map(|list| {
                let at = list.iter().position(|w| w.seq == seq)?;
                list.remove(at)
            });
        self.removed(removed)
    }

    /// Removes all requests that have expired.
    pub(super) fn take_expired(&mut self, now: Monotonic, expired: &mut Vec<QueuedRequest<T>>) {
        let first = expired.len();
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
        let work: f64 = expired[first..].iter().map(|w| w.claim.work).sum();
        self.subtract_waiting(work);
    }

    fn removed(&mut self, request: Option<QueuedRequest<T>>) -> Option<QueuedRequest<T>> {
        let work = request.as_ref().map_or(0.0, |request| request.claim.work);
        self.subtract_waiting(work);
        request
    }

    fn subtract_waiting(&mut self, work: f64) {
        // The sum of an empty queue is set, so that rounding errors do not add up.
        self.waiting_work = if self.is_empty() {
            0.0
        } else {
            (self.waiting_work - work).max(0.0)
        };
    }
}
