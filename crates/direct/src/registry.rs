//! Decides which endpoints there are from what the platform's registry announces.
//!
//! Announcements lapse while the registry is away, although the endpoints live on. They are back
//! soon after its return, so an endpoint that is missing right after an outage is kept for a
//! while; one that is still missing then has gone.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::EndpointName;
use eelgrassramp::Monotonic;

use crate::endpoint::Endpoint;
use crate::endpoint::EndpointState;

/// Time after the registry's return in which lapsed announcements come back.
const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Shortest outage in which announcements can lapse.
const MIN_OUTAGE: Duration = Duration::from_millis(2_500);

/// A time in which the registry could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outage {
    /// When it could be read again.
    pub ended_at: Monotonic,
    /// How long it could not be read.
    pub lasted: Duration,
}

impl Outage {
    fn grace_ends(&self) -> Option<Monotonic> {
        (self.lasted >= MIN_OUTAGE).then(|| self.ended_at + RETURN_GRACE)
    }
}

/// The endpoints that are in use.
#[derive(Debug, Default)]
pub struct Registry {
    announced: BTreeMap<EndpointName, Arc<Endpoint>>,
    lapsed: BTreeMap<EndpointName, Arc<Endpoint>>,
    grace_ends: Option<Monotonic>,
}

impl Registry {
    /// Takes in all announcements, read after `outage` if there was one.
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
        self.grace_ends = outage
            .and_then(|outage| outage.grace_ends())
            .filter(|ends| *ends > now);
        let before = std::mem::replace(&mut self.announced, announced);
        self.lapsed.extend(before);
        self.lapsed
            .retain(|_, endpoint| endpoint.state == EndpointState::Ready);
        self.expire(now);
    }

    /// Drops endpoints that did not come back in time; tells whether there were any.
    pub fn expire(&mut self, now: Monotonic) -> bool {
        if self.grace_ends.is_some_and(|ends| now >= ends) {
            self.grace_ends = None;
        }
        let before = self.lapsed.len();
        let is_kept = self.grace_ends.is_some();
        let announced = &self.announced;
        self.lapsed
            .retain(|name, _| is_kept && !announced.contains_key(name));
        self.lapsed.len() < before
    }

    /// Returns the endpoints in use, in the order of their names.
    #[must_use]
    pub fn endpoints(&self) -> Vec<Arc<Endpoint>> {
        let all = self.announced.values().chain(self.lapsed.values());
        all.cloned().collect()
    }
}
