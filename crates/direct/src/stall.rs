//! Detects that the process was suspended: stopped by a signal, or together with its VM.

use std::sync::Mutex;
use std::time::Duration;

use eelgrassramp::lock;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// Shortest time between two checks that counts as a suspension.
const MIN_SUSPENSION: Duration = Duration::from_secs(1);

/// Returns the time since boot. Unlike the monotonic clock, this clock advances while the VM is
/// suspended.
fn boot_time() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .ok()
        .map(Duration::from)
}

/// Detects suspensions by the time between checks, which are made many times a second.
#[derive(Debug, Default)]
pub(crate) struct SuspensionDetector {
    last: Mutex<Option<Duration>>,
}

impl SuspensionDetector {
    /// Records a check and returns the length of the suspension before it, if there was one.
    ///
    /// Any code that may run first after a suspension must call this before it relies on cached state.
    pub(crate) fn check(&self) -> Option<Duration> {
        self.check_at(boot_time()?)
    }

    fn check_at(&self, now: Duration) -> Option<Duration> {
        let last = lock(&self.last).replace(now)?;
        let gap = now.saturating_sub(last);
        (gap >= MIN_SUSPENSION).then_some(gap)
    }
}
