//! `tables check`: reports every fault of a tables file.

use clap::ArgMatches;
use eelgrassramp::tables::Document;
use eelgrassramp::tables::merge;
use serde::Serialize;

use super::super::connect;
use super::super::failure::Failure;
use super::super::output::OutputFormat;
use super::super::output::print_json;
use super::apply::clash_failure;

#[derive(Debug)]
#[derive(Serialize)]
struct CheckResult {
    valid: bool,
    routes: usize,
    pools: usize,
    endpoints: usize,
}

pub(super) async fn run(m: &ArgMatches) -> Result<(), Failure> {
    let path = super::path(m)?;
    let document = super::read_checked(path)?;
    if m.get_flag("against-store") {
        check_against_store(m, &document).await?;
    }
    let result = CheckResult {
        valid: true,
        routes: document.routes.len(),
        pools: document.pools.len(),
        endpoints: document.pools.iter().map(|p| p.endpoints.len()).sum(),
    };
    match super::output_format(m) {
        OutputFormat::Json => print_json(&result),
        OutputFormat::Table => {
            println!(
                "{}: valid: {} routes, {} pools, {} endpoints",
                path.display(),
                result.routes,
                result.pools,
                result.endpoints
            );
            Ok(())
        }
    }
}

async fn check_against_store(m: &ArgMatches, document: &Document) -> Result<(), Failure> {
    let applier = connect::applier(m)?;
    let (version, theirs) = applier.read().await?;
    let base = match super::base(m) {
        Some(base) if base != version => applier.read_version(base).await?,
        _ => theirs.clone(),
    };
    match merge(&base, &document.without_history(), &theirs) {
        Ok(_) => Ok(()),
        Err(clashes) => Err(clash_failure(&clashes)),
    }
}
