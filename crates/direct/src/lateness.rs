//! Classifies why a response was late, for the log and the metrics page.
//!
//! See `docs/OPERATIONS.md`, "Late answers".

use std::time::Duration;

/// Latency objective of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyObjective {
    /// Time from a caller's first attempt to the first event, or to a complete response if it is
    /// not streamed.
    pub objective: Duration,
    /// Maximum pause between two events.
    pub max_pause: Option<Duration>,
}

/// Timings of one request as measured by one entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestTimings {
    /// Minimum time that the caller had waited before it reached this entry.
    pub prior_wait: Duration,
    /// Number of endpoints that received the request before the one that answered.
    pub earlier_attempts: u32,
    /// Time from arrival at this entry until the request was sent.
    pub queue_wait: Duration,
    /// Time from arrival at this entry to the first piece of the response.
    pub first_piece: Duration,
    /// Longest pause between two pieces of the response.
    pub longest_pause: Duration,
}

/// Cause of a late response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LateCause {
    /// The caller had been refused before, and the objective counts from its first attempt.
    CallerRetry,
    /// The request had been sent to another endpoint before.
    Redispatched,
    /// The request was queued at this entry; the endpoint alone would have met the objective.
    QueueWait,
    /// The endpoint was slow to send the first piece.
    SlowFirstByte,
    /// The endpoint paused too long between two pieces.
    StreamPause,
}

impl LateCause {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::CallerRetry => "came_back",
            Self::Redispatched => "sent_again",
            Self::QueueWait => "waited",
            Self::SlowFirstByte => "read_late",
            Self::StreamPause => "paused",
        }
    }
}

impl RequestTimings {
    /// Returns why the response was late; `None` if it was on time.
    #[must_use]
    pub fn late_cause(&self, target: LatencyObjective) -> Option<LateCause> {
        let is_late = self.prior_wait + self.first_piece > target.objective;
        if !is_late {
            let has_long_pause = target
                .max_pause
                .is_some_and(|most| self.longest_pause > most);
            return has_long_pause.then_some(LateCause::StreamPause);
        }
        let response_time = self.first_piece.saturating_sub(self.queue_wait);
        Some(if !self.prior_wait.is_zero() {
            LateCause::CallerRetry
        } else if self.earlier_attempts > 0 {
            LateCause::Redispatched
        } else if response_time <= target.objective {
            LateCause::QueueWait
        } else {
            LateCause::SlowFirstByte
        })
    }
}
