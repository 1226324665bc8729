//! Tests of the fair queue: service order, limits, displacement and fairness.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::Kind;
use eelgrassramp::Monotonic;
use eelgrassramp::RequestId;
use eelgrassramp::Tier;
use eelgrassramp::admission::FairQueue;
use eelgrassramp::admission::Limits;
use eelgrassramp::admission::PushOutcome;
use eelgrassramp::admission::QueuedRequest;
use eelgrassramp::admission::Ticket;
use googletest::prelude::*;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::prop_oneof;
use proptest::prelude::proptest;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestCaseError;

const LIMITS: Limits = Limits {
    items: 12,
    cost: 400,
    per_account_items: 5,
};

const UNLIMITED: Limits = Limits {
    items: 100_000,
    cost: u64::MAX,
    per_account_items: 100_000,
};

fn account(i: u8) -> AccountName {
    AccountName::new(format!("account-{i}"))
}

fn ticket(id: u128, tier: Tier, owner: u8, cost: u64) -> Ticket {
    Ticket {
        request: RequestId::from_bits(id),
        tier,
        account: account(owner),
        weight: 1,
        deadline: Monotonic::from_millis(1_000_000),
        cost,
        non_idempotent: tier == Tier::Order,
    }
}

#[derive(Debug, Clone)]
enum Step {
    Push {
        tier: Tier,
        owner: u8,
        weight: u32,
        cost: u64,
        lifetime_ms: u64,
    },
    Pop,
    Remove(u128),
    Advance(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let tier = proptest::sample::select(Tier::ALL.to_vec());
    let push = (tier, 0..4_u8, 0..4_u32, 0..500_u64, 0..60_u64).prop_map(
        |(tier, owner, weight, cost, lifetime_ms)| Step::Push {
            tier,
            owner,
            weight,
            cost,
            lifetime_ms,
        },
    );
    let step = prop_oneof![
        6 => push,
        2 => Just(Step::Pop),
        1 => (0..200_u128).prop_map(Step::Remove),
        1 => (0..20_u64).prop_map(Step::Advance),
    ];
    proptest::collection::vec(step, 1..200)
}

/// Reference model of the waiting requests.
#[derive(Default)]
struct Model {
    waiting: BTreeMap<RequestId, Ticket>,
}

impl Model {
    fn take(&mut self, entry: &QueuedRequest<()>) -> Result<(), TestCaseError> {
        let known = self.waiting.remove(&entry.ticket.request);
        prop_assert_eq!(known.as_ref(), Some(&entry.ticket), "lost or duplicated");
        Ok(())
    }

    fn least_urgent(&self) -> Option<Tier> {
        self.waiting.values().map(|t| t.tier).max()
    }

    fn pushed(
        &mut self,
        ticket: Ticket,
        out: PushOutcome<()>,
        now: Monotonic,
    ) -> Result<(), TestCaseError> {
        match out {
            PushOutcome::Queued { displaced } => {
                for entry in &displaced {
                    self.take(entry)?;
                }
                for entry in &displaced {
                    prop_assert!(entry.ticket.tier >= ticket.tier);
                    let same_tier = entry.ticket.tier == ticket.tier;
                    prop_assert!(!same_tier || entry.ticket.account != ticket.account);
                    prop_assert!(
                        !same_tier || self.least_urgent().is_none_or(|t| t <= ticket.tier)
                    );
                }
                self.waiting.insert(ticket.request, ticket);
            }
            PushOutcome::Refused { kind, entry } => {
                prop_assert_eq!(&entry.ticket, &ticket);
                prop_assert_eq!(kind == Kind::DeadlineExpired, ticket.deadline <= now);
                let less_urgent_waits = self.least_urgent().is_some_and(|t| t > Tier::Order);
                let refused_order = kind == Kind::Overloaded && ticket.tier == Tier::Order;
                prop_assert!(
                    !(refused_order && less_urgent_waits),
                    "order refused before drafts"
                );
            }
        }
        Ok(())
    }

