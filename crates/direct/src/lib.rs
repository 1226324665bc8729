//! Entries that dispatch straight to endpoints, where no sidecar stands before them.
//!
//! It is the form of eelgrassramp for platforms that announce endpoints in a registry and whose
//! endpoints check by themselves whom a request is meant for. Decisions are state machines
//! without I/O ([`dispatcher`], [`mod@line`], [`lane`], [`quota`], [`retry`]); the rest is the shell
//! around them. What a platform's callers and endpoints say is decoded behind [`protocol`].
//! Start with `docs/design/platform.md`.

mod attempt;
mod entry;
mod forward;
mod handle;
mod meters;
mod pulse;
mod refusal;
mod relay;
mod server;
pub mod connections;
pub mod dispatcher;
pub mod endpoint;
pub mod events;
pub mod exchange;
pub mod faded;
pub mod journal;
pub mod lane;
pub mod lateness;
pub mod line;
pub mod patience;
pub mod protocol;
pub mod quota;
pub mod registry;
pub mod retry;
pub mod rollout;
pub mod tables;

pub use self::entry::Entry;
pub use self::entry::FleetLimits;
pub use self::entry::Identity;
pub use self::entry::Usage;
pub use self::meters::Gauge;
pub use self::meters::Meters;
pub use self::server::ListenConfig;
pub use self::server::serve;
