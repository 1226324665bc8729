//! Object API client with rate limit, metrics and rejection of outdated replies.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cadence::prelude::*;
use rand::rngs::StdRng;

use super::api::Object;
use super::api::ObjectApi;
use super::api::Vm;
use super::backoff::StoreBackoff;
use super::rate_limiter::CallRateLimiter;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::id::ObjectVersion;
use crate::process::Context;

/// Timeout of a call; for a watch, its wait time is added.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum wait for the rate limiter; a call that would wait longer fails.
pub const MAX_RATE_LIMIT_WAIT: Duration = Duration::from_secs(1);

/// Maximum number of keys whose newest version is recorded.
const MAX_RECORDED_KEYS: usize = 1_024;

/// Rate limit of one process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreClientLimits {
    /// Sustained calls per second.
    pub calls_per_second: f64,
    /// Burst size in calls.
    pub burst: f64,
}

impl Default for StoreClientLimits {
    fn default() -> Self {
        Self {
            calls_per_second: 5.0,
            burst: 20.0,
        }
    }
}

/// Kinds of calls that are counted separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallKind {
    /// Reads one object.
    Get,
    /// Writes one object.
    Put,
    /// Waits for a change of one object.
    Watch,
    /// Reads all objects with a key prefix.
    List,
    /// Reads the list of VMs.
    Vms,
}

impl CallKind {
    /// Returns the value of the metrics label.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Put => "put",
            Self::Watch => "watch",
            Self::List => "list",
            Self::Vms => "vms",
        }
    }
}

/// Number of calls of one kind and purpose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallTotal {
    /// The kind of call.
    pub kind: CallKind,
    /// Purpose: the first segment of the key, such as `leases`.
    pub purpose: Box<str>,
    /// Number of calls.
    pub calls: u64,
}

/// Limits the rate of calls, applies timeouts and rejects replies older than one seen before.
pub struct StoreClient {
    api: Arc<dyn ObjectApi>,
    cx: Context,
    state: Mutex<State>,
}

struct State {
    rate_limiter: CallRateLimiter,
    backoff: StoreBackoff,
    rng: StdRng,
    newest_versions: BTreeMap<String, ObjectVersion>,
    totals: BTreeMap<(CallKind, Box<str>), u64>,
}

impl StoreClient {
    /// Wraps `api`.
    #[must_use]
    pub fn new(cx: &Context, api: Arc<dyn ObjectApi>, limits: StoreClientLimits) -> Self {
        Self {
            api,
            state: Mutex::new(State {
                rate_limiter: CallRateLimiter::new(limits.calls_per_second, limits.burst),
                backoff: StoreBackoff::new(),
                rng: cx.rng("store"),
                newest_versions: BTreeMap::new(),
                totals: BTreeMap::new(),
            }),
            cx: cx.clone(),
        }
    }

    /// Returns the number of calls made so far.
    #[must_use]
    pub fn totals(&self) -> Vec<CallTotal> {
        let state = self.lock();
        let totals = state.totals.iter();
        totals
            .map(|((kind, purpose), calls)| CallTotal {
                kind: *kind,
                purpose: purpose.clone(),
                calls: *calls,
            })
            .collect()
    }

    async fn call<T>(
        &self,
        kind: CallKind,
        key: &str,
        limit: Duration,
        call: impl Future<Output = Result<T>> + Send,
    ) -> Result<T> {
        self.admit(kind, key).await?;
        let result = self.cx.timers.limit(limit, call).await;
        let result = result.unwrap_or_else(|| Err(timeout_error(kind, key)));
        self.record_outcome(kind, &result);
        result
    }

    /// Waits for the rate limiter and counts the call; fails if the wait is too long or during the
    /// backoff after failures.
    async fn admit(&self, kind: CallKind, key: &str) -> Result<()> {
        let now = self.cx.timers.now();
        let wait = self.lock().reserve(now, key)?;
        if !wait.is_zero() {
            self.cx.timers.after(wait).await;
        }
        let purpose = key.split('/').next().unwrap_or(key);
        *self
            .lock()
            .totals
            .entry((kind, purpose.into()))
            .or_default() += 1;
        let counted = self.cx.metrics.count_with_tags("store.calls", 1);
        // A metric that cannot be sent is dropped.
        let _sent = counted
            .with_tag("kind", kind.as_str())
            .with_tag("purpose", purpose)
            .try_send();
        Ok(())
    }

