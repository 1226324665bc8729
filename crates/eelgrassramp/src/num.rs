//! Saturating conversions between number types.

use std::time::Duration;

/// Rounds `value` to the nearest whole number; negative values and NaN become 0.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast from float saturates, as documented"
)]
#[must_use]
pub fn round_to_u64(value: f64) -> u64 {
    value.round() as u64
}

/// Returns `d` in whole milliseconds, rounded down.
#[must_use]
pub fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}

/// Returns `d` in whole microseconds, rounded down.
#[must_use]
pub fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}

/// Converts a length to `u64`.
#[must_use]
pub fn count(len: usize) -> u64 {
    u64::try_from(len).unwrap_or(u64::MAX)
}

/// Converts `value` to `usize`, saturating.
#[must_use]
pub fn length(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
