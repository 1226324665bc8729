//! Simulation of quota enforcement while entries are partitioned, frozen, killed and restarted and
//! one account's demand is several times its quota.

use std::collections::HashMap;
use std::ops::Range;

use eelgrassramp::Monotonic;
use eelgrassramp_direct::quota::AccountUsage;
use eelgrassramp_direct::quota::Quotas;
use eelgrassramp_direct::tables::Quota;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::TOLERANCE;
use super::WINDOW_MS;
use super::account;
use super::cost;
use super::name;

/// Duration of a simulation.
const RUN_MS: u64 = 32_000;

/// Exchange interval of two entries in one failure domain.
const EXCHANGE_MS: u64 = 100;

/// Longest exchange interval of two entries in a fleet of up to 150.
const FAR_EXCHANGE_MS: u64 = 300;

/// Time after which a stopped entry is detected as down.
const DOWN_DETECTION_MS: u64 = 300;

/// Mean cost of a request in units.
const MEAN_UNITS: f64 = 4_000.0;

const QUOTA: Quota = Quota {
    per_second: 157_000.0,
    burst: 157_000.0,
    counts_tokens: true,
    default_tokens: 200,
};

fn allowed() -> f64 {
    super::allowed(&QUOTA)
}

/// A fault of one entry.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Messages between the entry and all others are lost.
    Partitioned,
    /// Connections between the entry and all others are refused.
    Refused,
    /// The process does not make progress.
    Frozen,
    /// The process is stopped, which the others detect, and restarts when the fault ends.
    Down,
}

#[derive(Debug, Clone, Copy)]
struct FaultEvent {
    entry: usize,
    fault: Fault,
    from_ms: u64,
    to_ms: u64,
}

/// The account's demand on one entry as a fraction of its quota, with one change.
#[derive(Debug, Clone, Copy)]
struct Load {
    before: f64,
    after: f64,
}

struct Fleet {
    rng: StdRng,
    entries: Vec<Quotas>,
    incarnations: Vec<u64>,
    events: Vec<FaultEvent>,
    loads: Vec<Load>,
    overload_from_ms: u64,
    exchange_ms: u64,
    admitted: Vec<(u64, f64)>,
    /// Last report of each entry to each other one; cleared when a message between them is lost.
    last_reported: HashMap<(usize, usize), Vec<AccountUsage>>,
}

