//! How fast the endpoint works, as measured.

use std::time::Duration;

use crate::wire::Usage;
use crate::wire::WorkEstimate;

/// Weight of a new measurement in the moving average.
const SMOOTHING: f64 = 0.1;

/// Returns the actual cost of a request in output tokens; a plain service's call costs 1.
pub(super) fn cost_used(usage: Usage) -> u64 {
    let used = WorkEstimate {
        prefill_tokens: usage.prefill_tokens,
        output_tokens: usage.output_tokens,
    };
    used.cost()
}

/// A moving average of the tokens that one request gets in a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed {
    reference: f64,
    tokens: f64,
    seconds: f64,
}

impl Speed {
    /// Starts without a measurement; `reference` is the hardware's speed in tokens a second.
    #[must_use]
    pub const fn new(reference: f64) -> Self {
        Self {
            reference,
            tokens: 0.0,
            seconds: 0.0,
        }
    }

    /// Takes in that a request of `cost` tokens took `time`.
    pub fn measure(&mut self, cost: u64, time: Duration) {
        self.tokens = self.tokens.mul_add(1.0 - SMOOTHING, cost as f64);
        self.seconds = self.seconds.mul_add(1.0 - SMOOTHING, time.as_secs_f64());
    }

    /// Returns the tokens that one request gets in a second.
    #[must_use]
    pub fn per_request(&self) -> f64 {
        if self.seconds > 0.0 {
            self.tokens / self.seconds
        } else {
            self.reference
        }
    }

    /// Tells whether anything was measured yet.
    #[must_use]
    pub fn is_measured(&self) -> bool {
        self.seconds > 0.0
    }

    /// Returns the time that `cost` tokens take when `parallel` requests share the work.
    #[must_use]
    pub fn time_for(&self, cost: u64, parallel: u32) -> Duration {
        let rate = self.per_request() * f64::from(parallel.max(1));
        Duration::try_from_secs_f64(cost as f64 / rate).unwrap_or(Duration::MAX)
    }

    /// Returns how many times longer `time` is than the hardware needs for `cost` tokens.
    #[must_use]
    pub fn slowness(&self, cost: u64, time: Duration) -> f64 {
        let expected = cost as f64 / self.reference;
        time.as_secs_f64().max(f64::MIN_POSITIVE) / expected
    }
}
