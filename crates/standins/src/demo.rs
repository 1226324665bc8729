//! The demonstration: a small deployment under load, and its move to a new version.

mod follow;
mod moving;
mod report;
mod run;

pub use self::follow::MoveStatus;
pub use self::moving::simulate_move;
pub use self::report::LoadReport;
pub use self::report::MoveReport;
pub use self::report::Report;
pub use self::run::Options;
pub use self::run::serve_load;
