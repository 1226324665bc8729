//! Rate limiter for one kind of call.

use eelgrassramp::Monotonic;

/// A token bucket with a capacity of one second's worth of calls.
#[derive(Debug)]
pub(super) struct Limiter {
    per_second: f64,
    tokens: f64,
    refilled: Monotonic,
}

impl Limiter {
    pub(super) const fn new(per_second: f64) -> Self {
        Self {
            per_second,
            tokens: per_second,
            refilled: Monotonic::ZERO,
        }
    }

    /// Takes one token; returns whether one was available.
    pub(super) fn admit(&mut self, now: Monotonic) -> bool {
        let gained = now.since(self.refilled).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(self.per_second);
        self.refilled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
