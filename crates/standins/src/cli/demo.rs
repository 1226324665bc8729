//! The `demo` subcommand.

use std::path::PathBuf;

use clap::ArgMatches;
use eelgrassramp::Context;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use eelgrassramp::Timers;
use eelgrassramp::log;
use eelgrassramp::metrics;
use slog::Logger;
use tokio_util::sync::CancellationToken;

use super::experiments::DEMO;
use crate::demo;
use crate::experiment::Experiment;

/// Runs the demonstration; returns whether all guarantees held.
pub(super) fn demo(args: &ArgMatches) -> Result<bool> {
    let experiment = Experiment::from_str(DEMO, "demo.jsonc")?;
    let options = demo::Options {
        bad_version: args.get_flag("bad-version"),
    };
    let written = args
        .get_flag("logs")
        .then(|| log::to_stderr(log::Verbosity::Info, "eelgrassramp-bench"));
    let log = written
        .as_ref()
        .map_or_else(log::discard, |log| log.logger.clone());
    let report = demo::Report {
        load: in_real_time(log, |cx| demo::serve_load(&experiment, cx))?,
        moved: demo::simulate_move(&experiment, options)?,
    };
    if let Some(written) = written {
        written.flush();
    }
    println!("{report}");
    if let Some(path) = args.get_one::<PathBuf>("json") {
        write(path, &report)?;
    }
    Ok(report.is_good())
}

/// Runs `work` on a runtime with a real clock and real connections.
pub(super) fn in_real_time<T, F: Future<Output = Result<T>>>(
    log: Logger,
    work: impl FnOnce(Context) -> F,
) -> Result<T> {
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|e| Error::with_source(Kind::Internal, "start runtime", e))?;
    runtime.block_on(async {
        let cx = Context {
            log,
            metrics: metrics::discard(),
            timers: Timers::start(),
            stop: CancellationToken::new(),
            // With a common seed, all entries would generate the same request ids.
            seed: None,
        };
        work(cx).await
    })
}

fn write(path: &PathBuf, report: &demo::Report) -> Result<()> {
    let json = serde_json::to_vec_pretty(report)
        .map_err(|e| Error::with_source(Kind::Internal, "encode report", e))?;
    std::fs::write(path, json).map_err(|e| {
        Error::with_source(Kind::InvalidSettings, format!("file {}", path.display()), e)
    })
}
