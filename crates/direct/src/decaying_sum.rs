//! A sum that decays exponentially with time.

use std::time::Duration;

use eelgrassramp::Monotonic;

/// An exponentially decaying sum: older contributions count less.
#[derive(Debug, Clone, Copy)]
pub struct DecayingSum {
    value: f64,
    at: Monotonic,
    time_constant: Duration,
}

impl DecayingSum {
    /// Creates a sum of zero whose contributions decay to 1/e within `time_constant`.
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

    /// Returns the sum as decayed until `now`.
    #[must_use]
    pub fn value_at(&self, now: Monotonic) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.value * (-age / self.time_constant.as_secs_f64()).exp()
    }

    /// Returns the recent rate of additions per second.
    #[must_use]
    pub fn rate_per_second(&self, now: Monotonic) -> f64 {
        self.value_at(now) / self.time_constant.as_secs_f64()
    }
}
