//! Stand-ins and checks of the cases of the third review. `standins CASE FOLDER` runs one case and writes
//! `record.txt` into the folder.

mod cases;
mod client;
mod entry;
mod http;
mod json;
mod proxy;
mod record;
mod replica;
mod socket;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use cases::{Outcome, Setup};
use record::Record;

/// The program that the deploy file builds and runs.
const PROGRAM: &str = "target/release/eelgrassramp-direct-entry";

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let temp = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    let outcome = run(&case, Path::new(&folder), &temp);
    // What remains is in the directory for temporary files.
    let _removed = std::fs::remove_dir_all(&temp);
    match outcome {
        Outcome::Held => {
            println!("held");
            ExitCode::SUCCESS
        }
        Outcome::Broken(detail) => {
            println!("broken: {detail}");
            ExitCode::from(1)
        }
        Outcome::CouldNotRun(detail) => {
            println!("could not run: {detail}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, folder: &Path, temp: &Path) -> Outcome {
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(e) => return Outcome::CouldNotRun(e.to_string()),
    };
    if let Err(e) = std::fs::create_dir_all(temp) {
        return Outcome::CouldNotRun(e.to_string());
    }
    let program = PathBuf::from(PROGRAM);
    if !program.exists() {
        return Outcome::CouldNotRun(format!("{PROGRAM} is not built"));
    }
    let setup = Setup {
        program,
        temp: temp.to_owned(),
        record: Arc::clone(&record),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    record.say(&format!("trouble: {}", setup.has_trouble));
    let outcome = match case {
        "broken-off" => cases::broken_off::run(&setup),
        "lost-order" => cases::lost_order::run(&setup),
        "silent-watch" => cases::silent_watch::run(&setup),
        _ => Outcome::CouldNotRun(format!("no case {case}")),
    };
    record.add(&format!("{outcome:?}"));
    outcome
}
