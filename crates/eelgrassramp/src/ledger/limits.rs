//! How much and how long a ledger remembers.

use std::time::Duration;

/// Bounds of one ledger's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Time for which an ended request is remembered, and the greatest age of a clock mark.
    pub retention: Duration,
    /// Time for which an idempotency key is remembered.
    pub key_retention: Duration,
    /// Greatest difference between the clocks of a caller and a sidecar.
    pub clock_margin: Duration,
    /// Requests and closed keys that are remembered at most.
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
