//! `moves`: shows the progress of each move.

use std::time::Duration;

use clap::ArgMatches;
use eelgrassramp::Timers;
use eelgrassramp::rollout;
use eelgrassramp::rollout::Progress;
use eelgrassramp::rollout::Status;
use eelgrassramp::store::Object;
use eelgrassramp::store::ObjectApi;
use eelgrassramp::tables::Applier;
use eelgrassramp::tables::Document;
use eelgrassramp::tables::PoolRow;
use serde::Serialize;

use super::connect;
use super::failure::Failure;
use super::output::OutputFormat;
use super::output::output_format;
use super::output::print_json;
use super::output::print_table;
use crate::Exit;

const FOLLOW_INTERVAL: Duration = Duration::from_secs(2);

/// The row shown for one move.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
struct MoveRow {
    pool: String,
    from: String,
    to: String,
    by: String,
    status: &'static str,
    #[serde(rename = "words")]
    description: String,
    #[serde(skip)]
    is_taken_back: bool,
    #[serde(skip)]
    is_over: bool,
}

/// Shows the moves once, or each change until all are over.
pub(super) async fn run(m: &ArgMatches) -> Result<(), Failure> {
    let timers = Timers::start();
    let api = connect::object_api(m, &timers)?;
    let applier = connect::applier(m)?;
    let mut rows = read(&*api, &applier).await?;
    print(m, &rows)?;
    if !m.get_flag("follow") {
        return Ok(());
    }
    while !rows.iter().all(|row| row.is_over) {
        timers.after(FOLLOW_INTERVAL).await;
        // If the object API is unavailable, the rows shown last stay valid; try again.
        let Ok(now) = read(&*api, &applier).await else {
            continue;
        };
        if now != rows {
            print(m, &now)?;
            rows = now;
        }
    }
    fail_if_taken_back(&rows)
}

/// Returns an error if a move was taken back, so that a script that follows it can detect this.
fn fail_if_taken_back(rows: &[MoveRow]) -> Result<(), Failure> {
    let lines: Vec<String> = rows
        .iter()
        .filter(|row| row.is_taken_back)
        .map(|row| {
            format!(
                "move of pool \"{}\" to {}: {}",
                row.pool, row.to, row.description
            )
        })
        .collect();
    if lines.is_empty() {
        return Ok(());
    }
    Err(Failure::new(Exit::Failed, lines))
}

async fn read(api: &dyn ObjectApi, applier: &Applier) -> Result<Vec<MoveRow>, Failure> {
    let (_, document) = applier.read().await?;
    let objects = api.list(rollout::PREFIX).await?;
    let mut rows = Vec::new();
    for object in &objects {
        rows.push(row(&progress(object)?));
    }
    rows.extend(not_started(&document, &objects));
    Ok(rows)
}

fn progress(object: &Object) -> Result<Progress, Failure> {
    Progress::from_bytes(&object.value).map_err(|e| {
        Failure::new(
            Exit::Failed,
            vec![format!("{}: {}", object.key, e.detail())],
        )
    })
}

/// Returns the moves requested by the pool table that no entry has started yet.
fn not_started<'a>(
    document: &'a Document,
    objects: &'a [Object],
) -> impl Iterator<Item = MoveRow> + 'a {
    let is_started = |row: &&PoolRow| objects.iter().any(|o| o.key == rollout::key(&row.name));
    let pools = document.pools.iter().filter(move |row| !is_started(row));
    pools.filter_map(|pool| {
        let requested = pool.r#move.as_ref()?;
        Some(MoveRow {
            pool: pool.name.to_string(),
            from: pool.version.to_string(),
            to: requested.to.to_string(),
            by: requested.by.to_string(),
            status: Status::Waiting.as_str(),
            description: "no entry has begun it yet".to_owned(),
            is_taken_back: false,
            is_over: false,
        })
    })
}

fn row(progress: &Progress) -> MoveRow {
    let status = progress.status();
    MoveRow {
        pool: progress.pool.to_string(),
        from: progress.old.to_string(),
        to: progress.new.to_string(),
        by: progress.by.to_string(),
        status: status.as_str(),
        description: description(progress, status),
        is_taken_back: status == Status::TakenBack,
        is_over: matches!(status, Status::Done | Status::TakenBack),
    }
}

fn description(progress: &Progress, status: Status) -> String {
    let reason = progress.reason().unwrap_or("no reason was recorded");
    let (old, new) = (&progress.old, &progress.new);
    match status {
        Status::Waiting => "the earliest time to begin has not come".to_owned(),
        Status::Underway => format!("traffic moves from {old} to {new}"),
        Status::Late => format!("will not be done by its date: {reason}"),
        Status::Done => format!("all traffic is on {new}"),
        Status::TakenBack => format!("all traffic is on {old} again: {reason}"),
    }
}

fn print(m: &ArgMatches, rows: &[MoveRow]) -> Result<(), Failure> {
    if output_format(m) == OutputFormat::Json {
        return print_json(&rows);
    }
    let header = ["pool", "from", "to", "by", "status", ""];
    print_table(&header, rows.iter().map(cells).collect());
    Ok(())
}

fn cells(row: &MoveRow) -> Vec<String> {
    vec![
        row.pool.clone(),
        row.from.clone(),
        row.to.clone(),
        row.by.clone(),
        row.status.to_owned(),
        row.description.clone(),
    ]
}
