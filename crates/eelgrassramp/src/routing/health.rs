//! Ejection of endpoints that fail, and their slow return.

use std::time::Duration;

use crate::time::Monotonic;

/// Failures in a row that eject an endpoint.
const EJECT_AFTER_FAILURES: u32 = 4;

const FIRST_EJECTION: Duration = Duration::from_secs(2);
const MAX_EJECTION: Duration = Duration::from_mins(1);

/// Time over which a returned endpoint regains its full share.
const RETURN_TIME: Duration = Duration::from_secs(10);

/// Factor on the expected completion time at the moment of return.
const RETURN_PENALTY: f64 = 4.0;

/// Time for which an endpoint that could not be reached is not asked for work, unless it
/// answers a report before.
const UNREACHABLE_TIME: Duration = Duration::from_millis(1_500);

/// How a dispatch went, as far as the endpoint is to be judged by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was whole.
    Success,
    /// The endpoint failed the request.
    Failure,
    /// The sidecar could not be reached or went silent.
    Unreachable,
    /// Nothing can be concluded, as after a refusal or when the caller left.
    Neutral,
}

/// The health of one endpoint as this entry sees it.
#[derive(Debug, Clone, Default)]
pub(super) struct Health {
    failures_in_row: u32,
    ejections: u32,
    ejected_until: Option<Monotonic>,
    unreachable_until: Option<Monotonic>,
}

impl Health {
    /// Takes one outcome; `may_eject` tells whether the cap on ejected endpoints allows it.
    pub fn record(&mut self, now: Monotonic, outcome: Outcome, may_eject: bool) {
        match outcome {
            Outcome::Success => {
                self.failures_in_row = 0;
                self.unreachable_until = None;
            }
            Outcome::Failure => self.fail(now, may_eject),
            Outcome::Unreachable => {
                self.unreachable_until = Some(now + UNREACHABLE_TIME);
                self.fail(now, may_eject);
            }
            Outcome::Neutral => {}
        }
    }

    /// Counts an answered report, which shows that the sidecar can be reached.
    pub fn reached(&mut self) {
        self.unreachable_until = None;
    }

    pub fn is_unreachable(&self, now: Monotonic) -> bool {
        self.unreachable_until.is_some_and(|until| now < until)
    }

    pub fn is_ejected(&self, now: Monotonic) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the factor on the expected completion time, 1 for an endpoint in full service.
    pub fn penalty(&self, now: Monotonic) -> f64 {
        let Some(until) = self.ejected_until else {
            return 1.0;
        };
        let back = now.since(until).as_secs_f64() / RETURN_TIME.as_secs_f64();
        let left = (1.0 - back).max(0.0);
        1.0 + (RETURN_PENALTY - 1.0) * left
    }

    fn fail(&mut self, now: Monotonic, may_eject: bool) {
        self.failures_in_row += 1;
        if self.failures_in_row < EJECT_AFTER_FAILURES || !may_eject {
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
        self.failures_in_row = 0;
        self.ejected_until = Some(now + length.min(MAX_EJECTION));
    }
}
