//! One immutable version of the operator's tables: routes, pools, client accounts and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;

/// Whether requests on a route may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may be executed more than once.
    Idempotent,
    /// A request may be executed at most once.
    NonIdempotent,
    /// The response is an event stream; a request may be executed again only if it is resumable.
    Streaming {
        /// Whether another endpoint can resume the stream after the last event.
        resumable: bool,
    },
}

/// One row of the route table.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// `Host` header value that the route matches.
    pub host: Box<str>,
    /// Path prefix that the route matches; starts and ends with a slash.
    pub path_prefix: Box<str>,
    /// Whether requests may be executed more than once.
    pub kind: RouteKind,
    /// Maximum duration of a request, from its arrival.
    pub timeout: Duration,
    /// Latency objective for the response, or for the first event of a stream.
    pub latency_objective: Duration,
    /// Maximum time between two events of a stream that meets its objective.
    pub max_event_gap: Option<Duration>,
    /// Time without any event after which callers abandon a stream; `None` if they do not.
    pub idle_stream_timeout: Option<Duration>,
    /// Maximum number of times that one request may have been executed by endpoints.
    pub max_executions: u32,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether requests are accepted without an API key.
    pub public: bool,
    /// Pools that serve the route, with their weights.
    pub pools: Vec<(PoolName, u32)>,
}

impl Route {
    /// Chooses a pool by weight; `draw` is a random number.
    #[must_use]
    pub fn pool(&self, draw: u32) -> Option<&PoolName> {
        let total: u32 = self.pools.iter().map(|(_, weight)| weight).sum();
        let mut remaining = draw.checked_rem(total)?;
        for (pool, weight) in &self.pools {
            if remaining < *weight {
                return Some(pool);
            }
            remaining -= weight;
        }
        None
    }

    /// Returns whether a request may be retried after an endpoint may have executed it.
    #[must_use]
    pub const fn may_execute_again(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming { resumable } => resumable,
        }
    }
}

/// Rate limit of an account, over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Sustained rate in units per second; 0 means no limit.
    pub per_second: f64,
    /// Burst size in units, available after an idle period.
    pub burst: f64,
    /// Whether a unit is a token; otherwise it is a request.
    pub counts_tokens: bool,
    /// Number of tokens charged for a request that declares none.
    pub default_tokens: u64,
}

impl Quota {
    /// Returns the cost in units of a request with `declared` tokens.
    #[must_use]
    pub fn units(&self, declared: Option<u64>) -> f64 {
        if self.counts_tokens {
            declared.unwrap_or(self.default_tokens) as f64
        } else {
            1.0
        }
    }
}

/// One client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Name of the account.
    pub name: AccountName,
    /// Priority of its requests; `None` uses that of the route.
    pub priority: Option<u32>,
    /// Rate limit; `None` means no limit.
    pub quota: Option<Quota>,
}

/// Limits on the size and duration of requests from callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving a request body once it has begun.
    pub receive_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            receive_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the operator's tables.
#[derive(Debug, Default)]
pub struct Tables {
    version: u64,
    routes: HashMap<Box<str>, HashMap<Box<str>, Arc<Route>>>,
    cold_rate_limits: HashMap<PoolName, f64>,
    accounts: Vec<Arc<Account>>,
    keys: HashMap<Box<str>, Arc<Account>>,
    limits: Limits,
}

impl Tables {
    /// Creates an empty version of the tables.
    #[must_use]
    pub fn new(version: u64, limits: Limits) -> Self {
        Self {
            version,
            limits,
            ..Self::default()
        }
    }

    /// Adds a route; a later one with the same host and prefix replaces it.
    pub fn add_route(&mut self, route: Route) {
        let by_prefix = self.routes.entry(route.host.clone()).or_default();
        by_prefix.insert(route.path_prefix.clone(), Arc::new(route));
    }

    /// Sets the rate limit of each cold endpoint of `pool` in requests per second.
    pub fn set_cold_rate_limit(&mut self, pool: PoolName, per_second: f64) {
        self.cold_rate_limits.insert(pool, per_second);
    }

    /// Returns the rate limits of cold endpoints in requests per second, for pools that have one.
    #[must_use]
    pub const fn cold_rate_limits(&self) -> &HashMap<PoolName, f64> {
        &self.cold_rate_limits
    }

    /// Adds a client account with its API keys.
    pub fn add_account(&mut self, account: Account, keys: impl IntoIterator<Item = Box<str>>) {
        let account = Arc::new(account);
        for key in keys {
            self.keys.insert(key, Arc::clone(&account));
        }
        self.accounts.push(account);
    }

    /// Returns the version number, which only increases.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on requests from callers.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns whether there are any accounts; without them, no request needs an API key.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the account that holds an API key.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.keys.get(key)
    }

    /// Returns the weight of an account's share of a contended pool: the rate of its quota, or the
    /// mean rate of all quotas if it has none.
    #[must_use]
    pub fn share_weight(&self, account: &Account) -> f64 {
        let rate = |account: &Account| account.quota.map(|quota| quota.per_second);
        let own = rate(account).filter(|rate| *rate > 0.0);
        own.unwrap_or_else(|| {
            let rates = self.accounts.iter().filter_map(|account| rate(account));
            let (sum, count) = rates
                .filter(|rate| *rate > 0.0)
                .fold((0.0, 0.0), |(sum, count), rate| (sum + rate, count + 1.0));
            if count > 0.0 { sum / count } else { 1.0 }
        })
    }

    /// Returns the route with the longest prefix of `path` on `host`.
    ///
    /// The cost grows with the number of slashes in the path, not with the number of routes.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let by_prefix = self.routes.get(host)?;
        path.rmatch_indices('/')
            .find_map(|(index, _)| by_prefix.get(&path[..=index]))
    }
}
