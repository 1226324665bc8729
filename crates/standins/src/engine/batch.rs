//! Continuous batching: admission of requests and the effect of one step.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use eelgrassramp::FencingToken;
use eelgrassramp::Monotonic;
use eelgrassramp::RequestId;
use eelgrassramp::VersionName;
use eelgrassramp::engine::EngineLoad;
use eelgrassramp::wire::CacheUpdate;
use eelgrassramp::wire::Usage;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::cache::PrefixCache;
use super::prompt::BLOCK_BYTES;
use super::prompt::BYTES_PER_TOKEN;
use super::settings::Settings;
use super::telemetry::CacheEvents;
use super::telemetry::LoadHistory;

const TOKENS_PER_BLOCK: usize = BLOCK_BYTES / BYTES_PER_TOKEN;

/// Counters since the engine was created; a simulated restart does not reset them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// Number of starts of each request.
    pub starts: HashMap<RequestId, u32>,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens computed for requests that did not complete.
    pub wasted_prefill_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub output_tokens: u64,
    /// Requests finished.
    pub finished: u64,
    /// Requests that failed because of a defective version.
    pub failed: u64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// Time during which the batch was not empty.
    pub busy: Duration,
}

/// One request inside the engine.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) request: RequestId,
    pub(super) path: String,
    pub(super) model: Option<String>,
    pub(super) blocks: Vec<u64>,
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
    pub(super) generated: u32,
    pub(super) cached_tokens: u32,
    pub(super) prefill_left: f64,
    pub(super) decode_progress: f64,
    pub(super) slow_factor: f64,
    pub(super) will_fail: bool,
}

/// The result of a step for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Emission {
    pub(super) request: RequestId,
    pub(super) kind: EmissionKind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EmissionKind {
    /// The token at this index was generated.
    Token(u32),
    /// The request failed because of a defective version.
    Failed,
    /// The response is complete.
    Finished(Usage),
}

/// The state of the batch. The caller supplies the time and drives the steps.
#[derive(Debug)]
pub(super) struct Batch {
    settings: Settings,
    rng: StdRng,
    version: VersionName,
    version_since: Monotonic,
    fence: FencingToken,
    role: String,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    cache: PrefixCache,
    events: CacheEvents,
    load_history: LoadHistory,
    last_token_count: (Monotonic, u64),
    slowdown: f64,
    stats: Stats,
}

