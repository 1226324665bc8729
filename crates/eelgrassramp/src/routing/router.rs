//! The router: state of all pools and the endpoint selection algorithm.

mod polling;
mod selection;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use self::selection::no_usable_endpoint;
use super::gossip_state::GossipState;
use super::health::Outcome;
use super::length::OutputLength;
use super::policy::Policy;
use super::pool::PoolView;
use super::view::EndpointView;
use crate::error::Kind;
use crate::id::ClockMark;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::id::TableVersion;
use crate::name::DomainName;
use crate::name::EndpointName;
use crate::name::EntryName;
use crate::name::PoolName;
use crate::name::RouteName;
use crate::name::VersionName;
use crate::num;
use crate::tables::Endpoint;
use crate::tables::Pool;
use crate::tables::Tables;
use crate::tier::Tier;
use crate::time::Monotonic;
use crate::wire::Load;
use crate::wire::Report;

/// Age of the last load below which an unanswered report does not count against an endpoint.
const RECENT_CONTACT: Duration = Duration::from_secs(3);

/// Properties of a request that endpoint selection depends on.
#[derive(Debug, Clone, Copy)]
pub struct RoutingQuery<'a> {
    /// Identifier of the request.
    pub request: RequestId,
    /// Key that decides the side of a split: the idempotency key if there is one, otherwise the
    /// request identifier.
    pub split_key: RequestId,
    /// The route.
    pub route: &'a RouteName,
    /// Priority tier of the request.
    pub tier: Tier,
    /// Predicted work in tokens.
    pub tokens: u64,
    /// Hash chain of the prompt's prefix blocks.
    pub prefix: &'a [u64],
    /// Endpoints that already failed this request.
    pub tried: &'a [EndpointName],
    /// The only endpoint that may serve the request, for example because it holds the request's
    /// idempotency key.
    pub home: Option<&'a EndpointName>,
}

/// A selected endpoint and the data that a dispatch to it must carry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// The version that it serves.
    pub version: VersionName,
    /// The incarnation of its sidecar, which changes with each restart.
    pub incarnation: Incarnation,
    /// The sidecar's last reported clock.
    pub mark: ClockMark,
    /// Expected time until the response is complete.
    pub expected: Duration,
}

/// Result of an endpoint selection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// The request goes to this endpoint and counts as outstanding there from now on.
    Send(Candidate),
    /// All endpoints are at capacity; the request waits.
    Full,
    /// No endpoint has reported yet; the request waits.
    Unreported,
    /// No endpoint can take the request.
    Refused(Kind),
}

/// An endpoint to poll for a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollTarget {
    /// The pool.
    pub pool: PoolName,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Address of its sidecar.
    pub sidecar: SocketAddr,
    /// Sequence number of the last known cache event.
    pub cache_seq: u64,
}

/// Tracks the endpoints of all pools and selects one for each request.
#[derive(Debug)]
pub struct Router {
    entry: EntryName,
    domain: DomainName,
    policy: Policy,
    tables: TableVersion,
    pools: BTreeMap<PoolName, PoolView>,
    gossip: GossipState,
    lengths: BTreeMap<RouteName, OutputLength>,
}

impl Router {
    /// Creates a router without any endpoints.
    #[must_use]
    pub fn new(entry: EntryName, domain: DomainName, policy: Policy) -> Self {
        Self {
            entry,
            domain,
            policy,
            tables: TableVersion::default(),
            pools: BTreeMap::new(),
            gossip: GossipState::default(),
            lengths: BTreeMap::new(),
        }
    }

    /// Returns the gossiped brakes, splits and leaving endpoints.
    #[must_use]
    pub const fn gossip(&self) -> &GossipState {
        &self.gossip
    }

    /// Returns the gossiped brakes, splits and leaving endpoints for modification.
    pub const fn gossip_mut(&mut self) -> &mut GossipState {
        &mut self.gossip
    }

