//! Requests that the other entries have in flight.

use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;

use crate::endpoint::EndpointKey;

/// Time for which another entry's work counts after it was heard.
const LIFETIME: Duration = Duration::from_millis(1_500);

/// Work of one other entry.
#[derive(Debug)]
struct Work {
    heard_at: Monotonic,
    in_flight: HashMap<EndpointKey, u32>,
}

/// Work of all other entries, with its sum kept up to date.
#[derive(Debug, Default)]
pub(super) struct Others {
    entries: HashMap<EntryName, Work>,
    sum: HashMap<EndpointKey, u32>,
}

impl Others {
    /// Takes in what another entry told: all of its work, or what has changed.
    pub(super) fn hear(
        &mut self,
        now: Monotonic,
        entry: &EntryName,
        is_whole: bool,
        told: &[(EndpointKey, u32)],
    ) {
        if is_whole {
            self.lose(entry);
        }
        let work = self.entries.entry(entry.clone()).or_insert_with(|| Work {
            heard_at: now,
            in_flight: HashMap::new(),
        });
        work.heard_at = now;
        for (endpoint, n) in told {
            let before = work.in_flight.insert(*endpoint, *n).unwrap_or(0);
            change(&mut self.sum, *endpoint, before, *n);
        }
    }

    /// Forgets an entry's work; tells whether there was any entry.
    pub(super) fn lose(&mut self, entry: &EntryName) -> bool {
        let Some(work) = self.entries.remove(entry) else {
            return false;
        };
        for (endpoint, n) in work.in_flight {
            change(&mut self.sum, endpoint, n, 0);
        }
        true
    }

    /// Forgets the work of entries that fell silent.
    pub(super) fn expire(&mut self, now: Monotonic) {
        let silent = self.entries.iter();
        let silent = silent.filter(|(_, work)| now.since(work.heard_at) >= LIFETIME);
        let silent: Vec<_> = silent.map(|(entry, _)| entry.clone()).collect();
        for entry in silent {
            self.lose(&entry);
        }
    }

    /// Returns how many other entries were heard of late.
    pub(super) fn entries(&self) -> u32 {
        u32::try_from(self.entries.len()).unwrap_or(u32::MAX)
    }

    /// Returns the work of all of them by endpoint.
    pub(super) const fn sum(&self) -> &HashMap<EndpointKey, u32> {
        &self.sum
    }
}

fn change(sum: &mut HashMap<EndpointKey, u32>, endpoint: EndpointKey, before: u32, after: u32) {
    let total = sum.get(&endpoint).copied().unwrap_or(0);
    let total = total.saturating_add(after).saturating_sub(before);
    if total == 0 {
        sum.remove(&endpoint);
    } else {
        sum.insert(endpoint, total);
    }
}
