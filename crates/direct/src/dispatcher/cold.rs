//! Limits how much each entry sends to a cold endpoint.
//!
//! An endpoint that has just started can handle only a few requests per second from all entries
//! together. Messages between entries would arrive too late to enforce that sum, so each entry
//! computes on its own which entries may send there and how often: the first ones in an order given
//! by a hash of entry and endpoint. See `docs/design/platform.md`, "Cold endpoints".

use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::EndpointName;
use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Dispatcher;
use crate::endpoint::Endpoint;

/// Time after the first list of other entries arrives before the list is considered complete.
///
/// Processes that start together announce themselves within this time.
const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// Factor applied to the interval between sends, because varying network delay may bring requests
/// closer together.
const PACING_MARGIN: f64 = 1.1;

/// Time to which the rate limit of a cold endpoint refers.
const RATE_PERIOD: Duration = Duration::from_secs(1);

/// The other entries that share endpoints with this one.
#[derive(Debug, Default)]
pub(super) struct PeerEntries {
    listed_at: Option<Monotonic>,
    entry_hashes: Vec<u64>,
}

impl PeerEntries {
    /// Replaces the known entries.
    pub(super) fn set<'a>(&mut self, now: Monotonic, names: impl Iterator<Item = &'a EntryName>) {
        self.listed_at.get_or_insert(now);
        self.entry_hashes = names
            .map(|name| xxh3_64(name.as_str().as_bytes()))
            .collect();
    }

    /// Returns the minimum interval between two requests that this entry, whose hash is `own_hash`,
    /// sends to a cold endpoint with the limit `per_second`; `None` if it may not send any.
    ///
    /// If the limit allows every entry at least two requests per second, it is split equally.
    /// Otherwise only the first entries in the endpoint's order send, each about once per second.
    pub(super) fn send_interval(
        &self,
        now: Monotonic,
        own_hash: u64,
        endpoint: &EndpointName,
        per_second: f64,
    ) -> Option<Duration> {
        let is_list_complete = self
            .listed_at
            .is_some_and(|at| now.since(at) >= PEER_DISCOVERY_TIME);
        if !is_list_complete {
            return None;
        }
        let entries = (self.entry_hashes.len() + 1) as f64;
        if 2.0 * entries <= per_second {
            return Some(RATE_PERIOD.mul_f64(PACING_MARGIN * entries / per_second));
        }
        let position = self.position(own_hash, endpoint) as f64;
        (position + 1.0 <= per_second).then(|| RATE_PERIOD.mul_f64(PACING_MARGIN))
    }

    /// Returns how many entries precede this one in the order for `endpoint`.
    fn position(&self, own_hash: u64, endpoint: &EndpointName) -> usize {
        let hash = |entry| xxh3_64_with_seed(endpoint.as_str().as_bytes(), entry);
        let own_hash = hash(own_hash);
        self.entry_hashes
            .iter()
            .filter(|h| hash(**h) < own_hash)
            .count()
    }
}

impl Dispatcher {
    /// Replaces the entries that share endpoints with this one.
    pub fn set_peer_entries<'a>(
        &mut self,
        now: Monotonic,
        names: impl Iterator<Item = &'a EntryName>,
    ) {
        self.context.peer_entries.set(now, names);
    }

    /// Replaces the rate limits of cold endpoints, in requests per second, for the pools that have
    /// one.
    pub fn set_cold_rate_limits(&mut self, rates: &HashMap<PoolName, f64>) {
        for (name, pool) in &mut self.pools {
            pool.cold_rate_limit = rates.get(name).copied();
        }
        for (name, rate) in rates {
            self.pool_mut(name).cold_rate_limit = Some(*rate);
        }
    }

    /// Returns how many endpoints are cold.
    #[must_use]
    pub fn cold_endpoint_count(&self, now: Monotonic) -> usize {
        let trackers = self.pools.values().flat_map(|p| p.trackers.values());
        trackers.filter(|tracker| tracker.is_cold(now)).count()
    }

    /// Records that an endpoint reported that it stays cold for `left`.
    pub fn set_cold_for(&mut self, now: Monotonic, endpoint: &Endpoint, left: Duration) {
        if let Some(tracker) = self.tracker_mut(endpoint) {
            tracker.set_cold_until(now + left);
        }
    }
}
