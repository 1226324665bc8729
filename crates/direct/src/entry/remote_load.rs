//! In-flight requests of the other entries.

use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;

use crate::endpoint::EndpointKey;

/// Time after which another entry's counts expire without an update.
const ENTRY_LOAD_TTL: Duration = Duration::from_millis(1_500);

/// In-flight requests of one other entry.
#[derive(Debug)]
struct EntryLoad {
    received_at: Monotonic,
    in_flight: HashMap<EndpointKey, u32>,
}

/// In-flight requests of all other entries, with their sums by endpoint.
#[derive(Debug, Default)]
pub(super) struct RemoteLoad {
    entries: HashMap<EntryName, EntryLoad>,
    sum: HashMap<EndpointKey, u32>,
}

impl RemoteLoad {
    /// Applies an update from another entry: all of its counts, or the changed ones only.
    pub(super) fn apply(
        &mut self,
        now: Monotonic,
        entry: &EntryName,
        is_full: bool,
        counts: &[(EndpointKey, u32)],
    ) {
        if is_full {
            self.remove_entry(entry);
        }
        let load = self
            .entries
            .entry(entry.clone())
            .or_insert_with(|| EntryLoad {
                received_at: now,
                in_flight: HashMap::new(),
            });
        load.received_at = now;
        for (endpoint, n) in counts {
            let before = load.in_flight.insert(*endpoint, *n).unwrap_or(0);
            adjust_total(&mut self.sum, *endpoint, before, *n);
        }
    }

    /// Removes an entry's counts; returns whether the entry was known.
    pub(super) fn remove_entry(&mut self, entry: &EntryName) -> bool {
        let Some(load) = self.entries.remove(entry) else {
            return false;
        };
        for (endpoint, n) in load.in_flight {
            adjust_total(&mut self.sum, endpoint, n, 0);
        }
        true
    }

    /// Removes the counts of entries that sent no update within [`ENTRY_LOAD_TTL`].
    pub(super) fn expire(&mut self, now: Monotonic) {
        let silent = self.entries.iter();
        let silent = silent.filter(|(_, load)| now.since(load.received_at) >= ENTRY_LOAD_TTL);
        let silent: Vec<_> = silent.map(|(entry, _)| entry.clone()).collect();
        for entry in silent {
            self.remove_entry(&entry);
        }
    }

    /// Returns the number of other entries whose counts have not expired.
    pub(super) fn entries(&self) -> u32 {
        u32::try_from(self.entries.len()).unwrap_or(u32::MAX)
    }

    /// Returns the in-flight requests of all other entries by endpoint.
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
