//! Accounting for one attempt in flight, however it ends.

use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Error;
use eelgrassramp::Monotonic;

use crate::dispatcher::Grant;
use crate::endpoint::Endpoint;
use crate::endpoint::ReportedLoad;
use crate::endpoint_tracker::DispatchEnd;
use crate::entry::Entry;
use crate::lateness::LatencyObjective;
use crate::lateness::RequestTimings;
use crate::request_log::Ending;
use crate::request_log::RequestLog;

/// Time between two events at slowness 1.
const EVENT_INTERVAL_MS: f64 = 15.0;

/// Duration of a plain request at slowness 1.
const PLAIN_REQUEST_MS: f64 = 30.0;

/// Minimum time between two reports that an endpoint is still sending.
const PROGRESS_REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Time without data after which a caller that disconnects counts as a failure of the endpoint.
const SILENT_AFTER: Duration = Duration::from_millis(900);

/// Minimum number of pieces of a stream to compute its slowness from.
const MIN_PACE_PIECES: u32 = 4;

/// An attempt that occupies a slot of an endpoint; dropping it frees the slot.
pub(crate) struct InFlightAttempt {
    entry: Arc<Entry>,
    endpoint: Arc<Endpoint>,
    started_at: Monotonic,
    answered_at: Option<Monotonic>,
    latency_target: LatencyObjective,
    timings: RequestTimings,
    last_piece: Option<Monotonic>,
    pieces: u32,
    bytes: u64,
    is_stream: bool,
    has_ended: bool,
    progress_reported_at: Monotonic,
    pub(crate) record: RequestLog,
}

impl InFlightAttempt {
    /// Starts an attempt; `timings` holds the timings of the request so far.
    pub(crate) fn new(
        entry: Arc<Entry>,
        grant: &Grant,
        is_stream: bool,
        latency_target: LatencyObjective,
        timings: RequestTimings,
        record: RequestLog,
    ) -> Self {
        let started_at = entry.cx().timers.now();
        Self {
            latency_target,
            timings: RequestTimings {
                time_to_dispatch: started_at.since(record.arrived),
                ..timings
            },
            last_piece: None,
            entry,
            endpoint: Arc::clone(&grant.endpoint),
            started_at,
            answered_at: None,
            pieces: 0,
            bytes: 0,
            is_stream,
            has_ended: false,
            progress_reported_at: started_at,
            record,
        }
    }

    pub(crate) const fn endpoint(&self) -> &Arc<Endpoint> {
        &self.endpoint
    }

    /// Records that the response head arrived.
    pub(crate) fn answered(&mut self, load: Option<ReportedLoad>) {
        let now = self.entry.cx().timers.now();
        self.answered_at = Some(now);
        self.progress_reported_at = now;
        self.entry.record_response(&self.endpoint, load);
    }

    /// Records a piece of `n` bytes of the answer.
    pub(crate) fn count_bytes(&mut self, n: u64) {
        self.pieces += 1;
        self.bytes += n;
        let now = self.entry.cx().timers.now();
        match self.last_piece.replace(now) {
            None => self.timings.first_chunk = now.since(self.record.arrived),
            Some(before) => {
                let pause = now.since(before);
                self.timings.longest_gap = self.timings.longest_gap.max(pause);
            }
        }
        if now.since(self.progress_reported_at) > PROGRESS_REPORT_INTERVAL {
            self.progress_reported_at = now;
            self.entry.record_progress(&self.endpoint);
        }
    }

    /// Records that the whole answer arrived; `is_server_error` marks a failure of the endpoint.
    pub(crate) fn finish(&mut self, is_server_error: bool) {
        if self.has_ended {
            return;
        }
        if self.last_piece.is_none() {
            // An answer without a body is complete with its head.
            let now = self.entry.cx().timers.now();
            self.timings.first_chunk = now.since(self.record.arrived);
        }
        let outcome = if is_server_error {
            DispatchEnd::Failed
        } else {
            DispatchEnd::Served {
                slowness: self.slowness(),
            }
        };
        self.end(outcome);
        let ending = if is_server_error {
            Ending::EndpointFailed
        } else {
            Ending::Answered {
                bytes: self.bytes,
                pieces: self.pieces,
                course: self.timings,
                lateness: self.timings.late_cause(self.latency_target),
            }
        };
        self.record.ended(&self.entry, &self.endpoint, ending);
    }

    /// Records that the attempt ended without a complete answer.
    pub(crate) fn fail(&mut self, outcome: DispatchEnd, cause: &Error) {
        self.end(outcome);
        self.record
            .attempt_failed(&self.entry, &self.endpoint, cause);
    }

    fn slowness(&self) -> f64 {
        let now = self.entry.cx().timers.now();
        if !self.is_stream {
            return now.since(self.started_at).as_secs_f64() * 1_000.0 / PLAIN_REQUEST_MS;
        }
        let Some(answered) = self.answered_at.filter(|_| self.pieces >= MIN_PACE_PIECES) else {
            return f64::NAN;
        };
        let ms = now.since(answered).as_secs_f64() * 1_000.0;
        ms / f64::from(self.pieces) / EVENT_INTERVAL_MS
    }

    fn end(&mut self, outcome: DispatchEnd) {
        if !self.has_ended {
            self.has_ended = true;
            let route = &self.record.route;
            self.entry.record_completion(&self.endpoint, route, outcome);
        }
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        if !self.has_ended {
            let now = self.entry.cx().timers.now();
            let is_silent = now.since(self.progress_reported_at) > SILENT_AFTER;
            self.end(if is_silent {
                DispatchEnd::TimedOut
            } else {
                DispatchEnd::Neutral
            });
            self.record
                .ended(&self.entry, &self.endpoint, Ending::CallerGone);
        }
    }
}
