//! Recovery after the process was stopped or its VM suspended.

use std::time::Duration;

use eelgrassramp::num::millis;
use slog::warn;

use super::Entry;

/// Time after a suspension before rollout decisions resume, so that peers can report the state of
/// rollouts first.
const ROLLOUT_DECISION_DELAY: Duration = Duration::from_secs(1);

impl Entry {
    /// Checks whether the process was suspended, and if so discards state that may be out of date.
    ///
    /// Endpoints may have closed idle connections without this having been read yet, and peers may
    /// have ended rollouts. In-flight counts and quotas of peers expire by age.
    pub(crate) fn check_for_suspension(&self) {
        let Some(gap) = self.suspension_detector.check() else {
            return;
        };
        let closed = self.connections.close_all_idle();
        let now = self.cx.timers.now();
        self.lock().rollout_decisions_from = now + ROLLOUT_DECISION_DELAY;
        warn!(self.cx.log, "process stood still"; "for_ms" => millis(gap),
            "connections_closed" => closed);
    }
}
