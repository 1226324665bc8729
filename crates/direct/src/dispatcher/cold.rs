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
const SETTLING: Duration = Duration::from_secs(2);

/// How far sends are spaced beyond the even pace, as they may arrive closer together.
const SPACING: f64 = 1.1;

/// Period for which an endpoint states what it bears.
const PERIOD: Duration = Duration::from_secs(1);

/// The entries that share endpoints with this one.
#[derive(Debug, Default)]
pub(super) struct PeerEntries {
    listed_at: Option<Monotonic>,
    hashes: Vec<u64>,
}

impl PeerEntries {
    /// Replaces the known entries.
    pub(super) fn set<'a>(&mut self, now: Monotonic, names: impl Iterator<Item = &'a EntryName>) {
        self.listed_at.get_or_insert(now);
        self.hashes = names
            .map(|name| xxh3_64(name.as_str().as_bytes()))
            .collect();
    }

    /// Returns the time between two sends of the entry `own` to a cold endpoint that bears
    /// `per_second`; `None` when it may send nothing.
    pub(super) fn interval(
        &self,
        now: Monotonic,
        own: u64,
        endpoint: &EndpointName,
        per_second: f64,
    ) -> Option<Duration> {
        let is_settled = self.listed_at.is_some_and(|at| now.since(at) >= SETTLING);
        if !is_settled {
            return None;
        }
        let entries = (self.hashes.len() + 1) as f64;
        if 2.0 * entries <= per_second {
            return Some(PERIOD.mul_f64(SPACING * entries / per_second));
        }
        let rank = self.rank(own, endpoint) as f64;
        (rank + 1.0 <= per_second).then(|| PERIOD.mul_f64(SPACING))
    }

    /// Returns how many entries come before `own` at `endpoint`.
    fn rank(&self, own: u64, endpoint: &EndpointName) -> usize {
        let draw = |entry| xxh3_64_with_seed(endpoint.as_str().as_bytes(), entry);
        let own = draw(own);
        self.hashes.iter().filter(|h| draw(**h) < own).count()
    }
}

impl Dispatcher {
    /// Replaces the entries that share endpoints with this one.
    pub fn set_colleagues<'a>(
        &mut self,
        now: Monotonic,
        names: impl Iterator<Item = &'a EntryName>,
    ) {
        self.view.colleagues.set(now, names);
    }

    /// Replaces how many requests a second a cold endpoint bears, for the pools that limit them.
    pub fn set_cold_rates(&mut self, rates: &HashMap<PoolName, f64>) {
        for (name, pool) in &mut self.pools {
            pool.cold_rate = rates.get(name).copied();
        }
        for (name, rate) in rates {
            self.pool_mut(name).cold_rate = Some(*rate);
        }
    }

    /// Returns how many endpoints have started of late and bear little work.
    #[must_use]
    pub fn cold_endpoints(&self, now: Monotonic) -> usize {
        let lanes = self.pools.values().flat_map(|p| p.lanes.values());
        lanes.filter(|lane| lane.is_cold(now)).count()
    }

    /// Notes that an endpoint said that it stays cold for `left`.
    pub fn note_cold(&mut self, now: Monotonic, endpoint: &Endpoint, left: Duration) {
        if let Some(lane) = self.lane_mut(endpoint) {
            lane.set_cold(now + left);
        }
    }
}
