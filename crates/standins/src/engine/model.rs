//! The simulated engine: a task that runs the steps of its batch.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use async_trait::async_trait;
use eelgrassramp::Error;
use eelgrassramp::FencingToken;
use eelgrassramp::Kind;
use eelgrassramp::RequestId;
use eelgrassramp::Result;
use eelgrassramp::Timers;
use eelgrassramp::VersionName;
use eelgrassramp::engine::Engine;
use eelgrassramp::engine::EngineLoad;
use eelgrassramp::engine::EngineStream;
use eelgrassramp::num;
use eelgrassramp::wire::CacheUpdate;
use eelgrassramp::wire::Call;
use eelgrassramp::wire::EngineAction;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use super::batch::Batch;
use super::batch::Emission;
use super::batch::EmissionKind;
use super::batch::Job;
use super::batch::Stats;
use super::kv::KvExport;
use super::output::Output;
use super::prompt::BYTES_PER_TOKEN;
use super::prompt::Body;
use super::prompt::output_seed;
use super::prompt::prefix_blocks;
use super::settings::Settings;

const MAX_ENDED_OUTPUTS: usize = 512;

/// Faults currently injected into an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Faults {
    /// Connections are refused.
    pub refuse: bool,
    /// Calls never receive a response.
    pub silent: bool,
    /// Factor applied to the duration of every step.
    pub slow_factor: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            refuse: false,
            silent: false,
            slow_factor: 1.0,
        }
    }
}

/// A simulated model engine whose output is a deterministic function of the prompt.
#[derive(Debug)]
pub struct ModelEngine {
    shared: Arc<Shared>,
    _stop: DropGuard,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    wake: Notify,
    timers: Timers,
}

#[derive(Debug)]
struct State {
    batch: Batch,
    outputs: HashMap<RequestId, Arc<Output>>,
    ended: VecDeque<RequestId>,
    faults: Faults,
}

impl ModelEngine {
    /// Starts an engine; it stops when the last handle is dropped.
    #[must_use]
    pub fn start(settings: Settings, timers: Timers) -> Arc<Self> {
        let state = State {
            batch: Batch::new(settings),
            outputs: HashMap::new(),
            ended: VecDeque::new(),
            faults: Faults::default(),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            wake: Notify::new(),
            timers,
        });
        let stop = CancellationToken::new();
        let steps = step_batch(Arc::clone(&shared));
        tokio::spawn(stop.clone().run_until_cancelled_owned(steps));
        Arc::new(Self {
            shared,
            _stop: stop.drop_guard(),
        })
    }

    /// Returns the counters.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.lock().batch.stats().clone()
    }

    /// Returns the role set by the last role order.
    #[must_use]
    pub fn role(&self) -> String {
        self.lock().batch.role().to_owned()
    }

    /// Changes the fault switches.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut state = self.lock();
        change(&mut state.faults);
        let slow_factor = state.faults.slow_factor;
        state.batch.set_slowdown(slow_factor);
    }

    /// Restarts the engine: all responses in progress are aborted and all state is lost.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.batch.restart();
        state.ended.clear();
        for (_, output) in state.outputs.drain() {
            output.abort("the engine restarted");
        }
    }

    /// Removes a request from this engine and exports it with its KV cache.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NotFound`] when the request is not running on this engine.
    pub fn export_kv(&self, request: RequestId) -> Result<KvExport> {
        let mut state = self.lock();
        let missing = || Error::new(Kind::NotFound, format!("request {request} is not running"));
        let output = state.outputs.get(&request).cloned().ok_or_else(missing)?;
        let job = state.batch.remove_request(request).ok_or_else(missing)?;
        output.abort("the request was exported");
        Ok(KvExport::new(job, output.seed(), output.is_streaming()))
    }

    /// Continues a request exported by another engine; resume its stream to read the response.
    pub fn import_kv(&self, request: RequestId, kv: KvExport) {
        let output = Output::new(kv.seed(), kv.is_streaming());
        for index in 0..kv.generated() {
            output.append_token(index);
        }
        let mut state = self.lock();
        state.outputs.insert(request, Arc::new(output));
        state.batch.submit(kv.into_job(request));
        self.shared.wake.notify_one();
    }

    async fn enter(&self) -> Result<MutexGuard<'_, State>> {
        let faults = self.lock().faults;
        if faults.refuse {
            return Err(Error::new(
                Kind::ConnectFailed,
                "the engine refuses connections",
            ));
        }
        if faults.silent {
            std::future::pending::<()>().await;
        }
        Ok(self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.lock()
    }
}

