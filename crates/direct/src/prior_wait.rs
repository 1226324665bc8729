//! Estimates how long a caller has already waited elsewhere, from the timeout that it has left.
//!
//! A refused caller retries with less time left than on its first attempt, while its latency
//! objective counts from that first attempt. The retry may reach a different entry, so the
//! remaining timeout is the only evidence. Initial timeouts are sampled while no caller is being
//! refused. A low quantile of them is compared with the timeout of a possible retry, so on routes
//! with widely varying timeouts only a lower bound of the wait is recognized. See
//! `docs/design/platform.md`, "Where work waits".

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::RouteName;

/// Number of timeouts remembered per route.
const MAX_SAMPLES: usize = 64;

/// Number of samples of a route needed before any prior wait is estimated.
const MIN_SAMPLES: usize = 12;

/// Share of callers whose initial timeout may be shorter than the assumed minimum.
const LOW_QUANTILE: f64 = 0.05;

/// Time after a refusal during which retries are expected.
const RETRY_WINDOW: Duration = Duration::from_secs(5);

const MAX_ROUTES: usize = 1_024;

/// What is known of the callers of one route.
#[derive(Debug, Default)]
struct Callers {
    /// Timeouts of callers that arrived while no retries were expected.
    initial_timeouts: VecDeque<Duration>,
    /// Timeout that nearly all callers start with at least, computed at the first refusal after a
    /// period without retries.
    typical_minimum: Option<Duration>,
    refused_at: Option<Monotonic>,
}

impl Callers {
    fn are_retries_expected(&self, now: Monotonic) -> bool {
        self.refused_at
            .is_some_and(|at| now.since(at) < RETRY_WINDOW)
    }

    fn learn(&mut self, timeout: Duration) {
        if self.initial_timeouts.len() >= MAX_SAMPLES {
            self.initial_timeouts.pop_front();
        }
        self.initial_timeouts.push_back(timeout);
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the product is between zero and a length"
    )]
    fn low_quantile(&self) -> Option<Duration> {
        if self.initial_timeouts.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted: Vec<_> = self.initial_timeouts.iter().copied().collect();
        sorted.sort_unstable();
        let at = (LOW_QUANTILE * sorted.len() as f64) as usize;
        sorted.get(at).copied()
    }
}

/// Estimates the prior wait of callers, separately for each route.
#[derive(Debug, Default)]
pub struct PriorWaitEstimator {
    routes: HashMap<RouteName, Callers>,
}

impl PriorWaitEstimator {
    /// Records an arrival with the caller's remaining timeout, and returns the minimum time that
    /// the caller has already waited.
    pub fn record_arrival(
        &mut self,
        now: Monotonic,
        route: &RouteName,
        timeout: Duration,
    ) -> Duration {
        let Some(callers) = self.callers(route) else {
            return Duration::ZERO;
        };
        if !callers.are_retries_expected(now) {
            callers.learn(timeout);
            return Duration::ZERO;
        }
        let typical_minimum = callers.typical_minimum.unwrap_or(Duration::ZERO);
        typical_minimum.saturating_sub(timeout)
    }

    /// Records that a caller was refused and may retry.
    pub fn record_refusal(&mut self, now: Monotonic, route: &RouteName) {
        if let Some(callers) = self.callers(route) {
            if !callers.are_retries_expected(now) {
                callers.typical_minimum = callers.low_quantile();
            }
            callers.refused_at = Some(now);
        }
    }

    fn callers(&mut self, route: &RouteName) -> Option<&mut Callers> {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            return None;
        }
        Some(self.routes.entry(route.clone()).or_default())
    }
}
