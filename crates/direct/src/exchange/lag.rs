//! Detects that this entry's tables, endpoints, evacuated failure domains or rollout orders lag behind
//! those of its peers.
//!
//! Each part of the state lags for itself: while endpoints start, their list changes all the time, which
//! says nothing about tables that this entry has missed.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::lock;

use super::StateVersions;

/// Time for which a part must lag before this entry fetches from a peer; usually the update arrives
/// sooner from the platform's store.
const FETCH_DELAY: Duration = Duration::from_millis(600);

/// Shortest time between two fetches.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// Lag of one part of the state.
#[derive(Debug, Clone, Copy)]
struct PartLag {
    /// Version that this entry held when the lag was first noticed.
    local_version: u64,
    since: Monotonic,
}

#[derive(Debug, Default)]
struct State {
    /// Parts that lag, in the order of [`StateVersions::parts`].
    parts: [Option<PartLag>; StateVersions::PARTS],
    fetched_at: Option<Monotonic>,
}

/// Which parts of this entry's state lag behind its peers, and since when.
#[derive(Debug, Default)]
pub(super) struct VersionLag {
    state: Mutex<State>,
}

impl VersionLag {
    /// Records the versions that a peer holds, while this entry holds `local`.
    pub(super) fn observe(&self, now: Monotonic, local: StateVersions, peer: StateVersions) {
        let mut state = self.lock();
        let versions = local.parts().into_iter().zip(peer.parts());
        for (lag, (local_version, peer_version)) in state.parts.iter_mut().zip(versions) {
            let is_known = lag.is_some_and(|lag| lag.local_version == local_version);
            if peer_version > local_version && !is_known {
                *lag = Some(PartLag {
                    local_version,
                    since: now,
                });
            }
        }
    }

    /// Returns whether to fetch from a peer, given that this entry holds `local` now.
    pub(super) fn is_fetch_due(&self, now: Monotonic, local: StateVersions) -> bool {
        let state = self.lock();
        let was_fetched_recently = state
            .fetched_at
            .is_some_and(|at| now.since(at) < FETCH_INTERVAL);
        let mut lags = state.parts.iter().zip(local.parts());
        let lags_for_long = lags.any(|(lag, local_version)| {
            lag.is_some_and(|lag| {
                lag.local_version == local_version && now.since(lag.since) >= FETCH_DELAY
            })
        });
        lags_for_long && !was_fetched_recently
    }

    /// Records that a fetch from a peer begins.
    pub(super) fn record_fetch(&self, now: Monotonic) {
        self.lock().fetched_at = Some(now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}
