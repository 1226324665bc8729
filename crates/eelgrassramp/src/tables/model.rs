//! The validated tables of routes and pools.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jiff::Timestamp;

use crate::id::RequestId;
use crate::id::TableVersion;
use crate::name::AccountName;
use crate::name::DomainName;
use crate::name::EndpointName;
use crate::name::HardwareName;
use crate::name::PoolName;
use crate::name::RouteName;
use crate::name::VersionName;
use crate::tier::Tier;

/// Both tables at one version, validated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tables {
    /// The object's version in the object API; it only increases.
    pub version: TableVersion,
    /// The edit that created this version; shows whether a write with a lost reply took effect.
    pub edit: Option<Edit>,
    /// The route table, in order of declaration; the first match wins.
    pub routes: Vec<Arc<Route>>,
    /// The pool table.
    pub pools: BTreeMap<PoolName, Arc<Pool>>,
}

impl Tables {
    /// Returns the first route that matches a path and, if the caller named one, a model.
    #[must_use]
    pub fn route(&self, path: &str, model: Option<&str>) -> Option<&Arc<Route>> {
        self.routes.iter().find(|r| r.matches(path, model))
    }

    /// Returns the pool that `route` refers to.
    #[must_use]
    pub fn pool_of(&self, route: &Route) -> Option<&Arc<Pool>> {
        self.pools.get(&route.pool)
    }
}

/// Metadata of the edit that created a version of the tables.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// Identifier of the edit.
    pub id: RequestId,
    /// Time of the edit by the operator's clock.
    pub at: Timestamp,
    /// The version that it is based on.
    pub base: TableVersion,
    /// The operator's message.
    pub message: Arc<str>,
}

/// One row of the route table: the requests that it matches, their priority and their pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The row's name.
    pub name: RouteName,
    /// The exact request path, or a prefix when it ends with `*`.
    pub path: Arc<str>,
    /// The model that the request body must name; `None` matches any.
    pub model: Option<Arc<str>>,
    /// Priority tier of the requests.
    pub tier: Tier,
    /// The pool that serves the requests.
    pub pool: PoolName,
    /// Whether requests have an effect that must not happen twice, such as a charge.
    ///
    /// Such a request is never cancelled or displaced once it has started.
    pub non_idempotent: bool,
    /// Timeout from acceptance to the last byte of the answer.
    pub timeout: Duration,
    /// Maximum request body in bytes.
    pub max_body_bytes: usize,
}

impl Route {
    /// Returns whether the row matches a request.
    #[must_use]
    pub fn matches(&self, path: &str, model: Option<&str>) -> bool {
        let path_matches = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == &*self.path,
        };
        path_matches
            && self
                .model
                .as_deref()
                .is_none_or(|wanted| model == Some(wanted))
    }
}

/// Kind of the endpoints of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolKind {
    /// Model engines with continuous batching, streaming and cancellation.
    Model,
    /// Plain services that process one call at a time.
    Service,
}

/// Which process checks the fencing token of an order to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FencingCheck {
    /// The engine refuses an order with an outdated token.
    Engine,
    /// The engine ignores tokens, so its sidecar checks them.
    Sidecar,
}

/// One row of the pool table: a group of endpoints that serve the same requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// The row's name.
    pub name: PoolName,
    /// Kind of the endpoints.
    pub kind: PoolKind,
    /// The version that serves while no move is in progress.
    pub version: VersionName,
    /// The requested move to another version.
    pub r#move: Option<Move>,
    /// Which process checks fencing tokens.
    pub fencing: FencingCheck,
    /// Relative shares of client accounts; an account that is not listed has share 1.
    pub weights: BTreeMap<AccountName, u32>,
    /// The endpoints, by name.
    pub endpoints: BTreeMap<EndpointName, Arc<Endpoint>>,
    /// Former sets of endpoints that may still record idempotency keys, newest first.
    pub former: Vec<FormerMembers>,
}

impl Pool {
    /// Returns the endpoints that serve `version`.
    pub fn endpoints_of<'a>(
        &'a self,
        version: &'a VersionName,
    ) -> impl Iterator<Item = &'a Arc<Endpoint>> {
        self.endpoints
            .values()
            .filter(move |e| e.version == *version)
    }
}

/// A set of endpoints that a pool had before an edit replaced some of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FormerMembers {
    /// Time of the edit.
    pub until: Timestamp,
    /// Addresses of the sidecars.
    pub sidecars: BTreeMap<EndpointName, SocketAddr>,
}

/// A move of a pool's traffic to another version by a deadline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The target version.
    pub to: VersionName,
    /// The time by which all traffic must be on it.
    pub by: Timestamp,
    /// The earliest start of the move; `None` starts immediately.
    pub not_before: Option<Timestamp>,
}

/// One endpoint behind its sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
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
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
}
