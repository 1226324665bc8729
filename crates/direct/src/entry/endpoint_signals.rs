//! Signals that endpoints send with their responses: draining, backoff, rate limit and cold start.

use std::collections::BTreeSet;

use eelgrassramp::DomainName;
use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;
use eelgrassramp::num::millis;
use slog::info;
use slog::warn;

use super::Entry;
use crate::dispatcher::MAX_ENDPOINT_BACKOFF;
use crate::dispatcher::RateLimitReport;
use crate::endpoint::Endpoint;
use crate::endpoint::IncarnationKey;
use crate::protocol::Backoff;
use crate::protocol::RateLimit;
use crate::protocol::ResponseHead;
use crate::request_log::LogLineKind;

impl Entry {
    /// Applies the signals in the head of an endpoint's response.
    pub(crate) fn apply_endpoint_signals(&self, endpoint: &Endpoint, head: &ResponseHead) {
        if head.is_draining {
            self.record_draining(endpoint);
        }
        if let Some(backoff) = head.backoff {
            self.record_backoff(endpoint, backoff);
        }
        if let Some(limit) = head.rate_limit {
            self.record_rate_limit(endpoint, limit);
        }
        if let Some(left) = head.cold_left {
            let now = self.cx.timers.now();
            self.lock().dispatcher.set_cold_for(now, endpoint, left);
        }
    }

    /// Records that an endpoint answered a request sent at `sent_at` successfully without naming a
    /// rate limit.
    pub(crate) fn record_no_rate_limit(&self, endpoint: &Endpoint, sent_at: Monotonic) {
        let now = self.cx.timers.now();
        let mut state = self.lock();
        let has_ended = state.dispatcher.end_rate_limit(now, endpoint, sent_at);
        drop(state);
        if has_ended && self.log_limiter.allows(now, LogLineKind::Endpoint) {
            info!(self.cx.log, "endpoint names no rate limit any more";
                "endpoint" => endpoint.name.as_str());
        }
    }

    /// Replaces the set of failure domains that the operator evacuated; their endpoints receive no new
    /// requests.
    pub fn set_evacuated(&self, evacuated: &BTreeSet<DomainName>) {
        let mut state = self.lock();
        let before = state.dispatcher.evacuated_domains().clone();
        state.dispatcher.set_evacuated_domains(evacuated.clone());
        drop(state);
        for domain in evacuated.difference(&before) {
            info!(self.cx.log, "failure domain emptied, its endpoints get nothing more";
                "domain" => domain.as_str());
        }
        for domain in before.difference(evacuated) {
            info!(self.cx.log, "failure domain in use again"; "domain" => domain.as_str());
        }
        self.dispatch_queued_requests();
    }

    /// Returns whether the endpoint still accepts requests after a grant: it reported no draining, did
    /// not ask for a backoff and is not evacuated. Its announced state is not considered.
    pub(crate) fn accepts_new_requests(&self, endpoint: &Endpoint) -> bool {
        let now = self.cx.timers.now();
        self.lock().dispatcher.is_unrestricted(now, endpoint)
    }

    /// Applies a peer's list of endpoints that told it in a response that they are draining.
    pub(super) fn apply_peer_draining_list(&self, entry: &EntryName, draining: &[IncarnationKey]) {
        if draining.is_empty() {
            return;
        }
        let now = self.cx.timers.now();
        let newly_draining = self.lock().dispatcher.apply_peer_draining(now, draining);
        for endpoint in newly_draining {
            self.connections.close_idle(&endpoint);
            info!(self.cx.log, "endpoint leaves, another entry was told";
                "endpoint" => endpoint.name.as_str(), "entry" => entry.as_str());
        }
    }

    /// Applies what endpoints told a peer about their rate limits.
    pub(super) fn apply_rate_limit_reports(&self, entry: &EntryName, reports: &[RateLimitReport]) {
        if reports.is_empty() {
            return;
        }
        let now = self.cx.timers.now();
        let mut state = self.lock();
        let applied = state.dispatcher.apply_rate_limit_reports(now, reports);
        drop(state);
        if applied.is_empty() {
            return;
        }
        for endpoint in self.endpoints().iter() {
            let key = IncarnationKey::from(&**endpoint);
            let report = applied.iter().find(|report| report.endpoint == key);
            if let Some(report) =
                report.filter(|_| self.log_limiter.allows(now, LogLineKind::Endpoint))
            {
                info!(self.cx.log, "endpoint told another entry about its rate limit";
                    "endpoint" => endpoint.name.as_str(), "entry" => entry.as_str(),
                    "per_second" => report.per_second);
            }
        }
    }

    /// Counts data that belongs to no request as a failure of the endpoint that sent it.
    pub(super) fn penalize_unsolicited_data(&self) {
        for (endpoint, address) in self.connections.take_unsolicited_senders() {
            let now = self.cx.timers.now();
            self.lock()
                .dispatcher
                .record_protocol_error(&endpoint, address);
            if self.log_limiter.allows(now, LogLineKind::Endpoint) {
                info!(self.cx.log, "bytes that belong to no request, connection closed";
                    "endpoint" => endpoint.as_str());
            }
        }
    }

    fn record_draining(&self, endpoint: &Endpoint) {
        let now = self.cx.timers.now();
        if !self.lock().dispatcher.mark_draining(now, endpoint) {
            return;
        }
        self.connections.close_idle(endpoint);
        info!(self.cx.log, "endpoint leaves, it gets nothing more";
            "endpoint" => endpoint.name.as_str(), "pool" => endpoint.pool.as_str());
    }

    fn record_backoff(&self, endpoint: &Endpoint, backoff: Backoff) {
        let now = self.cx.timers.now();
        let Backoff::For(duration) = backoff else {
            if self.log_limiter.allows(now, LogLineKind::Endpoint) {
                warn!(self.cx.log, "endpoint refused for a time that cannot be read, ignored";
                    "endpoint" => endpoint.name.as_str());
            }
            return;
        };
        let is_new = self.lock().dispatcher.back_off(now, endpoint, duration);
        if is_new && self.log_limiter.allows(now, LogLineKind::Endpoint) {
            info!(self.cx.log, "endpoint wants nothing for a while";
                "endpoint" => endpoint.name.as_str(), "asked_ms" => millis(duration),
                "in_force_ms" => millis(duration.min(MAX_ENDPOINT_BACKOFF)));
        }
    }

    fn record_rate_limit(&self, endpoint: &Endpoint, limit: RateLimit) {
        let now = self.cx.timers.now();
        let RateLimit::PerSecond(per_second) = limit else {
            if self.log_limiter.allows(now, LogLineKind::Endpoint) {
                warn!(self.cx.log, "endpoint named a rate limit that cannot be read, ignored";
                    "endpoint" => endpoint.name.as_str());
            }
            return;
        };
        let mut state = self.lock();
        let is_changed = state.dispatcher.set_rate_limit(now, endpoint, per_second);
        drop(state);
        if is_changed && self.log_limiter.allows(now, LogLineKind::Endpoint) {
            info!(self.cx.log, "endpoint named a rate limit";
                "endpoint" => endpoint.name.as_str(), "pool" => endpoint.pool.as_str(),
                "per_second" => per_second);
        }
    }
}
