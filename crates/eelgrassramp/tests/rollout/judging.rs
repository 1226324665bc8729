//! Tests of [`Judge`]: outlier endpoints, and problems of both versions.

use eelgrassramp::EndpointName;
use eelgrassramp::Tier;
use eelgrassramp::rollout::Finding;
use eelgrassramp::rollout::Judge;
use eelgrassramp::rollout::Regression;
use eelgrassramp::wire::Outcomes;
use googletest::prelude::*;

use crate::simulation::NEW;
use crate::simulation::OLD;
use crate::simulation::load;

/// Outcomes of one endpoint in each window.
#[derive(Clone, Copy)]
struct EndpointBehavior {
    version: &'static str,
    ok: u64,
    failed: u64,
    slowness: f64,
}

const GOOD_OLD: EndpointBehavior = EndpointBehavior {
    version: OLD,
    ok: 10,
    failed: 0,
    slowness: 1.0,
};

const GOOD_NEW: EndpointBehavior = EndpointBehavior {
    version: NEW,
    ok: 3,
    failed: 0,
    slowness: 1.0,
};

const FAILING_NEW: EndpointBehavior = EndpointBehavior {
    ok: 1,
    failed: 2,
    ..GOOD_NEW
};

fn outcomes(behavior: &EndpointBehavior, windows: u64) -> Outcomes {
    let ok = (behavior.ok * windows) as f64;
    let log = behavior.slowness.ln();
    Outcomes {
        route: "greetings".into(),
        tier: Tier::Interactive,
        version: behavior.version.into(),
        ok: behavior.ok * windows,
        failed: behavior.failed * windows,
        duplicated: 0,
        log_slowness_sum: ok * log,
        log_slowness_square_sum: ok * log * log,
    }
}

fn judge(endpoints: &[EndpointBehavior], windows: u64) -> Option<Finding> {
    let mut judge = Judge::new(OLD.into(), NEW.into());
    for window in 0..=windows {
        for (i, behavior) in endpoints.iter().enumerate() {
            let name = EndpointName::new(format!("e{i}"));
            judge.report(&name, &load(5), &[outcomes(behavior, window)]);
        }
        if let Some(found) = judge.close_window() {
            return Some(found);
        }
    }
    None
}

#[gtest]
fn a_version_that_fails_on_all_its_endpoints_has_regressed() {
    let found = judge(&[GOOD_OLD, GOOD_OLD, FAILING_NEW, FAILING_NEW], 30);

    let found = found.map(|f| (f.regression, f.evidence));
    expect_that!(
        found,
        some((
            eq(&Regression::Failing),
            starts_with("route \"greetings\", tier interactive: ")
        ))
    );
}

#[gtest]
fn one_failing_endpoint_is_an_outlier_and_not_a_regression() {
    let found = judge(
        &[GOOD_OLD, GOOD_OLD, FAILING_NEW, GOOD_NEW, GOOD_NEW],
        1_000,
    );

    expect_that!(found, none());
}

#[gtest]
fn one_slow_endpoint_is_an_outlier_and_not_a_regression() {
    let slow = EndpointBehavior {
        slowness: 4.0,
        ..GOOD_NEW
    };

    let found = judge(&[GOOD_OLD, GOOD_OLD, slow, GOOD_NEW, GOOD_NEW], 1_000);

    expect_that!(found, none());
}

#[gtest]
fn a_version_with_a_single_endpoint_is_judged() {
    let found = judge(&[GOOD_OLD, GOOD_OLD, FAILING_NEW], 30);

    expect_that!(found.map(|f| f.regression), some(eq(Regression::Failing)));
}

#[gtest]
fn problems_of_both_versions_are_not_a_regression() {
    let old = EndpointBehavior {
        ok: 3,
        failed: 6,
        slowness: 5.0,
        ..GOOD_OLD
    };
    let new = EndpointBehavior {
        slowness: 5.0,
        ..FAILING_NEW
    };

    let found = judge(&[old, old, new, new], 1_000);

    expect_that!(found, none());
}

#[gtest]
fn one_window_of_failures_is_not_enough_for_a_verdict() {
    let crash = EndpointBehavior {
        ok: 0,
        failed: 1_000,
        ..GOOD_NEW
    };

    let found = judge(&[GOOD_OLD, crash, crash], 1);

    expect_that!(found, none());
}

#[gtest]
fn slowness_is_found_without_any_failure() {
    let slow = EndpointBehavior {
        slowness: 2.0,
        ..GOOD_NEW
    };

    let found = judge(&[GOOD_OLD, GOOD_OLD, slow, slow], 60);

    expect_that!(found.map(|f| f.regression), some(eq(Regression::Slow)));
}
