//! Settings of a simulated engine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::VersionName;

/// Speed, cache size, telemetry lags and versions of one engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Maximum number of requests in one batch.
    pub slots: usize,
    /// Prompt tokens computed per second.
    pub prefill_tokens_per_second: f64,
    /// Duration of a decode step with a single request in the batch.
    pub decode_step: Duration,
    /// Increase of the step duration for each further request in the batch, as a fraction.
    pub step_growth: f64,
    /// Maximum number of prompt tokens computed in one step (chunked prefill).
    pub prefill_chunk_tokens: u32,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Age of the values in a load report.
    pub report_lag: Duration,
    /// Time until a cache event becomes visible.
    pub event_lag: Duration,
    /// Probability that a cache event is lost.
    pub event_loss: f64,
    /// Whether an order with an outdated fencing token is refused.
    pub checks_fences: bool,
    /// Time to load a version.
    pub load_time: Duration,
    /// The version served at the start.
    pub version: VersionName,
    /// Defective versions; all others are good.
    pub bad_versions: BTreeMap<VersionName, VersionDefect>,
    /// Tokens generated for a request without a limit.
    pub default_output_tokens: u32,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 16,
            prefill_tokens_per_second: 8000.0,
            decode_step: Duration::from_millis(20),
            step_growth: 0.03,
            prefill_chunk_tokens: 512,
            cache_blocks: 4096,
            report_lag: Duration::from_secs(1),
            event_lag: Duration::from_millis(500),
            event_loss: 0.0,
            checks_fences: true,
            load_time: Duration::from_secs(2),
            version: VersionName::from("v1"),
            bad_versions: BTreeMap::new(),
            default_output_tokens: 16,
            seed: 0,
        }
    }
}

/// The defect of a version.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionDefect {
    /// Probability that a request fails.
    pub failure_probability: f64,
    /// Factor applied to the duration of each request.
    pub slow_factor: f64,
    /// Probability that a plain service executes a charge twice.
    pub double_charge_probability: f64,
    /// Time after the version's start from which the defect is active.
    pub after: Duration,
    /// Minimum number of running requests for the defect to be active.
    pub min_running: usize,
    /// The only path or model affected; `None` affects all.
    pub only: Option<Arc<str>>,
}

impl Default for VersionDefect {
    fn default() -> Self {
        Self {
            failure_probability: 0.0,
            slow_factor: 1.0,
            double_charge_probability: 0.0,
            after: Duration::ZERO,
            min_running: 0,
            only: None,
        }
    }
}

impl VersionDefect {
    /// Returns whether the defect is active at this time and load.
    #[must_use]
    pub fn is_active(&self, now: Monotonic, since: Monotonic, running: usize) -> bool {
        now.since(since) >= self.after && running >= self.min_running
    }

    /// Returns whether a call with this path and model is affected.
    #[must_use]
    pub fn applies_to(&self, path: &str, model: Option<&str>) -> bool {
        let only = self.only.as_deref();
        only.is_none_or(|only| only == path || Some(only) == model)
    }
}
