//! One entry's share of the retry budget of all entries.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrassramp::Monotonic;

/// Limits on the retries that all entries together may send to one pool.
///
/// These are retries by entries on another endpoint; retries by callers are not limited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Time window over which requests and retries are counted.
    pub window: Duration,
    /// Retries allowed regardless of the number of requests, summed over all entries.
    pub slack: f64,
}

/// Fraction of the limits that is used; the rest is a safety margin, because whoever
/// measures the retries may count some requests differently from the entries.
const USED_RATIO: f64 = 0.8;

/// Retry budget of one entry for one pool.
///
/// An entry may retry in proportion to its own requests and has an equal share of the slack, so
/// the sum over all entries stays within the limits without any communication.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Monotonic>,
    retries: VecDeque<Monotonic>,
    totals: RetryTotals,
}

/// Retries of one pool since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryTotals {
    /// Retries that the budget allowed.
    pub allowed: u64,
    /// Retries that the budget did not allow.
    pub denied: u64,
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn count_request(&mut self, now: Monotonic, limits: &RetryLimits) {
        self.drop_expired(now, limits);
        self.requests.push_back(now);
    }

    /// Spends one retry if the budget allows it, and returns whether it did.
    pub fn try_spend(&mut self, now: Monotonic, limits: &RetryLimits, entries: u32) -> bool {
        let is_allowed = self.remaining(now, limits, entries) >= 1.0;
        self.drop_expired(now, limits);
        if is_allowed {
            self.retries.push_back(now);
            self.totals.allowed += 1;
        } else {
            self.totals.denied += 1;
        }
        is_allowed
    }

    /// Returns the number of retries since the process started.
    #[must_use]
    pub const fn totals(&self) -> RetryTotals {
        self.totals
    }

    /// Returns the number of retries left.
    #[must_use]
    pub fn remaining(&self, now: Monotonic, limits: &RetryLimits, entries: u32) -> f64 {
        let count_recent = |times: &VecDeque<Monotonic>| {
            let recent = times.iter().filter(|at| now.since(**at) <= limits.window);
            recent.count() as f64
        };
        let proportional = limits.ratio * count_recent(&self.requests);
        let own_slack = limits.slack / f64::from(entries.max(1));
        USED_RATIO * (proportional + own_slack) - count_recent(&self.retries)
    }

    fn drop_expired(&mut self, now: Monotonic, limits: &RetryLimits) {
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|at| now.since(*at) > limits.window)
            {
                times.pop_front();
            }
        }
    }
}
