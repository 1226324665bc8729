//! Selection of the endpoint for a request.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Candidate;
use super::Choice;
use super::Router;
use super::RoutingQuery;
use crate::error::Kind;
use crate::name::EndpointName;
use crate::name::PoolName;
use crate::name::VersionName;
use crate::routing::policy::Policy;
use crate::routing::pool::PoolView;
use crate::routing::prefix::BLOCK_BYTES;
use crate::routing::prefix::CachedDepths;
use crate::routing::view::EndpointView;
use crate::tier::Tier;
use crate::time::Monotonic;
use crate::wire::PREFILL_TOKENS_PER_OUTPUT_TOKEN;

/// Number of candidates sampled at random for each selection.
const RANDOM_CANDIDATES: usize = 3;

/// Maximum number of candidates added because they hold the longest cached prefix.
const PREFIX_CANDIDATES: usize = 2;

/// Factor on the expected completion time of an endpoint in another failure domain.
const OTHER_DOMAIN_FACTOR: f64 = 1.05;

/// Weight of an indexed prefix while cache events of the endpoint are known to be missing.
const INCOMPLETE_INDEX_FACTOR: f64 = 0.5;

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

impl Router {
    /// Returns whether requests may be sent to an endpoint.
    pub(super) fn is_usable(&self, now: Monotonic, pool: &PoolView, view: &EndpointView) -> bool {
        let name = &view.endpoint.name;
        view.is_usable(now) && !self.gossip.is_leaving(&pool.pool.name, name)
    }

    /// Returns the position of the home endpoint of an idempotency key, or why it cannot be used.
    pub(super) fn select_home(
        &self,
        pool: &PoolView,
        home: &EndpointName,
    ) -> Result<usize, Choice> {
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

    /// Returns the position of the best endpoint for a request, or why there is none.
    pub(super) fn select_endpoint(
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

    /// Records the dispatch of a request to the endpoint at position `i`.
    pub(super) fn reserve(
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

fn unreported_choice(view: &EndpointView) -> Choice {
    if view.polled_at.is_none() {
        Choice::Unreported
    } else {
        Choice::Refused(Kind::PoolUnavailable)
    }
}

/// Returns why none of the endpoints of `subset` can be used.
pub(super) fn no_usable_endpoint(pool: &PoolView, subset: &[usize]) -> Choice {
    let mut views = subset.iter().filter_map(|i| pool.views.get(*i));
    if views.any(|v| v.load().is_none() && v.polled_at.is_none()) {
        return Choice::Unreported;
    }
    Choice::Refused(Kind::PoolUnavailable)
}
