//! Entries that dispatch straight to endpoints, where no sidecar stands before them.
//!
//! It is the form of eelgrassramp for platforms that announce endpoints in a registry and whose
//! endpoints check by themselves whom a request is meant for. Decisions are state machines
//! without I/O ([`dispatcher`], [`mod@line`], [`lane`], [`quota`], [`retry`]); the rest is the shell
//! around them. What a platform's callers and endpoints say is decoded behind [`protocol`].
//! Start with `docs/design/platform.md`.

pub mod connections;
pub mod deployment;
pub mod dispatcher;
pub mod endpoint;
mod entry;
pub mod events;
pub mod exchange;
pub mod faded;
mod flight;
mod forward;
mod handle;
pub mod lane;
pub mod lateness;
pub mod line;
mod metrics;
pub mod patience;
pub mod protocol;
pub mod quota;
mod refusal;
pub mod registry;
mod relay;
pub mod request_log;
pub mod retry;
pub mod rollout;
mod server;
mod stall;

pub use self::entry::Entry;
pub use self::entry::EntryIdentity;
pub use self::entry::FleetLimits;
pub use self::entry::PeerUsage;
pub use self::metrics::Gauge;
pub use self::metrics::Metrics;
pub use self::server::Listen;
pub use self::server::serve;
