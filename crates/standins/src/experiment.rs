//! Experiments: a deployment and a traffic mix, run on a paused clock.

mod file;
mod plot;
mod run;
mod table;

pub use self::file::Case;
pub use self::file::Experiment;
pub use self::plot::plot;
pub use self::run::CaseResult;
pub use self::run::run;
pub use self::run::run_case;
pub use self::table::table;
