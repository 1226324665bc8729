//! Interface to the platform's object API.

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::error::Result;
use crate::id::ObjectVersion;

/// Maximum size of a value in bytes, set by the platform.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// An object read from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The object's key.
    pub key: String,
    /// The version of the value; 0 if the object does not exist.
    pub version: ObjectVersion,
    /// The value.
    pub value: Bytes,
}

/// State of a VM according to the platform's lagging list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The VM is going to be removed.
    Leaving,
}

/// One row of the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Vm {
    /// IP address without port.
    pub address: std::net::IpAddr,
    /// Port of the process on the VM; the stand-in platform uses it to distinguish processes.
    pub port: u16,
    /// State of the VM.
    pub state: VmState,
}

/// Calls of the platform's object API. Each call counts towards the rate limit; a watch counts as
/// one call however long it waits.
///
/// Every method fails with [`Kind::StoreUnavailable`](crate::Kind::StoreUnavailable) if nothing was
/// changed; a write fails with [`Kind::WriteUnsettled`](crate::Kind::WriteUnsettled) if its reply
/// was lost.
#[async_trait]
pub trait ObjectApi: Debug + Send + Sync {
    /// Reads one object; a missing object has version 0 and an empty value.
    async fn get(&self, key: &str) -> Result<Object>;

    /// Writes one object if its version is still `expected` (0 creates it) and returns the new
    /// version; otherwise fails with [`Kind::Conflict`](crate::Kind::Conflict).
    async fn put(&self, key: &str, expected: ObjectVersion, value: Bytes) -> Result<ObjectVersion>;

    /// Waits up to `wait` until the object's version exceeds `after`, and returns the object.
    async fn watch(&self, key: &str, after: ObjectVersion, wait: Duration) -> Result<Object>;

    /// Reads all objects whose key starts with `prefix`.
    async fn list(&self, prefix: &str) -> Result<Vec<Object>>;

    /// Reads the lagging list of VMs.
    async fn vms(&self) -> Result<Vec<Vm>>;
}
