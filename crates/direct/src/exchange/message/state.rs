//! Encoding of the state that entries hand on, and of its versions.

use bytes::Bytes;
use eelgrassramp::Result;
use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

use super::super::Snapshot;
use super::super::StateVersions;
use super::decode_with_details;
use super::encode_with_details;

/// Versions of tables, endpoints and evacuated failure domains, as all builds read them.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct StateVersionsWire(u64, u64, #[serde(default)] u64);

/// Versions that builds before this one do not read.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
struct StateVersionsDetailsWire {
    orders: u64,
}

impl StateVersions {
    /// Encodes the versions as a request for what is newer.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`](eelgrassramp::Kind::Internal) when they cannot be encoded.
    pub(in super::super) fn encode(self) -> Result<Bytes> {
        let wire = StateVersionsWire(self.tables, self.endpoints, self.evacuated);
        let details = StateVersionsDetailsWire {
            orders: self.orders,
        };
        encode_with_details(&wire, &details)
    }

    /// Decodes a request of this or an earlier build.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Malformed`](eelgrassramp::Kind::Malformed) when it cannot be read.
    pub(in super::super) fn decode(body: &[u8]) -> Result<Self> {
        let (wire, details) = decode_with_details(body)?;
        let StateVersionsWire(tables, endpoints, evacuated) = wire;
        let StateVersionsDetailsWire { orders } = details;
        Ok(Self {
            tables,
            endpoints,
            evacuated,
            orders,
        })
    }
}

/// Tables, endpoints and evacuated failure domains, as all builds read them.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct SnapshotWire(
    Option<ByteBuf>,
    Option<ByteBuf>,
    #[serde(default)] Option<ByteBuf>,
);

/// State that builds before this one do not read.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
struct SnapshotDetailsWire {
    #[serde(skip_serializing_if = "Option::is_none")]
    orders: Option<ByteBuf>,
}

impl Snapshot {
    /// Encodes the snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`](eelgrassramp::Kind::Internal) when it cannot be encoded.
    pub(in super::super) fn encode(self) -> Result<Bytes> {
        let wire = SnapshotWire(self.tables, self.endpoints, self.evacuated);
        let details = SnapshotDetailsWire {
            orders: self.orders,
        };
        encode_with_details(&wire, &details)
    }

    /// Decodes a snapshot of this or an earlier build.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Malformed`](eelgrassramp::Kind::Malformed) when it cannot be read.
    pub(in super::super) fn decode(body: &[u8]) -> Result<Self> {
        let (wire, details) = decode_with_details(body)?;
        let SnapshotWire(tables, endpoints, evacuated) = wire;
        let SnapshotDetailsWire { orders } = details;
        Ok(Self {
            tables,
            endpoints,
            evacuated,
            orders,
        })
    }
}
