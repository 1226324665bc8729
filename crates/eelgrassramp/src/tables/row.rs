//! The rows of a document by key, for comparing and merging edits.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::Value;

use super::document::Document;
use super::document::EndpointRow;
use super::document::PoolRow;
use super::document::RouteRow;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::name::EndpointName;
use crate::name::PoolName;
use crate::name::RouteName;

/// Key of one row of a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowKey {
    /// A row of the route table.
    Route(RouteName),
    /// A row of the pool table without its endpoints.
    Pool(PoolName),
    /// One endpoint of a pool.
    Endpoint(PoolName, EndpointName),
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Route(name) => write!(f, "route \"{name}\""),
            Self::Pool(name) => write!(f, "pool \"{name}\""),
            Self::Endpoint(pool, name) => write!(f, "endpoint \"{name}\" of pool \"{pool}\""),
        }
    }
}

/// The value of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Row {
    /// A row of the route table.
    Route(RouteRow),
    /// A row of the pool table without its endpoints, which are separate rows.
    Pool(PoolRow),
    /// One endpoint of a pool.
    Endpoint(EndpointRow),
}

impl Row {
    /// Returns the row as JSON; a pool is returned without its endpoints.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] when the row cannot be written as JSON.
    pub fn to_json(&self) -> Result<Value> {
        let value = match self {
            Self::Route(row) => serde_json::to_value(row),
            Self::Pool(row) => serde_json::to_value(row).map(without_endpoints),
            Self::Endpoint(row) => serde_json::to_value(row),
        };
        value.map_err(|e| Error::with_source(Kind::Internal, "write row as JSON", e))
    }
}

fn without_endpoints(mut pool: Value) -> Value {
    if let Some(fields) = pool.as_object_mut() {
        fields.remove("endpoints");
    }
    pool
}

/// Formats the row as JSON; the alternate form uses several lines.
impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.to_json() {
            Ok(value) => value.fmt(f),
            Err(e) => e.fmt(f),
        }
    }
}

/// One row that differs between two documents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The row.
    pub key: RowKey,
    /// Its previous value; `None` if it was added.
    pub before: Option<Row>,
    /// Its new value; `None` if it was removed.
    pub after: Option<Row>,
}

impl Document {
    /// Returns all rows by key, without the fields that are set when an edit is applied.
    #[must_use]
    pub fn rows(&self) -> BTreeMap<RowKey, Row> {
        let mut rows = BTreeMap::new();
        for route in &self.routes {
            rows.insert(RowKey::Route(route.name.clone()), Row::Route(route.clone()));
        }
        for pool in &self.pools {
            let mut pool_row = pool.clone();
            pool_row.former.clear();
            for endpoint in pool_row.endpoints.drain(..) {
                let key = RowKey::Endpoint(pool.name.clone(), endpoint.name.clone());
                rows.insert(key, Row::Endpoint(endpoint));
            }
            rows.insert(RowKey::Pool(pool.name.clone()), Row::Pool(pool_row));
        }
        rows
    }

    /// Returns the rows that differ from `before`.
    #[must_use]
    pub fn changes_since(&self, before: &Self) -> Vec<Change> {
        let mut old = before.rows();
        let mut changes = Vec::new();
        for (key, row) in self.rows() {
            let previous = old.remove(&key);
            if previous.as_ref() != Some(&row) {
                changes.push(Change {
                    key,
                    before: previous,
                    after: Some(row),
                });
            }
        }
        let removed = old.into_iter().map(|(key, row)| Change {
            key,
            before: Some(row),
            after: None,
        });
        changes.extend(removed);
        changes
    }

    /// Returns the names of the routes in order; the first matching route is used.
    #[must_use]
    pub fn route_order(&self) -> Vec<RouteName> {
        self.routes.iter().map(|row| row.name.clone()).collect()
    }
}
