//! Classifies why a response was late, for the log and the metrics page.
//!
//! See `docs/OPERATIONS.md`, "Late answers".

use std::time::Duration;

/// Latency objective of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyObjective {
    /// Time from a caller's first attempt to the first chunk of the response.
    pub objective: Duration,
    /// Maximum time between two chunks, each of which is taken for one event; `None` if it is not
    /// limited.
    pub max_gap: Option<Duration>,
}

/// Timings of one request as measured by one entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestTimings {
    /// Estimated time that the caller had waited before its request reached this entry.
    pub prior_wait: Duration,
    /// Number of attempts before this one, including failed connections.
    pub earlier_attempts: u32,
    /// Time from arrival at this entry until this attempt, including the time to read the request
    /// and that of earlier attempts.
    pub time_to_dispatch: Duration,
    /// Time from arrival at this entry to the first chunk of the response.
    pub first_chunk: Duration,
    /// Longest time between two chunks of the response.
    pub longest_gap: Duration,
}

/// Cause of a late response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LateCause {
    /// The caller had been refused before, and the objective counts from its first attempt.
    CallerRetry,
    /// An earlier attempt on another endpoint had failed.
    Redispatched,
    /// The request spent too long at this entry; the endpoint alone would have met the objective.
    QueueWait,
    /// The endpoint was slow to send the first chunk.
    SlowFirstChunk,
    /// The endpoint took too long between two chunks.
    StreamGap,
}

impl LateCause {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::CallerRetry => "came_back",
            Self::Redispatched => "sent_again",
            Self::QueueWait => "waited",
            Self::SlowFirstChunk => "read_late",
            Self::StreamGap => "paused",
        }
    }
}

impl RequestTimings {
    /// Returns why the response was late; `None` if it was on time.
    #[must_use]
    pub fn late_cause(&self, latency_objective: LatencyObjective) -> Option<LateCause> {
        let is_late = self.prior_wait + self.first_chunk > latency_objective.objective;
        if !is_late {
            let has_long_gap = latency_objective
                .max_gap
                .is_some_and(|most| self.longest_gap > most);
            return has_long_gap.then_some(LateCause::StreamGap);
        }
        let response_time = self.first_chunk.saturating_sub(self.time_to_dispatch);
        Some(if !self.prior_wait.is_zero() {
            LateCause::CallerRetry
        } else if self.earlier_attempts > 0 {
            LateCause::Redispatched
        } else if response_time <= latency_objective.objective {
            LateCause::QueueWait
        } else {
            LateCause::SlowFirstChunk
        })
    }
}
