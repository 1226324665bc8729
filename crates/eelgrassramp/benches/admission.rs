//! Time of one push and one pop at a constant queue length, by number of client accounts.

use std::hint::black_box;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use eelgrassramp::AccountName;
use eelgrassramp::Monotonic;
use eelgrassramp::RequestId;
use eelgrassramp::Tier;
use eelgrassramp::admission::FairQueue;
use eelgrassramp::admission::Limits;
use eelgrassramp::admission::Ticket;

const LIMITS: Limits = Limits {
    items: 100_000,
    cost: u64::MAX,
    per_account_items: 1_000,
};
const QUEUED: u64 = 8_000;
const LIFETIME_MS: u64 = 8_000;

fn ticket(id: u64, accounts: &[AccountName]) -> Ticket {
    let i = usize::try_from(id).unwrap_or(usize::MAX);
    Ticket {
        request: RequestId::from_bits(u128::from(id)),
        tier: Tier::ALL[i % Tier::ALL.len()],
        account: accounts[i % accounts.len()].clone(),
        weight: 1,
        deadline: Monotonic::from_millis(LIFETIME_MS + id),
        cost: 100 + id % 900,
        non_idempotent: false,
    }
}

fn push_and_pop(c: &mut Criterion) {
    let mut group = c.benchmark_group("admission/push+pop");
    for accounts in [10_usize, 1_000, 8_000] {
        let names: Vec<_> = (0..accounts)
            .map(|i| AccountName::new(format!("account-{i}")))
            .collect();
        let mut queue = FairQueue::new(LIMITS);
        let mut id = 0;
        while id < QUEUED {
            queue.push(Monotonic::ZERO, ticket(id, &names), ());
            id += 1;
        }
        group.bench_function(BenchmarkId::from_parameter(accounts), |b| {
            b.iter(|| {
                queue.push(Monotonic::ZERO, ticket(id, &names), ());
                id += 1;
                black_box(queue.pop(Monotonic::ZERO))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, push_and_pop);
criterion_main!(benches);
