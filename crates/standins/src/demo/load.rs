//! The first part: load over real connections.

use std::io::IsTerminal;
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Context;
use eelgrassramp::Result;

use super::report::LoadReport;
use crate::check::Starts;
use crate::check::check;
use crate::cluster::LoopbackCluster;
use crate::cluster::Scheduling;
use crate::cluster::tables_document;
use crate::cluster::unix_ms;
use crate::experiment::Experiment;
use crate::load::Arrivals;
use crate::load::HttpTarget;
use crate::load::Sample;
use crate::load::Summary;
use crate::load::run_load;

const READY_TIMEOUT: Duration = Duration::from_secs(15);
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);

/// Options of the demonstration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Whether the new version is defective, so that the move is taken back.
    pub bad_version: bool,
}

/// Runs a load against the deployment over real connections and reports the results.
///
/// # Errors
///
/// Returns the error of a process that could not start or did not stop cleanly.
pub async fn serve_load(experiment: &Experiment, cx: Context) -> Result<LoadReport> {
    let spec = &experiment.cluster;
    let cluster = LoopbackCluster::start(spec, experiment.seed, cx).await?;
    let tables = tables_document(&cluster.members, &experiment.traffic, Scheduling::Ours);
    cluster.apply(&tables).await?;
    cluster
        .wait_until_ready(&cluster.entries, READY_TIMEOUT)
        .await?;
    print_progress(&format!(
        "{} entries, {} endpoints with sidecars and one object API serve on loopback",
        cluster.entries.len(),
        cluster.members.len()
    ));
    let samples = load(&cluster, experiment).await;
    let starts = Starts::new(&cluster.engines, &cluster.services);
    let charges: Vec<_> = cluster.services.iter().flat_map(|s| s.charges()).collect();
    let prefill = cluster.engines.iter().map(|e| e.stats().prefill_tokens);
    let report = LoadReport {
        summary: Summary::new(&samples),
        prefill_tokens: prefill.sum(),
        checks: check(&samples, &starts, &charges),
    };
    cluster.stop().await?;
    Ok(report)
}

async fn load(cluster: &LoopbackCluster, experiment: &Experiment) -> Vec<Sample> {
    let traffic = &experiment.traffic;
    let share = experiment.loads.first().copied().unwrap_or(1.0);
    let per_second = share * experiment.cluster.capacity(traffic);
    let length = Duration::from_secs_f64(experiment.duration_s);
    let arrivals = Arrivals::new(traffic.clone(), per_second, experiment.seed, unix_ms());
    let arrivals = arrivals.take_while(move |a| a.at < length);
    let timers = cluster.cx.timers.clone();
    let target = HttpTarget::new(cluster.entries.clone(), timers.clone());
    let mut progress = Progress::new(length);
    run_load(arrivals, Arc::new(target), timers, |s| progress.record(s)).await
}

/// Prints the progress of the load.
#[derive(Debug)]
struct Progress {
    length: Duration,
    last_printed: Duration,
    ended: u64,
    good: u64,
}

impl Progress {
    const fn new(length: Duration) -> Self {
        Self {
            length,
            last_printed: Duration::ZERO,
            ended: 0,
            good: 0,
        }
    }

    fn record(&mut self, sample: &Sample) {
        self.ended += 1;
        self.good += u64::from(sample.is_good());
        let now = sample.at + sample.total;
        if now < self.last_printed + PROGRESS_PERIOD {
            return;
        }
        self.last_printed = now;
        let line = format!(
            "{:>3.0} s of {:.0}: {} requests ended, {} good",
            now.as_secs_f64(),
            self.length.as_secs_f64(),
            self.ended,
            self.good
        );
        let end = if std::io::stderr().is_terminal() {
            "\r"
        } else {
            "\n"
        };
        // A failure to print progress must not stop the run.
        let _shown = write!(std::io::stderr(), "{line}{end}");
    }
}

pub(super) fn print_progress(line: &str) {
    // A failure to print progress must not stop the run.
    let _shown = writeln!(std::io::stderr(), "{line}");
}
