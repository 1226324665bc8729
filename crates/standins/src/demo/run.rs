//! Runs the demonstration from start to stop.

use std::collections::BTreeMap;
use std::io::IsTerminal;
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Context;
use eelgrassramp::Result;
use eelgrassramp::VersionName;
use eelgrassramp::tables::Document;
use eelgrassramp::tables::MoveRow;
use jiff::SignedDuration;
use jiff::Timestamp;

use super::follow::MoveStatus;
use super::follow::read_move;
use super::report::Report;
use crate::check::Starts;
use crate::check::check;
use crate::cluster::Loopback;
use crate::cluster::Scheduling;
use crate::cluster::document;
use crate::cluster::unix_ms;
use crate::engine::Badness;
use crate::experiment::Experiment;
use crate::load::Arrivals;
use crate::load::HttpTarget;
use crate::load::Sample;
use crate::load::Summary;
use crate::load::drive;

const READY_LIMIT: Duration = Duration::from_secs(15);
const MOVE_AFTER: Duration = Duration::from_secs(3);
const MOVE_DEADLINE: SignedDuration = SignedDuration::from_secs(20);
const MOVE_WAIT: Duration = Duration::from_secs(20);
const MOVE_POLL: Duration = Duration::from_millis(250);
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);
const OLD_VERSION: &str = "v1";
const NEW_VERSION: &str = "v2";

/// How the demonstration runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Whether the new version is bad, so that the move is taken back.
    pub bad_version: bool,
}

/// Runs the demonstration and reports what was seen.
///
/// # Errors
///
/// Returns the error of a part that could not start or did not stop cleanly.
pub async fn run(experiment: &Experiment, options: Options, cx: Context) -> Result<Report> {
    let spec = &experiment.cluster;
    let bad_versions = bad_versions(options);
    let cluster = Loopback::start(spec, &bad_versions, experiment.seed, cx).await?;
    let mut tables = document(&cluster.members, &experiment.traffic, Scheduling::Ours);
    for pool in &mut tables.pools {
        pool.version = VersionName::from(OLD_VERSION);
    }
    cluster.apply(&tables).await?;
    cluster.ready(READY_LIMIT).await?;
    say(&format!(
        "{} entries, {} endpoints with sidecars and one object API serve on loopback",
        cluster.entries.len(),
        cluster.members.len()
    ));

    let (samples, moved) = tokio::join!(
        load(&cluster, experiment),
        move_pool(&cluster, experiment, tables)
    );
    let starts = Starts::new(&cluster.engines, &cluster.services);
    let charges: Vec<_> = cluster.services.iter().flat_map(|s| s.charges()).collect();
    let prefill = cluster.engines.iter().map(|e| e.stats().prefill_tokens);
    let report = Report {
        summary: Summary::new(&samples),
        prefill_tokens: prefill.sum(),
        moved: moved?,
        wanted: if options.bad_version {
            MoveStatus::TakenBack
        } else {
            MoveStatus::Done
        },
        checks: check(&samples, &starts, &charges),
    };
    cluster.stop().await?;
    Ok(report)
}

fn bad_versions(options: Options) -> BTreeMap<VersionName, Badness> {
    if !options.bad_version {
        return BTreeMap::new();
    }
    let fails_often = Badness {
        fail: 0.3,
        ..Badness::default()
    };
    BTreeMap::from([(VersionName::from(NEW_VERSION), fails_often)])
}

async fn load(cluster: &Loopback, experiment: &Experiment) -> Vec<Sample> {
    let traffic = &experiment.traffic;
    let share = experiment.loads.first().copied().unwrap_or(1.0);
    let per_second = share * experiment.cluster.capacity(traffic);
    let length = Duration::from_secs_f64(experiment.duration_s);
    let arrivals = Arrivals::new(traffic.clone(), per_second, experiment.seed, unix_ms());
    let arrivals = arrivals.take_while(move |a| a.at < length);
    let timers = cluster.cx.timers.clone();
    let target = HttpTarget::new(cluster.entries.clone(), timers.clone());
    let mut progress = Progress::new(length);
    drive(arrivals, Arc::new(target), timers, |s| progress.notice(s)).await
}

/// Asks for the move and follows it to its end.
async fn move_pool(
    cluster: &Loopback,
    experiment: &Experiment,
    mut tables: Document,
) -> Result<MoveStatus> {
    let timers = &cluster.cx.timers;
    let pool = &experiment.cluster.pool;
    timers.after(MOVE_AFTER).await;
    if let Some(row) = tables.pools.iter_mut().find(|p| p.name == *pool) {
        row.r#move = Some(MoveRow {
            to: VersionName::from(NEW_VERSION),
            by: Timestamp::now() + MOVE_DEADLINE,
            not_before: None,
        });
    }
    cluster.apply(&tables).await?;
    say(&format!(
        "pool \"{pool}\" is asked to move to \"{NEW_VERSION}\""
    ));
    let end = timers.now() + MOVE_WAIT;
    let client = cluster.platform.client("demo");
    loop {
        let status = read_move(&*client, pool).await;
        if status.is_final() || timers.now() >= end {
            say(&format!("pool \"{pool}\": move {}", status.as_str()));
            return Ok(status);
        }
        timers.after(MOVE_POLL).await;
    }
}

/// The progress line.
#[derive(Debug)]
struct Progress {
    length: Duration,
    shown: Duration,
    ended: u64,
    good: u64,
}

impl Progress {
    const fn new(length: Duration) -> Self {
        Self {
            length,
            shown: Duration::ZERO,
            ended: 0,
            good: 0,
        }
    }

    fn notice(&mut self, sample: &Sample) {
        self.ended += 1;
        self.good += u64::from(sample.is_good());
        let now = sample.at + sample.total;
        if now < self.shown + PROGRESS_PERIOD {
            return;
        }
        self.shown = now;
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
        // A progress line that cannot be shown is no reason to stop.
        let _shown = write!(std::io::stderr(), "{line}{end}");
    }
}

fn say(line: &str) {
    // As above.
    let _shown = writeln!(std::io::stderr(), "{line}");
}
