//! The part of the fleet's retry budget that one entry may spend.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrassramp::Monotonic;

/// How many repeated dispatches the whole fleet may make to one pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Span over which both are counted.
    pub window: Duration,
    /// Repeats that are allowed on top, over all entries.
    pub slack: f64,
}

/// Share of the limits that is planned with; the rest covers entries that count differently.
const PLANNED_SHARE: f64 = 0.8;

/// One entry's counts for one pool.
///
/// An entry may repeat in proportion to its own requests, and has an equal part of the slack,
/// so that the sum over all entries stays within the limits without any message between them.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Monotonic>,
    repeats: VecDeque<Monotonic>,
}

impl RetryBudget {
    /// Counts a request.
    pub fn count_request(&mut self, now: Monotonic, limits: &RetryLimits) {
        self.forget(now, limits);
        self.requests.push_back(now);
    }

    /// Spends one repeat, when one is left.
    pub fn try_spend(&mut self, now: Monotonic, limits: &RetryLimits, entries: u32) -> bool {
        let is_left = self.remaining(now, limits, entries) >= 1.0;
        self.forget(now, limits);
        if is_left {
            self.repeats.push_back(now);
        }
        is_left
    }

    /// Returns how many repeats are left.
    #[must_use]
    pub fn remaining(&self, now: Monotonic, limits: &RetryLimits, entries: u32) -> f64 {
        let counts = |times: &VecDeque<Monotonic>| {
            let recent = times.iter().filter(|at| now.since(**at) <= limits.window);
            recent.count() as f64
        };
        let earned = limits.ratio * counts(&self.requests);
        let slack = limits.slack / f64::from(entries.max(1));
        PLANNED_SHARE * (earned + slack) - counts(&self.repeats)
    }

    fn forget(&mut self, now: Monotonic, limits: &RetryLimits) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times
                .front()
                .is_some_and(|at| now.since(*at) > limits.window)
            {
                times.pop_front();
            }
        }
    }
}
