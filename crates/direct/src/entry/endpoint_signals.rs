//! Signals that endpoints send with their responses: leaving, pausing and cold start.

use std::collections::BTreeSet;

use eelgrassramp::DomainName;
use eelgrassramp::EntryName;
use eelgrassramp::num::millis;
use slog::info;
use slog::warn;

use super::Entry;
use crate::dispatcher::MAX_ENDPOINT_BACKOFF;
use crate::endpoint::Endpoint;
use crate::endpoint::IncarnationKey;
use crate::protocol::Backoff;
use crate::protocol::ResponseHead;
use crate::request_log::LogLineKind;

impl Entry {
    /// Applies the signals in the head of an endpoint's response.
    pub(crate) fn apply_endpoint_signals(&self, endpoint: &Endpoint, head: &ResponseHead) {
        if head.is_draining {
            self.record_leaving(endpoint);
        }
        if let Some(pause) = head.backoff {
            self.record_pause(endpoint, pause);
        }
        if let Some(left) = head.cold_left {
            let now = self.cx.timers.now();
            self.lock().dispatcher.set_cold_for(now, endpoint, left);
        }
    }

    /// Replaces the set of emptied failure domains, whose endpoints receive no new requests on the
    /// operator's order.
    pub fn set_emptied(&self, emptied: &BTreeSet<DomainName>) {
        let mut state = self.lock();
        let before = state.dispatcher.evacuated_domains().clone();
        state.dispatcher.set_evacuated_domains(emptied.clone());
        drop(state);
        for domain in emptied.difference(&before) {
            info!(self.cx.log, "failure domain emptied, its endpoints get nothing more";
                "domain" => domain.as_str());
        }
        for domain in before.difference(emptied) {
            info!(self.cx.log, "failure domain in use again"; "domain" => domain.as_str());
        }
        self.dispatch_waiting();
    }

    /// Returns whether a chosen endpoint still accepts new requests.
    pub(crate) fn accepts_new_requests(&self, endpoint: &Endpoint) -> bool {
        let now = self.cx.timers.now();
        self.lock().dispatcher.is_unrestricted(now, endpoint)
    }

    /// Applies another entry's list of endpoints that announced to it that they are leaving.
    pub(super) fn apply_peer_leaving(&self, entry: &EntryName, leaving: &[IncarnationKey]) {
        if leaving.is_empty() {
            return;
        }
        let now = self.cx.timers.now();
        let left = self.lock().dispatcher.apply_peer_draining(now, leaving);
        for endpoint in left {
            self.connections.close_idle(&endpoint);
            info!(self.cx.log, "endpoint leaves, another entry was told";
                "endpoint" => endpoint.name.as_str(), "entry" => entry.as_str());
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

    fn record_leaving(&self, endpoint: &Endpoint) {
        let now = self.cx.timers.now();
        if !self.lock().dispatcher.mark_draining(now, endpoint) {
            return;
        }
        self.connections.close_idle(endpoint);
        info!(self.cx.log, "endpoint leaves, it gets nothing more";
            "endpoint" => endpoint.name.as_str(), "pool" => endpoint.pool.as_str());
    }

    fn record_pause(&self, endpoint: &Endpoint, pause: Backoff) {
        let now = self.cx.timers.now();
        let Backoff::For(pause) = pause else {
            if self.log_limiter.allows(now, LogLineKind::Endpoint) {
                warn!(self.cx.log, "endpoint refused for a time that cannot be read, ignored";
                    "endpoint" => endpoint.name.as_str());
            }
            return;
        };
        let is_new = self.lock().dispatcher.back_off(now, endpoint, pause);
        if is_new && self.log_limiter.allows(now, LogLineKind::Endpoint) {
            info!(self.cx.log, "endpoint wants nothing for a while";
                "endpoint" => endpoint.name.as_str(), "asked_ms" => millis(pause),
                "in_force_ms" => millis(pause.min(MAX_ENDPOINT_BACKOFF)));
        }
    }
}
