//! Injection of each fault into a testbed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::Kind;
use eelgrassramp::ObjectVersion;
use eelgrassramp::store::ObjectApi;
use eelgrassramp::tables;

use super::fault_kind::FaultKind;
use super::probe::Effect;
use super::probe::Place;
use super::testbed::Testbed;
use crate::cluster::SimulatedEndpoint;
use crate::fault::Fault;
use crate::fault::Rule;
use crate::platform::InjectedFault;

/// Time from the end of a process to its restart.
const RESTART_DELAY: Duration = Duration::from_secs(3);

/// Duration of a fault that does not end by itself.
pub const FAULT_TIME: Duration = Duration::from_secs(8);

/// Duration of a pause; it is longer than a lease lasts.
pub const PAUSE_TIME: Duration = Duration::from_secs(20);

/// Time after which the operator retries a failed command.
const OPERATOR_RETRY_DELAY: Duration = Duration::from_millis(500);

const STORE_DELAY: Duration = Duration::from_secs(2);
const REPORT_DELAY: Duration = Duration::from_secs(5);
const DUPLICATE_DELAY: Duration = Duration::from_millis(700);
const SLOW_FACTOR: f64 = 8.0;
const LOST_REPLIES: u32 = 3;

/// Injects a fault and schedules its end; returns the effect on the current message.
pub fn inject(testbed: &Arc<Testbed>, fault_kind: FaultKind, place: Place) -> Effect {
    match fault_kind {
        FaultKind::EntryDies => testbed.kill_entry(place.entry, RESTART_DELAY),
        FaultKind::SidecarDies => testbed.kill_sidecar(place.sidecar, RESTART_DELAY),
        FaultKind::Paused => testbed.freeze_entry(place.entry, PAUSE_TIME),
        FaultKind::EngineSlow => slow_engine(testbed, place),
        FaultKind::EngineFails => fail_engine(testbed, place),
        FaultKind::StoreDown => {
            store_fault(testbed, |f| f.outage = true, |f| f.outage = false);
            read_store(testbed);
        }
        FaultKind::StoreSlow => {
            store_fault(
                testbed,
                |f| f.delay = STORE_DELAY,
                |f| f.delay = Duration::ZERO,
            );
            read_store(testbed);
        }
        FaultKind::ReplyLost => lose_replies(testbed),
        FaultKind::ReportStale => {
            testbed.fleet.delay_reports(REPORT_DELAY);
            end_after_fault_time(testbed, |bench| bench.fleet.delay_reports(Duration::ZERO));
        }
        FaultKind::CacheEventsLost => {
            testbed.fleet.lose_cache_events(true);
            end_after_fault_time(testbed, |testbed| testbed.fleet.lose_cache_events(false));
        }
        FaultKind::Silent => return Effect::Hang,
        FaultKind::Duplicate => {
            testbed
                .faults
                .add(Rule::new(Fault::Duplicate(DUPLICATE_DELAY)));
            end_after_fault_time(testbed, |testbed| testbed.faults.clear());
        }
        FaultKind::ConflictingEdits => conflicting_edits(testbed),
        FaultKind::VmReplaced => testbed.replace_vm(place.sidecar, RESTART_DELAY),
        FaultKind::StoreAndSidecar => {
            inject(testbed, FaultKind::StoreDown, place);
            inject(testbed, FaultKind::SidecarDies, place);
        }
        FaultKind::SilentAndEntry => {
            testbed
                .faults
                .add(Rule::new(Fault::StallAfter(1)).with_chance(0.5));
            end_after_fault_time(testbed, |testbed| testbed.faults.clear());
            inject(testbed, FaultKind::EntryDies, place);
        }
    }
    Effect::Pass
}

/// Returns whether the fault took effect, where that can be observed.
#[must_use]
pub fn took_effect(testbed: &Testbed, fault_kind: FaultKind) -> bool {
    match fault_kind {
        FaultKind::StoreDown | FaultKind::StoreAndSidecar => {
            testbed.platform.injected_count(InjectedFault::Outage) > 0
        }
        FaultKind::StoreSlow => testbed.platform.injected_count(InjectedFault::Delay) > 0,
        FaultKind::ReplyLost => testbed.platform.injected_count(InjectedFault::LostReply) > 0,
        FaultKind::ReportStale => testbed.fleet.counts().delayed_reports > 0,
        FaultKind::CacheEventsLost => testbed.fleet.counts().lost_cache_events > 0,
        FaultKind::Duplicate | FaultKind::SilentAndEntry => testbed.faults.total() > 0,
        FaultKind::EntryDies
        | FaultKind::SidecarDies
        | FaultKind::Paused
        | FaultKind::EngineSlow
        | FaultKind::EngineFails
        | FaultKind::Silent
        | FaultKind::ConflictingEdits
        | FaultKind::VmReplaced => true,
    }
}

