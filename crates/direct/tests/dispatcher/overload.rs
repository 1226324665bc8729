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
use eelgrassramp_direct::dispatcher::Placement;
use eelgrassramp_direct::dispatcher::QueueEvent;
use eelgrassramp_direct::endpoint_tracker::Outcome;
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

/// Requests per second that the pool can serve.
const CAPACITY: f64 = (ENDPOINTS * SLOTS) as f64 * 1_000.0 / WORK_MS as f64;

/// Latency objective, from arrival to response.
const OBJECTIVE_MS: u64 = 500;

/// Timeout of a caller.
const PATIENCE_MS: u64 = 3_000;

/// Shares of the requests by rank.
const MIX: [f64; 3] = [0.3, 0.4, 0.3];

/// Length of a run.
const RUN_MS: u64 = 20_000;

/// Results of the callers of one rank.
#[derive(Debug, Clone, Copy, Default)]
struct Got {
    asked: u64,
    on_time: u64,
    late: u64,
    refused: u64,
    /// Longest time until a refusal.
    held_ms: u64,
    /// Sum of the retry delays given to refused callers.
    return_ms: u64,
    /// Refusals sent after the objective had passed.
    held_long: u64,
}

impl Got {
    fn share(&self) -> f64 {
        (self.on_time + self.late) as f64 / self.asked.max(1) as f64
    }
}

struct Load {
    rng: StdRng,
    dispatcher: Dispatcher,
    /// Queue timeout of a request.
    give_up_ms: u64,
    asked: HashMap<u64, (u64, usize)>,
    ends: BTreeMap<(u64, u64), Grant>,
    by_rank: [Got; MIX.len()],
    /// Responses on time and all requests, by second of arrival.
    by_second: BTreeMap<u64, (u64, u64)>,
    /// Whether refused callers retry once.
    do_return: bool,
    /// Pending retries: time and identifier of the refused request, with first attempt and rank of
    /// the caller.
    returns: BTreeMap<(u64, u64), (u64, usize)>,
    has_returned: HashSet<u64>,
    /// Estimator of prior waits; `None` runs without one.
    patience: Option<PriorWaitEstimator>,
    last_seq: u64,
}

impl Load {
    fn new(seed: u64) -> Self {
        let mut dispatcher = Dispatcher::new("entry-1", "a");
        let endpoints: Vec<_> = (0..ENDPOINTS)
            .map(|n| Arc::new(fixture::endpoint(&format!("i-{n}"), "a", SLOTS)))
            .collect();
        dispatcher.set_endpoints(at(0), &endpoints);
        Self {
            rng: StdRng::seed_from_u64(seed),
            dispatcher,
            give_up_ms: PATIENCE_MS * 3 / 10,
            asked: HashMap::new(),
            ends: BTreeMap::new(),
            by_rank: [Got::default(); MIX.len()],
            by_second: BTreeMap::new(),
            do_return: false,
            returns: BTreeMap::new(),
            has_returned: HashSet::new(),
            patience: None,
            last_seq: 0,
        }
    }

    /// Simulates requests at `load` times the capacity as a function of time.
    fn play(&mut self, load: impl Fn(u64) -> f64) {
        for ms in 0..RUN_MS + PATIENCE_MS {
            self.end_due(ms);
            self.return_due(ms);
            let per_ms = load(ms) * CAPACITY / 1_000.0;
            if ms < RUN_MS && self.rng.random_bool(per_ms.min(1.0)) {
                self.ask(ms);
            }
            if ms.is_multiple_of(50) {
                self.dispatcher.tick(at(ms));
                self.pump(ms);
            }
        }
    }

    fn ask(&mut self, ms: u64) {
        let draw: f64 = self.rng.random_range(0.0..1.0);
        let rank = if draw < MIX[0] {
            0
        } else if draw < MIX[0] + MIX[1] {
            1
        } else {
            2
        };
        self.by_rank[rank].asked += 1;
        self.by_second.entry(ms / 1_000).or_default().1 += 1;
        self.enter(ms, ms, rank);
    }

