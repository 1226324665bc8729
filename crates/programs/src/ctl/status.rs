//! `status`: shows the state and load of every endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clap::ArgMatches;
use eelgrassramp::TableVersion;
use eelgrassramp::Timers;
use eelgrassramp::link::HttpLink;
use eelgrassramp::link::LinkError;
use eelgrassramp::link::SidecarLink;
use eelgrassramp::tables::Endpoint;
use eelgrassramp::tables::Pool;
use eelgrassramp::tables::Tables;
use eelgrassramp::wire::Report;
use eelgrassramp::wire::ReportRequest;
use futures_util::StreamExt;
use futures_util::stream;
use serde::Serialize;

use super::connect;
use super::failure::Failure;
use super::output::OutputFormat;
use super::output::print_json;
use super::output::print_table;
use crate::Exit;

const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_CONCURRENT_REPORTS: usize = 32;

#[derive(Debug)]
#[derive(Serialize)]
struct Status {
    tables: TableVersion,
    endpoints: Vec<EndpointStatus>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct EndpointStatus {
    pool: String,
    endpoint: String,
    domain: String,
    state: &'static str,
    version: Option<String>,
    queued: Option<u32>,
    running: Option<u32>,
    tables: Option<TableVersion>,
    brakes: Option<usize>,
    detail: Option<String>,
}

/// Shows every endpoint, with the tables from the object API or from the sidecar given.
pub(super) async fn run(m: &ArgMatches) -> Result<(), Failure> {
    let timers = Timers::start();
    let link: Arc<dyn SidecarLink> = Arc::new(HttpLink::new(timers.clone()));
    let tables = read_tables(m, &timers, &link).await?;
    let calls = tables.pools.values().flat_map(|pool| {
        let endpoints = pool.endpoints.values();
        endpoints.map(|endpoint| request_status(&link, &timers, pool, endpoint))
    });
    let status = Status {
        tables: tables.version,
        endpoints: stream::iter(calls)
            .buffered(MAX_CONCURRENT_REPORTS)
            .collect()
            .await,
    };
    match super::output::output_format(m) {
        OutputFormat::Json => print_json(&status),
        OutputFormat::Table => {
            print(&status);
            Ok(())
        }
    }
}

async fn read_tables(
    m: &ArgMatches,
    timers: &Timers,
    link: &Arc<dyn SidecarLink>,
) -> Result<Tables, Failure> {
    let Some(sidecar) = m.get_one::<SocketAddr>("sidecar") else {
        let (version, document) = connect::applier(m)?.read().await?;
        return Ok(document.to_tables(version)?);
    };
    let call = link.tables(*sidecar);
    let unavailable = |why: String| {
        Failure::new(
            Exit::StoreUnavailable,
            vec![format!("sidecar {sidecar}: {why}")],
        )
    };
    match timers.limit(REPORT_TIMEOUT, call).await {
        Some(Ok(snapshot)) => Ok(Tables::from_snapshot(&snapshot)?),
        Some(Err(e)) => Err(unavailable(e.to_string())),
        None => Err(unavailable("no answer in time".to_owned())),
    }
}

async fn request_status(
    link: &Arc<dyn SidecarLink>,
    timers: &Timers,
    pool: &Pool,
    endpoint: &Endpoint,
) -> EndpointStatus {
    let call = link.report(endpoint.sidecar, ReportRequest::default());
    let reply = timers.limit(REPORT_TIMEOUT, call).await;
    let mut row = EndpointStatus {
        pool: pool.name.to_string(),
        endpoint: endpoint.name.to_string(),
        domain: endpoint.domain.to_string(),
        state: "away",
        version: None,
        queued: None,
        running: None,
        tables: None,
        brakes: None,
        detail: None,
    };
    apply_reply(&mut row, reply);
    row
}

fn apply_reply(row: &mut EndpointStatus, reply: Option<Result<Report, LinkError>>) {
    match reply {
        Some(Ok(report)) => {
            row.state = if report.load.draining {
                "leaving"
            } else {
                "serving"
            };
            row.version = Some(report.version.to_string());
            row.queued = Some(report.load.queued);
            row.running = Some(report.load.running);
            row.tables = Some(report.load.tables);
            row.brakes = Some(report.brakes.len());
        }
        Some(Err(e)) => row.detail = Some(e.to_string()),
        None => row.detail = Some("no answer in time".to_owned()),
    }
}

fn print(status: &Status) {
    let rows = &status.endpoints;
    let current = rows.iter().filter(|row| row.tables == Some(status.tables));
    println!(
        "tables version {}, in force at {} of {} sidecars",
        status.tables,
        current.count(),
        rows.len()
    );
    let header = [
        "pool", "endpoint", "domain", "state", "version", "queued", "running", "tables", "brakes",
    ];
    print_table(&header, rows.iter().map(cells).collect());
    for row in rows {
        if let Some(detail) = &row.detail {
            println!("{} of pool {}: {detail}", row.endpoint, row.pool);
        }
    }
}

fn cells(row: &EndpointStatus) -> Vec<String> {
    vec![
        row.pool.clone(),
        row.endpoint.clone(),
        row.domain.clone(),
        row.state.to_owned(),
        row.version.clone().unwrap_or_else(dash),
        optional_cell(row.queued),
        optional_cell(row.running),
        optional_cell(row.tables),
        optional_cell(row.brakes),
    ]
}

fn optional_cell<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(dash, |value| value.to_string())
}

fn dash() -> String {
    "-".to_owned()
}
