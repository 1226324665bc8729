//! Simulation of rollouts over several entries: exposure limit, outcome and deadline.

use std::time::Duration;

use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;
use eelgrassramp::VersionName;
use eelgrassramp_direct::rollout::Decision;
use eelgrassramp_direct::rollout::ExposureLimits;
use eelgrassramp_direct::rollout::Rollout;
use eelgrassramp_direct::rollout::RolloutCounts;
use eelgrassramp_direct::rollout::RolloutOrder;
use eelgrassramp_direct::rollout::RolloutOutcome;
use eelgrassramp_direct::rollout::VersionGroup;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const LIMITS: ExposureLimits = ExposureLimits {
    share: 0.1,
    slack: 50.0,
};

const DURATION_MS: u64 = 12_000;

/// Request rate over all entries in requests per second.
const REQUESTS_PER_SECOND: u64 = 100;

const ENTRIES: usize = 4;

fn order() -> RolloutOrder {
    RolloutOrder {
        id: 7,
        epoch: 1,
        revision: 7,
        pool: PoolName::from("drafts"),
        new_version: VersionName::from("v2"),
        duration: Duration::from_millis(DURATION_MS),
        outcome: None,
        rolled_back_before: None,
    }
}

/// Failure rate and slowness of a version.
#[derive(Debug, Clone, Copy)]
struct Behavior {
    failure_rate: f64,
    slowness: f64,
    from_ms: u64,
    only_route: Option<usize>,
}

const GOOD: Behavior = Behavior {
    failure_rate: 0.02,
    slowness: 1.0,
    from_ms: 0,
    only_route: None,
};

#[derive(Debug, Default)]
struct Outcome {
    sent_to_new: u64,
    sent: u64,
    ended: Option<(RolloutOutcome, u64)>,
}

/// Simulates one rollout in which entries exchange statistics every 200 ms and every request gets
/// its response at once.
fn simulate(new: Behavior, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut entries: Vec<Rollout> = (0..ENTRIES)
        .map(|_| Rollout::new(Monotonic::ZERO, order(), LIMITS))
        .collect();
    let routes: Vec<RouteName> = (0..3)
        .map(|i| RouteName::new(format!("route-{i}")))
        .collect();
    let versions = [VersionName::from("v1"), VersionName::from("v2")];
    let mut outcome = Outcome::default();
    for ms in 0..DURATION_MS {
        let now = Monotonic::from_millis(ms);
        if ms % 200 == 0 {
            exchange_stats(&mut entries);
        }
        if ms % 50 == 0 {
            let reports: Vec<_> = entries
                .iter_mut()
                .filter_map(|e| e.advance(now, 0))
                .collect();
            if let (None, Some(report)) = (outcome.ended, reports.first()) {
                outcome.ended = report.outcome.map(|end| (end, ms));
            }
        }
        if ms % (1_000 / REQUESTS_PER_SECOND) == 0 {
            let entry = &mut entries[rng.random_range(0..ENTRIES)];
            let route = rng.random_range(0..routes.len());
            let group = entry.choose_group(now, rng.random(), u32::try_from(ENTRIES).unwrap_or(1));
            let version = &versions[usize::from(group == VersionGroup::New)];
            entry.count_sent(&routes[route], version);
            outcome.sent += 1;
            outcome.sent_to_new += u64::from(group == VersionGroup::New);
            let is_affected = new.only_route.is_none_or(|only| only == route) && ms >= new.from_ms;
            let behavior = if group == VersionGroup::New && is_affected {
                new
            } else {
                GOOD
            };
            let is_failure = rng.random_bool(behavior.failure_rate);
            let slowness = behavior.slowness * rng.random_range(0.6..1.4);
            entry.count_finished(&routes[route], version, is_failure, slowness);
        }
    }
    outcome
}

fn exchange_stats(entries: &mut [Rollout]) {
    for from in 0..entries.len() {
        let stats = entries[from].local_stats();
        for (to, entry) in entries.iter_mut().enumerate() {
            if to != from {
                let peer = EntryName::new(format!("entry-{from}"));
                entry.apply_peer_stats(&peer, 1, stats.clone());
            }
        }
    }
}

fn is_rolled_back(outcome: &Outcome) -> bool {
    matches!(outcome.ended, Some((RolloutOutcome::RolledBack, _)))
}

