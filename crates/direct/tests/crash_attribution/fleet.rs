//! Simulation of a fleet in which a part of prompts or one request crashes endpoints, or endpoints crash for
//! another reason.

use std::collections::HashSet;

use eelgrassramp::PromptPart;
use eelgrassramp_direct::crash_attribution::CrashAttribution;
use eelgrassramp_direct::crash_attribution::Suspect;
use eelgrassramp_direct::endpoint::IncarnationKey;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::at;
use super::incarnation;
use super::parts;
use super::request_parts;

/// Duration of a simulation.
const RUN_MS: u64 = 30_000;

/// Time step of a simulation.
const STEP_MS: u64 = 10;

/// Time from which requests with the crashing part are sent, or endpoints crash.
const TROUBLE_FROM_MS: u64 = 5_000;

/// Time for which a crashed endpoint is down.
const DOWN_MS: u64 = 3_000;

/// Time from the start of a request until its response begins.
const BEGIN_MS: u64 = 70;

/// Time that a response takes.
const RESPONSE_MS: u64 = 700;

/// Number of crashes after which entries have [`REACTION_MS`] to block the part.
const TOLERATED_CRASHES_BY_PART: usize = 5;

/// The same for a request.
const TOLERATED_CRASHES_BY_REQUEST: usize = 3;

const REACTION_MS: u64 = 3_000;

/// Number of other parts that requests share.
const SUBJECTS: u32 = 200;

const MAX_REQUESTS_PER_STEP: u32 = 8;

/// Number of endpoints to which a request is sent while they crash.
const MAX_ATTEMPTS: u32 = 3;

/// Part that crashes endpoints.
const CRASHING_PART: &str = "bad";

/// Body of the request that crashes endpoints.
const CRASHING_BODY: &str = "crash";

#[derive(Debug, Clone, Copy)]
enum Trouble {
    /// Requests with the crashing part, this many a second.
    CrashingPart(f64),
    /// Copies of the crashing request, this many a second.
    CrashingRequest(f64),
    /// Endpoints that crash by themselves, this many a second.
    Crashes(f64),
    /// Half of the endpoints crash together, each this many milliseconds.
    CommonCrashes(u64),
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    entries: usize,
    endpoints: usize,
    slots: usize,
    /// Sound requests per second.
    rate: f64,
    trouble: Trouble,
    /// Entries that exchange nothing with the others.
    cut_off: usize,
}

struct Running {
    entry: usize,
    started_ms: u64,
    parts: Vec<PromptPart>,
    crashes_endpoints: bool,
    attempt: u32,
}

struct SimulatedEndpoint {
    key: IncarnationKey,
    up_from_ms: u64,
    running: Vec<Running>,
}

struct Outcome {
    /// Times of the crashes.
    crashes: Vec<u64>,
    /// Time from which all entries block the crashing part or request.
    blocked_ms: Option<u64>,
    /// Sound parts and requests that an entry blocked.
    wrongly_blocked: Vec<PromptPart>,
}

impl Outcome {
    fn bound_ms(&self, tolerated_crashes: usize) -> u64 {
        let bound = self.crashes.get(tolerated_crashes - 1);
        bound.map_or(u64::MAX, |ms| ms + REACTION_MS)
    }
}

