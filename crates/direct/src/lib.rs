//! Entries that dispatch straight to endpoints, where no sidecar stands before them.
//!
//! It is the form of eelgrassramp for platforms that announce endpoints in a registry and whose
//! endpoints check by themselves whom a request is meant for. Decisions are state machines
//! without I/O ([`dispatcher`], [`request_queue`], [`endpoint_tracker`], [`quota`], [`retry`]);
//! the rest is the shell around them. What a platform's callers and endpoints say is decoded behind [`protocol`].
//! Start with `docs/design/platform.md`.

pub mod connections;
pub mod decaying_sum;
pub mod deployment;
pub mod dispatcher;
pub mod endpoint;
pub mod endpoint_tracker;
mod entry;
pub mod events;
pub mod exchange;
mod flight;
mod forward;
mod handle;
pub mod journal;
pub mod lateness;
mod meters;
pub mod prior_wait;
pub mod protocol;
mod pulse;
pub mod quota;
mod refusal;
pub mod registry;
mod relay;
pub mod request_queue;
pub mod retry;
pub mod rollout;
mod server;

pub use self::entry::Entry;
pub use self::entry::FleetLimits;
pub use self::entry::Identity;
pub use self::entry::Usage;
pub use self::meters::Gauge;
pub use self::meters::Meters;
pub use self::server::Listen;
pub use self::server::serve;
