//! `tables diff`: shows what applying a tables file would change.

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
use super::super::output::OutputFormat;
use super::super::output::print_json;
use super::apply::clash_failure;

const CONTEXT_LINES: usize = 2;

/// A changed row in the JSON output.
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
            change: change_name(change),
        }
    }
}

#[derive(Debug)]
#[derive(Serialize)]
struct DiffResult {
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
    let result = DiffResult {
        version,
        changes: merged
            .changes_since(&theirs)
            .iter()
            .map(ChangeRow::from)
            .collect(),
        routes_reordered: is_reordered(&merged, &theirs),
    };
    match super::output_format(m) {
        OutputFormat::Json => print_json(&result),
        OutputFormat::Table => {
            println!("compared with version {version} in force:");
            print_changes(&merged, &theirs);
            Ok(())
        }
    }
}

/// Prints the changed rows as line diffs.
pub(super) fn print_changes(after: &Document, before: &Document) {
    let changes = after.changes_since(before);
    let reordered = is_reordered(after, before);
    if changes.is_empty() && !reordered {
        println!("no change");
    }
    for change in &changes {
        println!("{} {}", change.key, change_name(change));
        let (old, new) = (
            row_text(change.before.as_ref()),
            row_text(change.after.as_ref()),
        );
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

const fn change_name(change: &Change) -> &'static str {
    match (&change.before, &change.after) {
        (None, _) => "added",
        (Some(_), None) => "removed",
        (Some(_), Some(_)) => "changed",
    }
}

fn row_text(row: Option<&Row>) -> String {
    row.map(|row| format!("{row:#}\n")).unwrap_or_default()
}
