//! Compares the new version of one route with the old one over the same time windows.

use super::evidence::Evidence;
use super::evidence::FAILURE_ALTERNATIVES;
use super::evidence::Ratios;
use super::evidence::Regression;
use super::evidence::SLOWNESS_ALTERNATIVES;
use super::sample::Sample;

/// Odds ratios of failure that serve as alternative hypotheses.
const ODDS_RATIOS: [f64; FAILURE_ALTERNATIVES] = [3.0, 8.0, 24.0, 100.0];

/// Failure rates that serve as alternative hypotheses in the test against the baseline.
const FAILURE_RATES: [f64; FAILURE_ALTERNATIVES] = [0.08, 0.2, 0.5, 0.95];

/// Minimum tolerated failure rate in the test against the baseline.
const TOLERATED_FAILURE_RATE: f64 = 0.03;

/// Ratio of the tolerated failure rate to the baseline rate of the old version.
const TOLERATED_FAILURE_RATIO: f64 = 4.0;

/// Minimum tolerated failure rate once the old version serves no traffic.
///
/// Without concurrent traffic on the old version, a burst of failures on both versions cannot be
/// distinguished from a regression.
const TOLERATED_FAILURE_RATE_WITHOUT_OLD: f64 = 0.12;

/// Ratio of the tolerated failure rate to the recent rate of the old version.
const TOLERATED_RECENT_RATIO: f64 = 2.0;

/// Maximum tolerated failure rate.
const MAX_TOLERATED_FAILURE_RATE: f64 = 0.9;

/// Decay factor of the recent counts per window.
const RECENT_DECAY: f64 = 0.95;

/// Minimum recent requests of the old version for its recent failure rate to be used.
const MIN_RECENT_REQUESTS: f64 = 20.0;

/// Prior requests and failures added to the recent counts, because small counts are unreliable.
const RECENT_PRIOR: (f64, f64) = (10.0, 2.0);

/// Tolerated log slowness ratio between the versions: a factor of 1.12.
const TOLERATED_LOG_SLOWNESS: f64 = 0.113;

/// Tolerated log slowness ratio against the baseline: a factor of 2.
const TOLERATED_LOG_SLOWNESS_VS_BASELINE: f64 = 0.693;

/// Additional tolerated log slowness for a difference in load from an empty to a full batch.
const TOLERATED_PER_LOAD: f64 = 0.1;

/// Prior for the growth of log slowness from an empty to a full batch.
const PRIOR_SLOPE: f64 = 0.4;

/// Weight of the prior slope: variance of load times a number of requests.
const PRIOR_SLOPE_WEIGHT: f64 = 5.0;

/// Upper bound on the estimated growth of log slowness from an empty to a full batch.
const MAX_SLOPE: f64 = 3.0;

/// Log slowness above the tolerated level that serve as alternative hypotheses.
const LOG_SLOWNESS_STEPS: [f64; SLOWNESS_ALTERNATIVES] = [0.12, 0.3, 0.8];

/// Prior variance of the log slowness of one request.
const PRIOR_VARIANCE: f64 = 0.5;

/// Number of requests that the prior variance is worth.
const PRIOR_COUNT: f64 = 20.0;

/// Number of windows that the prior is worth in the variance between windows.
const PRIOR_WINDOWS: f64 = 10.0;

/// Minimum number of requests of the old version before its history serves as a baseline.
const MIN_BASELINE_REQUESTS: f64 = 200.0;

/// The sequential tests of one series of requests: one route and tier.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    evidence: Evidence,
    spread: VarianceEstimate,
    slope: LoadSlope,
    recent: RecentFailures,
    old: Sample,
}

impl Comparison {
    /// Adds one window of both versions; returns its log likelihood ratios.
    pub fn add(&mut self, new: &Sample, old: &Sample) -> Ratios {
        let mut ratios = Ratios::default();
        self.recent.add(old);
        if new.requests() > 0 {
            if old.requests() > 0 {
                ratios.failures = compare_failures(new, old);
                ratios.slowness = self.compare_slowness(new, old);
            } else {
                ratios.slowness_vs_baseline = self.baseline_slowness_ratios(new);
            }
            if let Some(tolerated) = self.tolerated_failure_rate(old) {
                ratios.failures_vs_baseline = baseline_failure_ratios(new, tolerated);
            }
        }
        self.slope.add(old);
        self.old.add(old);
        self.evidence.add(&ratios);
        ratios
    }

    /// Returns the regression shown by the windows so far, if any.
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

    fn baseline_slowness_ratios(&self, new: &Sample) -> [f64; SLOWNESS_ALTERNATIVES] {
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

    /// Returns the tolerated failure rate, or `None` if there is too little data.
    ///
    /// It is well above both the overall and the recent failure rate of the old version, so that
    /// problems of both versions do not count as a regression.
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

/// Tests how the failures of a window are distributed over the versions.
///
/// Whatever the failure rate of the window, failures are distributed in proportion to the
/// requests of each version unless one version is worse.
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

fn baseline_failure_ratios(new: &Sample, tolerated: f64) -> [f64; FAILURE_ALTERNATIVES] {
    let (ok, failed) = ((new.ok + new.duplicated) as f64, new.failed as f64);
    FAILURE_RATES.map(|rate| {
        let rate = rate.max(tolerated);
        failed * (rate / tolerated).ln() + ok * ((1.0 - rate) / (1.0 - tolerated)).ln()
    })
}

/// Estimates the variance of the log slowness of one request.
///
/// Requests of one window are correlated, because they share the state of their engines.
/// Therefore the larger of the variances within and between windows is used.
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

/// Exponentially decayed failure counts of the old version.
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

/// Regression of log slowness on endpoint load, estimated from the old version.
///
/// Requests are slower in fuller batches, and the versions have different loads during a move,
/// so slowness is compared after correcting for load.
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