impl Batch {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            rng: StdRng::seed_from_u64(settings.seed),
            version: settings.version.clone(),
            version_since: Monotonic::ZERO,
            fence: FencingToken(0),
            role: "mixed".to_owned(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: PrefixCache::new(settings.cache_blocks),
            events: CacheEvents::new(settings.event_lag),
            load_history: LoadHistory::new(settings.report_lag),
            last_token_count: (Monotonic::ZERO, 0),
            slowdown: 1.0,
            stats: Stats::default(),
            settings,
        }
    }

    pub(super) fn submit(&mut self, job: Job) {
        *self.stats.starts.entry(job.request).or_default() += 1;
        self.waiting.push_back(job);
    }

    /// Cancels a request; returns whether it was present.
    pub(super) fn cancel(&mut self, request: RequestId) -> bool {
        let removed = self.remove_request(request);
        if let Some(job) = &removed {
            self.stats.cancelled += 1;
            self.count_wasted_prefill(job);
        }
        removed.is_some()
    }

    /// Removes a request and returns it so that another engine can continue it.
    pub(super) fn remove_request(&mut self, request: RequestId) -> Option<Job> {
        if let Some(i) = self.running.iter().position(|j| j.request == request) {
            return Some(self.running.remove(i));
        }
        let i = self.waiting.iter().position(|j| j.request == request)?;
        self.waiting.remove(i)
    }

    /// Starts a step and returns its duration, or `None` when no request is running or waiting.
    pub(super) fn begin_step(&mut self, now: Monotonic) -> Option<Duration> {
        while self.running.len() < self.settings.slots {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            let job = self.admit(now, job);
            self.running.push(job);
        }
        if self.running.is_empty() {
            return None;
        }
        let prefill = f64::from(self.plan_prefill()) / self.settings.prefill_tokens_per_second;
        let decoding = self
            .running
            .iter()
            .filter(|j| j.prefill_left <= 0.0)
            .count();
        let further = decoding.saturating_sub(1) as f64;
        let decode = if decoding == 0 {
            0.0
        } else {
            self.settings.decode_step.as_secs_f64()
                * further.mul_add(self.settings.step_growth, 1.0)
        };
        let length = Duration::from_secs_f64((prefill + decode) * self.slowdown);
        self.stats.busy += length;
        Some(length)
    }

    /// Completes the step in progress at `now`.
    pub(super) fn finish_step(&mut self, now: Monotonic) -> Vec<Emission> {
        let mut emissions = Vec::with_capacity(self.running.len());
        let mut prefill = self.plan_prefill();
        let mut jobs = std::mem::take(&mut self.running);
        jobs.retain_mut(|job| self.advance_job(now, job, &mut prefill, &mut emissions));
        self.running = jobs;
        self.snapshot(now);
        emissions
    }

    fn plan_prefill(&self) -> u32 {
        let wanted: f64 = self
            .running
            .iter()
            .map(|j| j.prefill_left * j.slow_factor)
            .sum();
        let wanted = eelgrassramp::num::round_to_u64(wanted.ceil());
        u32::try_from(wanted)
            .unwrap_or(u32::MAX)
            .min(self.settings.prefill_chunk_tokens)
    }

    fn admit(&mut self, now: Monotonic, mut job: Job) -> Job {
        if job.generated == 0 {
            let cached = self.cache.touch_cached_prefix(&job.blocks);
            let cached = u32::try_from(cached * TOKENS_PER_BLOCK).unwrap_or(u32::MAX);
            // The last prompt token is always computed because decoding starts from it.
            job.cached_tokens = cached.min(job.prompt_tokens.saturating_sub(1));
            job.prefill_left = f64::from(job.prompt_tokens - job.cached_tokens);
            self.stats.cached_tokens += u64::from(job.cached_tokens);
        }
        let running = self.running.len();
        let Some(defect) = self.settings.bad_versions.get(&self.version) else {
            return job;
        };
        let applies_to = defect.applies_to(&job.path, job.model.as_deref());
        if applies_to && defect.is_active(now, self.version_since, running) {
            job.slow_factor = defect.slow_factor;
            job.will_fail = self.rng.random_bool(defect.failure_probability);
        }
        job
    }

    /// Advances one request by one step; returns whether it stays in the batch.
    fn advance_job(
        &mut self,
        now: Monotonic,
        job: &mut Job,
        prefill: &mut u32,
        emissions: &mut Vec<Emission>,
    ) -> bool {
        let request = job.request;
        if job.will_fail {
            self.stats.failed += 1;
            self.count_wasted_prefill(job);
            emissions.push(Emission {
                request,
                kind: EmissionKind::Failed,
            });
            return false;
        }
        if job.prefill_left > 0.0 {
            self.advance_prefill(now, job, prefill);
            return true;
        }
        job.decode_progress += 1.0 / job.slow_factor;
        if job.decode_progress < 1.0 {
            return true;
        }
        job.decode_progress -= 1.0;
        self.stats.output_tokens += 1;
        emissions.push(Emission {
            request,
            kind: EmissionKind::Token(job.generated),
        });
        job.generated += 1;
        if job.generated < job.output_tokens {
            return true;
        }
        self.stats.finished += 1;
        emissions.push(Emission {
            request,
            kind: EmissionKind::Finished(job.usage()),
        });
        false
    }

    fn advance_prefill(&mut self, now: Monotonic, job: &mut Job, prefill: &mut u32) {
        let done = (f64::from(*prefill) / job.slow_factor).min(job.prefill_left);
        let spent = eelgrassramp::num::round_to_u64((done * job.slow_factor).ceil());
        *prefill = prefill.saturating_sub(u32::try_from(spent).unwrap_or(u32::MAX));
        job.prefill_left -= done;
        if job.prefill_left > 0.0 {
            return;
        }
        self.stats.prefill_tokens += u64::from(job.prompt_tokens - job.cached_tokens);
        let change = self.cache.insert(&job.blocks);
        if change.added.is_empty() && change.removed.is_empty() {
            return;
        }
        let lost = self.rng.random_bool(self.settings.event_loss);
        self.events.push(now, change, lost);
    }

    fn count_wasted_prefill(&mut self, job: &Job) {
        let whole = f64::from(job.prompt_tokens - job.cached_tokens);
        let computed = eelgrassramp::num::round_to_u64(whole - job.prefill_left);
        if job.prefill_left > 0.0 {
            self.stats.prefill_tokens += computed;
        }
        self.stats.wasted_prefill_tokens += computed;
    }

    fn snapshot(&mut self, now: Monotonic) {
        if self.load_history.is_due(now) || self.running.is_empty() {
            let load = self.load_now(now);
            self.load_history.push(now, load);
        }
    }

    fn load_now(&mut self, now: Monotonic) -> EngineLoad {
        let (at, before) = self.last_token_count;
        let seconds = now.since(at).as_secs_f64();
        let tokens = self.stats.output_tokens - before;
        self.last_token_count = (now, self.stats.output_tokens);
        let rate = if seconds > 0.0 {
            tokens as f64 / seconds
        } else {
            0.0
        };
        EngineLoad {
            version: self.version.clone(),
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
            slots: count(self.settings.slots),
            tokens_per_second: to_f32(rate),
        }
    }

    /// Returns the load as of one report lag ago.
    pub(super) fn load(&mut self, now: Monotonic) -> EngineLoad {
        self.snapshot(now);
        let current = EngineLoad {
            version: self.version.clone(),
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
            slots: count(self.settings.slots),
            tokens_per_second: 0.0,
        };
        let mut load = self.load_history.report(now).unwrap_or(current);
        // The version is configuration, not telemetry, so it is reported without lag.
        load.version = self.version.clone();
        load
    }

    pub(super) fn cache_events(&self, now: Monotonic, seq: u64) -> CacheUpdate {
        let update = self.events.after(now, seq);
        update.unwrap_or_else(|| CacheUpdate {
            seq: self.events.last_seq(),
            whole: true,
            added: self.cache.blocks(),
            removed: Vec::new(),
        })
    }

    /// Records a fencing token; returns whether the order may be executed.
    pub(super) fn fence(&mut self, fence: FencingToken) -> bool {
        let outdated = fence < self.fence;
        self.fence = self.fence.max(fence);
        !(outdated && self.settings.checks_fences)
    }

    pub(super) fn set_version(&mut self, now: Monotonic, version: VersionName) {
        if version == self.version {
            return;
        }
        self.version = version;
        self.version_since = now;
        self.cache.clear();
        let seq = self.events.last_seq();
        self.events = CacheEvents::new(self.settings.event_lag);
        // Readers that have events of the old version receive a full snapshot instead.
        self.events.skip_to(seq + 1);
    }

    pub(super) fn set_role(&mut self, role: String) {
        self.role = role;
    }

    pub(super) fn role(&self) -> &str {
        &self.role
    }

    pub(super) const fn version(&self) -> &VersionName {
        &self.version
    }

    pub(super) const fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(super) const fn stats(&self) -> &Stats {
        &self.stats
    }

    pub(super) const fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown;
    }

    /// Drops all state except the counters, as a process restart would.
    pub(super) fn restart(&mut self) {
        for job in self.running.drain(..).collect::<Vec<_>>() {
            self.count_wasted_prefill(&job);
        }
        self.waiting.clear();
        self.cache.clear();
        self.fence = FencingToken(0);
    }
}

impl Job {
    pub(super) const fn usage(&self) -> Usage {
        Usage {
            prefill_tokens: self.prompt_tokens - self.cached_tokens,
            cached_tokens: self.cached_tokens,
            output_tokens: self.generated,
        }
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "f32 is precise enough for a rate"
)]
const fn to_f32(value: f64) -> f32 {
    value as f32
}
