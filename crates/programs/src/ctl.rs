//! The operators' command-line tool: checks and edits the tables, shows status and moves.

mod command;
mod connect;
mod explain;
mod failure;
mod moves;
mod output;
mod settings;
mod status;
mod tables;

use std::process::ExitCode;

use clap::ArgMatches;

pub use self::command::command as ctl_command;
pub use self::explain::explain;
use self::failure::Failure;
use crate::Exit;

/// Runs the tool and returns its exit code.
#[must_use]
pub fn ctl_main() -> ExitCode {
    let matches = ctl_command().get_matches();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("{}: runtime failed to start: {e}", command::PROGRAM_NAME);
            return Exit::Failed.into();
        }
    };
    match runtime.block_on(run(&matches)) {
        Ok(()) => Exit::Success.into(),
        Err(failure) => {
            failure.print();
            failure.exit().into()
        }
    }
}

async fn run(matches: &ArgMatches) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("tables", m)) => tables::run(m).await,
        Some(("moves", m)) => moves::run(m).await,
        Some(("status", m)) => status::run(m).await,
        Some(("explain", m)) => explain::run(m),
        _ => Err(Failure::usage("no such command")),
    }
}
