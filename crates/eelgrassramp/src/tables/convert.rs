//! Conversions between the serialized rows and the validated tables.

use std::sync::Arc;
use std::time::Duration;

use super::document::Document;
use super::document::EditRow;
use super::document::EndpointRow;
use super::document::FencingField;
use super::document::FormerRow;
use super::document::KindField;
use super::document::MoveRow;
use super::document::PoolRow;
use super::document::RouteRow;
use super::model::Edit;
use super::model::Endpoint;
use super::model::FencingCheck;
use super::model::FormerMembers;
use super::model::Move;
use super::model::Pool;
use super::model::PoolKind;
use super::model::Route;
use super::model::Tables;
use crate::id::TableVersion;
use crate::num;

/// Converts a document without errors to tables.
pub(super) fn to_tables(document: &Document, version: TableVersion) -> Tables {
    Tables {
        version,
        edit: document.edit.as_ref().and_then(to_edit),
        routes: document.routes.iter().map(to_route).collect(),
        pools: document
            .pools
            .iter()
            .map(|row| (row.name.clone(), Arc::new(Pool::from(row))))
            .collect(),
    }
}

fn to_edit(row: &EditRow) -> Option<Edit> {
    Some(Edit {
        id: row.edit_id()?,
        at: row.at,
        base: row.base,
        message: row.message.as_str().into(),
    })
}

impl From<&Edit> for EditRow {
    fn from(edit: &Edit) -> Self {
        Self {
            id: edit.id.to_string(),
            at: edit.at,
            base: edit.base,
            message: edit.message.to_string(),
        }
    }
}

fn to_route(row: &RouteRow) -> Arc<Route> {
    Arc::new(Route::from(row))
}

impl From<&Tables> for Document {
    fn from(tables: &Tables) -> Self {
        Self {
            routes: tables.routes.iter().map(|r| RouteRow::from(&**r)).collect(),
            pools: tables.pools.values().map(|p| PoolRow::from(&**p)).collect(),
            edit: tables.edit.as_ref().map(EditRow::from),
        }
    }
}

impl From<&RouteRow> for Route {
    fn from(row: &RouteRow) -> Self {
        Self {
            name: row.name.clone(),
            path: row.path.as_str().into(),
            model: row.model.as_deref().map(Into::into),
            tier: row.tier,
            pool: row.pool.clone(),
            non_idempotent: row.non_idempotent,
            timeout: Duration::from_millis(row.timeout_ms),
            max_body_bytes: num::length(row.max_body_bytes),
        }
    }
}

impl From<&Route> for RouteRow {
    fn from(route: &Route) -> Self {
        Self {
            name: route.name.clone(),
            path: route.path.to_string(),
            model: route.model.as_deref().map(Into::into),
            tier: route.tier,
            pool: route.pool.clone(),
            timeout_ms: num::millis(route.timeout),
            max_body_bytes: num::count(route.max_body_bytes),
            non_idempotent: route.non_idempotent,
        }
    }
}

impl From<&PoolRow> for Pool {
    fn from(row: &PoolRow) -> Self {
        Self {
            name: row.name.clone(),
            kind: row.kind.into(),
            version: row.version.clone(),
            r#move: row.r#move.as_ref().map(Move::from),
            fencing: row.fencing.into(),
            weights: row.weights.clone(),
            endpoints: row
                .endpoints
                .iter()
                .map(|e| (e.name.clone(), Arc::new(Endpoint::from(e))))
                .collect(),
            former: row.former.iter().map(FormerMembers::from).collect(),
        }
    }
}

impl From<&Pool> for PoolRow {
    fn from(pool: &Pool) -> Self {
        Self {
            name: pool.name.clone(),
            kind: pool.kind.into(),
            version: pool.version.clone(),
            fencing: pool.fencing.into(),
            weights: pool.weights.clone(),
            r#move: pool.r#move.as_ref().map(MoveRow::from),
            endpoints: pool
                .endpoints
                .values()
                .map(|e| EndpointRow::from(&**e))
                .collect(),
            former: pool.former.iter().map(FormerRow::from).collect(),
        }
    }
}

impl From<&MoveRow> for Move {
    fn from(row: &MoveRow) -> Self {
        Self {
            to: row.to.clone(),
            by: row.by,
            not_before: row.not_before,
        }
    }
}

impl From<&Move> for MoveRow {
    fn from(r#move: &Move) -> Self {
        Self {
            to: r#move.to.clone(),
            by: r#move.by,
            not_before: r#move.not_before,
        }
    }
}

impl From<&EndpointRow> for Endpoint {
    fn from(row: &EndpointRow) -> Self {
        Self {
            name: row.name.clone(),
            sidecar: row.sidecar,
            domain: row.domain.clone(),
            hardware: row.hardware.clone(),
            version: row.version.clone(),
            leaving: row.leaving,
        }
    }
}

impl From<&Endpoint> for EndpointRow {
    fn from(endpoint: &Endpoint) -> Self {
        Self {
            name: endpoint.name.clone(),
            sidecar: endpoint.sidecar,
            domain: endpoint.domain.clone(),
            hardware: endpoint.hardware.clone(),
            version: endpoint.version.clone(),
            leaving: endpoint.leaving,
        }
    }
}

impl From<&FormerRow> for FormerMembers {
    fn from(row: &FormerRow) -> Self {
        Self {
            until: row.until,
            sidecars: row.sidecars.clone(),
        }
    }
}

impl From<&FormerMembers> for FormerRow {
    fn from(former: &FormerMembers) -> Self {
        Self {
            until: former.until,
            sidecars: former.sidecars.clone(),
        }
    }
}

impl From<KindField> for PoolKind {
    fn from(cell: KindField) -> Self {
        match cell {
            KindField::Model => Self::Model,
            KindField::Service => Self::Service,
        }
    }
}

impl From<PoolKind> for KindField {
    fn from(kind: PoolKind) -> Self {
        match kind {
            PoolKind::Model => Self::Model,
            PoolKind::Service => Self::Service,
        }
    }
}

impl From<FencingField> for FencingCheck {
    fn from(cell: FencingField) -> Self {
        match cell {
            FencingField::Engine => Self::Engine,
            FencingField::Sidecar => Self::Sidecar,
        }
    }
}

impl From<FencingCheck> for FencingField {
    fn from(check: FencingCheck) -> Self {
        match check {
            FencingCheck::Engine => Self::Engine,
            FencingCheck::Sidecar => Self::Sidecar,
        }
    }
}
