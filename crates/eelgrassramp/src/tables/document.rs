//! Serialized form of both tables, as edited by operators and stored in the object API.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use jiff::Timestamp;
use serde::Deserialize;
use serde::Serialize;

use super::model::Tables;
use super::unique;
use super::validation;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::id::RequestId;
use crate::id::TableVersion;
use crate::jsonc;
use crate::name::AccountName;
use crate::name::DomainName;
use crate::name::EndpointName;
use crate::name::HardwareName;
use crate::name::PoolName;
use crate::name::RouteName;
use crate::name::VersionName;
use crate::tier::Tier;
use crate::wire::TablesSnapshot;

/// Both tables as one JSON document. It is stored as one object, so that routes and the pools that
/// they refer to change atomically.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The route table; the first match wins.
    pub routes: Vec<RouteRow>,
    /// The pool table.
    pub pools: Vec<PoolRow>,
    /// The edit that created this version; not part of operators' files.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit: Option<EditRow>,
}

/// Metadata of an edit; it is read back to see whether a write with a lost reply took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRow {
    /// Identifier of the edit, 32 hexadecimal digits.
    pub id: String,
    /// Time of the edit.
    pub at: Timestamp,
    /// The version that it is based on.
    pub base: TableVersion,
    /// The operator's message.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub message: String,
}

impl EditRow {
    /// Returns the parsed identifier, or `None` if it is invalid.
    #[must_use]
    pub fn edit_id(&self) -> Option<RequestId> {
        self.id.parse().ok()
    }
}

/// One row of the route table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// The row's name.
    pub name: RouteName,
    /// The exact request path, or a prefix when it ends with `*`.
    pub path: String,
    /// The model that the request body must name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Priority tier of the requests.
    pub tier: Tier,
    /// The pool that serves them.
    pub pool: PoolName,
    /// Timeout for the complete answer in milliseconds.
    pub timeout_ms: u64,
    /// Maximum request body in bytes.
    pub max_body_bytes: u64,
    /// Whether requests have an effect that must not happen twice.
    #[serde(default)]
    pub non_idempotent: bool,
}

/// Kind of the endpoints of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KindField {
    /// Model engines.
    Model,
    /// Plain services.
    Service,
}

/// Which process checks the fencing token of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingField {
    /// The engine checks it.
    Engine,
    /// The engine ignores it, so the sidecar checks it.
    Sidecar,
}

/// One row of the pool table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRow {
    /// The row's name.
    pub name: PoolName,
    /// Kind of the endpoints.
    pub kind: KindField,
    /// The version that serves while no move is in progress.
    pub version: VersionName,
    /// Which process checks fencing tokens.
    pub fencing: FencingField,
    /// Relative shares of client accounts.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[serde(deserialize_with = "unique::deserialize")]
    pub weights: BTreeMap<AccountName, u32>,
    /// The move to another version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub r#move: Option<MoveRow>,
    /// The endpoints.
    pub endpoints: Vec<EndpointRow>,
    /// Former sets of endpoints; set when an edit is applied.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub former: Vec<FormerRow>,
}

/// A move to another version by a deadline.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveRow {
    /// The target version.
    pub to: VersionName,
    /// The time by which all traffic must be on it.
    pub by: Timestamp,
    /// The earliest start of the move.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_before: Option<Timestamp>,
}

/// One endpoint of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointRow {
    /// The endpoint's name, unique in its pool.
    pub name: EndpointName,
    /// Address of its sidecar.
    pub sidecar: SocketAddr,
    /// The failure domain of its VM.
    pub domain: DomainName,
    /// The hardware generation of its VM.
    pub hardware: HardwareName,
    /// The version that it serves.
    pub version: VersionName,
    /// Whether it takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A set of endpoints that a pool had before an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FormerRow {
    /// Time of the edit.
    pub until: Timestamp,
    /// Addresses of the sidecars.
    pub sidecars: BTreeMap<EndpointName, SocketAddr>,
}

impl Document {
    /// Parses a document from JSON with comments, without validating its rows.
    ///
    /// `origin` is the name of the text in errors. See [`Document::validate`] for the checks of
    /// rows.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidTables`] naming the field, line and column at fault.
    pub fn from_jsonc(text: &str, origin: &str) -> Result<Self> {
        jsonc::from_str(text, origin, Kind::InvalidTables)
    }

    /// Decodes the stored form.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidTables`] naming the field, line and column at fault.
    pub fn from_bytes(bytes: &[u8], origin: &str) -> Result<Self> {
        let text = std::str::from_utf8(bytes)
            .map_err(|e| Error::with_source(Kind::InvalidTables, format!("{origin}: text"), e))?;
        Self::from_jsonc(text, origin)
    }

    /// Encodes the stored form: JSON without comments, identical for equal documents.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] when the document cannot be written as JSON.
    pub fn to_bytes(&self) -> Result<Bytes> {
        serde_json::to_vec(self)
            .map(Bytes::from)
            .map_err(|e| Error::with_source(Kind::Internal, "write tables as JSON", e))
    }

    /// Returns all errors in the rows, in document order.
    ///
    /// Pass `now` if the document is to be applied; dates in the past are then errors too. A
    /// document in force may contain dates in the past.
    #[must_use]
    pub fn validate(&self, now: Option<Timestamp>) -> Vec<validation::ValidationError> {
        validation::validate(self, now)
    }

    /// Validates the document and converts it to tables.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidTables`] naming each fault with its place.
    pub fn to_tables(&self, version: TableVersion) -> Result<Tables> {
        let errors = self.validate(None);
        if !errors.is_empty() {
            let list: Vec<String> = errors.iter().map(ToString::to_string).collect();
            return Err(Error::new(Kind::InvalidTables, list.join("; ")));
        }
        Ok(super::convert::to_tables(self, version))
    }

    /// Returns the document without the fields that are set when an edit is applied.
    #[must_use]
    pub fn without_history(&self) -> Self {
        let mut plain = self.clone();
        plain.edit = None;
        for pool in &mut plain.pools {
            pool.former.clear();
        }
        plain
    }
}

impl Tables {
    /// Decodes and validates the tables of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidTables`] naming each fault with its place.
    pub fn from_snapshot(snapshot: &TablesSnapshot) -> Result<Self> {
        let origin = format!("tables version {}", snapshot.version);
        Document::from_bytes(&snapshot.document, &origin)?.to_tables(snapshot.version)
    }

    /// Encodes the tables as a document with its version.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] when the document cannot be written as JSON.
    pub fn to_snapshot(&self) -> Result<TablesSnapshot> {
        Ok(TablesSnapshot {
            version: self.version,
            document: Document::from(self).to_bytes()?,
        })
    }
}

impl TryFrom<&TablesSnapshot> for Tables {
    type Error = Error;

    fn try_from(snapshot: &TablesSnapshot) -> Result<Self> {
        Self::from_snapshot(snapshot)
    }
}
