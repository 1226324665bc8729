//! The set of known endpoints, derived from their announcements in the platform's registry.
//!
//! Announcements expire during a registry outage although the endpoints keep running. Endpoints
//! announce themselves again soon after the outage, so one that is missing right after it is kept
//! for a grace period and removed only if it is still missing then.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::EndpointName;
use eelgrassramp::Monotonic;

use crate::endpoint::Endpoint;
use crate::endpoint::EndpointState;

/// Time after an outage within which endpoints announce themselves again.
pub const REANNOUNCE_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Shortest outage during which announcements can expire.
const MIN_EXPIRING_OUTAGE: Duration = Duration::from_millis(2_500);

/// A time during which the registry could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outage {
    /// Time of the first successful read after the outage.
    pub ended_at: Monotonic,
    /// Duration of the outage.
    pub lasted: Duration,
}

impl Outage {
    fn grace_ends_at(&self) -> Option<Monotonic> {
        (self.lasted >= MIN_EXPIRING_OUTAGE).then(|| self.ended_at + REANNOUNCE_GRACE_PERIOD)
    }
}

/// The endpoints that are announced, or that are kept for a grace period after an outage.
#[derive(Debug, Default)]
pub struct KnownEndpoints {
    announced: BTreeMap<EndpointName, Arc<Endpoint>>,
    unannounced: BTreeMap<EndpointName, Arc<Endpoint>>,
    grace_ends_at: Option<Monotonic>,
}

impl KnownEndpoints {
    /// Replaces all announcements; `outage` is the one that preceded the read, if any.
    pub fn update(
        &mut self,
        now: Monotonic,
        announced: impl IntoIterator<Item = Endpoint>,
        outage: Option<Outage>,
    ) {
        let announced: BTreeMap<_, _> = announced
            .into_iter()
            .map(|endpoint| (endpoint.name.clone(), Arc::new(endpoint)))
            .collect();
        self.grace_ends_at = outage
            .and_then(|outage| outage.grace_ends_at())
            .filter(|ends| *ends > now);
        let previous = std::mem::replace(&mut self.announced, announced);
        self.unannounced.extend(previous);
        self.unannounced
            .retain(|_, endpoint| endpoint.state == EndpointState::Ready);
        self.expire(now);
    }

    /// Removes endpoints that were not announced again within the grace period.
    ///
    /// Returns whether any were removed.
    pub fn expire(&mut self, now: Monotonic) -> bool {
        if self.grace_ends_at.is_some_and(|ends| now >= ends) {
            self.grace_ends_at = None;
        }
        let count_before = self.unannounced.len();
        let is_in_grace_period = self.grace_ends_at.is_some();
        let announced = &self.announced;
        self.unannounced
            .retain(|name, _| is_in_grace_period && !announced.contains_key(name));
        self.unannounced.len() < count_before
    }

    /// Returns the announced endpoints followed by the unannounced ones, each sorted by name.
    #[must_use]
    pub fn endpoints(&self) -> Vec<Arc<Endpoint>> {
        let all = self.announced.values().chain(self.unannounced.values());
        all.cloned().collect()
    }
}
