//! The settings of an entry process.

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
use crate::log::Verbosity;
use crate::name::DomainName;
use crate::name::EntryName;
use crate::name::is_valid_name;
use crate::routing::Policy;

/// The settings file of an entry, as JSON with comments.
///
/// # Examples
///
/// ```
/// use eelgrassramp::entry::Settings;
///
/// let text = r#"{
///     // Only these are required.
///     "name": "entry-1",
///     "listen": "127.0.0.1:7001",
///     "domain": "a",
///     "region": "north",
///     "store": "127.0.0.1:7900"
/// }"#;
/// let settings = Settings::from_str(text, "entry.jsonc")?;
/// assert_eq!(settings.name.as_str(), "entry-1");
/// # Ok::<(), eelgrassramp::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The entry's name, unique among entries.
    pub name: EntryName,
    /// The address on which the entry listens for callers.
    pub listen: SocketAddr,
    /// The failure domain of the entry's VM.
    pub domain: DomainName,
    /// The region of the entry's VM.
    pub region: String,
    /// The address of the platform's object API.
    pub store: SocketAddr,
    /// Sidecars to fetch the tables from while the object API is unavailable.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The StatsD address for metrics; no metrics are sent if it is not set.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// Verbosity of the log.
    #[serde(default)]
    pub log: Verbosity,
    /// The load-balancing policy.
    #[serde(default)]
    pub policy: Policy,
    /// Limits on connections, queues and other resources.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Timing of the graceful shutdown.
    #[serde(default)]
    pub drain: DrainSettings,
}

/// Limits on connections, queues and other resources of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Concurrent connections of callers.
    pub connections: usize,
    /// Bytes of a request's headers.
    pub header_bytes: usize,
    /// Bytes of the heads and bodies of all requests together.
    pub body_bytes: usize,
    /// Time for a caller to send its headers or its body, in milliseconds.
    pub receive_ms: u64,
    /// Queued requests of one pool.
    pub queue_items: usize,
    /// Predicted work of the queued requests of one pool, in tokens.
    pub queue_tokens: u64,
    /// Queued requests of one client account in one pool.
    pub queue_items_per_account: usize,
    /// Client accounts with a histogram of their own.
    pub accounts: usize,
    /// Bytes sent and received per second for control messages such as load reports.
    pub control_bytes_per_second: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            connections: 10_000,
            header_bytes: 32 * 1024,
            body_bytes: 48 * 1024 * 1024,
            receive_ms: 10_000,
            queue_items: 2_048,
            queue_tokens: 4_000_000,
            queue_items_per_account: 512,
            accounts: 256,
            control_bytes_per_second: 2_000,
        }
    }
}

impl LimitSettings {
    /// Returns the time for a caller to send its headers or its body.
    #[must_use]
    pub const fn receive_timeout(&self) -> Duration {
        Duration::from_millis(self.receive_ms)
    }
}

impl From<LimitSettings> for admission::Limits {
    fn from(limits: LimitSettings) -> Self {
        Self {
            items: limits.queue_items,
            cost: limits.queue_tokens,
            per_account_items: limits.queue_items_per_account,
        }
    }
}

/// Timing of an entry's graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// Time between reporting not ready to the load balancer and refusing new connections, in
    /// milliseconds.
    pub unready_ms: u64,
    /// Time for requests in progress to end, in milliseconds.
    pub timeout_ms: u64,
}

impl DrainSettings {
    /// Returns the time between reporting not ready to the load balancer and refusing new
    /// connections.
    #[must_use]
    pub const fn unready(&self) -> Duration {
        Duration::from_millis(self.unready_ms)
    }

    /// Returns the time for requests in progress to end.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            unready_ms: 2_000,
            timeout_ms: 120_000,
        }
    }
}

impl Settings {
    /// Reads and checks settings from text; `origin` names the text in errors.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidSettings`] naming the place and the cause.
    pub fn from_str(text: &str, origin: &str) -> Result<Self> {
        let settings: Self = jsonc::from_str(text, origin, Kind::InvalidSettings)?;
        settings.check(origin)?;
        Ok(settings)
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidSettings`] naming the file, the place and the cause.
    pub fn from_file(path: &Path) -> Result<Self> {
        let settings: Self = jsonc::from_file(path, Kind::InvalidSettings)?;
        settings.check(&path.display().to_string())?;
        Ok(settings)
    }

    fn check(&self, origin: &str) -> Result<()> {
        let names = [
            ("name", self.name.as_str()),
            ("domain", self.domain.as_str()),
            ("region", &self.region),
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
        let limits = [
            ("limits.connections", self.limits.connections),
            ("limits.header_bytes", self.limits.header_bytes),
            ("limits.body_bytes", self.limits.body_bytes),
            ("limits.queue_items", self.limits.queue_items),
            ("limits.accounts", self.limits.accounts),
            (
                "limits.queue_items_per_account",
                self.limits.queue_items_per_account,
            ),
        ];
        for (field, limit) in limits {
            if limit == 0 {
                return Err(invalid(origin, field, "must be at least 1"));
            }
        }
        if self.limits.receive_ms == 0 {
            return Err(invalid(origin, "limits.receive_ms", "must be at least 1"));
        }
        Ok(())
    }
}

fn invalid(origin: &str, field: &str, cause: &str) -> Error {
    Error::new(
        Kind::InvalidSettings,
        format!("{origin}: field \"{field}\": {cause}"),
    )
}
