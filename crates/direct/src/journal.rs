//! The log lines and counters that tell what became of each request.
//!
//! Each kind of line has a budget, so that their volume stays bounded under load: lines about
//! answered requests are left out first, lines about failures last. What was left out is counted
//! and told. See `docs/OPERATIONS.md`.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::Error;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;
use eelgrassramp::lock;
use eelgrassramp::num::millis;
use slog::debug;
use slog::info;
use slog::warn;

use crate::dispatcher::Grant;
use crate::endpoint::Endpoint;
use crate::entry::Entry;
use crate::lateness::LateCause;
use crate::lateness::RequestTimings;
use crate::meters::Labels;

/// Lines a second about requests that were sent, and as many about requests that ended.
const SUCCESS_LINES_PER_SECOND: f64 = 120.0;

/// Lines a second about attempts that failed, and as many about refusals.
const FAILURE_LINES_PER_SECOND: f64 = 300.0;

/// Seconds for which unused lines are saved up.
const BURST_SECONDS: f64 = 3.0;

/// The kinds of lines that have a budget of their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineKind {
    /// A request was sent to an endpoint.
    Dispatched,
    /// A request ended with an answer, or its caller left.
    Ended,
    /// An attempt failed.
    Failed,
    /// A request was refused.
    Refused,
    /// An endpoint asked for something, or sent what belongs to no request.
    Endpoint,
}

