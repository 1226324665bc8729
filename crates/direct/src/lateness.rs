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
    pub pause: Option<Duration>,
}

/// How a request went, as far as one entry saw it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestTimings {
    /// Time that the caller had certainly waited before it came here.
    pub waited_before: Duration,
    /// Endpoints that had the request before the one that answered.
    pub earlier_sends: u32,
    /// Time from its arrival here until it was sent.
    pub waited: Duration,
    /// Time from its arrival here to the first piece of the answer.
    pub first_piece: Duration,
    /// Longest pause between two pieces.
    pub longest_pause: Duration,
}

/// What made an answer late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LateCause {
    /// The caller was late when it came, as it had been refused before.
    CameBack,
    /// Another endpoint had it first.
    SentAgain,
    /// It waited here; the endpoint alone was quick enough.
    Waited,
    /// The endpoint was slow with the first piece.
    ReadLate,
    /// The endpoint paused between two pieces.
    Paused,
}

impl LateCause {
    /// Returns the name that logs and metrics use.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::CameBack => "came_back",
            Self::SentAgain => "sent_again",
            Self::Waited => "waited",
            Self::ReadLate => "read_late",
            Self::Paused => "paused",
        }
    }
}

impl RequestTimings {
    /// Returns why the answer was late; `None` when it was on time.
    #[must_use]
    pub fn lateness(&self, aim: LatencyObjective) -> Option<LateCause> {
        let is_late = self.waited_before + self.first_piece > aim.objective;
        if !is_late {
            let is_paused = aim.pause.is_some_and(|most| self.longest_pause > most);
            return is_paused.then_some(LateCause::Paused);
        }
        let read = self.first_piece.saturating_sub(self.waited);
        Some(if !self.waited_before.is_zero() {
            LateCause::CameBack
        } else if self.earlier_sends > 0 {
            LateCause::SentAgain
        } else if read <= aim.objective {
            LateCause::Waited
        } else {
            LateCause::ReadLate
        })
    }
}
