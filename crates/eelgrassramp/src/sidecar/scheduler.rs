//! The scheduler of one endpoint: admits, queues, starts, preempts and refuses requests.

mod admission_floor;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::FairQueue;
use crate::admission::Limits;
use crate::admission::PushOutcome;
use crate::admission::QueuedRequest;
use crate::admission::Ticket;
use crate::error::Kind;
use crate::id::RequestId;
use crate::tier::Tier;
use crate::time::Monotonic;

use self::admission_floor::AdmissionFloor;
use super::throughput::Throughput;

/// Capacity of the endpoint and of the queue in front of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Limits of the queue of waiting requests.
    pub queue: Limits,
    /// Nominal speed of the hardware for one request, in tokens per second.
    pub reference_tokens_per_second: f64,
}

/// A decision of the scheduler that the caller has to carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SchedulerAction {
    /// Send the request to the endpoint.
    Start(RequestId),
    /// Refuse the request; it did not run and will not be started later.
    Refuse {
        /// The request.
        request: RequestId,
        /// Reason of the refusal.
        kind: Kind,
    },
    /// Stop the running request to free its slot.
    Preempt(RequestId),
}

/// Fills the slots of the endpoint with the most urgent requests and queues the others.
///
/// Engines do not support priorities, so a request that was sent to the engine cannot be
/// overtaken there. The scheduler therefore sends at most as many requests as there are slots
/// and orders the others in its own queue.
#[derive(Debug)]
pub struct Scheduler {
    slots: u32,
    queue: FairQueue<QueuedWork>,
    running: BTreeMap<RequestId, RunningRequest>,
    throughput: Throughput,
    floor: AdmissionFloor,
}

/// Data stored with a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct QueuedWork {
    prefill_tokens: u32,
}

#[derive(Debug)]
struct RunningRequest {
    tier: Tier,
    cost: u64,
    prefill_tokens: u32,
    is_preemptible: bool,
    is_stopping: bool,
    started_at: Monotonic,
}

impl Scheduler {
    /// Creates a scheduler without any requests.
    #[must_use]
    pub fn new(capacity: Capacity) -> Self {
        Self {
            slots: capacity.slots,
            queue: FairQueue::new(capacity.queue),
            running: BTreeMap::new(),
            throughput: Throughput::new(capacity.reference_tokens_per_second),
            floor: AdmissionFloor::default(),
        }
    }

    /// Starts, queues or refuses a new request.
    pub fn offer(
        &mut self,
        now: Monotonic,
        ticket: Ticket,
        prefill_tokens: u32,
    ) -> Vec<SchedulerAction> {
        let request = ticket.request;
        let is_order = ticket.tier == Tier::Order;
        let mut actions = self.expire_queued(now);
        if let Err(kind) = self.check_admission(now, &ticket) {
            if is_order {
                self.floor.raise_to_order(now);
            }
            actions.push(SchedulerAction::Refuse { request, kind });
            return actions;
        }
        let work = QueuedWork { prefill_tokens };
        match self.queue.push(now, ticket, work) {
            PushOutcome::Queued { displaced } => {
                actions.extend(displaced.iter().map(|e| refusal(e, Kind::Displaced)));
            }
            PushOutcome::Refused { kind, entry } => {
                if is_order {
                    self.floor.raise_to_order(now);
                }
                actions.push(refusal(&entry, kind));
            }
        }
        self.fill_slots(now, &mut actions);
        actions
    }

