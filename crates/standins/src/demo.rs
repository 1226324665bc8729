//! The demonstration: a small deployment under load, then a move to a new version.

mod load;
mod move_status;
mod report;
mod simulated_move;

pub use self::load::Options;
pub use self::load::serve_load;
pub use self::move_status::MoveStatus;
pub use self::report::LoadReport;
pub use self::report::MoveReport;
pub use self::report::Report;
pub use self::simulated_move::simulate_move;
