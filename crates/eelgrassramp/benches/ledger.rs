//! One decision of the ledger and its memory for each entry, at growing sizes.

use std::hint::black_box;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use eelgrassramp::Attempt;
use eelgrassramp::Incarnation;
use eelgrassramp::Monotonic;
use eelgrassramp::RequestId;
use eelgrassramp::ledger::DispatchDecision;
use eelgrassramp::ledger::DispatchHeader;
use eelgrassramp::ledger::Ledger;
use eelgrassramp::ledger::Limits;
use eelgrassramp::ledger::RunOutcome;

const SIZES: [u64; 3] = [1_000, 100_000, 1_000_000];
const PAGE_BYTES: u64 = 4096;

/// Spreads consecutive numbers over all identifiers, as random ones are.
fn request(n: u64) -> RequestId {
    let mixed = u128::from(n).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
    RequestId::from_bits(mixed)
}

/// A ledger that takes one request a millisecond and remembers each for `size` milliseconds.
struct Steady {
    ledger: Ledger,
    next: u64,
}

impl Steady {
    fn new(size: u64) -> Self {
        let limits = Limits {
            retention: Duration::from_millis(size),
            entries: usize::MAX,
            ..Limits::default()
        };
        let mut steady = Self {
            ledger: Ledger::new(Incarnation(1), 0, limits),
            next: 0,
        };
        for _ in 0..size {
            steady.run_one();
        }
        steady
    }

    fn claim(&self, n: u64) -> DispatchHeader {
        DispatchHeader {
            request: request(n),
            attempt: Attempt(0),
            incarnation: Incarnation(1),
            mark: Ledger::mark(self.now()),
            key: None,
        }
    }

    fn now(&self) -> Monotonic {
        Monotonic::from_millis(self.next)
    }

    /// Takes one request through its life; the oldest entry is forgotten on the way.
    fn run_one(&mut self) {
        self.next += 1;
        let claim = self.claim(self.next);
        let verdict = self.ledger.accept(self.now(), &claim, Ok(()));
        assert_eq!(verdict, DispatchDecision::Run);
        self.ledger.start(claim.request).expect("waiting");
        self.ledger
            .end(self.now(), claim.request, RunOutcome::Complete);
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("ledger");
    for size in SIZES {
        let before = resident_bytes();
        let mut steady = Steady::new(size);
        let grown = resident_bytes().saturating_sub(before);
        println!("ledger/{size}: {} resident bytes an entry", grown / size);

        group.bench_function(BenchmarkId::new("new", size), |b| {
            b.iter(|| steady.run_one());
        });
        let known = steady.claim(steady.next - size / 2);
        let now = steady.now();
        group.bench_function(BenchmarkId::new("duplicate", size), |b| {
            b.iter(|| black_box(steady.ledger.accept(now, &known, Ok(()))));
        });
    }
    group.finish();
}

/// Returns the resident memory of this process, as Linux tells it.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|t| t.parse().ok());
    pages.map_or(0, |pages: u64| pages * PAGE_BYTES)
}

criterion_group!(benches, decisions);
criterion_main!(benches);
