//! Notices that the process stood still: stopped by a signal, or with its whole VM.

use std::sync::Mutex;
use std::time::Duration;

use eelgrassramp::lock;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// Shortest time without a beat that counts as standing still.
const MIN_STALL: Duration = Duration::from_secs(1);

/// The clock that goes on while the VM is suspended, which the monotonic one does not.
fn boot_time() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .ok()
        .map(Duration::from)
}

/// Beats many times a second while the process runs.
#[derive(Debug, Default)]
pub(crate) struct StallDetector {
    last_check: Mutex<Option<Duration>>,
}

impl StallDetector {
    /// Beats, and returns how long the process stood still if it did.
    ///
    /// Whatever runs first after a pause has to call it before it acts on what it believes.
    pub(crate) fn check(&self) -> Option<Duration> {
        self.check_at(boot_time()?)
    }

    fn check_at(&self, now: Duration) -> Option<Duration> {
        let last_check = lock(&self.last_check).replace(now)?;
        let gap = now.saturating_sub(last_check);
        (gap >= MIN_STALL).then_some(gap)
    }
}
