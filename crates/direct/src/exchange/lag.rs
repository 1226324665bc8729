//! Detects that this entry's tables, endpoints, evacuated failure domains or rollout orders lag behind
//! those of its peers.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::lock;

use super::StateVersions;

/// Time for which this entry must lag before it fetches from a peer; usually the update arrives
/// sooner from the platform's store.
const FETCH_DELAY: Duration = Duration::from_millis(600);

/// Shortest time between two fetches for the same lag.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct LagStart {
    /// Versions that this entry held when the lag was first noticed.
    local_versions: StateVersions,
    since: Monotonic,
    fetched_at: Option<Monotonic>,
}

/// Whether this entry lags behind its peers, and since when.
#[derive(Debug, Default)]
pub(super) struct VersionLag {
    lag_start: Mutex<Option<LagStart>>,
}

impl VersionLag {
    /// Records that a peer holds newer state than `local_versions`.
    pub(super) fn observe(&self, now: Monotonic, local_versions: StateVersions) {
        let mut lag_start = self.lock();
        if lag_start.is_none_or(|start| start.local_versions != local_versions) {
            *lag_start = Some(LagStart {
                local_versions,
                since: now,
                fetched_at: None,
            });
        }
    }

    /// Returns whether to fetch from a peer, given that this entry still holds `local_versions`.
    pub(super) fn is_fetch_due(&self, now: Monotonic, local_versions: StateVersions) -> bool {
        self.lock().is_some_and(|start| {
            let was_fetched_recently = start
                .fetched_at
                .is_some_and(|at| now.since(at) < FETCH_INTERVAL);
            start.local_versions == local_versions
                && now.since(start.since) >= FETCH_DELAY
                && !was_fetched_recently
        })
    }

    /// Records that a fetch from a peer begins.
    pub(super) fn record_fetch(&self, now: Monotonic) {
        if let Some(lag_start) = &mut *self.lock() {
            lag_start.fetched_at = Some(now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<LagStart>> {
        lock(&self.lag_start)
    }
}
