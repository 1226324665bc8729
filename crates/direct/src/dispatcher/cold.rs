//! How much each entry may send to an endpoint that is cold.
//!
//! An endpoint that has just started bears a few requests a second from all entries together. No
//! message could keep entries within that sum in time, so each of them works out by itself which
//! entries may send there, and how often: the first ones in an order by a hash of entry and
//! endpoint. See `docs/design/platform.md`, "Cold endpoints".

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

/// Time after the other entries were first listed from which on the list is relied upon.
///
/// Processes that start together announce themselves in this time.
const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// How far sends are spaced beyond the even pace, as they may arrive closer together.
const PACING_MARGIN: f64 = 1.1;

/// Period for which an endpoint states what it bears.
const RATE_PERIOD: Duration = Duration::from_secs(1);

/// The entries that share endpoints with this one.
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

    /// Returns the time between two sends of the entry `own_hash` to a cold endpoint that bears
    /// `per_second`; `None` when it may send nothing.
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
        let rank = self.rank(own_hash, endpoint) as f64;
        (rank + 1.0 <= per_second).then(|| RATE_PERIOD.mul_f64(PACING_MARGIN))
    }

    /// Returns how many entries come before `own_hash` at `endpoint`.
    fn rank(&self, own_hash: u64, endpoint: &EndpointName) -> usize {
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

    /// Replaces how many requests a second a cold endpoint bears, for the pools that limit them.
    pub fn set_cold_rate_limits(&mut self, rates: &HashMap<PoolName, f64>) {
        for (name, pool) in &mut self.pools {
            pool.cold_rate_limit = rates.get(name).copied();
        }
        for (name, rate) in rates {
            self.pool_mut(name).cold_rate_limit = Some(*rate);
        }
    }

    /// Returns how many endpoints have started of late and bear little work.
    #[must_use]
    pub fn cold_endpoint_count(&self, now: Monotonic) -> usize {
        let trackers = self.pools.values().flat_map(|p| p.trackers.values());
        trackers.filter(|tracker| tracker.is_cold(now)).count()
    }

    /// Notes that an endpoint said that it stays cold for `left`.
    pub fn set_cold_for(&mut self, now: Monotonic, endpoint: &Endpoint, left: Duration) {
        if let Some(tracker) = self.tracker_mut(endpoint) {
            tracker.set_cold_until(now + left);
        }
    }
}
