//! Waiting requests of one class, shared out among client accounts.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::Monotonic;

use super::QueuedRequest;
use super::account_queue::AccountQueue;
use crate::decaying_sum::DecayingSum;
use crate::fair_share::Claim;
use crate::fair_share::FairShares;

/// Time constant of the arrival and grant rates used for minimum shares and wait estimates.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Fraction of a class's grant rate that is assumed to be available for late requests, in addition
/// to the recent rate of their grants.
///
/// Late requests are granted only while no request that can still be on time is queued, so queueing
/// more of them would only delay their refusal.
const LATE_GRANT_SHARE: f64 = 0.1;

/// Lower bound of the granted work per second in wait estimates.
const MIN_WORK_PER_SECOND: f64 = 0.1;

const MAX_ESTIMATE: Duration = Duration::from_mins(1);

/// Whose requests a queue holds.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum QueueOwner {
    /// Those of all accounts, because the pool is not shared out by account.
    Everyone,
    /// Those of one account.
    Account(AccountName),
}

impl QueueOwner {
    fn of(claim: &Claim) -> Self {
        let account = claim.account().cloned();
        account.map_or(Self::Everyone, Self::Account)
    }

    const fn account(&self) -> Option<&AccountName> {
        match self {
            Self::Everyone => None,
            Self::Account(account) => Some(account),
        }
    }
}

/// Queue of one class.
#[derive(Debug)]
pub(super) struct ClassQueue<T> {
    accounts: BTreeMap<QueueOwner, AccountQueue<T>>,
    arrivals: DecayingSum,
    grants: DecayingSum,
    granted_work: DecayingSum,
    /// Grants of requests that could no longer be on time.
    late_grants: DecayingSum,
}

impl<T> Default for ClassQueue<T> {
    fn default() -> Self {
        Self {
            accounts: BTreeMap::new(),
            arrivals: DecayingSum::new(RATE_TIME_CONSTANT),
            grants: DecayingSum::new(RATE_TIME_CONSTANT),
            granted_work: DecayingSum::new(RATE_TIME_CONSTANT),
            late_grants: DecayingSum::new(RATE_TIME_CONSTANT),
        }
    }
}

impl<T> ClassQueue<T> {
    pub(super) fn len(&self) -> usize {
        self.accounts.values().map(AccountQueue::len).sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.accounts.values().all(AccountQueue::is_empty)
    }

    fn late_len(&self) -> usize {
        self.accounts.values().map(|queue| queue.late.len()).sum()
    }

    fn account_mut(&mut self, claim: &Claim) -> &mut AccountQueue<T> {
        let queue = self.accounts.entry(QueueOwner::of(claim));
        let queue = queue.or_insert_with(|| AccountQueue::new(RATE_TIME_CONSTANT));
        queue.weight = claim.weight();
        queue
    }

    pub(super) fn record_arrival(&mut self, now: Monotonic, claim: &Claim) {
        self.arrivals.add(now, 1.0);
        self.account_mut(claim).record_claim(now, claim.work);
    }

    pub(super) fn push(&mut self, request: QueuedRequest<T>) {
        let claim = request.claim.clone();
        self.account_mut(&claim).push(request);
    }

    pub(super) fn record_grant(&mut self, now: Monotonic, claim: &Claim) {
        self.grants.add(now, 1.0);
        self.granted_work.add(now, claim.work);
        self.account_mut(claim).record_grant(now, claim.work);
    }

    /// Moves requests that can no longer be on time to the late queues.
    pub(super) fn move_late(&mut self, now: Monotonic) {
        for queue in self.accounts.values_mut() {
            queue.move_late(now);
        }
    }

    /// Returns the account whose request is granted next: of those with requests that can still be on
    /// time, the one with the lowest level, and among equal ones the one that waits longest.
    fn next_owner(&self, now: Monotonic, shares: &FairShares) -> Option<&QueueOwner> {
        let next_among = |is_candidate: fn(&AccountQueue<T>) -> bool| {
            let candidates = self
                .accounts
                .iter()
                .filter(|(_, queue)| is_candidate(queue));
            let ranked = candidates.map(|(owner, queue)| {
                let level = shares.level(now, owner.account());
                let queued_at = queue.front().map(|request| request.queued_at);
                (level, queued_at, owner)
            });
            let next = ranked.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            next.map(|(_, _, owner)| owner)
        };
        next_among(|queue| !queue.on_time.is_empty())
            .or_else(|| next_among(|queue| !queue.late.is_empty()))
    }

    pub(super) fn front(&self, now: Monotonic, shares: &FairShares) -> Option<&QueuedRequest<T>> {
        let owner = self.next_owner(now, shares)?;
        self.accounts.get(owner)?.front()
    }

