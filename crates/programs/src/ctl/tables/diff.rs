//! `tables diff`: shows what a file would change.

use clap::ArgMatches;
use eelgrassramp::TableVersion;
use eelgrassramp::tables::Change;
use eelgrassramp::tables::Document;
use eelgrassramp::tables::Row;
use eelgrassramp::tables::merge;
use serde::Serialize;
use similar::TextDiff;

use super::super::connect;
use super::super::failure::Failure;
use super::super::output::Output;
use super::super::output::print_json;
use super::apply::clash_failure;

const CONTEXT_LINES: usize = 2;

/// One changed row, for scripts.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct ChangeRow {
    row: String,
    change: &'static str,
}

impl From<&Change> for ChangeRow {
    fn from(change: &Change) -> Self {
        Self {
            row: change.key.to_string(),
            change: verb(change),
        }
    }
}

#[derive(Debug)]
#[derive(Serialize)]
struct Compared {
    version: TableVersion,
    changes: Vec<ChangeRow>,
    routes_reordered: bool,
}

pub(super) async fn run(m: &ArgMatches) -> Result<(), Failure> {
    let document = super::read_checked(super::path(m)?)?.without_history();
    let applier = connect::applier(m)?;
    let (version, theirs) = applier.read().await?;
    let base = match super::base(m) {
        Some(base) if base != version => applier.read_version(base).await?,
        _ => theirs.clone(),
    };
    let merged = merge(&base, &document, &theirs).map_err(|c| clash_failure(&c))?;
    let compared = Compared {
        version,
        changes: merged
            .changes_since(&theirs)
            .iter()
            .map(ChangeRow::from)
            .collect(),
        routes_reordered: is_reordered(&merged, &theirs),
    };
    match super::output(m) {
        Output::Json => print_json(&compared),
        Output::Table => {
            println!("compared with version {version} in force:");
            print_changes(&merged, &theirs);
            Ok(())
        }
    }
}

/// Prints the rows that differ, line by line.
pub(super) fn print_changes(after: &Document, before: &Document) {
    let changes = after.changes_since(before);
    let reordered = is_reordered(after, before);
    if changes.is_empty() && !reordered {
        println!("no change");
    }
    for change in &changes {
        println!("{} {}", change.key, verb(change));
        let (old, new) = (text(change.before.as_ref()), text(change.after.as_ref()));
        let diff = TextDiff::from_lines(&old, &new);
        print!("{}", diff.unified_diff().context_radius(CONTEXT_LINES));
    }
    if reordered {
        println!("order of the routes changed");
    }
}

fn is_reordered(after: &Document, before: &Document) -> bool {
    let (new, old) = (after.route_order(), before.route_order());
    let kept_new = new.iter().filter(|name| old.contains(name));
    let kept_old = old.iter().filter(|name| new.contains(name));
    !kept_new.eq(kept_old)
}

const fn verb(change: &Change) -> &'static str {
    match (&change.before, &change.after) {
        (None, _) => "added",
        (Some(_), None) => "removed",
        (Some(_), Some(_)) => "changed",
    }
}

fn text(row: Option<&Row>) -> String {
    row.map(|row| format!("{row:#}\n")).unwrap_or_default()
}