    /// Sends a request of a caller of `rank` whose first attempt was at `asked`.
    fn enter(&mut self, ms: u64, asked: u64, rank: usize) {
        self.last_seq += 1;
        let seq = self.last_seq;
        self.asked.insert(seq, (asked, rank));
        let mut request = request(seq, rank, ms, self.rng.random_range(0.0..1.0));
        request.expires_at = at(ms + self.give_up_ms);
        if let Some(patience) = &mut self.patience {
            let left = Duration::from_millis(PATIENCE_MS - (ms - asked));
            let route = &request.class.route;
            let waited_before = patience.record_arrival(at(ms), route, left);
            request.start_by = request.start_by - waited_before;
        }
        match self.dispatcher.admit(at(ms), request) {
            Placement::Granted(grant) => self.begin(ms, grant),
            Placement::Refused(wait) => self.refuse(ms, seq, wait),
            Placement::Queued => {}
        }
    }

    fn begin(&mut self, ms: u64, grant: Grant) {
        self.ends.insert((ms + WORK_MS, grant.seq), grant);
    }

    fn refuse(&mut self, ms: u64, seq: u64, wait: Duration) {
        let (asked, rank) = self.asked[&seq];
        let got = &mut self.by_rank[rank];
        got.refused += 1;
        got.return_ms += u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        got.held_ms = got.held_ms.max(ms - asked);
        got.held_long += u64::from(ms - asked > OBJECTIVE_MS);
        if let Some(patience) = &mut self.patience {
            patience.record_refusal(at(ms), &RouteName::new(format!("route-{rank}")));
        }
        if self.do_return && !self.has_returned.contains(&seq) {
            let left = Duration::from_millis(PATIENCE_MS.saturating_sub(ms - asked));
            let pause = u64::try_from(wait.min(left / 3).as_millis()).unwrap_or(0);
            self.returns.insert((ms + pause, seq), (asked, rank));
        }
    }

    fn return_due(&mut self, ms: u64) {
        while let Some(entry) = self.returns.first_entry()
            && entry.key().0 <= ms
        {
            let (asked, rank) = entry.remove();
            self.has_returned.insert(self.last_seq + 1);
            self.enter(ms, asked, rank);
        }
    }

    fn end_due(&mut self, ms: u64) {
        while let Some(entry) = self.ends.first_entry()
            && entry.key().0 <= ms
        {
            let grant = entry.remove();
            let served = Outcome::Served { slowness: 1.0 };
            self.dispatcher
                .record_outcome(at(ms), &grant.endpoint, &grant.route, served);
            self.count(ms, grant.seq);
            self.pump(ms);
        }
    }

    fn count(&mut self, ms: u64, seq: u64) {
        let (asked, rank) = self.asked[&seq];
        if ms - asked <= OBJECTIVE_MS {
            self.by_rank[rank].on_time += 1;
            self.by_second.entry(asked / 1_000).or_default().0 += 1;
        } else {
            self.by_rank[rank].late += 1;
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
                    QueueEvent::Granted(_, grant) => self.begin(ms, grant),
                    QueueEvent::Expired(seq, wait) => self.refuse(ms, seq, wait),
                }
            }
        }
    }

    fn on_time(&self) -> u64 {
        self.by_rank.iter().map(|got| got.on_time).sum()
    }
}

fn request(seq: u64, rank: usize, ms: u64, version_draw: f64) -> DispatchRequest {
    let arrived = at(ms);
    DispatchRequest {
        start_by: arrived + Duration::from_millis(OBJECTIVE_MS - WORK_MS),
        expires_at: arrived + Duration::from_millis(PATIENCE_MS * 3 / 10),
        version_draw,
        ..fixture::request(seq, u32::try_from(rank).unwrap_or(0), ms)
    }
}

fn played(seed: u64, load: f64) -> Load {
    let mut run = Load::new(seed);
    run.play(|_| load);
    run
}

#[gtest]
fn twice_the_load_gets_no_less_answers_on_time() {
    for seed in 0..5 {
        let at_capacity = played(seed, 1.0).on_time();
        let at_twice = played(seed, 2.0).on_time();

        expect_that!(at_twice, ge(at_capacity), "seed {seed}");
    }
}

