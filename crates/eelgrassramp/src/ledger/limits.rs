//! Limits on what a ledger records and for how long.

use std::time::Duration;

/// Limits of one ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Time for which an ended request stays recorded, and maximum age of a clock mark.
    pub retention: Duration,
    /// Time for which an idempotency key stays recorded.
    pub key_retention: Duration,
    /// Maximum difference between the clocks of a caller and a sidecar.
    pub clock_margin: Duration,
    /// Maximum number of recorded requests and closed keys.
    pub entries: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            retention: Duration::from_mins(2),
            key_retention: Duration::from_mins(10),
            clock_margin: Duration::from_secs(2),
            entries: 100_000,
        }
    }
}
