//! The load generation and experiment tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    eelgrassramp_standins::cli::main()
}
