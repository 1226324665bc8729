//! Moves to a new version over several entries: exposure, verdicts and the end.

use std::time::Duration;

use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;
use eelgrassramp::VersionName;
use eelgrassramp_direct::rollout::ExposureLimits;
use eelgrassramp_direct::rollout::Rollout;
use eelgrassramp_direct::rollout::RolloutOrder;
use eelgrassramp_direct::rollout::RolloutOutcome;
use eelgrassramp_direct::rollout::Side;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const LIMITS: ExposureLimits = ExposureLimits {
    share: 0.1,
    slack: 50.0,
};

const DURATION_MS: u64 = 12_000;

/// Requests a second over all entries.
const RATE: u64 = 100;

const ENTRIES: usize = 4;

fn order() -> RolloutOrder {
    RolloutOrder {
        id: 7,
        pool: PoolName::from("drafts"),
        target: VersionName::from("v2"),
        duration: Duration::from_millis(DURATION_MS),
        ended: None,
    }
}

/// How a version answers.
#[derive(Debug, Clone, Copy)]
struct Quality {
    failures: f64,
    slowness: f64,
    from_ms: u64,
    only_route: Option<usize>,
}

const GOOD: Quality = Quality {
    failures: 0.02,
    slowness: 1.0,
    from_ms: 0,
    only_route: None,
};

#[derive(Debug, Default)]
struct Outcome {
    exposed: u64,
    all: u64,
    ended: Option<(RolloutOutcome, u64)>,
}

/// Plays one move with an exchange every 200 ms and answers after 300 ms.
fn play(new: Quality, seed: u64) -> Outcome {
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
            exchange(&mut entries);
        }
        if ms % 50 == 0 {
            let reports: Vec<_> = entries
                .iter_mut()
                .filter_map(|e| e.advance(now, 0))
                .collect();
            if let (None, Some(report)) = (outcome.ended, reports.first()) {
                outcome.ended = report.ended.map(|end| (end, ms));
            }
        }
        if ms % (1_000 / RATE) == 0 {
            let entry = &mut entries[rng.random_range(0..ENTRIES)];
            let route = rng.random_range(0..routes.len());
            let side = entry.choose_side(now, rng.random(), u32::try_from(ENTRIES).unwrap_or(1));
            let version = &versions[usize::from(side == Side::New)];
            entry.count_sent(&routes[route], version);
            outcome.all += 1;
            outcome.exposed += u64::from(side == Side::New);
            let is_hit = new.only_route.is_none_or(|only| only == route) && ms >= new.from_ms;
            let quality = if side == Side::New && is_hit {
                new
            } else {
                GOOD
            };
            let is_bad = rng.random_bool(quality.failures);
            let slowness = quality.slowness * rng.random_range(0.6..1.4);
            entry.count_answer(&routes[route], version, is_bad, slowness);
        }
    }
    outcome
}

fn exchange(entries: &mut [Rollout]) {
    for from in 0..entries.len() {
        let usage = entries[from].local_stats();
        for (to, entry) in entries.iter_mut().enumerate() {
            if to != from {
                entry.apply_peer_stats(&EntryName::new(format!("entry-{from}")), usage.clone());
            }
        }
    }
}

fn is_rolled_back(outcome: &Outcome) -> bool {
    matches!(outcome.ended, Some((RolloutOutcome::RolledBack, _)))
}

fn allowed(outcome: &Outcome) -> u64 {
    outcome.all / 10 + 50
}

#[gtest]
fn a_good_version_completes_before_the_date() {
    for seed in 0..50 {
        let outcome = play(GOOD, seed);

        let (end, at_ms) = outcome.ended.expect("the move ends");
        expect_that!(end, eq(RolloutOutcome::Completed), "seed {seed}");
        expect_that!(at_ms, lt(DURATION_MS), "seed {seed}");
    }
}

#[gtest]
fn a_version_that_fails_is_rolled_back_within_its_exposure() {
    for seed in 0..50 {
        let bad = Quality {
            failures: 0.4,
            ..GOOD
        };

        let outcome = play(bad, seed);

        expect_that!(is_rolled_back(&outcome), eq(true), "seed {seed}");
        expect_that!(outcome.exposed, le(allowed(&outcome)), "seed {seed}");
    }
}

#[gtest]
fn a_version_that_is_slow_is_rolled_back_within_its_exposure() {
    for seed in 0..50 {
        let slow = Quality {
            slowness: 4.0,
            ..GOOD
        };

        let outcome = play(slow, seed);

        expect_that!(is_rolled_back(&outcome), eq(true), "seed {seed}");
        expect_that!(outcome.exposed, le(allowed(&outcome)), "seed {seed}");
    }
}

#[gtest]
fn a_version_that_turns_bad_later_is_rolled_back_within_its_exposure() {
    for seed in 0..50 {
        let later = Quality {
            failures: 0.5,
            from_ms: DURATION_MS / 2,
            ..GOOD
        };

        let outcome = play(later, seed);

        expect_that!(is_rolled_back(&outcome), eq(true), "seed {seed}");
        expect_that!(outcome.exposed, le(allowed(&outcome)), "seed {seed}");
    }
}

#[gtest]
fn a_version_that_is_bad_on_one_route_is_rolled_back_within_its_exposure() {
    for seed in 0..50 {
        let one_route = Quality {
            failures: 0.6,
            only_route: Some(1),
            ..GOOD
        };

        let outcome = play(one_route, seed);

        expect_that!(is_rolled_back(&outcome), eq(true), "seed {seed}");
        expect_that!(outcome.exposed, le(allowed(&outcome)), "seed {seed}");
    }
}

#[gtest]
fn a_verdict_that_another_entry_reported_stands() {
    let mut rollout = Rollout::new(Monotonic::ZERO, order(), LIMITS);

    rollout.set_ended(Some(RolloutOutcome::RolledBack));

    let late = Monotonic::from_millis(DURATION_MS - 500);
    expect_that!(rollout.choose_side(late, 0.0, 4), eq(Side::Old));
    expect_that!(rollout.advance(late, 0), none());
}
