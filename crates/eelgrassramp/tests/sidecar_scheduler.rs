//! The sidecar's scheduler: single decisions, and invariants over random sequences of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::Kind;
use eelgrassramp::Monotonic;
use eelgrassramp::RequestId;
use eelgrassramp::Tier;
use eelgrassramp::admission::Limits;
use eelgrassramp::admission::Ticket;
use eelgrassramp::sidecar::Capacity;
use eelgrassramp::sidecar::Scheduler;
use eelgrassramp::sidecar::SchedulerAction;
use googletest::prelude::*;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::proptest;

const SLOTS: u32 = 3;
const QUEUE_ITEMS: usize = 4;
const FAR_DEADLINE_MS: u64 = 1_000_000;

fn scheduler() -> Scheduler {
    Scheduler::new(Capacity {
        slots: SLOTS,
        queue: Limits {
            items: QUEUE_ITEMS,
            cost: 10_000,
            per_account_items: QUEUE_ITEMS,
        },
        reference_tokens_per_second: 50.0,
    })
}

fn ticket(id: u128, tier: Tier, deadline_ms: u64) -> Ticket {
    Ticket {
        request: RequestId::from_bits(id),
        tier,
        account: AccountName::from("counter-ica"),
        weight: 1,
        deadline: Monotonic::from_millis(deadline_ms),
        cost: 50,
        non_idempotent: false,
    }
}

fn at(ms: u64) -> Monotonic {
    Monotonic::from_millis(ms)
}

fn started(request: u128) -> SchedulerAction {
    SchedulerAction::Start(RequestId::from_bits(request))
}

#[googletest::test]
fn the_cheapest_prefill_is_preempted_first() {
    let mut scheduler = scheduler();
    for (id, prefill) in [(1, 900), (2, 30), (3, 400)] {
        scheduler.offer(at(0), ticket(id, Tier::Draft, FAR_DEADLINE_MS), prefill);
    }

    let actions = scheduler.offer(at(1), ticket(4, Tier::Order, FAR_DEADLINE_MS), 10);
    let freed = scheduler.complete(at(2), RequestId::from_bits(2));

    let preempted = SchedulerAction::Preempt(RequestId::from_bits(2));
    expect_that!(actions, elements_are![eq(&preempted)]);
    expect_that!(freed, elements_are![eq(&started(4))]);
}

#[googletest::test]
fn the_floor_rises_while_orders_wait_and_decays_slowly() {
    let mut scheduler = scheduler();
    for id in 1..=u128::from(SLOTS) {
        scheduler.offer(at(0), ticket(id, Tier::Order, FAR_DEADLINE_MS), 10);
    }
    scheduler.offer(at(0), ticket(10, Tier::Order, FAR_DEADLINE_MS), 10);

    let mut floors = Vec::new();
    for ms in [100, 200, 300, 400] {
        scheduler.tick(at(ms));
        floors.push(scheduler.floor());
    }
    let refused = scheduler.offer(at(400), ticket(11, Tier::Interactive, FAR_DEADLINE_MS), 10);
    scheduler.complete(at(500), RequestId::from_bits(1));
    scheduler.tick(at(1_300));
    let floor_before_decay = scheduler.floor();
    scheduler.tick(at(1_500));
    let floor_after_decay = scheduler.floor();

    let rising = [Tier::Draft, Tier::Standard, Tier::Interactive, Tier::Order];
    let kind = Kind::Overloaded;
    let request = RequestId::from_bits(11);
    expect_that!(floors, container_eq(rising));
    expect_that!(
        refused,
        elements_are![eq(&SchedulerAction::Refuse { request, kind })]
    );
    expect_that!(floor_before_decay, eq(Tier::Order));
    expect_that!(floor_after_decay, eq(Tier::Interactive));
}

#[googletest::test]
fn work_that_cannot_meet_its_deadline_is_refused_before_prefill() {
    let mut scheduler = scheduler();
    scheduler.record_completion(50, Duration::from_secs(1));
    scheduler.offer(at(0), ticket(1, Tier::Interactive, FAR_DEADLINE_MS), 10);

    let unmeetable = scheduler.offer(at(0), ticket(2, Tier::Interactive, 900), 10);
    let meetable = scheduler.offer(at(0), ticket(3, Tier::Interactive, 1_100), 10);

    let request = RequestId::from_bits(2);
    let kind = Kind::DeadlineUnmeetable;
    expect_that!(
        unmeetable,
        elements_are![eq(&SchedulerAction::Refuse { request, kind })]
    );
    expect_that!(meetable, elements_are![eq(&started(3))]);
}

