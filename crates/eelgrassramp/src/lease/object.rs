//! The stored form of a lease.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::id::FencingToken;
use crate::id::Incarnation;
use crate::name::EntryName;
use crate::name::PoolName;

/// Returns the key of the lease of `pool`.
#[must_use]
pub fn key(pool: &PoolName) -> String {
    format!("leases/{pool}")
}

/// The value of a lease object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseObject {
    /// The life of the entry that holds the lease.
    pub holder: Incarnation,
    /// The entry's name, for operators.
    pub entry: EntryName,
    /// The token of this holding; each take-over adds one.
    pub fence: FencingToken,
    /// Numbers the writes of one holder, so that a lost reply can be settled.
    pub write: u64,
    /// Whether the holder gave the lease back, so that others need not wait.
    pub released: bool,
}

impl LeaseObject {
    /// Reads the stored form.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Malformed`] when `value` is not a lease.
    pub fn from_bytes(value: &[u8]) -> Result<Self> {
        serde_json::from_slice(value)
            .map_err(|e| Error::with_source(Kind::Malformed, "read lease", e))
    }

    /// Returns the stored form.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] when the lease cannot be written as JSON.
    pub fn to_bytes(&self) -> Result<Bytes> {
        serde_json::to_vec(self)
            .map(Bytes::from)
            .map_err(|e| Error::with_source(Kind::Internal, "write lease", e))
    }
}