    /// Applies `tables`, unless they are not newer than the current ones.
    pub fn sync(&mut self, tables: &Tables) {
        if tables.version <= self.tables && !self.pools.is_empty() {
            return;
        }
        self.tables = tables.version;
        self.pools.retain(|name, _| tables.pools.contains_key(name));
        for (name, pool) in &tables.pools {
            if let Some(view) = self.pools.get_mut(name) {
                view.sync(&self.entry, Arc::clone(pool));
            } else {
                let view = PoolView::new(&self.entry, Arc::clone(pool));
                self.pools.insert(name.clone(), view);
            }
        }
        self.lengths
            .retain(|name, _| tables.routes.iter().any(|r| r.name == *name));
    }

    /// Predicts the number of output tokens of a request of `route`.
    #[must_use]
    pub fn predict_output(&self, route: &RouteName, limit: Option<u32>) -> u32 {
        match self.lengths.get(route) {
            Some(lengths) => lengths.predict(limit),
            None => OutputLength::default().predict(limit),
        }
    }

    /// Records the number of output tokens of a request of `route`.
    pub fn record_output(&mut self, route: &RouteName, tokens: u32) {
        match self.lengths.get_mut(route) {
            Some(lengths) => lengths.record(tokens),
            None => self
                .lengths
                .entry(route.clone())
                .or_default()
                .record(tokens),
        }
    }

    /// Selects an endpoint and counts the request as outstanding there.
    ///
    /// Every [`Choice::Send`] must be followed by exactly one [`Self::ended`].
    pub fn choose(
        &mut self,
        now: Monotonic,
        pool: &PoolName,
        query: &RoutingQuery<'_>,
        rng: &mut impl Rng,
    ) -> Choice {
        let Some(view) = self.pools.get(pool) else {
            return Choice::Refused(Kind::PoolUnavailable);
        };
        let position = match query.home {
            Some(home) => self.select_home(view, home),
            None => self.select_endpoint(now, view, query, rng),
        };
        match position {
            Ok(i) => self.reserve(now, pool, i, query),
            Err(choice) => choice,
        }
    }

    /// Records the end of a dispatch that [`Self::choose`] started.
    pub fn ended(
        &mut self,
        now: Monotonic,
        pool: &PoolName,
        endpoint: &EndpointName,
        request: RequestId,
        outcome: Outcome,
    ) {
        let Some(pool) = self.pools.get_mut(pool) else {
            return;
        };
        let may_eject = pool.may_eject(now);
        if let Some(view) = pool.get_mut(endpoint) {
            view.record_completion(request);
            view.health.record(now, outcome, may_eject);
        }
    }

    /// Records a load that includes everything sent until `basis`.
    pub fn observe_load(
        &mut self,
        now: Monotonic,
        basis: Monotonic,
        pool: &PoolName,
        endpoint: &EndpointName,
        load: Load,
    ) {
        let Some(pool) = self.pools.get_mut(pool) else {
            return;
        };
        if let Some(i) = pool.position(endpoint) {
            pool.observe(now, basis, i, load);
        }
    }

    /// Records the report that was requested at `asked`.
    pub fn observe_report(
        &mut self,
        now: Monotonic,
        asked: Monotonic,
        target: &PollTarget,
        report: &Report,
    ) {
        if self.merge_gossip(report) {
            self.request_reports(&target.pool);
        }
        let Some(pool) = self.pools.get_mut(&target.pool) else {
            return;
        };
        let Some(i) = pool.position(&target.endpoint) else {
            return;
        };
        pool.observe(now, asked, i, report.load);
        pool.set_version(&self.entry, i, &report.version);
        if let Some(slot) = pool.slot(i) {
            pool.prefix.update(slot, target.cache_seq, &report.cache);
        }
    }

