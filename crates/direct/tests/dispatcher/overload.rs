//! Simulated load beyond the capacity of a pool, measured by the results that callers get.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::RouteName;
use eelgrassramp_direct::dispatcher::DispatchRequest;
use eelgrassramp_direct::dispatcher::Dispatcher;
use eelgrassramp_direct::dispatcher::Grant;
use eelgrassramp_direct::dispatcher::QueueEvent;
use eelgrassramp_direct::dispatcher::SubmitResult;
use eelgrassramp_direct::endpoint_tracker::DispatchEnd;
use eelgrassramp_direct::prior_wait::PriorWaitEstimator;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::fixture;
use super::fixture::at;

const ENDPOINTS: u32 = 4;

const SLOTS: u32 = 4;

/// Service time of a request at an endpoint.
const WORK_MS: u64 = 100;

/// Requests per second that the pool can execute.
const CAPACITY: f64 = (ENDPOINTS * SLOTS) as f64 * 1_000.0 / WORK_MS as f64;

/// Latency objective, from arrival to response.
const OBJECTIVE_MS: u64 = 500;

/// Timeout of a caller.
const TIMEOUT_MS: u64 = 3_000;

/// Shares of the requests by priority.
const PRIORITY_SHARES: [f64; 3] = [0.3, 0.4, 0.3];

const RUN_MS: u64 = 20_000;

/// Results of the callers of one priority.
#[derive(Debug, Clone, Copy, Default)]
struct CallerResults {
    requests: u64,
    on_time: u64,
    late: u64,
    refused: u64,
    /// Longest time until a refusal.
    max_refusal_ms: u64,
    /// Sum of the retry delays given to refused callers.
    retry_delay_ms: u64,
    /// Refusals sent after the objective had passed.
    late_refusals: u64,
}

impl CallerResults {
    fn share(&self) -> f64 {
        (self.on_time + self.late) as f64 / self.requests.max(1) as f64
    }
}

