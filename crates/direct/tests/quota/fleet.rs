//! Quotas over many entries that are cut off, frozen, killed and restarted while one account
//! asks for several times its quota.

use std::collections::HashMap;
use std::ops::Range;

use eelgrassramp::Monotonic;
use eelgrassramp_direct::deployment::Quota;
use eelgrassramp_direct::quota::AccountUsage;
use eelgrassramp_direct::quota::Quotas;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::TOLERANCE;
use super::WINDOW_MS;
use super::account;
use super::demand;
use super::name;

/// Length of a run.
const RUN_MS: u64 = 32_000;

/// Time between two exchanges of a pair of entries of one failure domain.
const EXCHANGE_MS: u64 = 100;

/// Longest time between two exchanges of a pair of entries of a fleet of up to 150.
const FAR_EXCHANGE_MS: u64 = 300;

/// Time after which an entry that does not run is known to be down.
const REFUSED_MS: u64 = 300;

/// Mean units of a request.
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

/// What happens to one entry, and when.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    /// Nothing between it and the others arrives.
    Cut,
    /// Its process stands still.
    Frozen,
    /// Its process does not run, which others find out, and starts anew at the end.
    Down,
}

#[derive(Debug, Clone, Copy)]
struct Event {
    entry: usize,
    trouble: Trouble,
    from_ms: u64,
    to_ms: u64,
}

/// The demand of the account on one entry, as a part of its quota, changing once.
#[derive(Debug, Clone, Copy)]
struct Load {
    before: f64,
    after: f64,
}

struct Fleet {
    rng: StdRng,
    entries: Vec<Quotas>,
    incarnations: Vec<u64>,
    events: Vec<Event>,
    loads: Vec<Load>,
    hot_from_ms: u64,
    exchange_ms: u64,
    admitted: Vec<(u64, f64)>,
    /// What each entry told each other one last, while nothing was lost between them.
    told: HashMap<(usize, usize), Vec<AccountUsage>>,
}

