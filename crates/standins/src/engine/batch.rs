//! The core of the engine: which requests run, and what one step of the batch does.

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

/// Totals since the engine's start; they outlive a crash of the engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// How often each request was started.
    pub starts: HashMap<RequestId, u32>,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens computed for requests that were never finished.
    pub abandoned_prefill_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub output_tokens: u64,
    /// Requests finished.
    pub finished: u64,
    /// Requests that a bad version failed.
    pub failed: u64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// Time that the batch was not empty.
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
    pub(super) progress: f64,
    pub(super) slow: f64,
    pub(super) fails: bool,
}

/// What a step did to one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Emission {
    pub(super) request: RequestId,
    pub(super) kind: EmissionKind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EmissionKind {
    /// The token at this index was generated.
    Token(u32),
    /// The request ended with an error of the version.
    Failed,
    /// The answer is whole.
    Finished(Usage),
}

/// The state of the batch; time, and with it steps, come from outside.
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
    loads: LoadHistory,
    tokens_before: (Monotonic, u64),
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
            loads: LoadHistory::new(settings.report_lag),
            tokens_before: (Monotonic::ZERO, 0),
            slowdown: 1.0,
            stats: Stats::default(),
            settings,
        }
    }

    pub(super) fn submit(&mut self, job: Job) {
        *self.stats.starts.entry(job.request).or_default() += 1;
        self.waiting.push_back(job);
    }

    /// Removes a request; tells whether it was there.
    pub(super) fn cancel(&mut self, request: RequestId) -> bool {
        let removed = self.take(request);
        if let Some(job) = &removed {
            self.stats.cancelled += 1;
            self.abandon(job);
        }
        removed.is_some()
    }

    /// Removes a request and returns it, for another engine to go on with.
    pub(super) fn take(&mut self, request: RequestId) -> Option<Job> {
        if let Some(i) = self.running.iter().position(|j| j.request == request) {
            return Some(self.running.remove(i));
        }
        let i = self.waiting.iter().position(|j| j.request == request)?;
        self.waiting.remove(i)
    }

    /// Begins a step and returns its length, or `None` when there is nothing to do.
    pub(super) fn begin(&mut self, now: Monotonic) -> Option<Duration> {
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

    /// Ends the step that was begun before `now`.
    pub(super) fn finish(&mut self, now: Monotonic) -> Vec<Emission> {
        let mut emissions = Vec::with_capacity(self.running.len());
        let mut prefill = self.plan_prefill();
        let mut jobs = std::mem::take(&mut self.running);
        jobs.retain_mut(|job| self.advance(now, job, &mut prefill, &mut emissions));
        self.running = jobs;
        self.snapshot(now);
        emissions
    }

    fn plan_prefill(&self) -> u32 {
        let wanted: f64 = self.running.iter().map(|j| j.prefill_left * j.slow).sum();
        let wanted = eelgrassramp::num::round_to_u64(wanted.ceil());
        u32::try_from(wanted)
            .unwrap_or(u32::MAX)
            .min(self.settings.prefill_chunk_tokens)
    }

    fn admit(&mut self, now: Monotonic, mut job: Job) -> Job {
        if job.generated == 0 {
            let held = self.cache.hit(&job.blocks);
            let held = u32::try_from(held * TOKENS_PER_BLOCK).unwrap_or(u32::MAX);
            // The last token is always computed, since decoding starts from it.
            job.cached_tokens = held.min(job.prompt_tokens.saturating_sub(1));
            job.prefill_left = f64::from(job.prompt_tokens - job.cached_tokens);
            self.stats.cached_tokens += u64::from(job.cached_tokens);
        }
        let running = self.running.len();
        let Some(bad) = self.settings.bad_versions.get(&self.version) else {
            return job;
        };
        let concerns = bad.concerns(&job.path, job.model.as_deref());
        if concerns && bad.shows(now, self.version_since, running) {
            job.slow = bad.slow;
            job.fails = self.rng.random_bool(bad.fail);
        }
        job
    }

    /// Advances one request by one step; tells whether it stays in the batch.
    fn advance(
        &mut self,
        now: Monotonic,
        job: &mut Job,
        prefill: &mut u32,
        emissions: &mut Vec<Emission>,
    ) -> bool {
        let request = job.request;
        if job.fails {
            self.stats.failed += 1;
            self.abandon(job);
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
        job.progress += 1.0 / job.slow;
        if job.progress < 1.0 {
            return true;
        }
        job.progress -= 1.0;
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
        let done = (f64::from(*prefill) / job.slow).min(job.prefill_left);
        let spent = eelgrassramp::num::round_to_u64((done * job.slow).ceil());
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

    fn abandon(&mut self, job: &Job) {
        let whole = f64::from(job.prompt_tokens - job.cached_tokens);
        let computed = eelgrassramp::num::round_to_u64(whole - job.prefill_left);
        if job.prefill_left > 0.0 {
            self.stats.prefill_tokens += computed;
        }
        self.stats.abandoned_prefill_tokens += computed;
    }

    fn snapshot(&mut self, now: Monotonic) {
        if self.loads.is_due(now) || self.running.is_empty() {
            let load = self.load_now(now);
            self.loads.push(now, load);
        }
    }

    fn load_now(&mut self, now: Monotonic) -> EngineLoad {
        let (at, before) = self.tokens_before;
        let seconds = now.since(at).as_secs_f64();
        let tokens = self.stats.output_tokens - before;
        self.tokens_before = (now, self.stats.output_tokens);
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

    /// Returns the load as it was one report lag ago.
    pub(super) fn load(&mut self, now: Monotonic) -> EngineLoad {
        self.snapshot(now);
        let current = EngineLoad {
            version: self.version.clone(),
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
            slots: count(self.settings.slots),
            tokens_per_second: 0.0,
        };
        let mut load = self.loads.report(now).unwrap_or(current);
        // The version is configuration, not telemetry, so it does not lag.
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

    /// Takes in a fencing token; tells whether the order may go ahead.
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
        // A reader that held events of the old version is sent the whole new content.
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

    /// Loses everything but the totals, as a restart does.
    pub(super) fn restart(&mut self) {
        for job in self.running.drain(..).collect::<Vec<_>>() {
            self.abandon(&job);
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
    reason = "a rate needs no more digits"
)]
const fn to_f32(value: f64) -> f32 {
    value as f32
}
