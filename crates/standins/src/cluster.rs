//! A complete deployment in one process: platform, endpoints, sidecars and entries.

mod endpoint;
mod in_process;
mod link;
mod loopback;
mod settings;
mod spec;
mod tables;

pub use self::endpoint::SimulatedEndpoint;
pub use self::in_process::InProcessCluster;
pub(crate) use self::in_process::to_caller_request;
pub use self::link::InProcessLink;
pub use self::loopback::LoopbackCluster;
pub(crate) use self::settings::entry_settings;
pub(crate) use self::settings::sidecar_settings;
pub use self::settings::unix_ms;
pub(crate) use self::settings::unused_address;
pub use self::spec::ClusterSpec;
pub use self::spec::EngineGroup;
pub use self::spec::EngineSpec;
pub use self::spec::Member;
pub use self::spec::Scheduling;
pub use self::tables::tables_document;
