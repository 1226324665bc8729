//! The state of one sidecar, protected by a single lock.

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

use super::brake_set::BrakeSet;
use super::cache::CacheIndex;
use super::outcomes::OutcomeCounters;
use super::replay::Replay;
use super::scheduler::Capacity;
use super::scheduler::Scheduler;
use super::settings::Settings;
use super::shared_response::ResponseEnd;
use super::shared_response::SharedResponse;

/// State and handles shared by all tasks of one sidecar.
pub(super) struct Shared {
    pub(super) settings: Settings,
    pub(super) engine: Arc<dyn Engine>,
    pub(super) store: Option<Arc<dyn ObjectApi>>,
    /// Start of this incarnation on the clock of `cx.timers`.
    pub(super) started_at: Monotonic,
    pub(super) cx: Context,
    pub(super) tables: Arc<CurrentTables>,
    pub(super) state: Mutex<State>,
    /// Held while an engine order is executed, so that orders do not overlap.
    pub(super) order_lock: tokio::sync::Mutex<()>,
}

/// The mutable state, protected by the lock.
#[derive(Debug)]
pub(super) struct State {
    pub(super) ledger: Ledger,
    pub(super) scheduler: Scheduler,
    pub(super) jobs: BTreeMap<RequestId, Job>,
    pub(super) replay: Replay,
    pub(super) brakes: BrakeSet,
    pub(super) split: Option<PoolSplit>,
    pub(super) outcomes: OutcomeCounters,
    pub(super) cache: CacheIndex,
    pub(super) service_times: BTreeMap<Tier, Histogram<u64>>,
    pub(super) version: VersionName,
    pub(super) fence: FenceState,
    /// Whether an entry has reported that this endpoint is leaving.
    pub(super) is_leaving: bool,
    /// Whether the engine is loading a version and accepts no requests.
    pub(super) is_loading: bool,
    /// Time of the last order sent to the engine.
    pub(super) last_order_at: Option<Monotonic>,
    /// Time at which the last response ended.
    pub(super) last_response_at: Option<Monotonic>,
    /// The newest table version named by an entry; the tables themselves may not have arrived yet.
    pub(super) newest_announced_tables: TableVersion,
}

/// Fencing tokens seen in engine orders and in the lease.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FenceState {
    pub(super) highest: FencingToken,
    /// Whether `highest` was set in this incarnation, so that outdated tokens can be detected.
    pub(super) is_known: bool,
}

/// One request, from its acceptance until the ledger removes it.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) response: SharedResponse,
    pub(super) stop: StopSignals,
    pub(super) meta: RequestMeta,
    /// The call, until it is sent to the endpoint.
    pub(super) call: Option<Call>,
}

/// Data of a dispatch needed to stop the request and to count its outcome.
#[derive(Debug, Clone)]
pub(super) struct RequestMeta {
    pub(super) request: RequestId,
    pub(super) route: RouteName,
    pub(super) tier: Tier,
    pub(super) version: VersionName,
    pub(super) deadline: Monotonic,
    pub(super) cost: u64,
    pub(super) non_idempotent: bool,
}

/// Signals that ask a run to stop.
#[derive(Debug, Clone, Default)]
pub(super) struct StopSignals {
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
            .expect("no thread panics while holding the lock")
    }

    /// Returns the time since the start of this incarnation, the clock used by [`State`].
    pub(super) fn now(&self) -> Monotonic {
        Monotonic::ZERO + self.cx.timers.now().since(self.started_at)
    }

    pub(super) fn load(&self) -> Load {
        let state = self.lock();
        self.load_of(&state)
    }

    pub(super) fn load_of(&self, state: &State) -> Load {
        let scheduler = &state.scheduler;
        let total_rate = scheduler.throughput().rate_per_request() * f64::from(scheduler.slots());
        Load {
            incarnation: state.ledger.incarnation(),
            mark: Ledger::mark(self.now()),
            tables: self.tables.get().version,
            backlog_tokens: scheduler.backlog(),
            queued: to_u32(scheduler.queued()),
            running: to_u32(scheduler.running()),
            slots: scheduler.slots(),
            tokens_per_second: to_f32(total_rate),
            floor: scheduler.floor(),
            draining: self.is_draining(state),
            brakes: to_u32(state.brakes.len()),
            split: state.split_seq(),
        }
    }

    /// Returns whether the endpoint is leaving by the tables, an entry's report or the stop signal.
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
    /// Creates the state of a new incarnation.
    pub(super) fn new(settings: &Settings, cx: &Context) -> Self {
        // Uses system randomness even in reproducible runs, since a restart must never reuse it.
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
            brakes: BrakeSet::default(),
            split: None,
            outcomes: OutcomeCounters::default(),
            // The clock advances faster than the cache changes, so incarnations never reuse
            // sequence numbers.
            cache: CacheIndex::new(started_unix_ms.saturating_mul(MAX_CACHE_CHANGES_PER_MS)),
            service_times: BTreeMap::new(),
            version: settings.version.clone(),
            fence: FenceState::default(),
            is_leaving: false,
            is_loading: false,
            last_order_at: None,
            last_response_at: None,
            newest_announced_tables: TableVersion::default(),
        }
    }

    /// Returns the sequence number of the newest split.
    pub(super) fn split_seq(&self) -> SplitSeq {
        self.split.as_ref().map(|s| s.seq).unwrap_or_default()
    }

    /// Returns the table version of the latest known move.
    pub(super) fn move_tables(&self) -> TableVersion {
        self.split_seq().tables
    }

    /// Ends a request that was never sent to the endpoint.
    pub(super) fn end_without_running(
        &mut self,
        now: Monotonic,
        request: RequestId,
        kind: Kind,
        detail: String,
    ) {
        self.ledger.end(now, request, RunOutcome::NotRun(kind));
        self.notify_not_run(request, kind, detail);
    }

    /// Sends the failure of a request that did not run to its readers.
    pub(super) fn notify_not_run(&mut self, request: RequestId, kind: Kind, detail: String) {
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        job.call = None;
        job.response.end(ResponseEnd::Failed {
            kind,
            ran: Ran::No,
            detail,
        });
    }

    /// Retains a finished response for replay and discards the bodies that no longer fit.
    pub(super) fn retain_for_replay(&mut self, request: RequestId) {
        let Some(job) = self.jobs.get(&request) else {
            return;
        };
        let bytes = crate::num::length(job.response.length());
        for evicted in self.replay.push(request, bytes) {
            if let Some(job) = self.jobs.get(&evicted) {
                job.response.discard_body();
            }
        }
    }

    /// Removes expired ledger entries and their jobs.
    pub(super) fn expire(&mut self, now: Monotonic) {
        self.ledger.expire(now);
        let ledger = &self.ledger;
        self.jobs.retain(|request, _| ledger.contains(*request));
    }

    pub(super) fn record_service_time(&mut self, tier: Tier, time: Duration) {
        let histogram = self.service_times.entry(tier).or_insert_with(new_histogram);
        histogram.saturating_record(crate::num::micros(time));
    }
}

/// Upper bound of cache changes per millisecond.
const MAX_CACHE_CHANGES_PER_MS: u64 = 1_000;

/// Upper bound of the service time histogram, in microseconds.
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
    reason = "the precision of an f32 suffices for a throughput"
)]
const fn to_f32(value: f64) -> f32 {
    value as f32
}
