//! Verdicts on single endpoints and on common trouble.

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

/// What one endpoint does in each window.
#[derive(Clone, Copy)]
struct Doing {
    version: &'static str,
    ok: u64,
    failed: u64,
    slowness: f64,
}

const GOOD_OLD: Doing = Doing {
    version: OLD,
    ok: 10,
    failed: 0,
    slowness: 1.0,
};

const GOOD_NEW: Doing = Doing {
    version: NEW,
    ok: 3,
    failed: 0,
    slowness: 1.0,
};

const FAILING_NEW: Doing = Doing {
    ok: 1,
    failed: 2,
    ..GOOD_NEW
};

fn outcomes(doing: &Doing, windows: u64) -> Outcomes {
    let ok = (doing.ok * windows) as f64;
    let log = doing.slowness.ln();
    Outcomes {
        route: "greetings".into(),
        tier: Tier::Interactive,
        version: doing.version.into(),
        ok: doing.ok * windows,
        failed: doing.failed * windows,
        duplicated: 0,
        log_slowness_sum: ok * log,
        log_slowness_square_sum: ok * log * log,
    }
}

fn judge(endpoints: &[Doing], windows: u64) -> Option<Finding> {
    let mut judge = Judge::new(OLD.into(), NEW.into());
    for window in 0..=windows {
        for (i, doing) in endpoints.iter().enumerate() {
            let name = EndpointName::new(format!("e{i}"));
            judge.report(&name, &load(5), &[outcomes(doing, window)]);
        }
        if let Some(found) = judge.close_window() {
            return Some(found);
        }
    }
    None
}

#[gtest]
fn a_version_that_fails_on_all_its_endpoints_is_bad() {
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
fn one_failing_endpoint_is_an_outlier_and_not_a_bad_version() {
    let found = judge(
        &[GOOD_OLD, GOOD_OLD, FAILING_NEW, GOOD_NEW, GOOD_NEW],
        1_000,
    );

    expect_that!(found, none());
}

#[gtest]
fn one_slow_endpoint_is_an_outlier_and_not_a_bad_version() {
    let slow = Doing {
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
fn trouble_that_the_old_version_has_alike_is_no_badness() {
    let old = Doing {
        ok: 3,
        failed: 6,
        slowness: 5.0,
        ..GOOD_OLD
    };
    let new = Doing {
        slowness: 5.0,
        ..FAILING_NEW
    };

    let found = judge(&[old, old, new, new], 1_000);

    expect_that!(found, none());
}

#[gtest]
fn one_window_of_failures_is_never_enough() {
    let crash = Doing {
        ok: 0,
        failed: 1_000,
        ..GOOD_NEW
    };

    let found = judge(&[GOOD_OLD, crash, crash], 1);

    expect_that!(found, none());
}

#[gtest]
fn slowness_is_found_without_any_failure() {
    let slow = Doing {
        slowness: 2.0,
        ..GOOD_NEW
    };

    let found = judge(&[GOOD_OLD, GOOD_OLD, slow, slow], 60);

    expect_that!(found.map(|f| f.regression), some(eq(Regression::Slow)));
}
