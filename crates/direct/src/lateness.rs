//! Why an answer came late, for the log and the metrics page.
//!
//! See `docs/OPERATIONS.md`, "Late answers".

use std::time::Duration;

/// What a route promises of its answers in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyObjective {
    /// Time from a caller's first try to the first event, or to a whole plain answer.
    pub objective: Duration,
    /// Longest pause between two events.
    pub max_pause: Option<Duration>,
}

/// How a request went, as far as one entry saw it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestTimings {
    /// Time that the caller had certainly waited before it came here.
    pub prior_wait: Duration,
    /// Endpoints that had the request before the one that answered.
    pub earlier_attempts: u32,
    /// Time from its arrival here until it was sent.
    pub queue_wait: Duration,
    /// Time from its arrival here to the first piece of the answer.
    pub first_piece: Duration,
    /// Longest pause between two pieces.
    pub longest_pause: Duration,
}

/// What made an answer late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LateCause {
    /// The caller was late when it came, as it had been refused before.
    CallerRetry,
    /// Another endpoint had it first.
    Redispatched,
    /// It waited here; the endpoint alone was quick enough.
    QueueWait,
    /// The endpoint was slow with the first piece.
    SlowFirstByte,
    /// The endpoint paused between two pieces.
    StreamPause,
}

impl LateCause {
    /// Returns the name that logs and metrics use.
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
    /// Returns why the answer was late; `None` when it was on time.
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
