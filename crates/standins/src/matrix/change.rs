//! Faults while the tables change.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::Result;
use eelgrassramp::TableVersion;
use tokio_util::sync::CancellationToken;

use super::checks::broken_promises;
use super::column::Column;
use super::deployment;
use super::inflict::FAULT_TIME;
use super::inflict::PAUSE;
use super::inflict::edit;
use super::inflict::inflict;
use super::probe::Place;
use super::request::CALM_PER_SECOND;
use super::request::WARM_UP;
use super::request::after_fault;
use super::request::load;
use super::scene::Scene;
use super::step::Step;
use super::table::CellReport;

/// Time within which an accepted change must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(11);

const SAMPLE: Duration = Duration::from_millis(50);

/// Runs one cell.
///
/// # Errors
///
/// Returns the error of a deployment that could not be started.
pub async fn run(step: Step, column: Column, seed: u64) -> Result<CellReport> {
    let scene = Scene::start(deployment::spec(), &deployment::traffic(), seed).await?;
    let start = scene.cx.timers.now();
    let watching = CancellationToken::new();
    let reverts = tokio::spawn(watch_reverts(Arc::clone(&scene), watching.clone()));
    let change = tokio::spawn(change(Arc::clone(&scene), step, column));
    let time = WARM_UP + PAUSE + FAULT_TIME + IN_FORCE;
    let samples = load(&scene, CALM_PER_SECOND / 2.0, time, seed).await;
    let mut broken = broken_promises(&scene, &samples, start);
    broken.extend(change.await.expect("the change does not panic"));
    broken.extend(after_fault(&scene, column, seed).await);
    watching.cancel();
    broken.extend(reverts.await.expect("watching does not panic"));
    scene.cx.stop.cancel();
    Ok(CellReport {
        requests: samples.len(),
        broken,
    })
}

/// Makes the change with the fault at its step; returns who did not get it in time.
async fn change(scene: Arc<Scene>, step: Step, column: Column) -> Vec<String> {
    let timers = &scene.cx.timers;
    timers.after(WARM_UP).await;
    let sidecar = scene.pool(&deployment::model_pool())[0].sidecar;
    let place = Place { entry: 0, sidecar };
    let strike = || {
        inflict(&scene, column, place);
    };
    match step {
        Step::Write => strike(),
        Step::Reply => {
            scene.platform.set_faults(|f| f.lost_replies = 1);
            strike();
        }
        _ => {}
    }
    let version = TableVersion(edit(&scene, "changed").await.0);
    let accepted = timers.now();
    match step {
        Step::Watch => strike(),
        Step::Spread => {
            wait_until(&scene, |in_force| in_force.iter().any(|v| *v >= version)).await;
            strike();
        }
        Step::InForce => {
            wait_until(&scene, |in_force| in_force.iter().all(|v| *v >= version)).await;
            strike();
        }
        _ => {}
    }
    late_processes(&scene, version, accepted).await
}

async fn wait_until(scene: &Scene, is_met: impl Fn(&[TableVersion]) -> bool) {
    loop {
        let versions: Vec<_> = scene.in_force().iter().map(|p| p.version).collect();
        if is_met(&versions) {
            return;
        }
        scene.cx.timers.after(Duration::from_millis(1)).await;
    }
}

/// Returns the processes that run on older tables longer than they may.
///
/// A process has the whole time from the acceptance, from its own start, or from the end of
/// its pause on.
async fn late_processes(scene: &Scene, version: TableVersion, accepted: Monotonic) -> Vec<String> {
    let mut late = BTreeMap::new();
    let end = accepted + PAUSE + FAULT_TIME + IN_FORCE;
    let mut running_since: BTreeMap<String, Monotonic> = BTreeMap::new();
    while scene.cx.timers.now() < end {
        let now = scene.cx.timers.now();
        for process in scene.in_force() {
            if process.gate.is_frozen() {
                running_since.insert(process.process.clone(), now);
            }
            let resumed = running_since
                .get(&process.process)
                .copied()
                .unwrap_or(accepted);
            let since = resumed.max(process.since).max(accepted);
            if process.version < version && now.since(since) > IN_FORCE {
                late.entry(process.process).or_insert(now.since(accepted));
            }
        }
        scene.cx.timers.after(SAMPLE).await;
    }
    late.into_iter()
        .map(|(process, after)| format!("{process} had old tables {after:?} after the acceptance"))
        .collect()
}

/// Returns the processes whose tables went back to an older version.
async fn watch_reverts(scene: Arc<Scene>, end: CancellationToken) -> Vec<String> {
    let mut highest: BTreeMap<(String, Monotonic), TableVersion> = BTreeMap::new();
    let mut reverts = Vec::new();
    while !end.is_cancelled() {
        for process in scene.in_force() {
            let seen = highest
                .entry((process.process.clone(), process.since))
                .or_default();
            if process.version < *seen {
                reverts.push(format!(
                    "{} went back from {seen} to {}",
                    process.process, process.version
                ));
            }
            *seen = process.version.max(*seen);
        }
        scene.cx.timers.after(SAMPLE).await;
    }
    reverts
}
