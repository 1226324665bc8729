//! Schedules orders to load a version within the budget of the weight store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::name::EndpointName;
use crate::name::VersionName;
use crate::tables::Endpoint;
use crate::tables::Pool;
use crate::time::Monotonic;

/// Time after which the reported version of an endpoint is considered unknown.
const REPORT_TTL: Duration = Duration::from_secs(15);

/// Time after which an unanswered order may be sent again.
const ORDER_TIMEOUT: Duration = Duration::from_mins(2);

/// The version served by each endpoint, and the load order in flight.
#[derive(Debug)]
pub(super) struct VersionLoads {
    interval: Duration,
    next_at: Monotonic,
    in_flight: Option<(EndpointName, Monotonic)>,
    served: BTreeMap<EndpointName, (VersionName, Monotonic)>,
}

/// Number of endpoints assigned to a version and how many of them serve it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LoadProgress {
    pub(super) serving: usize,
    pub(super) wanted: usize,
}

impl LoadProgress {
    /// Returns whether at least 80 % of the assigned endpoints serve the version, which is enough
    /// for most of the traffic.
    pub(super) const fn is_mostly_loaded(self) -> bool {
        self.serving > 0 && self.serving * 10 >= self.wanted * 8
    }
}

impl VersionLoads {
    pub(super) const fn new(interval: Duration) -> Self {
        Self {
            interval,
            next_at: Monotonic::ZERO,
            in_flight: None,
            served: BTreeMap::new(),
        }
    }

    pub(super) fn record_version(
        &mut self,
        now: Monotonic,
        endpoint: &EndpointName,
        version: &VersionName,
    ) {
        let served = (version.clone(), now);
        self.served.insert(endpoint.clone(), served);
    }

    pub(super) fn record_order_end(&mut self, endpoint: &EndpointName) {
        let is_this = self.in_flight.as_ref().is_some_and(|(e, _)| e == endpoint);
        if is_this {
            self.in_flight = None;
        }
    }

    /// Returns the load progress of `version`.
    pub(super) fn progress(
        &self,
        now: Monotonic,
        pool: &Pool,
        version: &VersionName,
    ) -> LoadProgress {
        let wanted = endpoints_to_load(pool, version);
        let serving = wanted
            .iter()
            .filter(|e| self.serves(now, &e.name, version) == Some(true))
            .count();
        LoadProgress {
            serving,
            wanted: wanted.len(),
        }
    }

    /// Selects the next endpoint to load `version` and records the order as in flight.
    pub(super) fn next<'a>(
        &mut self,
        now: Monotonic,
        pool: &'a Pool,
        version: &VersionName,
    ) -> Option<&'a Endpoint> {
        let is_busy = self
            .in_flight
            .as_ref()
            .is_some_and(|(_, since)| now.since(*since) < ORDER_TIMEOUT);
        if is_busy || now < self.next_at {
            return None;
        }
        let endpoint = endpoints_to_load(pool, version)
            .into_iter()
            .find(|e| self.serves(now, &e.name, version) == Some(false))?;
        self.in_flight = Some((endpoint.name.clone(), now));
        self.next_at = now + self.interval;
        Some(endpoint)
    }

    /// Removes endpoints that are no longer in the pool.
    pub(super) fn retain(&mut self, pool: &Pool) {
        let names: BTreeSet<_> = pool.endpoints.keys().collect();
        self.served.retain(|name, _| names.contains(name));
    }

    fn serves(
        &self,
        now: Monotonic,
        endpoint: &EndpointName,
        version: &VersionName,
    ) -> Option<bool> {
        let (served, at) = self.served.get(endpoint)?;
        (now.since(*at) < REPORT_TTL).then(|| served == version)
    }
}

fn endpoints_to_load<'a>(pool: &'a Pool, version: &VersionName) -> Vec<&'a Endpoint> {
    let endpoints = pool.endpoints.values();
    endpoints
        .filter(|e| e.version == *version && !e.leaving)
        .map(|e| &**e)
        .collect()
}
