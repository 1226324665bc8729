//! The home endpoint of an idempotency key, and the earlier homes that have to close the key
//! before the request may run.
//!
//! See `docs/design/retry.md`, "Idempotency keys".

use std::net::SocketAddr;
use std::time::Duration;

use jiff::Timestamp;

use crate::id::RequestId;
use crate::id::TableVersion;
use crate::key;
use crate::key::Key;
use crate::name::EndpointName;
use crate::name::VersionName;
use crate::routing::GossipState;
use crate::tables::FormerMembers;
use crate::tables::Pool;

/// Time for which home endpoints retain keys.
pub(super) const KEY_RETENTION: Duration = Duration::from_mins(10);

/// Tolerated difference between the clocks of callers, operators and entries.
const CLOCK_MARGIN: Duration = Duration::from_secs(2);

/// The endpoint where the request of a key may run, and the sidecars that have to close the key
/// before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct HomePlan {
    /// Version of the tables that the plan is based on.
    pub tables: TableVersion,
    pub home: EndpointName,
    pub claim_targets: Vec<ClaimTarget>,
}

/// A sidecar that may hold a record of a key from before the tables or a split changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ClaimTarget {
    pub endpoint: EndpointName,
    pub sidecar: SocketAddr,
}

/// Finds the home of `key` among the endpoints of `version`, using only the tables.
///
/// Claim targets are returned only for non-idempotent requests, which must not run twice.
pub(super) fn plan(
    tables: TableVersion,
    pool: &Pool,
    gossip: &GossipState,
    version: &VersionName,
    key: &Key,
    is_non_idempotent: bool,
    wall_now: Timestamp,
) -> Option<HomePlan> {
    let home = home_of(pool, version, key.id, Leaving::Excluded)?;
    let mut claim_targets = Vec::new();
    if is_non_idempotent {
        add_current_homes(pool, gossip, version, key.id, &mut claim_targets);
        for former in pool
            .former
            .iter()
            .filter(|former| may_remember(former, key, wall_now))
        {
            add_former_homes(pool, former, version, key.id, &mut claim_targets);
        }
        claim_targets.retain(|claim_target| {
            claim_target.endpoint != *home || has_other_address(pool, claim_target)
        });
        // All entries use the same order, so that two entries do not close each other's homes.
        claim_targets.sort_by(|a, b| (&a.endpoint, a.sidecar).cmp(&(&b.endpoint, b.sidecar)));
        claim_targets.dedup();
    }
    Some(HomePlan {
        tables,
        home: home.clone(),
        claim_targets,
    })
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leaving {
    Included,
    Excluded,
}

fn home_of<'a>(
    pool: &'a Pool,
    version: &VersionName,
    key: RequestId,
    leaving: Leaving,
) -> Option<&'a EndpointName> {
    let members = pool
        .endpoints
        .values()
        .filter(|e| e.version == *version)
        .filter(|e| leaving == Leaving::Included || !e.leaving)
        .map(|e| &e.name);
    key::home_endpoint(key, members)
}

/// Adds the homes that the key has if leaving endpoints are counted, or on another side of a split.
fn add_current_homes(
    pool: &Pool,
    gossip: &GossipState,
    version: &VersionName,
    key: RequestId,
    claim_targets: &mut Vec<ClaimTarget>,
) {
    let split = gossip.split(&pool.name);
    let others = split.into_iter().flat_map(|s| [&s.old, &s.new]);
    for side in others.chain([version]) {
        for leaving in [Leaving::Included, Leaving::Excluded] {
            let Some(endpoint) =
                home_of(pool, side, key, leaving).and_then(|e| pool.endpoints.get(e))
            else {
                continue;
            };
            claim_targets.push(ClaimTarget {
                endpoint: endpoint.name.clone(),
                sidecar: endpoint.sidecar,
            });
        }
    }
}

/// Adds the homes that the key had in an earlier set of endpoints.
///
/// The set holds the endpoints that had one version at that time. An endpoint may have changed its
/// version since, so the home is computed among the whole set and among those of this version.
fn add_former_homes(
    pool: &Pool,
    former: &FormerMembers,
    version: &VersionName,
    key: RequestId,
    claim_targets: &mut Vec<ClaimTarget>,
) {
    // The version of a removed endpoint is not known, so it is assumed to be this one.
    let could_serve = |name: &EndpointName| {
        pool.endpoints
            .get(name)
            .is_none_or(|e| e.version == *version)
    };
    let home_in_all = key::home_endpoint(key, former.sidecars.keys());
    let home_in_version =
        key::home_endpoint(key, former.sidecars.keys().filter(|name| could_serve(name)));
    for endpoint in [home_in_all, home_in_version].into_iter().flatten() {
        if let Some(sidecar) = former.sidecars.get(endpoint) {
            claim_targets.push(ClaimTarget {
                endpoint: endpoint.clone(),
                sidecar: *sidecar,
            });
        }
    }
}

/// Returns whether an endpoint of an earlier set may have received the key.
fn may_remember(former: &FormerMembers, key: &Key, wall_now: Timestamp) -> bool {
    let age = wall_now.duration_since(former.until);
    let is_recent = Duration::try_from(age).is_ok_and(|age| age <= KEY_RETENTION + CLOCK_MARGIN);
    // An edit dated in the future, because of clock skew, counts as recent.
    let is_recent = is_recent || age.is_negative();
    is_recent
        && !key
            .time_ms
            .is_some_and(|created| was_created_after(created, former.until))
}

fn was_created_after(created_ms: u64, until: Timestamp) -> bool {
    let margin = i64::try_from(CLOCK_MARGIN.as_millis()).unwrap_or(i64::MAX);
    let created = i64::try_from(created_ms).unwrap_or(0);
    created > until.as_millisecond().saturating_add(margin)
}

/// Returns whether the claim target has the name of a current endpoint but another address.
fn has_other_address(pool: &Pool, claim_target: &ClaimTarget) -> bool {
    pool.endpoints
        .get(&claim_target.endpoint)
        .is_some_and(|e| e.sidecar != claim_target.sidecar)
}
