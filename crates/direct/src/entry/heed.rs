//! What endpoints ask for with their answers, and what other entries were told.

use std::collections::BTreeSet;

use eelgrassramp::DomainName;
use eelgrassramp::EntryName;
use eelgrassramp::num::millis;
use slog::info;
use slog::warn;

use super::Entry;
use crate::dispatcher::MAX_PAUSE;
use crate::endpoint::Endpoint;
use crate::endpoint::IncarnationKey;
use crate::journal::LineKind;
use crate::protocol::AnswerHead;
use crate::protocol::Pause;

impl Entry {
    /// Heeds what an endpoint asked for with an answer.
    pub(crate) fn heed(&self, endpoint: &Endpoint, head: &AnswerHead) {
        if head.is_leaving {
            self.leave(endpoint);
        }
        if let Some(pause) = head.pause {
            self.pause(endpoint, pause);
        }
        if let Some(left) = head.cold {
            let now = self.cx.timers.now();
            self.lock().dispatcher.set_cold_for(now, endpoint, left);
        }
    }

    /// Takes in the failure domains that the operator wants to get nothing.
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
        self.pump();
    }

    /// Tells whether new work may still be sent to an endpoint that was chosen.
    pub(crate) fn takes_work(&self, endpoint: &Endpoint) -> bool {
        let now = self.cx.timers.now();
        self.lock().dispatcher.accepts_requests(now, endpoint)
    }

    /// Takes in which endpoints told another entry that they leave.
    pub(super) fn hear_leaving(&self, entry: &EntryName, leaving: &[IncarnationKey]) {
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

    /// Counts bytes that belong to no request against the endpoints that sent them.
    pub(super) fn blame_strays(&self) {
        for (endpoint, address) in self.connections.take_strays() {
            let now = self.cx.timers.now();
            self.lock()
                .dispatcher
                .record_protocol_error(&endpoint, address);
            if self.log_budget.allows(now, LineKind::Endpoint) {
                info!(self.cx.log, "bytes that belong to no request, connection closed";
                    "endpoint" => endpoint.as_str());
            }
        }
    }

    fn leave(&self, endpoint: &Endpoint) {
        let now = self.cx.timers.now();
        if !self.lock().dispatcher.mark_draining(now, endpoint) {
            return;
        }
        self.connections.close_idle(endpoint);
        info!(self.cx.log, "endpoint leaves, it gets nothing more";
            "endpoint" => endpoint.name.as_str(), "pool" => endpoint.pool.as_str());
    }

    fn pause(&self, endpoint: &Endpoint, pause: Pause) {
        let now = self.cx.timers.now();
        let Pause::For(pause) = pause else {
            if self.log_budget.allows(now, LineKind::Endpoint) {
                warn!(self.cx.log, "endpoint refused for a time that cannot be read, ignored";
                    "endpoint" => endpoint.name.as_str());
            }
            return;
        };
        let is_new = self.lock().dispatcher.pause_endpoint(now, endpoint, pause);
        if is_new && self.log_budget.allows(now, LineKind::Endpoint) {
            info!(self.cx.log, "endpoint wants nothing for a while";
                "endpoint" => endpoint.name.as_str(), "asked_ms" => millis(pause),
                "in_force_ms" => millis(pause.min(MAX_PAUSE)));
        }
    }
}
