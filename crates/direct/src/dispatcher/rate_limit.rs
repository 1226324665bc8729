//! Rate limits that endpoints name in their responses.
//!
//! An endpoint that is short of capacity names the rate of requests that it accepts from all entries
//! together. The limit is in force until a later response comes without one.

use eelgrassramp::Monotonic;

use super::Dispatcher;
use super::incarnation_records::IncarnationRecords;
use crate::endpoint::Endpoint;
use crate::endpoint::IncarnationKey;

#[derive(Debug, Clone, Copy, Default)]
struct RateLimitRecord {
    /// Requests per second of all entries together; `None` once the limit has ended.
    per_second: Option<f64>,
    /// When the endpoint last named the limit to this entry.
    named_at: Monotonic,
}

/// The rate limits of all endpoints known to one entry.
#[derive(Debug, Default)]
pub(super) struct RateLimits {
    records: IncarnationRecords<RateLimitRecord>,
}

impl RateLimits {
    /// Returns the limit in force for an incarnation, in requests per second.
    pub(super) fn per_second(&self, key: IncarnationKey) -> Option<f64> {
        self.records.get(key)?.per_second
    }

    /// Records a limit that the endpoint named to this entry; returns whether it was another one
    /// before.
    fn set_named(&mut self, now: Monotonic, key: IncarnationKey, per_second: f64) -> bool {
        let record = self.records.update(now, key);
        record.named_at = now;
        record.per_second.replace(per_second) != Some(per_second)
    }

    /// Records a response without a limit to a request sent at `sent_at`; returns whether this ends
    /// a limit.
    ///
    /// Responses on different connections may overtake each other, so only a request sent after the
    /// limit was last named proves that it has ended.
    fn end(&mut self, now: Monotonic, key: IncarnationKey, sent_at: Monotonic) -> bool {
        let current = self.records.get(key).copied().unwrap_or_default();
        if current.per_second.is_none() || sent_at <= current.named_at {
            return false;
        }
        self.records.update(now, key).per_second = None;
        true
    }

    /// Drops old records.
    pub(super) fn expire(&mut self, now: Monotonic) {
        self.records.expire(now);
    }
}

impl Dispatcher {
    /// Records that an endpoint named a rate limit, in requests per second; returns whether another
    /// one or none was in force.
    pub fn set_rate_limit(&mut self, now: Monotonic, endpoint: &Endpoint, per_second: f64) -> bool {
        let key = IncarnationKey::from(endpoint);
        self.rate_limits.set_named(now, key, per_second)
    }

    /// Records that an endpoint answered a request sent at `sent_at` without naming a rate limit;
    /// returns whether this ends one.
    pub fn end_rate_limit(
        &mut self,
        now: Monotonic,
        endpoint: &Endpoint,
        sent_at: Monotonic,
    ) -> bool {
        let key = IncarnationKey::from(endpoint);
        self.rate_limits.end(now, key, sent_at)
    }

    /// Returns the number of known endpoints with a rate limit in force.
    #[must_use]
    pub fn rate_limited_count(&self) -> usize {
        let trackers = self.pools.values().flat_map(|p| p.trackers.values());
        let limited =
            trackers.filter(|tracker| self.rate_limits.per_second(tracker.incarnation()).is_some());
        limited.count()
    }
}