impl Fleet {
    /// Draws a fleet with its troubles.
    fn new(seed: u64, troubles: &[Trouble]) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let size = rng.random_range(2..=12);
        let hot = rng.random_range(1.0..6.0);
        let weights: Vec<f64> = (0..size).map(|_| rng.random_range(0.1..1.0)).collect();
        let total: f64 = weights.iter().sum();
        let before = rng.random_range(0.0..0.8);
        let loads = weights.iter().map(|weight| Load {
            before: before / size as f64,
            after: hot * weight / total,
        });
        let loads = loads.collect();
        let events = draw_events(&mut rng, size, troubles);
        let mut fleet = Self {
            hot_from_ms: rng.random_range(2_000..14_000),
            rng,
            entries: (0..size).map(|_| Quotas::new(TOLERANCE)).collect(),
            incarnations: vec![1; size],
            events,
            loads,
            exchange_ms: EXCHANGE_MS,
            admitted: Vec::new(),
            told: HashMap::new(),
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

    fn play(&mut self) {
        for ms in 0..RUN_MS {
            self.restart(ms);
            if ms.is_multiple_of(self.exchange_ms) {
                self.exchange(ms);
            }
            for entry in 0..self.entries.len() {
                self.ask(ms, entry);
            }
        }
    }

    fn restart(&mut self, ms: u64) {
        let now = Monotonic::from_millis(ms);
        for event in self.events.clone() {
            if !matches!(event.trouble, Trouble::Down) {
                continue;
            }
            let is_refused = (event.from_ms + REFUSED_MS..event.to_ms).contains(&ms);
            if is_refused && ms.is_multiple_of(EXCHANGE_MS) {
                self.find_down(now, event.entry);
            }
            if ms == event.to_ms {
                self.incarnations[event.entry] += 1;
                self.start(ms, event.entry);
            }
        }
    }

    /// Lets all entries that reach its machine find out that an entry does not run.
    fn find_down(&mut self, now: Monotonic, down: usize) {
        for entry in 0..self.entries.len() {
            if self.suffers(now.as_millis(), entry).is_none() {
                self.entries[entry].mark_peer_down(now, &name(down));
            }
        }
    }

    fn suffers(&self, ms: u64, entry: usize) -> Option<Trouble> {
        let event = self
            .events
            .iter()
            .find(|event| event.entry == entry && (event.from_ms..event.to_ms).contains(&ms));
        event.map(|event| event.trouble)
    }

    /// Each pair tells each other what has changed, unless one of them cannot be reached.
    fn exchange(&mut self, ms: u64) {
        let now = Monotonic::from_millis(ms);
        let usage: Vec<_> = self
            .entries
            .iter()
            .map(|quotas| quotas.usage(now))
            .collect();
        let size = self.entries.len();
        let is_sound: Vec<bool> = (0..size).map(|e| self.suffers(ms, e).is_none()).collect();
        for to in 0..size {
            for from in (0..size).filter(|from| *from != to) {
                if is_sound[to] && is_sound[from] {
                    let changed = self.changed(from, to, &usage[from]);
                    let incarnation = self.incarnations[from];
                    self.entries[to].apply_peer_usage(now, &name(from), incarnation, &changed);
                } else {
                    self.told.remove(&(from, to));
                }
            }
        }
    }

    fn changed(&mut self, from: usize, to: usize, usage: &[AccountUsage]) -> Vec<AccountUsage> {
        let told = self.told.insert((from, to), usage.to_vec());
        let told = told.unwrap_or_default();
        let is_told = |now: &AccountUsage| {
            let mut same = told.iter().filter(|t| t.account == now.account);
            same.any(|t| t.admitted.to_bits() == now.admitted.to_bits())
        };
        usage.iter().filter(|now| !is_told(now)).cloned().collect()
    }

    fn ask(&mut self, ms: u64, entry: usize) {
        let load = self.loads[entry];
        let part = if ms < self.hot_from_ms {
            load.before
        } else {
            load.after
        };
        let per_ms = part * QUOTA.per_second / MEAN_UNITS / 1_000.0;
        let runs = !matches!(
            self.suffers(ms, entry),
            Some(Trouble::Down | Trouble::Frozen)
        );
        if !self.rng.random_bool(per_ms.min(1.0)) || !runs {
            return;
        }
        let units = self.rng.random_range(0.1..1.9) * MEAN_UNITS;
        let demand = demand(units, 0);
        let now = Monotonic::from_millis(ms);
        if self.entries[entry]
            .try_acquire(now, &account(), &QUOTA, demand)
            .is_ok()
        {
            self.admitted.push((ms, units));
        }
    }

    fn most_in_a_window(&self) -> f64 {
        let mut most = 0.0_f64;
        let mut sum = 0.0;
        let mut first = 0;
        for (ms, units) in &self.admitted {
            sum += units;
            while self.admitted[first].0 + WINDOW_MS <= *ms {
                sum -= self.admitted[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }
}

fn draw_events(rng: &mut StdRng, size: usize, troubles: &[Trouble]) -> Vec<Event> {
    let mut events: Vec<Event> = Vec::new();
    for _ in 0..rng.random_range(1..=4) {
        if troubles.is_empty() {
            break;
        }
        let from_ms = rng.random_range(500..20_000);
        let event = Event {
            entry: rng.random_range(0..size),
            trouble: troubles[rng.random_range(0..troubles.len())],
            from_ms,
            to_ms: from_ms + rng.random_range(500..12_000),
        };
        if events.iter().all(|other| other.entry != event.entry) {
            events.push(event);
        }
    }
    events
}

/// Returns the seeds whose worst window holds more than is allowed, with its ratio to that.
fn broken(seeds: Range<u64>, troubles: &[Trouble]) -> Vec<(u64, f64)> {
    broken_with(seeds, troubles, EXCHANGE_MS)
}

fn broken_with(seeds: Range<u64>, troubles: &[Trouble], exchange_ms: u64) -> Vec<(u64, f64)> {
    let runs = seeds.map(|seed| {
        let mut fleet = Fleet::new(seed, troubles);
        fleet.exchange_ms = exchange_ms;
        fleet.play();
        (seed, fleet.most_in_a_window() / allowed())
    });
    runs.filter(|(_, ratio)| *ratio > 1.0).collect()
}

#[gtest]
fn a_hot_account_stays_within_its_quota_while_entries_are_cut_off() {
    let broken = broken(0..60, &[Trouble::Cut]);

    expect_that!(broken, is_empty());
}

#[gtest]
fn a_hot_account_stays_within_its_quota_while_entries_freeze() {
    let broken = broken(0..60, &[Trouble::Frozen]);

    expect_that!(broken, is_empty());
}

#[gtest]
fn a_hot_account_stays_within_its_quota_while_entries_restart() {
    let broken = broken(0..60, &[Trouble::Down]);

    expect_that!(broken, is_empty());
}

#[gtest]
fn a_hot_account_stays_within_its_quota_in_mixed_troubles() {
    let broken = broken(0..400, &[Trouble::Cut, Trouble::Frozen, Trouble::Down]);

    expect_that!(broken, is_empty());
}

#[gtest]
fn a_hot_account_stays_within_its_quota_while_news_of_far_entries_is_late() {
    let troubles = [Trouble::Cut, Trouble::Frozen, Trouble::Down];

    let broken = broken_with(0..200, &troubles, FAR_EXCHANGE_MS);

    expect_that!(broken, is_empty());
}

#[gtest]
fn entries_restarted_in_turn_do_not_start_with_fresh_units() {
    let mut fleet = Fleet::new(7, &[]);
    fleet.hot_from_ms = 2_000;
    fleet.loads.iter_mut().for_each(|load| load.after = 1.0);
    let size = fleet.entries.len();
    fleet.events = (0..size)
        .map(|entry| Event {
            entry,
            trouble: Trouble::Down,
            from_ms: 8_000 + 600 * entry as u64,
            to_ms: 8_500 + 600 * entry as u64,
        })
        .collect();

    fleet.play();

    expect_that!(fleet.most_in_a_window(), le(allowed()));
}

#[gtest]
fn a_hot_account_gets_its_whole_quota_while_nothing_fails() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, &[]);
        fleet.loads.iter_mut().for_each(|load| load.after = 0.5);

        fleet.play();

        let seconds = WINDOW_MS as f64 / 1_000.0;
        let size = fleet.entries.len() as f64;
        let quota = QUOTA.per_second * (0.5 * size).min(1.0) * seconds;
        expect_that!(fleet.most_in_a_window(), ge(0.95 * quota));
    }
}
