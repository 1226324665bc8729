//! Endpoints that get nothing more: they leave, asked for a pause, or their failure domain is emptied.
//!
//! What an endpoint asked for belongs to its incarnation, not to its place in a pool: it holds on
//! when the registry drops the endpoint and announces it again, and a restart ends it.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::DomainName;
use eelgrassramp::Monotonic;

use super::Dispatcher;
use crate::endpoint::Endpoint;
use crate::endpoint::IncarnationKey;

/// Longest time for which one refusal keeps requests away; after it the endpoint is asked again.
pub const MAX_PAUSE: Duration = Duration::from_mins(5);

/// Time for which other entries are told that an endpoint leaves.
const ANNOUNCE_DURATION: Duration = Duration::from_secs(5);

/// Time for which a restriction is remembered; an endpoint that leaves has ended by then.
const RETENTION: Duration = Duration::from_mins(10);

/// Most incarnations that are remembered; the oldest ones go first.
const MAX_RECORDS: usize = 8_192;

/// What one incarnation of an endpoint asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Restriction {
    /// Whether it is leaving, so that it takes no new work at all.
    pub is_draining: bool,
    /// Until when it takes no new work.
    pub paused_until: Monotonic,
}

impl Restriction {
    /// Tells whether new work may be sent.
    #[must_use]
    pub fn allows_requests(&self, now: Monotonic) -> bool {
        !self.is_draining && self.paused_until <= now
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct RestrictionRecord {
    restriction: Restriction,
    at: Monotonic,
    /// When the endpoint itself told this entry that it leaves.
    reported_at: Option<Monotonic>,
}

/// The restrictions of all endpoints that one entry knows of.
#[derive(Debug, Default)]
pub(super) struct Restrictions {
    records: HashMap<IncarnationKey, RestrictionRecord>,
}

impl Restrictions {
    /// Returns what the incarnation asked for.
    pub(super) fn restriction_of(&self, key: IncarnationKey) -> Restriction {
        let record = self.records.get(&key);
        record.map(|n| n.restriction).unwrap_or_default()
    }

    /// Notes that an endpoint said that it leaves; tells whether that is new.
    pub(super) fn set_draining(&mut self, now: Monotonic, key: IncarnationKey) -> bool {
        let record = self.touch(now, key);
        record.reported_at.get_or_insert(now);
        !std::mem::replace(&mut record.restriction.is_draining, true)
    }

    /// Notes that another entry was told that an endpoint leaves; tells whether that is new.
    pub(super) fn apply_peer_draining(&mut self, now: Monotonic, key: IncarnationKey) -> bool {
        let record = self.touch(now, key);
        !std::mem::replace(&mut record.restriction.is_draining, true)
    }

    /// Notes that an endpoint wants nothing for a while; tells whether that is new.
    pub(super) fn extend_pause(
        &mut self,
        now: Monotonic,
        key: IncarnationKey,
        pause: Duration,
    ) -> bool {
        let record = self.touch(now, key);
        let is_new = record.restriction.paused_until <= now;
        let until = now + pause.min(MAX_PAUSE);
        record.restriction.paused_until = record.restriction.paused_until.max(until);
        is_new
    }

    /// Returns the incarnations of which the other entries have to know that they leave.
    pub(super) fn draining_to_announce(&self, now: Monotonic) -> Vec<IncarnationKey> {
        let is_recent = |record: &RestrictionRecord| {
            record
                .reported_at
                .is_some_and(|at| now.since(at) < ANNOUNCE_DURATION)
        };
        let recent = self.records.iter().filter(|(_, record)| is_recent(record));
        recent.map(|(key, _)| *key).collect()
    }

    /// Forgets what is old.
    pub(super) fn expire(&mut self, now: Monotonic) {
        self.records
            .retain(|_, record| now.since(record.at) < RETENTION);
    }

    fn touch(&mut self, now: Monotonic, key: IncarnationKey) -> &mut RestrictionRecord {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&key) {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.at);
            let oldest = oldest.map(|(key, _)| *key);
            oldest.and_then(|key| self.records.remove(&key));
        }
        let record = self.records.entry(key).or_default();
        record.at = now;
        record
    }
}

impl Dispatcher {
    /// Returns the failure domains whose endpoints get nothing.
    #[must_use]
    pub const fn evacuated_domains(&self) -> &BTreeSet<DomainName> {
        &self.evacuated
    }

    /// Replaces the failure domains whose endpoints get nothing.
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

    /// Notes that an endpoint said that it leaves; tells whether that is new.
    pub fn mark_draining(&mut self, now: Monotonic, endpoint: &Endpoint) -> bool {
        let key = IncarnationKey::from(endpoint);
        let is_new = self.restrictions.set_draining(now, key);
        self.restrict(endpoint, key);
        is_new
    }

    /// Notes that an endpoint wants nothing for `pause`, at most for [`MAX_PAUSE`]; tells whether
    /// it was not paused before.
    pub fn pause_endpoint(&mut self, now: Monotonic, endpoint: &Endpoint, pause: Duration) -> bool {
        let key = IncarnationKey::from(endpoint);
        let is_new = self.restrictions.extend_pause(now, key, pause);
        self.restrict(endpoint, key);
        is_new
    }

    fn restrict(&mut self, endpoint: &Endpoint, key: IncarnationKey) {
        let restriction = self.restrictions.restriction_of(key);
        if let Some(tracker) = self.tracker_mut(endpoint) {
            tracker.set_restriction(restriction);
        }
    }

    /// Returns the incarnations that told this entry of late that they leave.
    #[must_use]
    pub fn recently_draining(&self, now: Monotonic) -> Vec<IncarnationKey> {
        self.restrictions.draining_to_announce(now)
    }

    /// Takes in which incarnations told another entry that they leave, and returns those of the
    /// known endpoints of which that is new.
    pub fn apply_peer_draining(
        &mut self,
        now: Monotonic,
        leaving: &[IncarnationKey],
    ) -> Vec<Arc<Endpoint>> {
        let mut newly_reported = leaving.to_vec();
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

    /// Tells whether new work may be sent to the endpoint.
    #[must_use]
    pub fn accepts_requests(&self, now: Monotonic, endpoint: &Endpoint) -> bool {
        let restriction = self
            .restrictions
            .restriction_of(IncarnationKey::from(endpoint));
        restriction.allows_requests(now) && !self.evacuated.contains(&endpoint.domain)
    }

    /// Returns how many endpoints leave, and how many others wait for a pause to end.
    #[must_use]
    pub fn restricted_counts(&self, now: Monotonic) -> (usize, usize) {
        let trackers = || self.pools.values().flat_map(|p| p.trackers.values());
        let leaving = trackers()
            .filter(|tracker| !tracker.is_in_service())
            .count();
        let paused = trackers().filter(|tracker| tracker.is_in_service() && !tracker.is_ready(now));
        (leaving, paused.count())
    }
}