struct Simulation {
    rng: StdRng,
    dispatcher: Dispatcher,
    /// Queue timeout of a request.
    queue_timeout_ms: u64,
    first_attempts: HashMap<u64, (u64, usize)>,
    completions: BTreeMap<(u64, u64), Grant>,
    by_priority: [CallerResults; PRIORITY_SHARES.len()],
    /// Responses on time and all requests, by second of arrival.
    by_second: BTreeMap<u64, (u64, u64)>,
    /// Whether refused callers retry once.
    retries_enabled: bool,
    /// Pending retries: time and identifier of the refused request, with first attempt and priority
    /// of the caller.
    retries: BTreeMap<(u64, u64), (u64, usize)>,
    has_retried: HashSet<u64>,
    /// Estimator of prior waits; `None` runs without one.
    estimator: Option<PriorWaitEstimator>,
    last_seq: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut dispatcher = Dispatcher::new("entry-1", "a");
        let endpoints: Vec<_> = (0..ENDPOINTS)
            .map(|n| Arc::new(fixture::endpoint(&format!("i-{n}"), "a", SLOTS)))
            .collect();
        dispatcher.set_endpoints(at(0), &endpoints);
        Self {
            rng: StdRng::seed_from_u64(seed),
            dispatcher,
            queue_timeout_ms: TIMEOUT_MS * 3 / 10,
            first_attempts: HashMap::new(),
            completions: BTreeMap::new(),
            by_priority: [CallerResults::default(); PRIORITY_SHARES.len()],
            by_second: BTreeMap::new(),
            retries_enabled: false,
            retries: BTreeMap::new(),
            has_retried: HashSet::new(),
            estimator: None,
            last_seq: 0,
        }
    }

    /// Simulates requests at `load` times the capacity as a function of time.
    fn simulate(&mut self, load: impl Fn(u64) -> f64) {
        for ms in 0..RUN_MS + TIMEOUT_MS {
            self.finish_due(ms);
            self.send_due_retries(ms);
            let per_ms = load(ms) * CAPACITY / 1_000.0;
            if ms < RUN_MS && self.rng.random_bool(per_ms.min(1.0)) {
                self.send_new(ms);
            }
            if ms.is_multiple_of(50) {
                self.dispatcher.tick(at(ms));
                self.pump(ms);
            }
        }
    }

    fn send_new(&mut self, ms: u64) {
        let draw: f64 = self.rng.random_range(0.0..1.0);
        let priority = if draw < PRIORITY_SHARES[0] {
            0
        } else if draw < PRIORITY_SHARES[0] + PRIORITY_SHARES[1] {
            1
        } else {
            2
        };
        self.by_priority[priority].requests += 1;
        self.by_second.entry(ms / 1_000).or_default().1 += 1;
        self.send(ms, ms, priority);
    }

    /// Sends a request of a caller of `priority` whose first attempt was at `first_attempt_ms`.
    fn send(&mut self, ms: u64, first_attempt_ms: u64, priority: usize) {
        self.last_seq += 1;
        let seq = self.last_seq;
        self.first_attempts
            .insert(seq, (first_attempt_ms, priority));
        let mut request = request(seq, priority, ms, self.rng.random_range(0.0..1.0));
        request.expires_at = at(ms + self.queue_timeout_ms);
        if let Some(estimator) = &mut self.estimator {
            let left = Duration::from_millis(TIMEOUT_MS - (ms - first_attempt_ms));
            let route = &request.class.route;
            let prior_wait = estimator.record_arrival(at(ms), route, left);
            request.start_by = request.start_by - prior_wait;
        }
        match self.dispatcher.submit(at(ms), request) {
            SubmitResult::Granted(grant) => self.start(ms, grant),
            SubmitResult::Refused(wait) => self.refuse(ms, seq, wait),
            SubmitResult::Queued => {}
        }
    }

    fn start(&mut self, ms: u64, grant: Grant) {
        self.completions.insert((ms + WORK_MS, grant.seq), grant);
    }

    fn refuse(&mut self, ms: u64, seq: u64, wait: Duration) {
        let (first_attempt_ms, priority) = self.first_attempts[&seq];
        let results = &mut self.by_priority[priority];
        results.refused += 1;
        results.retry_delay_ms += u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        results.max_refusal_ms = results.max_refusal_ms.max(ms - first_attempt_ms);
        results.late_refusals += u64::from(ms - first_attempt_ms > OBJECTIVE_MS);
        if let Some(estimator) = &mut self.estimator {
            estimator.record_refusal(at(ms), &RouteName::new(format!("route-{priority}")));
        }
        if self.retries_enabled && !self.has_retried.contains(&seq) {
            let left = Duration::from_millis(TIMEOUT_MS.saturating_sub(ms - first_attempt_ms));
            let delay = u64::try_from(wait.min(left / 3).as_millis()).unwrap_or(0);
            self.retries
                .insert((ms + delay, seq), (first_attempt_ms, priority));
        }
    }

    fn send_due_retries(&mut self, ms: u64) {
        while let Some(entry) = self.retries.first_entry()
            && entry.key().0 <= ms
        {
            let (first_attempt_ms, priority) = entry.remove();
            self.has_retried.insert(self.last_seq + 1);
            self.send(ms, first_attempt_ms, priority);
        }
    }

    fn finish_due(&mut self, ms: u64) {
        while let Some(entry) = self.completions.first_entry()
            && entry.key().0 <= ms
        {
            let grant = entry.remove();
            let served = DispatchEnd::Served { slowness: 1.0 };
            self.dispatcher
                .record_outcome(at(ms), &grant.endpoint, &grant.route, served);
            self.count(ms, grant.seq);
            self.pump(ms);
        }
    }

    fn count(&mut self, ms: u64, seq: u64) {
        let (first_attempt_ms, priority) = self.first_attempts[&seq];
        if ms - first_attempt_ms <= OBJECTIVE_MS {
            self.by_priority[priority].on_time += 1;
            self.by_second
                .entry(first_attempt_ms / 1_000)
                .or_default()
                .0 += 1;
        } else {
            self.by_priority[priority].late += 1;
        }
    }

    fn pump(&mut self, ms: u64) {
        loop {
            let events = self.dispatcher.dispatch_queued(at(ms));
            if events.is_empty() {
                return;
            }
            for event in events {
                match event {
                    QueueEvent::Granted(_, grant) => self.start(ms, grant),
                    QueueEvent::Refused(seq, wait) => self.refuse(ms, seq, wait),
                }
            }
        }
    }

    fn on_time(&self) -> u64 {
        self.by_priority.iter().map(|results| results.on_time).sum()
    }
}

fn request(seq: u64, priority: usize, ms: u64, version_draw: f64) -> DispatchRequest {
    let submitted_at = at(ms);
    DispatchRequest {
        start_by: submitted_at + Duration::from_millis(OBJECTIVE_MS - WORK_MS),
        expires_at: submitted_at + Duration::from_millis(TIMEOUT_MS * 3 / 10),
        version_draw,
        ..fixture::request(seq, u32::try_from(priority).unwrap_or(0), ms)
    }
}

fn simulated(seed: u64, load: f64) -> Simulation {
    let mut run = Simulation::new(seed);
    run.simulate(|_| load);
    run
}

#[gtest]
fn goodput_does_not_drop_at_twice_the_capacity() {
    for seed in 0..5 {
        let at_capacity = simulated(seed, 1.0).on_time();
        let at_twice = simulated(seed, 2.0).on_time();

        expect_that!(at_twice, ge(at_capacity), "seed {seed}");
    }
}

