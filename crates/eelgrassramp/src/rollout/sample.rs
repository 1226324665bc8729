//! Additive request statistics of one version.

use crate::wire::Outcomes;

/// Request statistics of one version over a window or a longer time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// Requests answered completely.
    pub ok: u64,
    /// Requests that the endpoint failed.
    pub failed: u64,
    /// Charges that ran more than once.
    pub duplicated: u64,
    /// Sum of log slowness over the answered requests.
    pub log_sum: f64,
    /// Sum of its squares.
    pub log_square_sum: f64,
    /// Sum of the batch utilization of the endpoint, 0 to 1, over the answered requests.
    pub load_sum: f64,
}

impl Sample {
    /// Returns the number of requests.
    #[must_use]
    pub const fn requests(&self) -> u64 {
        self.ok + self.failed + self.duplicated
    }

    /// Adds the counts and sums of `other`.
    pub fn add(&mut self, other: &Self) {
        self.ok += other.ok;
        self.failed += other.failed;
        self.duplicated += other.duplicated;
        self.log_sum += other.log_sum;
        self.log_square_sum += other.log_square_sum;
        self.load_sum += other.load_sum;
    }

    /// Returns this sample minus `other`, which must be a part of it.
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

    /// Returns the fraction of requests that failed.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failed as f64 / self.requests().max(1) as f64
    }

    /// Returns the geometric mean of the ratio of actual to predicted response time.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        self.mean_log().exp()
    }

    pub(super) fn mean_log(&self) -> f64 {
        self.log_sum / self.ok.max(1) as f64
    }

    pub(super) fn mean_load(&self) -> f64 {
        self.load_sum / self.ok.max(1) as f64
    }

    pub(super) fn squares(&self) -> f64 {
        let spread = self.log_square_sum - self.log_sum * self.mean_log();
        spread.max(0.0)
    }
}

impl From<&Outcomes> for Sample {
    fn from(outcomes: &Outcomes) -> Self {
        Self {
            ok: outcomes.ok,
            failed: outcomes.failed,
            duplicated: outcomes.duplicated,
            log_sum: outcomes.log_slowness_sum,
            log_square_sum: outcomes.log_slowness_square_sum,
            load_sum: 0.0,
        }
    }
}
