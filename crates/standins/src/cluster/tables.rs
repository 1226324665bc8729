//! The tables for a deployment and its traffic.

use std::collections::BTreeMap;

use eelgrassramp::DomainName;
use eelgrassramp::EndpointName;
use eelgrassramp::PoolName;
use eelgrassramp::Tier;
use eelgrassramp::VersionName;
use eelgrassramp::tables::Document;
use eelgrassramp::tables::EndpointRow;
use eelgrassramp::tables::FencingField;
use eelgrassramp::tables::KindField;
use eelgrassramp::tables::PoolRow;
use eelgrassramp::tables::RouteRow;

use super::spec::Member;
use super::spec::Scheduling;
use crate::load::Class;
use crate::load::ClassKind;
use crate::load::Traffic;

const MAX_BODY_BYTES: u64 = 1024 * 1024;

/// Returns the document with a route for each class and a pool for each group of members.
#[must_use]
pub fn tables_document(members: &[Member], traffic: &Traffic, scheduling: Scheduling) -> Document {
    let mut pools: BTreeMap<&PoolName, Vec<&Member>> = BTreeMap::new();
    for member in members {
        pools.entry(&member.pool).or_default().push(member);
    }
    Document {
        routes: traffic
            .classes
            .iter()
            .map(|c| route(c, scheduling))
            .collect(),
        pools: pools.into_iter().map(|(name, m)| pool(name, &m)).collect(),
        edit: None,
    }
}

fn route(class: &Class, scheduling: Scheduling) -> RouteRow {
    let is_model = class.kind == ClassKind::Model;
    RouteRow {
        name: class.name.clone(),
        path: class.path(),
        model: is_model.then(|| class.name.to_string()),
        tier: match scheduling {
            Scheduling::Fifo => Tier::Standard,
            _ => class.tier,
        },
        pool: class.pool.clone(),
        timeout_ms: class.timeout_ms,
        max_body_bytes: MAX_BODY_BYTES,
        non_idempotent: !is_model,
    }
}

fn pool(name: &PoolName, members: &[&Member]) -> PoolRow {
    let is_model = members.iter().all(|m| m.kind == ClassKind::Model);
    PoolRow {
        name: name.clone(),
        kind: if is_model {
            KindField::Model
        } else {
            KindField::Service
        },
        version: members
            .first()
            .map_or_else(|| VersionName::from("v1"), |m| m.version.clone()),
        fencing: FencingField::Sidecar,
        weights: BTreeMap::new(),
        r#move: None,
        endpoints: members.iter().map(|m| endpoint(m)).collect(),
        former: Vec::new(),
    }
}

fn endpoint(member: &Member) -> EndpointRow {
    EndpointRow {
        name: EndpointName::from(member.name.as_str()),
        sidecar: member.sidecar,
        domain: DomainName::from(member.domain),
        hardware: member.hardware.clone(),
        version: member.version.clone(),
        leaving: false,
    }
}
