//! The router: state of all pools and the endpoint selection algorithm.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::gossip_state::GossipState;
use super::health::Outcome;
use super::length::OutputLength;
use super::policy::Policy;
use super::pool::PoolView;
use super::prefix::BLOCK_BYTES;
use super::prefix::CachedDepths;
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
use crate::wire::PREFILL_TOKENS_PER_OUTPUT_TOKEN;
use crate::wire::Report;

/// Number of candidates sampled at random for each selection.
const RANDOM_CANDIDATES: usize = 3;

/// Maximum number of candidates added because they hold the longest cached prefix.
const PREFIX_CANDIDATES: usize = 2;

/// Factor on the expected completion time of an endpoint in another failure domain.
const OTHER_DOMAIN_FACTOR: f64 = 1.05;

/// Weight of an indexed prefix while cache events of the endpoint are known to be missing.
const INCOMPLETE_INDEX_FACTOR: f64 = 0.5;

/// Age of the last load below which an unanswered report does not count against an endpoint.
const RECENT_CONTACT: Duration = Duration::from_secs(3);

/// Minimum time between two polls of one endpoint when an immediate report is requested.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);

/// Fraction of a prefix assumed to be cached at its affinity endpoint, so that requests with
/// the same prefix go there from the first one on.
const ASSIGNED_PREFIX_FACTOR: f64 = 0.5;

/// Penalty on endpoints where an order would preempt other work: an order accepts this much
/// delay to avoid a preemption.
const PREEMPTION_COST: Duration = Duration::from_millis(500);

/// Average bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;

