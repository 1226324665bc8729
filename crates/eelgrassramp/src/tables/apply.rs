//! Applies edits of the tables through the object API.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jiff::SignedDuration;
use jiff::Timestamp;

use super::document::Document;
use super::document::EditRow;
use super::document::EndpointRow;
use super::document::FormerRow;
use super::document::PoolRow;
use super::merge;
use super::merge::MergeConflict;
use super::reader::OBJECT_KEY;
use super::validation::ValidationError;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::id::ObjectVersion;
use crate::id::RequestId;
use crate::id::TableVersion;
use crate::name::EndpointName;
use crate::store::MAX_VALUE_BYTES;
use crate::store::Object;
use crate::store::ObjectApi;
use crate::time::Timers;

/// Time for which the former endpoints of a pool are kept in its row.
///
/// It is well above the key retention of a sidecar, because the clocks of operators and VMs may
/// differ.
pub const FORMER_RETENTION: Duration = Duration::from_hours(1);

/// Time after which applying an edit is abandoned while the object API does not answer.
pub const APPLY_TIMEOUT: Duration = Duration::from_secs(30);

const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the object key under which the tables of one version are kept.
#[must_use]
pub fn history_key(version: TableVersion) -> String {
    format!("tables-history/{version}")
}

/// An edit of the tables by an operator.
#[derive(Debug, Clone)]
pub struct NewEdit {
    /// Both tables after the edit.
    pub document: Document,
    /// The version that the edit is based on; `None` means the one in force at the first read.
    pub base: Option<TableVersion>,
    /// Identifies the edit; applying it again has no effect once it is in force.
    pub id: RequestId,
    /// Time of the edit by the operator's clock.
    pub at: Timestamp,
    /// The operator's message.
    pub message: String,
}

/// Result of an applied edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// The version in force.
    pub version: TableVersion,
    /// The tables in force.
    pub document: Document,
    /// Whether the edit changed anything.
    pub changed: bool,
    /// Whether it was merged with another edit.
    pub merged: bool,
}

/// Reason for which an edit could not be applied.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ApplyError {
    /// The tables are invalid.
    #[error("the tables have {} errors", .0.len())]
    Invalid(Vec<ValidationError>),
    /// Another edit changed the same rows.
    #[error("the edit conflicts with another edit in {} places", .0.len())]
    Conflicts(Vec<MergeConflict>),
    /// The object API failed; the kind shows whether the edit may be in force.
    #[error(transparent)]
    Store(#[from] Error),
}

/// Applies edits through one object API.
#[derive(Debug)]
pub struct Applier {
    api: Arc<dyn ObjectApi>,
    timers: Timers,
}

/// State that is kept between the attempts to apply one edit.
#[derive(Debug, Default)]
struct Progress {
    base: Option<(TableVersion, Document)>,
    /// The version that was to be replaced by the first write with an unknown outcome.
    unsettled_since: Option<TableVersion>,
}

impl Applier {
    /// Creates an applier.
    #[must_use]
    pub const fn new(api: Arc<dyn ObjectApi>, timers: Timers) -> Self {
        Self { api, timers }
    }

    /// Reads the tables in force; if there are none, returns an empty document at version 0.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::StoreUnavailable`], or [`Kind::InvalidTables`] if the value is not a valid
    /// document.
    pub async fn read(&self) -> Result<(TableVersion, Document)> {
        let object = self.api.get(OBJECT_KEY).await?;
        to_document(&object)
    }

    /// Reads the tables of an earlier version.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NotFound`] if that version is not kept.
    pub async fn read_version(&self, version: TableVersion) -> Result<Document> {
        if version == TableVersion(0) {
            return Ok(Document::default());
        }
        let object = self.api.get(&history_key(version)).await?;
        if object.version == ObjectVersion(0) {
            let detail = format!("tables version {version} is not in the history");
            return Err(Error::new(Kind::NotFound, detail));
        }
        Document::from_bytes(&object.value, &object.key)
    }