fn end_after_fault_time(testbed: &Arc<Testbed>, end: impl FnOnce(&Arc<Testbed>) + Send + 'static) {
    let testbed = Arc::clone(testbed);
    tokio::spawn(async move {
        testbed.cx.timers.after(FAULT_TIME).await;
        end(&testbed);
    });
}

fn store_fault(
    testbed: &Arc<Testbed>,
    begin: impl FnOnce(&mut crate::platform::Faults),
    end: impl FnOnce(&mut crate::platform::Faults) + Send + 'static,
) {
    testbed.platform.set_faults(begin);
    end_after_fault_time(testbed, move |testbed| testbed.platform.set_faults(end));
}

/// Reads once, so that the fault takes effect even if no process calls the object API.
fn read_store(testbed: &Arc<Testbed>) {
    let client = testbed.platform.client("operator");
    tokio::spawn(async move { client.get(tables::OBJECT_KEY).await });
}

fn lose_replies(testbed: &Arc<Testbed>) {
    testbed
        .platform
        .set_faults(|f| f.lost_replies = LOST_REPLIES);
    let testbed = Arc::clone(testbed);
    tokio::spawn(async move { write_tables(&testbed, "lost").await });
}

fn slow_engine(testbed: &Arc<Testbed>, place: Place) {
    change_settings(
        testbed,
        place,
        |engine| engine.slow_factor = SLOW_FACTOR,
        |service| {
            service.latency = service.latency.mul_f64(SLOW_FACTOR);
        },
    );
    end_after_fault_time(testbed, move |testbed| {
        change_settings(
            testbed,
            place,
            |engine| engine.slow_factor = 1.0,
            |service| {
                service.latency = service.latency.div_f64(SLOW_FACTOR);
            },
        );
    });
}

fn fail_engine(testbed: &Arc<Testbed>, place: Place) {
    if let Some(SimulatedEndpoint::Model(engine)) = testbed.sidecar(place.sidecar).map(|s| s.engine)
    {
        engine.restart();
    }
    let fails = |service: &mut crate::service::Settings| service.fail_after = 1.0;
    change_settings(testbed, place, |engine| engine.refuse = true, fails);
    end_after_fault_time(testbed, move |testbed| {
        let works = |service: &mut crate::service::Settings| service.fail_after = 0.0;
        change_settings(testbed, place, |engine| engine.refuse = false, works);
    });
}

fn change_settings(
    testbed: &Testbed,
    place: Place,
    engine_change: impl FnOnce(&mut crate::engine::Faults),
    service_change: impl FnOnce(&mut crate::service::Settings),
) {
    match testbed.sidecar(place.sidecar).map(|s| s.engine) {
        Some(SimulatedEndpoint::Model(engine)) => engine.set_faults(engine_change),
        Some(SimulatedEndpoint::Plain(service)) => service.set(service_change),
        None => {}
    }
}

fn conflicting_edits(testbed: &Arc<Testbed>) {
    let testbed = Arc::clone(testbed);
    tokio::spawn(async move {
        let client = testbed.platform.client("operator");
        let Ok(base) = client.get(tables::OBJECT_KEY).await else {
            return;
        };
        let first = client
            .put(
                tables::OBJECT_KEY,
                base.version,
                changed_tables(&testbed, "first"),
            )
            .await;
        let second = client
            .put(
                tables::OBJECT_KEY,
                base.version,
                changed_tables(&testbed, "second"),
            )
            .await;
        assert!(first.is_ok(), "the first edit is accepted");
        let kind = second.expect_err("the second edit has an old base").kind();
        assert!(
            kind == Kind::Conflict,
            "the second edit is refused as a conflict"
        );
    });
}

async fn write_tables(testbed: &Testbed, message: &str) {
    let client = testbed.platform.client("operator");
    let Ok(base) = client.get(tables::OBJECT_KEY).await else {
        return;
    };
    let _settled = client
        .put(
            tables::OBJECT_KEY,
            base.version,
            changed_tables(testbed, message),
        )
        .await;
}

/// Returns the testbed's tables with a change that affects no request.
pub fn changed_tables(testbed: &Testbed, message: &str) -> Bytes {
    let mut document = testbed.document.clone();
    let account = eelgrassramp::AccountName::from(message);
    for pool in &mut document.pools {
        pool.weights.insert(account.clone(), 2);
    }
    document
        .to_bytes()
        .expect("a document that was read can be written")
}

/// Writes changed tables as an operator does, with retries until the write is confirmed.
pub async fn write_change(testbed: &Testbed, message: &str) -> ObjectVersion {
    let client = testbed.platform.client("operator");
    let wanted = changed_tables(testbed, message);
    loop {
        if let Ok(base) = client.get(tables::OBJECT_KEY).await {
            if base.value == wanted {
                return base.version;
            }
            let written = client
                .put(tables::OBJECT_KEY, base.version, wanted.clone())
                .await;
            if let Ok(version) = written {
                return version;
            }
        }
        testbed.cx.timers.after(OPERATOR_RETRY_DELAY).await;
    }
}
