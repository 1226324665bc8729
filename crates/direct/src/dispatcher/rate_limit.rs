//! Rate limits that endpoints name in their responses.
//!
//! An endpoint that is short of capacity names the rate of requests that it accepts from all entries
//! together. The limit is in force until a later response comes without one. Each entry keeps to its
//! own share of it and tells the others of limits that were named to it. See
//! `docs/design/platform.md`, "Rate limits of endpoints".

use std::time::Duration;

use eelgrassramp::Monotonic;

use super::Dispatcher;
use super::incarnation_records::IncarnationRecords;
use super::peer_entries::RateShare;
use super::pool::EntryContext;
use crate::endpoint::Endpoint;
use crate::endpoint::IncarnationKey;
use crate::endpoint_tracker::EndpointTracker;

/// Lower bound of a limit, in requests per second; without requests an entry would not learn that
/// the limit has ended.
const MIN_PER_SECOND: f64 = 0.1;

/// Time by which requests may be ahead of their pace, so that some that arrive together do not wait
/// for the next tick.
const BURST_TIME: Duration = Duration::from_millis(100);

/// Time after an endpoint named a limit in which messages to other entries list it.
const SHARE_DURATION: Duration = Duration::from_secs(5);

/// Time after a response ended a limit in which messages to other entries list this.
const END_SHARE_DURATION: Duration = Duration::from_secs(2);

/// Time after an endpoint named a limit to this entry in which it does not end because of another
/// entry's report, which may be about an earlier limit.
const MIN_NAMED_TIME: Duration = Duration::from_secs(1);

/// Time without news of a limit after which an entry on standby sends requests: the senders have
/// sent none, or the limit has ended.
const STANDBY_DELAY: Duration = Duration::from_secs(10);

/// What an endpoint said about its rate limit to one entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimitReport {
    /// The endpoint.
    pub endpoint: IncarnationKey,
    /// Requests per second of all entries together; `None` if a limit has ended.
    pub per_second: Option<f64>,
}

#[derive(Debug, Clone, Copy, Default)]
struct RateLimitRecord {
    /// Requests per second of all entries together; `None` once the limit has ended.
    per_second: Option<f64>,
    /// When the endpoint last named the limit to this entry.
    named_at: Option<Monotonic>,
    /// A response ends the limit if its request was sent after this time.
    known_at: Monotonic,
    /// When the endpoint or another entry last named the limit.
    confirmed_at: Monotonic,
    /// When the limit ended.
    ended_at: Option<Monotonic>,
    /// Whether a response to this entry ended it.
    is_end_observed: bool,
    /// When the last request of this entry was due, according to the pace of its share; `None` if it
    /// has sent none.
    last_due: Option<Monotonic>,
}

impl RateLimitRecord {
    fn end(&mut self, now: Monotonic, is_observed: bool) {
        self.per_second = None;
        self.named_at = None;
        self.ended_at = Some(now);
        self.is_end_observed = is_observed;
    }

    /// Returns whether messages to other entries list the record.
    fn is_to_report(&self, now: Monotonic) -> bool {
        if self.per_second.is_some() {
            is_within(now, self.named_at, SHARE_DURATION)
        } else {
            self.is_end_observed && is_within(now, self.ended_at, END_SHARE_DURATION)
        }
    }
}

/// The rate limits of all endpoints known to one entry.
#[derive(Debug, Default)]
pub(super) struct RateLimits {
    records: IncarnationRecords<RateLimitRecord>,
}

impl RateLimits {
    /// Returns whether no endpoint has named a limit of late.
    fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the limit in force for an incarnation, in requests per second.
    pub(super) fn per_second(&self, key: IncarnationKey) -> Option<f64> {
        self.records.get(key)?.per_second
    }

    /// Returns whether this entry may send one more request to an endpoint.
    pub(super) fn allows(
        &self,
        now: Monotonic,
        tracker: &EndpointTracker,
        context: &EntryContext,
    ) -> bool {
        let not_before = self.earliest_dispatch(tracker, context);
        not_before.is_none_or(|at| at <= now + BURST_TIME)
    }

    /// Records that a request was granted an endpoint.
    pub(super) fn record_dispatch(
        &mut self,
        now: Monotonic,
        tracker: &EndpointTracker,
        context: &EntryContext,
    ) {
        if let Some(not_before) = self.earliest_dispatch(tracker, context) {
            let record = self.records.update(now, tracker.incarnation());
            record.last_due = Some(not_before.max(now));
        }
    }

