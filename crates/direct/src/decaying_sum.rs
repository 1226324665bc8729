//! Quantities that fade with time.

use std::time::Duration;

use eelgrassramp::Monotonic;

/// A sum in which what was added counts less the longer ago it was.
#[derive(Debug, Clone, Copy)]
pub struct DecayingSum {
    value: f64,
    at: Monotonic,
    memory: Duration,
}

impl DecayingSum {
    /// Creates a sum of zero that keeps 1/e of what was added one `memory` ago.
    #[must_use]
    pub const fn new(memory: Duration) -> Self {
        Self {
            value: 0.0,
            at: Monotonic::ZERO,
            memory,
        }
    }

    /// Adds `x`.
    pub fn add(&mut self, now: Monotonic, x: f64) {
        self.value = self.at(now) + x;
        self.at = now;
    }

    /// Returns what is left of the sum.
    #[must_use]
    pub fn at(&self, now: Monotonic) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.value * (-age / self.memory.as_secs_f64()).exp()
    }

    /// Returns the rate a second at which it was added to of late.
    #[must_use]
    pub fn per_second(&self, now: Monotonic) -> f64 {
        self.at(now) / self.memory.as_secs_f64()
    }
}
