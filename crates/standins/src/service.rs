//! Stand-in for a plain service that takes orders and charges.

mod charges;
mod http;
mod server;

pub use self::charges::Charge;
pub use self::server::OrderService;
pub use self::server::Settings;
