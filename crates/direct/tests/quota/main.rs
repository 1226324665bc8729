//! Quotas over several entries that hear each other late, or not at all.

mod fleet;

use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;
use eelgrassramp_direct::deployment::Quota;
use eelgrassramp_direct::quota::AccountUse;
use eelgrassramp_direct::quota::Demand;
use eelgrassramp_direct::quota::Quotas;
use eelgrassramp_direct::quota::Tolerance;
use eelgrassramp_direct::request_queue::Priority;
use googletest::prelude::*;

/// Units of each request.
const UNITS: f64 = 4_000.0;

const WINDOW_MS: u64 = 8_000;

const QUOTA: Quota = Quota {
    per_second: 100_000.0,
    burst: 100_000.0,
    counts_tokens: true,
    undeclared_tokens: 200,
};

const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_millis(WINDOW_MS),
    ratio: 0.1,
    units: 190_000.0,
};

fn account() -> AccountName {
    AccountName::from("shop")
}

fn name(entry: usize) -> EntryName {
    EntryName::new(format!("entry-{entry}"))
}

fn demand(units: f64, rank: u32) -> Demand {
    Demand {
        units,
        urgency: Priority::new(None, rank),
    }
}

/// Entries of which each has the same demand, with an exchange every 200 ms.
struct Fleet {
    entries: Vec<Quotas>,
    admitted: Vec<(u64, f64)>,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let mut entries: Vec<Quotas> = (0..size).map(|_| Quotas::new(TOLERANCE)).collect();
        for (own, quotas) in entries.iter_mut().enumerate() {
            for other in (0..size).filter(|other| *other != own) {
                quotas.expect(Monotonic::ZERO, &name(other));
            }
        }
        Self {
            entries,
            admitted: Vec::new(),
        }
    }

    /// Each entry is asked for 4,000 units every `gap_ms`.
    fn play(
        &mut self,
        from_ms: u64,
        to_ms: u64,
        gap_ms: u64,
        hears: impl Fn(usize, usize) -> bool,
    ) {
        for ms in from_ms..to_ms {
            let now = Monotonic::from_millis(ms);
            if ms % 200 == 0 {
                self.exchange(now, &hears);
            }
            for entry in 0..self.entries.len() {
                let is_due = (ms + 7 * entry as u64).is_multiple_of(gap_ms);
                if is_due && self.take(now, entry, UNITS) {
                    self.admitted.push((ms, UNITS));
                }
            }
        }
    }

    fn take(&mut self, now: Monotonic, entry: usize, units: f64) -> bool {
        let taken = self.entries[entry].take(now, &account(), &QUOTA, demand(units, 0));
        taken.is_ok()
    }

    fn exchange(&mut self, now: Monotonic, hears: &impl Fn(usize, usize) -> bool) {
        for from in 0..self.entries.len() {
            let usage = self.entries[from].usage(now);
            for to in (0..self.entries.len()).filter(|to| *to != from) {
                if hears(to, from) {
                    self.entries[to].hear(now, &name(from), 1, &usage);
                }
            }
        }
    }

    fn most_in_a_window(&self) -> f64 {
        let sum_from = |start: u64| -> f64 {
            let within = self
                .admitted
                .iter()
                .filter(|(ms, _)| (start..start + WINDOW_MS).contains(ms));
            within.map(|(_, units)| units).sum()
        };
        self.admitted
            .iter()
            .map(|(ms, _)| sum_from(*ms))
            .fold(0.0, f64::max)
    }
}

/// Returns the most units that may be admitted in a window over all entries.
fn allowed(quota: &Quota) -> f64 {
    let seconds = WINDOW_MS as f64 / 1_000.0;
    (quota.per_second * seconds + quota.burst) * (1.0 + TOLERANCE.ratio) + TOLERANCE.units
}

#[gtest]
fn a_demand_of_six_times_the_quota_stays_within_it_over_all_entries() {
    let mut fleet = Fleet::new(5);

    fleet.play(0, 20_000, 33, |_, _| true);

    expect_that!(fleet.most_in_a_window(), le(allowed(&QUOTA)));
    expect_that!(fleet.most_in_a_window(), ge(QUOTA.per_second * 8.0));
}

