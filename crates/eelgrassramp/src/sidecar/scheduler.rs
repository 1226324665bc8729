//! Which requests the endpoint works on, and which wait, give way or are refused.

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

/// What the endpoint can do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Bounds of the queue before it.
    pub queue: Limits,
    /// The hardware's speed in tokens a second for one request.
    pub reference_tokens_per_second: f64,
}

/// What is to be done after a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SchedulerAction {
    /// The endpoint is to be given the request.
    Start(RequestId),
    /// The request did not run and never will.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        kind: Kind,
    },
    /// The running request is to be stopped, so that its slot becomes free.
    Preempt(RequestId),
}

/// Keeps the endpoint's batch full with the most urgent work and holds the rest back.
///
/// An engine knows no priorities, so whatever it is given early cannot be overtaken. The
/// scheduler therefore gives it no more than its slots and keeps the order itself.
#[derive(Debug)]
pub struct Scheduler {
    slots: u32,
    queue: FairQueue<Pending>,
    running: BTreeMap<RequestId, Running>,
    throughput: Throughput,
    floor: AdmissionFloor,
}

/// What is kept of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pending {
    prefill_tokens: u32,
}

#[derive(Debug)]
struct Running {
    tier: Tier,
    cost: u64,
    prefill_tokens: u32,
    can_stop: bool,
    stopping: bool,
    since: Monotonic,
}

impl Scheduler {
    /// Creates a scheduler with nothing to do.
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

    /// Takes a new request in; it is started, queued or refused.
    pub fn offer(
        &mut self,
        now: Monotonic,
        ticket: Ticket,
        prefill_tokens: u32,
    ) -> Vec<SchedulerAction> {
        let request = ticket.request;
        let is_order = ticket.tier == Tier::Order;
        let mut actions = self.expired(now);
        if let Err(kind) = self.check(now, &ticket) {
            if is_order {
                self.floor.raise_fully(now);
            }
            actions.push(SchedulerAction::Refuse { request, kind });
            return actions;
        }
        let pending = Pending { prefill_tokens };
        match self.queue.push(now, ticket, pending) {
            PushOutcome::Queued { displaced } => {
                actions.extend(displaced.iter().map(|e| refuse(e, Kind::Displaced)));
            }
            PushOutcome::Refused { kind, entry } => {
                if is_order {
                    self.floor.raise_fully(now);
                }
                actions.push(refuse(&entry, kind));
            }
        }
        self.fill(now, &mut actions);
        actions
    }