    /// Returns the newest `limit` versions, the one in force first.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::StoreUnavailable`] if the object API does not answer.
    pub async fn history(&self, limit: usize) -> Result<Vec<(TableVersion, Document)>> {
        let mut list = vec![self.read().await?];
        while list.len() < limit {
            let base = list
                .last()
                .and_then(|(_, d)| d.edit.as_ref())
                .map(|e| e.base);
            let Some(version) = base.filter(|base| *base > TableVersion(0)) else {
                break;
            };
            match self.read_version(version).await {
                Ok(document) => list.push((version, document)),
                Err(e) if e.kind() == Kind::NotFound => break,
                Err(e) => return Err(e),
            }
        }
        list.retain(|(version, _)| *version > TableVersion(0));
        Ok(list)
    }

    /// Applies `edit`, merged with other edits made on the same base.
    ///
    /// If the reply to a write is lost, the identifier of the edit is read back, so the edit takes
    /// effect at most once.
    ///
    /// # Errors
    ///
    /// Returns an [`ApplyError`]; only after [`Kind::WriteUnsettled`] it is unknown whether the
    /// edit is in force.
    pub async fn apply(&self, edit: &NewEdit) -> Result<Applied, ApplyError> {
        let mut progress = Progress::default();
        let deadline = self.timers.now() + APPLY_TIMEOUT;
        loop {
            match self.attempt(edit, &mut progress).await {
                Err(ApplyError::Store(e)) if is_transient(e.kind()) => {
                    if self.timers.now() >= deadline {
                        return Err(timeout_error(e, edit, &progress).into());
                    }
                    self.timers.after(RETRY_INTERVAL).await;
                }
                outcome => return outcome,
            }
        }
    }

    async fn attempt(
        &self,
        edit: &NewEdit,
        progress: &mut Progress,
    ) -> Result<Applied, ApplyError> {
        let (version, theirs) = self.read().await?;
        if let Some(applied) = self.find_applied(edit, progress, version, &theirs).await? {
            return Ok(applied);
        }
        let (base_version, base) = self.base(edit, progress, version, &theirs).await?;
        let ours = edit.document.without_history();
        let merged = merge::merge(&base, &ours, &theirs).map_err(ApplyError::Conflicts)?;
        if merged.rows() == theirs.rows() && merged.route_order() == theirs.route_order() {
            return Ok(Applied {
                version,
                document: theirs,
                changed: false,
                merged: false,
            });
        }
        let faults = merged.validate(Some(edit.at));
        if !faults.is_empty() {
            return Err(ApplyError::Invalid(faults));
        }
        let document = with_edit_metadata(merged, edit, version, &theirs);
        self.store_version(version, &theirs).await?;
        let written = self.write(version, &document, progress).await?;
        // A failure can be ignored, because the next edit stores this version too.
        let _kept = self.store_version(written, &document).await;
        Ok(Applied {
            version: written,
            document,
            changed: true,
            merged: base_version != version,
        })
    }

    /// Returns the edit if an earlier attempt took effect, even if its version has been replaced
    /// since.
    async fn find_applied(
        &self,
        edit: &NewEdit,
        progress: &Progress,
        version: TableVersion,
        current: &Document,
    ) -> Result<Option<Applied>> {
        let oldest_relevant_base = progress.unsettled_since.or(edit.base);
        let mut at = version;
        let mut document = current.clone();
        loop {
            let Some(row) = document.edit.clone() else {
                return Ok(None);
            };
            if row.edit_id() == Some(edit.id) {
                return Ok(Some(Applied {
                    version: at,
                    document,
                    changed: true,
                    merged: false,
                }));
            }
            if oldest_relevant_base
                .is_none_or(|oldest_relevant_base| row.base <= oldest_relevant_base)
            {
                return Ok(None);
            }
            at = row.base;
            document = self.read_version(at).await?;
        }
    }

    async fn base(
        &self,
        edit: &NewEdit,
        progress: &mut Progress,
        version: TableVersion,
        current: &Document,
    ) -> Result<(TableVersion, Document)> {
        if let Some(base) = &progress.base {
            return Ok(base.clone());
        }
        let base = match edit.base {
            Some(base) if base > version => {
                let detail =
                    format!("base version {base} is newer than version {version} in force");
                return Err(Error::new(Kind::NotFound, detail));
            }
            Some(base) if base < version => (base, self.read_version(base).await?),
            _ => (version, current.clone()),
        };
        progress.base = Some(base.clone());
        Ok(base)
    }