    /// Refuses all queued requests.
    pub fn refuse_queued(&mut self, now: Monotonic, kind: Kind) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        while let Some(entry) = self.queue.pop(now) {
            actions.push(refusal(&entry, kind));
        }
        actions.extend(self.expire_queued(now));
        actions
    }

    /// Removes a request from the queue; returns whether it was queued.
    pub fn remove(&mut self, request: RequestId) -> bool {
        self.queue.remove(request).is_some()
    }

    /// Frees the slot of a request that is no longer running.
    pub fn complete(&mut self, now: Monotonic, request: RequestId) -> Vec<SchedulerAction> {
        let mut actions = self.expire_queued(now);
        self.running.remove(&request);
        self.fill_slots(now, &mut actions);
        actions
    }

    /// Updates the measured throughput with a completed request.
    pub fn record_completion(&mut self, cost: u64, time: Duration) {
        self.throughput.record(cost, time);
    }

    /// Sets the number of slots reported by the endpoint.
    pub fn set_slots(&mut self, now: Monotonic, slots: u32) -> Vec<SchedulerAction> {
        self.slots = slots.max(1);
        let mut actions = Vec::new();
        self.fill_slots(now, &mut actions);
        actions
    }

    /// Raises the admission floor because requests of the tier `Order` wait at an entry.
    pub fn note_order_pressure(&mut self, now: Monotonic) {
        self.floor.raise(now);
    }

    /// Refuses queued requests whose deadline has passed and updates the admission floor.
    pub fn tick(&mut self, now: Monotonic) -> Vec<SchedulerAction> {
        let mut actions = self.expire_queued(now);
        if self.queue.most_urgent() == Some(Tier::Order) {
            self.floor.raise(now);
        }
        self.floor.decay(now);
        self.fill_slots(now, &mut actions);
        actions
    }

    /// Returns the earliest time at which [`Self::tick`] will change the queue.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Monotonic> {
        self.queue.next_deadline()
    }

    /// Returns the least urgent tier that is admitted.
    #[must_use]
    pub const fn floor(&self) -> Tier {
        self.floor.tier()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the maximum number of concurrent requests.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the predicted cost of all queued and running requests, in output tokens.
    #[must_use]
    pub fn backlog(&self) -> u64 {
        self.queue.cost() + self.running.values().map(|r| r.cost).sum::<u64>()
    }

    /// Returns the measured throughput.
    #[must_use]
    pub const fn throughput(&self) -> Throughput {
        self.throughput
    }

    fn check_admission(&self, now: Monotonic, ticket: &Ticket) -> Result<(), Kind> {
        if ticket.tier > self.floor.tier() {
            return Err(Kind::Overloaded);
        }
        if ticket.deadline <= now {
            return Err(Kind::DeadlineExpired);
        }
        if !self.can_meet_deadline(now, ticket) {
            return Err(Kind::DeadlineUnmeetable);
        }
        Ok(())
    }

    /// Predicts from the measured throughput whether a request will meet its deadline.
    ///
    /// An idle endpoint accepts every request, since only completed requests update its
    /// throughput. A request of the tier `Order` is not refused on a prediction while requests of
    /// lower tiers are queued or running.
    fn can_meet_deadline(&self, now: Monotonic, ticket: &Ticket) -> bool {
        if !self.throughput.has_samples() || self.running.is_empty() {
            return true;
        }
        if ticket.tier == Tier::Order && self.has_lower_tier_work() {
            return true;
        }
        let remaining = ticket.deadline.since(now);
        let own_time = self.throughput.estimate_time(ticket.cost, 1);
        self.estimated_wait(now, ticket.tier)
            .saturating_add(own_time)
            <= remaining
    }

    fn has_lower_tier_work(&self) -> bool {
        self.queue.len() > self.queue.len_of(Tier::Order)
            || self.running.values().any(|r| r.tier > Tier::Order)
    }

    /// Predicts how long a new request of `tier` will wait for a slot.
    fn estimated_wait(&self, now: Monotonic, tier: Tier) -> Duration {
        let cost_ahead = self.queue.cost_ahead_of(tier);
        let queue_wait = self.throughput.estimate_time(cost_ahead, self.slots);
        if self.free_slots() > 0 || (tier == Tier::Order && self.victim().is_some()) {
            return queue_wait;
        }
        let remaining_time = |r: &RunningRequest| {
            let total_time = self.throughput.estimate_time(r.cost, 1);
            total_time.saturating_sub(now.since(r.started_at))
        };
        let first_slot_wait = self.running.values().map(remaining_time).min();
        queue_wait.saturating_add(first_slot_wait.unwrap_or_default())
    }

    fn expire_queued(&mut self, now: Monotonic) -> Vec<SchedulerAction> {
        let expired = self.queue.expire(now);
        if expired.iter().any(|e| e.ticket.tier == Tier::Order) {
            self.floor.raise_to_order(now);
        }
        expired
            .iter()
            .map(|e| refusal(e, Kind::DeadlineExpired))
            .collect()
    }

    /// Starts queued requests while slots are free, then preempts for requests of the tier `Order`.
    fn fill_slots(&mut self, now: Monotonic, actions: &mut Vec<SchedulerAction>) {
        while self.free_slots() > 0 {
            let Some(entry) = self.queue.pop(now) else {
                break;
            };
            self.start(now, &entry);
            actions.push(SchedulerAction::Start(entry.ticket.request));
        }
        actions.extend(self.expire_queued(now));
        self.preempt(actions);
        assert!(
            self.running.len() <= crate::num::length(u64::from(self.slots)) || self.is_shrinking(),
            "more requests run than the endpoint has slots"
        );
    }

    /// After a reduction of the slots, more requests may run than there are slots.
    fn is_shrinking(&self) -> bool {
        self.free_slots() == 0
    }

    fn start(&mut self, now: Monotonic, entry: &QueuedRequest<QueuedWork>) {
        let running = RunningRequest {
            tier: entry.ticket.tier,
            cost: entry.ticket.cost,
            prefill_tokens: entry.item.prefill_tokens,
            is_preemptible: !entry.ticket.non_idempotent,
            is_stopping: false,
            started_at: now,
        };
        let previous = self.running.insert(entry.ticket.request, running);
        assert!(previous.is_none(), "a running request was started again");
    }

    /// Preempts as many running requests of lower tiers as requests of the tier `Order` are queued.
    fn preempt(&mut self, actions: &mut Vec<SchedulerAction>) {
        let mut stopping_count = self.running.values().filter(|r| r.is_stopping).count();
        while stopping_count < self.queue.len_of(Tier::Order) {
            let Some(victim) = self.victim() else { return };
            if let Some(running) = self.running.get_mut(&victim) {
                running.is_stopping = true;
            }
            actions.push(SchedulerAction::Preempt(victim));
            stopping_count += 1;
        }
    }

    /// Returns the request to preempt: one of the least urgent tier, and among those the one with
    /// the fewest prefill tokens to recompute.
    fn victim(&self) -> Option<RequestId> {
        self.running
            .iter()
            .filter(|(_, r)| r.is_preemptible && !r.is_stopping && r.tier > Tier::Order)
            .min_by_key(|(id, r)| (std::cmp::Reverse(r.tier), r.prefill_tokens, **id))
            .map(|(id, _)| *id)
    }

    fn free_slots(&self) -> usize {
        crate::num::length(u64::from(self.slots)).saturating_sub(self.running.len())
    }
}

const fn refusal(entry: &QueuedRequest<QueuedWork>, kind: Kind) -> SchedulerAction {
    SchedulerAction::Refuse {
        request: entry.ticket.request,
        kind,
    }
}
