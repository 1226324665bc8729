//! Pushes newly accepted tables to a few sidecars.

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

/// Number of sidecars per failure domain to which the tables are pushed.
pub const ANNOUNCE_PER_DOMAIN: usize = 3;

const PUSH_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_CONCURRENT_PUSHES: usize = 8;

/// Number of sidecars that received the tables.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Announced {
    /// Sidecars that accepted the tables.
    pub taken: usize,
    /// Sidecars to which the push failed.
    pub failed: usize,
}

/// Pushes `tables` to a few sidecars of each failure domain; from there they spread by gossip.
///
/// Call this after the object API accepted the tables: if the object API fails right afterwards, no
/// watcher may have read them.
///
/// # Errors
///
/// Returns [`Kind::Internal`](crate::Kind::Internal) if the tables cannot be encoded as JSON.
/// Sidecars that cannot be reached are only counted.
pub async fn announce(
    tables: &Tables,
    link: &Arc<dyn SidecarLink>,
    timers: &Timers,
    rng: &mut impl Rng,
) -> Result<Announced> {
    let snapshot = tables.to_snapshot()?;
    let pushes = select_targets(tables, rng).into_iter().map(|to| {
        let push = link.push_tables(to, snapshot.clone());
        async move { matches!(timers.limit(PUSH_TIMEOUT, push).await, Some(Ok(()))) }
    });
    let outcomes: Vec<bool> = stream::iter(pushes)
        .buffer_unordered(MAX_CONCURRENT_PUSHES)
        .collect()
        .await;
    let taken = outcomes.iter().filter(|taken| **taken).count();
    Ok(Announced {
        taken,
        failed: outcomes.len() - taken,
    })
}

fn select_targets(tables: &Tables, rng: &mut impl Rng) -> Vec<SocketAddr> {
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
