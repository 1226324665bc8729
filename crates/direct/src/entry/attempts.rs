//! Progress and ends of attempts at endpoints.

use std::time::Duration;

use eelgrassramp::RouteName;

use super::Entry;
use crate::endpoint::Endpoint;
use crate::endpoint::ReportedLoad;
use crate::endpoint_tracker::DispatchEnd;
use crate::work::RequestSize;

impl Entry {
    /// Records that the head of a response arrived, with the load that it reports.
    pub(crate) fn record_head_received(&self, endpoint: &Endpoint, load: Option<ReportedLoad>) {
        let now = self.cx.timers.now();
        self.lock()
            .dispatcher
            .record_response_head(now, endpoint, load);
    }

    /// Records that an endpoint sent part of a response.
    pub(crate) fn record_progress(&self, endpoint: &Endpoint) {
        let now = self.cx.timers.now();
        self.lock().dispatcher.record_activity(now, endpoint);
    }

    /// Records that a request of `size` was served in `elapsed`.
    pub(crate) fn record_slot_time(
        &self,
        endpoint: &Endpoint,
        size: RequestSize,
        elapsed: Duration,
    ) {
        self.lock()
            .dispatcher
            .record_slot_time(endpoint, size, elapsed);
    }

    /// Records how an attempt ended, which frees its slot at the endpoint.
    pub(crate) fn record_attempt_outcome(
        &self,
        endpoint: &Endpoint,
        route: &RouteName,
        outcome: DispatchEnd,
    ) {
        let now = self.cx.timers.now();
        let mut state = self.lock();
        state
            .dispatcher
            .record_outcome(now, endpoint, route, outcome);
        drop(state);
        self.dispatch_queued_requests();
    }
}
