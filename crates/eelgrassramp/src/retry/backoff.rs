//! Backoff between retries.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

const INITIAL_WAIT: Duration = Duration::from_millis(10);
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Exponential backoff with jitter, so that requests that failed together are not retried at the
/// same time.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    max_next_wait: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new()
    }
}

impl Backoff {
    /// Creates a backoff that starts at the initial wait.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            max_next_wait: INITIAL_WAIT,
        }
    }

    /// Returns the next wait, drawn at random from the upper half of the current maximum.
    pub fn next_wait(&mut self, rng: &mut impl Rng) -> Duration {
        let wait = self.max_next_wait.mul_f64(rng.random_range(0.5..1.0));
        self.max_next_wait = (self.max_next_wait * 2).min(MAX_WAIT);
        wait
    }
}
