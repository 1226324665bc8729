//! The fault matrix: every fault at every step, with the promises checked in each cell.
//!
//! The rows are [`Step`], the columns [`Column`]; [`cell`] tells what runs. A cell starts a
//! whole deployment under a paused clock, injects the fault when a request, change, move or
//! stop first reaches the step, and checks afterwards what callers and engines saw.

mod change;
mod checks;
mod column;
mod deployment;
mod engine;
mod fleet;
mod gate;
mod inflict;
mod link;
mod page;
mod probe;
mod request;
mod scene;
mod step;
mod stop;
mod store;
mod table;

pub use self::column::Column;
pub use self::page::to_markdown;
pub use self::step::Course;
pub use self::step::Step;
pub use self::table::Cell;
pub use self::table::CellReport;
pub use self::table::CellRun;
pub use self::table::cell;
pub use self::table::run;
pub use self::table::run_course;
pub use self::table::run_one;
