//! One dispatch in flight: accounts for it until it ends, however it ends.

use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Error;
use eelgrassramp::Monotonic;

use crate::dispatcher::Grant;
use crate::endpoint::Endpoint;
use crate::endpoint::ReportedLoad;
use crate::endpoint_tracker::Outcome;
use crate::entry::Entry;
use crate::journal::Ending;
use crate::journal::Story;
use crate::lateness::LatencyObjective;
use crate::lateness::RequestTimings;

/// Time between two events at slowness 1, in milliseconds.
const EVENT_MS: f64 = 15.0;

/// Time of a plain request at slowness 1, in milliseconds.
const PLAIN_MS: f64 = 30.0;

/// Time between two notes that an endpoint is still sending.
const TELL_PERIOD: Duration = Duration::from_millis(150);

/// Silence after which a caller that leaves speaks against the endpoint.
const LOST_AFTER: Duration = Duration::from_millis(900);

/// Pieces of a stream from which its pace is told.
const MIN_PIECES: u32 = 4;

/// A dispatch that holds a place at an endpoint; dropping it frees the place.
pub(crate) struct Flight {
    entry: Arc<Entry>,
    endpoint: Arc<Endpoint>,
    started: Monotonic,
    answered: Option<Monotonic>,
    aim: LatencyObjective,
    course: RequestTimings,
    last_piece: Option<Monotonic>,
    pieces: u32,
    bytes: u64,
    is_stream: bool,
    is_over: bool,
    told_at: Monotonic,
    pub(crate) story: Story,
}

impl Flight {
    /// Begins the dispatch of a request that `course` tells of up to now.
    pub(crate) fn new(
        entry: Arc<Entry>,
        grant: &Grant,
        is_stream: bool,
        aim: LatencyObjective,
        course: RequestTimings,
        story: Story,
    ) -> Self {
        let started = entry.cx().timers.now();
        Self {
            aim,
            course: RequestTimings {
                queue_wait: started.since(story.arrived),
                ..course
            },
            last_piece: None,
            entry,
            endpoint: Arc::clone(&grant.endpoint),
            started,
            answered: None,
            pieces: 0,
            bytes: 0,
            is_stream,
            is_over: false,
            told_at: started,
            story,
        }
    }

    pub(crate) const fn endpoint(&self) -> &Arc<Endpoint> {
        &self.endpoint
    }

    /// Notes that the head of the answer came.
    pub(crate) fn answered(&mut self, load: Option<ReportedLoad>) {
        let now = self.entry.cx().timers.now();
        self.answered = Some(now);
        self.told_at = now;
        self.entry.answered(&self.endpoint, load);
    }

    /// Counts a piece of the answer.
    pub(crate) fn count_bytes(&mut self, n: u64) {
        self.pieces += 1;
        self.bytes += n;
        let now = self.entry.cx().timers.now();
        match self.last_piece.replace(now) {
            None => self.course.first_piece = now.since(self.story.arrived),
            Some(before) => {
                let pause = now.since(before);
                self.course.longest_pause = self.course.longest_pause.max(pause);
            }
        }
        if now.since(self.told_at) > TELL_PERIOD {
            self.told_at = now;
            self.entry.heard(&self.endpoint);
        }
    }

    /// Notes that the whole answer came; `is_failure` tells that it is the endpoint's failure.
    pub(crate) fn finish(&mut self, is_failure: bool) {
        if self.is_over {
            return;
        }
        if self.last_piece.is_none() {
            // An answer without a body has come with its head.
            let now = self.entry.cx().timers.now();
            self.course.first_piece = now.since(self.story.arrived);
        }
        let outcome = if is_failure {
            Outcome::Failed
        } else {
            Outcome::Served {
                slowness: self.slowness(),
            }
        };
        self.end(outcome);
        let ending = if is_failure {
            Ending::EndpointFailed
        } else {
            Ending::Answered {
                bytes: self.bytes,
                pieces: self.pieces,
                course: self.course,
                lateness: self.course.late_cause(self.aim),
            }
        };
        self.story.ended(&self.entry, &self.endpoint, ending);
    }

    /// Notes that the dispatch ended without a whole answer.
    pub(crate) fn fail(&mut self, outcome: Outcome, cause: &Error) {
        self.end(outcome);
        self.story
            .attempt_failed(&self.entry, &self.endpoint, cause);
    }

    fn slowness(&self) -> f64 {
        let now = self.entry.cx().timers.now();
        if !self.is_stream {
            return now.since(self.started).as_secs_f64() * 1_000.0 / PLAIN_MS;
        }
        let Some(answered) = self.answered.filter(|_| self.pieces >= MIN_PIECES) else {
            return f64::NAN;
        };
        let ms = now.since(answered).as_secs_f64() * 1_000.0;
        ms / f64::from(self.pieces) / EVENT_MS
    }

    fn end(&mut self, outcome: Outcome) {
        if !self.is_over {
            self.is_over = true;
            let route = &self.story.route;
            self.entry.ended(&self.endpoint, route, outcome);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if !self.is_over {
            let now = self.entry.cx().timers.now();
            let is_silent = now.since(self.told_at) > LOST_AFTER;
            self.end(if is_silent {
                Outcome::TimedOut
            } else {
                Outcome::Neutral
            });
            self.story
                .ended(&self.entry, &self.endpoint, Ending::CallerGone);
        }
    }
}
