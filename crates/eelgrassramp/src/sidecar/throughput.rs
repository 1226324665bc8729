//! Measured throughput of the endpoint.

use std::time::Duration;

use crate::wire::Usage;
use crate::wire::WorkEstimate;

/// Weight of a new sample in the exponential moving average.
const SMOOTHING: f64 = 0.1;

/// Returns the actual cost of a request in output tokens; a call to a plain service costs 1.
pub(super) fn actual_cost(usage: Usage) -> u64 {
    let work = WorkEstimate {
        prefill_tokens: usage.prefill_tokens,
        output_tokens: usage.output_tokens,
    };
    work.cost()
}

/// Exponential moving average of the tokens per second of a single request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Throughput {
    reference_rate: f64,
    weighted_tokens: f64,
    weighted_seconds: f64,
}

impl Throughput {
    /// Creates an estimate without samples; `reference_rate` is the nominal speed of the hardware
    /// in tokens per second.
    #[must_use]
    pub const fn new(reference_rate: f64) -> Self {
        Self {
            reference_rate,
            weighted_tokens: 0.0,
            weighted_seconds: 0.0,
        }
    }

    /// Adds a sample: a request of `cost` tokens took `time`.
    pub fn record(&mut self, cost: u64, time: Duration) {
        self.weighted_tokens = self.weighted_tokens.mul_add(1.0 - SMOOTHING, cost as f64);
        self.weighted_seconds = self
            .weighted_seconds
            .mul_add(1.0 - SMOOTHING, time.as_secs_f64());
    }

    /// Returns the tokens per second of a single request.
    #[must_use]
    pub fn rate_per_request(&self) -> f64 {
        if self.weighted_seconds > 0.0 {
            self.weighted_tokens / self.weighted_seconds
        } else {
            self.reference_rate
        }
    }

    /// Returns whether any sample was recorded.
    #[must_use]
    pub fn has_samples(&self) -> bool {
        self.weighted_seconds > 0.0
    }

    /// Returns the time that `cost` tokens take when `parallel` requests run concurrently.
    #[must_use]
    pub fn estimate_time(&self, cost: u64, parallel: u32) -> Duration {
        let rate = self.rate_per_request() * f64::from(parallel.max(1));
        Duration::try_from_secs_f64(cost as f64 / rate).unwrap_or(Duration::MAX)
    }

    /// Returns the ratio of `time` to the nominal time of the hardware for `cost` tokens.
    #[must_use]
    pub fn slowness(&self, cost: u64, time: Duration) -> f64 {
        let expected_seconds = cost as f64 / self.reference_rate;
        time.as_secs_f64().max(f64::MIN_POSITIVE) / expected_seconds
    }
}
