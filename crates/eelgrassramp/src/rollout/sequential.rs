//! Sequential tests of a new version against an old one in the same window of time.
//!
//! Each test keeps a cumulative sum of log likelihood ratios that never falls below zero, so
//! that badness which begins late counts from where it begins. One window can add at most a
//! third of the threshold, since failures within a window are rarely independent. For the
//! error rate see `docs/design/rollout.md`, "Error rates".

/// Longest watch for which the error rate is stated, in windows.
const PLANNED_WINDOWS: f64 = 100_000.0;

/// Most series that are tested side by side in one move: routes times kinds of test.
const PLANNED_SERIES: f64 = 24.0;

/// Chance of taking back a good version over one whole move.
const WRONG_TAKE_BACK: f64 = 0.005;

/// Windows that a verdict needs at least.
const LEAST_WINDOWS: f64 = 3.0;

/// Ratios of failure odds that a bad version is tested for.
const ODDS_RATIOS: [f64; 4] = [3.0, 8.0, 24.0, 100.0];

/// Failure rates that a version without a contemporary is tested for.
const FAILURE_RATES: [f64; 4] = [0.08, 0.2, 0.5, 0.95];

/// Least failure rate that is bad where there is no contemporary to compare with.
const TOLERATED_FAILURE_RATE: f64 = 0.03;

/// How far the tolerated failure rate lies above the one that the old version had.
const TOLERATED_FAILURE_RATIO: f64 = 4.0;

/// Log of the slowness ratio between versions that is still good: 1.12.
const TOLERATED_LOG_SLOWNESS: f64 = 0.113;

/// Log of the slowness ratio that is still good where there is no contemporary: 2.
const TOLERATED_LOG_SLOWNESS_ALONE: f64 = 0.693;

/// Log slowness that is still good for a batch that is full against one that is empty.
const TOLERATED_PER_LOAD: f64 = 0.1;

/// Growth of log slowness from an empty to a full batch before any was measured.
const PRIOR_SLOPE: f64 = 0.4;

/// Weight of the prior slope, as the variance of load times a number of requests.
const PRIOR_SLOPE_WEIGHT: f64 = 5.0;

/// Most growth of log slowness from an empty to a full batch that is believed.
const MOST_SLOPE: f64 = 3.0;

/// Log slowness above the tolerated one that a bad version is tested for.
const LOG_SLOWNESS_STEPS: [f64; 3] = [0.12, 0.3, 0.8];

/// Variance of one request's log slowness before any was measured.
const PRIOR_VARIANCE: f64 = 0.5;

/// Requests that the prior variance counts for.
const PRIOR_COUNT: f64 = 20.0;

/// Windows that the prior counts for in the variance between windows.
const PRIOR_WINDOWS: f64 = 10.0;

/// Least old requests before the old version's record serves as a reference.
const LEAST_RECORD: f64 = 200.0;

/// Returns the sum of log likelihood ratios at which a version is bad.
fn threshold() -> f64 {
    (PLANNED_WINDOWS * PLANNED_SERIES / WRONG_TAKE_BACK).ln()
}

/// What one version did in one window, or over a longer time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// Requests answered whole.
    pub ok: u64,
    /// Requests that the endpoint failed.
    pub failed: u64,
    /// Charges that ran more than once.
    pub duplicated: u64,
    /// Sum of log slowness over the answered requests.
    pub log_sum: f64,
    /// Sum of its squares.
    pub log_square_sum: f64,
    /// Sum over the answered requests of how full their endpoint's batch was, 0 to 1.
    pub load_sum: f64,
}

impl Sample {
    /// Returns the number of requests.
    #[must_use]
    pub const fn requests(&self) -> u64 {
        self.ok + self.failed + self.duplicated
    }

    /// Adds what `other` holds.
    pub fn add(&mut self, other: &Self) {
        self.ok += other.ok;
        self.failed += other.failed;
        self.duplicated += other.duplicated;
        self.log_sum += other.log_sum;
        self.log_square_sum += other.log_square_sum;
        self.load_sum += other.load_sum;
    }

