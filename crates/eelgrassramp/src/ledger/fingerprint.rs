//! Tells whether two calls with one idempotency key are the same call.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::wire::Call;

/// Returns a hash of a call's method, path and body.
#[must_use]
pub fn fingerprint(call: &Call) -> u64 {
    let method = xxh3_64(call.method.as_bytes());
    let path = xxh3_64_with_seed(call.path.as_bytes(), method);
    xxh3_64_with_seed(&call.body, path)
}
