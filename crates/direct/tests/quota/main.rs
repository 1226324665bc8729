//! Quota enforcement over several entries whose usage reports are late or lost.

mod fleet;
mod returns;

use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;
use eelgrassramp_direct::quota::AccountUsage;
use eelgrassramp_direct::quota::CallerAttempt;
use eelgrassramp_direct::quota::Quotas;
use eelgrassramp_direct::quota::RequestCost;
use eelgrassramp_direct::quota::Tolerance;
use eelgrassramp_direct::request_queue::Priority;
use eelgrassramp_direct::tables::Quota;
use googletest::prelude::*;

/// Cost of each request in units.
const UNITS: f64 = 4_000.0;

const WINDOW_MS: u64 = 8_000;

const QUOTA: Quota = Quota {
    per_second: 100_000.0,
    burst: 100_000.0,
    counts_tokens: true,
    default_tokens: 200,
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

fn cost(units: f64, route_priority: u32) -> RequestCost {
    RequestCost {
        units,
        priority: Priority::new(None, route_priority),
        attempt: CallerAttempt::First,
        slack: Duration::from_millis(400),
    }
}

/// Entries with equal demand that exchange usage reports every 200 ms.
struct Fleet {
    entries: Vec<Quotas>,
    admitted: Vec<(u64, f64)>,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let mut entries: Vec<Quotas> = (0..size).map(|_| Quotas::new(TOLERANCE)).collect();
        for (own, quotas) in entries.iter_mut().enumerate() {
            for other in (0..size).filter(|other| *other != own) {
                quotas.add_peer(Monotonic::ZERO, &name(other));
            }
        }
        Self {
            entries,
            admitted: Vec::new(),
        }
    }

    /// Sends each entry a request of [`UNITS`] units every `interval_ms`.
    fn run(
        &mut self,
        from_ms: u64,
        to_ms: u64,
        interval_ms: u64,
        can_receive: impl Fn(usize, usize) -> bool,
    ) {
        for ms in from_ms..to_ms {
            let now = Monotonic::from_millis(ms);
            if ms % 200 == 0 {
                self.exchange_reports(now, &can_receive);
            }
            for entry in 0..self.entries.len() {
                let is_due = (ms + 7 * entry as u64).is_multiple_of(interval_ms);
                if is_due && self.try_acquire(now, entry, UNITS) {
                    self.admitted.push((ms, UNITS));
                }
            }
        }
    }

    fn try_acquire(&mut self, now: Monotonic, entry: usize, units: f64) -> bool {
        let result = self.entries[entry].try_acquire(now, &account(), &QUOTA, cost(units, 0));
        result.is_ok()
    }

    fn exchange_reports(&mut self, now: Monotonic, can_receive: &impl Fn(usize, usize) -> bool) {
        for from in 0..self.entries.len() {
            let usage = self.entries[from].usage(now);
            for to in (0..self.entries.len()).filter(|to| *to != from) {
                if can_receive(to, from) {
                    self.entries[to].apply_peer_usage(now, &name(from), 1, &usage);
                }
            }
        }
    }

    /// Lets entries that cannot exchange reports find that connections to each other are refused.
    fn refuse_connections(&mut self, ms: u64, can_connect: impl Fn(usize, usize) -> bool) {
        let now = Monotonic::from_millis(ms);
        for from in 0..self.entries.len() {
            for to in (0..self.entries.len()).filter(|to| !can_connect(from, *to)) {
                self.entries[from].mark_peer_down(now, &name(to));
            }
        }
    }

    fn max_admitted_in_window(&self) -> f64 {
        let sum_in_window = |start: u64| -> f64 {
            let within = self
                .admitted
                .iter()
                .filter(|(ms, _)| (start..start + WINDOW_MS).contains(ms));
            within.map(|(_, units)| units).sum()
        };
        self.admitted
            .iter()
            .map(|(ms, _)| sum_in_window(*ms))
            .fold(0.0, f64::max)
    }
}

/// Returns the maximum number of units that all entries together may admit in a window.
fn allowed(quota: &Quota) -> f64 {
    let seconds = WINDOW_MS as f64 / 1_000.0;
    (quota.per_second * seconds + quota.burst) * (1.0 + TOLERANCE.ratio) + TOLERANCE.units
}

#[gtest]
fn a_demand_of_six_times_the_quota_stays_within_it_over_all_entries() {
    let mut fleet = Fleet::new(5);

    fleet.run(0, 20_000, 33, |_, _| true);

    expect_that!(fleet.max_admitted_in_window(), le(allowed(&QUOTA)));
    expect_that!(fleet.max_admitted_in_window(), ge(QUOTA.per_second * 8.0));
}

#[gtest]
fn a_network_partition_does_not_double_the_quota() {
    let mut fleet = Fleet::new(5);
    let is_same_partition = |a: usize, b: usize| (a < 2) == (b < 2);

    fleet.run(0, 8_000, 67, |_, _| true);
    fleet.run(8_000, 24_000, 67, is_same_partition);
    fleet.run(24_000, 34_000, 67, |_, _| true);

    expect_that!(fleet.max_admitted_in_window(), le(allowed(&QUOTA)));
}

