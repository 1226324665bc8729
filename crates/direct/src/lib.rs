//! Entries that dispatch requests directly to endpoints, without a sidecar in front of them.
//!
//! This variant of eelgrassramp is for platforms that announce endpoints in a registry and whose
//! endpoints check themselves whether a request is addressed to them. Decisions are state machines
//! without I/O ([`dispatcher`], [`mod@line`], [`endpoint_tracker`], [`quota`], [`retry`]); the other modules
//! drive them. The platform's protocols for callers and endpoints are decoded behind [`protocol`].
//! Start with `docs/design/platform.md`.

mod attempt;
mod entry;
mod forward;
mod handle;
mod metrics;
mod refusal;
mod relay;
mod server;
mod stall;
pub mod connections;
pub mod decaying_sum;
pub mod dispatcher;
pub mod endpoint;
pub mod endpoint_tracker;
pub mod events;
pub mod exchange;
pub mod lateness;
pub mod prior_wait;
pub mod protocol;
pub mod quota;
pub mod registry;
pub mod request_log;
pub mod request_queue;
pub mod retry;
pub mod rollout;
pub mod tables;

pub use self::entry::Entry;
pub use self::entry::EntryIdentity;
pub use self::entry::FleetLimits;
pub use self::entry::PeerUsage;
pub use self::metrics::Gauge;
pub use self::metrics::Metrics;
pub use self::server::ListenConfig;
pub use self::server::serve;