fn max_exposure(outcome: &Outcome) -> u64 {
    outcome.sent / 10 + 50
}

#[gtest]
fn a_version_without_faults_completes_before_the_deadline() {
    for seed in 0..50 {
        let outcome = simulate(GOOD, seed);

        let (end, at_ms) = outcome.ended.expect("the rollout ends");
        expect_that!(end, eq(RolloutOutcome::Completed), "seed {seed}");
        expect_that!(at_ms, lt(DURATION_MS), "seed {seed}");
    }
}

#[gtest]
fn a_failing_version_is_rolled_back_within_the_exposure_limit() {
    for seed in 0..50 {
        let failing = Behavior {
            failure_rate: 0.4,
            ..GOOD
        };

        let outcome = simulate(failing, seed);

        expect_that!(is_rolled_back(&outcome), eq(true), "seed {seed}");
        expect_that!(
            outcome.sent_to_new,
            le(max_exposure(&outcome)),
            "seed {seed}"
        );
    }
}

#[gtest]
fn a_slow_version_is_rolled_back_within_the_exposure_limit() {
    for seed in 0..50 {
        let slow = Behavior {
            slowness: 4.0,
            ..GOOD
        };

        let outcome = simulate(slow, seed);

        expect_that!(is_rolled_back(&outcome), eq(true), "seed {seed}");
        expect_that!(
            outcome.sent_to_new,
            le(max_exposure(&outcome)),
            "seed {seed}"
        );
    }
}

#[gtest]
fn a_version_that_starts_failing_later_is_rolled_back_within_the_exposure_limit() {
    for seed in 0..50 {
        let later = Behavior {
            failure_rate: 0.5,
            from_ms: DURATION_MS / 2,
            ..GOOD
        };

        let outcome = simulate(later, seed);

        expect_that!(is_rolled_back(&outcome), eq(true), "seed {seed}");
        expect_that!(
            outcome.sent_to_new,
            le(max_exposure(&outcome)),
            "seed {seed}"
        );
    }
}

#[gtest]
fn a_version_that_fails_on_one_route_is_rolled_back_within_the_exposure_limit() {
    for seed in 0..50 {
        let one_route = Behavior {
            failure_rate: 0.6,
            only_route: Some(1),
            ..GOOD
        };

        let outcome = simulate(one_route, seed);

        expect_that!(is_rolled_back(&outcome), eq(true), "seed {seed}");
        expect_that!(
            outcome.sent_to_new,
            le(max_exposure(&outcome)),
            "seed {seed}"
        );
    }
}

#[gtest]
fn an_outcome_reported_by_another_entry_is_adopted() {
    for reported in [
        Decision::proposed(RolloutOutcome::RolledBack),
        Decision::committed(RolloutOutcome::RolledBack),
    ] {
        let mut rollout = Rollout::new(Monotonic::ZERO, order(), LIMITS);
        let counts = RolloutCounts {
            decision: Some(reported),
            ..rollout.local_counts()
        };

        rollout.apply_peer_counts(&EntryName::from("entry-2"), 1, counts);

        let near_deadline = Monotonic::from_millis(DURATION_MS - 500);
        expect_that!(
            rollout.choose_group(near_deadline, 0.0, 4),
            eq(VersionGroup::Old)
        );
        expect_that!(rollout.advance(near_deadline, 0), none());
    }
}

/// Guards against an entry that restarts, whose requests to the new version then no longer count.
#[gtest]
fn what_a_process_counted_still_counts_after_its_entry_restarted() {
    let peer = EntryName::from("entry-2");
    let route = RouteName::from("route-0");
    let mut before = Rollout::new(Monotonic::ZERO, order(), LIMITS);
    let mut after = Rollout::new(Monotonic::ZERO, order(), LIMITS);
    for _ in 0..15 {
        before.count_finished(&route, &VersionName::from("v2"), true, f64::NAN);
    }
    after.count_finished(&route, &VersionName::from("v2"), false, f64::NAN);
    let mut rollout = Rollout::new(Monotonic::ZERO, order(), LIMITS);

    rollout.apply_peer_counts(&peer, 1, before.local_counts());
    rollout.apply_peer_counts(&peer, 2, after.local_counts());

    let report = rollout.advance(Monotonic::from_millis(1_000), 0);
    let outcome = report.and_then(|report| report.outcome);
    expect_that!(outcome, some(eq(RolloutOutcome::RolledBack)));
}