#[gtest]
fn overload_serves_high_priority_and_starves_nobody() {
    for seed in 0..5 {
        let run = simulated(seed, 2.0);

        let [high, middle, low] = run.by_priority;
        let served: u64 = run
            .by_priority
            .iter()
            .map(|results| results.on_time + results.late)
            .sum();
        let requests: u64 = run.by_priority.iter().map(|results| results.requests).sum();
        let all = served as f64 / requests as f64;
        expect_that!(high.share(), ge(0.95), "seed {seed}");
        expect_that!(high.on_time as f64, ge(0.95 * high.requests as f64));
        expect_that!(middle.share(), ge(low.share() - 0.05));
        expect_that!(low.share(), ge(0.25 * all));
    }
}

#[gtest]
fn refusals_are_sent_early() {
    for seed in 0..5 {
        let run = simulated(seed, 2.0);

        for results in run.by_priority {
            expect_that!(
                results.max_refusal_ms,
                le(TIMEOUT_MS * 3 / 10 + 50),
                "seed {seed}"
            );
        }
        let longest = run.by_priority[2].max_refusal_ms;
        expect_that!(longest, lt(TIMEOUT_MS / 2), "seed {seed}");
    }
}

/// A caller that retries during the same overload would only be refused again.
#[gtest]
fn retry_delay_grows_with_overload() {
    for seed in 0..5 {
        let mean = |load| {
            let results = simulated(seed, load).by_priority[2];
            results.retry_delay_ms as f64 / results.refused.max(1) as f64
        };

        let (slight, heavy) = (mean(1.2), mean(3.0));

        expect_that!(heavy, gt(slight), "seed {seed}");
        expect_that!(heavy, ge(2_000.0), "seed {seed}");
    }
}

/// Long timeouts must not keep callers waiting for a response that cannot be on time.
#[gtest]
fn requests_that_cannot_be_on_time_are_refused_early() {
    for seed in 0..5 {
        let mut run = Simulation::new(seed);
        run.queue_timeout_ms = 3_000;
        run.simulate(|_| 2.0);

        let refused: u64 = run.by_priority.iter().map(|results| results.refused).sum();
        let late_refusals: u64 = run
            .by_priority
            .iter()
            .map(|results| results.late_refusals)
            .sum();
        let on_time = run.on_time();
        expect_that!(
            late_refusals as f64,
            le(0.1 * refused as f64),
            "seed {seed}"
        );
        expect_that!(on_time, ge(simulated(seed, 1.0).on_time()), "seed {seed}");
    }
}

#[gtest]
fn goodput_recovers_within_seconds_after_burst() {
    for seed in 0..5 {
        let mut run = Simulation::new(seed);
        run.simulate(|ms| {
            if (5_000..10_000).contains(&ms) {
                3.0
            } else {
                0.6
            }
        });

        let after = || run.by_second.range(12..).map(|(_, counts)| counts);
        let on_time: u64 = after().map(|(on_time, _)| on_time).sum();
        let requests: u64 = after().map(|(_, requests)| requests).sum();
        expect_that!(on_time as f64, ge(0.98 * requests as f64), "seed {seed}");
    }
}

#[gtest]
fn no_refusals_below_capacity() {
    for seed in 0..5 {
        let run = simulated(seed, 0.6);

        let refused: u64 = run.by_priority.iter().map(|results| results.refused).sum();
        expect_that!(refused, eq(0), "seed {seed}");
    }
}

/// Simulates two seconds of light load, followed by overload with retries.
fn simulated_with_retries(seed: u64, estimator: Option<PriorWaitEstimator>) -> Simulation {
    let mut run = Simulation::new(seed);
    run.retries_enabled = true;
    run.estimator = estimator;
    run.simulate(|ms| if ms < 2_000 { 0.6 } else { 1.6 });
    run
}

/// A retrying caller is late whatever is done, while a new one can still be served on time.
#[gtest]
fn queueing_retries_behind_new_requests_raises_goodput() {
    let mut gain = 0;
    for seed in 0..5 {
        let without_estimator = simulated_with_retries(seed, None);
        let with_estimator = simulated_with_retries(seed, Some(PriorWaitEstimator::default()));

        let served = |run: &Simulation| {
            run.by_priority
                .iter()
                .map(|results| results.on_time + results.late)
                .sum::<u64>()
        };
        expect_that!(
            with_estimator.on_time(),
            ge(without_estimator.on_time()),
            "seed {seed}"
        );
        expect_that!(
            served(&with_estimator) as f64,
            ge(0.97 * served(&without_estimator) as f64),
            "seed {seed}"
        );
        gain +=
            with_estimator.on_time() - without_estimator.on_time().min(with_estimator.on_time());
    }

    expect_that!(gain, gt(0));
}
