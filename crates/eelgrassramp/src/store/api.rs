//! The platform's object API as this system sees it.

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::error::Result;
use crate::id::ObjectVersion;

/// Largest value that the platform stores, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// One object as read from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The object's key.
    pub key: String,
    /// The version of this value; 0 means that the object does not exist.
    pub version: ObjectVersion,
    /// The value.
    pub value: Bytes,
}

/// Whether a VM is in service, as the platform's lagging list tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The VM will be taken away.
    Leaving,
}

/// One row of the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Vm {
    /// IP address without port.
    pub address: std::net::IpAddr,
    /// Port of the process in the VM's slot; the stand-in uses it to tell processes apart.
    pub port: u16,
    /// Whether it is in service.
    pub state: VmState,
}

/// Calls of the platform's object API; each call is counted, a waiting watch as one.
///
/// Every method fails with [`Kind::StoreUnavailable`](crate::Kind::StoreUnavailable) when
/// nothing was changed, and a write fails with
/// [`Kind::WriteUnsettled`](crate::Kind::WriteUnsettled) when its reply was lost.
#[async_trait]
pub trait ObjectApi: Debug + Send + Sync {
    /// Reads one object; a missing one has version 0 and an empty value.
    async fn get(&self, key: &str) -> Result<Object>;

    /// Writes one object if its version is still `expected` (0 creates it), and returns the
    /// new version. Fails with [`Kind::Conflict`](crate::Kind::Conflict) otherwise.
    async fn put(&self, key: &str, expected: ObjectVersion, value: Bytes) -> Result<ObjectVersion>;

    /// Waits until the object's version is above `after`, for at most `wait`; returns the
    /// object as it then is.
    async fn watch(&self, key: &str, after: ObjectVersion, wait: Duration) -> Result<Object>;

    /// Reads all objects whose key begins with `prefix`.
    async fn list(&self, prefix: &str) -> Result<Vec<Object>>;

    /// Reads the lagging list of VMs.
    async fn vms(&self) -> Result<Vec<Vm>>;
}
