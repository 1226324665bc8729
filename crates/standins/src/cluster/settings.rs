//! The settings that each process of a deployment is started with.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassramp::Result;
use eelgrassramp::entry;
use eelgrassramp::num;
use eelgrassramp::sidecar;
use serde_json::json;

use super::spec::ClusterSpec;
use super::spec::Member;
use super::spec::Scheduling;
use crate::load::ClassKind;

/// Time after a sidecar's start from which it can tell that a newly created key was not used
/// before the start.
pub(super) const NEW_KEY_MARGIN: Duration = Duration::from_secs(4);

/// Returns the Unix time in milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    u64::try_from(jiff::Timestamp::now().as_millisecond()).unwrap_or(0)
}

/// Returns the settings of a member's sidecar.
pub(crate) fn sidecar_settings(
    spec: &ClusterSpec,
    member: &Member,
    engine: SocketAddr,
    store: Option<SocketAddr>,
) -> Result<sidecar::Settings> {
    let speed = 1.0 / spec.decode_step(member.speed).as_secs_f64();
    let (kind, slots, reference) = match member.kind {
        ClassKind::Model => ("model", num::count(spec.engine.slots), speed),
        ClassKind::Charge => {
            let calls = 1000.0 / spec.service_latency_ms as f64;
            ("service", u64::from(spec.service_slots), calls)
        }
    };
    let text = json!({
        "listen": member.sidecar,
        "endpoint": member.name,
        "pool": member.pool,
        "version": member.version,
        "kind": kind,
        "engine": engine,
        "domain": member.domain,
        "hardware": member.hardware,
        "slots": slots,
        "reference_tokens_per_second": reference,
        "store": store,
    });
    sidecar::Settings::from_text(&text.to_string(), &member.name)
}

/// Returns the settings of one entry.
pub(crate) fn entry_settings(
    name: &str,
    listen: SocketAddr,
    store: SocketAddr,
    scheduling: Scheduling,
) -> Result<entry::Settings> {
    let text = json!({
        "name": name,
        "listen": listen,
        "domain": "a",
        "region": "north",
        "store": store,
        "policy": scheduling.policy(),
        "drain": { "unready_ms": 200, "timeout_ms": 60_000 },
    });
    entry::Settings::from_str(&text.to_string(), name)
}

/// Returns an address for required settings on which nothing in this process listens.
pub(crate) fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}
