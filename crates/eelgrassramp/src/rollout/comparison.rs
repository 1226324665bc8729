//! Compares one route of a new version with the old one in the same windows of time.

use super::evidence::Evidence;
use super::evidence::FAILURE_ALTERNATIVES;
use super::evidence::Ratios;
use super::evidence::Regression;
use super::evidence::SLOWNESS_ALTERNATIVES;
use super::sample::Sample;

/// Ratios of failure odds that a bad version is tested for.
const ODDS_RATIOS: [f64; FAILURE_ALTERNATIVES] = [3.0, 8.0, 24.0, 100.0];

/// Failure rates that a version without a contemporary is tested for.
const FAILURE_RATES: [f64; FAILURE_ALTERNATIVES] = [0.08, 0.2, 0.5, 0.95];

/// Least failure rate that is bad where there is no contemporary to compare with.
const TOLERATED_FAILURE_RATE: f64 = 0.03;

/// How far the tolerated failure rate lies above the one that the old version had.
const TOLERATED_FAILURE_RATIO: f64 = 4.0;

/// Least failure rate that is bad once the old version serves nothing.
///
/// A burst that makes both versions fail cannot be told from badness any more.
const TOLERATED_FAILURE_RATE_WITHOUT_OLD: f64 = 0.12;

/// How far the tolerated failure rate lies above the one that the old version has of late.
const TOLERATED_RECENT_RATIO: f64 = 2.0;

/// Most failure rate that is ever tolerated.
const MAX_TOLERATED_FAILURE_RATE: f64 = 0.9;

/// Part of the recent record that is kept from one window to the next.
const RECENT_DECAY: f64 = 0.95;

/// Least requests of the old version in its recent record.
const MIN_RECENT_REQUESTS: f64 = 20.0;

/// Requests and failures that are added to the recent record, as few of them say little.
const RECENT_PRIOR: (f64, f64) = (10.0, 2.0);

/// Log of the slowness ratio between versions that is still good: 1.12.
const TOLERATED_LOG_SLOWNESS: f64 = 0.113;

/// Log of the slowness ratio that is still good where there is no contemporary: 2.
const TOLERATED_LOG_SLOWNESS_VS_BASELINE: f64 = 0.693;

/// Log slowness that is still good for a batch that is full against one that is empty.
const TOLERATED_PER_LOAD: f64 = 0.1;

/// Growth of log slowness from an empty to a full batch before any was measured.
const PRIOR_SLOPE: f64 = 0.4;

/// Weight of the prior slope, as the variance of load times a number of requests.
const PRIOR_SLOPE_WEIGHT: f64 = 5.0;

/// Most growth of log slowness from an empty to a full batch that is believed.
const MAX_SLOPE: f64 = 3.0;

/// Log slowness above the tolerated one that a bad version is tested for.
const LOG_SLOWNESS_STEPS: [f64; SLOWNESS_ALTERNATIVES] = [0.12, 0.3, 0.8];

/// Variance of one request's log slowness before any was measured.
const PRIOR_VARIANCE: f64 = 0.5;

/// Requests that the prior variance counts for.
const PRIOR_COUNT: f64 = 20.0;

/// Windows that the prior counts for in the variance between windows.
const PRIOR_WINDOWS: f64 = 10.0;

/// Least old requests before the old version's record serves as a reference.
const MIN_BASELINE_REQUESTS: f64 = 200.0;

/// The tests of one series of requests: one route and tier.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    evidence: Evidence,
    spread: VarianceEstimate,
    slope: LoadSlope,
    recent: RecentFailures,
    old: Sample,
}

impl Comparison {
    /// Takes in one window of both versions and returns what it adds to the evidence.
    pub fn add(&mut self, new: &Sample, old: &Sample) -> Ratios {
        let mut ratios = Ratios::default();
        self.recent.add(old);
        if new.requests() > 0 {
            if old.requests() > 0 {
                ratios.failures = compare_failures(new, old);
                ratios.slowness = self.compare_slowness(new, old);
            } else {
                ratios.slowness_vs_baseline = self.slowness_vs_baseline(new);
            }
            if let Some(tolerated) = self.tolerated_failure_rate(old) {
                ratios.failures_vs_baseline = failures_vs_baseline(new, tolerated);
            }
        }
        self.slope.add(old);
        self.old.add(old);
        self.evidence.add(&ratios);
        ratios
    }

    /// Returns what the windows so far show.
    #[must_use]
    pub fn verdict(&self) -> Option<Regression> {
        self.evidence.verdict()
    }

    fn compare_slowness(&mut self, new: &Sample, old: &Sample) -> [f64; SLOWNESS_ALTERNATIVES] {
        if new.ok == 0 || old.ok == 0 {
            return Default::default();
        }
        let (new_n, old_n) = (new.ok as f64, old.ok as f64);
        let weight = new_n * old_n / (new_n + old_n);
        let load_gap = new.mean_load() - old.mean_load();
        let gap = new.mean_log() - old.mean_log() - self.slope.per_load() * load_gap;
        let excess = gap - TOLERATED_LOG_SLOWNESS - TOLERATED_PER_LOAD * load_gap.abs();
        let variance = self.spread.variance();
        self.spread.add(new, old, weight, gap);
        LOG_SLOWNESS_STEPS.map(|step| weight * (step * excess - step * step / 2.0) / variance)
    }

