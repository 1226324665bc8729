//! The wait before a retry.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

const FIRST_WAIT: Duration = Duration::from_millis(10);
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Exponential waits with full jitter, so that requests that failed together do not return
/// together.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    ceiling: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new()
    }
}

impl Backoff {
    /// Starts with the shortest wait.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            ceiling: FIRST_WAIT,
        }
    }

    /// Draws the next wait.
    pub fn next_wait(&mut self, rng: &mut impl Rng) -> Duration {
        let wait = self.ceiling.mul_f64(rng.random_range(0.5..1.0));
        self.ceiling = (self.ceiling * 2).min(MAX_WAIT);
        wait
    }
}
