//! Recovery after the process was stopped or its VM suspended.

use std::time::Duration;

use eelgrassramp::num::millis;
use slog::warn;

use super::Entry;

/// Time after a stall before rollout decisions resume, so that the other entries can report the
/// state of rollouts first.
const ROLLOUT_DECISION_DELAY: Duration = Duration::from_secs(1);

impl Entry {
    /// Checks for a stall of the process, and after one discards state that may be out of date.
    ///
    /// Endpoints may have closed idle connections without this having been read yet, and other
    /// entries may have ended rollouts. In-flight counts and quotas of other entries expire by age.
    pub(crate) fn recover_from_stall(&self) {
        let Some(gap) = self.stall_detector.check() else {
            return;
        };
        let closed = self.connections.close_all_idle();
        let now = self.cx.timers.now();
        self.lock().rollout_decisions_from = now + ROLLOUT_DECISION_DELAY;
        warn!(self.cx.log, "process stood still"; "for_ms" => millis(gap),
            "connections_closed" => closed);
    }
}
