//! The command line of a server process.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

/// Builds the command line of the server process `name`.
#[must_use]
pub fn server_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .version(clap::crate_version!())
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings in JSON with comments")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings and stop")
                .action(ArgAction::SetTrue),
        )
}
