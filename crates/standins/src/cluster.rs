//! A whole deployment in one process: platform, endpoints, sidecars and entries.

mod backend;
mod in_process;
mod link;
mod loopback;
mod settings;
mod spec;
mod tables;

pub use self::backend::Backend;
pub use self::in_process::InProcess;
pub(crate) use self::in_process::to_caller_request;
pub use self::link::LocalLink;
pub use self::loopback::Loopback;
pub(crate) use self::settings::entry_settings;
pub(crate) use self::settings::sidecar_settings;
pub use self::settings::unix_ms;
pub(crate) use self::settings::unused_address;
pub use self::spec::ClusterSpec;
pub use self::spec::EngineGroup;
pub use self::spec::EngineSpec;
pub use self::spec::Member;
pub use self::spec::Scheduling;
pub use self::tables::document;
