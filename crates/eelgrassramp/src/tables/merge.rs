//! Three-way merge of the tables by row.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use super::document::Document;
use super::document::PoolRow;
use super::row::Row;
use super::row::RowKey;
use crate::name::PoolName;
use crate::name::RouteName;

/// A conflict between two edits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeConflict {
    /// A row that both edits changed, removed or added in different ways.
    Row(Box<RowConflict>),
    /// Both edits changed the order of the routes in different ways.
    RouteOrder {
        /// The order of this edit.
        ours: Vec<RouteName>,
        /// The order in force.
        theirs: Vec<RouteName>,
    },
}

/// A row with its values in two conflicting edits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowConflict {
    /// The row.
    pub key: RowKey,
    /// Its value in this edit; `None` when this edit removed it.
    pub ours: Option<Row>,
    /// Its value in force; `None` when the other edit removed it.
    pub theirs: Option<Row>,
}

impl MergeConflict {
    fn row(key: RowKey, ours: Option<Row>, theirs: Option<Row>) -> Self {
        Self::Row(Box::new(RowConflict { key, ours, theirs }))
    }

    fn concerns(&self, key: &RowKey) -> bool {
        matches!(self, Self::Row(conflict) if conflict.key == *key)
    }
}

impl fmt::Display for MergeConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Row(conflict) => {
                write!(
                    f,
                    "{}: this edit {}, ",
                    conflict.key,
                    describe_change(conflict.ours.as_ref())
                )?;
                write!(
                    f,
                    "another edit {}",
                    describe_change(conflict.theirs.as_ref())
                )
            }
            Self::RouteOrder { .. } => f.write_str("order of the routes: changed by both edits"),
        }
    }
}

const fn describe_change(row: Option<&Row>) -> &'static str {
    if row.is_some() {
        "set it"
    } else {
        "removed it"
    }
}

/// Merges `ours` and `theirs`, which are both based on `base`.
///
/// Rows changed by only one side take that side's value. The result contains no edit and no former
/// members.
///
/// # Errors
///
/// Returns every [`MergeConflict`] when both sides changed a row in different ways.
pub fn merge(
    base: &Document,
    ours: &Document,
    theirs: &Document,
) -> Result<Document, Vec<MergeConflict>> {
    let mut conflicts = Vec::new();
    let rows = merge_rows(base, ours, theirs, &mut conflicts);
    let order = merge_order(base, ours, theirs, &mut conflicts);
    if conflicts.is_empty() {
        Ok(assemble(rows, &order, &pool_order(ours, theirs)))
    } else {
        Err(conflicts)
    }
}

fn merge_rows(
    base: &Document,
    ours: &Document,
    theirs: &Document,
    conflicts: &mut Vec<MergeConflict>,
) -> BTreeMap<RowKey, Row> {
    let (base, mut ours, mut theirs) = (base.rows(), ours.rows(), theirs.rows());
    let keys: BTreeSet<RowKey> = ours.keys().chain(theirs.keys()).cloned().collect();
    let mut merged = BTreeMap::new();
    for key in keys {
        let before = base.get(&key);
        let (our, their) = (ours.remove(&key), theirs.remove(&key));
        let chosen = if our == their || our.as_ref() == before {
            their
        } else if their.as_ref() == before {
            our
        } else {
            conflicts.push(MergeConflict::row(key, our, their));
            continue;
        };
        if let Some(row) = chosen {
            merged.insert(key, row);
        }
    }
    check_endpoint_pools(&merged, conflicts);
    merged
}

/// Reports a conflict for endpoints without a pool: one side may have removed a pool to which the
/// other side added an endpoint.
fn check_endpoint_pools(merged: &BTreeMap<RowKey, Row>, conflicts: &mut Vec<MergeConflict>) {
    for (key, row) in merged {
        let RowKey::Endpoint(pool, _) = key else {
            continue;
        };
        let owner = RowKey::Pool(pool.clone());
        let is_named = conflicts.iter().any(|c| c.concerns(&owner));
        if !merged.contains_key(&owner) && !is_named {
            conflicts.push(MergeConflict::row(key.clone(), Some(row.clone()), None));
        }
    }
}

fn merge_order(
    base: &Document,
    ours: &Document,
    theirs: &Document,
    conflicts: &mut Vec<MergeConflict>,
) -> Vec<RouteName> {
    let (base, ours, theirs) = (base.route_order(), ours.route_order(), theirs.route_order());
    let common: BTreeSet<&RouteName> = base
        .iter()
        .filter(|name| ours.contains(name) && theirs.contains(name))
        .collect();
    let common_order = |order: &[RouteName]| -> Vec<RouteName> {
        order
            .iter()
            .filter(|n| common.contains(n))
            .cloned()
            .collect()
    };
    let before = common_order(&base);
    let (our, their) = (common_order(&ours), common_order(&theirs));
    if our != before && their != before && our != their {
        conflicts.push(MergeConflict::RouteOrder {
            ours: ours.clone(),
            theirs: theirs.clone(),
        });
    }
    if our == before {
        insert_missing(theirs, &ours)
    } else {
        insert_missing(ours, &theirs)
    }
}

/// Returns `order` with the names that only `other` contains, each inserted after its predecessor
/// in `other`.
fn insert_missing(mut order: Vec<RouteName>, other: &[RouteName]) -> Vec<RouteName> {
    for (i, name) in other.iter().enumerate() {
        if order.contains(name) {
            continue;
        }
        let before = other[..i].last();
        let at = before.and_then(|b| order.iter().position(|n| n == b));
        order.insert(at.map_or(0, |at| at + 1), name.clone());
    }
    order
}

fn pool_order(ours: &Document, theirs: &Document) -> Vec<PoolName> {
    let mut order: Vec<PoolName> = theirs.pools.iter().map(|p| p.name.clone()).collect();
    for pool in &ours.pools {
        if !order.contains(&pool.name) {
            order.push(pool.name.clone());
        }
    }
    order
}

fn assemble(
    rows: BTreeMap<RowKey, Row>,
    route_order: &[RouteName],
    pool_order: &[PoolName],
) -> Document {
    let mut routes = BTreeMap::new();
    let mut pools: BTreeMap<PoolName, PoolRow> = BTreeMap::new();
    let mut endpoints = Vec::new();
    for (key, row) in rows {
        match (key, row) {
            (RowKey::Endpoint(pool, _), Row::Endpoint(row)) => endpoints.push((pool, row)),
            (_, Row::Route(row)) => drop(routes.insert(row.name.clone(), row)),
            (_, Row::Pool(row)) => drop(pools.insert(row.name.clone(), row)),
            (key, Row::Endpoint(_)) => unreachable!("{key} is not an endpoint"),
        }
    }
    for (pool, row) in endpoints {
        if let Some(pool) = pools.get_mut(&pool) {
            pool.endpoints.push(row);
        }
    }
    Document {
        routes: route_order
            .iter()
            .filter_map(|n| routes.remove(n))
            .collect(),
        pools: pool_order.iter().filter_map(|n| pools.remove(n)).collect(),
        edit: None,
    }
}