    /// Returns when this entry may send its next request to an endpoint; `None` if that has no limit.
    fn earliest_dispatch(
        &self,
        tracker: &EndpointTracker,
        context: &EntryContext,
    ) -> Option<Monotonic> {
        let record = self.records.get(tracker.incarnation())?;
        let per_second = record.per_second?.max(MIN_PER_SECOND);
        let (resumes_at, interval) = match context.rate_share(tracker.endpoint(), per_second) {
            RateShare::Sender { interval } => (Monotonic::ZERO, interval),
            RateShare::Standby { interval, phase } => {
                let delay = STANDBY_DELAY + interval.mul_f64(phase);
                (record.confirmed_at + delay, interval)
            }
        };
        let next_due = record.last_due.map_or(Monotonic::ZERO, |at| at + interval);
        Some(next_due.max(resumes_at))
    }

    /// Records a limit that the endpoint named to this entry; returns whether it was another one
    /// before.
    fn set_named(&mut self, now: Monotonic, key: IncarnationKey, per_second: f64) -> bool {
        let record = self.records.update(now, key);
        record.named_at = Some(now);
        record.known_at = now;
        record.confirmed_at = now;
        record.per_second.replace(per_second) != Some(per_second)
    }

    /// Records a limit that an endpoint named to another entry; returns whether none was in force
    /// before.
    ///
    /// What the endpoint said to this entry itself of late goes before it.
    fn set_reported(&mut self, now: Monotonic, key: IncarnationKey, per_second: f64) -> bool {
        let known = self.records.get(key).copied().unwrap_or_default();
        if is_within(now, known.ended_at, SHARE_DURATION) {
            return false;
        }
        let record = self.records.update(now, key);
        record.confirmed_at = now;
        if is_within(now, known.named_at, SHARE_DURATION) {
            return false;
        }
        record.per_second = Some(per_second);
        if known.per_second.is_none() {
            record.known_at = now;
        }
        known.per_second.is_none()
    }

    /// Records that a limit ended for another entry; returns whether this ends it here.
    fn end_reported(&mut self, now: Monotonic, key: IncarnationKey) -> bool {
        let known = self.records.get(key).copied().unwrap_or_default();
        if known.per_second.is_none() || is_within(now, known.named_at, MIN_NAMED_TIME) {
            return false;
        }
        self.records.update(now, key).end(now, false);
        true
    }

    /// Records a response without a limit to a request sent at `sent_at`; returns whether this ends
    /// a limit.
    ///
    /// Responses on different connections may overtake each other, so only a request sent after the
    /// limit was known proves that it has ended.
    fn end(&mut self, now: Monotonic, key: IncarnationKey, sent_at: Monotonic) -> bool {
        let current = self.records.get(key).copied().unwrap_or_default();
        if current.per_second.is_none() || sent_at <= current.known_at {
            return false;
        }
        self.records.update(now, key).end(now, true);
        true
    }

    /// Returns what endpoints recently said about their limits to this entry.
    fn recent_reports(&self, now: Monotonic) -> Vec<RateLimitReport> {
        let recent = self
            .records
            .iter()
            .filter(|(_, record)| record.is_to_report(now));
        recent
            .map(|(endpoint, record)| RateLimitReport {
                endpoint,
                per_second: record.per_second,
            })
            .collect()
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
        if self.rate_limits.is_empty() {
            return false;
        }
        let key = IncarnationKey::from(endpoint);
        self.rate_limits.end(now, key, sent_at)
    }

    /// Returns what messages to other entries list: what endpoints recently said about their rate
    /// limits to this entry.
    #[must_use]
    pub fn rate_limits_to_share(&self, now: Monotonic) -> Vec<RateLimitReport> {
        self.rate_limits.recent_reports(now)
    }

    /// Applies what endpoints said about their rate limits to another entry, and returns the reports
    /// that changed whether a limit is in force.
    pub fn apply_rate_limit_reports(
        &mut self,
        now: Monotonic,
        reports: &[RateLimitReport],
    ) -> Vec<RateLimitReport> {
        let mut applied = reports.to_vec();
        applied.retain(|report| match report.per_second {
            Some(rate) => self.rate_limits.set_reported(now, report.endpoint, rate),
            None => self.rate_limits.end_reported(now, report.endpoint),
        });
        applied
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

/// Returns whether `at` is less than `period` before `now`.
fn is_within(now: Monotonic, at: Option<Monotonic>, period: Duration) -> bool {
    at.is_some_and(|at| now.since(at) < period)
}
