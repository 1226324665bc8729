//! Faults during a change of the tables.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::Result;
use eelgrassramp::TableVersion;
use tokio_util::sync::CancellationToken;

use super::cell::CellReport;
use super::checks::find_violations;
use super::deployment;
use super::fault_kind::FaultKind;
use super::inject::FAULT_TIME;
use super::inject::PAUSE_TIME;
use super::inject::inject;
use super::inject::write_change;
use super::probe::Place;
use super::request::LOW_RATE_PER_SECOND;
use super::request::WARM_UP;
use super::request::check_recovery;
use super::request::load;
use super::step::Step;
use super::testbed::Testbed;

/// Time within which an accepted change must be in force in all processes.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(11);

const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Runs one cell.
///
/// # Errors
///
/// Returns an error if the deployment does not start.
pub async fn run(step: Step, fault_kind: FaultKind, seed: u64) -> Result<CellReport> {
    let testbed = Testbed::start(deployment::spec(), &deployment::traffic(), seed).await?;
    let start = testbed.cx.timers.now();
    let watching = CancellationToken::new();
    let reverts = tokio::spawn(watch_reverts(Arc::clone(&testbed), watching.clone()));
    let change = tokio::spawn(change(Arc::clone(&testbed), step, fault_kind));
    let time = WARM_UP + PAUSE_TIME + FAULT_TIME + PROPAGATION_LIMIT;
    let samples = load(&testbed, LOW_RATE_PER_SECOND / 2.0, time, seed).await;
    let mut broken = find_violations(&testbed, &samples, start);
    broken.extend(change.await.expect("the change does not panic"));
    broken.extend(check_recovery(&testbed, fault_kind, seed).await);
    watching.cancel();
    broken.extend(reverts.await.expect("watching does not panic"));
    testbed.cx.stop.cancel();
    Ok(CellReport {
        requests: samples.len(),
        broken,
    })
}

/// Changes the tables and injects the fault at its step; returns the processes that applied the
/// change too late.
async fn change(testbed: Arc<Testbed>, step: Step, fault_kind: FaultKind) -> Vec<String> {
    let timers = &testbed.cx.timers;
    timers.after(WARM_UP).await;
    let sidecar = testbed.pool(&deployment::model_pool())[0].sidecar;
    let place = Place { entry: 0, sidecar };
    let inject_fault = || {
        inject(&testbed, fault_kind, place);
    };
    match step {
        Step::Write => inject_fault(),
        Step::Reply => {
            testbed.platform.set_faults(|f| f.lost_replies = 1);
            inject_fault();
        }
        _ => {}
    }
    let version = TableVersion(write_change(&testbed, "changed").await.0);
    let accepted = timers.now();
    match step {
        Step::Watch => inject_fault(),
        Step::Spread => {
            wait_until(&testbed, |current| current.iter().any(|v| *v >= version)).await;
            inject_fault();
        }
        Step::InForce => {
            wait_until(&testbed, |current| current.iter().all(|v| *v >= version)).await;
            inject_fault();
        }
        _ => {}
    }
    late_processes(&testbed, version, accepted).await
}

async fn wait_until(testbed: &Testbed, is_met: impl Fn(&[TableVersion]) -> bool) {
    loop {
        let versions: Vec<_> = testbed.process_tables().iter().map(|p| p.version).collect();
        if is_met(&versions) {
            return;
        }
        testbed.cx.timers.after(Duration::from_millis(1)).await;
    }
}

/// Returns the processes that used older tables for longer than [`PROPAGATION_LIMIT`].
///
/// The limit counts from the acceptance, from the start of the process or from the end of its
/// pause, whichever is latest.
async fn late_processes(
    testbed: &Testbed,
    version: TableVersion,
    accepted: Monotonic,
) -> Vec<String> {
    let mut late = BTreeMap::new();
    let end = accepted + PAUSE_TIME + FAULT_TIME + PROPAGATION_LIMIT;
    let mut running_since: BTreeMap<String, Monotonic> = BTreeMap::new();
    while testbed.cx.timers.now() < end {
        let now = testbed.cx.timers.now();
        for process in testbed.process_tables() {
            if process.gate.is_frozen() {
                running_since.insert(process.process.clone(), now);
            }
            let resumed = running_since
                .get(&process.process)
                .copied()
                .unwrap_or(accepted);
            let since = resumed.max(process.since).max(accepted);
            if process.version < version && now.since(since) > PROPAGATION_LIMIT {
                late.entry(process.process).or_insert(now.since(accepted));
            }
        }
        testbed.cx.timers.after(SAMPLE_INTERVAL).await;
    }
    late.into_iter()
        .map(|(process, after)| format!("{process} had old tables {after:?} after the acceptance"))
        .collect()
}

/// Returns the processes whose tables reverted to an older version.
async fn watch_reverts(testbed: Arc<Testbed>, end: CancellationToken) -> Vec<String> {
    let mut highest: BTreeMap<(String, Monotonic), TableVersion> = BTreeMap::new();
    let mut reverts = Vec::new();
    while !end.is_cancelled() {
        for process in testbed.process_tables() {
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
        testbed.cx.timers.after(SAMPLE_INTERVAL).await;
    }
    reverts
}