    fn slowness_vs_baseline(&self, new: &Sample) -> [f64; SLOWNESS_ALTERNATIVES] {
        if new.ok == 0 || !self.has_baseline() {
            return Default::default();
        }
        let load_gap = new.mean_load() - self.old.mean_load();
        let gap = new.mean_log() - self.old.mean_log() - self.slope.per_load() * load_gap;
        let excess = gap - TOLERATED_LOG_SLOWNESS_VS_BASELINE - TOLERATED_PER_LOAD * load_gap.abs();
        let variance = self.spread.variance();
        let weight = new.ok as f64;
        LOG_SLOWNESS_STEPS.map(|step| weight * (step * excess - step * step / 2.0) / variance)
    }

    fn has_baseline(&self) -> bool {
        self.old.requests() as f64 >= MIN_BASELINE_REQUESTS
    }

    /// Returns the failure rate that is good enough on its own; `None` when too little is known.
    ///
    /// It is far above what the old version had, over all and of late, so that trouble which
    /// both versions have does not count.
    fn tolerated_failure_rate(&self, old: &Sample) -> Option<f64> {
        if !self.has_baseline() {
            return None;
        }
        let record = TOLERATED_FAILURE_RATIO * self.old.failure_rate();
        let least = record.max(TOLERATED_FAILURE_RATE);
        let tolerated = if self.recent.requests >= MIN_RECENT_REQUESTS {
            least.max(TOLERATED_RECENT_RATIO * self.recent.failure_rate())
        } else if old.requests() > 0 {
            return None;
        } else {
            least.max(TOLERATED_FAILURE_RATE_WITHOUT_OLD)
        };
        Some(tolerated.min(MAX_TOLERATED_FAILURE_RATE))
    }
}

/// Judges the failures of a window by how they fall on the versions.
///
/// Whatever the rate of failures is in this window, they fall on either version in proportion
/// to its requests, unless one version is worse.
fn compare_failures(new: &Sample, old: &Sample) -> [f64; FAILURE_ALTERNATIVES] {
    let (new_n, old_n) = (new.requests() as f64, old.requests() as f64);
    let (new_failed, old_failed) = (new.failed as f64, old.failed as f64);
    let share = new_n / (new_n + old_n);
    ODDS_RATIOS.map(|odds| {
        let expected = odds * share / (odds * share + 1.0 - share);
        let of_new = new_failed * (expected / share).ln();
        let of_old = old_failed * ((1.0 - expected) / (1.0 - share)).ln();
        of_new + of_old
    })
}

fn failures_vs_baseline(new: &Sample, tolerated: f64) -> [f64; FAILURE_ALTERNATIVES] {
    let (ok, failed) = ((new.ok + new.duplicated) as f64, new.failed as f64);
    FAILURE_RATES.map(|rate| {
        let rate = rate.max(tolerated);
        failed * (rate / tolerated).ln() + ok * ((1.0 - rate) / (1.0 - tolerated)).ln()
    })
}

/// The variance of one request's log slowness.
///
/// Requests of one window share what their engines do at that time, so the variance between
/// windows counts as well as the one within; the larger of both is used.
#[derive(Debug, Clone, Default)]
struct VarianceEstimate {
    squares: f64,
    degrees_of_freedom: f64,
    windows: f64,
    gap: f64,
    gap_weight: f64,
    between: f64,
}

impl VarianceEstimate {
    fn variance(&self) -> f64 {
        let within =
            (PRIOR_VARIANCE * PRIOR_COUNT + self.squares) / (PRIOR_COUNT + self.degrees_of_freedom);
        let between =
            (PRIOR_VARIANCE * PRIOR_WINDOWS + self.between) / (PRIOR_WINDOWS + self.windows);
        within.max(between)
    }

    fn add(&mut self, new: &Sample, old: &Sample, weight: f64, gap: f64) {
        self.squares += new.squares() + old.squares();
        self.degrees_of_freedom += (new.ok + old.ok - 2) as f64;
        let before = self.gap;
        self.gap_weight += weight;
        self.gap += (gap - before) * weight / self.gap_weight;
        self.between += weight * (gap - before) * (gap - self.gap);
        self.windows += 1.0;
    }
}

/// The failures of the old version over the last windows.
#[derive(Debug, Clone, Default)]
struct RecentFailures {
    requests: f64,
    failed: f64,
}

impl RecentFailures {
    fn add(&mut self, old: &Sample) {
        self.requests = self.requests * RECENT_DECAY + old.requests() as f64;
        self.failed = self.failed * RECENT_DECAY + old.failed as f64;
    }

    fn failure_rate(&self) -> f64 {
        let (requests, failed) = RECENT_PRIOR;
        (self.failed + failed) / (self.requests + requests)
    }
}

/// How log slowness grows with the load of an endpoint, learned from the old version.
///
/// The more requests share a batch, the slower each is. The versions carry unlike loads during
/// a move, so their slowness is compared at equal load.
#[derive(Debug, Clone, Default)]
struct LoadSlope {
    weight: f64,
    load: f64,
    log: f64,
    load_squares: f64,
    products: f64,
}

impl LoadSlope {
    fn per_load(&self) -> f64 {
        let products = PRIOR_SLOPE * PRIOR_SLOPE_WEIGHT + self.products;
        let slope = products / (PRIOR_SLOPE_WEIGHT + self.load_squares);
        slope.clamp(0.0, MAX_SLOPE)
    }

    fn add(&mut self, old: &Sample) {
        if old.ok == 0 {
            return;
        }
        let weight = old.ok as f64;
        let (load, log) = (old.mean_load(), old.mean_log());
        self.weight += weight;
        let load_before = self.load;
        self.load += (load - load_before) * weight / self.weight;
        self.log += (log - self.log) * weight / self.weight;
        self.load_squares += weight * (load - load_before) * (load - self.load);
        self.products += weight * (load - load_before) * (log - self.log);
    }
}
