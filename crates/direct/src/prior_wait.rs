//! How long a caller has waited before it came, worked out from the patience that it has left.
//!
//! A caller that was refused comes back with less patience than it began with, and its objective
//! counts from its first try. The entry that refused it may be another one, so nothing but the
//! patience tells. What callers begin with is learned while nobody is refused; callers whose
//! patience differs much from each other are told apart no further than that shows.
//! See `docs/design/platform.md`, "Where work waits".

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::RouteName;

/// Callers of a route whose patience is remembered.
const MAX_SAMPLES: usize = 64;

/// Callers of a route that have to be seen before anything is told of others.
const MIN_SAMPLES: usize = 12;

/// Part of the callers that may have less patience than what all are said to begin with.
const LOW_QUANTILE: f64 = 0.05;

/// Time after a refusal in which callers may be coming back.
const RETRY_WINDOW: Duration = Duration::from_secs(5);

/// Most routes that are remembered.
const MAX_ROUTES: usize = 1_024;

/// What is known of the callers of one route.
#[derive(Debug, Default)]
struct RouteHistory {
    /// Patience of those that came while nobody was coming back.
    initial_timeouts: VecDeque<Duration>,
    /// The patience that nearly all begin with at least, as of the last refusal in calm times.
    typical_minimum: Option<Duration>,
    last_refusal_at: Option<Monotonic>,
}

impl RouteHistory {
    fn are_retries_expected(&self, now: Monotonic) -> bool {
        self.last_refusal_at
            .is_some_and(|at| now.since(at) < RETRY_WINDOW)
    }

    fn record_initial_timeout(&mut self, timeout: Duration) {
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

/// The patience of the callers of each route.
#[derive(Debug, Default)]
pub struct PriorWaitEstimator {
    routes: HashMap<RouteName, RouteHistory>,
}

impl PriorWaitEstimator {
    /// Takes in the patience of a caller, and returns how long it has waited before at least.
    pub fn record_arrival(
        &mut self,
        now: Monotonic,
        route: &RouteName,
        timeout: Duration,
    ) -> Duration {
        let Some(history) = self.history(route) else {
            return Duration::ZERO;
        };
        if !history.are_retries_expected(now) {
            history.record_initial_timeout(timeout);
            return Duration::ZERO;
        }
        let typical_minimum = history.typical_minimum.unwrap_or(Duration::ZERO);
        typical_minimum.saturating_sub(timeout)
    }

    /// Notes that a caller was refused and may come back.
    pub fn record_refusal(&mut self, now: Monotonic, route: &RouteName) {
        if let Some(history) = self.history(route) {
            if !history.are_retries_expected(now) {
                history.typical_minimum = history.low_quantile();
            }
            history.last_refusal_at = Some(now);
        }
    }

    fn history(&mut self, route: &RouteName) -> Option<&mut RouteHistory> {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            return None;
        }
        Some(self.routes.entry(route.clone()).or_default())
    }
}
