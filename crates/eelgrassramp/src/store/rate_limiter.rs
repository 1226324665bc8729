//! The share of the platform's rate that one process allows itself.

use std::time::Duration;

use crate::time::Monotonic;

/// Counts calls against a rate; at most a burst can be saved up.
#[derive(Debug, Clone)]
pub struct CallRateLimiter {
    per_second: f64,
    burst: f64,
    saved: f64,
    at: Monotonic,
}

impl CallRateLimiter {
    /// Allows `per_second` calls a second, and `burst` calls at once after a quiet time.
    #[must_use]
    pub const fn new(per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            saved: burst,
            at: Monotonic::ZERO,
        }
    }

    /// Reserves one call and returns how long it has to wait.
    pub fn reserve(&mut self, now: Monotonic) -> Duration {
        let earned = now.since(self.at).as_secs_f64() * self.per_second;
        self.saved = (self.saved + earned).min(self.burst);
        self.at = self.at.max(now);
        self.saved -= 1.0;
        if self.saved >= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(-self.saved / self.per_second)
    }

    /// Gives a reserved call back that was not made.
    pub fn refund(&mut self) {
        self.saved = (self.saved + 1.0).min(self.burst);
    }
}