    /// Refuses everything that waits.
    pub fn refuse_queued(&mut self, now: Monotonic, kind: Kind) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        while let Some(entry) = self.queue.pop(now) {
            actions.push(refuse(&entry, kind));
        }
        actions.extend(self.expired(now));
        actions
    }

    /// Takes a waiting request out; tells whether it was waiting.
    pub fn remove(&mut self, request: RequestId) -> bool {
        self.queue.remove(request).is_some()
    }

    /// Takes in that a running request has left the endpoint.
    pub fn complete(&mut self, now: Monotonic, request: RequestId) -> Vec<SchedulerAction> {
        let mut actions = self.expired(now);
        self.running.remove(&request);
        self.fill(now, &mut actions);
        actions
    }

    /// Takes in what a whole answer cost and how long the endpoint took for it.
    pub fn record_completion(&mut self, cost: u64, time: Duration) {
        self.throughput.record(cost, time);
    }

    /// Takes in how many requests the endpoint says that it can work on at a time.
    pub fn set_slots(&mut self, now: Monotonic, slots: u32) -> Vec<SchedulerAction> {
        self.slots = slots.max(1);
        let mut actions = Vec::new();
        self.fill(now, &mut actions);
        actions
    }

    /// Takes in that orders wait at an entry.
    pub fn note_order_pressure(&mut self, now: Monotonic) {
        self.floor.raise(now);
    }

    /// Refuses what has waited past its deadline and moves the floor.
    pub fn tick(&mut self, now: Monotonic) -> Vec<SchedulerAction> {
        let mut actions = self.expired(now);
        if self.queue.most_urgent() == Some(Tier::Order) {
            self.floor.raise(now);
        }
        self.floor.decay(now);
        self.fill(now, &mut actions);
        actions
    }

    /// Returns the time of the next call of [`Self::tick`] that will have an effect on the
    /// queue.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Monotonic> {
        self.queue.next_deadline()
    }

    /// Returns the least urgent tier that is accepted.
    #[must_use]
    pub const fn floor(&self) -> Tier {
        self.floor.tier()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests that the endpoint works on.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that the endpoint can work on at a time.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the predicted cost of everything queued and running, in output tokens.
    #[must_use]
    pub fn backlog(&self) -> u64 {
        self.queue.cost() + self.running.values().map(|r| r.cost).sum::<u64>()
    }

    /// Returns the measured speed.
    #[must_use]
    pub const fn throughput(&self) -> Throughput {
        self.throughput
    }

    fn check(&self, now: Monotonic, ticket: &Ticket) -> Result<(), Kind> {
        if ticket.tier > self.floor.tier() {
            return Err(Kind::Overloaded);
        }
        if ticket.deadline <= now {
            return Err(Kind::DeadlineExpired);
        }
        if !self.can_meet(now, ticket) {
            return Err(Kind::DeadlineUnmeetable);
        }
        Ok(())
    }

    /// Tells whether a request can be answered in time, judged by measured speed.
    ///
    /// An idle endpoint always takes a request, since only requests measure its speed, and an
    /// order is not refused on a prediction while less urgent work is served.
    fn can_meet(&self, now: Monotonic, ticket: &Ticket) -> bool {
        if !self.throughput.has_samples() || self.running.is_empty() {
            return true;
        }
        if ticket.tier == Tier::Order && self.serves_less_urgent() {
            return true;
        }
        let left = ticket.deadline.since(now);
        let own = self.throughput.estimate_time(ticket.cost, 1);
        self.wait_of(now, ticket.tier).saturating_add(own) <= left
    }

    fn serves_less_urgent(&self) -> bool {
        self.queue.len() > self.queue.len_of(Tier::Order)
            || self.running.values().any(|r| r.tier > Tier::Order)
    }

    /// Predicts how long a new request of `tier` waits for a slot.
    fn wait_of(&self, now: Monotonic, tier: Tier) -> Duration {
        let ahead = self.queue.cost_ahead_of(tier);
        let queue_wait = self.throughput.estimate_time(ahead, self.slots);
        if self.free_slots() > 0 || (tier == Tier::Order && self.victim().is_some()) {
            return queue_wait;
        }
        let left_of = |r: &Running| {
            let whole = self.throughput.estimate_time(r.cost, 1);
            whole.saturating_sub(now.since(r.since))
        };
        let first_free = self.running.values().map(left_of).min();
        queue_wait.saturating_add(first_free.unwrap_or_default())
    }

    fn expired(&mut self, now: Monotonic) -> Vec<SchedulerAction> {
        let expired = self.queue.expire(now);
        if expired.iter().any(|e| e.ticket.tier == Tier::Order) {
            self.floor.raise_fully(now);
        }
        expired
            .iter()
            .map(|e| refuse(e, Kind::DeadlineExpired))
            .collect()
    }

    /// Starts waiting requests while there are free slots, then makes room for orders.
    fn fill(&mut self, now: Monotonic, actions: &mut Vec<SchedulerAction>) {
        while self.free_slots() > 0 {
            let Some(entry) = self.queue.pop(now) else {
                break;
            };
            self.start(now, &entry);
            actions.push(SchedulerAction::Start(entry.ticket.request));
        }
        actions.extend(self.expired(now));
        self.preempt(actions);
        assert!(
            self.running.len() <= crate::num::length(u64::from(self.slots)) || self.is_shrinking(),
            "more requests run than the endpoint has slots"
        );
    }

    /// After the slots were lowered, more requests may run than there are slots.
    fn is_shrinking(&self) -> bool {
        self.free_slots() == 0
    }

    fn start(&mut self, now: Monotonic, entry: &QueuedRequest<Pending>) {
        let running = Running {
            tier: entry.ticket.tier,
            cost: entry.ticket.cost,
            prefill_tokens: entry.item.prefill_tokens,
            can_stop: !entry.ticket.non_idempotent,
            stopping: false,
            since: now,
        };
        let former = self.running.insert(entry.ticket.request, running);
        assert!(former.is_none(), "a running request was started again");
    }

    /// Stops as many running requests of lower tiers as orders wait.
    fn preempt(&mut self, actions: &mut Vec<SchedulerAction>) {
        let mut stopping = self.running.values().filter(|r| r.stopping).count();
        while stopping < self.queue.len_of(Tier::Order) {
            let Some(victim) = self.victim() else { return };
            if let Some(running) = self.running.get_mut(&victim) {
                running.stopping = true;
            }
            actions.push(SchedulerAction::Preempt(victim));
            stopping += 1;
        }
    }

    /// Returns the least urgent running request, and among those the one whose loss wastes the
    /// least prefill.
    fn victim(&self) -> Option<RequestId> {
        self.running
            .iter()
            .filter(|(_, r)| r.can_stop && !r.stopping && r.tier > Tier::Order)
            .min_by_key(|(id, r)| (std::cmp::Reverse(r.tier), r.prefill_tokens, **id))
            .map(|(id, _)| *id)
    }

    fn free_slots(&self) -> usize {
        crate::num::length(u64::from(self.slots)).saturating_sub(self.running.len())
    }
}

const fn refuse(entry: &QueuedRequest<Pending>, kind: Kind) -> SchedulerAction {
    SchedulerAction::Refuse {
        request: entry.ticket.request,
        kind,
    }
}
