//! Runs seeded moves of a simulated pool and prints their results.
//!
//! `cargo run --release --example moves -- --moves 200 --seed 1`

#[path = "../tests/rollout/simulation.rs"]
mod simulation;
#[path = "../tests/rollout/threshold.rs"]
mod threshold;
#[path = "../tests/rollout/trial.rs"]
mod trial;

use std::thread;

use simulation::Disturbances;
use simulation::Fault;
use trial::MoveResult;
use trial::Policy;
use trial::Scenario;

const STORM: Disturbances = Disturbances {
    bursts: true,
    slow_engines: true,
    crashes: true,
};

const CALM: Disturbances = Disturbances {
    bursts: false,
    slow_engines: false,
    crashes: false,
};

/// Maximum number of unexpected results printed for each row.
const MAX_PRINTED: usize = 3;

fn main() {
    let moves = argument("--moves", 200);
    let seed = argument("--seed", 1);
    let threads = argument("--threads", 2);
    let only = text_argument("--only");
    println!(
        "| version | conditions | verdict | moves | fault met | taken back | done by the date | bad requests p50 | p99 | share of traffic p50 | p99 | > 2 s after verdict |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for policy in [Policy::Sequential, Policy::FixedThreshold] {
        for (name, setup) in setups(policy) {
            if only
                .as_ref()
                .is_some_and(|only| !name.contains(only.as_str()))
            {
                continue;
            }
            let results = run_all(&setup, seed, moves, threads);
            print_row(name, &setup, &results);
        }
    }
}

fn setups(policy: Policy) -> Vec<(&'static str, Scenario)> {
    let setup = |fault, disturbances, old, new| Scenario {
        fault,
        disturbances,
        policy,
        old,
        new,
        minutes: 90,
    };
    let bad = |fault| setup(fault, CALM, 10, 10);
    let mut setups = vec![
        ("good, calm", setup(Fault::None, CALM, 10, 10)),
        ("good, storm", setup(Fault::None, STORM, 10, 10)),
        (
            "good, few endpoints, storm",
            setup(Fault::None, STORM, 10, 6),
        ),
        ("fails 100 %", bad(Fault::Fails(1.0))),
        ("fails 20 %", bad(Fault::Fails(0.2))),
        ("fails 5 %", bad(Fault::Fails(0.05))),
        ("slow 2x", bad(Fault::Slow(2.0))),
        ("slow 1.3x", bad(Fault::Slow(1.3))),
        (
            "fails 20 % after 20 min",
            bad(Fault::FailsAfterSeconds(1_200, 0.2)),
        ),
        (
            "fails 20 % after 50 min",
            bad(Fault::FailsAfterSeconds(3_000, 0.2)),
        ),
        ("fails 20 % under load", bad(Fault::FailsUnderLoad(0.2))),
        ("slow 2x under load", bad(Fault::SlowUnderLoad(2.0))),
        (
            "fails 20 % on orders only",
            bad(Fault::FailsOnRoute(3, 0.2)),
        ),
        ("duplicates 2 % of charges", bad(Fault::Duplicates(0.02))),
    ];
    for (name, fault) in [
        ("fails 20 %, storm", Fault::Fails(0.2)),
        ("slow 2x, storm", Fault::Slow(2.0)),
    ] {
        setups.push((name, setup(fault, STORM, 10, 10)));
    }
    setups
}

fn run_all(setup: &Scenario, seed: u64, moves: u64, threads: u64) -> Vec<MoveResult> {
    thread::scope(|scope| {
        let run = |t: u64| {
            let own = (0..moves).filter(move |i| i % threads == t);
            own.map(|i| trial::run(setup, seed * 100_000 + i))
                .collect::<Vec<_>>()
        };
        let handles: Vec<_> = (0..threads).map(|t| scope.spawn(move || run(t))).collect();
        let joined = handles.into_iter().map(thread::ScopedJoinHandle::join);
        joined.flat_map(|r| r.expect("a trial panicked")).collect()
    })
}

fn print_row(name: &str, setup: &Scenario, results: &[MoveResult]) {
    let count = |f: &dyn Fn(&MoveResult) -> bool| results.iter().filter(|e| f(e)).count();
    let mut bad: Vec<u64> = results.iter().map(|e| e.bad).collect();
    bad.sort_unstable();
    let share = |e: &MoveResult| e.bad as f64 / e.total.max(1) as f64 * 100.0;
    let mut shares: Vec<f64> = results.iter().map(share).collect();
    shares.sort_unstable_by(f64::total_cmp);
    let at = |p: usize| (results.len() - 1) * p / 100;
    println!(
        "| {name} | {} | {:?} | {} | {} | {} | {} | {} | {} | {:.2} % | {:.2} % | {} |",
        if setup.disturbances.bursts {
            "storm"
        } else {
            "calm"
        },
        setup.policy,
        results.len(),
        count(&|e| e.fault_fired),
        count(&|e| e.taken_back_ms.is_some()),
        count(&MoveResult::is_done_in_time),
        bad[at(50)],
        bad[at(99)],
        shares[at(50)],
        shares[at(99)],
        results.iter().map(|e| e.dispatched_late).sum::<u64>(),
    );
    let unexpected = results.iter().filter(|e| is_unexpected(setup, e));
    for result in unexpected.take(MAX_PRINTED) {
        eprintln!(
            "{name}: done {:?} by {} taken back {:?}: {} {}",
            result.done_ms,
            result.by_ms,
            result.taken_back_ms,
            result.evidence.as_deref().unwrap_or("-"),
            result.late_reason.as_deref().unwrap_or("-"),
        );
    }
}

fn is_unexpected(setup: &Scenario, result: &MoveResult) -> bool {
    if std::env::args().any(|a| a == "--tell-all") {
        return true;
    }
    if setup.fault == Fault::None {
        return result.taken_back_ms.is_some() || !result.is_done_in_time();
    }
    result.taken_back_ms.is_none()
}

fn argument(name: &str, default: u64) -> u64 {
    text_argument(name).map_or(default, |text| text.parse().expect("a whole number"))
}

fn text_argument(name: &str) -> Option<String> {
    let mut args = std::env::args().skip_while(|a| a != name);
    args.nth(1)
}
