//! Entries that dispatch requests directly to endpoints.
//!
//! This variant of eelgrassramp has no sidecars in front of the endpoints. It is for platforms that
//! announce endpoints in a registry and whose endpoints verify that each request is addressed to
//! them. The platform's store holds the registry, the tables and the orders of operators; entries
//! also pass on tables, endpoints and evacuated failure domains to each other ([`exchange`]).
//!
//! Decisions are state machines without I/O ([`dispatcher`], [`request_queue`],
//! [`endpoint_tracker`], [`quota`], [`retry`], [`crash_attribution`]); the other modules drive them. The platform's protocols
//! for callers and endpoints are decoded behind [`protocol`]. Start with `docs/design/platform.md`.

mod attempt;
pub mod connections;
pub mod crash_attribution;
pub mod decaying_sum;
pub mod dispatcher;
pub mod endpoint;
pub mod endpoint_tracker;
mod entry;
pub mod events;
pub mod exchange;
pub mod fair_share;
mod forward;
mod handle;
pub mod lateness;
mod metrics;
pub mod prior_wait;
mod process_limits;
pub mod protocol;
pub mod quota;
mod refusal;
pub mod registry;
mod relay;
pub mod request_log;
pub mod request_queue;
pub mod retry;
pub mod rollout;
mod server;
mod stall;
pub mod tables;
pub mod work;

pub use self::entry::BlockedParts;
pub use self::entry::Entry;
pub use self::entry::EntryIdentity;
pub use self::entry::FleetLimits;
pub use self::entry::SharedState;
pub use self::metrics::Gauge;
pub use self::metrics::Metrics;
pub use self::process_limits::ProcessLimits;
pub use self::server::ListenConfig;
pub use self::server::serve;
