//! How far this entry's tables and endpoints lag behind what others hold.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::lock;

use super::StateVersions;

/// Lag after which another entry is asked; most of the time the platform's store tells sooner.
const FETCH_DELAY: Duration = Duration::from_millis(600);

/// Time that a question may take before the next one.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct LagStart {
    /// What this entry held when it was first seen to lag.
    local_versions: StateVersions,
    since: Monotonic,
    fetched_at: Option<Monotonic>,
}

/// Whether this entry lags, and for how long.
#[derive(Debug, Default)]
pub(super) struct VersionLag {
    lag_start: Mutex<Option<LagStart>>,
}

impl VersionLag {
    /// Notes that another entry holds something newer than `own`.
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

    /// Tells whether another entry is to be asked, as long as this one still holds only `own`.
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

    /// Notes that another entry is asked.
    pub(super) fn record_fetch(&self, now: Monotonic) {
        if let Some(lag_start) = &mut *self.lock() {
            lag_start.fetched_at = Some(now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<LagStart>> {
        lock(&self.lag_start)
    }
}
