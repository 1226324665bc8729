//! Quantities that fade with time.

use std::time::Duration;

use eelgrassramp::Monotonic;

/// A sum in which what was added counts less the longer ago it was.
#[derive(Debug, Clone, Copy)]
pub struct DecayingSum {
    value: f64,
    at: Monotonic,
    time_constant: Duration,
}

impl DecayingSum {
    /// Creates a sum of zero that keeps 1/e of what was added one `time_constant` ago.
    #[must_use]
    pub const fn new(time_constant: Duration) -> Self {
        Self {
            value: 0.0,
            at: Monotonic::ZERO,
            time_constant,
        }
    }

    /// Adds `amount`.
    pub fn add(&mut self, now: Monotonic, amount: f64) {
        self.value = self.value_at(now) + amount;
        self.at = now;
    }

    /// Returns what is left of the sum.
    #[must_use]
    pub fn value_at(&self, now: Monotonic) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.value * (-age / self.time_constant.as_secs_f64()).exp()
    }

    /// Returns the rate a second at which it was added to of late.
    #[must_use]
    pub fn rate_per_second(&self, now: Monotonic) -> f64 {
        self.value_at(now) / self.time_constant.as_secs_f64()
    }
}
