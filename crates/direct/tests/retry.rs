//! Simulation of the retry budget of all entries while nearly every request fails, processes restart
//! and endpoints are not free for some time.

use std::ops::Range;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp_direct::retry::RetryBudget;
use eelgrassramp_direct::retry::RetryLimits;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Duration of a simulation.
const RUN_MS: u64 = 60_000;

/// Time step of a simulation.
const STEP_MS: u64 = 10;

const WINDOW_MS: u64 = 10_000;

/// Time steps in a window.
const STEPS_PER_WINDOW: usize = 1_000;

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    window: Duration::from_millis(WINDOW_MS),
    slack: 58.0,
};

/// Share of the requests that fail.
const FAILURE_RATIO: f64 = 0.9;

/// Longest time for which a request waits for a free endpoint.
const MAX_QUEUE_WAIT_MS: u64 = 4_500;

/// Time of the first restart.
const RESTARTS_FROM_MS: u64 = 20_000;

/// Time between two restarts in turn.
const ROLLING_GAP_MS: u64 = 700;

fn at(ms: u64) -> Monotonic {
    Monotonic::ZERO + Duration::from_millis(ms)
}

/// Process of one entry.
struct Process {
    started_ms: u64,
    known_entries: Option<u32>,
    budget: RetryBudget,
    /// Times from which queued retries wait for an endpoint.
    queued_ms: Vec<u64>,
}

impl Process {
    fn start(now_ms: u64, known_entries: Option<u32>) -> Self {
        let budget = if now_ms == 0 {
            RetryBudget::full()
        } else {
            RetryBudget::empty()
        };
        Self {
            started_ms: now_ms,
            known_entries,
            budget,
            queued_ms: Vec::new(),
        }
    }

    /// Returns the current time on the clock of the process.
    fn now(&self, now_ms: u64) -> Monotonic {
        at(now_ms - self.started_ms)
    }

    fn receive(&mut self, now_ms: u64, is_failing: bool) {
        let now = self.now(now_ms);
        self.budget.count_request(now, &LIMITS, self.known_entries);
        if is_failing && self.budget.try_reserve(now, &LIMITS, self.known_entries) {
            self.queued_ms.push(now_ms);
        }
    }

    /// Sends all queued retries and returns their number.
    fn send_queued(&mut self, now_ms: u64) -> usize {
        let queued_ms = std::mem::take(&mut self.queued_ms);
        let is_in_time = |queued_ms: &u64| now_ms - queued_ms <= MAX_QUEUE_WAIT_MS;
        let (sent, expired): (Vec<_>, Vec<_>) = queued_ms.into_iter().partition(is_in_time);
        for _ in &sent {
            self.budget.spend_reserved();
        }
        for _ in &expired {
            self.budget.cancel_reserved();
        }
        sent.len()
    }
}

/// Restart of one entry.
struct Restart {
    at_ms: u64,
    entry: usize,
    /// Number of entries that the new process was told, if it was told any.
    known_entries: Option<u32>,
}

/// What happens during a simulation.
struct Scenario {
    entries: u32,
    /// Requests per second and entry.
    rate: f64,
    restarts: Vec<Restart>,
    /// Times during which no endpoint is free.
    blocked: Vec<Range<u64>>,
    /// Time until which the callers use only the first half of the entries, and then only the others.
    callers_move_ms: Option<u64>,
    /// Time from which requests fail.
    failing_from_ms: u64,
}

impl Scenario {
    fn calm(entries: u32, rate: f64) -> Self {
        Self {
            entries,
            rate,
            restarts: Vec::new(),
            blocked: Vec::new(),
            callers_move_ms: None,
            failing_from_ms: 0,
        }
    }

    /// Returns the probability that an entry receives a request in one time step.
    fn arrival_probability(&self, entry: usize, now_ms: u64) -> f64 {
        let is_first_half = entry < self.entries as usize / 2;
        let share = match self.callers_move_ms {
            None => 1.0,
            Some(at_ms) if is_first_half == (now_ms < at_ms) => 2.0,
            Some(_) => 0.0,
        };
        share * self.rate * STEP_MS as f64 / 1_000.0
    }
}

/// Requests and retries of all entries by time step.
struct Counts {
    requests: Vec<usize>,
    retries: Vec<usize>,
}

impl Counts {
    fn play(scenario: &Scenario, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut processes: Vec<_> = (0..scenario.entries)
            .map(|_| Process::start(0, Some(scenario.entries)))
            .collect();
        let mut counts = Self {
            requests: Vec::new(),
            retries: Vec::new(),
        };
        for now_ms in (0..RUN_MS / STEP_MS).map(|step| step * STEP_MS) {
            for restart in scenario.restarts.iter().filter(|r| r.at_ms == now_ms) {
                processes[restart.entry] = Process::start(now_ms, restart.known_entries);
            }
            let is_blocked = scenario
                .blocked
                .iter()
                .any(|during| during.contains(&now_ms));
            let (mut requests, mut retries) = (0, 0);
            for (entry, process) in processes.iter_mut().enumerate() {
                if rng.random_bool(scenario.arrival_probability(entry, now_ms)) {
                    requests += 1;
                    let is_failing =
                        now_ms >= scenario.failing_from_ms && rng.random_bool(FAILURE_RATIO);
                    process.receive(now_ms, is_failing);
                }
                if !is_blocked {
                    retries += process.send_queued(now_ms);
                }
            }
            counts.requests.push(requests);
            counts.retries.push(retries);
        }
        counts
    }