impl Fleet {
    /// Creates a fleet with random size, demand and faults.
    fn new(seed: u64, faults: &[Fault]) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let size = rng.random_range(2..=12);
        let overload_factor = rng.random_range(1.0..6.0);
        let weights: Vec<f64> = (0..size).map(|_| rng.random_range(0.1..1.0)).collect();
        let total: f64 = weights.iter().sum();
        let before = rng.random_range(0.0..0.8);
        let loads = weights.iter().map(|weight| Load {
            before: before / size as f64,
            after: overload_factor * weight / total,
        });
        let loads = loads.collect();
        let events = random_events(&mut rng, size, faults);
        let mut fleet = Self {
            overload_from_ms: rng.random_range(2_000..14_000),
            rng,
            entries: (0..size).map(|_| Quotas::new(TOLERANCE)).collect(),
            incarnations: vec![1; size],
            events,
            loads,
            exchange_ms: EXCHANGE_MS,
            admitted: Vec::new(),
            last_reported: HashMap::new(),
        };
        (0..size).for_each(|entry| fleet.start(0, entry));
        fleet
    }

    fn start(&mut self, ms: u64, entry: usize) {
        let mut quotas = Quotas::new(TOLERANCE);
        for other in (0..self.entries.len()).filter(|other| *other != entry) {
            quotas.add_peer(Monotonic::from_millis(ms), &name(other));
        }
        self.entries[entry] = quotas;
    }

    fn run(&mut self) {
        for ms in 0..RUN_MS {
            self.apply_restarts(ms);
            if ms.is_multiple_of(self.exchange_ms) {
                self.exchange_reports(ms);
            }
            for entry in 0..self.entries.len() {
                self.request(ms, entry);
            }
        }
    }

    fn apply_restarts(&mut self, ms: u64) {
        let now = Monotonic::from_millis(ms);
        for event in self.events.clone() {
            if !matches!(event.fault, Fault::Down | Fault::Refused) {
                continue;
            }
            let is_detected = (event.from_ms + DOWN_DETECTION_MS..event.to_ms).contains(&ms);
            if is_detected && ms.is_multiple_of(EXCHANGE_MS) {
                self.detect_down(now, event.entry);
            }
            if matches!(event.fault, Fault::Down) && ms == event.to_ms {
                self.incarnations[event.entry] += 1;
                self.start(ms, event.entry);
            }
        }
    }

    /// Marks an entry as down at all entries that have no fault themselves, and these at the entry if its
    /// process runs.
    fn detect_down(&mut self, now: Monotonic, down: usize) {
        let fault = self.active_fault(now.as_millis(), down);
        for entry in 0..self.entries.len() {
            if self.active_fault(now.as_millis(), entry).is_some() {
                continue;
            }
            self.entries[entry].mark_peer_down(now, &name(down));
            if matches!(fault, Some(Fault::Refused)) {
                self.entries[down].mark_peer_down(now, &name(entry));
            }
        }
    }

    fn active_fault(&self, ms: u64, entry: usize) -> Option<Fault> {
        let event = self
            .events
            .iter()
            .find(|event| event.entry == entry && (event.from_ms..event.to_ms).contains(&ms));
        event.map(|event| event.fault)
    }

    /// Exchanges changed usage between all pairs of entries of which neither has a fault.
    fn exchange_reports(&mut self, ms: u64) {
        let now = Monotonic::from_millis(ms);
        let usage: Vec<_> = self
            .entries
            .iter()
            .map(|quotas| quotas.usage(now))
            .collect();
        let size = self.entries.len();
        let is_reachable: Vec<bool> = (0..size)
            .map(|e| self.active_fault(ms, e).is_none())
            .collect();
        for to in 0..size {
            for from in (0..size).filter(|from| *from != to) {
                if is_reachable[to] && is_reachable[from] {
                    let changed = self.changed_usage(from, to, &usage[from]);
                    let incarnation = self.incarnations[from];
                    self.entries[to].apply_peer_usage(now, &name(from), incarnation, &changed);
                } else {
                    self.last_reported.remove(&(from, to));
                }
            }
        }
    }

    fn changed_usage(
        &mut self,
        from: usize,
        to: usize,
        usage: &[AccountUsage],
    ) -> Vec<AccountUsage> {
        let last_reported = self.last_reported.insert((from, to), usage.to_vec());
        let last_reported = last_reported.unwrap_or_default();
        let is_unchanged = |now: &AccountUsage| {
            let mut same = last_reported.iter().filter(|t| t.account == now.account);
            same.any(|t| t.admitted.to_bits() == now.admitted.to_bits())
        };
        usage
            .iter()
            .filter(|now| !is_unchanged(now))
            .cloned()
            .collect()
    }

    fn request(&mut self, ms: u64, entry: usize) {
        let load = self.loads[entry];
        let ratio = if ms < self.overload_from_ms {
            load.before
        } else {
            load.after
        };
        let requests_per_ms = ratio * QUOTA.per_second / MEAN_UNITS / 1_000.0;
        let is_running = !matches!(
            self.active_fault(ms, entry),
            Some(Fault::Down | Fault::Frozen)
        );
        if !self.rng.random_bool(requests_per_ms.min(1.0)) || !is_running {
            return;
        }
        let units = self.rng.random_range(0.1..1.9) * MEAN_UNITS;
        let cost = cost(units, 0);
        let now = Monotonic::from_millis(ms);
        if self.entries[entry]
            .try_acquire(now, &account(), &QUOTA, cost)
            .is_ok()
        {
            self.admitted.push((ms, units));
        }
    }

    fn max_admitted_in_window(&self) -> f64 {
        let mut max = 0.0_f64;
        let mut sum = 0.0;
        let mut first = 0;
        for (ms, units) in &self.admitted {
            sum += units;
            while self.admitted[first].0 + WINDOW_MS <= *ms {
                sum -= self.admitted[first].1;
                first += 1;
            }
            max = max.max(sum);
        }
        max
    }
}

