//! Everything that one sidecar knows, behind one lock.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use cadence::prelude::*;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use tokio_util::sync::CancellationToken;

use crate::engine::Engine;
use crate::error::Kind;
use crate::error::Ran;
use crate::id::FencingToken;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::id::TableVersion;
use crate::ledger::Ledger;
use crate::ledger::RunOutcome;
use crate::name::RouteName;
use crate::name::VersionName;
use crate::process::Context;
use crate::store::ObjectApi;
use crate::tables::CurrentTables;
use crate::tier::Tier;
use crate::time::Monotonic;
use crate::wire::Call;
use crate::wire::Failure;
use crate::wire::Load;
use crate::wire::PoolSplit;
use crate::wire::SplitSeq;

use super::answer::Answer;
use super::answer::End;
use super::brakes::Brakes;
use super::cache::CacheIndex;
use super::outcomes::OutcomeTable;
use super::replay::Replay;
use super::scheduler::Capacity;
use super::scheduler::Scheduler;
use super::settings::Settings;

/// What the parts of one sidecar share.
pub(super) struct Shared {
    pub(super) settings: Settings,
    pub(super) engine: Arc<dyn Engine>,
    pub(super) store: Option<Arc<dyn ObjectApi>>,
    /// When this life began on the clock of `cx.timers`.
    pub(super) started_at: Monotonic,
    pub(super) cx: Context,
    pub(super) tables: Arc<CurrentTables>,
    pub(super) state: Mutex<State>,
    /// Keeps orders to the engine from overlapping.
    pub(super) orders: tokio::sync::Mutex<()>,
}

/// The state behind the lock.
#[derive(Debug)]
pub(super) struct State {
    pub(super) ledger: Ledger,
    pub(super) scheduler: Scheduler,
    pub(super) jobs: BTreeMap<RequestId, Job>,
    pub(super) replay: Replay,
    pub(super) brakes: Brakes,
    pub(super) split: Option<PoolSplit>,
    pub(super) outcomes: OutcomeTable,
    pub(super) cache: CacheIndex,
    pub(super) service_times: BTreeMap<Tier, Histogram<u64>>,
    pub(super) version: VersionName,
    pub(super) fence: Fence,
    /// Whether an entry has said that this endpoint is leaving.
    pub(super) is_leaving: bool,
    /// Whether the engine is changing its version, so that it can be given nothing.
    pub(super) is_loading: bool,
    /// When the engine was last given an order.
    pub(super) last_order: Option<Monotonic>,
    /// When the last answer ended.
    pub(super) last_end: Option<Monotonic>,
    /// The newest tables that anyone has named, though they may not be here yet.
    pub(super) noted_tables: TableVersion,
}

/// What is known of the lease's fencing tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Fence {
    pub(super) highest: FencingToken,
    /// Whether `highest` was learned in this life, so that lower tokens can be told apart.
    pub(super) is_known: bool,
}

/// One request from its acceptance until the ledger forgets it.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) answer: Answer,
    pub(super) stop: Stop,
    pub(super) meta: Meta,
    /// The call, until the endpoint is given it.
    pub(super) call: Option<Call>,
}

/// What is kept of a dispatch for counting and stopping.
#[derive(Debug, Clone)]
pub(super) struct Meta {
    pub(super) request: RequestId,
    pub(super) route: RouteName,
    pub(super) tier: Tier,
    pub(super) version: VersionName,
    pub(super) deadline: Monotonic,
    pub(super) cost: u64,
    pub(super) non_idempotent: bool,
}

/// Asks a run to stop.
#[derive(Debug, Clone, Default)]
pub(super) struct Stop {
    pub(super) cancelled: CancellationToken,
    pub(super) preempted: CancellationToken,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared")
            .field("endpoint", &self.settings.endpoint)
            .finish_non_exhaustive()
    }
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Returns the time since this life began, the clock of everything behind the lock.
    pub(super) fn now(&self) -> Monotonic {
        Monotonic::ZERO + self.cx.timers.now().since(self.started_at)
    }

    pub(super) fn load(&self) -> Load {
        let state = self.lock();
        self.load_of(&state)
    }

    pub(super) fn load_of(&self, state: &State) -> Load {
        let scheduler = &state.scheduler;
        let speed = scheduler.speed().per_request() * f64::from(scheduler.slots());
        Load {
            incarnation: state.ledger.incarnation(),
            mark: Ledger::mark(self.now()),
            tables: self.tables.get().version,
            backlog_tokens: scheduler.backlog(),
            queued: to_u32(scheduler.queued()),
            running: to_u32(scheduler.running()),
            slots: scheduler.slots(),
            tokens_per_second: to_f32(speed),
            floor: scheduler.floor(),
            draining: self.is_draining(state),
            brakes: to_u32(state.brakes.len()),
            split: state.split_seq(),
        }
    }

    /// Tells whether any of the signals of leaving was seen.
    pub(super) fn is_draining(&self, state: &State) -> bool {
        state.is_leaving || self.cx.stop.is_cancelled() || self.is_leaving_by_tables()
    }

    fn is_leaving_by_tables(&self) -> bool {
        let tables = self.tables.get();
        tables
            .pools
            .get(&self.settings.pool)
            .and_then(|pool| pool.endpoints.get(&self.settings.endpoint))
            .is_some_and(|endpoint| endpoint.leaving)
    }

    pub(super) fn failure(&self, kind: Kind, ran: Ran, detail: String) -> Failure {
        Failure {
            kind,
            ran,
            detail,
            load: self.load(),
        }
    }

    pub(super) fn count(&self, name: &str, tag: &str) {
        self.cx
            .metrics
            .count_with_tags(name, 1)
            .with_tag("kind", tag)
            .with_tag("endpoint", self.settings.endpoint.as_str())
            .send();
    }
}

