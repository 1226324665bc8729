//! The guarantees hold in a short overload run of real entries and sidecars.

use eelgrassramp::Tier;
use eelgrassramp_standins::cluster::Scheduling;
use eelgrassramp_standins::experiment::Case;
use eelgrassramp_standins::experiment::Experiment;
use eelgrassramp_standins::experiment::run_case;
use googletest::prelude::*;

const SMOKE: &str = include_str!("../experiments/smoke.jsonc");

fn experiment() -> Experiment {
    Experiment::from_str(SMOKE, "smoke.jsonc").expect("a valid experiment")
}

const fn overloaded() -> Case {
    Case {
        scheduling: Scheduling::Ours,
        load: 1.5,
        silent: Vec::new(),
    }
}

#[gtest]
#[test]
fn an_overloaded_run_keeps_all_promises() {
    let experiment = experiment();

    let result = run_case(&experiment, &overloaded()).expect("the run starts");

    let broken: Vec<_> = result.checks.iter().filter(|c| c.violations > 0).collect();
    expect_that!(broken, is_empty());
    let looked_at: Vec<u64> = result.checks.iter().map(|c| c.cases).collect();
    expect_that!(looked_at, each(gt(&0)));
}

#[gtest]
#[test]
fn an_overloaded_run_answers_orders_in_time() {
    let experiment = experiment();

    let result = run_case(&experiment, &overloaded()).expect("the run starts");

    let orders = &result.summary.tiers[&Tier::Order];
    expect_that!(orders.goodput(), ge(0.98));
}
