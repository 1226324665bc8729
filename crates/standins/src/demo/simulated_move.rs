//! The second part: a move to a new version on a simulated clock, since a move takes minutes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use eelgrassramp::VersionName;
use eelgrassramp::tables::MoveRow;
use jiff::SignedDuration;

use super::load::Options;
use super::load::print_progress;
use super::move_status::MoveStatus;
use super::move_status::read_move;
use super::report::MoveReport;
use crate::check::Starts;
use crate::check::check;
use crate::cluster::InProcessCluster;
use crate::cluster::Scheduling;
use crate::cluster::tables_document;
use crate::engine::VersionDefect;
use crate::experiment::Experiment;
use crate::load::Arrivals;
use crate::load::Sample;
use crate::load::Summary;
use crate::load::Target;
use crate::load::run_load;

const NEW_VERSION: &str = "v2";
const MOVE_DEADLINE: SignedDuration = SignedDuration::from_mins(10);
const MOVE_TIMEOUT: Duration = Duration::from_mins(30);
const MOVE_POLL: Duration = Duration::from_secs(1);
const PROGRESS_PERIOD: Duration = Duration::from_mins(1);

/// Runs one move under load on a simulated clock.
///
/// # Errors
///
/// Returns the error of a process that could not start.
pub fn simulate_move(experiment: &Experiment, options: Options) -> Result<MoveReport> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .map_err(|e| Error::with_source(Kind::Internal, "start runtime", e))?;
    runtime.block_on(run(experiment, options))
}

async fn run(experiment: &Experiment, options: Options) -> Result<MoveReport> {
    let mut spec = experiment.cluster.clone();
    spec.bad_versions = bad_versions(options);
    let traffic = &experiment.traffic;
    let cluster =
        InProcessCluster::start(&spec, traffic, Scheduling::Ours, experiment.seed).await?;
    let cluster = Arc::new(cluster);
    let is_finished = Arc::new(AtomicBool::new(false));
    let (samples, moved) = tokio::join!(
        load(&cluster, experiment, &is_finished),
        follow_move(&cluster, experiment, &is_finished),
    );
    let (status, took) = moved?;
    let starts = Starts::new(&cluster.engines, &cluster.services);
    let charges: Vec<_> = cluster.services.iter().flat_map(|s| s.charges()).collect();
    Ok(MoveReport {
        status,
        wanted: if options.bad_version {
            MoveStatus::TakenBack
        } else {
            MoveStatus::Done
        },
        took,
        summary: Summary::new(&samples),
        checks: check(&samples, &starts, &charges),
    })
}

fn bad_versions(options: Options) -> BTreeMap<VersionName, VersionDefect> {
    if !options.bad_version {
        return BTreeMap::new();
    }
    let defect = VersionDefect {
        failure_probability: 0.3,
        ..VersionDefect::default()
    };
    BTreeMap::from([(VersionName::from(NEW_VERSION), defect)])
}

async fn load(
    cluster: &Arc<InProcessCluster>,
    experiment: &Experiment,
    is_finished: &AtomicBool,
) -> Vec<Sample> {
    let traffic = &experiment.traffic;
    let share = experiment.loads.first().copied().unwrap_or(1.0);
    let per_second = share * experiment.cluster.capacity(traffic);
    let unix_ms = cluster.unix_ms();
    let arrivals = Arrivals::new(traffic.clone(), per_second, experiment.seed, unix_ms);
    let arrivals = arrivals.take_while(|_| !is_finished.load(Ordering::Relaxed));
    let target = Arc::clone(cluster) as Arc<dyn Target>;
    run_load(arrivals, target, cluster.cx.timers.clone(), |_| {}).await
}

/// Requests the move and reports its progress until it ends.
async fn follow_move(
    cluster: &InProcessCluster,
    experiment: &Experiment,
    is_finished: &AtomicBool,
) -> Result<(MoveStatus, Duration)> {
    let timers = &cluster.cx.timers;
    let pool = &experiment.cluster.pool;
    let start = timers.now();
    let mut tables = tables_document(&cluster.members, &experiment.traffic, Scheduling::Ours);
    if let Some(row) = tables.pools.iter_mut().find(|p| p.name == *pool) {
        row.r#move = Some(MoveRow {
            to: VersionName::from(NEW_VERSION),
            by: timers.wall_now() + MOVE_DEADLINE,
            not_before: None,
        });
    }
    cluster.apply(&tables).await?;
    print_progress(&format!(
        "pool \"{pool}\" is asked to move to \"{NEW_VERSION}\""
    ));
    let client = cluster.platform.client("demo");
    let mut last_printed = start;
    loop {
        let status = read_move(&*client, pool).await;
        let now = timers.now();
        let passed = now.since(start);
        let is_last = status.is_final() || passed >= MOVE_TIMEOUT;
        if is_last || now.since(last_printed) >= PROGRESS_PERIOD {
            last_printed = now;
            let seconds = passed.as_secs();
            print_progress(&format!(
                "{seconds:>4} s simulated: the move is {}",
                status.as_str()
            ));
        }
        if is_last {
            is_finished.store(true, Ordering::Relaxed);
            return Ok((status, passed));
        }
        timers.after(MOVE_POLL).await;
    }
}
