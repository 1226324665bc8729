//! The operators' command-line tool: checks and edits the tables, shows status and moves.

use std::process::ExitCode;

fn main() -> ExitCode {
    eelgrassramp_programs::ctl_main()
}
