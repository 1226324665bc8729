//! The simulated service as an [`Engine`] with one response per call.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use eelgrassramp::Error;
use eelgrassramp::FencingToken;
use eelgrassramp::Kind;
use eelgrassramp::Monotonic;
use eelgrassramp::RequestId;
use eelgrassramp::Result;
use eelgrassramp::Timers;
use eelgrassramp::VersionName;
use eelgrassramp::engine::Engine;
use eelgrassramp::engine::EngineEvent;
use eelgrassramp::engine::EngineLoad;
use eelgrassramp::engine::EngineStream;
use eelgrassramp::wire::CacheUpdate;
use eelgrassramp::wire::Call;
use eelgrassramp::wire::EngineAction;
use eelgrassramp::wire::Header;
use eelgrassramp::wire::Usage;
use futures_util::stream;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;

use super::charges::Charge;
use super::charges::Charges;
use crate::engine::VersionDefect;

/// Settings of a plain service. They can be changed while it runs, but concurrency, version and
/// seed are taken from the initial settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Duration of one call.
    pub latency: Duration,
    /// Calls executed concurrently; further calls wait.
    pub slots: u32,
    /// Whether a repeated idempotency key is answered without another execution.
    pub honours_keys: bool,
    /// Probability that a call fails before it is executed.
    pub fail_before: f64,
    /// Probability that a call fails after it was executed.
    pub fail_after: f64,
    /// Whether connections are refused.
    pub refuse: bool,
    /// Whether an order with an outdated fencing token is refused.
    pub checks_fences: bool,
    /// Time to load a version.
    pub load_time: Duration,
    /// The version served at the start.
    pub version: VersionName,
    /// Defective versions; all others are good.
    pub bad_versions: BTreeMap<VersionName, VersionDefect>,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            latency: Duration::from_millis(15),
            slots: 32,
            honours_keys: false,
            fail_before: 0.0,
            fail_after: 0.0,
            refuse: false,
            checks_fences: false,
            load_time: Duration::from_secs(1),
            version: VersionName::from("v1"),
            bad_versions: BTreeMap::new(),
            seed: 0,
        }
    }
}

/// A plain service that executes charges and counts them.
#[derive(Debug)]
pub struct ChargeService {
    state: Mutex<State>,
    slots: tokio::sync::Semaphore,
    timers: Timers,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    rng: StdRng,
    version: VersionName,
    version_since: Monotonic,
    fence: FencingToken,
    charges: Charges,
    starts: HashMap<RequestId, u32>,
    running: usize,
}

/// The planned outcome of one call.
#[derive(Debug, Clone, Copy)]
struct CallPlan {
    duration: Duration,
    executions: u32,
    fails_before: bool,
    fails_after: bool,
}

impl ChargeService {
    /// Creates a service without any executed charges.
    #[must_use]
    pub fn new(settings: Settings, timers: Timers) -> Arc<Self> {
        let slots = usize::try_from(settings.slots).unwrap_or(usize::MAX);
        let state = State {
            rng: StdRng::seed_from_u64(settings.seed),
            version: settings.version.clone(),
            version_since: Monotonic::ZERO,
            fence: FencingToken(0),
            charges: Charges::default(),
            starts: HashMap::new(),
            running: 0,
            settings,
        };
        Arc::new(Self {
            state: Mutex::new(state),
            slots: tokio::sync::Semaphore::new(slots),
            timers,
        })
    }

    /// Changes the settings.
    pub fn set(&self, change: impl FnOnce(&mut Settings)) {
        change(&mut self.lock().settings);
    }

    /// Returns all charges with their numbers of executions.
    #[must_use]
    pub fn charges(&self) -> Vec<Charge> {
        self.lock().charges.list()
    }

    /// Returns the number of starts of each request.
    #[must_use]
    pub fn starts(&self) -> HashMap<RequestId, u32> {
        self.lock().starts.clone()
    }

