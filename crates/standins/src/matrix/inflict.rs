//! What each fault does to a scene.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::Kind;
use eelgrassramp::ObjectVersion;
use eelgrassramp::store::ObjectApi;
use eelgrassramp::tables;

use super::column::Column;
use super::probe::Effect;
use super::probe::Place;
use super::scene::Scene;
use crate::cluster::SimulatedEndpoint;
use crate::fault::Fault;
use crate::fault::Rule;
use crate::platform::InjectedFault;

/// Time after which a dead process has been started again.
const RESTART: Duration = Duration::from_secs(3);

/// Time that a fault lasts which does not end by itself.
pub const FAULT_TIME: Duration = Duration::from_secs(8);

/// Time that a paused process stands still; it is longer than a lease lasts.
pub const PAUSE: Duration = Duration::from_secs(20);

/// Time after which an operator repeats a command that failed.
const OPERATOR_RETRY: Duration = Duration::from_millis(500);

const SLOW_STORE: Duration = Duration::from_secs(2);
const LATE_REPORT: Duration = Duration::from_secs(5);
const LATE_DUPLICATE: Duration = Duration::from_millis(700);
const SLOW_FACTOR: f64 = 8.0;
const LOST_REPLIES: u32 = 3;

/// Injects the fault `column` and plans its end; returns what happens to the message at hand.
pub fn inflict(scene: &Arc<Scene>, column: Column, place: Place) -> Effect {
    match column {
        Column::EntryDies => scene.kill_entry(place.entry, RESTART),
        Column::SidecarDies => scene.kill_sidecar(place.sidecar, RESTART),
        Column::Paused => scene.freeze_entry(place.entry, PAUSE),
        Column::EngineSlow => slow_engine(scene, place),
        Column::EngineFails => fail_engine(scene, place),
        Column::StoreDown => {
            store_fault(scene, |f| f.outage = true, |f| f.outage = false);
            call_store(scene);
        }
        Column::StoreSlow => {
            store_fault(
                scene,
                |f| f.delay = SLOW_STORE,
                |f| f.delay = Duration::ZERO,
            );
            call_store(scene);
        }
        Column::ReplyLost => lose_replies(scene),
        Column::ReportStale => {
            scene.fleet.delay_reports(LATE_REPORT);
            heal(scene, |scene| scene.fleet.delay_reports(Duration::ZERO));
        }
        Column::CacheEventsLost => {
            scene.fleet.lose_cache_events(true);
            heal(scene, |scene| scene.fleet.lose_cache_events(false));
        }
        Column::Silent => return Effect::Silence,
        Column::Duplicate => {
            scene
                .faults
                .add(Rule::new(Fault::Duplicate(LATE_DUPLICATE)));
            heal(scene, |scene| scene.faults.clear());
        }
        Column::ConflictingEdits => conflicting_edits(scene),
        Column::VmReplaced => scene.replace_vm(place.sidecar, RESTART),
        Column::StoreAndSidecar => {
            inflict(scene, Column::StoreDown, place);
            inflict(scene, Column::SidecarDies, place);
        }
        Column::SilentAndEntry => {
            scene
                .faults
                .add(Rule::new(Fault::StallAfter(1)).with_chance(0.5));
            heal(scene, |scene| scene.faults.clear());
            inflict(scene, Column::EntryDies, place);
        }
    }
    Effect::Pass
}

/// Tells whether the fault did what its column says, beyond having been called.
#[must_use]
pub fn has_shown(scene: &Scene, column: Column) -> bool {
    match column {
        Column::StoreDown | Column::StoreAndSidecar => {
            scene.platform.injected_count(InjectedFault::Outage) > 0
        }
        Column::StoreSlow => scene.platform.injected_count(InjectedFault::Delay) > 0,
        Column::ReplyLost => scene.platform.injected_count(InjectedFault::LostReply) > 0,
        Column::ReportStale => scene.fleet.counts().delayed_reports > 0,
        Column::CacheEventsLost => scene.fleet.counts().lost_cache_events > 0,
        Column::Duplicate | Column::SilentAndEntry => scene.faults.total() > 0,
        Column::EntryDies
        | Column::SidecarDies
        | Column::Paused
        | Column::EngineSlow
        | Column::EngineFails
        | Column::Silent
        | Column::ConflictingEdits
        | Column::VmReplaced => true,
    }
}

