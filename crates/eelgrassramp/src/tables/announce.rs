//! Hands freshly accepted tables to a few sidecars.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use rand::Rng;
use rand::seq::SliceRandom;

use super::model::Tables;
use crate::error::Result;
use crate::link::SidecarLink;
use crate::name::DomainName;
use crate::time::Timers;

/// Sidecars of each failure domain that are handed the tables.
pub const ANNOUNCE_PER_DOMAIN: usize = 3;

const PUSH_TIMEOUT: Duration = Duration::from_secs(1);
const PARALLEL_PUSHES: usize = 8;

/// How many sidecars took the tables.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Announced {
    /// Sidecars that took them.
    pub taken: usize,
    /// Sidecars that could not be reached.
    pub failed: usize,
}

/// Hands `tables` to a few sidecars of each failure domain, from where they spread.
///
/// Whoever writes the tables calls this after the object API accepted them: should the object
/// API go away in that moment, no watcher may have seen them.
///
/// # Errors
///
/// Returns [`Kind::Internal`](crate::Kind::Internal) when the tables cannot be written as
/// JSON. Sidecars that are away are only counted.
pub async fn announce(
    tables: &Tables,
    link: &Arc<dyn SidecarLink>,
    timers: &Timers,
    rng: &mut impl Rng,
) -> Result<Announced> {
    let snapshot = tables.to_snapshot()?;
    let pushes = targets(tables, rng).into_iter().map(|to| {
        let push = link.push_tables(to, snapshot.clone());
        async move { matches!(timers.limit(PUSH_TIMEOUT, push).await, Some(Ok(()))) }
    });
    let outcomes: Vec<bool> = stream::iter(pushes)
        .buffer_unordered(PARALLEL_PUSHES)
        .collect()
        .await;
    let taken = outcomes.iter().filter(|taken| **taken).count();
    Ok(Announced {
        taken,
        failed: outcomes.len() - taken,
    })
}

fn targets(tables: &Tables, rng: &mut impl Rng) -> Vec<SocketAddr> {
    let mut domains: BTreeMap<&DomainName, Vec<SocketAddr>> = BTreeMap::new();
    for endpoint in tables.pools.values().flat_map(|p| p.endpoints.values()) {
        let domain = domains.entry(&endpoint.domain).or_default();
        domain.push(endpoint.sidecar);
    }
    let mut targets = Vec::new();
    for mut addresses in domains.into_values() {
        addresses.shuffle(rng);
        targets.extend(addresses.into_iter().take(ANNOUNCE_PER_DOMAIN));
    }
    targets
}
