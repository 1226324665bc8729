//! Checks and edits the tables and shows moves.

use std::process::ExitCode;

fn main() -> ExitCode {
    eelgrassramp_programs::ctl_main()
}
