//! The sidecar: a proxy in front of one endpoint that all of its requests pass through.
//!
//! It schedules the requests of the endpoint, runs each request at most once and passes on
//! engine orders only with a current fencing token. See `docs/design/sidecar.md`.

mod apply;
mod background_tasks;
mod brake_set;
mod cache;
mod dispatch_check;
mod engine_order;
mod frames;
mod outcomes;
mod replay;
mod run;
mod scheduler;
mod serve;
mod service;
mod service_times;
mod settings;
mod shared_response;
mod state;
mod throughput;

pub use self::brake_set::BrakeSet;
pub use self::cache::CacheIndex;
pub use self::scheduler::Capacity;
pub use self::scheduler::Scheduler;
pub use self::scheduler::SchedulerAction;
pub use self::serve::serve;
pub use self::serve::serve_with;
pub use self::service::Service;
pub use self::service_times::ServiceTimes;
pub use self::settings::EndpointKind;
pub use self::settings::Settings;
pub use self::throughput::Throughput;
