//! The operator's tables as one immutable version: routes, pools, client accounts and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// The answer is a series of events; a request may run once, unless it can be resumed.
    Streaming {
        /// Whether another endpoint can continue the stream after the last event.
        resumable: bool,
    },
}

/// One row of the route table.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Value of the host header that the route answers.
    pub host: Box<str>,
    /// Beginning of the paths that the route answers; it begins and ends with a slash.
    pub path_prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept, from its arrival.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub latency_objective: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub max_event_gap: Option<Duration>,
    /// Time without any event after which callers of a stream leave; `None` when they stay.
    pub idle_stream_timeout: Option<Duration>,
    /// Most endpoints that may run one request.
    pub max_attempts: u32,
    /// Urgency; 0 is the most urgent.
    pub rank: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// The pools that serve the route, with their shares of its requests.
    pub targets: Vec<(PoolName, u32)>,
}

impl Route {
    /// Chooses a pool by weight; `draw` is a random number.
    #[must_use]
    pub fn pool(&self, draw: u32) -> Option<&PoolName> {
        let total: u32 = self.targets.iter().map(|(_, weight)| weight).sum();
        let mut rest = draw.checked_rem(total)?;
        for (pool, weight) in &self.targets {
            if rest < *weight {
                return Some(pool);
            }
            rest -= weight;
        }
        None
    }

    /// Tells whether a request may be sent again after an endpoint may have run it.
    #[must_use]
    pub const fn may_run_again(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming { resumable } => resumable,
        }
    }
}

/// How much an account may ask for, over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Units a second in the long run; 0 means no limit.
    pub per_second: f64,
    /// Units at once after a quiet time.
    pub burst: f64,
    /// Whether a unit is a token; otherwise it is a request.
    pub counts_tokens: bool,
    /// Tokens that a request counts as when it does not declare its own.
    pub default_tokens: u64,
}

impl Quota {
    /// Returns the units that a request with `declared` tokens counts as.
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
    /// Urgency of its requests; `None` takes the route's.
    pub rank: Option<u32>,
    /// How much it may ask for; `None` means no limit.
    pub quota: Option<Quota>,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Time that a caller may take to send a body that has begun.
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
pub struct Deployment {
    version: u64,
    routes: HashMap<Box<str>, HashMap<Box<str>, Arc<Route>>>,
    cold_rates: HashMap<PoolName, f64>,
    accounts: Vec<Arc<Account>>,
    keys: HashMap<Box<str>, Arc<Account>>,
    limits: Limits,
}

impl Deployment {
    /// Creates an empty version.
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

    /// Sets how many requests a second an endpoint of `pool` bears while it is cold.
    pub fn set_cold_rate(&mut self, pool: PoolName, per_second: f64) {
        self.cold_rates.insert(pool, per_second);
    }

    /// Returns how many requests a second a cold endpoint bears, for the pools that limit them.
    #[must_use]
    pub const fn cold_rates(&self) -> &HashMap<PoolName, f64> {
        &self.cold_rates
    }

    /// Adds a client account with the API keys that name it.
    pub fn add_account(&mut self, account: Account, keys: impl IntoIterator<Item = Box<str>>) {
        let account = Arc::new(account);
        for key in keys {
            self.keys.insert(key, Arc::clone(&account));
        }
        self.accounts.push(account);
    }

    /// Returns the version, which only grows.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns what callers may send.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Tells whether requests have to carry an API key at all.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the account that holds an API key.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.keys.get(key)
    }

    /// Returns the route with the longest prefix of `path` on `host`.
    ///
    /// The cost grows with the number of slashes in the path, not with the number of routes.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let by_prefix = self.routes.get(host)?;
        path.rmatch_indices('/')
            .find_map(|(at, _)| by_prefix.get(&path[..=at]))
    }
}
