//! The `tables` subcommands.

mod apply;
mod check;
mod diff;
mod show;

use std::path::Path;
use std::path::PathBuf;

use clap::ArgMatches;
use eelgrassramp::TableVersion;
use eelgrassramp::tables::Document;
use eelgrassramp::tables::ValidationError;

use super::failure::Failure;
use super::output::output_format;
use crate::Exit;

/// Runs the subcommand that `m` names.
pub(super) async fn run(m: &ArgMatches) -> Result<(), Failure> {
    match m.subcommand() {
        Some(("check", m)) => check::run(m).await,
        Some(("diff", m)) => diff::run(m).await,
        Some(("apply", m)) => apply::run(m).await,
        Some(("get", m)) => show::get(m).await,
        Some(("history", m)) => show::history(m).await,
        _ => Err(Failure::usage("no such command")),
    }
}

fn path(m: &ArgMatches) -> Result<&PathBuf, Failure> {
    m.get_one("file").ok_or_else(|| Failure::usage("no file"))
}

fn base(m: &ArgMatches) -> Option<TableVersion> {
    m.get_one("base").copied().map(TableVersion)
}

/// Reads a tables file; the error lists every fault.
fn read_checked(path: &Path) -> Result<Document, Failure> {
    let document = read(path)?;
    let faults = document.validate(Some(jiff::Timestamp::now()));
    if faults.is_empty() {
        Ok(document)
    } else {
        Err(invalid(path, &faults))
    }
}

fn read(path: &Path) -> Result<Document, Failure> {
    let origin = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|e| Failure::usage(format!("{origin}: {e}")))?;
    Ok(Document::from_jsonc(&text, &origin)?)
}

fn invalid(path: &Path, faults: &[ValidationError]) -> Failure {
    let origin = path.display();
    let lines = faults.iter().map(|f| format!("{origin}: {f}")).collect();
    Failure::new(Exit::Usage, lines)
}