#[googletest::test]
fn an_order_is_not_refused_on_a_prediction_while_less_urgent_work_runs() {
    let mut scheduler = scheduler();
    scheduler.record_completion(50, Duration::from_secs(1));
    scheduler.offer(at(0), ticket(1, Tier::Draft, FAR_DEADLINE_MS), 10);

    let order = scheduler.offer(at(0), ticket(2, Tier::Order, 900), 10);

    expect_that!(order, elements_are![eq(&started(2))]);
}

#[googletest::test]
fn an_idle_endpoint_accepts_a_request_even_if_it_was_slow() {
    let mut scheduler = scheduler();
    scheduler.record_completion(50, Duration::from_secs(100));

    let actions = scheduler.offer(at(0), ticket(1, Tier::Interactive, 900), 10);

    expect_that!(actions, elements_are![eq(&started(1))]);
}

#[derive(Debug, Clone, Copy)]
enum Op {
    Offer {
        tier: Tier,
        left_ms: u64,
        non_idempotent: bool,
    },
    /// Completes the running request at this position.
    Complete(usize),
    Tick,
}

fn op() -> impl Strategy<Value = (u64, Op)> {
    let offer = (0..Tier::ALL.len(), 1..5_000_u64, any::<bool>()).prop_map(
        |(tier, left_ms, non_idempotent)| Op::Offer {
            tier: Tier::ALL[tier],
            left_ms,
            non_idempotent,
        },
    );
    let op = proptest::prop_oneof![
        3 => offer,
        2 => (0..8_usize).prop_map(Op::Complete),
        1 => proptest::prelude::Just(Op::Tick),
    ];
    (0..300_u64, op)
}

/// Tracks waiting and running requests from the calls and actions of the scheduler.
#[derive(Debug, Default)]
struct Observer {
    waiting: BTreeMap<RequestId, Tier>,
    running: BTreeMap<RequestId, Tier>,
}

impl Observer {
    fn check(&mut self, actions: &[SchedulerAction]) {
        for action in actions {
            match *action {
                SchedulerAction::Start(request) => self.check_start(request),
                SchedulerAction::Refuse { request, kind } => self.check_refusal(request, kind),
                SchedulerAction::Preempt(request) => {
                    assert!(
                        self.running[&request] > Tier::Order,
                        "an order was preempted"
                    );
                    assert!(self.orders_wait(), "preempted although no order waits");
                }
            }
        }
        assert!(
            self.running.len() <= 3,
            "more requests run than there are slots"
        );
    }

    fn check_start(&mut self, request: RequestId) {
        let tier = self
            .waiting
            .remove(&request)
            .expect("only waiting requests are started");
        let most_urgent = self.waiting.values().min();
        assert!(
            most_urgent.is_none_or(|t| tier <= *t),
            "more urgent work still waits"
        );
        self.running.insert(request, tier);
    }

    fn check_refusal(&mut self, request: RequestId, kind: Kind) {
        let tier = self
            .waiting
            .remove(&request)
            .expect("only waiting requests are refused");
        let is_for_lack_of_room = matches!(kind, Kind::Overloaded | Kind::Displaced);
        let has_lower_waiting = self.waiting.values().any(|t| *t > Tier::Order);
        assert!(
            !(tier == Tier::Order && is_for_lack_of_room && has_lower_waiting),
            "an order was refused for lack of room while lower tiers wait"
        );
    }

    fn orders_wait(&self) -> bool {
        self.waiting.values().any(|t| *t == Tier::Order)
    }
}

proptest! {
    #[test]
    fn orders_go_first_and_every_request_ends_once(ops in proptest::collection::vec(op(), 1..150)) {
        let mut scheduler = scheduler();
        let mut observer = Observer::default();
        let mut now = 0;
        for (i, (pause, op)) in ops.into_iter().enumerate() {
            now += pause;
            let actions = match op {
                Op::Offer { tier, left_ms, non_idempotent } => {
                    let id = u128::try_from(i).expect("small");
                    let mut ticket = ticket(id, tier, now + left_ms);
                    ticket.non_idempotent = non_idempotent;
                    observer.waiting.insert(ticket.request, tier);
                    scheduler.offer(at(now), ticket, 10)
                }
                Op::Complete(nth) => {
                    let Some(request) = observer.running.keys().nth(nth).copied() else {
                        continue;
                    };
                    observer.running.remove(&request);
                    scheduler.record_completion(50, Duration::from_millis(500));
                    scheduler.complete(at(now), request)
                }
                Op::Tick => scheduler.tick(at(now)),
            };
            observer.check(&actions);
            assert_eq!(scheduler.running(), observer.running.len());
            assert_eq!(scheduler.queued(), observer.waiting.len());
        }
    }
}
