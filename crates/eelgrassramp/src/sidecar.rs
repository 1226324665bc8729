//! Stands beside one endpoint and is the only way to it.
//!
//! What must be exact about an endpoint is decided here: which requests run, in which order,
//! and which orders the engine gets. See `docs/design/sidecar.md`.

mod answer;
mod brakes;
mod cache;
mod check;
mod frames;
mod order;
mod outcomes;
mod replay;
mod run;
mod scheduler;
mod serve;
mod service;
mod settings;
mod speed;
mod state;
mod times;
mod upkeep;
mod work;

pub use self::brakes::Brakes;
pub use self::cache::CacheIndex;
pub use self::scheduler::Action;
pub use self::scheduler::Capacity;
pub use self::scheduler::Scheduler;
pub use self::serve::serve;
pub use self::serve::serve_with;
pub use self::service::Service;
pub use self::settings::EndpointKind;
pub use self::settings::Settings;
pub use self::speed::Speed;
pub use self::times::ServiceTimes;
