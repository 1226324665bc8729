//! Merges two edits of the same tables row by row.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use super::document::Document;
use super::document::PoolRow;
use super::row::Row;
use super::row::RowKey;
use crate::name::PoolName;
use crate::name::RouteName;

/// One thing that two edits changed in different ways.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeConflict {
    /// A row that both changed, removed or added differently.
    Row(Box<RowConflict>),
    /// Both put the routes into a different order.
    RouteOrder {
        /// The order of this edit.
        ours: Vec<RouteName>,
        /// The order in force.
        theirs: Vec<RouteName>,
    },
}

/// A row with the values that two edits want.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowConflict {
    /// Which row.
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

    fn is_about(&self, key: &RowKey) -> bool {
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
                    verb(conflict.ours.as_ref())
                )?;
                write!(f, "another edit {}", verb(conflict.theirs.as_ref()))
            }
            Self::RouteOrder { .. } => f.write_str("order of the routes: changed by both edits"),
        }
    }
}

const fn verb(row: Option<&Row>) -> &'static str {
    if row.is_some() {
        "set it"
    } else {
        "removed it"
    }
}

/// Merges `ours` and `theirs`, which were both made on `base`.
///
/// Rows that only one side changed take that side's value. The result carries no edit and no
/// former members.
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
        let taken = if our == their || our.as_ref() == before {
            their
        } else if their.as_ref() == before {
            our
        } else {
            conflicts.push(MergeConflict::row(key, our, their));
            continue;
        };
        if let Some(row) = taken {
            merged.insert(key, row);
        }
    }
    check_owners(&merged, conflicts);
    merged
}

/// One side may have removed a pool to which the other added an endpoint.
fn check_owners(merged: &BTreeMap<RowKey, Row>, conflicts: &mut Vec<MergeConflict>) {
    for (key, row) in merged {
        let RowKey::Endpoint(pool, _) = key else {
            continue;
        };
        let owner = RowKey::Pool(pool.clone());
        let is_named = conflicts.iter().any(|c| c.is_about(&owner));
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
    let only_common = |order: &[RouteName]| -> Vec<RouteName> {
        order
            .iter()
            .filter(|n| common.contains(n))
            .cloned()
            .collect()
    };
    let before = only_common(&base);
    let (our, their) = (only_common(&ours), only_common(&theirs));
    if our != before && their != before && our != their {
        conflicts.push(MergeConflict::RouteOrder {
            ours: ours.clone(),
            theirs: theirs.clone(),
        });
    }
    if our == before {
        with_inserted(theirs, &ours)
    } else {
        with_inserted(ours, &theirs)
    }
}

/// Returns `order` with the names that only `other` has, each after its neighbour there.
fn with_inserted(mut order: Vec<RouteName>, other: &[RouteName]) -> Vec<RouteName> {
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