    /// Stores the tables of one version for later merges, unless they are stored already.
    async fn store_version(&self, version: TableVersion, document: &Document) -> Result<()> {
        if version == TableVersion(0) {
            return Ok(());
        }
        let value = document.to_bytes()?;
        let key = history_key(version);
        match self.api.put(&key, ObjectVersion(0), value).await {
            Err(e) if e.kind() != Kind::Conflict => Err(e),
            _ => Ok(()),
        }
    }

    async fn write(
        &self,
        version: TableVersion,
        document: &Document,
        progress: &mut Progress,
    ) -> Result<TableVersion> {
        let value = document.to_bytes()?;
        if value.len() > MAX_VALUE_BYTES {
            let detail = format!("tables of {} bytes exceed {MAX_VALUE_BYTES}", value.len());
            return Err(Error::new(Kind::InvalidTables, detail));
        }
        let expected = ObjectVersion(version.0);
        let written = self.api.put(OBJECT_KEY, expected, value).await;
        if written
            .as_ref()
            .is_err_and(|e| e.kind() == Kind::WriteUnsettled)
        {
            progress.unsettled_since.get_or_insert(version);
        }
        written.map(|v| TableVersion(v.0))
    }
}

fn to_document(object: &Object) -> Result<(TableVersion, Document)> {
    let version = TableVersion(object.version.0);
    if version == TableVersion(0) {
        return Ok((version, Document::default()));
    }
    let document = Document::from_bytes(&object.value, &format!("tables version {version}"))?;
    Ok((version, document))
}

const fn is_transient(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::Conflict | Kind::StoreUnavailable | Kind::WriteUnsettled
    )
}

fn timeout_error(e: Error, edit: &NewEdit, progress: &Progress) -> Error {
    if progress.unsettled_since.is_none() {
        return e;
    }
    let detail = format!("whether edit {} is in force is not known", edit.id);
    Error::with_source(Kind::WriteUnsettled, detail, e)
}

fn with_edit_metadata(
    mut document: Document,
    edit: &NewEdit,
    replaced: TableVersion,
    before: &Document,
) -> Document {
    for pool in &mut document.pools {
        let earlier = before.pools.iter().find(|p| p.name == pool.name);
        if let Some(earlier) = earlier {
            pool.former = former_members(pool, earlier, edit.at);
        }
    }
    document.edit = Some(EditRow {
        id: edit.id.to_string(),
        at: edit.at,
        base: replaced,
        message: edit.message.clone(),
    });
    document
}

/// Returns the former sets of endpoints that may still record idempotency keys.
fn former_members(pool: &PoolRow, earlier: &PoolRow, now: Timestamp) -> Vec<FormerRow> {
    let present = home_candidates(pool);
    let retention = SignedDuration::try_from(FORMER_RETENTION).unwrap_or(SignedDuration::MAX);
    home_candidates(earlier)
        .difference(&present)
        .map(|sidecars| FormerRow {
            until: now,
            sidecars: sidecars.clone(),
        })
        .chain(earlier.former.iter().cloned())
        .filter(|former| now.duration_since(former.until) < retention)
        .collect()
}

/// Returns every set of endpoints from which the home endpoint of a key may be chosen.
///
/// The home endpoint is chosen from the endpoints of one version, with or without leaving ones.
fn home_candidates(pool: &PoolRow) -> BTreeSet<BTreeMap<EndpointName, SocketAddr>> {
    let mut sets = BTreeSet::new();
    for version in pool.endpoints.iter().map(|e| &e.version) {
        let members = pool.endpoints.iter().filter(|e| e.version == *version);
        let staying = members.clone().filter(|e| !e.leaving);
        sets.insert(members.map(address).collect());
        sets.insert(staying.map(address).collect());
    }
    sets.retain(|set: &BTreeMap<_, _>| !set.is_empty());
    sets
}

fn address(row: &EndpointRow) -> (EndpointName, SocketAddr) {
    (row.name.clone(), row.sidecar)
}