    fn popped(&mut self, entry: &QueuedRequest<()>, now: Monotonic) -> Result<(), TestCaseError> {
        prop_assert!(entry.ticket.deadline > now);
        let most_urgent = self.waiting.values().map(|t| t.tier).min();
        prop_assert_eq!(Some(entry.ticket.tier), most_urgent);
        let same = |t: &&Ticket| t.tier == entry.ticket.tier && t.account == entry.ticket.account;
        let earliest = self.waiting.values().filter(same).map(|t| t.deadline).min();
        prop_assert_eq!(Some(entry.ticket.deadline), earliest);
        self.take(entry)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(20), ..ProptestConfig::default() })]

    #[test]
    fn any_operation_sequence_preserves_order_limits_and_requests(steps in steps()) {
        let mut queue = FairQueue::new(LIMITS);
        let mut model = Model::default();
        let mut now = Monotonic::ZERO;

        for (id, step) in (0_u128..).zip(steps) {
            match step {
                Step::Push { tier, owner, weight, cost, lifetime_ms } => {
                    let deadline = now + Duration::from_millis(lifetime_ms);
                    let ticket = Ticket { weight, deadline, ..ticket(id, tier, owner, cost) };
                    let out = queue.push(now, ticket.clone(), ());
                    model.pushed(ticket, out, now)?;
                }
                Step::Pop => {
                    if let Some(entry) = queue.pop(now) {
                        model.popped(&entry, now)?;
                    }
                }
                Step::Remove(id) => {
                    if let Some(entry) = queue.remove(RequestId::from_bits(id)) {
                        model.take(&entry)?;
                    }
                }
                Step::Advance(ms) => {
                    now = now + Duration::from_millis(ms);
                    for entry in queue.expire(now) {
                        prop_assert!(entry.ticket.deadline <= now);
                        model.take(&entry)?;
                    }
                }
            }

            prop_assert_eq!(queue.len(), model.waiting.len());
            prop_assert!(queue.len() <= LIMITS.items);
            prop_assert!(queue.cost() <= 2 * LIMITS.cost);
            prop_assert!(queue.accounts() <= queue.len() + Tier::ALL.len() * LIMITS.items);
            let next = model.waiting.values().map(|t| t.deadline).min();
            prop_assert_eq!(queue.next_deadline(), next);
        }

        while let Some(entry) = queue.pop(now) {
            model.popped(&entry, now)?;
        }
        prop_assert!(model.waiting.is_empty());
        prop_assert_eq!(queue.accounts(), 0);
    }

    #[test]
    fn weighted_service_of_two_accounts_differs_by_at_most_one_request_of_each(
        weights in proptest::collection::vec(1..5_u32, 2..5),
        costs in proptest::collection::vec(1..100_u64, 40),
    ) {
        let mut queue = FairQueue::new(UNLIMITED);
        let mut id = 0;
        for (owner, weight) in (0_u8..).zip(&weights) {
            for cost in &costs {
                id += 1;
                let ticket = Ticket { weight: *weight, ..ticket(id, Tier::Standard, owner, *cost) };
                queue.push(Monotonic::ZERO, ticket, owner);
            }
        }
        let longest = costs.iter().copied().max().unwrap_or_default() as f64;
        let mut served = vec![0.0; weights.len()];

        // All accounts stay backlogged: each has as many requests as are served in total.
        for _ in 0..costs.len() {
            let Some(entry) = queue.pop(Monotonic::ZERO) else { break };
            served[usize::from(entry.item)] += entry.ticket.cost as f64;

            for (i, wi) in weights.iter().enumerate() {
                for (j, wj) in weights.iter().enumerate() {
                    let (wi, wj) = (f64::from(*wi), f64::from(*wj));
                    let gap = served[i] / wi - served[j] / wj;
                    prop_assert!(gap <= longest / wi + longest / wj + 0.001, "gap {gap}");
                }
            }
        }
    }
}

#[gtest]
fn a_small_account_is_admitted_to_a_queue_filled_by_a_large_one() -> googletest::Result<()> {
    let mut queue = FairQueue::new(Limits {
        per_account_items: 100,
        ..LIMITS
    });
    for id in 0..20 {
        queue.push(Monotonic::ZERO, ticket(id, Tier::Order, 0, 10), ());
    }

    let pushed = queue.push(Monotonic::ZERO, ticket(100, Tier::Order, 1, 10), ());

    let PushOutcome::Queued { displaced } = pushed else {
        return fail!("the small account was refused");
    };
    expect_that!(displaced.len(), eq(1));
    expect_that!(displaced[0].ticket.account, eq(&account(0)));
    let served: Vec<_> = (0..2).filter_map(|_| queue.pop(Monotonic::ZERO)).collect();
    let owners: Vec<_> = served.iter().map(|e| &e.ticket.account).collect();
    verify_that!(owners, contains(eq(&&account(1))))
}

#[gtest]
fn an_account_keeps_its_virtual_start_time_while_idle() -> googletest::Result<()> {
    let mut queue = FairQueue::new(UNLIMITED);
    queue.push(Monotonic::ZERO, ticket(0, Tier::Draft, 0, 1000), ());
    for id in 1..=20 {
        queue.push(Monotonic::ZERO, ticket(id, Tier::Draft, 1, 10), ());
    }
    let first = queue.pop(Monotonic::ZERO);

    queue.push(Monotonic::ZERO, ticket(100, Tier::Draft, 0, 1000), ());
    let next: Vec<_> = (0..20).filter_map(|_| queue.pop(Monotonic::ZERO)).collect();

    expect_that!(first.map(|e| e.ticket.account), some(eq(&account(0))));
    let owners: Vec<_> = next.iter().map(|e| &e.ticket.account).collect();
    verify_that!(owners, each(eq(&&account(1))))
}

#[gtest]
fn an_order_may_exceed_the_account_limit_and_displaces_the_least_urgent_request()
-> googletest::Result<()> {
    let mut queue = FairQueue::new(LIMITS);
    for id in 0..6 {
        queue.push(Monotonic::ZERO, ticket(id, Tier::Order, 0, 10), ());
    }
    let rest = [Tier::Batch, Tier::Draft, Tier::Standard];
    for (id, tier) in (10..).zip(rest.into_iter().cycle().take(6)) {
        queue.push(Monotonic::ZERO, ticket(id, tier, 1, 10), ());
    }

    let pushed = queue.push(Monotonic::ZERO, ticket(100, Tier::Order, 0, 10), ());

    let PushOutcome::Queued { displaced } = pushed else {
        return fail!("the order was refused");
    };
    let tiers: Vec<_> = displaced.iter().map(|e| e.ticket.tier).collect();
    verify_that!(tiers, elements_are![eq(&Tier::Batch)])
}
