//! Faults during the processing of a request.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eelgrassramp::PoolName;
use eelgrassramp::Result;

use super::cell::CellReport;
use super::checks::find_violations;
use super::deployment;
use super::fault_kind::FaultKind;
use super::inject::FAULT_TIME;
use super::inject::PAUSE_TIME;
use super::inject::inject;
use super::inject::took_effect;
use super::probe::Place;
use super::step::Step;
use super::testbed::Testbed;
use crate::load::Arrivals;
use crate::load::Outcome;
use crate::load::Sample;
use crate::load::run_load;

/// Request rate at which every request is served.
pub(super) const LOW_RATE_PER_SECOND: f64 = 10.0;

/// Request rate at which requests queue at the entries.
const HIGH_RATE_PER_SECOND: f64 = 40.0;

/// Time before the fault is armed.
pub(super) const WARM_UP: Duration = Duration::from_secs(1);

/// Time after a fault until every request must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

const RECOVERY_LOAD_TIME: Duration = Duration::from_secs(2);

/// Number of queued requests from which a fault at [`Step::Queue`] is injected.
const MIN_WAITING_REQUESTS: usize = 3;

/// Runs one cell against requests to `pool`.
///
/// # Errors
///
/// Returns an error if the deployment does not start.
pub async fn run(
    step: Step,
    fault_kind: FaultKind,
    pool: PoolName,
    seed: u64,
) -> Result<CellReport> {
    let traffic = deployment::traffic();
    let testbed = Testbed::start(deployment::spec(), &traffic, seed).await?;
    let injected = Arc::new(AtomicBool::new(false));
    let start = testbed.cx.timers.now();
    if step == Step::Queue {
        tokio::spawn(inject_into_queue(
            Arc::clone(&testbed),
            fault_kind,
            pool,
            Arc::clone(&injected),
        ));
    } else {
        tokio::spawn(arm(
            Arc::clone(&testbed),
            step,
            fault_kind,
            pool,
            Arc::clone(&injected),
        ));
    }
    let rate = if step == Step::Queue {
        HIGH_RATE_PER_SECOND
    } else {
        LOW_RATE_PER_SECOND
    };
    let samples = load(&testbed, rate, load_time(fault_kind), seed).await;
    let mut broken = find_violations(&testbed, &samples, start);
    broken.extend(check_recovery(&testbed, fault_kind, seed).await);
    if !injected.load(Ordering::Relaxed) {
        broken.push("the step was not reached".to_owned());
    }
    testbed.cx.stop.cancel();
    Ok(CellReport {
        requests: samples.len(),
        broken,
    })
}

fn load_time(fault_kind: FaultKind) -> Duration {
    let fault = if fault_kind == FaultKind::Paused {
        PAUSE_TIME
    } else {
        FAULT_TIME
    };
    WARM_UP + fault + Duration::from_secs(3)
}

/// Runs a load against a testbed and returns its samples.
pub(super) async fn load(
    testbed: &Arc<Testbed>,
    rate: f64,
    time: Duration,
    seed: u64,
) -> Vec<Sample> {
    let unix_ms = testbed.cx.timers.wall_now().as_millisecond();
    let unix_ms = u64::try_from(unix_ms).unwrap_or(0);
    let arrivals = Arrivals::new(deployment::traffic(), rate, seed, unix_ms);
    let arrivals = arrivals.take_while(|a| a.at < time);
    let target = Arc::clone(testbed) as Arc<dyn crate::load::Target>;
    run_load(arrivals, target, testbed.cx.timers.clone(), |_| {}).await
}

async fn arm(
    testbed: Arc<Testbed>,
    step: Step,
    fault_kind: FaultKind,
    pool: PoolName,
    injected: Arc<AtomicBool>,
) {
    testbed.cx.timers.after(WARM_UP).await;
    let target = Arc::clone(&testbed);
    testbed.probe.arm(step, pool, move |place| {
        injected.store(true, Ordering::Relaxed);
        inject(&target, fault_kind, place)
    });
}

async fn inject_into_queue(
    testbed: Arc<Testbed>,
    fault_kind: FaultKind,
    pool: PoolName,
    injected: Arc<AtomicBool>,
) {
    testbed.cx.timers.after(WARM_UP).await;
    while testbed.probe.waiting() < MIN_WAITING_REQUESTS {
        testbed.cx.timers.after(Duration::from_millis(10)).await;
    }
    let sidecar = testbed.pool(&pool)[0].sidecar;
    injected.store(true, Ordering::Relaxed);
    inject(&testbed, fault_kind, Place { entry: 0, sidecar });
}

/// Returns what still fails after the fault, and an error if the fault never took effect.
pub(super) async fn check_recovery(
    testbed: &Arc<Testbed>,
    fault_kind: FaultKind,
    seed: u64,
) -> Vec<String> {
    testbed.cx.timers.after(RECOVERY_TIME).await;
    let after = load(
        testbed,
        LOW_RATE_PER_SECOND / 2.0,
        RECOVERY_LOAD_TIME,
        seed + 1,
    )
    .await;
    let mut broken = unserved_after_fault(fault_kind, &after);
    if !took_effect(testbed, fault_kind) {
        broken.push("the fault was not injected".to_owned());
    }
    broken
}

/// Returns the requests that were not served after the fault had ended.
///
/// A restarted sidecar does not know which idempotency keys its predecessor executed, so it may
/// report the outcome of keyed orders as unknown during the key retention.
fn unserved_after_fault(fault_kind: FaultKind, after: &[Sample]) -> Vec<String> {
    let forgets_keys = matches!(
        fault_kind,
        FaultKind::SidecarDies | FaultKind::VmReplaced | FaultKind::StoreAndSidecar
    );
    let unserved = after.iter().filter(|s| s.outcome != Outcome::Complete);
    let unserved =
        unserved.filter(|s| !(forgets_keys && s.key.is_some() && is_outcome_unknown(&s.outcome)));
    unserved
        .map(|s| format!("{} was not served afterwards: {:?}", s.class, s.outcome))
        .collect()
}

fn is_outcome_unknown(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Refused { kind, ran } if kind == "outcome_unknown" && ran == "maybe")
}
