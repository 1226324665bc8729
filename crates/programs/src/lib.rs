//! Parts shared by the programs: command line, settings file, logging and signals.

mod command;
mod ctl;
mod run;

pub use self::command::server_command;
pub use self::ctl::ctl_command;
pub use self::ctl::ctl_main;
pub use self::ctl::explain;
pub use self::run::Exit;
pub use self::run::Program;
pub use self::run::main;
