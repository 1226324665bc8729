//! The demonstration: a small deployment under load that moves to a new version.

mod follow;
mod report;
mod run;

pub use self::follow::MoveStatus;
pub use self::report::Report;
pub use self::run::Options;
pub use self::run::run;