impl LineKind {
    const ALL: [Self; 5] = [
        Self::Dispatched,
        Self::Ended,
        Self::Failed,
        Self::Refused,
        Self::Endpoint,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Dispatched => "dispatched",
            Self::Ended => "ended",
            Self::Failed => "failed",
            Self::Refused => "refused",
            Self::Endpoint => "endpoint",
        }
    }

    const fn per_second(self) -> f64 {
        match self {
            Self::Dispatched | Self::Ended => SUCCESS_LINES_PER_SECOND,
            Self::Failed | Self::Refused | Self::Endpoint => FAILURE_LINES_PER_SECOND,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Allowance {
    lines: f64,
    at: Monotonic,
    left_out: u64,
}

/// How many lines of each kind may still be written.
#[derive(Debug)]
pub struct LogBudget {
    allowances: Mutex<[Allowance; LineKind::ALL.len()]>,
}

impl Default for LogBudget {
    fn default() -> Self {
        let full = LineKind::ALL.map(|kind| Allowance {
            lines: kind.per_second() * BURST_SECONDS,
            at: Monotonic::ZERO,
            left_out: 0,
        });
        Self {
            allowances: Mutex::new(full),
        }
    }
}

impl LogBudget {
    /// Tells whether a line may be written, and counts it if not.
    pub fn allows(&self, now: Monotonic, kind: LineKind) -> bool {
        let mut allowances = self.lock();
        let allowance = &mut allowances[kind as usize];
        let earned = now.since(allowance.at).as_secs_f64() * kind.per_second();
        let most = kind.per_second() * BURST_SECONDS;
        allowance.lines = (allowance.lines + earned).min(most);
        allowance.at = now;
        if allowance.lines < 1.0 {
            allowance.left_out += 1;
            return false;
        }
        allowance.lines -= 1.0;
        true
    }

    /// Returns how many lines of each kind were left out since the last call.
    pub fn take_left_out(&self) -> Vec<(&'static str, u64)> {
        let mut allowances = self.lock();
        let kinds = LineKind::ALL.into_iter();
        let counts = kinds.map(|kind| {
            let left_out = std::mem::take(&mut allowances[kind as usize].left_out);
            (kind.as_str(), left_out)
        });
        counts.filter(|(_, count)| *count > 0).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, [Allowance; LineKind::ALL.len()]> {
        lock(&self.allowances)
    }
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The endpoint's whole answer was passed on.
    Answered {
        /// Size of its body.
        bytes: u64,
        /// Pieces in which it came.
        pieces: u32,
        /// When the pieces came.
        course: RequestTimings,
        /// Why it was late.
        lateness: Option<LateCause>,
    },
    /// The endpoint's own failure was passed on.
    EndpointFailed,
    /// The caller left before the end.
    CallerGone,
}

impl Ending {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Answered { .. } => "answered",
            Self::EndpointFailed => "endpoint_failed",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// What is told of one request from its arrival to its end.
#[derive(Debug, Clone)]
pub(crate) struct Story {
    pub(crate) id: Arc<str>,
    pub(crate) route: RouteName,
    pub(crate) account: Option<AccountName>,
    pub(crate) pool: Option<PoolName>,
    /// Rank of its account or its route; 0 is the most urgent.
    pub(crate) rank: Option<u32>,
    /// Version of the tables that decided about the request.
    pub(crate) tables: u64,
    pub(crate) arrived: Monotonic,
}

impl Story {
    /// Tells that the request was admitted, where it goes and what decided that.
    pub(crate) fn dispatched(&self, entry: &Entry, grant: &Grant, attempt: u32) {
        let now = entry.cx().timers.now();
        if !entry.log_budget().allows(now, LineKind::Dispatched) {
            return;
        }
        debug!(entry.cx().log, "request dispatched";
            "request" => &*self.id, "route" => self.route.as_str(),
            "account" => self.account(), "tables" => self.tables, "attempt" => attempt,
            "endpoint" => grant.endpoint.name.as_str(), "endpoint_busy" => grant.endpoint_load,
            "endpoint_slots" => grant.endpoint.slots,
            "endpoint_slowness" => rounded(grant.slowness),
            "endpoint_avoided" => grant.avoided, "others_age_ms" => grant.peer_load_age.map(millis),
            "waited_ms" => millis(now.since(self.arrived)));
    }

    /// Tells that an endpoint did not give a whole answer.
    pub(crate) fn attempt_failed(&self, entry: &Entry, endpoint: &Endpoint, cause: &Error) {
        let now = entry.cx().timers.now();
        if !entry.log_budget().allows(now, LineKind::Failed) {
            return;
        }
        info!(entry.cx().log, "attempt failed";
            "request" => &*self.id, "route" => self.route.as_str(),
            "endpoint" => endpoint.name.as_str(), "kind" => %cause.kind(), "cause" => %cause,
            "after_ms" => millis(now.since(self.arrived)));
    }

    /// Tells that the request got an error of this system.
    pub(crate) fn refused(
        &self,
        entry: &Entry,
        cause: &Error,
        retry_after: Option<Duration>,
        waiting: usize,
    ) {
        let now = entry.cx().timers.now();
        let took = now.since(self.arrived);
        entry.meters().count_refusal(self.labels(), cause.kind());
        if !entry.log_budget().allows(now, LineKind::Refused) {
            return;
        }
        info!(entry.cx().log, "request refused";
            "request" => &*self.id, "route" => self.route.as_str(),
            "account" => self.account(), "tables" => self.tables, "kind" => %cause.kind(),
            "cause" => %cause, "status" => cause.kind().answer().status,
            "retry_after_ms" => retry_after.map(millis), "waiting" => waiting,
            "after_ms" => millis(took));
    }

    /// Tells how the request ended once its answer had begun.
    pub(crate) fn ended(&self, entry: &Entry, endpoint: &Endpoint, ending: Ending) {
        let now = entry.cx().timers.now();
        let took = now.since(self.arrived);
        entry.meters().count_end(self.labels(), ending, took);
        if !entry.log_budget().allows(now, LineKind::Ended) {
            return;
        }
        let Ending::Answered {
            bytes,
            pieces,
            course,
            lateness,
        } = ending
        else {
            debug!(entry.cx().log, "request ended";
                "request" => &*self.id, "route" => self.route.as_str(),
                "endpoint" => endpoint.name.as_str(), "ending" => ending.as_str(),
                "after_ms" => millis(took));
            return;
        };
        debug!(entry.cx().log, "request ended";
            "request" => &*self.id, "route" => self.route.as_str(),
            "endpoint" => endpoint.name.as_str(), "ending" => ending.as_str(),
            "bytes" => bytes, "pieces" => pieces, "waited_ms" => millis(course.queue_wait),
            "waited_before_ms" => millis(course.prior_wait),
            "first_piece_ms" => millis(course.first_piece),
            "longest_pause_ms" => millis(course.longest_pause),
            "late" => lateness.map(LateCause::as_str), "after_ms" => millis(took));
    }

    const fn labels(&self) -> Labels<'_> {
        Labels {
            route: &self.route,
            account: self.account.as_ref(),
            pool: self.pool.as_ref(),
            rank: self.rank,
        }
    }

    fn account(&self) -> &str {
        self.account.as_ref().map_or("", AccountName::as_str)
    }
}

/// Tells how many lines were left out since the last call.
pub(crate) fn tell_left_out(entry: &Entry) {
    for (kind, count) in entry.log_budget().take_left_out() {
        warn!(entry.cx().log, "log lines left out"; "kind" => kind, "count" => count);
    }
}

fn rounded(x: f64) -> f64 {
    (x * 1_000.0).round() / 1_000.0
}