    fn record_outcome<T>(&self, kind: CallKind, result: &Result<T>) {
        let now = self.cx.timers.now();
        let mut state = self.lock();
        let state = &mut *state;
        match result {
            Err(e) if matches!(e.kind(), Kind::StoreUnavailable | Kind::WriteUnsettled) => {
                state.backoff.fail(now, &mut state.rng);
                let counted = self.cx.metrics.count_with_tags("store.failures", 1);
                // A metric that cannot be sent is dropped.
                let _sent = counted.with_tag("kind", kind.as_str()).try_send();
            }
            _ => state.backoff.succeed(),
        }
    }

    /// Rejects an object that is older than one seen before under the same key.
    fn reject_outdated(&self, object: Object) -> Result<Object> {
        let mut state = self.lock();
        let newest = state
            .newest_versions
            .get(&object.key)
            .copied()
            .unwrap_or_default();
        if object.version < newest {
            let detail = format!(
                "object {:?}: got version {} after version {newest}",
                object.key, object.version
            );
            return Err(Error::new(Kind::StoreUnavailable, detail));
        }
        state.record_version(&object.key, object.version);
        Ok(object)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no code panics while it holds the state")
    }
}

impl State {
    fn reserve(&mut self, now: crate::time::Monotonic, key: &str) -> Result<Duration> {
        if !self.backoff.is_open(now) {
            let detail = format!("object {key:?}: call not made, backing off after failures");
            return Err(Error::new(Kind::StoreUnavailable, detail));
        }
        let wait = self.rate_limiter.reserve(now);
        if wait > MAX_RATE_LIMIT_WAIT {
            self.rate_limiter.refund();
            let detail = format!("object {key:?}: call rate limit exceeded");
            return Err(Error::new(Kind::StoreUnavailable, detail));
        }
        Ok(wait)
    }

    fn record_version(&mut self, key: &str, version: ObjectVersion) {
        if self.newest_versions.len() >= MAX_RECORDED_KEYS {
            self.newest_versions.clear();
        }
        self.newest_versions.insert(key.to_owned(), version);
    }
}

fn timeout_error(kind: CallKind, key: &str) -> Error {
    let outcome = if kind == CallKind::Put {
        Kind::WriteUnsettled
    } else {
        Kind::StoreUnavailable
    };
    Error::new(
        outcome,
        format!("object {key:?}: object API did not answer in time"),
    )
}

#[async_trait]
impl ObjectApi for StoreClient {
    async fn get(&self, key: &str) -> Result<Object> {
        let call = self.api.get(key);
        let object = self.call(CallKind::Get, key, CALL_TIMEOUT, call).await?;
        self.reject_outdated(object)
    }

    async fn put(&self, key: &str, expected: ObjectVersion, value: Bytes) -> Result<ObjectVersion> {
        let call = self.api.put(key, expected, value);
        let version = self.call(CallKind::Put, key, CALL_TIMEOUT, call).await?;
        self.lock().record_version(key, version);
        Ok(version)
    }

    async fn watch(&self, key: &str, after: ObjectVersion, wait: Duration) -> Result<Object> {
        let call = self.api.watch(key, after, wait);
        let limit = CALL_TIMEOUT + wait;
        let object = self.call(CallKind::Watch, key, limit, call).await?;
        self.reject_outdated(object)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>> {
        let call = self.api.list(prefix);
        self.call(CallKind::List, prefix, CALL_TIMEOUT, call).await
    }

    async fn vms(&self) -> Result<Vec<Vm>> {
        let call = self.api.vms();
        self.call(CallKind::Vms, "vms", CALL_TIMEOUT, call).await
    }
}

impl fmt::Debug for StoreClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("api", &self.api)
            .finish_non_exhaustive()
    }
}
