//! In-flight requests of the peers, which are all other entries.

use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;

use crate::endpoint::EndpointKey;

/// Time after which a peer's counts expire without an update.
const PEER_LOAD_TTL: Duration = Duration::from_millis(1_500);

/// In-flight requests of one peer.
#[derive(Debug)]
struct PeerLoad {
    received_at: Monotonic,
    in_flight: HashMap<EndpointKey, u32>,
}

/// In-flight requests of all peers, with their sums by endpoint.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    entries: HashMap<EntryName, PeerLoad>,
    sum: HashMap<EndpointKey, u32>,
}

impl PeerLoads {
    /// Applies an update from a peer: all of its counts, or the changed ones only.
    pub(super) fn apply(
        &mut self,
        now: Monotonic,
        entry: &EntryName,
        has_all_in_flight: bool,
        counts: &[(EndpointKey, u32)],
    ) {
        if has_all_in_flight {
            self.remove_entry(entry);
        }
        let load = self
            .entries
            .entry(entry.clone())
            .or_insert_with(|| PeerLoad {
                received_at: now,
                in_flight: HashMap::new(),
            });
        load.received_at = now;
        for (endpoint, n) in counts {
            let before = load.in_flight.insert(*endpoint, *n).unwrap_or(0);
            adjust_total(&mut self.sum, *endpoint, before, *n);
        }
    }

    /// Removes a peer's counts; returns whether there were any.
    pub(super) fn remove_entry(&mut self, entry: &EntryName) -> bool {
        let Some(load) = self.entries.remove(entry) else {
            return false;
        };
        for (endpoint, n) in load.in_flight {
            adjust_total(&mut self.sum, endpoint, n, 0);
        }
        true
    }

    /// Removes the counts of peers that sent no update within [`PEER_LOAD_TTL`].
    pub(super) fn expire(&mut self, now: Monotonic) {
        let expired = self.entries.iter();
        let expired = expired.filter(|(_, load)| now.since(load.received_at) >= PEER_LOAD_TTL);
        let expired: Vec<_> = expired.map(|(entry, _)| entry.clone()).collect();
        for entry in expired {
            self.remove_entry(&entry);
        }
    }

    /// Returns the number of peers whose counts have not expired.
    pub(super) fn entries(&self) -> u32 {
        u32::try_from(self.entries.len()).unwrap_or(u32::MAX)
    }

    /// Returns the in-flight requests of all peers by endpoint.
    pub(super) const fn sum(&self) -> &HashMap<EndpointKey, u32> {
        &self.sum
    }
}

fn adjust_total(
    sum: &mut HashMap<EndpointKey, u32>,
    endpoint: EndpointKey,
    before: u32,
    after: u32,
) {
    let total = sum.get(&endpoint).copied().unwrap_or(0);
    let total = total.saturating_add(after).saturating_sub(before);
    if total == 0 {
        sum.remove(&endpoint);
    } else {
        sum.insert(endpoint, total);
    }
}
