//! Endpoints that the registry announces.

use std::sync::Arc;

use slog::info;

use super::Entry;
use crate::endpoint::Endpoint;
use crate::registry::Outage;

impl Entry {
    /// Replaces the set of announced endpoints; `outage` is given when the registry could not be read
    /// before this update.
    pub fn set_endpoints(&self, announced: Vec<Endpoint>, outage: Option<Outage>) {
        let now = self.cx.timers.now();
        let mut state = self.lock();
        state.known_endpoints.update(now, announced, outage);
        let endpoints = state.known_endpoints.endpoints();
        drop(state);
        self.install_endpoints(endpoints);
    }

    pub(super) fn install_endpoints(&self, endpoints: Vec<Arc<Endpoint>>) {
        self.log_changes(&endpoints);
        let now = self.cx.timers.now();
        self.lock().dispatcher.set_endpoints(now, &endpoints);
        self.connections.close_unusable_idle(&endpoints);
        self.endpoints.store(Arc::new(endpoints));
        self.dispatch_queued_requests();
    }

    /// Returns the known endpoints.
    #[must_use]
    pub fn endpoints(&self) -> Arc<Vec<Arc<Endpoint>>> {
        self.endpoints.load_full()
    }

    fn log_changes(&self, endpoints: &[Arc<Endpoint>]) {
        let before = self.endpoints.load();
        for new in endpoints {
            if !before.iter().any(|old| old == new) {
                info!(self.cx.log, "endpoint known"; "endpoint" => new.name.as_str(),
                    "pool" => new.pool.as_str(), "address" => %new.address,
                    "state" => ?new.state, "version" => new.version.as_str());
            }
        }
        for old in before.iter() {
            if !endpoints.iter().any(|new| new.is_same_incarnation(old)) {
                info!(self.cx.log, "endpoint gone"; "endpoint" => old.name.as_str(),
                    "pool" => old.pool.as_str(), "address" => %old.address);
            }
        }
    }
}
