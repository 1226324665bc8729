//! Runs experiments, prints their results and writes them to files.

use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use clap::ArgMatches;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;

use crate::experiment;
use crate::experiment::CaseResult;
use crate::experiment::Experiment;
use crate::load::GroupSummary;

/// An experiment embedded in this program.
#[derive(Debug)]
pub(super) struct Embedded {
    pub(super) name: &'static str,
    pub(super) text: &'static str,
}

/// The deployment and the traffic of the demonstration.
pub(super) const DEMO: &str = include_str!("../../experiments/demo.jsonc");

pub(super) const EMBEDDED: &[Embedded] = &[
    Embedded {
        name: "overload",
        text: include_str!("../../experiments/overload.jsonc"),
    },
    Embedded {
        name: "overload-brief",
        text: include_str!("../../experiments/overload-brief.jsonc"),
    },
    Embedded {
        name: "fairness",
        text: include_str!("../../experiments/fairness.jsonc"),
    },
    Embedded {
        name: "smoke",
        text: include_str!("../../experiments/smoke.jsonc"),
    },
];

/// Runs an experiment; returns whether all guarantees held.
pub(super) fn run_experiment(
    name: &str,
    mut experiment: Experiment,
    args: &ArgMatches,
) -> Result<bool> {
    if let Some(seed) = args.get_one("seed") {
        experiment.seed = *seed;
    }
    if let Some(duration) = args.get_one("duration") {
        experiment.duration_s = *duration;
    }
    let threads: usize = *args.get_one("threads").expect("it has a default");
    let results = experiment::run(&experiment, threads, progress)?;
    println!("{}", experiment::table(&results));
    print_details(&results);
    if let Some(dir) = args.get_one::<PathBuf>("out") {
        write(dir, name, &results)?;
    }
    Ok(results
        .iter()
        .flat_map(|r| &r.checks)
        .all(|c| c.violations == 0))
}

fn progress(result: &CaseResult) {
    let case = &result.case;
    let line = format!(
        "{} at {}: {:.1} good/s of {:.1}, {:.0} s simulated in {:.1} s",
        case.scheduling.as_str(),
        case.load,
        result.good_per_second,
        result.per_second,
        result.simulated_s,
        result.took_s,
    );
    // A failure to print progress must not stop the run.
    let _shown = writeln!(std::io::stderr(), "{line}");
}

/// Prints the details that are not in the table: outcomes by tier and account, and violations.
fn print_details(results: &[CaseResult]) {
    for result in results {
        let case = &result.case;
        println!(
            "\n{} at {}, silent {:?}: {:.0} control bytes/s per entry, store calls/s {:?}",
            case.scheduling.as_str(),
            case.load,
            case.silent,
            result.control_bytes_per_entry_second,
            result.store_calls_per_second,
        );
        for (tier, row) in &result.summary.tiers {
            print_row(tier.as_str(), row);
        }
        for (account, row) in &result.summary.accounts {
            print_row(account.as_str(), row);
        }
        for check in result.checks.iter().filter(|c| c.violations > 0) {
            println!(
                "  BROKEN: {}: {} of {}",
                check.promise, check.violations, check.cases
            );
        }
    }
}

fn print_row(name: &str, row: &GroupSummary) {
    println!(
        "  {name}: goodput {:.4} of {}, total p50/p99 {:.0}/{:.0} ms, late {}, broken {}, wrong {}, refused {:?}",
        row.goodput(),
        row.sent,
        row.total.p50_ms,
        row.total.p99_ms,
        row.late,
        row.broken,
        row.wrong,
        row.refused,
    );
}

fn write(dir: &Path, name: &str, results: &[CaseResult]) -> Result<()> {
    let fail = |e: std::io::Error| {
        Error::with_source(
            Kind::InvalidSettings,
            format!("directory {}", dir.display()),
            e,
        )
    };
    std::fs::create_dir_all(dir).map_err(fail)?;
    let json = serde_json::to_vec_pretty(results)
        .map_err(|e| Error::with_source(Kind::Internal, "encode results", e))?;
    std::fs::write(dir.join(format!("{name}.json")), json).map_err(fail)?;
    experiment::plot(results, &dir.join(format!("{name}.svg")))
}
