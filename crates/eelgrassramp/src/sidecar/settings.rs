//! The settings of one sidecar process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::admission;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::jsonc;
use crate::ledger;
use crate::log::Verbosity;
use crate::name::DomainName;
use crate::name::EndpointName;
use crate::name::HardwareName;
use crate::name::PoolName;
use crate::name::VersionName;
use crate::name::is_valid_name;

/// The kind of endpoint behind a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine that supports batching, streaming, resumption and cancellation.
    Model,
    /// A plain HTTP service whose calls cannot be batched, resumed or cancelled.
    Service,
}

/// The settings of one sidecar process, as read from its settings file.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address on which the sidecar listens for entries.
    pub listen: SocketAddr,
    /// Name of the endpoint in the pool table.
    pub endpoint: EndpointName,
    /// The pool that the endpoint belongs to.
    pub pool: PoolName,
    /// The version that the endpoint serves until it reports another one.
    pub version: VersionName,
    /// The kind of the endpoint.
    pub kind: EndpointKind,
    /// Address on which the endpoint listens.
    pub engine: SocketAddr,
    /// The failure domain of the VM.
    pub domain: DomainName,
    /// The hardware generation of the VM.
    pub hardware: HardwareName,
    /// Maximum number of concurrent requests on the endpoint.
    pub slots: u32,
    /// Nominal speed of the hardware for one request, in output tokens per second (for a plain
    /// service: calls per second). Slowness is measured relative to it.
    #[serde(default = "default::reference_tokens_per_second")]
    pub reference_tokens_per_second: f32,
    /// Address of the platform's object API; without it, tables are received from entries only.
    #[serde(default)]
    pub store: Option<SocketAddr>,
    /// Address to which metrics are sent; without it, no metrics are sent.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// Verbosity of the log.
    #[serde(default)]
    pub log: Verbosity,
    /// Maximum time that a stop waits for requests in progress, in milliseconds.
    #[serde(default = "default::drain_timeout_ms")]
    pub drain_timeout_ms: u64,
    /// Time for which the ledger keeps an ended request, in milliseconds.
    #[serde(default = "default::retention_ms")]
    pub retention_ms: u64,
    /// Time for which the ledger keeps an idempotency key, in milliseconds.
    #[serde(default = "default::key_retention_ms")]
    pub key_retention_ms: u64,
    /// Maximum difference between the clocks of callers and of this VM, in milliseconds.
    #[serde(default = "default::clock_margin_ms")]
    pub clock_margin_ms: u64,
    /// Maximum number of requests in the ledger.
    #[serde(default = "default::ledger_entries")]
    pub ledger_entries: usize,
    /// Maximum total size of finished responses retained for entries that reattach, in bytes.
    #[serde(default = "default::replay_bytes")]
    pub replay_bytes: usize,
    /// Maximum number of connections of entries.
    #[serde(default = "default::connections")]
    pub connections: usize,
    /// Maximum total size of the messages of entries that are received or in use, in bytes.
    #[serde(default = "default::message_bytes")]
    pub message_bytes: usize,
    /// Maximum number of queued requests.
    #[serde(default = "default::queue_items")]
    pub queue_items: usize,
    /// Maximum predicted cost of all queued requests, in tokens.
    #[serde(default = "default::queue_tokens")]
    pub queue_tokens: u64,
}

mod default {
    pub(super) const fn reference_tokens_per_second() -> f32 {
        50.0
    }

    pub(super) const fn drain_timeout_ms() -> u64 {
        60_000
    }

    pub(super) const fn retention_ms() -> u64 {
        120_000
    }

    pub(super) const fn key_retention_ms() -> u64 {
        600_000
    }

    pub(super) const fn clock_margin_ms() -> u64 {
        2_000
    }

    pub(super) const fn ledger_entries() -> usize {
        100_000
    }

    pub(super) const fn replay_bytes() -> usize {
        16 * 1024 * 1024
    }

    pub(super) const fn connections() -> usize {
        4_096
    }

    pub(super) const fn message_bytes() -> usize {
        48 * 1024 * 1024
    }

    pub(super) const fn queue_items() -> usize {
        256
    }

    pub(super) const fn queue_tokens() -> u64 {
        65_536
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidSettings`] with the file, the position and the cause.
    pub fn from_file(path: &Path) -> Result<Self> {
        let settings: Self = jsonc::from_file(path, Kind::InvalidSettings)?;
        settings.check(&path.display().to_string())?;
        Ok(settings)
    }

    /// Reads and checks settings from text; `origin` names the text in errors.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidSettings`] with the position and the cause.
    pub fn from_text(text: &str, origin: &str) -> Result<Self> {
        let settings: Self = jsonc::from_str(text, origin, Kind::InvalidSettings)?;
        settings.check(origin)?;
        Ok(settings)
    }

    fn check(&self, origin: &str) -> Result<()> {
        let names = [
            ("endpoint", self.endpoint.as_str()),
            ("pool", self.pool.as_str()),
            ("version", self.version.as_str()),
            ("domain", self.domain.as_str()),
            ("hardware", self.hardware.as_str()),
        ];
        for (field, name) in names {
            if !is_valid_name(name) {
                return Err(invalid(
                    origin,
                    field,
                    &format!("{name:?} is not a valid name"),
                ));
            }
        }
        let counts = [
            ("slots", u64::from(self.slots)),
            ("retention_ms", self.retention_ms),
            ("ledger_entries", crate::num::count(self.ledger_entries)),
            ("queue_items", crate::num::count(self.queue_items)),
            ("queue_tokens", self.queue_tokens),
        ];
        for (field, count) in counts {
            if count == 0 {
                return Err(invalid(origin, field, "must be above 0"));
            }
        }
        if self.key_retention_ms < self.retention_ms {
            let cause = "must be at least as long as field \"retention_ms\"";
            return Err(invalid(origin, "key_retention_ms", cause));
        }
        let speed = self.reference_tokens_per_second;
        if !speed.is_finite() || speed <= 0.0 {
            let cause = "must be a number above 0";
            return Err(invalid(origin, "reference_tokens_per_second", cause));
        }
        Ok(())
    }

    /// Returns the limits of the ledger.
    #[must_use]
    pub const fn ledger_limits(&self) -> ledger::Limits {
        ledger::Limits {
            retention: Duration::from_millis(self.retention_ms),
            key_retention: Duration::from_millis(self.key_retention_ms),
            clock_margin: Duration::from_millis(self.clock_margin_ms),
            entries: self.ledger_entries,
        }
    }

    /// Returns the limits of the queue.
    #[must_use]
    pub const fn queue_limits(&self) -> admission::Limits {
        admission::Limits {
            items: self.queue_items,
            cost: self.queue_tokens,
            per_account_items: self.queue_items,
        }
    }

    /// Returns the maximum time that a stop waits for requests in progress.
    #[must_use]
    pub const fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_timeout_ms)
    }
}

fn invalid(origin: &str, field: &str, cause: &str) -> Error {
    Error::new(
        Kind::InvalidSettings,
        format!("{origin}: field \"{field}\": {cause}"),
    )
}
