//! Outlier ejection of failing endpoints, and their gradual return to service.

use std::time::Duration;

use crate::time::Monotonic;

/// Consecutive failures after which an endpoint is ejected.
const EJECT_AFTER_FAILURES: u32 = 4;

const FIRST_EJECTION: Duration = Duration::from_secs(2);
const MAX_EJECTION: Duration = Duration::from_mins(1);

/// Slow-start period over which an endpoint regains its full share after an ejection.
const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// Factor applied to the expected completion time right after an ejection ends.
const RECOVERY_PENALTY: f64 = 4.0;

/// Time for which an unreachable endpoint gets no work, unless it answers a report earlier.
const UNREACHABLE_TIME: Duration = Duration::from_millis(1_500);

/// Result of a dispatch as it affects the health of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response was received.
    Success,
    /// The endpoint failed the request.
    Failure,
    /// The sidecar could not be reached or stopped responding.
    Unreachable,
    /// Says nothing about the endpoint's health, such as a refusal or a caller disconnect.
    Neutral,
}

/// The health of one endpoint as observed by this entry.
#[derive(Debug, Clone, Default)]
pub(super) struct Health {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Monotonic>,
    unreachable_until: Option<Monotonic>,
}

impl Health {
    /// Records one outcome; `may_eject` is false when the cap on ejected endpoints is reached.
    pub fn record(&mut self, now: Monotonic, outcome: Outcome, may_eject: bool) {
        match outcome {
            Outcome::Success => {
                self.consecutive_failures = 0;
                self.unreachable_until = None;
            }
            Outcome::Failure => self.record_failure(now, may_eject),
            Outcome::Unreachable => {
                self.unreachable_until = Some(now + UNREACHABLE_TIME);
                self.record_failure(now, may_eject);
            }
            Outcome::Neutral => {}
        }
    }

    /// Clears the unreachable state after an answered report.
    pub fn mark_reachable(&mut self) {
        self.unreachable_until = None;
    }

    pub fn is_unreachable(&self, now: Monotonic) -> bool {
        self.unreachable_until.is_some_and(|until| now < until)
    }

    pub fn is_ejected(&self, now: Monotonic) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the factor on the expected completion time; 1 for an endpoint in full service.
    pub fn penalty(&self, now: Monotonic) -> f64 {
        let Some(until) = self.ejected_until else {
            return 1.0;
        };
        let recovered = now.since(until).as_secs_f64() / RECOVERY_TIME.as_secs_f64();
        let remaining = (1.0 - recovered).max(0.0);
        1.0 + (RECOVERY_PENALTY - 1.0) * remaining
    }

    fn record_failure(&mut self, now: Monotonic, may_eject: bool) {
        self.consecutive_failures += 1;
        if self.consecutive_failures < EJECT_AFTER_FAILURES || !may_eject {
            return;
        }
        if self
            .ejected_until
            .is_some_and(|t| now.since(t) > MAX_EJECTION)
        {
            self.ejections = 0;
        }
        let length = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(6));
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.ejected_until = Some(now + length.min(MAX_EJECTION));
    }
}
