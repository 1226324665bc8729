//! Summaries of service times, served as JSON.

use serde::Serialize;

use crate::tier::Tier;

use super::service::Service;

/// Percentiles of the service times of one tier.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ServiceTimes {
    /// The tier.
    pub tier: Tier,
    /// Number of completed responses.
    pub count: u64,
    /// Median in microseconds.
    pub p50_us: u64,
    /// 95th percentile in microseconds.
    pub p95_us: u64,
    /// 99th percentile in microseconds.
    pub p99_us: u64,
    /// Maximum in microseconds.
    pub max_us: u64,
}

impl Service {
    /// Returns the service times of completed responses by tier.
    #[must_use]
    pub fn service_times(&self) -> Vec<ServiceTimes> {
        let state = self.shared.lock();
        let times = state.service_times.iter();
        times
            .map(|(tier, h)| ServiceTimes {
                tier: *tier,
                count: h.len(),
                p50_us: h.value_at_quantile(0.50),
                p95_us: h.value_at_quantile(0.95),
                p99_us: h.value_at_quantile(0.99),
                max_us: h.max(),
            })
            .collect()
    }
}
