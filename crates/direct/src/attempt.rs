//! Tracks one attempt from the grant of an endpoint to its end, however it ends.

use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Monotonic;

use crate::crash_attribution::UNSUSPECTED_CHUNKS;
use crate::dispatcher::Grant;
use crate::endpoint::Endpoint;
use crate::endpoint::ReportedLoad;
use crate::endpoint_tracker::DispatchEnd;
use crate::entry::Entry;
use crate::lateness::LatencyObjective;
use crate::lateness::RequestTimings;
use crate::request_log::Ending;
use crate::request_log::RequestLogContext;
use crate::work::RequestSize;

/// Time between two chunks of a stream at slowness 1, on the assumption of one event per chunk.
const CHUNK_INTERVAL_MS: f64 = 15.0;

/// Duration of a plain request at slowness 1.
const PLAIN_REQUEST_MS: f64 = 30.0;

/// Minimum time between two reports that an endpoint is still sending.
const PROGRESS_REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Time without data from an endpoint after which a disconnect of the caller counts as a failure of
/// the endpoint.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(900);

/// Minimum number of chunks of a stream to compute its slowness from.
const MIN_SLOWNESS_CHUNKS: u32 = 4;

/// An attempt that occupies a slot of an endpoint; dropping it frees the slot.
pub(crate) struct InFlightAttempt {
    entry: Arc<Entry>,
    endpoint: Arc<Endpoint>,
    started_at: Monotonic,
    head_received_at: Option<Monotonic>,
    objective: LatencyObjective,
    timings: RequestTimings,
    last_chunk_at: Option<Monotonic>,
    chunks: u32,
    bytes: u64,
    is_stream: bool,
    size: RequestSize,
    has_ended: bool,
    progress_reported_at: Monotonic,
    pub(crate) request_log: RequestLogContext,
}

impl InFlightAttempt {
    /// Starts an attempt; `timings` holds the timings of the request so far.
    pub(crate) fn new(
        entry: Arc<Entry>,
        grant: &Grant,
        is_stream: bool,
        objective: LatencyObjective,
        timings: RequestTimings,
        request_log: RequestLogContext,
    ) -> Self {
        let started_at = entry.cx().timers.now();
        Self {
            objective,
            timings: RequestTimings {
                time_to_dispatch: started_at.since(request_log.arrived),
                ..timings
            },
            last_chunk_at: None,
            entry,
            endpoint: Arc::clone(&grant.endpoint),
            started_at,
            head_received_at: None,
            chunks: 0,
            bytes: 0,
            is_stream,
            size: grant.size,
            has_ended: false,
            progress_reported_at: started_at,
            request_log,
        }
    }

    pub(crate) const fn endpoint(&self) -> &Arc<Endpoint> {
        &self.endpoint
    }

    /// Returns the time at which the attempt started, which is before the request was sent.
    pub(crate) const fn started_at(&self) -> Monotonic {
        self.started_at
    }

    /// Records that the response head arrived.
    pub(crate) fn head_received(&mut self, load: Option<ReportedLoad>) {
        let now = self.entry.cx().timers.now();
        self.head_received_at = Some(now);
        self.progress_reported_at = now;
        self.entry.record_head_received(&self.endpoint, load);
    }

    /// Records a chunk of `n` bytes of the response.
    pub(crate) fn count_chunk(&mut self, n: u64) {
        self.chunks += 1;
        if self.chunks == UNSUSPECTED_CHUNKS {
            self.entry
                .record_prompt_success(&self.request_log.suspect_parts);
        }
        self.bytes += n;
        let now = self.entry.cx().timers.now();
        match self.last_chunk_at.replace(now) {
            None => self.timings.first_chunk = now.since(self.request_log.arrived),
            Some(before) => {
                let gap = now.since(before);
                self.timings.longest_gap = self.timings.longest_gap.max(gap);
            }
        }
        if now.since(self.progress_reported_at) > PROGRESS_REPORT_INTERVAL {
            self.progress_reported_at = now;
            self.entry.record_progress(&self.endpoint);
        }
    }

    /// Records that the whole response arrived; `is_server_error` marks a failure of the endpoint.
    pub(crate) fn finish(&mut self, is_server_error: bool) {
        if self.has_ended {
            return;
        }
        if self.last_chunk_at.is_none() {
            // A response without a body is complete with its head.
            let now = self.entry.cx().timers.now();
            self.timings.first_chunk = now.since(self.request_log.arrived);
        }
        let outcome = if is_server_error {
            DispatchEnd::Failed
        } else {
            DispatchEnd::Served {
                slowness: self.slowness(),
            }
        };
        if !is_server_error {
            let now = self.entry.cx().timers.now();
            let elapsed = now.since(self.started_at);
            self.entry
                .record_slot_time(&self.endpoint, self.size, elapsed);
        }
        self.end(outcome);
        if !is_server_error {
            self.entry
                .record_prompt_success(&self.request_log.suspect_parts);
        }
        let ending = if is_server_error {
            Ending::EndpointFailed
        } else {
            Ending::Completed {
                bytes: self.bytes,
                chunks: self.chunks,
                timings: self.timings,
                late_cause: self.timings.late_cause(self.objective),
            }
        };
        self.request_log.ended(&self.entry, &self.endpoint, ending);
    }

    /// Records that the attempt ended without a complete response.
    pub(crate) fn fail(&mut self, outcome: DispatchEnd, cause: &Error) {
        self.end(outcome);
        self.record_loss(outcome, cause);
        self.request_log
            .attempt_failed(&self.entry, &self.endpoint, cause, self.chunks);
    }

    /// Records the prompt as a possible cause if the endpoint broke the connection off when it may have
    /// been beginning to respond.
    fn record_loss(&self, outcome: DispatchEnd, cause: &Error) {
        let was_sent = cause.kind() != Kind::ConnectFailed;
        let was_beginning = self.chunks < UNSUSPECTED_CHUNKS;
        if matches!(outcome, DispatchEnd::Disconnected) && was_sent && was_beginning {
            self.entry
                .record_loss(&self.endpoint, &self.request_log.suspect_parts);
        }
    }

    fn slowness(&self) -> f64 {
        let now = self.entry.cx().timers.now();
        if !self.is_stream {
            return now.since(self.started_at).as_secs_f64() * 1_000.0 / PLAIN_REQUEST_MS;
        }
        let Some(head_received) = self
            .head_received_at
            .filter(|_| self.chunks >= MIN_SLOWNESS_CHUNKS)
        else {
            return f64::NAN;
        };
        let ms = now.since(head_received).as_secs_f64() * 1_000.0;
        ms / f64::from(self.chunks) / CHUNK_INTERVAL_MS
    }

    fn end(&mut self, outcome: DispatchEnd) {
        if !self.has_ended {
            self.has_ended = true;
            let route = &self.request_log.route;
            self.entry
                .record_attempt_outcome(&self.endpoint, route, outcome);
        }
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        if !self.has_ended {
            let now = self.entry.cx().timers.now();
            let is_unresponsive = now.since(self.progress_reported_at) > UNRESPONSIVE_AFTER;
            self.end(if is_unresponsive {
                DispatchEnd::TimedOut
            } else {
                DispatchEnd::Neutral
            });
            self.request_log
                .ended(&self.entry, &self.endpoint, Ending::CallerGone);
        }
    }
}
