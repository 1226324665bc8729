//! The fault matrix: every fault injected at every step, with the guarantees checked in each cell.
//!
//! The rows are [`Step`], the columns [`FaultKind`]; [`cell_status`] returns which cells run. A
//! cell starts a deployment on a paused clock, injects the fault when a request, change, move or
//! stop first reaches the step, and then checks what callers and engines observed.

mod cell;
mod change;
mod checks;
mod deployment;
mod engine;
mod fault_kind;
mod fleet;
mod gate;
mod inject;
mod link;
mod page;
mod probe;
mod request;
mod step;
mod stop;
mod store;
mod testbed;

pub use self::cell::Cell;
pub use self::cell::CellReport;
pub use self::cell::CellRun;
pub use self::cell::cell_status;
pub use self::cell::run;
pub use self::cell::run_one;
pub use self::cell::run_scenario;
pub use self::fault_kind::FaultKind;
pub use self::page::to_markdown;
pub use self::step::Scenario;
pub use self::step::Step;
