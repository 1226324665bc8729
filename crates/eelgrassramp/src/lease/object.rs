//! Stored form of a lease.

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

/// Returns the object key of the lease of `pool`.
#[must_use]
pub fn key(pool: &PoolName) -> String {
    format!("leases/{pool}")
}

/// Value of a lease object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseObject {
    /// Incarnation of the entry that holds the lease.
    pub holder: Incarnation,
    /// Name of that entry, for operators.
    pub entry: EntryName,
    /// Fencing token; increases by one each time the lease is acquired.
    pub fence: FencingToken,
    /// Sequence number of the holder's writes; identifies a write whose reply was lost.
    pub write: u64,
    /// Whether the holder released the lease, so that others need not wait until it expires.
    pub released: bool,
}

impl LeaseObject {
    /// Decodes the stored form.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Malformed`] if `value` is not a valid lease.
    pub fn from_bytes(value: &[u8]) -> Result<Self> {
        serde_json::from_slice(value)
            .map_err(|e| Error::with_source(Kind::Malformed, "read lease", e))
    }

    /// Encodes the stored form.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] if the lease cannot be encoded as JSON.
    pub fn to_bytes(&self) -> Result<Bytes> {
        serde_json::to_vec(self)
            .map(Bytes::from)
            .map_err(|e| Error::with_source(Kind::Internal, "write lease", e))
    }
}
