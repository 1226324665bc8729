//! The command line of the load and experiment tool.

mod demo;
mod experiments;
mod overhead;
mod serve;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;

use self::experiments::run_experiment;
use crate::experiment::Experiment;

const INVALID_EXIT_CODE: u8 = 2;

/// Builds the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("eelgrassramp-bench")
        .about("Puts a deployment of stand-ins under load and checks what was promised")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("demo")
                .about("Runs a small deployment on loopback that moves to a new version")
                .arg(
                    Arg::new("bad-version")
                        .long("bad-version")
                        .help("Makes the new version fail, so that the move is taken back")
                        .action(ArgAction::SetTrue),
                )
                .arg(
                    Arg::new("logs")
                        .long("logs")
                        .help("Writes the logs of all parts to standard error")
                        .action(ArgAction::SetTrue),
                )
                .arg(
                    Arg::new("json")
                        .long("json")
                        .value_name("FILE")
                        .help("Writes the report as JSON")
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
        .subcommand(
            Command::new("load")
                .about("Runs an experiment from a file of JSON with comments")
                .arg(
                    Arg::new("experiment")
                        .long("experiment")
                        .value_name("FILE")
                        .required(true)
                        .value_parser(value_parser!(PathBuf)),
                )
                .args(output_args()),
        )
        .subcommand(
            Command::new("run")
                .about("Runs an experiment that comes with this program")
                .arg(Arg::new("name").value_name("NAME").required(true))
                .args(output_args()),
        )
        .subcommand(
            Command::new("overhead")
                .about("Measures what an entry and a sidecar add to a call, on loopback")
                .arg(
                    Arg::new("calls")
                        .long("calls")
                        .value_name("N")
                        .help("Calls of each kind for latency")
                        .default_value("2000")
                        .value_parser(value_parser!(u64)),
                )
                .arg(
                    Arg::new("seconds")
                        .long("seconds")
                        .value_name("SECONDS")
                        .help("Time of each phase with many callers")
                        .default_value("5")
                        .value_parser(value_parser!(u64)),
                ),
        )
        .subcommand(serve::command())
        .subcommand(Command::new("list").about("Lists the experiments that come with this program"))
}

fn output_args() -> [Arg; 4] {
    [
        Arg::new("out")
            .long("out")
            .value_name("DIR")
            .help("Writes the results as JSON and the plot as SVG into this directory")
            .value_parser(value_parser!(PathBuf)),
        Arg::new("threads")
            .long("threads")
            .value_name("N")
            .help("Cases that run at a time")
            .default_value("1")
            .value_parser(value_parser!(usize)),
        Arg::new("seed")
            .long("seed")
            .value_name("SEED")
            .help("Takes the place of the experiment's seed")
            .value_parser(value_parser!(u64)),
        Arg::new("duration")
            .long("duration")
            .value_name("SECONDS")
            .help("Takes the place of the experiment's duration")
            .value_parser(value_parser!(f64)),
    ]
}

/// Runs the program; the exit code is 1 when a guarantee was violated and 2 when the program
/// returned an error, for example for invalid arguments.
#[must_use]
pub fn main() -> ExitCode {
    let matches = command().get_matches();
    let ended = match matches.subcommand() {
        Some(("demo", args)) => demo::demo(args),
        Some(("overhead", args)) => overhead::overhead(args),
        Some(("serve", args)) => serve::serve(args),
        Some(("load", args)) => load(args),
        Some(("run", args)) => run(args),
        _ => {
            list();
            Ok(true)
        }
    };
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("eelgrassramp-bench: {e}");
            ExitCode::from(INVALID_EXIT_CODE)
        }
    }
}

fn load(args: &ArgMatches) -> Result<bool> {
    let path: &PathBuf = args.get_one("experiment").expect("a required argument");
    let origin = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| Error::with_source(Kind::InvalidSettings, format!("file {origin:?}"), e))?;
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    run_experiment(&name, Experiment::from_str(&text, &origin)?, args)
}

fn run(args: &ArgMatches) -> Result<bool> {
    let name: &String = args.get_one("name").expect("a required argument");
    let found = experiments::EMBEDDED.iter().find(|e| e.name == name);
    let found = found.ok_or_else(|| {
        let detail = format!("experiment {name:?} does not exist; see `eelgrassramp-bench list`");
        Error::new(Kind::InvalidSettings, detail)
    })?;
    run_experiment(name, Experiment::from_str(found.text, name)?, args)
}

fn list() {
    for embedded in experiments::EMBEDDED {
        let about = Experiment::from_str(embedded.text, embedded.name).map(|e| e.about);
        println!("{:<14} {}", embedded.name, about.unwrap_or_default());
    }
}
