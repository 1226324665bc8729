//! Fault injection for the links between entries and sidecars.

mod link;
mod rules;
mod stream;

pub use self::link::FaultyLink;
pub(crate) use self::link::connection_broken;
pub(crate) use self::link::connection_refused;
pub use self::rules::Fault;
pub use self::rules::Faults;
pub use self::rules::Operation;
pub use self::rules::Rule;
