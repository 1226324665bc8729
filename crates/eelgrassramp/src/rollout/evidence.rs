//! Sequential tests of whether a version has regressed.
//!
//! Each test is a CUSUM: a cumulative sum of log likelihood ratios that never falls below zero,
//! so that a regression which starts late is counted from its start. One window can add at most
//! a third of the threshold, because failures within a window are rarely independent. For the
//! error rate see `docs/design/rollout.md`, "Error rates".

use std::ops::AddAssign;
use std::ops::Sub;

/// Maximum duration for which the false rollback probability holds, in windows.
const PLANNED_WINDOWS: f64 = 100_000.0;

/// Maximum number of concurrent tests in one move: routes times kinds of test.
const PLANNED_TESTS: f64 = 24.0;

/// Probability of rolling back a good version over one whole move.
const FALSE_ROLLBACK_PROBABILITY: f64 = 0.005;

/// Minimum number of windows needed for a verdict.
const MIN_WINDOWS: f64 = 3.0;

/// Number of alternative hypotheses in each failure test.
pub(super) const FAILURE_ALTERNATIVES: usize = 4;

/// Number of alternative hypotheses in each slowness test.
pub(super) const SLOWNESS_ALTERNATIVES: usize = 3;

/// The kind of regression found in a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Regression {
    /// A charge ran more than once.
    Duplicated,
    /// It fails more often than the old version.
    Failing,
    /// It is slower than the old version.
    Slow,
}

/// Log likelihood ratios of one window, by test and alternative hypothesis.
///
/// Ratios of different routes may be added: each is valid for its own route whatever the mix of
/// routes on either version.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Ratios {
    pub(super) failures: [f64; FAILURE_ALTERNATIVES],
    pub(super) failures_vs_baseline: [f64; FAILURE_ALTERNATIVES],
    pub(super) slowness: [f64; SLOWNESS_ALTERNATIVES],
    pub(super) slowness_vs_baseline: [f64; SLOWNESS_ALTERNATIVES],
}

impl AddAssign for Ratios {
    fn add_assign(&mut self, rhs: Self) {
        add(&mut self.failures, rhs.failures);
        add(&mut self.failures_vs_baseline, rhs.failures_vs_baseline);
        add(&mut self.slowness, rhs.slowness);
        add(&mut self.slowness_vs_baseline, rhs.slowness_vs_baseline);
    }
}

impl Sub for Ratios {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self {
            failures: subtract(self.failures, rhs.failures),
            failures_vs_baseline: subtract(self.failures_vs_baseline, rhs.failures_vs_baseline),
            slowness: subtract(self.slowness, rhs.slowness),
            slowness_vs_baseline: subtract(self.slowness_vs_baseline, rhs.slowness_vs_baseline),
        }
    }
}

/// The cumulative sums of all tests.
#[derive(Debug, Clone, Default)]
pub(super) struct Evidence {
    sums: Ratios,
}

impl Evidence {
    /// Adds one window.
    pub(super) fn add(&mut self, window: &Ratios) {
        accumulate(&mut self.sums.failures, window.failures);
        accumulate(
            &mut self.sums.failures_vs_baseline,
            window.failures_vs_baseline,
        );
        accumulate(&mut self.sums.slowness, window.slowness);
        accumulate(
            &mut self.sums.slowness_vs_baseline,
            window.slowness_vs_baseline,
        );
    }

    /// Returns the regression shown by the windows so far, if any.
    pub(super) fn verdict(&self) -> Option<Regression> {
        if exceeds_threshold(&self.sums.failures)
            || exceeds_threshold(&self.sums.failures_vs_baseline)
        {
            return Some(Regression::Failing);
        }
        let slow = exceeds_threshold(&self.sums.slowness)
            || exceeds_threshold(&self.sums.slowness_vs_baseline);
        slow.then_some(Regression::Slow)
    }
}

/// Returns the log likelihood ratio at which a version is considered regressed.
fn threshold() -> f64 {
    (PLANNED_WINDOWS * PLANNED_TESTS / FALSE_ROLLBACK_PROBABILITY).ln()
}

fn add<const N: usize>(sums: &mut [f64; N], added: [f64; N]) {
    for (sum, added) in sums.iter_mut().zip(added) {
        *sum += added;
    }
}

fn subtract<const N: usize>(from: [f64; N], taken: [f64; N]) -> [f64; N] {
    std::array::from_fn(|i| from[i] - taken[i])
}

fn accumulate<const N: usize>(sums: &mut [f64; N], window: [f64; N]) {
    let most = threshold() / MIN_WINDOWS;
    for (sum, added) in sums.iter_mut().zip(window) {
        *sum = (*sum + added.min(most)).max(0.0);
    }
}

/// Returns whether the mean of the likelihood ratios reaches the threshold.
fn exceeds_threshold<const N: usize>(sums: &[f64; N]) -> bool {
    if sums.iter().all(|s| *s < threshold()) {
        return false;
    }
    let mixed: f64 = sums.iter().map(|s| s.exp()).sum();
    (mixed / N as f64).ln() >= threshold()
}