fn heal(scene: &Arc<Scene>, end: impl FnOnce(&Arc<Scene>) + Send + 'static) {
    let scene = Arc::clone(scene);
    tokio::spawn(async move {
        scene.cx.timers.after(FAULT_TIME).await;
        end(&scene);
    });
}

fn store_fault(
    scene: &Arc<Scene>,
    begin: impl FnOnce(&mut crate::platform::Faults),
    end: impl FnOnce(&mut crate::platform::Faults) + Send + 'static,
) {
    scene.platform.set_faults(begin);
    heal(scene, move |scene| scene.platform.set_faults(end));
}

/// Reads once, so that the fault shows even while no process needs the object API.
fn call_store(scene: &Arc<Scene>) {
    let client = scene.platform.client("operator");
    tokio::spawn(async move { client.get(tables::OBJECT_KEY).await });
}

fn lose_replies(scene: &Arc<Scene>) {
    scene.platform.set_faults(|f| f.lost_replies = LOST_REPLIES);
    let scene = Arc::clone(scene);
    tokio::spawn(async move { write_again(&scene, "lost").await });
}

fn slow_engine(scene: &Arc<Scene>, place: Place) {
    change_settings(
        scene,
        place,
        |engine| engine.slow_factor = SLOW_FACTOR,
        |service| {
            service.latency = service.latency.mul_f64(SLOW_FACTOR);
        },
    );
    heal(scene, move |scene| {
        change_settings(
            scene,
            place,
            |engine| engine.slow_factor = 1.0,
            |service| {
                service.latency = service.latency.div_f64(SLOW_FACTOR);
            },
        );
    });
}

fn fail_engine(scene: &Arc<Scene>, place: Place) {
    if let Some(SimulatedEndpoint::Model(engine)) = scene.sidecar(place.sidecar).map(|s| s.engine) {
        engine.restart();
    }
    let fails = |service: &mut crate::service::Settings| service.fail_after = 1.0;
    change_settings(scene, place, |engine| engine.refuse = true, fails);
    heal(scene, move |scene| {
        let works = |service: &mut crate::service::Settings| service.fail_after = 0.0;
        change_settings(scene, place, |engine| engine.refuse = false, works);
    });
}

fn change_settings(
    scene: &Scene,
    place: Place,
    engine_change: impl FnOnce(&mut crate::engine::Faults),
    service_change: impl FnOnce(&mut crate::service::Settings),
) {
    match scene.sidecar(place.sidecar).map(|s| s.engine) {
        Some(SimulatedEndpoint::Model(engine)) => engine.set_faults(engine_change),
        Some(SimulatedEndpoint::Plain(service)) => service.set(service_change),
        None => {}
    }
}

fn conflicting_edits(scene: &Arc<Scene>) {
    let scene = Arc::clone(scene);
    tokio::spawn(async move {
        let client = scene.platform.client("operator");
        let Ok(base) = client.get(tables::OBJECT_KEY).await else {
            return;
        };
        let first = client
            .put(tables::OBJECT_KEY, base.version, edited(&scene, "first"))
            .await;
        let second = client
            .put(tables::OBJECT_KEY, base.version, edited(&scene, "second"))
            .await;
        assert!(first.is_ok(), "the first edit is accepted");
        let kind = second.expect_err("the second edit has an old base").kind();
        assert!(
            kind == Kind::Conflict,
            "the second edit is refused as a conflict"
        );
    });
}

async fn write_again(scene: &Scene, message: &str) {
    let client = scene.platform.client("operator");
    let Ok(base) = client.get(tables::OBJECT_KEY).await else {
        return;
    };
    let _settled = client
        .put(tables::OBJECT_KEY, base.version, edited(scene, message))
        .await;
}

/// Returns the scene's tables with a change that no request depends on.
pub fn edited(scene: &Scene, message: &str) -> Bytes {
    let mut document = scene.document.clone();
    let account = eelgrassramp::AccountName::from(message);
    for pool in &mut document.pools {
        pool.weights.insert(account.clone(), 2);
    }
    document
        .to_bytes()
        .expect("a document that was read can be written")
}

/// Writes changed tables as an operator does: again after a failure, until it is settled.
pub async fn edit(scene: &Scene, message: &str) -> ObjectVersion {
    let client = scene.platform.client("operator");
    let wanted = edited(scene, message);
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
        scene.cx.timers.after(OPERATOR_RETRY).await;
    }
}
