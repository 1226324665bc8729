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
const TELL_FOR: Duration = Duration::from_secs(5);

/// Time for which a restriction is remembered; an endpoint that leaves has ended by then.
const MEMORY: Duration = Duration::from_mins(10);

/// Most incarnations that are remembered; the oldest ones go first.
const MAX_REMEMBERED: usize = 8_192;

/// What one incarnation of an endpoint asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Restriction {
    /// Whether it is leaving, so that it takes no new work at all.
    pub is_leaving: bool,
    /// Until when it takes no new work.
    pub paused_until: Monotonic,
}

impl Restriction {
    /// Tells whether new work may be sent.
    #[must_use]
    pub fn allows(&self, now: Monotonic) -> bool {
        !self.is_leaving && self.paused_until <= now
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Noted {
    restriction: Restriction,
    at: Monotonic,
    /// When the endpoint itself told this entry that it leaves.
    told_at: Option<Monotonic>,
}

/// The restrictions of all endpoints that one entry knows of.
#[derive(Debug, Default)]
pub(super) struct Restrictions {
    noted: HashMap<IncarnationKey, Noted>,
}

impl Restrictions {
    /// Returns what the incarnation asked for.
    pub(super) fn of(&self, key: IncarnationKey) -> Restriction {
        let noted = self.noted.get(&key);
        noted.map(|n| n.restriction).unwrap_or_default()
    }

    /// Notes that an endpoint said that it leaves; tells whether that is new.
    pub(super) fn leave(&mut self, now: Monotonic, key: IncarnationKey) -> bool {
        let noted = self.note(now, key);
        noted.told_at.get_or_insert(now);
        !std::mem::replace(&mut noted.restriction.is_leaving, true)
    }

    /// Notes that another entry was told that an endpoint leaves; tells whether that is new.
    pub(super) fn hear_leaving(&mut self, now: Monotonic, key: IncarnationKey) -> bool {
        let noted = self.note(now, key);
        !std::mem::replace(&mut noted.restriction.is_leaving, true)
    }

    /// Notes that an endpoint wants nothing for a while; tells whether that is new.
    pub(super) fn pause(&mut self, now: Monotonic, key: IncarnationKey, pause: Duration) -> bool {
        let noted = self.note(now, key);
        let is_new = noted.restriction.paused_until <= now;
        let until = now + pause.min(MAX_PAUSE);
        noted.restriction.paused_until = noted.restriction.paused_until.max(until);
        is_new
    }

    /// Returns the incarnations of which the other entries have to know that they leave.
    pub(super) fn to_tell(&self, now: Monotonic) -> Vec<IncarnationKey> {
        let is_recent = |noted: &Noted| noted.told_at.is_some_and(|at| now.since(at) < TELL_FOR);
        let recent = self.noted.iter().filter(|(_, noted)| is_recent(noted));
        recent.map(|(key, _)| *key).collect()
    }

    /// Forgets what is old.
    pub(super) fn expire(&mut self, now: Monotonic) {
        self.noted.retain(|_, noted| now.since(noted.at) < MEMORY);
    }

    fn note(&mut self, now: Monotonic, key: IncarnationKey) -> &mut Noted {
        if self.noted.len() >= MAX_REMEMBERED && !self.noted.contains_key(&key) {
            let oldest = self.noted.iter().min_by_key(|(_, noted)| noted.at);
            let oldest = oldest.map(|(key, _)| *key);
            oldest.and_then(|key| self.noted.remove(&key));
        }
        let noted = self.noted.entry(key).or_default();
        noted.at = now;
        noted
    }
}

impl Dispatcher {
    /// Returns the failure domains whose endpoints get nothing.
    #[must_use]
    pub const fn emptied(&self) -> &BTreeSet<DomainName> {
        &self.emptied
    }

    /// Replaces the failure domains whose endpoints get nothing.
    pub fn set_emptied(&mut self, emptied: BTreeSet<DomainName>) {
        self.emptied = emptied;
        for lane in self.pools.values_mut().flat_map(|p| p.lanes.values_mut()) {
            let is_emptied = self.emptied.contains(&lane.endpoint().domain);
            lane.set_emptied(is_emptied);
        }
    }

    /// Notes that an endpoint said that it leaves; tells whether that is new.
    pub fn note_leaving(&mut self, now: Monotonic, endpoint: &Endpoint) -> bool {
        let key = IncarnationKey::from(endpoint);
        let is_new = self.restrictions.leave(now, key);
        self.restrict(endpoint, key);
        is_new
    }

    /// Notes that an endpoint wants nothing for `pause`, at most for [`MAX_PAUSE`]; tells whether
    /// it was not paused before.
    pub fn note_pause(&mut self, now: Monotonic, endpoint: &Endpoint, pause: Duration) -> bool {
        let key = IncarnationKey::from(endpoint);
        let is_new = self.restrictions.pause(now, key, pause);
        self.restrict(endpoint, key);
        is_new
    }

    fn restrict(&mut self, endpoint: &Endpoint, key: IncarnationKey) {
        let restriction = self.restrictions.of(key);
        if let Some(lane) = self.lane_mut(endpoint) {
            lane.restrict(restriction);
        }
    }

    /// Returns the incarnations that told this entry of late that they leave.
    #[must_use]
    pub fn leaving(&self, now: Monotonic) -> Vec<IncarnationKey> {
        self.restrictions.to_tell(now)
    }

    /// Takes in which incarnations told another entry that they leave, and returns those of the
    /// known endpoints of which that is new.
    pub fn hear_leaving(
        &mut self,
        now: Monotonic,
        leaving: &[IncarnationKey],
    ) -> Vec<Arc<Endpoint>> {
        let mut fresh = leaving.to_vec();
        fresh.retain(|key| self.restrictions.hear_leaving(now, *key));
        if fresh.is_empty() {
            return Vec::new();
        }
        let mut left = Vec::new();
        for lane in self.pools.values_mut().flat_map(|p| p.lanes.values_mut()) {
            let key = IncarnationKey::from(&**lane.endpoint());
            if fresh.contains(&key) {
                lane.restrict(self.restrictions.of(key));
                left.push(Arc::clone(lane.endpoint()));
            }
        }
        left
    }

    /// Tells whether new work may be sent to the endpoint.
    #[must_use]
    pub fn takes_work(&self, now: Monotonic, endpoint: &Endpoint) -> bool {
        let restriction = self.restrictions.of(IncarnationKey::from(endpoint));
        restriction.allows(now) && !self.emptied.contains(&endpoint.domain)
    }

    /// Returns how many endpoints leave, and how many others wait for a pause to end.
    #[must_use]
    pub fn restricted(&self, now: Monotonic) -> (usize, usize) {
        let lanes = || self.pools.values().flat_map(|p| p.lanes.values());
        let leaving = lanes().filter(|lane| !lane.is_staying()).count();
        let paused = lanes().filter(|lane| lane.is_staying() && !lane.is_ready(now));
        (leaving, paused.count())
    }
}