#[async_trait]
impl Engine for ModelEngine {
    async fn run(&self, request: RequestId, call: Call) -> Result<EngineStream> {
        let body = Body::from_slice(&call.body)?;
        let prompt = body.prompt();
        let mut state = self.enter().await?;
        let default_tokens = state.batch.settings().default_output_tokens;
        let output = Arc::new(Output::new(output_seed(&prompt), body.stream));
        let stream = output.read(0);
        state.outputs.insert(request, output);
        state.batch.submit(Job {
            request,
            path: call.path,
            blocks: prefix_blocks(&prompt),
            prompt_tokens: tokens(&prompt),
            output_tokens: body.output_tokens(default_tokens),
            model: body.model,
            generated: 0,
            cached_tokens: 0,
            prefill_left: 0.0,
            decode_progress: 0.0,
            slow_factor: 1.0,
            will_fail: false,
        });
        self.shared.wake.notify_one();
        Ok(stream)
    }

    async fn resume(&self, request: RequestId, offset: u64) -> Result<EngineStream> {
        let state = self.enter().await?;
        let output = state.outputs.get(&request);
        output
            .map(|output| output.read(num::length(offset)))
            .ok_or_else(|| Error::new(Kind::NotFound, format!("request {request}")))
    }

    async fn cancel(&self, request: RequestId) -> Result<()> {
        let mut state = self.enter().await?;
        state.batch.cancel(request);
        if let Some(output) = state.outputs.get(&request) {
            output.abort("cancelled");
        }
        state.retain_ended(request);
        Ok(())
    }

    async fn load(&self) -> Result<EngineLoad> {
        let now = self.shared.timers.now();
        Ok(self.enter().await?.batch.load(now))
    }

    async fn cache_events(&self, seq: u64) -> Result<CacheUpdate> {
        let now = self.shared.timers.now();
        Ok(self.enter().await?.batch.cache_events(now, seq))
    }

    async fn order(&self, action: EngineAction, fence: FencingToken) -> Result<VersionName> {
        let load_time = {
            let mut state = self.enter().await?;
            if !state.batch.fence(fence) {
                let detail = format!("order with fencing token {fence}");
                return Err(Error::new(Kind::FencedOff, detail));
            }
            state.batch.settings().load_time
        };
        match action {
            EngineAction::Load(version) => {
                self.shared.timers.after(load_time).await;
                let now = self.shared.timers.now();
                self.lock().batch.set_version(now, version);
            }
            EngineAction::Role(role) => self.lock().batch.set_role(role),
            EngineAction::Fence => {}
        }
        Ok(self.lock().batch.version().clone())
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no panic while the state is locked")
    }
}

impl State {
    fn emit(&mut self, emission: Emission) {
        let request = emission.request;
        let Some(output) = self.outputs.get(&request) else {
            return;
        };
        match emission.kind {
            EmissionKind::Token(index) => output.append_token(index),
            EmissionKind::Failed => output.fail(),
            EmissionKind::Finished(usage) => output.finish(usage),
        }
        if output.has_ended() {
            self.retain_ended(request);
        }
    }

    /// Retains an ended response among the last [`MAX_ENDED_OUTPUTS`] so that a late resume finds it.
    fn retain_ended(&mut self, request: RequestId) {
        self.ended.push_back(request);
        if self.ended.len() > MAX_ENDED_OUTPUTS {
            let oldest = self.ended.pop_front();
            oldest.and_then(|oldest| self.outputs.remove(&oldest));
        }
    }
}

async fn step_batch(shared: Arc<Shared>) {
    loop {
        let length = shared.lock().batch.begin_step(shared.timers.now());
        let Some(length) = length else {
            shared.wake.notified().await;
            continue;
        };
        shared.timers.after(length).await;
        let mut state = shared.lock();
        for emission in state.batch.finish_step(shared.timers.now()) {
            state.emit(emission);
        }
    }
}

fn tokens(prompt: &str) -> u32 {
    let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN).max(1);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
