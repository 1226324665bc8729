//! Records of one kind for many incarnations of endpoints, with bounds on their age and number.

use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::Monotonic;

use crate::endpoint::IncarnationKey;

/// Time after the last update at which a record is dropped; an endpoint that is no longer announced
/// has stopped by then.
const RETENTION: Duration = Duration::from_mins(10);

/// Maximum number of records; the oldest are dropped first.
const MAX_RECORDS: usize = 8_192;

/// Records by incarnation.
///
/// A record persists if the registry drops its endpoint and announces it again, and does not apply
/// to a restarted endpoint.
#[derive(Debug)]
pub(super) struct IncarnationRecords<T> {
    records: HashMap<IncarnationKey, Record<T>>,
}

#[derive(Debug, Default)]
struct Record<T> {
    value: T,
    updated_at: Monotonic,
}

impl<T> Default for IncarnationRecords<T> {
    fn default() -> Self {
        Self {
            records: HashMap::new(),
        }
    }
}

impl<T: Default> IncarnationRecords<T> {
    /// Returns whether there are no records.
    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the record of an incarnation.
    pub(super) fn get(&self, key: IncarnationKey) -> Option<&T> {
        self.records.get(&key).map(|record| &record.value)
    }

    /// Returns the record of an incarnation to update it; creates it if necessary.
    pub(super) fn update(&mut self, now: Monotonic, key: IncarnationKey) -> &mut T {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&key) {
            self.remove_oldest();
        }
        let record = self.records.entry(key).or_default();
        record.updated_at = now;
        &mut record.value
    }

    /// Returns all records.
    pub(super) fn iter(&self) -> impl Iterator<Item = (IncarnationKey, &T)> {
        self.records
            .iter()
            .map(|(key, record)| (*key, &record.value))
    }

    /// Drops old records.
    pub(super) fn expire(&mut self, now: Monotonic) {
        self.records
            .retain(|_, record| now.since(record.updated_at) < RETENTION);
    }

    fn remove_oldest(&mut self) {
        let oldest = self
            .records
            .iter()
            .min_by_key(|(_, record)| record.updated_at);
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.records.remove(&key);
        }
    }
}