    /// Returns the largest excess of retries over the limits in any window; negative if all windows
    /// keep to them.
    ///
    /// The requests of a window are those in it, in the one half a window before or in the one a
    /// window before, whichever are most.
    fn largest_excess(&self) -> f64 {
        let steps = STEPS_PER_WINDOW;
        let sum_from = |counts: &[usize], from: usize| {
            let to = (from + steps).min(counts.len());
            counts[from..to].iter().sum::<usize>() as f64
        };
        let excesses = (0..self.retries.len()).map(|from| {
            let earlier = [
                from,
                from.saturating_sub(steps / 2),
                from.saturating_sub(steps),
            ];
            let requests = earlier.map(|from| sum_from(&self.requests, from));
            let requests = requests.into_iter().fold(0.0, f64::max);
            sum_from(&self.retries, from) - (LIMITS.ratio * requests + LIMITS.slack)
        });
        excesses.fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Returns restarts of all entries, one after the other, twice.
fn rolling_restarts(entries: u32, known_entries: Option<u32>) -> Vec<Restart> {
    let order = (0..2).flat_map(|_| 0..entries as usize);
    let restarts = order.zip(0..).map(|(entry, n)| Restart {
        at_ms: RESTARTS_FROM_MS + n * ROLLING_GAP_MS,
        entry,
        known_entries,
    });
    restarts.collect()
}

/// Returns restarts of all entries at once, twice within a window.
fn herd_restarts(entries: u32, known_entries: Option<u32>) -> Vec<Restart> {
    let times = [RESTARTS_FROM_MS, RESTARTS_FROM_MS + WINDOW_MS / 2];
    let restarts = times.into_iter().flat_map(|at_ms| {
        (0..entries as usize).map(move |entry| Restart {
            at_ms,
            entry,
            known_entries,
        })
    });
    restarts.collect()
}

/// Numbers of entries, and requests per second at each.
const SIZES: [(u32, f64); 4] = [(2, 50.0), (6, 25.0), (6, 2.0), (30, 10.0)];

#[gtest]
fn a_fleet_whose_requests_fail_uses_most_of_its_retry_budget_and_no_more() {
    for (entries, rate) in SIZES {
        let counts = Counts::play(&Scenario::calm(entries, rate), 1);

        let retries: usize = counts.retries.iter().sum();
        let requests: usize = counts.requests.iter().sum();
        let allowed = LIMITS.ratio * requests as f64 + LIMITS.slack * (RUN_MS / WINDOW_MS) as f64;
        expect_that!(
            counts.largest_excess(),
            le(0.0),
            "{entries} entries at {rate}/s"
        );
        expect_that!(
            retries as f64,
            gt(0.6 * allowed),
            "{entries} entries at {rate}/s"
        );
    }
}

/// Returns the largest excess of a scenario over several seeds.
fn worst_excess(scenario: &Scenario) -> f64 {
    let excesses = (0..5).map(|seed| Counts::play(scenario, seed).largest_excess());
    excesses.fold(f64::NEG_INFINITY, f64::max)
}

#[gtest]
fn retries_of_restarted_processes_keep_to_the_budget() {
    for (entries, rate) in SIZES {
        for restarts in [
            rolling_restarts(entries, Some(entries)),
            herd_restarts(entries, Some(entries)),
        ] {
            let scenario = Scenario {
                restarts,
                ..Scenario::calm(entries, rate)
            };

            let excess = worst_excess(&scenario);

            expect_that!(excess, le(0.0), "{entries} entries at {rate}/s");
        }
    }
}

#[gtest]
fn retries_of_processes_that_know_no_others_keep_to_the_budget() {
    for (entries, rate) in SIZES {
        let scenario = Scenario {
            restarts: herd_restarts(entries, None),
            ..Scenario::calm(entries, rate)
        };

        let excess = worst_excess(&scenario);

        expect_that!(excess, le(0.0), "{entries} entries at {rate}/s");
    }
}

#[gtest]
fn retries_that_waited_for_a_free_endpoint_keep_to_the_budget() {
    for (entries, rate) in SIZES {
        let scenario = Scenario {
            blocked: vec![20_000..24_400, 34_000..38_400],
            failing_from_ms: 20_000,
            ..Scenario::calm(entries, rate)
        };

        let excess = worst_excess(&scenario);

        expect_that!(excess, le(0.0), "{entries} entries at {rate}/s");
    }
}

#[gtest]
fn retries_keep_to_the_budget_when_callers_move_to_other_entries() {
    for (entries, rate) in SIZES {
        let scenario = Scenario {
            callers_move_ms: Some(20_000),
            failing_from_ms: 18_000,
            ..Scenario::calm(entries, rate)
        };

        let excess = worst_excess(&scenario);

        expect_that!(excess, le(0.0), "{entries} entries at {rate}/s");
    }
}