/// Guards against a cut that refuses connections, which looks like the end of the processes on its other side:
/// both sides then spent the whole quota.
#[gtest]
fn a_network_partition_that_refuses_connections_does_not_double_the_quota() {
    for (size, cut_off, retry_ms) in [
        (2, 1, 400),
        (4, 1, 400),
        (4, 1, 2_000),
        (4, 2, 400),
        (5, 2, 400),
        (5, 2, 2_000),
        (12, 3, 400),
    ] {
        let interval_ms = 13 * size as u64;
        let mut fleet = Fleet::new(size);
        let is_same_partition = |a: usize, b: usize| (a < cut_off) == (b < cut_off);

        fleet.run(0, 8_000, interval_ms, |_, _| true);
        for from_ms in (8_000..20_000).step_by(retry_ms) {
            fleet.refuse_connections(from_ms, is_same_partition);
            fleet.run(
                from_ms,
                from_ms + retry_ms as u64,
                interval_ms,
                is_same_partition,
            );
        }
        fleet.run(20_000, 30_000, interval_ms, |_, _| true);

        expect_that!(
            fleet.max_admitted_in_window(),
            le(allowed(&QUOTA)),
            "{cut_off} of {size} cut off, tried again after {retry_ms} ms"
        );
    }
}

#[gtest]
fn entries_without_any_exchange_share_the_quota() {
    let mut fleet = Fleet::new(4);

    fleet.run(0, 16_000, 40, |_, _| false);

    expect_that!(fleet.max_admitted_in_window(), le(allowed(&QUOTA)));
}

#[gtest]
fn the_share_of_an_entry_known_to_be_down_goes_to_the_others() {
    let now = Monotonic::from_millis(8_000);
    let acquire_all = |quotas: &mut Quotas| {
        let mut units = 0.0;
        while quotas
            .try_acquire(now, &account(), &QUOTA, cost(1_000.0, 0))
            .is_ok()
        {
            units += 1_000.0;
        }
        units
    };
    let mut silent = Quotas::new(Tolerance::NONE);
    silent.add_peer(Monotonic::ZERO, &name(1));
    let mut down = Quotas::new(Tolerance::NONE);
    down.add_peer(Monotonic::ZERO, &name(1));
    down.mark_peer_down(Monotonic::from_millis(6_000), &name(1));
    for quotas in [&mut silent, &mut down] {
        let _first = quotas.try_acquire(
            Monotonic::from_millis(7_500),
            &account(),
            &QUOTA,
            cost(60_000.0, 0),
        );
    }

    let (with_silent, with_down) = (acquire_all(&mut silent), acquire_all(&mut down));

    expect_that!(with_down, gt(with_silent));
}

#[gtest]
fn the_last_units_of_a_quota_are_reserved_for_the_route_of_higher_priority() {
    let mut quotas = Quotas::new(Tolerance::NONE);
    let now = Monotonic::from_millis(10);
    while quotas
        .try_acquire(now, &account(), &QUOTA, cost(2_000.0, 2))
        .is_ok()
    {}

    let low_priority = quotas.try_acquire(now, &account(), &QUOTA, cost(2_000.0, 2));
    let high_priority = quotas.try_acquire(now, &account(), &QUOTA, cost(2_000.0, 0));

    expect_that!(low_priority, err(anything()));
    expect_that!(high_priority, ok(anything()));
}

#[gtest]
fn a_lowered_quota_takes_effect_immediately() {
    let mut quotas = Quotas::new(Tolerance::NONE);
    let lower = Quota {
        per_second: 1_000.0,
        burst: 1_000.0,
        ..QUOTA
    };
    let _first = quotas.try_acquire(Monotonic::ZERO, &account(), &QUOTA, cost(1.0, 0));

    let later = Monotonic::from_millis(10_000);
    let first = quotas.try_acquire(later, &account(), &lower, cost(1_500.0, 0));
    let second = quotas.try_acquire(later, &account(), &lower, cost(1_500.0, 0));

    expect_that!(first, ok(anything()));
    expect_that!(second, err(anything()));
}

#[gtest]
fn units_of_a_request_that_was_not_executed_are_refunded() {
    let mut quotas = Quotas::new(Tolerance::NONE);
    let now = Monotonic::from_millis(10);
    let result = quotas.try_acquire(now, &account(), &QUOTA, cost(90_000.0, 0));
    expect_that!(result, ok(anything()));

    quotas.refund(&account(), 90_000.0);

    let retried = quotas.try_acquire(now, &account(), &QUOTA, cost(1_000.0, 0));
    expect_that!(retried, ok(anything()));
}

#[gtest]
fn an_entry_that_returns_after_its_removal_does_not_block_the_account() {
    let mut quotas = Quotas::new(Tolerance::NONE);
    let old_usage = AccountUsage {
        account: account(),
        admitted: 50.0 * QUOTA.per_second,
        demand_per_second: 1_000.0,
        level: 0.0,
    };
    let start = Monotonic::from_millis(100);
    quotas.apply_peer_usage(start, &name(1), 1, &[]);
    let _first = quotas.try_acquire(start, &account(), &QUOTA, cost(1_000.0, 0));
    quotas.remove_peer(&name(1));

    quotas.apply_peer_usage(Monotonic::from_millis(30_000), &name(1), 1, &[old_usage]);

    let later = Monotonic::from_millis(31_000);
    let result = quotas.try_acquire(later, &account(), &QUOTA, cost(1_000.0, 0));
    expect_that!(result, ok(anything()));
}