    async fn execute(&self, key: String) -> Result<(u16, u32)> {
        let _slot = self.slots.acquire().await;
        let plan = self.lock().plan(self.timers.now());
        self.timers.after(plan.duration).await;
        let mut state = self.lock();
        state.running -= 1;
        if plan.fails_before {
            return Ok((500, 0));
        }
        let honours_keys = state.settings.honours_keys;
        let executions = state.charges.execute(&key, plan.executions, honours_keys);
        let status = if plan.fails_after { 500 } else { 200 };
        Ok((status, executions))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no panic while the state is locked")
    }
}

impl State {
    fn start(&mut self, request: RequestId) -> Result<()> {
        if self.settings.refuse {
            return Err(Error::new(
                Kind::ConnectFailed,
                "the service refuses connections",
            ));
        }
        *self.starts.entry(request).or_default() += 1;
        Ok(())
    }

    fn plan(&mut self, now: Monotonic) -> CallPlan {
        self.running += 1;
        let mut plan = CallPlan {
            duration: self.settings.latency,
            executions: 1,
            fails_before: self.rng.random_bool(self.settings.fail_before),
            fails_after: self.rng.random_bool(self.settings.fail_after),
        };
        let Some(defect) = self.settings.bad_versions.get(&self.version) else {
            return plan;
        };
        if !defect.is_active(now, self.version_since, self.running) {
            return plan;
        }
        plan.duration = plan.duration.mul_f64(defect.slow_factor);
        plan.fails_before |= self.rng.random_bool(defect.failure_probability);
        if self.rng.random_bool(defect.double_charge_probability) {
            plan.executions = 2;
        }
        plan
    }
}

#[async_trait]
impl Engine for ChargeService {
    async fn run(&self, request: RequestId, call: Call) -> Result<EngineStream> {
        self.lock().start(request)?;
        let key = idempotency_key(&call).unwrap_or_else(|| request.to_string());
        let (status, executions) = self.execute(key.clone()).await?;
        Ok(response(status, &key, executions))
    }

    async fn resume(&self, request: RequestId, _offset: u64) -> Result<EngineStream> {
        let detail = format!("request {request}: a plain service cannot resume a response");
        Err(Error::new(Kind::NotFound, detail))
    }

    async fn cancel(&self, _request: RequestId) -> Result<()> {
        Ok(())
    }

    async fn load(&self) -> Result<EngineLoad> {
        let state = self.lock();
        Ok(EngineLoad {
            version: state.version.clone(),
            running: u32::try_from(state.running).unwrap_or(u32::MAX),
            waiting: 0,
            slots: state.settings.slots,
            tokens_per_second: 0.0,
        })
    }

    async fn cache_events(&self, seq: u64) -> Result<CacheUpdate> {
        Ok(CacheUpdate {
            seq,
            ..CacheUpdate::default()
        })
    }

    async fn order(&self, action: EngineAction, fence: FencingToken) -> Result<VersionName> {
        let load_time = {
            let mut state = self.lock();
            if fence < state.fence && state.settings.checks_fences {
                let detail = format!("order with fencing token {fence}");
                return Err(Error::new(Kind::FencedOff, detail));
            }
            state.fence = state.fence.max(fence);
            state.settings.load_time
        };
        if let EngineAction::Load(version) = action {
            self.timers.after(load_time).await;
            let mut state = self.lock();
            state.version = version;
            state.version_since = self.timers.now();
        }
        Ok(self.lock().version.clone())
    }
}

fn idempotency_key(call: &Call) -> Option<String> {
    let header = call.headers.iter().find(|h| h.name == "idempotency-key")?;
    String::from_utf8(header.value.clone()).ok()
}

fn response(status: u16, key: &str, executions: u32) -> EngineStream {
    let body = json!({"charge": key, "executions": executions}).to_string();
    let headers = [
        ("content-type", "application/json".to_owned()),
        ("x-executions", executions.to_string()),
    ];
    let headers = headers.map(|(name, value)| Header {
        name: name.to_owned(),
        value: value.into_bytes(),
    });
    let head = EngineEvent::Head {
        status,
        headers: headers.to_vec(),
    };
    let data = EngineEvent::Data(Bytes::from(body));
    let end = EngineEvent::End(Usage::default());
    Box::pin(stream::iter([Ok(head), Ok(data), Ok(end)]))
}