impl State {
    /// Creates the state of a new life.
    pub(super) fn new(settings: &Settings, cx: &Context) -> Self {
        // Drawn from the system even in repeatable runs, since a restart must never reuse it.
        let incarnation = Incarnation::random(&mut rand::make_rng::<StdRng>());
        let started_unix_ms = u64::try_from(cx.timers.wall_now().as_millisecond()).unwrap_or(0);
        let capacity = Capacity {
            slots: settings.slots,
            queue: settings.queue_limits(),
            reference_tokens_per_second: f64::from(settings.reference_tokens_per_second),
        };
        Self {
            ledger: Ledger::new(incarnation, started_unix_ms, settings.ledger_limits()),
            scheduler: Scheduler::new(capacity),
            jobs: BTreeMap::new(),
            replay: Replay::new(settings.replay_bytes),
            brakes: Brakes::default(),
            split: None,
            outcomes: OutcomeTable::default(),
            // Milliseconds grow faster than a cache changes, so numbers never repeat across lives.
            cache: CacheIndex::new(started_unix_ms.saturating_mul(SEQS_PER_MS)),
            service_times: BTreeMap::new(),
            version: settings.version.clone(),
            fence: Fence::default(),
            is_leaving: false,
            is_loading: false,
            last_order: None,
            last_end: None,
            noted_tables: TableVersion::default(),
        }
    }

    /// Returns the position of the newest split.
    pub(super) fn split_seq(&self) -> SplitSeq {
        self.split.as_ref().map(|s| s.seq).unwrap_or_default()
    }

    /// Returns the table version of the latest move that is known here.
    pub(super) fn move_tables(&self) -> TableVersion {
        self.split_seq().tables
    }

    /// Ends a request that the endpoint was never given.
    pub(super) fn end_not_run(
        &mut self,
        now: Monotonic,
        request: RequestId,
        kind: Kind,
        detail: String,
    ) {
        self.ledger.end(now, request, RunOutcome::NotRun(kind));
        self.tell_not_run(request, kind, detail);
    }

    /// Tells the readers of a request that it did not run.
    pub(super) fn tell_not_run(&mut self, request: RequestId, kind: Kind, detail: String) {
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        job.call = None;
        job.answer.end(End::Failed {
            kind,
            ran: Ran::No,
            detail,
        });
    }

    /// Keeps a finished answer for replay and gives up the bodies that no longer fit.
    pub(super) fn keep_for_replay(&mut self, request: RequestId) {
        let Some(job) = self.jobs.get(&request) else {
            return;
        };
        let bytes = crate::num::length(job.answer.length());
        for gone in self.replay.push(request, bytes) {
            if let Some(job) = self.jobs.get(&gone) {
                job.answer.drop_body();
            }
        }
    }

    /// Forgets the jobs that the ledger has forgotten.
    pub(super) fn expire(&mut self, now: Monotonic) {
        self.ledger.expire(now);
        let ledger = &self.ledger;
        self.jobs.retain(|request, _| ledger.contains(*request));
    }

    pub(super) fn record_time(&mut self, tier: Tier, time: Duration) {
        let histogram = self.service_times.entry(tier).or_insert_with(new_histogram);
        histogram.saturating_record(crate::num::micros(time));
    }
}

/// Cache changes in a millisecond, at most.
const SEQS_PER_MS: u64 = 1_000;

/// Largest service time that is told apart, in microseconds.
const MAX_SERVICE_TIME_US: u64 = 3_600_000_000;

const SIGNIFICANT_DIGITS: u8 = 2;

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_SERVICE_TIME_US, SIGNIFICANT_DIGITS)
        .expect("the bounds of the histogram are valid")
}

pub(super) fn to_u32(value: usize) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a speed needs no more digits than an f32 holds"
)]
const fn to_f32(value: f64) -> f32 {
    value as f32
}
