//! Faults on the way of a request.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eelgrassramp::PoolName;
use eelgrassramp::Result;

use super::checks::broken_promises;
use super::column::Column;
use super::deployment;
use super::inflict::FAULT_TIME;
use super::inflict::PAUSE;
use super::inflict::has_shown;
use super::inflict::inflict;
use super::probe::Place;
use super::scene::Scene;
use super::step::Step;
use super::table::CellReport;
use crate::load::Arrivals;
use crate::load::Outcome;
use crate::load::Sample;
use crate::load::run_load;

/// Load at which everything is served.
pub(super) const CALM_PER_SECOND: f64 = 10.0;

/// Load at which requests wait at entries.
const CROWDED_PER_SECOND: f64 = 40.0;

/// Time before the fault is armed.
pub(super) const WARM_UP: Duration = Duration::from_secs(1);

/// Time after the end of a fault until everything must be served again.
const SETTLE: Duration = Duration::from_secs(5);

const AFTER: Duration = Duration::from_secs(2);

/// Requests that must wait before a fault is injected into the queue.
const WAITING: usize = 3;

/// Runs one cell against requests to `pool`.
///
/// # Errors
///
/// Returns the error of a deployment that could not be started.
pub async fn run(step: Step, column: Column, pool: PoolName, seed: u64) -> Result<CellReport> {
    let traffic = deployment::traffic();
    let scene = Scene::start(deployment::spec(), &traffic, seed).await?;
    let fired = Arc::new(AtomicBool::new(false));
    let start = scene.cx.timers.now();
    if step == Step::Queue {
        tokio::spawn(inflict_on_queue(
            Arc::clone(&scene),
            column,
            pool,
            Arc::clone(&fired),
        ));
    } else {
        tokio::spawn(arm(
            Arc::clone(&scene),
            step,
            column,
            pool,
            Arc::clone(&fired),
        ));
    }
    let rate = if step == Step::Queue {
        CROWDED_PER_SECOND
    } else {
        CALM_PER_SECOND
    };
    let samples = load(&scene, rate, load_time(column), seed).await;
    let mut broken = broken_promises(&scene, &samples, start);
    broken.extend(after_fault(&scene, column, seed).await);
    if !fired.load(Ordering::Relaxed) {
        broken.push("the step was not reached".to_owned());
    }
    scene.cx.stop.cancel();
    Ok(CellReport {
        requests: samples.len(),
        broken,
    })
}

fn load_time(column: Column) -> Duration {
    let fault = if column == Column::Paused {
        PAUSE
    } else {
        FAULT_TIME
    };
    WARM_UP + fault + Duration::from_secs(3)
}

/// Sends a load to a scene and returns what became of it.
pub(super) async fn load(scene: &Arc<Scene>, rate: f64, time: Duration, seed: u64) -> Vec<Sample> {
    let unix_ms = scene.cx.timers.wall_now().as_millisecond();
    let unix_ms = u64::try_from(unix_ms).unwrap_or(0);
    let arrivals = Arrivals::new(deployment::traffic(), rate, seed, unix_ms);
    let arrivals = arrivals.take_while(|a| a.at < time);
    let target = Arc::clone(scene) as Arc<dyn crate::load::Target>;
    run_load(arrivals, target, scene.cx.timers.clone(), |_| {}).await
}

async fn arm(
    scene: Arc<Scene>,
    step: Step,
    column: Column,
    pool: PoolName,
    fired: Arc<AtomicBool>,
) {
    scene.cx.timers.after(WARM_UP).await;
    let target = Arc::clone(&scene);
    scene.probe.arm(step, pool, move |place| {
        fired.store(true, Ordering::Relaxed);
        inflict(&target, column, place)
    });
}

async fn inflict_on_queue(
    scene: Arc<Scene>,
    column: Column,
    pool: PoolName,
    fired: Arc<AtomicBool>,
) {
    scene.cx.timers.after(WARM_UP).await;
    while scene.probe.waiting() < WAITING {
        scene.cx.timers.after(Duration::from_millis(10)).await;
    }
    let sidecar = scene.pool(&pool)[0].sidecar;
    fired.store(true, Ordering::Relaxed);
    inflict(&scene, column, Place { entry: 0, sidecar });
}

/// Tells what is still wrong after the fault, and whether it showed at all.
pub(super) async fn after_fault(scene: &Arc<Scene>, column: Column, seed: u64) -> Vec<String> {
    scene.cx.timers.after(SETTLE).await;
    let after = load(scene, CALM_PER_SECOND / 2.0, AFTER, seed + 1).await;
    let mut broken = not_recovered(column, &after);
    if !has_shown(scene, column) {
        broken.push("the fault was not injected".to_owned());
    }
    broken
}

/// Tells which requests were not served after the fault had ended.
///
/// A new life of a sidecar cannot know which idempotency keys the former one ran, so it may
/// leave the outcome of keyed orders open for the key retention.
fn not_recovered(column: Column, after: &[Sample]) -> Vec<String> {
    let forgets_keys = matches!(
        column,
        Column::SidecarDies | Column::VmReplaced | Column::StoreAndSidecar
    );
    let unserved = after.iter().filter(|s| s.outcome != Outcome::Complete);
    let unserved = unserved.filter(|s| !(forgets_keys && s.key.is_some() && is_open(&s.outcome)));
    unserved
        .map(|s| format!("{} was not served afterwards: {:?}", s.class, s.outcome))
        .collect()
}

fn is_open(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Refused { kind, ran } if kind == "outcome_unknown" && ran == "maybe")
}
