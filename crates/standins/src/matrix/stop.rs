//! Faults during a planned stop of a process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::Result;

use super::cell::CellReport;
use super::checks::find_violations;
use super::deployment;
use super::fault_kind::FaultKind;
use super::inject::FAULT_TIME;
use super::inject::PAUSE_TIME;
use super::inject::inject;
use super::probe::Place;
use super::request::LOW_RATE_PER_SECOND;
use super::request::check_recovery;
use super::request::load;
use super::step::Step;
use super::testbed::Testbed;
use crate::load::Outcome;
use crate::load::Sample;

/// Time after the stop signal from which a stopping endpoint must not start new requests.
const NEW_WORK_LIMIT: Duration = Duration::from_secs(3);

/// Time before the stop. During the first seconds, a sidecar cannot tell whether its predecessor
/// executed an order with an idempotency key.
const WARM_UP: Duration = Duration::from_secs(4);

/// Time within which a stopping process must end; it is longer than any request.
const STOP_LIMIT: Duration = Duration::from_secs(12);

/// Time after the stop signal from which the process certainly refuses new requests.
const REFUSAL_DELAY: Duration = Duration::from_millis(200);

/// Time from the end of a process to the start of its successor.
const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);

/// The process that is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoppedProcess {
    /// An entry.
    Entry,
    /// A sidecar of a model engine.
    Sidecar,
}

/// Runs one cell.
///
/// # Errors
///
/// Returns an error if the deployment does not start.
pub async fn run(
    step: Step,
    fault_kind: FaultKind,
    subject: StoppedProcess,
    seed: u64,
) -> Result<CellReport> {
    let testbed = Testbed::start(deployment::spec(), &deployment::traffic(), seed).await?;
    let start = testbed.cx.timers.now();
    let stopping = tokio::spawn(stop(Arc::clone(&testbed), step, fault_kind, subject));
    let time = WARM_UP + FAULT_TIME + PAUSE_TIME;
    let samples = load(&testbed, LOW_RATE_PER_SECOND / 2.0, time, seed).await;
    let mut broken = find_violations(&testbed, &samples, start);
    broken.extend(stopping.await.expect("the stop does not panic"));
    if !is_destructive(fault_kind) {
        broken.extend(aborted_requests(fault_kind, &samples));
    }
    broken.extend(check_recovery(&testbed, fault_kind, seed).await);
    testbed.cx.stop.cancel();
    Ok(CellReport {
        requests: samples.len(),
        broken,
    })
}

/// Returns whether the fault by itself aborts requests in progress.
const fn is_destructive(fault_kind: FaultKind) -> bool {
    matches!(
        fault_kind,
        FaultKind::EntryDies
            | FaultKind::SidecarDies
            | FaultKind::Paused
            | FaultKind::EngineFails
            | FaultKind::VmReplaced
            | FaultKind::StoreAndSidecar
            | FaultKind::SilentAndEntry
    )
}

/// Returns the requests that started but were aborted because of the stop.
///
/// Preemption by higher tiers and deadlines missed by an engine that is eight times slower are
/// not caused by the stop and do not count.
fn aborted_requests(fault_kind: FaultKind, samples: &[Sample]) -> Vec<String> {
    let is_aborted = |s: &&Sample| match &s.outcome {
        Outcome::Broken => true,
        Outcome::Refused { kind, ran } => {
            let is_policy = kind == "preempted";
            let is_slow = kind == "deadline_exceeded" && fault_kind == FaultKind::EngineSlow;
            ran == "maybe" && !is_policy && !is_slow
        }
        Outcome::Complete | Outcome::Wrong => false,
    };
    let aborted = samples
        .iter()
        .filter(|s| s.at >= WARM_UP)
        .filter(is_aborted);
    aborted
        .map(|s| format!("{} at {:?} was cut off: {:?}", s.class, s.at, s.outcome))
        .collect()
}

async fn stop(
    testbed: Arc<Testbed>,
    step: Step,
    fault_kind: FaultKind,
    subject: StoppedProcess,
) -> Vec<String> {
    let timers = &testbed.cx.timers;
    timers.after(WARM_UP).await;
    let member = testbed.pool(&deployment::model_pool())[0].clone();
    // The fault affects another process than the stopping one, whose own faults have other rows.
    let other = testbed.pool(&deployment::model_pool())[1].sidecar;
    let place = Place {
        entry: 1,
        sidecar: other,
    };
    let inject_fault = || {
        inject(&testbed, fault_kind, place);
    };
    let signal = timers.now();
    let ended = match subject {
        StoppedProcess::Entry => {
            let instance = testbed.entries()[0].clone();
            instance.stop.cancel();
            inject_during_stop(&testbed, step, inject_fault).await;
            timers
                .limit(STOP_LIMIT, instance.service.wait_until_idle())
                .await
                .is_some()
        }
        StoppedProcess::Sidecar => {
            let Some(instance) = testbed.sidecar(member.sidecar) else {
                return Vec::new();
            };
            instance.stop.cancel();
            inject_during_stop(&testbed, step, inject_fault).await;
            timers
                .limit(STOP_LIMIT, instance.service.wait_until_idle())
                .await
                .is_some()
        }
    };
    let mut broken = Vec::new();
    if !ended {
        broken.push(format!(
            "the process had not ended {STOP_LIMIT:?} after its stop"
        ));
    }
    if step == Step::Gone {
        inject_fault();
    }
    broken.extend(restart(&testbed, subject, &member, signal));
    broken
}

async fn inject_during_stop(testbed: &Testbed, step: Step, inject_fault: impl Fn()) {
    match step {
        Step::Signal => inject_fault(),
        Step::Refuse => {
            testbed.cx.timers.after(REFUSAL_DELAY).await;
            inject_fault();
        }
        Step::Drain => {
            testbed.cx.timers.after(REFUSAL_DELAY * 2).await;
            inject_fault();
        }
        _ => {}
    }
}

fn restart(
    testbed: &Arc<Testbed>,
    subject: StoppedProcess,
    member: &crate::cluster::Member,
    signal: Monotonic,
) -> Vec<String> {
    match subject {
        StoppedProcess::Entry => {
            testbed.kill_entry(0, SUCCESSOR_DELAY);
            Vec::new()
        }
        StoppedProcess::Sidecar => {
            testbed.kill_sidecar(member.sidecar, SUCCESSOR_DELAY);
            late_starts(testbed, member.sidecar, signal)
        }
    }
}

/// Returns the requests that a stopping endpoint started too late.
fn late_starts(testbed: &Testbed, sidecar: SocketAddr, signal: Monotonic) -> Vec<String> {
    let started = testbed.probe.started();
    let late = started
        .iter()
        .filter(|s| s.sidecar == sidecar && s.at > signal + NEW_WORK_LIMIT);
    late.map(|s| {
        format!(
            "the stopping endpoint started {} work at {:?}",
            s.tier, s.at
        )
    })
    .collect()
}
