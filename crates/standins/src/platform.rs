//! Simulated platform: the object API and the list of VMs.

mod client;
mod faults;
mod http;
mod limiter;
mod objects;
mod server;
mod vms;

pub use self::client::Client;
pub use self::faults::Faults;
pub use self::faults::InjectedFault;
pub use self::server::CallCount;
pub use self::server::Operation;
pub use self::server::Platform;
pub use self::server::Settings;
