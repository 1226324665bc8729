//! `tables get` and `tables history`.

use clap::ArgMatches;
use eelgrassramp::TableVersion;
use eelgrassramp::tables::Document;
use serde::Serialize;

use super::super::connect;
use super::super::failure::Failure;
use super::super::output::Output;
use super::super::output::print_json;
use super::super::output::print_table;

#[derive(Debug)]
#[derive(Serialize)]
struct Shown {
    version: TableVersion,
    tables: Document,
}

#[derive(Debug)]
#[derive(Serialize)]
struct EditLine {
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
    if super::output(m) == Output::Json {
        return print_json(&Shown { version, tables });
    }
    println!("// Version {version}; apply an edit of it with --base {version}.");
    print_json(&tables)
}

pub(super) async fn history(m: &ArgMatches) -> Result<(), Failure> {
    let limit = m.get_one::<u32>("limit").copied().unwrap_or(1);
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let versions = connect::applier(m)?.history(limit).await?;
    let lines: Vec<EditLine> = versions
        .iter()
        .enumerate()
        .map(|(i, (version, document))| line(*version, document, versions.get(i + 1)))
        .collect();
    if super::output(m) == Output::Json {
        return print_json(&lines);
    }
    let header = ["version", "made", "on version", "rows changed", "message"];
    print_table(&header, lines.iter().map(cells).collect());
    Ok(())
}

fn line(
    version: TableVersion,
    document: &Document,
    before: Option<&(TableVersion, Document)>,
) -> EditLine {
    let empty = Document::default();
    let before = before.map_or(&empty, |(_, document)| document);
    let edit = document.edit.as_ref();
    EditLine {
        version,
        at: edit.map(|e| e.at.to_string()).unwrap_or_default(),
        base: edit.map(|e| e.base).unwrap_or_default(),
        edit: edit.map(|e| e.id.clone()).unwrap_or_default(),
        changes: document.changes_since(before).len(),
        message: edit.map(|e| e.message.clone()).unwrap_or_default(),
    }
}

fn cells(line: &EditLine) -> Vec<String> {
    vec![
        line.version.to_string(),
        line.at.clone(),
        line.base.to_string(),
        line.changes.to_string(),
        line.message.clone(),
    ]
}
