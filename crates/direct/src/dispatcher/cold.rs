//! Limits how much each entry sends to a cold endpoint.
//!
//! An endpoint that has just started can handle only a few requests per second from all entries
//! together; [`PeerEntries`](super::peer_entries::PeerEntries) divides them. See
//! `docs/design/platform.md`, "Cold endpoints".

use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;

use super::Dispatcher;
use crate::endpoint::Endpoint;

impl Dispatcher {
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
