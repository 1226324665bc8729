//! Client-side rate limit for calls of the platform's API.

use std::time::Duration;

use crate::time::Monotonic;

/// Token bucket for calls.
#[derive(Debug, Clone)]
pub struct CallRateLimiter {
    per_second: f64,
    burst: f64,
    tokens: f64,
    updated_at: Monotonic,
}

impl CallRateLimiter {
    /// Creates a full bucket that is refilled with `per_second` tokens per second up to `burst`.
    #[must_use]
    pub const fn new(per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            tokens: burst,
            updated_at: Monotonic::ZERO,
        }
    }

    /// Reserves one call and returns the time to wait before it.
    pub fn reserve(&mut self, now: Monotonic) -> Duration {
        let refilled = now.since(self.updated_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refilled).min(self.burst);
        self.updated_at = self.updated_at.max(now);
        self.tokens -= 1.0;
        if self.tokens >= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(-self.tokens / self.per_second)
    }

    /// Returns the token of a reserved call that was not made.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }
}
