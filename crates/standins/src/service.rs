//! Simulated plain HTTP service that executes charges.

mod charges;
mod http;
mod server;

pub use self::charges::Charge;
pub use self::server::ChargeService;
pub use self::server::Settings;
