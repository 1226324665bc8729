//! Endpoints that receive no new requests, for one of three causes: they reported in a response that
//! they are draining, they asked for a backoff, or their failure domain is evacuated.
//!
//! Only the first two causes are stored as a [`Restriction`], which is kept for each incarnation: it
//! persists if the registry drops the endpoint and announces it again, and ends with a restart.
//! Draining that the registry announces is not a restriction, but [`EndpointState::Draining`].
//!
//! [`EndpointState::Draining`]: crate::endpoint::EndpointState::Draining

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::DomainName;
use eelgrassramp::Monotonic;

use super::Dispatcher;
use super::incarnation_records::IncarnationRecords;
use crate::endpoint::Endpoint;
use crate::endpoint::IncarnationKey;

/// Longest backoff for one refusal by an endpoint; after it the endpoint is tried again.
pub const MAX_ENDPOINT_BACKOFF: Duration = Duration::from_mins(5);

/// Time during which messages to other entries list an endpoint that reported draining.
const SHARE_DURATION: Duration = Duration::from_secs(5);

/// Restriction that one incarnation of an endpoint requested.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Restriction {
    /// Whether it reported that it is draining and accepts no new requests.
    pub is_draining: bool,
    /// Time until which it asked for no new requests.
    pub backoff_until: Monotonic,
}

