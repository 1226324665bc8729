//! The state of each sidecar as seen by the entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use super::gate::Gate;

/// The state of the sidecar at an address.
#[derive(Debug, Clone)]
pub enum SidecarState {
    /// The process is running.
    Running(Arc<Gate>),
    /// The VM is running but the process is not, so connections are refused.
    ProcessStopped,
    /// The VM is gone, so connections hang.
    VmGone,
}

#[derive(Debug, Default)]
struct State {
    sidecar_states: BTreeMap<SocketAddr, SidecarState>,
    report_delay: Duration,
    delayed_reports: u64,
    cache_events_lost: bool,
    lost_cache_events: u64,
}

/// The states of all sidecars, and the faults that affect all of them.
#[derive(Debug, Default)]
pub struct Fleet {
    state: Mutex<State>,
}

impl Fleet {
    /// Creates a fleet without sidecars.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Sets the state at an address and kills the process that was running there.
    pub fn set(&self, at: SocketAddr, sidecar_state: SidecarState) {
        let previous = self.lock().sidecar_states.insert(at, sidecar_state);
        if let Some(SidecarState::Running(gate)) = previous {
            gate.kill();
        }
    }

    /// Returns the state at an address.
    #[must_use]
    pub fn sidecar_state(&self, at: SocketAddr) -> SidecarState {
        self.lock()
            .sidecar_states
            .get(&at)
            .cloned()
            .unwrap_or(SidecarState::VmGone)
    }

    /// Delays all reports by `delay`.
    pub fn delay_reports(&self, delay: Duration) {
        self.lock().report_delay = delay;
    }

    /// Sets whether all cache events are lost.
    pub fn lose_cache_events(&self, lose: bool) {
        self.lock().cache_events_lost = lose;
    }

    /// Returns the numbers of delayed reports and of lost reads of cache events.
    #[must_use]
    pub fn counts(&self) -> FleetCounts {
        let state = self.lock();
        FleetCounts {
            delayed_reports: state.delayed_reports,
            lost_cache_events: state.lost_cache_events,
        }
    }

    /// Returns the delay of the current report and counts the report if it is delayed.
    pub(super) fn report_delay(&self) -> Duration {
        let mut state = self.lock();
        if state.report_delay > Duration::ZERO {
            state.delayed_reports += 1;
        }
        state.report_delay
    }

    /// Returns whether the current read of cache events is lost and counts it if so.
    pub(super) fn loses_cache_events(&self) -> bool {
        let mut state = self.lock();
        if state.cache_events_lost {
            state.lost_cache_events += 1;
        }
        state.cache_events_lost
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no panic while the fleet is locked")
    }
}

/// Counts of the injected faults that affect all sidecars.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetCounts {
    /// Delayed reports.
    pub delayed_reports: u64,
    /// Lost reads of cache events.
    pub lost_cache_events: u64,
}
