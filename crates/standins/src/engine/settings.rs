//! How a stand-in engine behaves.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::VersionName;

/// Speed, memory, lags and versions of one engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Requests that fit into one batch.
    pub slots: usize,
    /// Prompt tokens computed per second.
    pub prefill_tokens_per_second: f64,
    /// Time of one decoding step with a single request in the batch.
    pub decode_step: Duration,
    /// Growth of a step's time for each further request in the batch, as a fraction.
    pub step_growth: f64,
    /// Prompt tokens that one step computes at most.
    pub prefill_chunk_tokens: u32,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Age of the load that a load report shows.
    pub report_lag: Duration,
    /// Time after which a cache event is shown.
    pub event_lag: Duration,
    /// Probability that a cache event is lost.
    pub event_loss: f64,
    /// Whether an order with an outdated fencing token is refused.
    pub checks_fences: bool,
    /// Time to load a version.
    pub load_time: Duration,
    /// The version served at the start.
    pub version: VersionName,
    /// Versions that are bad; all others are good.
    pub bad_versions: BTreeMap<VersionName, Badness>,
    /// Tokens generated for a request that names no limit.
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

/// What is wrong with a version.
#[derive(Debug, Clone, PartialEq)]
pub struct Badness {
    /// Probability that a request fails.
    pub fail: f64,
    /// Factor by which each request takes longer.
    pub slow: f64,
    /// Probability that a plain service runs a charge twice.
    pub double_charge: f64,
    /// Time after the start of the version from which it is bad.
    pub after: Duration,
    /// Number of running requests above which it is bad.
    pub above_running: usize,
    /// The only path or model on which it is bad; `None` is all.
    pub only: Option<Arc<str>>,
}

impl Default for Badness {
    fn default() -> Self {
        Self {
            fail: 0.0,
            slow: 1.0,
            double_charge: 0.0,
            after: Duration::ZERO,
            above_running: 0,
            only: None,
        }
    }
}

impl Badness {
    /// Tells whether the badness shows under the present circumstances.
    #[must_use]
    pub fn shows(&self, now: Monotonic, since: Monotonic, running: usize) -> bool {
        now.since(since) >= self.after && running >= self.above_running
    }

    /// Tells whether it concerns a call with this path and model.
    #[must_use]
    pub fn concerns(&self, path: &str, model: Option<&str>) -> bool {
        let only = self.only.as_deref();
        only.is_none_or(|only| only == path || Some(only) == model)
    }
}
