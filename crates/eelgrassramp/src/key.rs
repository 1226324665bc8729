//! Idempotency keys: identity, creation time and home endpoint.
//!
//! The home endpoint of a key is computed from the tables alone, so that all entries agree on it
//! without communication: see `docs/design/retry.md`, "Idempotency keys".

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;
use xxhash_rust::xxh3::xxh3_128;

use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::id::RequestId;
use crate::name::AccountName;
use crate::name::EndpointName;

/// Maximum length of an idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

const UUID_DIGITS: usize = 32;
const UUID_TIMESTAMP_DIGITS: usize = 12;
const UUID_VERSION_DIGIT: usize = 12;

/// An idempotency key of a client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key {
    /// Identity, derived from the account and the key's text.
    pub id: RequestId,
    /// Unix time in milliseconds at which the key was created, if it is a version 7 UUID.
    pub time_ms: Option<u64>,
}

impl Key {
    /// Derives the identity of the key `text` of `account`.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRequest`] if the key is empty, too long or contains anything but visible
    /// ASCII characters.
    pub fn new(account: &AccountName, text: &str) -> Result<Self> {
        let has_valid_length = !text.is_empty() && text.len() <= MAX_KEY_BYTES;
        if !has_valid_length || !text.bytes().all(|b| b.is_ascii_graphic()) {
            let detail = format!("idempotency key must be 1 to {MAX_KEY_BYTES} visible characters");
            return Err(Error::new(Kind::BadRequest, detail));
        }
        let mut buf = Vec::with_capacity(account.as_str().len() + 1 + text.len());
        buf.extend_from_slice(account.as_str().as_bytes());
        // No name contains this byte, so "a" + "bc" and "ab" + "c" differ.
        buf.push(0);
        buf.extend_from_slice(text.as_bytes());
        Ok(Self {
            id: RequestId::from_bits(xxh3_128(&buf)),
            time_ms: uuid_v7_time(text),
        })
    }
}

/// Returns the Unix time in milliseconds of a version 7 UUID.
fn uuid_v7_time(text: &str) -> Option<u64> {
    let digits: String = text.chars().filter(|c| *c != '-').collect();
    let is_hex = digits.len() == UUID_DIGITS && digits.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_hex || digits.as_bytes().get(UUID_VERSION_DIGIT) != Some(&b'7') {
        return None;
    }
    u64::from_str_radix(digits.get(..UUID_TIMESTAMP_DIGITS)?, 16).ok()
}

/// Hashes the parts that must be equal for two requests with the same key to be the same request.
#[must_use]
pub fn body_hash(method: &str, path: &str, body: &Bytes) -> u64 {
    let seed = xxh3_64_with_seed(path.as_bytes(), xxh3_64(method.as_bytes()));
    xxh3_64_with_seed(body, seed)
}

/// Returns the endpoint whose ledger records a key, by rendezvous hashing.
///
/// When an endpoint is added or removed, only the keys that it gains or loses move.
///
/// # Examples
///
/// ```
/// use eelgrassramp::{EndpointName, RequestId, key};
///
/// let names: Vec<EndpointName> = vec!["orders-1".into(), "orders-2".into()];
/// let id = RequestId::from_bits(7);
/// assert_eq!(key::home_endpoint(id, &names), key::home_endpoint(id, names.iter().rev()));
/// ```
pub fn home_endpoint<'a>(
    key: RequestId,
    endpoints: impl IntoIterator<Item = &'a EndpointName>,
) -> Option<&'a EndpointName> {
    endpoints
        .into_iter()
        .max_by_key(|name| (rendezvous_score(key, name), *name))
}

fn rendezvous_score(key: RequestId, endpoint: &EndpointName) -> u64 {
    let id = key.to_bits().to_le_bytes();
    xxh3_64_with_seed(endpoint.as_str().as_bytes(), xxh3_64(&id))
}