/// Prompt tokens whose prefill delays a batch as long as generating one output token.
const PREFILL_TOKENS_PER_BATCH_TOKEN: f64 = 10.0;

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

    /// Returns the endpoint whose poll is most overdue and records `now` as its last poll.
    ///
    /// Each endpoint is polled at most once per `interval`, unless an immediate report was
    /// requested. Without an `interval`, only endpoints with such a request are polled.
    pub fn next_poll(&mut self, now: Monotonic, interval: Option<Duration>) -> Option<PollTarget> {
        let mut most_overdue: Option<(Duration, PoolName, usize)> = None;
        for (name, pool) in &self.pools {
            for i in pool.all_subsets() {
                let Some(wait) = pool
                    .views
                    .get(i)
                    .and_then(|v| poll_overdue(v, now, interval))
                else {
                    continue;
                };
                if most_overdue.as_ref().is_none_or(|(most, ..)| wait > *most) {
                    most_overdue = Some((wait, name.clone(), i));
                }
            }
        }
        let (_, name, i) = most_overdue?;
        self.pools.get_mut(&name)?.start_poll(now, i)
    }

    /// Returns the poll target for one endpoint and records `now` as its last poll.
    pub fn poll_target(
        &mut self,
        now: Monotonic,
        pool: &PoolName,
        endpoint: &EndpointName,
    ) -> Option<PollTarget> {
        let view = self.pools.get_mut(pool)?;
        let i = view.position(endpoint)?;
        view.start_poll(now, i)
    }

    /// Requests immediate reports from the endpoints of a pool.
    ///
    /// A poll also sends them the brakes and splits known here.
    pub fn request_reports(&mut self, pool: &PoolName) {
        let Some(pool) = self.pools.get_mut(pool) else {
            return;
        };
        let subset: Vec<usize> = pool.all_subsets().collect();
        for i in subset {
            if let Some(view) = pool.views.get_mut(i) {
                view.request_report();
            }
        }
    }

    /// Requests immediate reports from the endpoints of all pools.
    pub fn request_all_reports(&mut self) {
        let pools: Vec<PoolName> = self.pools.keys().cloned().collect();
        for pool in pools {
            self.request_reports(&pool);
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

    fn is_usable(&self, now: Monotonic, pool: &PoolView, view: &EndpointView) -> bool {
        let name = &view.endpoint.name;
        view.is_usable(now) && !self.gossip.is_leaving(&pool.pool.name, name)
    }

    fn select_home(&self, pool: &PoolView, home: &EndpointName) -> Result<usize, Choice> {
        let unavailable = Choice::Refused(Kind::PoolUnavailable);
        let Some(i) = pool.position(home) else {
            return Err(unavailable);
        };
        let Some(view) = pool.views.get(i) else {
            return Err(unavailable);
        };
        if view.load().is_none() {
            return Err(unreported_choice(view));
        }
        if self.gossip.is_braked(&pool.pool.name, &view.version) {
            return Err(Choice::Refused(Kind::Braked));
        }
        // No other endpoint may serve the request, so it is tried even if it seems unreachable.
        Ok(i)
    }

    fn select_endpoint(
        &self,
        now: Monotonic,
        pool: &PoolView,
        query: &RoutingQuery<'_>,
        rng: &mut impl Rng,
    ) -> Result<usize, Choice> {
        let Some(version) = self
            .gossip
            .version_for(&pool.pool, query.route, query.split_key)
        else {
            return Err(Choice::Refused(Kind::Braked));
        };
        let subset = pool.subset(&version);
        let usable = self.usable_endpoints(now, pool, subset, query);
        if usable.is_empty() {
            return Err(no_usable_endpoint(pool, subset));
        }
        if self.policy.ignores_load() {
            return self.select_baseline(pool, &usable).ok_or(Choice::Full);
        }
        let mut available = usable;
        available.retain(|i| pool.views.get(*i).is_some_and(|v| v.has_room(query.tier)));
        self.select_earliest(now, pool, &version, &available, query, rng)
            .ok_or(Choice::Full)
    }

    /// Returns the usable endpoints of `subset`.
    ///
    /// Endpoints already tried and ejected endpoints are left out unless no others remain.
    fn usable_endpoints(
        &self,
        now: Monotonic,
        pool: &PoolView,
        subset: &[usize],
        query: &RoutingQuery<'_>,
    ) -> Vec<usize> {
        let view = |i: &usize| pool.views.get(*i);
        let mut usable: Vec<usize> = subset
            .iter()
            .copied()
            .filter(|i| view(i).is_some_and(|v| self.is_usable(now, pool, v)))
            .collect();
        let untried = |v: &EndpointView| !query.tried.contains(&v.endpoint.name);
        let in_service = |v: &EndpointView| !v.health.is_ejected(now);
        for wanted in [&untried as &dyn Fn(&EndpointView) -> bool, &in_service] {
            if usable.iter().any(|i| view(i).is_some_and(wanted)) {
                usable.retain(|i| view(i).is_some_and(wanted));
            }
        }
        usable
    }

    fn select_baseline(&self, pool: &PoolView, usable: &[usize]) -> Option<usize> {
        if self.policy == Policy::RoundRobin {
            return usable.get(pool.round_robin_index % usable.len()).copied();
        }
        usable
            .iter()
            .copied()
            .min_by_key(|i| pool.views.get(*i).map(|v| v.outstanding))
    }

    fn select_earliest(
        &self,
        now: Monotonic,
        pool: &PoolView,
        version: &VersionName,
        available: &[usize],
        query: &RoutingQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        if available.is_empty() {
            return None;
        }
        let cached = if self.policy.uses_prefix() {
            CachedPrefix {
                depths: pool.prefix.depths(query.prefix),
                assigned: affinity_endpoint(pool, available, query.prefix),
            }
        } else {
            CachedPrefix::default()
        };
        let mean = pool.mean_backlog(version);
        let deepest = cached.depths.deepest();
        let holders = available
            .iter()
            .filter(|i| pool.slot(**i).is_some_and(|s| deepest & (1 << s) != 0))
            .take(PREFIX_CANDIDATES);
        let drawn = (0..RANDOM_CANDIDATES).map(|_| rng.random_range(0..available.len()));
        drawn
            .filter_map(|n| available.get(n))
            .chain(holders)
            .copied()
            .chain(cached.assigned)
            .map(|i| {
                (
                    self.expected_completion(now, pool, i, mean, &cached, query),
                    i,
                )
            })
            .min()
            .map(|(_, i)| i)
    }

    /// Returns the expected completion time as a `Duration`, which has a total order.
    fn expected_completion(
        &self,
        now: Monotonic,
        pool: &PoolView,
        i: usize,
        mean: f64,
        cached: &CachedPrefix,
        query: &RoutingQuery<'_>,
    ) -> Duration {
        let Some(view) = pool.views.get(i) else {
            return Duration::MAX;
        };
        let saved = cached.tokens(pool, i, query.prefix);
        let own_tokens =
            (query.tokens as f64 - saved / f64::from(PREFILL_TOKENS_PER_OUTPUT_TOKEN)).max(1.0);
        let shared_tokens = view.backlog(now, mean) - saved / PREFILL_TOKENS_PER_BATCH_TOKEN;
        // Orders are spread by backlog, because otherwise the fastest engines would get too many.
        let batch_factor = if query.tier == Tier::Order {
            1.0
        } else {
            view.slots()
        };
        let mut seconds = (own_tokens * batch_factor + shared_tokens).max(0.0) / view.speed();
        if query.tier == Tier::Order && !view.has_free_slot() {
            seconds += PREEMPTION_COST.as_secs_f64();
        }
        let domain = if view.endpoint.domain == self.domain {
            1.0
        } else {
            OTHER_DOMAIN_FACTOR
        };
        let weighted = seconds * domain * view.health.penalty(now);
        Duration::try_from_secs_f64(weighted).unwrap_or(Duration::MAX)
    }

    fn reserve(
        &mut self,
        now: Monotonic,
        pool: &PoolName,
        i: usize,
        query: &RoutingQuery<'_>,
    ) -> Choice {
        let refused = Choice::Refused(Kind::PoolUnavailable);
        let expected = match self.pools.get(pool) {
            Some(view) => {
                self.expected_completion(now, view, i, 0.0, &CachedPrefix::default(), query)
            }
            None => return refused,
        };
        let Some(pool) = self.pools.get_mut(pool) else {
            return refused;
        };
        pool.round_robin_index = pool.round_robin_index.wrapping_add(1);
        if let Some(slot) = pool.slot(i) {
            pool.prefix.add_dispatched(slot, query.prefix);
        }
        let Some(view) = pool.views.get_mut(i) else {
            return refused;
        };
        view.record_dispatch(now, query.request, query.tokens);
        let Some(load) = view.load() else {
            return refused;
        };
        Choice::Send(Candidate {
            endpoint: Arc::clone(&view.endpoint),
            version: view.version.clone(),
            incarnation: load.incarnation,
            mark: load.mark,
            expected,
        })
    }
}

/// Endpoints that probably hold the prefix of one request in their cache.
#[derive(Debug, Default)]
struct CachedPrefix {
    depths: CachedDepths,
    /// The affinity endpoint of this prefix.
    assigned: Option<usize>,
}

impl CachedPrefix {
    /// Returns the number of prompt tokens that the endpoint at `i` need not prefill.
    fn tokens(&self, pool: &PoolView, i: usize, prefix: &[u64]) -> f64 {
        let known = pool.slot(i).map_or(0.0, |slot| {
            let index_weight = if pool.prefix.is_incomplete(slot) {
                INCOMPLETE_INDEX_FACTOR
            } else {
                1.0
            };
            index_weight * self.depths.of(slot) as f64
        });
        let assumed = if self.assigned == Some(i) {
            ASSIGNED_PREFIX_FACTOR * prefix.len() as f64
        } else {
            0.0
        };
        known.max(assumed) * (BLOCK_BYTES / BYTES_PER_TOKEN) as f64
    }
}

/// Returns the affinity endpoint of a prefix among `available`, by rendezvous hashing.
fn affinity_endpoint(pool: &PoolView, available: &[usize], prefix: &[u64]) -> Option<usize> {
    let first = prefix.first()?;
    let score = |i: &usize| {
        let name = &pool.views.get(*i)?.endpoint.name;
        Some(xxh3_64_with_seed(name.as_str().as_bytes(), *first))
    };
    available.iter().copied().max_by_key(|i| score(i))
}

/// Returns the poll priority of an endpoint, or `None` when it is not due.
///
/// The priority is the age of its last poll or report, whichever is newer; endpoints never
/// polled and those with a requested report have the highest.
fn poll_overdue(
    view: &EndpointView,
    now: Monotonic,
    interval: Option<Duration>,
) -> Option<Duration> {
    let Some(asked) = view.polled_at else {
        return Some(Duration::MAX);
    };
    if view.report_requested && now.since(asked) >= URGENT_INTERVAL {
        return Some(Duration::MAX);
    }
    if now.since(asked) < interval? {
        return None;
    }
    Some(now.since(asked).min(view.staleness(now)))
}

fn unreported_choice(view: &EndpointView) -> Choice {
    if view.polled_at.is_none() {
        Choice::Unreported
    } else {
        Choice::Refused(Kind::PoolUnavailable)
    }
}

fn no_usable_endpoint(pool: &PoolView, subset: &[usize]) -> Choice {
    let mut views = subset.iter().filter_map(|i| pool.views.get(*i));
    if views.any(|v| v.load().is_none() && v.polled_at.is_none()) {
        return Choice::Unreported;
    }
    Choice::Refused(Kind::PoolUnavailable)
}
