//! The command line of the operators' tool.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use eelgrassramp::RequestId;

use super::output::OutputFormat;

/// Name of the tool, used on the command line and as the client name in the platform's call counts.
pub(super) const PROGRAM_NAME: &str = "eelgrassramp-ctl";

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused: another edit changed the same rows, or the outcome is not known
  2  invalid command line, settings file or tables file
  3  the object API is away; nothing was changed";

const DEFAULT_HISTORY_LIMIT: &str = "20";

/// Builds the command line.
#[must_use]
pub fn command() -> Command {
    Command::new(PROGRAM_NAME)
        .about("Checks and edits the tables of routes and pools, shows status and moves")
        .version(clap::crate_version!())
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args([settings(), store(), output_format()])
        .subcommand(tables())
        .subcommand(status())
        .subcommand(moves())
        .subcommand(explain())
}

fn explain() -> Command {
    Command::new("explain")
        .about("Tells what became of one request, from the logs of all processes")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .help("The request's id, as the caller sent it")
                .required(true),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .help("Logs of the processes, as JSON lines")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
}

fn moves() -> Command {
    Command::new("moves")
        .about("Shows how far the moves to new versions have come")
        .arg(
            Arg::new("follow")
                .long("follow")
                .short('f')
                .help("Show each change until all moves are over; fails when one was taken back")
                .action(ArgAction::SetTrue),
        )
}

fn status() -> Command {
    Command::new("status")
        .about("Shows what every endpoint does")
        .arg(
            Arg::new("sidecar")
                .long("sidecar")
                .value_name("ADDRESS")
                .help("Read the tables from this sidecar, while the object API is away")
                .value_parser(value_parser!(SocketAddr)),
        )
}

fn tables() -> Command {
    Command::new("tables")
        .about("Checks, compares and applies the tables")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check())
        .subcommand(diff())
        .subcommand(apply())
        .subcommand(get())
        .subcommand(history())
}

fn check() -> Command {
    Command::new("check")
        .about("Names every fault of a tables file")
        .arg(file())
        .arg(
            Arg::new("against-store")
                .long("against-store")
                .help("Also tell whether the file could be applied to the tables in force")
                .action(ArgAction::SetTrue),
        )
        .arg(base())
}

fn diff() -> Command {
    Command::new("diff")
        .about("Shows what a tables file would change in the tables in force")
        .arg(file())
        .arg(base())
}

fn apply() -> Command {
    Command::new("apply")
        .about("Puts a tables file in force, merged with other edits on the same base")
        .arg(file())
        .arg(base())
        .arg(
            Arg::new("message")
                .long("message")
                .short('m')
                .value_name("TEXT")
                .help("Why the tables change; kept in the history"),
        )
        .arg(
            Arg::new("edit")
                .long("edit")
                .value_name("ID")
                .help("Settle an earlier edit whose outcome is not known")
                .value_parser(value_parser!(RequestId)),
        )
        .arg(
            Arg::new("no-announce")
                .long("no-announce")
                .help("Do not hand the accepted tables to some sidecars")
                .action(ArgAction::SetTrue),
        )
}

fn get() -> Command {
    Command::new("get")
        .about("Prints the tables in force, fit for an edit")
        .arg(
            Arg::new("version")
                .long("version")
                .value_name("VERSION")
                .help("Print an earlier version")
                .value_parser(value_parser!(u64)),
        )
}

fn history() -> Command {
    Command::new("history").about("Lists the latest edits").arg(
        Arg::new("limit")
            .long("limit")
            .value_name("NUMBER")
            .help("How many edits to list")
            .default_value(DEFAULT_HISTORY_LIMIT)
            .value_parser(value_parser!(u32).range(1..)),
    )
}

fn file() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .help("Tables in JSON with comments")
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

fn base() -> Arg {
    Arg::new("base")
        .long("base")
        .value_name("VERSION")
        .help("The version that the file was edited from; without it, the version in force")
        .value_parser(value_parser!(u64))
}

fn settings() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("Settings in JSON with comments")
        .global(true)
        .value_parser(value_parser!(PathBuf))
}

fn store() -> Arg {
    Arg::new("store")
        .long("store")
        .value_name("ADDRESS")
        .help("Address of the platform's object API, such as 127.0.0.1:7000")
        .global(true)
        .value_parser(value_parser!(SocketAddr))
}

fn output_format() -> Arg {
    Arg::new("output")
        .long("output")
        .short('o')
        .value_name("FORM")
        .help("Form of the output")
        .global(true)
        .default_value("table")
        .value_parser(value_parser!(OutputFormat))
}
