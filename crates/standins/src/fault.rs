//! Links between entries and sidecars with faults that are injected and counted.

mod link;
mod rules;
mod stream;

pub use self::link::FaultyLink;
pub(crate) use self::link::broke;
pub(crate) use self::link::refused;
pub use self::rules::Fault;
pub use self::rules::Faults;
pub use self::rules::Operation;
pub use self::rules::Rule;
