//! Which life of each sidecar runs, as entries see it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use super::gate::Gate;

/// What stands at an address.
#[derive(Debug, Clone)]
pub enum Life {
    /// A process runs.
    Running(Arc<Gate>),
    /// The VM runs without its process, so connections are refused.
    Ended,
    /// The VM is gone, so connections stay silent.
    Gone,
}

#[derive(Debug, Default)]
struct State {
    lives: BTreeMap<SocketAddr, Life>,
    report_delay: Duration,
    delayed_reports: u64,
    cache_events_lost: bool,
    lost_cache_events: u64,
}

/// The lives of all sidecars, and the faults that concern all of them.
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

    /// Sets what stands at an address and ends the process that stood there.
    pub fn set(&self, at: SocketAddr, life: Life) {
        let former = self.lock().lives.insert(at, life);
        if let Some(Life::Running(gate)) = former {
            gate.kill();
        }
    }

    /// Returns what stands at an address.
    #[must_use]
    pub fn life(&self, at: SocketAddr) -> Life {
        self.lock().lives.get(&at).cloned().unwrap_or(Life::Gone)
    }

    /// Delays all reports by `delay`.
    pub fn delay_reports(&self, delay: Duration) {
        self.lock().report_delay = delay;
    }

    /// Loses all cache events from now on, or none.
    pub fn lose_cache_events(&self, lose: bool) {
        self.lock().cache_events_lost = lose;
    }

    /// Returns how many reports were delayed and how many cache readings were lost.
    #[must_use]
    pub fn counts(&self) -> FleetCounts {
        let state = self.lock();
        FleetCounts {
            delayed_reports: state.delayed_reports,
            lost_cache_events: state.lost_cache_events,
        }
    }

    /// Returns the delay of the report at hand and counts it.
    pub(super) fn report_delay(&self) -> Duration {
        let mut state = self.lock();
        if state.report_delay > Duration::ZERO {
            state.delayed_reports += 1;
        }
        state.report_delay
    }

    /// Tells whether the cache events at hand are lost and counts them.
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

/// How often faults that concern all sidecars were injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetCounts {
    /// Reports that arrived late.
    pub delayed_reports: u64,
    /// Readings of cache events that were lost.
    pub lost_cache_events: u64,
}
