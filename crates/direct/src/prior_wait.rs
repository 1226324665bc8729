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
const REMEMBERED: usize = 64;

/// Callers of a route that have to be seen before anything is told of others.
const LEAST_SEEN: usize = 12;

/// Part of the callers that may have less patience than what all are said to begin with.
const SHORTEST_PART: f64 = 0.05;

/// Time after a refusal in which callers may be coming back.
const RETURNING: Duration = Duration::from_secs(5);

/// Most routes that are remembered.
const MAX_ROUTES: usize = 1_024;

/// What is known of the callers of one route.
#[derive(Debug, Default)]
struct Callers {
    /// Patience of those that came while nobody was coming back.
    began_with: VecDeque<Duration>,
    /// The patience that nearly all begin with at least, as of the last refusal in calm times.
    least: Option<Duration>,
    refused_at: Option<Monotonic>,
}

impl Callers {
    fn is_anyone_returning(&self, now: Monotonic) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < RETURNING)
    }

    fn learn(&mut self, patience: Duration) {
        if self.began_with.len() >= REMEMBERED {
            self.began_with.pop_front();
        }
        self.began_with.push_back(patience);
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the product is between zero and a length"
    )]
    fn shortest(&self) -> Option<Duration> {
        if self.began_with.len() < LEAST_SEEN {
            return None;
        }
        let mut sorted: Vec<_> = self.began_with.iter().copied().collect();
        sorted.sort_unstable();
        let at = (SHORTEST_PART * sorted.len() as f64) as usize;
        sorted.get(at).copied()
    }
}

/// The patience of the callers of each route.
#[derive(Debug, Default)]
pub struct PriorWaitEstimator {
    routes: HashMap<RouteName, Callers>,
}

impl PriorWaitEstimator {
    /// Takes in the patience of a caller, and returns how long it has waited before at least.
    pub fn arrive(&mut self, now: Monotonic, route: &RouteName, patience: Duration) -> Duration {
        let Some(callers) = self.callers(route) else {
            return Duration::ZERO;
        };
        if !callers.is_anyone_returning(now) {
            callers.learn(patience);
            return Duration::ZERO;
        }
        let least = callers.least.unwrap_or(Duration::ZERO);
        least.saturating_sub(patience)
    }

    /// Notes that a caller was refused and may come back.
    pub fn refuse(&mut self, now: Monotonic, route: &RouteName) {
        if let Some(callers) = self.callers(route) {
            if !callers.is_anyone_returning(now) {
                callers.least = callers.shortest();
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