impl Restriction {
    /// Returns whether new requests may be sent now.
    #[must_use]
    pub fn allows_requests(&self, now: Monotonic) -> bool {
        !self.is_draining && self.backoff_until <= now
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct RestrictionRecord {
    restriction: Restriction,
    /// When the endpoint itself reported to this entry that it is draining.
    reported_at: Option<Monotonic>,
}

/// The restrictions of all endpoints known to one entry.
#[derive(Debug, Default)]
pub(super) struct Restrictions {
    records: IncarnationRecords<RestrictionRecord>,
}

impl Restrictions {
    /// Returns the restriction of an incarnation.
    pub(super) fn restriction_of(&self, key: IncarnationKey) -> Restriction {
        let record = self.records.get(key);
        record.map(|record| record.restriction).unwrap_or_default()
    }

    /// Marks an endpoint that reported draining to this entry; returns whether this is new.
    pub(super) fn set_draining(&mut self, now: Monotonic, key: IncarnationKey) -> bool {
        let record = self.records.update(now, key);
        record.reported_at.get_or_insert(now);
        !std::mem::replace(&mut record.restriction.is_draining, true)
    }

    /// Marks an endpoint that reported draining to another entry; returns whether this is new.
    pub(super) fn apply_peer_draining(&mut self, now: Monotonic, key: IncarnationKey) -> bool {
        let record = self.records.update(now, key);
        !std::mem::replace(&mut record.restriction.is_draining, true)
    }

    /// Records a backoff that an endpoint asked for; returns whether it had none before.
    pub(super) fn extend_backoff(
        &mut self,
        now: Monotonic,
        key: IncarnationKey,
        backoff: Duration,
    ) -> bool {
        let record = self.records.update(now, key);
        let is_new = record.restriction.backoff_until <= now;
        let until = now + backoff.min(MAX_ENDPOINT_BACKOFF);
        record.restriction.backoff_until = record.restriction.backoff_until.max(until);
        is_new
    }

    /// Returns the draining incarnations to list in messages to other entries.
    pub(super) fn recent_draining(&self, now: Monotonic) -> Vec<IncarnationKey> {
        let is_recent = |record: &RestrictionRecord| {
            record
                .reported_at
                .is_some_and(|at| now.since(at) < SHARE_DURATION)
        };
        let recent = self.records.iter().filter(|(_, record)| is_recent(record));
        recent.map(|(key, _)| key).collect()
    }

    /// Drops old records.
    pub(super) fn expire(&mut self, now: Monotonic) {
        self.records.expire(now);
    }
}

impl Dispatcher {
    /// Returns the failure domains whose endpoints receive no new requests.
    #[must_use]
    pub const fn evacuated_domains(&self) -> &BTreeSet<DomainName> {
        &self.evacuated
    }

    /// Replaces the failure domains whose endpoints receive no new requests.
    pub fn set_evacuated_domains(&mut self, evacuated: BTreeSet<DomainName>) {
        self.evacuated = evacuated;
        for tracker in self
            .pools
            .values_mut()
            .flat_map(|p| p.trackers.values_mut())
        {
            let is_evacuated = self.evacuated.contains(&tracker.endpoint().domain);
            tracker.set_evacuated(is_evacuated);
        }
    }

    /// Records that an endpoint reported draining; returns whether this is new.
    pub fn mark_draining(&mut self, now: Monotonic, endpoint: &Endpoint) -> bool {
        let key = IncarnationKey::from(endpoint);
        let is_new = self.restrictions.set_draining(now, key);
        self.restrict(endpoint, key);
        is_new
    }

    /// Sends an endpoint no new requests for `backoff`, but at most for [`MAX_ENDPOINT_BACKOFF`];
    /// returns whether it had no backoff before.
    pub fn back_off(&mut self, now: Monotonic, endpoint: &Endpoint, backoff: Duration) -> bool {
        let key = IncarnationKey::from(endpoint);
        let is_new = self.restrictions.extend_backoff(now, key, backoff);
        self.restrict(endpoint, key);
        is_new
    }

    fn restrict(&mut self, endpoint: &Endpoint, key: IncarnationKey) {
        let restriction = self.restrictions.restriction_of(key);
        if let Some(tracker) = self.tracker_mut(endpoint) {
            tracker.set_restriction(restriction);
        }
    }

    /// Returns the incarnations to list in messages to other entries: those that recently reported
    /// to this entry that they are draining.
    #[must_use]
    pub fn draining_to_share(&self, now: Monotonic) -> Vec<IncarnationKey> {
        self.restrictions.recent_draining(now)
    }

    /// Marks incarnations that reported draining to another entry as draining, and returns the
    /// known endpoints for which this is new.
    pub fn apply_peer_draining(
        &mut self,
        now: Monotonic,
        draining: &[IncarnationKey],
    ) -> Vec<Arc<Endpoint>> {
        let mut newly_reported = draining.to_vec();
        newly_reported.retain(|key| self.restrictions.apply_peer_draining(now, *key));
        if newly_reported.is_empty() {
            return Vec::new();
        }
        let mut newly_draining = Vec::new();
        for tracker in self
            .pools
            .values_mut()
            .flat_map(|p| p.trackers.values_mut())
        {
            let key = IncarnationKey::from(&**tracker.endpoint());
            if newly_reported.contains(&key) {
                tracker.set_restriction(self.restrictions.restriction_of(key));
                newly_draining.push(Arc::clone(tracker.endpoint()));
            }
        }
        newly_draining
    }

    /// Returns whether new requests may be sent to the endpoint, apart from its announced state.
    #[must_use]
    pub fn is_unrestricted(&self, now: Monotonic, endpoint: &Endpoint) -> bool {
        let restriction = self
            .restrictions
            .restriction_of(IncarnationKey::from(endpoint));
        restriction.allows_requests(now) && !self.evacuated.contains(&endpoint.domain)
    }

    /// Returns the number of endpoints that are out of service because they are draining or
    /// evacuated, and the number of other endpoints that asked for a backoff.
    #[must_use]
    pub fn restricted_counts(&self, now: Monotonic) -> (usize, usize) {
        let trackers = || self.pools.values().flat_map(|p| p.trackers.values());
        let out_of_service = trackers()
            .filter(|tracker| !tracker.is_in_service())
            .count();
        let backed_off =
            trackers().filter(|tracker| tracker.is_in_service() && !tracker.accepts_requests(now));
        (out_of_service, backed_off.count())
    }
}
