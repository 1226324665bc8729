//! The log lines and counters that tell what became of each request.

use std::sync::Arc;

use eelgrassramp::Error;
use eelgrassramp::Monotonic;
use eelgrassramp::RouteName;
use slog::debug;
use slog::info;

use crate::dispatcher::Grant;
use crate::endpoint::Endpoint;
use crate::entry::Entry;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The endpoint's whole answer was passed on.
    Answered {
        /// Size of its body.
        bytes: u64,
        /// Pieces in which it came.
        pieces: u32,
    },
    /// The caller left before the end.
    CallerGone,
}

/// What is told of one request from its arrival to its end.
#[derive(Debug, Clone)]
pub(crate) struct Story {
    pub(crate) id: Arc<str>,
    pub(crate) route: RouteName,
    pub(crate) arrived: Monotonic,
}

impl Story {
    /// Tells that the request was admitted and where it goes.
    pub(crate) fn dispatched(&self, entry: &Entry, grant: &Grant, attempt: u32) {
        let waited = entry.cx().timers.now().since(self.arrived);
        debug!(entry.cx().log, "request dispatched";
            "request" => &*self.id, "route" => self.route.as_str(), "attempt" => attempt,
            "endpoint" => grant.endpoint.name.as_str(), "endpoint_busy" => grant.busy,
            "endpoint_slowness" => grant.slowness, "endpoint_avoided" => grant.avoided,
            "waited_ms" => millis(waited));
    }

    /// Tells that an endpoint did not give a whole answer.
    pub(crate) fn attempt_failed(&self, entry: &Entry, endpoint: &Endpoint, cause: &Error) {
        info!(entry.cx().log, "attempt failed";
            "request" => &*self.id, "route" => self.route.as_str(),
            "endpoint" => endpoint.name.as_str(), "kind" => %cause.kind(), "cause" => %cause,
            "after_ms" => millis(entry.cx().timers.now().since(self.arrived)));
    }

    /// Tells that the request got an error of this system.
    pub(crate) fn refused(&self, entry: &Entry, cause: &Error, waiting: usize) {
        let took = entry.cx().timers.now().since(self.arrived);
        entry.meters().count_error(cause.kind(), took);
        info!(entry.cx().log, "request refused";
            "request" => &*self.id, "route" => self.route.as_str(), "kind" => %cause.kind(),
            "cause" => %cause, "waiting" => waiting, "after_ms" => millis(took));
    }

    /// Tells how the request ended once its answer had begun.
    pub(crate) fn ended(&self, entry: &Entry, ending: Ending) {
        let took = entry.cx().timers.now().since(self.arrived);
        entry.meters().count_end(&self.route, ending, took);
        debug!(entry.cx().log, "request ended";
            "request" => &*self.id, "route" => self.route.as_str(),
            "ending" => ?ending, "after_ms" => millis(took));
    }
}

fn millis(d: std::time::Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