struct Fleet {
    scenario: Scenario,
    rng: StdRng,
    entries: Vec<CrashAttribution>,
    endpoints: Vec<SimulatedEndpoint>,
    crashes: Vec<u64>,
    requests: u64,
    /// Parts that crash endpoints, and the requests with them.
    causes: HashSet<PromptPart>,
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let endpoints = (0..scenario.endpoints).map(|n| SimulatedEndpoint {
            key: incarnation(n, 0),
            up_from_ms: 0,
            running: Vec::new(),
        });
        Self {
            scenario,
            rng: StdRng::seed_from_u64(seed),
            entries: (0..scenario.entries)
                .map(|_| CrashAttribution::default())
                .collect(),
            endpoints: endpoints.collect(),
            crashes: Vec::new(),
            requests: 0,
            causes: HashSet::from([PromptPart::from(CRASHING_PART)]),
        }
    }

    fn play(mut self) -> Outcome {
        let mut blocked_ms = None;
        for now_ms in (0..RUN_MS / STEP_MS).map(|step| step * STEP_MS) {
            self.send_requests(now_ms);
            self.crash_endpoints(now_ms);
            self.finish_responses(now_ms);
            if now_ms.is_multiple_of(50) {
                for entry in &mut self.entries {
                    entry.expire(at(now_ms));
                    entry.attribute(at(now_ms));
                }
            }
            if now_ms.is_multiple_of(300) {
                self.exchange(now_ms);
            }
            if blocked_ms.is_none() && self.all_block(now_ms) {
                blocked_ms = Some(now_ms);
            }
        }
        let blocked = self
            .entries
            .iter()
            .flat_map(CrashAttribution::blocked_parts);
        let wrongly = blocked.filter(|part| !self.causes.contains(*part));
        Outcome {
            wrongly_blocked: wrongly.cloned().collect(),
            crashes: self.crashes,
            blocked_ms,
        }
    }

    fn all_block(&mut self, now_ms: u64) -> bool {
        let prompt = match self.scenario.trouble {
            Trouble::CrashingRequest(_) => crashing_request(),
            _ => parts(&["all", CRASHING_PART, "own"]),
        };
        let mut entries = self.entries.iter_mut();
        entries.all(|entry| entry.blocked_part(at(now_ms), &prompt).is_some())
    }

    fn send_requests(&mut self, now_ms: u64) {
        let sound = self.scenario.rate * STEP_MS as f64 / 1_000.0;
        for _ in 0..self.draw_count(sound) {
            // Few parts are in many requests, and many parts in few.
            let draws = [(); 3].map(|()| self.rng.random_range(0..SUBJECTS));
            let subject = draws.into_iter().fold(SUBJECTS, u32::min);
            let request = self.new_request(&format!("subject-{subject}"));
            self.send(now_ms, request, false, 1);
        }
        let (Trouble::CrashingPart(rate) | Trouble::CrashingRequest(rate)) = self.scenario.trouble
        else {
            return;
        };
        if now_ms < TROUBLE_FROM_MS {
            return;
        }
        for _ in 0..self.draw_count(rate * STEP_MS as f64 / 1_000.0) {
            let request = match self.scenario.trouble {
                Trouble::CrashingRequest(_) => crashing_request(),
                _ => self.new_request(CRASHING_PART),
            };
            // The part before the last stands for the whole request.
            self.causes.insert(request[request.len() - 2].clone());
            self.send(now_ms, request, true, 1);
        }
    }

    /// Returns the parts of a request that comes only once.
    fn new_request(&mut self, part: &str) -> Vec<PromptPart> {
        self.requests += 1;
        let own = format!("own-{}", self.requests);
        request_parts(&own, &["all", part, &own])
    }

    /// Returns a number with this mean, at most [`MAX_REQUESTS_PER_STEP`].
    fn draw_count(&mut self, mean: f64) -> u32 {
        let draws = 0..MAX_REQUESTS_PER_STEP;
        let each = mean / f64::from(MAX_REQUESTS_PER_STEP);
        draws.map(|_| u32::from(self.rng.random_bool(each))).sum()
    }

    fn send(&mut self, now_ms: u64, parts: Vec<PromptPart>, crashes_endpoints: bool, attempt: u32) {
        let entry = self.rng.random_range(0..self.entries.len());
        let blocked = self.entries[entry].blocked_part(at(now_ms), &parts);
        if blocked.is_some() {
            return;
        }
        let first = self.rng.random_range(0..self.endpoints.len());
        let count = self.endpoints.len();
        let slots = self.scenario.slots;
        let free = (0..count).map(|n| (first + n) % count).find(|n| {
            let endpoint = &self.endpoints[*n];
            endpoint.up_from_ms <= now_ms && endpoint.running.len() < slots
        });
        if let Some(endpoint) = free {
            self.endpoints[endpoint].running.push(Running {
                entry,
                started_ms: now_ms,
                parts,
                crashes_endpoints,
                attempt,
            });
        }
    }

    fn crash_endpoints(&mut self, now_ms: u64) {
        for endpoint in 0..self.endpoints.len() {
            if self.endpoints[endpoint].up_from_ms <= now_ms && self.crashes_now(now_ms, endpoint) {
                self.crash(now_ms, endpoint);
            }
        }
    }

    fn crashes_now(&mut self, now_ms: u64, endpoint: usize) -> bool {
        match self.scenario.trouble {
            Trouble::CrashingPart(_) | Trouble::CrashingRequest(_) => {
                let mut running = self.endpoints[endpoint].running.iter();
                running.any(|r| r.crashes_endpoints && now_ms >= r.started_ms + BEGIN_MS)
            }
            Trouble::Crashes(rate) if now_ms >= TROUBLE_FROM_MS => {
                let per_step = rate * STEP_MS as f64 / 1_000.0 / self.endpoints.len() as f64;
                self.rng.random_bool(per_step)
            }
            Trouble::CommonCrashes(interval_ms) if now_ms >= TROUBLE_FROM_MS => {
                now_ms.is_multiple_of(interval_ms) && endpoint.is_multiple_of(2)
            }
            Trouble::Crashes(_) | Trouble::CommonCrashes(_) => false,
        }
    }

    fn crash(&mut self, now_ms: u64, endpoint: usize) {
        self.crashes.push(now_ms);
        let crashed = &mut self.endpoints[endpoint];
        let key = crashed.key;
        let lost = std::mem::take(&mut crashed.running);
        for running in &lost {
            let is_beginning = now_ms < running.started_ms + 2 * BEGIN_MS;
            if is_beginning && let Some(suspect) = Suspect::of_prompt(&running.parts) {
                let entry = &mut self.entries[running.entry];
                entry.record_loss(at(now_ms), key, suspect);
                entry.confirm_crash(key);
            }
        }
        crashed.up_from_ms = now_ms + DOWN_MS;
        crashed.key = incarnation(endpoint, now_ms + DOWN_MS);
        for running in lost.into_iter().filter(|r| r.attempt < MAX_ATTEMPTS) {
            let next = running.attempt + 1;
            self.send(now_ms, running.parts, running.crashes_endpoints, next);
        }
    }

    fn finish_responses(&mut self, now_ms: u64) {
        for endpoint in &mut self.endpoints {
            let entries = &mut self.entries;
            endpoint.running.retain(|running| {
                let age_ms = now_ms - running.started_ms;
                let entry = &mut entries[running.entry];
                if age_ms >= 2 * BEGIN_MS {
                    entry.record_success(at(now_ms), &running.parts);
                }
                age_ms < RESPONSE_MS
            });
        }
    }

    fn exchange(&mut self, now_ms: u64) {
        let connected = self.scenario.cut_off..;
        let told: Vec<_> = self.entries[connected.clone()]
            .iter()
            .map(|entry| entry.evidence_to_share(at(now_ms)))
            .collect();
        for (to, entry) in self.entries[connected].iter_mut().enumerate() {
            for (from, evidence) in told.iter().enumerate() {
                if from != to {
                    entry.apply_evidence(at(now_ms), evidence);
                }
            }
        }
    }
}

