//! Time of one ledger decision and memory per entry, for several ledger sizes.

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

/// Distributes consecutive numbers over the whole range of identifiers, like random ones.
fn request(n: u64) -> RequestId {
    let mixed = u128::from(n).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
    RequestId::from_bits(mixed)
}

/// A ledger that accepts one request per millisecond and records each for `size` milliseconds.
struct SteadyLedger {
    ledger: Ledger,
    next: u64,
}

impl SteadyLedger {
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

    fn header(&self, n: u64) -> DispatchHeader {
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

    /// Accepts, starts and ends one request; the oldest record expires meanwhile.
    fn run_one(&mut self) {
        self.next += 1;
        let header = self.header(self.next);
        let decision = self.ledger.accept(self.now(), &header, Ok(()));
        assert_eq!(decision, DispatchDecision::Run);
        self.ledger.start(header.request).expect("waiting");
        self.ledger
            .end(self.now(), header.request, RunOutcome::Complete);
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("ledger");
    for size in SIZES {
        let before = resident_bytes();
        let mut steady = SteadyLedger::new(size);
        let grown = resident_bytes().saturating_sub(before);
        println!("ledger/{size}: {} resident bytes an entry", grown / size);

        group.bench_function(BenchmarkId::new("new", size), |b| {
            b.iter(|| steady.run_one());
        });
        let recorded = steady.header(steady.next - size / 2);
        let now = steady.now();
        group.bench_function(BenchmarkId::new("duplicate", size), |b| {
            b.iter(|| black_box(steady.ledger.accept(now, &recorded, Ok(()))));
        });
    }
    group.finish();
}

/// Returns the resident memory of this process, as reported by Linux.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|t| t.parse().ok());
    pages.map_or(0, |pages: u64| pages * PAGE_BYTES)
}

criterion_group!(benches, decisions);
criterion_main!(benches);