    /// Takes away what `other` holds, which must be part of this sample.
    #[must_use]
    pub fn without(&self, other: &Self) -> Self {
        Self {
            ok: self.ok.saturating_sub(other.ok),
            failed: self.failed.saturating_sub(other.failed),
            duplicated: self.duplicated.saturating_sub(other.duplicated),
            log_sum: self.log_sum - other.log_sum,
            log_square_sum: self.log_square_sum - other.log_square_sum,
            load_sum: self.load_sum - other.load_sum,
        }
    }

    /// Returns the share of requests that failed.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failed as f64 / self.requests().max(1) as f64
    }

    /// Returns how many times longer than predicted the answers took, as a geometric mean.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        self.mean_log().exp()
    }

    fn mean_log(&self) -> f64 {
        self.log_sum / self.ok.max(1) as f64
    }

    fn mean_load(&self) -> f64 {
        self.load_sum / self.ok.max(1) as f64
    }

    fn squares(&self) -> f64 {
        let spread = self.log_square_sum - self.log_sum * self.mean_log();
        spread.max(0.0)
    }
}

/// Cumulative sums of one test, one for each alternative.
#[derive(Debug, Clone)]
struct Sums<const N: usize> {
    sums: [f64; N],
}

impl<const N: usize> Default for Sums<N> {
    fn default() -> Self {
        Self { sums: [0.0; N] }
    }
}

impl<const N: usize> Sums<N> {
    fn add(&mut self, alternatives: [f64; N], log_ratio: impl Fn(f64) -> f64) {
        let most = threshold() / LEAST_WINDOWS;
        for (sum, alternative) in self.sums.iter_mut().zip(alternatives) {
            let added = log_ratio(alternative).min(most);
            *sum = (*sum + added).max(0.0);
        }
    }

    /// Tells whether the mean of the likelihood ratios is above the threshold.
    fn is_bad(&self) -> bool {
        if self.sums.iter().all(|s| *s < threshold()) {
            return false;
        }
        let mixed: f64 = self.sums.iter().map(|s| s.exp()).sum();
        (mixed / N as f64).ln() >= threshold()
    }
}

/// Which of the tests found a version bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Badness {
    /// A charge ran more than once.
    Duplicated,
    /// It fails more than the old version.
    Failing,
    /// It is slower than the old version.
    Slow,
}

/// The tests of one series of requests: one route and tier.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    failures: Sums<{ ODDS_RATIOS.len() }>,
    failures_alone: Sums<{ FAILURE_RATES.len() }>,
    slowness: Sums<{ LOG_SLOWNESS_STEPS.len() }>,
    slowness_alone: Sums<{ LOG_SLOWNESS_STEPS.len() }>,
    spread: Spread,
    slope: Slope,
    old: Sample,
}

impl Comparison {
    /// Takes in one window of both versions.
    pub fn add(&mut self, new: &Sample, old: &Sample) {
        if new.requests() > 0 {
            if old.requests() > 0 {
                self.compare(new, old);
            } else if self.old.requests() as f64 >= LEAST_RECORD {
                self.judge_alone(new);
            }
        }
        self.slope.add(old);
        self.old.add(old);
    }

    /// Returns what the windows so far show.
    #[must_use]
    pub fn verdict(&self) -> Option<Badness> {
        if self.failures.is_bad() || self.failures_alone.is_bad() {
            return Some(Badness::Failing);
        }
        let slow = self.slowness.is_bad() || self.slowness_alone.is_bad();
        slow.then_some(Badness::Slow)
    }

    fn compare(&mut self, new: &Sample, old: &Sample) {
        let (new_n, old_n) = (new.requests() as f64, old.requests() as f64);
        let (new_failed, old_failed) = (new.failed as f64, old.failed as f64);
        let share = new_n / (new_n + old_n);
        self.failures.add(ODDS_RATIOS, |odds| {
            // The failures of the window fall on either version in proportion to its requests.
            let expected = odds * share / (odds * share + 1.0 - share);
            let of_new = new_failed * (expected / share).ln();
            let of_old = old_failed * ((1.0 - expected) / (1.0 - share)).ln();
            of_new + of_old
        });
        if new.ok > 0 && old.ok > 0 {
            self.compare_slowness(new, old);
        }
    }