#[gtest]
fn a_cut_between_entries_does_not_double_the_quota() {
    let mut fleet = Fleet::new(5);
    let is_together = |a: usize, b: usize| (a < 2) == (b < 2);

    fleet.play(0, 8_000, 67, |_, _| true);
    fleet.play(8_000, 24_000, 67, is_together);
    fleet.play(24_000, 34_000, 67, |_, _| true);

    expect_that!(fleet.most_in_a_window(), le(allowed(&QUOTA)));
}

#[gtest]
fn entries_that_never_hear_each_other_share_the_quota() {
    let mut fleet = Fleet::new(4);

    fleet.play(0, 16_000, 40, |_, _| false);

    expect_that!(fleet.most_in_a_window(), le(allowed(&QUOTA)));
}

#[gtest]
fn an_entry_that_is_known_to_be_down_leaves_its_part_to_the_others() {
    let now = Monotonic::from_millis(8_000);
    let drained = |quotas: &mut Quotas| {
        let mut units = 0.0;
        while quotas
            .take(now, &account(), &QUOTA, demand(1_000.0, 0))
            .is_ok()
        {
            units += 1_000.0;
        }
        units
    };
    let mut silent = Quotas::new(Tolerance::NONE);
    silent.expect(Monotonic::ZERO, &name(1));
    let mut down = Quotas::new(Tolerance::NONE);
    down.expect(Monotonic::ZERO, &name(1));
    down.set_down(Monotonic::from_millis(6_000), &name(1));
    for quotas in [&mut silent, &mut down] {
        let _first = quotas.take(
            Monotonic::from_millis(7_500),
            &account(),
            &QUOTA,
            demand(60_000.0, 0),
        );
    }

    let (with_silent, with_down) = (drained(&mut silent), drained(&mut down));

    expect_that!(with_down, gt(with_silent));
}

#[gtest]
fn what_is_left_of_a_quota_goes_to_the_more_urgent_route() {
    let mut quotas = Quotas::new(Tolerance::NONE);
    let now = Monotonic::from_millis(10);
    while quotas
        .take(now, &account(), &QUOTA, demand(2_000.0, 2))
        .is_ok()
    {}

    let draft = quotas.take(now, &account(), &QUOTA, demand(2_000.0, 2));
    let urgent = quotas.take(now, &account(), &QUOTA, demand(2_000.0, 0));

    expect_that!(draft, err(anything()));
    expect_that!(urgent, ok(anything()));
}

#[gtest]
fn a_lower_limit_holds_at_once() {
    let mut quotas = Quotas::new(Tolerance::NONE);
    let lower = Quota {
        per_second: 1_000.0,
        burst: 1_000.0,
        ..QUOTA
    };
    let _first = quotas.take(Monotonic::ZERO, &account(), &QUOTA, demand(1.0, 0));

    let later = Monotonic::from_millis(10_000);
    let first = quotas.take(later, &account(), &lower, demand(1_500.0, 0));
    let second = quotas.take(later, &account(), &lower, demand(1_500.0, 0));

    expect_that!(first, ok(anything()));
    expect_that!(second, err(anything()));
}

#[gtest]
fn units_of_a_request_that_did_not_run_are_given_back() {
    let mut quotas = Quotas::new(Tolerance::NONE);
    let now = Monotonic::from_millis(10);
    let taken = quotas.take(now, &account(), &QUOTA, demand(90_000.0, 0));
    expect_that!(taken, ok(anything()));

    quotas.give_back(&account(), 90_000.0);

    let again = quotas.take(now, &account(), &QUOTA, demand(1_000.0, 0));
    expect_that!(again, ok(anything()));
}

#[gtest]
fn an_entry_that_comes_back_after_it_was_forgotten_does_not_block_the_account() {
    let mut quotas = Quotas::new(Tolerance::NONE);
    let long_ago = AccountUse {
        account: account(),
        admitted: 50.0 * QUOTA.per_second,
        asked: 1_000.0,
        level: 0.0,
    };
    let start = Monotonic::from_millis(100);
    quotas.hear(start, &name(1), 1, &[]);
    let _first = quotas.take(start, &account(), &QUOTA, demand(1_000.0, 0));
    quotas.forget(&name(1));

    quotas.hear(Monotonic::from_millis(30_000), &name(1), 1, &[long_ago]);

    let soon = Monotonic::from_millis(31_000);
    let taken = quotas.take(soon, &account(), &QUOTA, demand(1_000.0, 0));
    expect_that!(taken, ok(anything()));
}
