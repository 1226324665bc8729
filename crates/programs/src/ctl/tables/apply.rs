//! `tables apply`: applies a tables file.

use std::sync::Arc;

use clap::ArgMatches;
use eelgrassramp::Kind;
use eelgrassramp::RequestId;
use eelgrassramp::TableVersion;
use eelgrassramp::Timers;
use eelgrassramp::link::HttpLink;
use eelgrassramp::link::SidecarLink;
use eelgrassramp::tables::Applied;
use eelgrassramp::tables::ApplyError;
use eelgrassramp::tables::MergeConflict;
use eelgrassramp::tables::NewEdit;
use eelgrassramp::tables::Row;
use eelgrassramp::tables::announce;
use serde::Serialize;

use super::super::connect;
use super::super::failure::Failure;
use super::super::output::OutputFormat;
use super::super::output::print_json;
use crate::Exit;

#[derive(Debug)]
#[derive(Serialize)]
struct ApplyResult {
    version: TableVersion,
    edit: String,
    changed: bool,
    merged: bool,
}

pub(super) async fn run(m: &ArgMatches) -> Result<(), Failure> {
    let path = super::path(m)?;
    let edit = NewEdit {
        document: super::read_checked(path)?,
        base: super::base(m),
        id: edit_id(m),
        at: jiff::Timestamp::now(),
        message: m.get_one("message").cloned().unwrap_or_default(),
    };
    match connect::applier(m)?.apply(&edit).await {
        Ok(applied) => {
            print(m, &edit, &applied)?;
            announce_tables(m, &applied).await
        }
        Err(ApplyError::Invalid(faults)) => Err(super::invalid(path, &faults)),
        Err(ApplyError::Conflicts(clashes)) => Err(clash_failure(&clashes)),
        Err(ApplyError::Store(e)) if e.kind() == Kind::WriteUnsettled => {
            let hint = format!(
                "to settle it, run the command again with --edit {}",
                edit.id
            );
            Err(Failure::new(
                Exit::Failed,
                vec![e.detail().to_owned(), hint],
            ))
        }
        Err(ApplyError::Store(e)) => Err(e.into()),
    }
}

fn edit_id(m: &ArgMatches) -> RequestId {
    let requested_id = m.get_one::<RequestId>("edit").copied();
    requested_id.unwrap_or_else(|| RequestId::random(&mut rand::rng()))
}

fn print(m: &ArgMatches, edit: &NewEdit, applied: &Applied) -> Result<(), Failure> {
    if super::output_format(m) == OutputFormat::Json {
        return print_json(&ApplyResult {
            version: applied.version,
            edit: edit.id.to_string(),
            changed: applied.changed,
            merged: applied.merged,
        });
    }
    let version = applied.version;
    if !applied.changed {
        println!("version {version} in force already has these rows");
        return Ok(());
    }
    println!("version {version} accepted (edit {})", edit.id);
    if applied.merged {
        println!("rows that other edits changed since the base were kept");
    }
    Ok(())
}

/// Sends the tables to some sidecars, so that they are distributed even if the object API becomes
/// unavailable.
async fn announce_tables(m: &ArgMatches, applied: &Applied) -> Result<(), Failure> {
    if !applied.changed || m.get_flag("no-announce") {
        return Ok(());
    }
    let timers = Timers::start();
    let link: Arc<dyn SidecarLink> = Arc::new(HttpLink::new(timers.clone()));
    let tables = applied.document.to_tables(applied.version)?;
    let announced = announce(&tables, &link, &timers, &mut rand::rng()).await?;
    if super::output_format(m) == OutputFormat::Table {
        let all = announced.taken + announced.failed;
        println!("handed to {} of {all} sidecars asked", announced.taken);
    }
    Ok(())
}

/// Returns a failure that lists every clash with both values.
pub(super) fn clash_failure(clashes: &[MergeConflict]) -> Failure {
    let mut lines = vec!["not applied: another edit changed the same rows".to_owned()];
    for clash in clashes {
        lines.push(clash.to_string());
        match clash {
            MergeConflict::Row(row) => {
                lines.push(format!("  this edit: {}", one_line(row.ours.as_ref())));
                lines.push(format!("  in force:  {}", one_line(row.theirs.as_ref())));
            }
            MergeConflict::RouteOrder { ours, theirs } => {
                lines.push(format!("  this edit: {ours:?}"));
                lines.push(format!("  in force:  {theirs:?}"));
            }
        }
    }
    lines.push("get the tables in force, make the edit there and apply it again".to_owned());
    Failure::new(Exit::Failed, lines)
}

fn one_line(row: Option<&Row>) -> String {
    row.map_or_else(|| "(no such row)".to_owned(), ToString::to_string)
}