    fn compare_slowness(&mut self, new: &Sample, old: &Sample) {
        let (new_n, old_n) = (new.ok as f64, old.ok as f64);
        let weight = new_n * old_n / (new_n + old_n);
        let load_gap = new.mean_load() - old.mean_load();
        let gap = new.mean_log() - old.mean_log() - self.slope.per_load() * load_gap;
        let excess = gap - TOLERATED_LOG_SLOWNESS - TOLERATED_PER_LOAD * load_gap.abs();
        let variance = self.spread.variance();
        self.slowness.add(LOG_SLOWNESS_STEPS, |step| {
            weight * (step * excess - step * step / 2.0) / variance
        });
        self.spread.add(new, old, weight, gap);
    }

    fn judge_alone(&mut self, new: &Sample) {
        let ratio = TOLERATED_FAILURE_RATIO * self.old.failure_rate();
        let tolerated = ratio.clamp(TOLERATED_FAILURE_RATE, 0.9);
        let (ok, failed) = ((new.ok + new.duplicated) as f64, new.failed as f64);
        self.failures_alone.add(FAILURE_RATES, |rate| {
            let rate = rate.max(tolerated);
            failed * (rate / tolerated).ln() + ok * ((1.0 - rate) / (1.0 - tolerated)).ln()
        });
        if new.ok > 0 {
            let load_gap = new.mean_load() - self.old.mean_load();
            let gap = new.mean_log() - self.old.mean_log() - self.slope.per_load() * load_gap;
            let excess = gap - TOLERATED_LOG_SLOWNESS_ALONE - TOLERATED_PER_LOAD * load_gap.abs();
            let variance = self.spread.variance();
            self.slowness_alone.add(LOG_SLOWNESS_STEPS, |step| {
                ok * (step * excess - step * step / 2.0) / variance
            });
        }
    }
}

/// The variance of one request's log slowness.
///
/// Requests of one window share what their engines do at that time, so the variance between
/// windows counts as well as the one within; the larger of both is used.
#[derive(Debug, Clone, Default)]
struct Spread {
    squares: f64,
    freedom: f64,
    windows: f64,
    gap: f64,
    gap_weight: f64,
    between: f64,
}

impl Spread {
    fn variance(&self) -> f64 {
        let within = (PRIOR_VARIANCE * PRIOR_COUNT + self.squares) / (PRIOR_COUNT + self.freedom);
        let between =
            (PRIOR_VARIANCE * PRIOR_WINDOWS + self.between) / (PRIOR_WINDOWS + self.windows);
        within.max(between)
    }

    fn add(&mut self, new: &Sample, old: &Sample, weight: f64, gap: f64) {
        self.squares += new.squares() + old.squares();
        self.freedom += (new.ok + old.ok - 2) as f64;
        let before = self.gap;
        self.gap_weight += weight;
        self.gap += (gap - before) * weight / self.gap_weight;
        self.between += weight * (gap - before) * (gap - self.gap);
        self.windows += 1.0;
    }
}

/// How log slowness grows with the load of an endpoint, learned from the old version.
///
/// The more requests share a batch, the slower each is. The versions carry unlike loads during
/// a move, so their slowness is compared at equal load.
#[derive(Debug, Clone, Default)]
struct Slope {
    weight: f64,
    load: f64,
    log: f64,
    load_squares: f64,
    products: f64,
}

impl Slope {
    fn per_load(&self) -> f64 {
        let products = PRIOR_SLOPE * PRIOR_SLOPE_WEIGHT + self.products;
        let slope = products / (PRIOR_SLOPE_WEIGHT + self.load_squares);
        slope.clamp(0.0, MOST_SLOPE)
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