fn random_events(rng: &mut StdRng, size: usize, faults: &[Fault]) -> Vec<FaultEvent> {
    let mut events: Vec<FaultEvent> = Vec::new();
    for _ in 0..rng.random_range(1..=4) {
        if faults.is_empty() {
            break;
        }
        let from_ms = rng.random_range(500..20_000);
        let event = FaultEvent {
            entry: rng.random_range(0..size),
            fault: faults[rng.random_range(0..faults.len())],
            from_ms,
            to_ms: from_ms + rng.random_range(500..12_000),
        };
        if events.iter().all(|other| other.entry != event.entry) {
            events.push(event);
        }
    }
    events
}

/// Returns the seeds with a window that exceeds the allowed units, with the ratio to them.
fn violations(seeds: Range<u64>, faults: &[Fault]) -> Vec<(u64, f64)> {
    violations_with_interval(seeds, faults, EXCHANGE_MS)
}

fn violations_with_interval(
    seeds: Range<u64>,
    faults: &[Fault],
    exchange_ms: u64,
) -> Vec<(u64, f64)> {
    let runs = seeds.map(|seed| {
        let mut fleet = Fleet::new(seed, faults);
        fleet.exchange_ms = exchange_ms;
        fleet.run();
        (seed, fleet.max_admitted_in_window() / allowed())
    });
    runs.filter(|(_, ratio)| *ratio > 1.0).collect()
}

#[gtest]
fn a_hot_account_stays_within_its_quota_while_entries_are_partitioned() {
    let violations = violations(0..60, &[Fault::Partitioned]);

    expect_that!(violations, is_empty());
}

/// Guards against entries that take each other for ended because connections between them are refused.
#[gtest]
fn a_hot_account_stays_within_its_quota_while_connections_are_refused() {
    let violations = violations(0..200, &[Fault::Refused]);

    expect_that!(violations, is_empty());
}

#[gtest]
fn a_hot_account_stays_within_its_quota_while_entries_freeze() {
    let violations = violations(0..60, &[Fault::Frozen]);

    expect_that!(violations, is_empty());
}

#[gtest]
fn a_hot_account_stays_within_its_quota_while_entries_restart() {
    let violations = violations(0..60, &[Fault::Down]);

    expect_that!(violations, is_empty());
}

#[gtest]
fn a_hot_account_stays_within_its_quota_under_mixed_faults() {
    let violations = violations(0..400, &[Fault::Partitioned, Fault::Frozen, Fault::Down]);

    expect_that!(violations, is_empty());
}

#[gtest]
fn a_hot_account_stays_within_its_quota_with_long_exchange_intervals() {
    let faults = [Fault::Partitioned, Fault::Frozen, Fault::Down];

    let violations = violations_with_interval(0..200, &faults, FAR_EXCHANGE_MS);

    expect_that!(violations, is_empty());
}

#[gtest]
fn a_rolling_restart_of_entries_does_not_refill_the_quota() {
    let mut fleet = Fleet::new(7, &[]);
    fleet.overload_from_ms = 2_000;
    fleet.loads.iter_mut().for_each(|load| load.after = 1.0);
    let size = fleet.entries.len();
    fleet.events = (0..size)
        .map(|entry| FaultEvent {
            entry,
            fault: Fault::Down,
            from_ms: 8_000 + 600 * entry as u64,
            to_ms: 8_500 + 600 * entry as u64,
        })
        .collect();

    fleet.run();

    expect_that!(fleet.max_admitted_in_window(), le(allowed()));
}

#[gtest]
fn a_hot_account_gets_its_full_quota_without_faults() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, &[]);
        fleet.loads.iter_mut().for_each(|load| load.after = 0.5);

        fleet.run();

        let seconds = WINDOW_MS as f64 / 1_000.0;
        let size = fleet.entries.len() as f64;
        let quota = QUOTA.per_second * (0.5 * size).min(1.0) * seconds;
        expect_that!(fleet.max_admitted_in_window(), ge(0.95 * quota));
    }
}
