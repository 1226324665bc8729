//! What an entry does when it finds that its process stood still.

use std::time::Duration;

use eelgrassramp::num::millis;
use slog::warn;

use super::Entry;

/// Time after a pause in which the other entries tell of moves before this one decides.
const ROLLOUT_DECISION_DELAY: Duration = Duration::from_secs(1);

impl Entry {
    /// Looks whether the process stood still, and gives up what may have changed meanwhile.
    ///
    /// Endpoints may have closed the kept connections, whose end is not read yet, and others may
    /// have ended moves. Work and quotas that other entries told of expire by their age.
    pub(crate) fn recover_from_stall(&self) {
        let Some(stalled_for) = self.stall_detector.check() else {
            return;
        };
        let closed_connections = self.connections.clear();
        let now = self.cx.timers.now();
        self.lock().rollout_decisions_from = now + ROLLOUT_DECISION_DELAY;
        warn!(self.cx.log, "process stood still"; "for_ms" => millis(stalled_for),
            "connections_closed" => closed_connections);
    }
}
