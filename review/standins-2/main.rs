//! Stand-ins and checks of the second review, one binary for all cases.
//!
//! Usage: `standins CASE PROGRAM FOLDER TROUBLE`, where `PROGRAM` is the entry's program, `FOLDER` the
//! folder of the case and `TROUBLE` 0 to leave out the disruption. It uses the standard library only.

mod cases;
mod client;
mod entry;
mod http;
mod record;
mod replica;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use entry::Fleet;
use record::Record;

/// Time after which a run is given up.
const MAX_RUN_TIME: Duration = Duration::from_secs(110);

/// Exit code of a run in which the rule was broken.
const BROKEN: u8 = 1;

/// Exit code of a run that could not be made.
const NOT_RUN: u8 = 2;

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// What a case needs.
pub struct Setting {
    /// The entry processes.
    pub fleet: Fleet,
    /// What was sent, answered and run.
    pub record: Record,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

type Case = fn(&Setting) -> Result<Verdict, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [name, program, folder, trouble] = args.as_slice() else {
        eprintln!("usage: standins CASE PROGRAM FOLDER TROUBLE");
        return ExitCode::from(NOT_RUN);
    };
    let Some(case) = cases::find(name) else {
        eprintln!("no case {name:?}");
        return ExitCode::from(NOT_RUN);
    };
    let setting = Setting {
        fleet: Fleet::new(PathBuf::from(program)),
        record: Record::default(),
        has_trouble: trouble != "0",
    };
    let fleet = setting.fleet.clone();
    thread::spawn(move || {
        thread::sleep(MAX_RUN_TIME);
        eprintln!("the run takes too long");
        fleet.end();
        std::process::exit(i32::from(NOT_RUN));
    });
    let result = case(&setting);
    setting.fleet.end();
    let (line, code) = match result {
        Ok(Verdict::Held) => ("the rule held".to_owned(), ExitCode::SUCCESS),
        Ok(Verdict::Broken) => ("the rule was broken".to_owned(), ExitCode::from(BROKEN)),
        Err(e) => (format!("could not run: {e}"), ExitCode::from(NOT_RUN)),
    };
    setting.record.line(&line);
    println!("{line}");
    if let Err(e) = setting
        .record
        .write(&PathBuf::from(folder).join("record.txt"))
    {
        eprintln!("the record cannot be written: {e}");
        return ExitCode::from(NOT_RUN);
    }
    code
}
