//! The other entries, and how entries divide the rate that an endpoint accepts.
//!
//! Messages between entries would arrive too late to enforce a sum, so each entry computes its share
//! on its own, from the list of entries and an order given by a hash of entry and endpoint.

use std::time::Duration;

use eelgrassramp::DomainName;
use eelgrassramp::EndpointName;
use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Dispatcher;
use super::pool::EntryContext;
use crate::endpoint::Endpoint;

/// Time after the first list of other entries arrives before the list is considered complete.
///
/// Processes that start together announce themselves within this time.
const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// Factor applied to the interval between sends to a cold endpoint, because varying network delay
/// may bring requests closer together.
const PACING_MARGIN: f64 = 1.1;

/// Time to which a rate refers.
const RATE_PERIOD: Duration = Duration::from_secs(1);

/// One of the other entries.
#[derive(Debug)]
struct PeerEntry {
    hash: u64,
    /// Its failure domain, once it has told this.
    domain: Option<DomainName>,
}

/// The other entries that share endpoints with this one.
#[derive(Debug, Default)]
pub(super) struct PeerEntries {
    listed_at: Option<Monotonic>,
    peers: Vec<PeerEntry>,
}

/// Share of one entry in the rate limit of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum RateShare {
    /// The entry may send one request per `interval`.
    Sender { interval: Duration },
    /// The entry may send only if the senders do not; one request per `interval`, beginning after
    /// the fraction `phase` of it.
    Standby { interval: Duration, phase: f64 },
}

impl PeerEntries {
    /// Replaces the known entries.
    fn set<'a>(&mut self, now: Monotonic, names: impl Iterator<Item = &'a EntryName>) {
        self.listed_at.get_or_insert(now);
        let known = std::mem::take(&mut self.peers);
        self.peers = names
            .map(|name| {
                let hash = entry_hash(name);
                let before = known.iter().find(|peer| peer.hash == hash);
                let domain = before.and_then(|peer| peer.domain.clone());
                PeerEntry { hash, domain }
            })
            .collect();
    }

    /// Sets the failure domain of an entry.
    fn set_domain(&mut self, name: &EntryName, domain: &DomainName) {
        let hash = entry_hash(name);
        if let Some(peer) = self.peers.iter_mut().find(|peer| peer.hash == hash) {
            peer.domain = Some(domain.clone());
        }
    }

    /// Returns the number of entries, including this one.
    pub(super) fn entry_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the minimum interval between two requests that this entry, whose hash is `own_hash`,
    /// sends to a cold endpoint with the limit `per_second`; `None` if it may not send any.
    ///
    /// If the limit allows every entry at least two requests per second, it is split equally.
    /// Otherwise only the first entries in the endpoint's order send, each about once per second.
    pub(super) fn cold_send_interval(
        &self,
        now: Monotonic,
        own_hash: u64,
        endpoint: &EndpointName,
        per_second: f64,
    ) -> Option<Duration> {
        let is_list_complete = self
            .listed_at
            .is_some_and(|at| now.since(at) >= PEER_DISCOVERY_TIME);
        if !is_list_complete {
            return None;
        }
        let entries = self.entry_count() as f64;
        if 2.0 * entries <= per_second {
            return Some(RATE_PERIOD.mul_f64(PACING_MARGIN * entries / per_second));
        }
        let own = pair_hash(own_hash, endpoint);
        let position = self.count(|peer| pair_hash(peer.hash, endpoint) < own) as f64;
        (position + 1.0 <= per_second).then(|| RATE_PERIOD.mul_f64(PACING_MARGIN))
    }

    fn count(&self, precedes: impl Fn(&PeerEntry) -> bool) -> usize {
        self.peers.iter().filter(|peer| precedes(peer)).count()
    }
}

impl EntryContext {
    /// Returns this entry's share of an endpoint's limit of `per_second`, which is positive.
    ///
    /// The limit is split equally among as many entries as it allows one request per second each.
    /// Entries in the endpoint's failure domain come first, because they prefer it; the others stand
    /// by, so that the endpoint is not left idle while the first ones have no requests.
    pub(super) fn rate_share(&self, endpoint: &Endpoint, per_second: f64) -> RateShare {
        let peers = &self.peer_entries;
        let rank = |is_same_domain: bool, hash| {
            let is_other_domain = !is_same_domain;
            (is_other_domain, pair_hash(hash, &endpoint.name))
        };
        let own = rank(*self.domain == *endpoint.domain.as_str(), self.hash_seed);
        let position = peers.count(|peer| {
            let is_same_domain = peer.domain.as_ref() == Some(&endpoint.domain);
            rank(is_same_domain, peer.hash) < own
        });
        let entries = peers.entry_count() as f64;
        let senders = per_second.ceil().min(entries);
        if (position as f64) < senders {
            let interval = RATE_PERIOD.mul_f64(senders / per_second);
            return RateShare::Sender { interval };
        }
        RateShare::Standby {
            interval: RATE_PERIOD.mul_f64(entries / per_second),
            phase: pair_hash(self.hash_seed, &endpoint.name) as f64 / u64::MAX as f64,
        }
    }
}

impl Dispatcher {
    /// Replaces the entries that share endpoints with this one.
    pub fn set_peer_entries<'a>(
        &mut self,
        now: Monotonic,
        names: impl Iterator<Item = &'a EntryName>,
    ) {
        self.context.peer_entries.set(now, names);
    }

    /// Returns whether the list of the entries that share endpoints with this one was ever received.
    #[must_use]
    pub const fn has_peer_entries(&self) -> bool {
        self.context.peer_entries.listed_at.is_some()
    }

    /// Sets the failure domain of one of the other entries.
    pub fn set_peer_domain(&mut self, name: &EntryName, domain: &DomainName) {
        self.context.peer_entries.set_domain(name, domain);
    }
}

/// Returns the hash that identifies an entry.
fn entry_hash(name: &EntryName) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}

/// Returns the hash that gives each endpoint its own order of entries.
fn pair_hash(entry_hash: u64, endpoint: &EndpointName) -> u64 {
    xxh3_64_with_seed(endpoint.as_str().as_bytes(), entry_hash)
}
