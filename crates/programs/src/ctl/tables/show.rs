//! `tables get` and `tables history`.

use clap::ArgMatches;
use eelgrassramp::TableVersion;
use eelgrassramp::tables::Document;
use serde::Serialize;

use super::super::connect;
use super::super::failure::Failure;
use super::super::output::OutputFormat;
use super::super::output::print_json;
use super::super::output::print_table;

#[derive(Debug)]
#[derive(Serialize)]
struct VersionedTables {
    version: TableVersion,
    tables: Document,
}

#[derive(Debug)]
#[derive(Serialize)]
struct HistoryRow {
    version: TableVersion,
    at: String,
    base: TableVersion,
    edit: String,
    changes: usize,
    message: String,
}

pub(super) async fn get(m: &ArgMatches) -> Result<(), Failure> {
    let applier = connect::applier(m)?;
    let (version, document) = match m.get_one::<u64>("version").copied().map(TableVersion) {
        Some(version) => (version, applier.read_version(version).await?),
        None => applier.read().await?,
    };
    let tables = document.without_history();
    if super::output_format(m) == OutputFormat::Json {
        return print_json(&VersionedTables { version, tables });
    }
    println!("// Version {version}; apply an edit of it with --base {version}.");
    print_json(&tables)
}

pub(super) async fn history(m: &ArgMatches) -> Result<(), Failure> {
    let limit = m.get_one::<u32>("limit").copied().unwrap_or(1);
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let versions = connect::applier(m)?.history(limit).await?;
    let lines: Vec<HistoryRow> = versions
        .iter()
        .enumerate()
        .map(|(i, (version, document))| history_row(*version, document, versions.get(i + 1)))
        .collect();
    if super::output_format(m) == OutputFormat::Json {
        return print_json(&lines);
    }
    let header = ["version", "made", "on version", "rows changed", "message"];
    print_table(&header, lines.iter().map(cells).collect());
    Ok(())
}

fn history_row(
    version: TableVersion,
    document: &Document,
    before: Option<&(TableVersion, Document)>,
) -> HistoryRow {
    let empty = Document::default();
    let before = before.map_or(&empty, |(_, document)| document);
    let edit = document.edit.as_ref();
    HistoryRow {
        version,
        at: edit.map(|e| e.at.to_string()).unwrap_or_default(),
        base: edit.map(|e| e.base).unwrap_or_default(),
        edit: edit.map(|e| e.id.clone()).unwrap_or_default(),
        changes: document.changes_since(before).len(),
        message: edit.map(|e| e.message.clone()).unwrap_or_default(),
    }
}

fn cells(row: &HistoryRow) -> Vec<String> {
    vec![
        row.version.to_string(),
        row.at.clone(),
        row.base.to_string(),
        row.changes.to_string(),
        row.message.clone(),
    ]
}
