//! The client that the processes of this system use: bounded, counted, never going back.

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

/// Time after which a call without an answer is given up; a watch gets its wait on top.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for the budget; a call that would wait longer fails.
pub const MAX_RATE_LIMIT_WAIT: Duration = Duration::from_secs(1);

/// Keys whose newest version is remembered.
const MAX_REMEMBERED_KEYS: usize = 1_024;

/// What one process allows itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreClientLimits {
    /// Calls a second in the long run.
    pub calls_per_second: f64,
    /// Calls at once after a quiet time.
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

/// The kinds of calls that are counted apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallKind {
    /// Reads one object.
    Get,
    /// Writes one object.
    Put,
    /// Waits for a change of one object.
    Watch,
    /// Reads objects with a common prefix.
    List,
    /// Reads the list of VMs.
    Vms,
}

impl CallKind {
    /// Returns the name used in metrics.
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

/// How many calls of one kind were made for one purpose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallTotal {
    /// The kind of call.
    pub kind: CallKind,
    /// What it was for: the first part of the key, such as `leases`.
    pub purpose: Box<str>,
    /// How many.
    pub calls: u64,
}

/// Keeps calls within a budget, gives up silent ones and refuses replies that go back.
pub struct StoreClient {
    api: Arc<dyn ObjectApi>,
    cx: Context,
    state: Mutex<State>,
}

struct State {
    budget: CallRateLimiter,
    backoff: StoreBackoff,
    rng: StdRng,
    newest: BTreeMap<String, ObjectVersion>,
    totals: BTreeMap<(CallKind, Box<str>), u64>,
}

impl StoreClient {
    /// Wraps `api`.
    #[must_use]
    pub fn new(cx: &Context, api: Arc<dyn ObjectApi>, limits: StoreClientLimits) -> Self {
        Self {
            api,
            state: Mutex::new(State {
                budget: CallRateLimiter::new(limits.calls_per_second, limits.burst),
                backoff: StoreBackoff::new(),
                rng: cx.rng("store"),
                newest: BTreeMap::new(),
                totals: BTreeMap::new(),
            }),
            cx: cx.clone(),
        }
    }

    /// Returns the calls made so far.
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
        self.enter(kind, key).await?;
        let out = self.cx.timers.limit(limit, call).await;
        let out = out.unwrap_or_else(|| Err(silent(kind, key)));
        self.note(kind, &out);
        out
    }

    /// Waits for the budget; fails when it is spent or while failures pause the calls.
    async fn enter(&self, kind: CallKind, key: &str) -> Result<()> {
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

    fn note<T>(&self, kind: CallKind, out: &Result<T>) {
        let now = self.cx.timers.now();
        let mut state = self.lock();
        let state = &mut *state;
        match out {
            Err(e) if matches!(e.kind(), Kind::StoreUnavailable | Kind::WriteUnsettled) => {
                state.backoff.fail(now, &mut state.rng);
                let counted = self.cx.metrics.count_with_tags("store.failures", 1);
                // A metric that cannot be sent is dropped.
                let _sent = counted.with_tag("kind", kind.as_str()).try_send();
            }
            _ => state.backoff.succeed(),
        }
    }

    /// Refuses an object that is older than one seen before under the same key.
    fn checked(&self, object: Object) -> Result<Object> {
        let mut state = self.lock();
        let newest = state.newest.get(&object.key).copied().unwrap_or_default();
        if object.version < newest {
            let detail = format!(
                "object {:?} came at version {} after version {newest}",
                object.key, object.version
            );
            return Err(Error::new(Kind::StoreUnavailable, detail));
        }
        state.remember(&object.key, object.version);
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
            let detail = format!("object {key:?}: pause after failures");
            return Err(Error::new(Kind::StoreUnavailable, detail));
        }
        let wait = self.budget.reserve(now);
        if wait > MAX_RATE_LIMIT_WAIT {
            self.budget.refund();
            let detail = format!("object {key:?}: the budget of calls is spent");
            return Err(Error::new(Kind::StoreUnavailable, detail));
        }
        Ok(wait)
    }

    fn remember(&mut self, key: &str, version: ObjectVersion) {
        if self.newest.len() >= MAX_REMEMBERED_KEYS {
            self.newest.clear();
        }
        self.newest.insert(key.to_owned(), version);
    }
}

fn silent(kind: CallKind, key: &str) -> Error {
    let outcome = if kind == CallKind::Put {
        Kind::WriteUnsettled
    } else {
        Kind::StoreUnavailable
    };
    Error::new(outcome, format!("object {key:?}: no answer in time"))
}

#[async_trait]
impl ObjectApi for StoreClient {
    async fn get(&self, key: &str) -> Result<Object> {
        let call = self.api.get(key);
        let object = self.call(CallKind::Get, key, CALL_TIMEOUT, call).await?;
        self.checked(object)
    }

    async fn put(&self, key: &str, expected: ObjectVersion, value: Bytes) -> Result<ObjectVersion> {
        let call = self.api.put(key, expected, value);
        let version = self.call(CallKind::Put, key, CALL_TIMEOUT, call).await?;
        self.lock().remember(key, version);
        Ok(version)
    }

    async fn watch(&self, key: &str, after: ObjectVersion, wait: Duration) -> Result<Object> {
        let call = self.api.watch(key, after, wait);
        let limit = CALL_TIMEOUT + wait;
        let object = self.call(CallKind::Watch, key, limit, call).await?;
        self.checked(object)
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
