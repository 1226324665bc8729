//! The written form of both tables, as operators edit it and as the object API keeps it.

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

/// Both tables as one JSON document; one object, so that a join by name changes as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The route table; the first match wins.
    pub routes: Vec<RouteRow>,
    /// The pool table.
    pub pools: Vec<PoolRow>,
    /// The edit that made this version; operators' files leave it out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit: Option<EditRow>,
}

/// Who changed the tables, so that a lost reply can be settled by reading back.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRow {
    /// Identifies the edit, 32 hexadecimal digits.
    pub id: String,
    /// When it was made.
    pub at: Timestamp,
    /// The version that it was made on.
    pub base: TableVersion,
    /// The operator's words.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub message: String,
}

impl EditRow {
    /// Returns the identifier, or `None` when the text is not one.
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
    /// How urgent the requests are.
    pub tier: Tier,
    /// The pool that serves them.
    pub pool: PoolName,
    /// Time for the whole answer in milliseconds.
    pub timeout_ms: u64,
    /// Largest accepted request body in bytes.
    pub max_body_bytes: u64,
    /// Whether a request has an effect that must not happen twice.
    #[serde(default)]
    pub non_idempotent: bool,
}

/// What the endpoints of a pool are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KindField {
    /// Model engines.
    Model,
    /// Plain services.
    Service,
}

/// Who checks the fencing token of an order.
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
    /// What the endpoints are.
    pub kind: KindField,
    /// The version that serves when no move is under way.
    pub version: VersionName,
    /// Who checks fencing tokens.
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
    /// Earlier sets of endpoints; written when an edit is applied.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub former: Vec<FormerRow>,
}

/// A move to another version by a date.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveRow {
    /// The version that takes over.
    pub to: VersionName,
    /// The time by which all traffic must be on it.
    pub by: Timestamp,
    /// The earliest time to begin.
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
    /// Where its sidecar listens.
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

/// The endpoints that a pool had before an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FormerRow {
    /// When the edit was made.
    pub until: Timestamp,
    /// Where the sidecars listened.
    pub sidecars: BTreeMap<EndpointName, SocketAddr>,
}

impl Document {
    /// Reads a document from JSON with comments, without checking how its rows fit together.
    ///
    /// `origin` names the text in errors. See [`Document::validate`] for the checks of rows.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidTables`] naming the field, line and column at fault.
    pub fn from_jsonc(text: &str, origin: &str) -> Result<Self> {
        jsonc::from_str(text, origin, Kind::InvalidTables)
    }

    /// Reads the stored form.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidTables`] naming the field, line and column at fault.
    pub fn from_bytes(bytes: &[u8], origin: &str) -> Result<Self> {
        let text = std::str::from_utf8(bytes)
            .map_err(|e| Error::with_source(Kind::InvalidTables, format!("{origin}: text"), e))?;
        Self::from_jsonc(text, origin)
    }

    /// Returns the stored form: JSON without comments, one form for equal documents.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] when the document cannot be written as JSON.
    pub fn to_bytes(&self) -> Result<Bytes> {
        serde_json::to_vec(self)
            .map(Bytes::from)
            .map_err(|e| Error::with_source(Kind::Internal, "write tables as JSON", e))
    }

    /// Returns every fault of the rows, in order of the document.
    ///
    /// `now` is given when the document is to be applied; dates that have passed are then
    /// faults too. A document in force keeps its dates after they have passed.
    #[must_use]
    pub fn validate(&self, now: Option<Timestamp>) -> Vec<validation::ValidationError> {
        validation::validate(self, now)
    }

    /// Checks and joins both tables.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidTables`] naming each fault with its place.
    pub fn to_tables(&self, version: TableVersion) -> Result<Tables> {
        let faults = self.validate(None);
        if !faults.is_empty() {
            let list: Vec<String> = faults.iter().map(ToString::to_string).collect();
            return Err(Error::new(Kind::InvalidTables, list.join("; ")));
        }
        Ok(super::convert::to_tables(self, version))
    }

    /// Returns the document without the parts that are written when an edit is applied.
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
    /// Checks and joins the tables of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidTables`] naming each fault with its place.
    pub fn from_snapshot(snapshot: &TablesSnapshot) -> Result<Self> {
        let origin = format!("tables version {}", snapshot.version);
        Document::from_bytes(&snapshot.document, &origin)?.to_tables(snapshot.version)
    }

    /// Returns the tables as a document with its version.
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
