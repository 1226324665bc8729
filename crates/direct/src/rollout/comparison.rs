//! Response statistics of the old and the new version, and the faults that they show.

/// Minimum number of finished requests of the new version for any decision.
pub(super) const MIN_RESPONSES: f64 = 8.0;

/// Difference of the failure rates of the new and the old version above which the new version is
/// rolled back, if the difference is significant.
const ROLLBACK_RATE_DIFFERENCE: f64 = 0.12;

/// Number of standard errors from which a difference counts as significant.
const MIN_STANDARD_ERRORS: f64 = 4.5;

/// Minimum failure rate assumed for the standard error, because a low rate cannot be estimated from
/// few responses.
const MIN_ASSUMED_FAILURE_RATE: f64 = 0.03;

/// Minimum number of failures for a rollback because of the failure rate.
const MIN_FAILURES: f64 = 4.0;

/// Maximum ratio of the new version's mean slowness to the old version's.
const MAX_SLOWNESS_RATIO: f64 = 1.8;

/// Number of failures from which the new version is rolled back without a significance test.
const MANY_FAILURES: f64 = 40.0;

/// The rule of [`MANY_FAILURES`] applies only if the new version's failure rate exceeds twice the
/// old version's by this much.
const MANY_FAILURES_RATE_MARGIN: f64 = 0.05;

/// Response statistics of one version on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResponseStats {
    /// Number of requests sent.
    pub sent: f64,
    /// Number of finished requests, including failed ones.
    pub finished: f64,
    /// Number of failed requests, including those without a response.
    pub failed: f64,
    /// Number of successful responses that were long enough to measure their slowness.
    pub timed: f64,
    /// Sum of actual ÷ predicted duration over the `timed` responses.
    pub slowness_sum: f64,
}

impl ResponseStats {
    fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.finished += other.finished;
        self.failed += other.failed;
        self.timed += other.timed;
        self.slowness_sum += other.slowness_sum;
    }

    fn failure_rate(&self) -> f64 {
        self.failed / self.finished.max(1.0)
    }

    fn mean_slowness(&self) -> f64 {
        self.slowness_sum / self.timed.max(1.0)
    }
}

/// Response statistics of the new and the old versions on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Comparison {
    /// Statistics of the new version.
    pub new: ResponseStats,
    /// Statistics of all other versions.
    pub old: ResponseStats,
}

impl Comparison {
    pub(super) fn add(&mut self, other: &Self) {
        self.new.add(&other.new);
        self.old.add(&other.old);
    }

    /// Describes the fault of the new version, if one is detected.
    pub(super) fn fault(&self) -> Option<String> {
        let (new, old) = (&self.new, &self.old);
        if new.finished < MIN_RESPONSES {
            return None;
        }
        let (new_rate, old_rate) = (new.failure_rate(), old.failure_rate());
        let assumed_rate = old_rate.max(MIN_ASSUMED_FAILURE_RATE);
        let standard_error = (assumed_rate * (1.0 - assumed_rate).max(0.05) / new.finished).sqrt();
        let is_significant = new.failed >= MIN_FAILURES
            && new_rate - old_rate > MIN_STANDARD_ERRORS * standard_error;
        let exceeds_failure_rate = new_rate - old_rate > ROLLBACK_RATE_DIFFERENCE && is_significant;
        let has_many_failures =
            new.failed >= MANY_FAILURES && new_rate > 2.0 * old_rate + MANY_FAILURES_RATE_MARGIN;
        if exceeds_failure_rate || has_many_failures {
            return Some(format!(
                "{} of {} responses failed; failure rate of the old version: {:.3}",
                new.failed, new.finished, old_rate
            ));
        }
        let is_comparable = old.timed >= MIN_RESPONSES && new.timed >= MIN_RESPONSES;
        let ratio = new.mean_slowness() / old.mean_slowness().max(f64::MIN_POSITIVE);
        (is_comparable && ratio > MAX_SLOWNESS_RATIO)
            .then(|| format!("responses took {ratio:.2} times as long as those of the old version"))
    }
}
