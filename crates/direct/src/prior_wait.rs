//! Estimates how long a caller has already waited elsewhere, from the timeout that it has left.
//!
//! A refused caller retries with less time left than on its first attempt, while its latency
//! objective counts from that first attempt. The retry may reach a different entry, so the
//! remaining timeout is the only evidence. Initial timeouts are sampled while no caller is being
//! refused. The estimate is a low quantile of them minus the timeout of a possible retry. Where
//! initial timeouts vary widely, it is usually much smaller than the real wait. See
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

/// Quantile of the initial timeouts from which the prior wait is estimated.
const LOW_QUANTILE: f64 = 0.05;

/// Time after a refusal during which retries are expected.
const RETRY_WINDOW: Duration = Duration::from_secs(5);

const MAX_ROUTES: usize = 1_024;

/// What is known of the callers of one route.
#[derive(Debug, Default)]
struct Callers {
    /// Timeouts of callers that arrived while no retries were expected.
    initial_timeouts: VecDeque<Duration>,
    /// Low quantile of the initial timeouts, computed at the first refusal after a time without
    /// retries.
    low_initial_timeout: Option<Duration>,
    refused_at: Option<Monotonic>,
}

impl Callers {
    fn are_retries_expected(&self, now: Monotonic) -> bool {
        self.refused_at
            .is_some_and(|at| now.since(at) < RETRY_WINDOW)
    }

    fn add_sample(&mut self, timeout: Duration) {
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
    /// Records an arrival with the caller's remaining timeout, and returns the estimated time that
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
            callers.add_sample(timeout);
            return Duration::ZERO;
        }
        let low_initial_timeout = callers.low_initial_timeout.unwrap_or(Duration::ZERO);
        low_initial_timeout.saturating_sub(timeout)
    }

    /// Records that a caller was refused and may retry.
    pub fn record_refusal(&mut self, now: Monotonic, route: &RouteName) {
        if let Some(callers) = self.callers(route) {
            if !callers.are_retries_expected(now) {
                callers.low_initial_timeout = callers.low_quantile();
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
