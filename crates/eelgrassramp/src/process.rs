//! Services shared by the components of a process.

use std::fmt;
use std::sync::Arc;

use cadence::StatsdClient;
use jiff::Timestamp;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slog::Logger;
use slog::error;
use slog::info;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

use crate::time::Timers;

/// The shared services of a process.
#[derive(Clone)]
pub struct Context {
    /// The logger.
    pub log: Logger,
    /// The StatsD client.
    pub metrics: Arc<StatsdClient>,
    /// The timer service.
    pub timers: Timers,
    /// Cancelled when the process is asked to stop; components then finish the work in progress.
    pub stop: CancellationToken,
    /// Seed of all random number generators, for reproducible runs; `None` uses system entropy.
    pub seed: Option<u64>,
}

impl Context {
    /// The wall clock of a quiet context at its start, 2026-01-01T00:00:00Z.
    pub const QUIET_START: Timestamp = Timestamp::constant(1_767_225_600, 0);

    /// Creates a context without logs and metrics, for reproducible runs.
    #[must_use]
    pub fn quiet(seed: u64) -> Self {
        Self {
            log: crate::log::discard(),
            metrics: crate::metrics::discard(),
            timers: Timers::start_at(Self::QUIET_START),
            stop: CancellationToken::new(),
            seed: Some(seed),
        }
    }

    /// Creates a random number generator for the component named `component`.
    ///
    /// With a seed, the generator is derived from the seed and the name.
    #[must_use]
    pub fn rng(&self, component: &str) -> StdRng {
        match self.seed {
            Some(seed) => StdRng::seed_from_u64(xxhash_rust::xxh3::xxh3_64_with_seed(
                component.as_bytes(),
                seed,
            )),
            None => rand::make_rng(),
        }
    }
}

impl fmt::Debug for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Context")
            .field("seed", &self.seed)
            .finish_non_exhaustive()
    }
}

/// Cancels `stop` when the process gets SIGTERM or SIGINT.
pub async fn stop_on_signal(log: Logger, stop: CancellationToken) {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        error!(log, "signal handlers failed to install");
        return;
    };
    let name = tokio::select! {
        _ = terminate.recv() => "SIGTERM",
        _ = interrupt.recv() => "SIGINT",
    };
    info!(log, "stop requested"; "signal" => name);
    stop.cancel();
}