    /// Removes the next request and counts it as granted.
    pub(super) fn pop(&mut self, now: Monotonic, shares: &FairShares) -> Option<QueuedRequest<T>> {
        let owner = self.next_owner(now, shares)?.clone();
        let queue = self.accounts.get_mut(&owner)?;
        let is_late = queue.on_time.is_empty();
        let request = queue.pop()?;
        self.record_grant(now, &request.claim);
        if is_late {
            self.late_grants.add(now, 1.0);
        }
        Some(request)
    }

    pub(super) fn remove(&mut self, seq: u64) -> Option<QueuedRequest<T>> {
        self.accounts
            .values_mut()
            .find_map(|queue| queue.remove(seq))
    }

    pub(super) fn take_expired(&mut self, now: Monotonic, expired: &mut Vec<QueuedRequest<T>>) {
        for queue in self.accounts.values_mut() {
            queue.take_expired(now, expired);
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

    /// Removes late requests that are not expected to be granted before they expire: the newest of the
    /// account with the highest level first, because that one is granted last.
    pub(super) fn take_unservable(
        &mut self,
        now: Monotonic,
        shares: &FairShares,
        taken: &mut Vec<QueuedRequest<T>>,
    ) {
        loop {
            let late = self.accounts.iter().filter(|(_, q)| !q.late.is_empty());
            let last = late
                .map(|(owner, _)| (shares.level(now, owner.account()), owner))
                .max_by(|(a, _), (b, _)| a.total_cmp(b))
                .map(|(_, owner)| owner.clone());
            let Some(queue) = last.as_ref().and_then(|last| self.accounts.get(last)) else {
                return;
            };
            let expires_at = queue.late.back().map_or(now, |request| request.expires_at);
            if self.late_len() <= self.late_capacity(now, expires_at.since(now)) {
                return;
            }
            let queue = last.and_then(|last| self.accounts.get_mut(&last));
            taken.extend(queue.and_then(AccountQueue::pop_last_late));
        }
    }

    /// Returns the time until a new claim is granted, at the recent rate.
    ///
    /// Before it goes all that waits of its own account, and of every other account what brings that
    /// one to the level which its own account will have reached by then.
    pub(super) fn time_to_grant(
        &self,
        now: Monotonic,
        claim: &Claim,
        shares: &FairShares,
    ) -> Duration {
        let own_work = self
            .accounts
            .get(&QueueOwner::of(claim))
            .map_or(0.0, AccountQueue::waiting_work);
        let level = shares.level(now, claim.account()) + own_work / claim.weight();
        let others = self
            .accounts
            .iter()
            .filter(|(owner, _)| owner.account() != claim.account());
        let work_before = others.map(|(owner, queue)| {
            let until_level = (level - shares.level(now, owner.account())) * queue.weight;
            until_level.clamp(0.0, queue.waiting_work())
        });
        self.time_to_do(now, own_work + work_before.sum::<f64>(), 1.0)
    }

    /// Returns the time in which the account behind `claim` is granted all that waits, and what was
    /// refused of late and is expected to return, at its share of the recent rate.
    pub(super) fn time_to_clear_backlog(&self, now: Monotonic, claim: &Claim) -> Duration {
        let Some(own) = self.accounts.get(&QueueOwner::of(claim)) else {
            return Duration::ZERO;
        };
        let active = self
            .accounts
            .values()
            .filter(|queue| queue.ungranted_work(now) > 0.0);
        let weights: f64 = active.map(|queue| queue.weight).sum();
        let share = if weights > own.weight {
            own.weight / weights
        } else {
            1.0
        };
        self.time_to_do(now, own.ungranted_work(now), share)
    }

    /// Returns the time to grant `work` at `share` of the recent rate.
    fn time_to_do(&self, now: Monotonic, work: f64, share: f64) -> Duration {
        let rate = self.granted_work.rate_per_second(now);
        let seconds = work / (rate.max(MIN_WORK_PER_SECOND) * share);
        Duration::from_secs_f64(seconds.min(MAX_ESTIMATE.as_secs_f64()))
    }

    pub(super) fn grant_share(&self, now: Monotonic) -> f64 {
        let arrivals = self.arrivals.value_at(now);
        if arrivals < 1.0 {
            1.0
        } else {
            self.grants.value_at(now) / arrivals
        }
    }

    /// Forgets accounts that claimed nothing of late.
    pub(super) fn expire(&mut self, now: Monotonic) {
        self.accounts.retain(|_, queue| !queue.is_expired(now));
    }
}
