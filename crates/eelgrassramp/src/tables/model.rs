//! The checked tables of routes and pools.

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

/// Both tables at one version, checked and joined by name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tables {
    /// The version that the object API accepted; it only ever grows.
    pub version: TableVersion,
    /// The edit that made this version, so that a lost reply can be settled.
    pub edit: Option<Edit>,
    /// The route table, in order of declaration; the first match wins.
    pub routes: Vec<Arc<Route>>,
    /// The pool table.
    pub pools: BTreeMap<PoolName, Arc<Pool>>,
}

impl Tables {
    /// Finds the route for a path and, where the caller named one, a model.
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

/// Who made a version of the tables and on what.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// Identifies the edit.
    pub id: RequestId,
    /// When it was made, by the operator's clock.
    pub at: Timestamp,
    /// The version that it was made on.
    pub base: TableVersion,
    /// The operator's words.
    pub message: Arc<str>,
}

/// One row of the route table: which requests it takes, how urgent they are, where they go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The row's name.
    pub name: RouteName,
    /// The exact request path, or a prefix when it ends with `*`.
    pub path: Arc<str>,
    /// The model that the request body must name; `None` takes any.
    pub model: Option<Arc<str>>,
    /// How urgent the requests are.
    pub tier: Tier,
    /// The pool that serves the requests.
    pub pool: PoolName,
    /// Whether a request has an effect that must not happen twice, such as a charge.
    ///
    /// Such a request is never cancelled or displaced once it has started.
    pub non_idempotent: bool,
    /// Time from acceptance to the last byte of the answer.
    pub timeout: Duration,
    /// Largest accepted request body in bytes.
    pub max_body_bytes: usize,
}

impl Route {
    /// Returns whether the row takes a request.
    #[must_use]
    pub fn matches(&self, path: &str, model: Option<&str>) -> bool {
        let path_fits = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == &*self.path,
        };
        path_fits
            && self
                .model
                .as_deref()
                .is_none_or(|wanted| model == Some(wanted))
    }
}

/// What the endpoints of a pool are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolKind {
    /// Model engines that batch continuously, stream and can be cancelled.
    Model,
    /// Plain services that answer one call at a time.
    Service,
}

/// Who checks the fencing token of an order to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FencingCheck {
    /// The engine refuses an order that carries an old token.
    Engine,
    /// The engine ignores tokens, so its sidecar checks them.
    Sidecar,
}

/// One row of the pool table: a group of endpoints that serve the same requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// The row's name.
    pub name: PoolName,
    /// What the endpoints are.
    pub kind: PoolKind,
    /// The version that serves when no move is under way.
    pub version: VersionName,
    /// The move to another version that the operators ask for.
    pub r#move: Option<Move>,
    /// Who checks fencing tokens.
    pub fencing: FencingCheck,
    /// Relative shares of client accounts; an account that is not listed has share 1.
    pub weights: BTreeMap<AccountName, u32>,
    /// The endpoints, by name.
    pub endpoints: BTreeMap<EndpointName, Arc<Endpoint>>,
    /// Earlier sets of endpoints that may still remember idempotency keys, the newest first.
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

/// The endpoints that a pool had before an edit replaced some of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FormerMembers {
    /// When the edit was made.
    pub until: Timestamp,
    /// Where the sidecars listened.
    pub sidecars: BTreeMap<EndpointName, SocketAddr>,
}

/// A move of a pool's traffic to another version by a date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The version that takes over.
    pub to: VersionName,
    /// The time by which all traffic must be on it.
    pub by: Timestamp,
    /// The earliest time to begin; `None` begins at once.
    pub not_before: Option<Timestamp>,
}

/// One back end behind its sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
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
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
}