#[gtest]
fn under_overload_the_urgent_are_served_and_nobody_starves() {
    for seed in 0..5 {
        let run = played(seed, 2.0);

        let [urgent, middle, last] = run.by_rank;
        let served: u64 = run.by_rank.iter().map(|got| got.on_time + got.late).sum();
        let asked: u64 = run.by_rank.iter().map(|got| got.asked).sum();
        let all = served as f64 / asked as f64;
        expect_that!(urgent.share(), ge(0.95), "seed {seed}");
        expect_that!(urgent.on_time as f64, ge(0.95 * urgent.asked as f64));
        expect_that!(middle.share(), ge(last.share() - 0.05));
        expect_that!(last.share(), ge(0.25 * all));
    }
}

#[gtest]
fn who_is_refused_is_told_early() {
    for seed in 0..5 {
        let run = played(seed, 2.0);

        for got in run.by_rank {
            expect_that!(got.held_ms, le(PATIENCE_MS * 3 / 10 + 50), "seed {seed}");
        }
        let held_long = run.by_rank[2].held_ms;
        expect_that!(held_long, lt(PATIENCE_MS / 2), "seed {seed}");
    }
}

/// A caller that retries during the same overload would only be refused again.
#[gtest]
fn callers_come_back_later_the_less_of_their_class_is_served() {
    for seed in 0..5 {
        let mean = |load| {
            let got = played(seed, load).by_rank[2];
            got.return_ms as f64 / got.refused.max(1) as f64
        };

        let (slight, heavy) = (mean(1.2), mean(3.0));

        expect_that!(heavy, gt(slight), "seed {seed}");
        expect_that!(heavy, ge(2_000.0), "seed {seed}");
    }
}

/// Long timeouts must not keep callers waiting for a response that cannot be on time.
#[gtest]
fn who_cannot_be_served_in_time_is_not_held_for_long() {
    for seed in 0..5 {
        let mut run = Load::new(seed);
        run.give_up_ms = 3_000;
        run.play(|_| 2.0);

        let refused: u64 = run.by_rank.iter().map(|got| got.refused).sum();
        let held_long: u64 = run.by_rank.iter().map(|got| got.held_long).sum();
        let on_time = run.on_time();
        expect_that!(held_long as f64, le(0.1 * refused as f64), "seed {seed}");
        expect_that!(on_time, ge(played(seed, 1.0).on_time()), "seed {seed}");
    }
}

#[gtest]
fn service_is_back_within_seconds_of_a_burst() {
    for seed in 0..5 {
        let mut run = Load::new(seed);
        run.play(|ms| {
            if (5_000..10_000).contains(&ms) {
                3.0
            } else {
                0.6
            }
        });

        let after = || run.by_second.range(12..).map(|(_, counts)| counts);
        let on_time: u64 = after().map(|(on_time, _)| on_time).sum();
        let asked: u64 = after().map(|(_, asked)| asked).sum();
        expect_that!(on_time as f64, ge(0.98 * asked as f64), "seed {seed}");
    }
}

#[gtest]
fn nobody_is_refused_while_places_are_free() {
    for seed in 0..5 {
        let run = played(seed, 0.6);

        let refused: u64 = run.by_rank.iter().map(|got| got.refused).sum();
        expect_that!(refused, eq(0), "seed {seed}");
    }
}

/// Simulates two seconds of light load, followed by overload with retries.
fn played_with_returns(seed: u64, patience: Option<PriorWaitEstimator>) -> Load {
    let mut run = Load::new(seed);
    run.do_return = true;
    run.patience = patience;
    run.play(|ms| if ms < 2_000 { 0.6 } else { 1.6 });
    run
}

/// A retrying caller is late whatever is done, while a new one can still be served on time.
#[gtest]
fn more_are_served_on_time_when_callers_that_come_back_wait_behind_new_ones() {
    let mut gain = 0;
    for seed in 0..5 {
        let blind = played_with_returns(seed, None);
        let knowing = played_with_returns(seed, Some(PriorWaitEstimator::default()));

        let served = |run: &Load| {
            run.by_rank
                .iter()
                .map(|got| got.on_time + got.late)
                .sum::<u64>()
        };
        expect_that!(knowing.on_time(), ge(blind.on_time()), "seed {seed}");
        expect_that!(
            served(&knowing) as f64,
            ge(0.97 * served(&blind) as f64),
            "seed {seed}"
        );
        gain += knowing.on_time() - blind.on_time().min(knowing.on_time());
    }

    expect_that!(gain, gt(0));
}