    /// Merges the brakes and the split of a report; returns whether any of them was new.
    fn merge_gossip(&mut self, report: &Report) -> bool {
        let mut is_new = false;
        for brake in &report.brakes {
            is_new |= self.gossip.add_brake(brake.clone());
        }
        if let Some(split) = &report.split {
            is_new |= self.gossip.add_split(split.clone());
        }
        is_new
    }

    /// Records that a sidecar did not answer a report.
    ///
    /// A sidecar that still answers requests counts as reachable, even when reports are slow or
    /// lost.
    pub fn report_failed(&mut self, now: Monotonic, target: &PollTarget) {
        let Some(pool) = self.pools.get_mut(&target.pool) else {
            return;
        };
        let may_eject = pool.may_eject(now);
        if let Some(view) = pool.get_mut(&target.endpoint)
            && view.staleness(now) >= RECENT_CONTACT
        {
            view.health.record(now, Outcome::Unreachable, may_eject);
        }
    }

    /// Returns whether a sidecar has brakes or a split that are missing here.
    #[must_use]
    pub fn is_behind(&self, pool: &PoolName, load: &Load) -> bool {
        let brakes = self.gossip.brakes_of(pool).count();
        let split = self.gossip.split(pool).map(|s| s.seq);
        num::count(brakes) < u64::from(load.brakes) || split.unwrap_or_default() < load.split
    }

    /// Returns whether at least one endpoint of each non-empty pool has reported.
    #[must_use]
    pub fn has_reports(&self) -> bool {
        self.pools
            .values()
            .all(|pool| pool.views.is_empty() || pool.views.iter().any(|v| v.load().is_some()))
    }

    /// Returns whether every usable endpoint refuses all work less urgent than orders.
    #[must_use]
    pub fn admits_only_orders(&self, now: Monotonic, pool: &PoolName) -> bool {
        let Some(pool) = self.pools.get(pool) else {
            return true;
        };
        pool.views
            .iter()
            .filter(|v| self.is_usable(now, pool, v))
            .filter_map(EndpointView::load)
            .all(|load| load.floor == Tier::Order)
    }

    /// Returns the total speed of the usable endpoints of a pool, in tokens per second.
    #[must_use]
    pub fn pool_speed(&self, now: Monotonic, pool: &PoolName) -> f64 {
        let Some(pool) = self.pools.get(pool) else {
            return 0.0;
        };
        pool.views
            .iter()
            .filter(|v| self.is_usable(now, pool, v))
            .map(EndpointView::speed)
            .sum()
    }

    /// Returns the last load of an endpoint.
    #[must_use]
    pub fn load_of(&self, pool: &PoolName, endpoint: &EndpointName) -> Option<&Load> {
        let pool = self.pools.get(pool)?;
        pool.views.get(pool.position(endpoint)?)?.load()
    }

    /// Returns the version of the applied tables.
    #[must_use]
    pub const fn tables(&self) -> TableVersion {
        self.tables
    }

    /// Returns the applied table row of a pool.
    #[must_use]
    pub fn pool(&self, pool: &PoolName) -> Option<&Arc<Pool>> {
        self.pools.get(pool).map(|view| &view.pool)
    }

    /// Returns whether [`Self::choose`] would dispatch or refuse a request of `tier` instead of
    /// letting it wait.
    #[must_use]
    pub fn would_decide(
        &self,
        now: Monotonic,
        pool: &PoolName,
        version: &VersionName,
        tier: Tier,
    ) -> bool {
        let Some(view) = self.pools.get(pool) else {
            return true;
        };
        if self.gossip.is_braked(pool, version) {
            return true;
        }
        let subset = view.subset(version);
        let views = || subset.iter().filter_map(|i| view.views.get(*i));
        let mut usable = views().filter(|v| self.is_usable(now, view, v)).peekable();
        if usable.peek().is_none() {
            return no_usable_endpoint(view, subset) != Choice::Unreported;
        }
        self.policy.ignores_load() || usable.any(|v| v.has_room(tier))
    }
}