fn crashing_request() -> Vec<PromptPart> {
    request_parts(CRASHING_BODY, &["all", "subject-0", "own"])
}

fn scenarios(trouble: impl Fn(f64) -> Trouble) -> Vec<Scenario> {
    let sizes = [
        (1, 6, 4, 20.0),
        (4, 18, 5, 80.0),
        (6, 9, 16, 110.0),
        (28, 50, 4, 250.0),
    ];
    let scenarios = sizes.map(|(entries, endpoints, slots, rate)| Scenario {
        entries,
        endpoints,
        slots,
        rate,
        trouble: trouble(endpoints as f64),
        cut_off: 0,
    });
    scenarios.to_vec()
}

/// Checks that all entries block what crashes endpoints in time, and nothing else; `trouble` makes trouble
/// of a given rate.
fn check_only_the_cause_is_blocked(trouble: fn(f64) -> Trouble, tolerated_crashes: usize) {
    for rate in [1.0, 4.0, 8.0] {
        for scenario in scenarios(|_| trouble(rate)) {
            for seed in 0..3 {
                let outcome = Fleet::new(scenario, seed).play();

                let case = format!("{scenario:?}, seed {seed}");
                let bound_ms = outcome.bound_ms(tolerated_crashes);
                expect_that!(outcome.blocked_ms, some(lt(bound_ms)), "{case}");
                expect_that!(outcome.wrongly_blocked, is_empty(), "{case}");
            }
        }
    }
}

#[gtest]
fn only_the_crashing_part_is_blocked_and_in_time() {
    check_only_the_cause_is_blocked(Trouble::CrashingPart, TOLERATED_CRASHES_BY_PART);
}

#[gtest]
fn only_the_crashing_request_is_blocked_and_in_time() {
    check_only_the_cause_is_blocked(Trouble::CrashingRequest, TOLERATED_CRASHES_BY_REQUEST);
}

#[gtest]
fn crashes_that_an_entry_does_not_report_block_no_sound_part() {
    for rate in [4.0, 16.0] {
        for scenario in scenarios(|_| Trouble::CrashingPart(rate)) {
            for seed in 0..3 {
                let cut_off = scenario.entries / 3;
                let scenario = Scenario {
                    cut_off,
                    ..scenario
                };

                let outcome = Fleet::new(scenario, seed).play();

                expect_that!(
                    outcome.wrongly_blocked,
                    is_empty(),
                    "{scenario:?}, seed {seed}"
                );
            }
        }
    }
}

#[gtest]
fn endpoints_that_crash_for_another_reason_block_nothing() {
    let troubles = [
        scenarios(|endpoints| Trouble::Crashes(endpoints / 6.0)),
        scenarios(|_| Trouble::Crashes(1.0)),
        scenarios(|_| Trouble::CommonCrashes(4_000)),
    ];
    for scenario in troubles.concat() {
        for seed in 0..3 {
            let outcome = Fleet::new(scenario, seed).play();

            expect_that!(
                outcome.wrongly_blocked,
                is_empty(),
                "{scenario:?}, seed {seed}"
            );
        }
    }
}
