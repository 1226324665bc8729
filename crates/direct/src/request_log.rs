//! Log lines and counters about the outcome of each request.
//!
//! Each kind of line has its own rate limit, so that the log volume stays bounded under load: lines
//! about completed requests have lower limits than lines about failures. Suppressed lines are
//! counted and the counts are logged. See `docs/OPERATIONS.md`.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::Error;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::PromptPart;
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
use crate::metrics::Labels;

/// Rate limit for each of the kinds "dispatched" and "ended".
const SUCCESS_LINES_PER_SECOND: f64 = 120.0;

/// Rate limit for each of the kinds "failed", "refused" and "endpoint".
const FAILURE_LINES_PER_SECOND: f64 = 300.0;

/// Capacity of a bucket, as seconds at the rate limit of its kind.
const BURST_SECONDS: f64 = 3.0;

/// Kinds of log lines; each has its own rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLineKind {
    /// A request was granted an endpoint.
    Dispatched,
    /// A request ended with a response, or its caller disconnected.
    Ended,
    /// An attempt failed.
    Failed,
    /// A request was refused.
    Refused,
    /// An endpoint signalled something, or sent data that belongs to no request.
    Endpoint,
    /// A listener has as many connections as it may have.
    Connections,
}

impl LogLineKind {
    const ALL: [Self; 6] = [
        Self::Dispatched,
        Self::Ended,
        Self::Failed,
        Self::Refused,
        Self::Endpoint,
        Self::Connections,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Dispatched => "dispatched",
            Self::Ended => "ended",
            Self::Failed => "failed",
            Self::Refused => "refused",
            Self::Endpoint => "endpoint",
            Self::Connections => "connections",
        }
    }

    const fn per_second(self) -> f64 {
        match self {
            Self::Dispatched | Self::Ended => SUCCESS_LINES_PER_SECOND,
            Self::Failed | Self::Refused | Self::Endpoint => FAILURE_LINES_PER_SECOND,
            Self::Connections => 1.0,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Monotonic,
    suppressed: u64,
}

/// Token buckets that limit the rate of log lines of each kind.
#[derive(Debug)]
pub struct LogRateLimiter {
    buckets: Mutex<[TokenBucket; LogLineKind::ALL.len()]>,
}

impl Default for LogRateLimiter {
    fn default() -> Self {
        let full_buckets = LogLineKind::ALL.map(|kind| TokenBucket {
            tokens: kind.per_second() * BURST_SECONDS,
            refilled_at: Monotonic::ZERO,
            suppressed: 0,
        });
        Self {
            buckets: Mutex::new(full_buckets),
        }
    }
}

impl LogRateLimiter {
    /// Returns whether a line may be written; if not, counts it as suppressed.
    pub fn allows(&self, now: Monotonic, kind: LogLineKind) -> bool {
        let mut buckets = self.lock();
        let bucket = &mut buckets[kind as usize];
        let refill = now.since(bucket.refilled_at).as_secs_f64() * kind.per_second();
        let capacity = kind.per_second() * BURST_SECONDS;
        bucket.tokens = (bucket.tokens + refill).min(capacity);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            bucket.suppressed += 1;
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Returns the number of suppressed lines of each kind since the last call.
    pub fn take_suppressed(&self) -> Vec<(&'static str, u64)> {
        let mut buckets = self.lock();
        let kinds = LogLineKind::ALL.into_iter();
        let counts = kinds.map(|kind| {
            let suppressed = std::mem::take(&mut buckets[kind as usize].suppressed);
            (kind.as_str(), suppressed)
        });
        counts.filter(|(_, count)| *count > 0).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, [TokenBucket; LogLineKind::ALL.len()]> {
        lock(&self.buckets)
    }
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The endpoint's complete response was passed on.
    Completed {
        /// Size of the body.
        bytes: u64,
        /// Number of body chunks received.
        chunks: u32,
        /// Timings of the request.
        timings: RequestTimings,
        /// Why the response missed its latency objective, if it did.
        late_cause: Option<LateCause>,
    },
    /// An error response of the endpoint was passed on.
    EndpointFailed,
    /// The caller disconnected before the end.
    CallerGone,
}

impl Ending {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Completed { .. } => "answered",
            Self::EndpointFailed => "endpoint_failed",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// Properties of one request that its log lines and metrics contain.
#[derive(Debug, Clone)]
pub(crate) struct RequestLogContext {
    pub(crate) id: Arc<str>,
    pub(crate) route: RouteName,
    pub(crate) account: Option<AccountName>,
    pub(crate) pool: Option<PoolName>,
    /// Priority rank of its account or its route; 0 is the most urgent.
    pub(crate) rank: Option<u32>,
    /// Version of the tables that the request was routed with.
    pub(crate) tables: u64,
    /// Parts of its prompt in order.
    pub(crate) prompt_parts: Arc<[PromptPart]>,
    /// The same with the part that stands for the whole request, which may be the cause of a crash.
    pub(crate) suspect_parts: Arc<[PromptPart]>,
    pub(crate) arrived: Monotonic,
}

impl RequestLogContext {
    /// Logs the dispatch of the request, with the inputs of the choice of endpoint.
    pub(crate) fn dispatched(&self, entry: &Entry, grant: &Grant, attempt: u32) {
        let now = entry.cx().timers.now();
        if !entry.log_limiter().allows(now, LogLineKind::Dispatched) {
            return;
        }
        debug!(entry.cx().log, "request dispatched";
            "request" => &*self.id, "route" => self.route.as_str(),
            "account" => self.account(), "tables" => self.tables, "attempt" => attempt,
            "endpoint" => grant.endpoint.name.as_str(), "endpoint_busy" => grant.endpoint_load,
            "endpoint_slots" => grant.endpoint.slots,
            "endpoint_slowness" => round_to_thousandths(grant.slowness),
            "account_over_share" => grant.is_over_share,
            "endpoint_avoided" => grant.is_avoided, "endpoint_limit" => grant.rate_limit,
            "others_age_ms" => grant.peer_load_age.map(millis),
            "waited_ms" => millis(now.since(self.arrived)));
    }

    /// Logs an attempt in which an endpoint sent no complete response, but `chunks` of it.
    pub(crate) fn attempt_failed(
        &self,
        entry: &Entry,
        endpoint: &Endpoint,
        cause: &Error,
        chunks: u32,
    ) {
        let now = entry.cx().timers.now();
        if !entry.log_limiter().allows(now, LogLineKind::Failed) {
            return;
        }
        info!(entry.cx().log, "attempt failed";
            "request" => &*self.id, "route" => self.route.as_str(),
            "endpoint" => endpoint.name.as_str(), "kind" => %cause.kind(), "cause" => %cause,
            "pieces" => chunks, "prompt_parts" => self.prompt_part_list(),
            "after_ms" => millis(now.since(self.arrived)));
    }

    fn prompt_part_list(&self) -> String {
        let parts: Vec<_> = self.prompt_parts.iter().map(PromptPart::as_str).collect();
        parts.join(",")
    }

    /// Logs a retry that was not sent because the budget is used up, with the number of entries that
    /// share its slack.
    pub(crate) fn retry_denied(&self, entry: &Entry, entries: Option<u32>) {
        let now = entry.cx().timers.now();
        if !entry.log_limiter().allows(now, LogLineKind::Failed) {
            return;
        }
        info!(entry.cx().log, "no retry, the budget is used up";
            "request" => &*self.id, "route" => self.route.as_str(),
            "pool" => self.pool.as_ref().map(PoolName::as_str), "entries" => entries,
            "after_ms" => millis(now.since(self.arrived)));
    }

    /// Logs and counts a request that this entry refused with an error.
    pub(crate) fn refused(
        &self,
        entry: &Entry,
        cause: &Error,
        retry_after: Option<Duration>,
        queued_count: usize,
    ) {
        let now = entry.cx().timers.now();
        let elapsed = now.since(self.arrived);
        entry.metrics().record_refusal(self.labels(), cause.kind());
        if !entry.log_limiter().allows(now, LogLineKind::Refused) {
            return;
        }
        info!(entry.cx().log, "request refused";
            "request" => &*self.id, "route" => self.route.as_str(),
            "account" => self.account(), "tables" => self.tables, "kind" => %cause.kind(),
            "cause" => %cause, "status" => cause.kind().answer().status,
            "retry_after_ms" => retry_after.map(millis), "waiting" => queued_count,
            "after_ms" => millis(elapsed));
    }

    /// Logs and counts the end of a request whose response is complete, or whose caller disconnected
    /// after it was granted an endpoint.
    pub(crate) fn ended(&self, entry: &Entry, endpoint: &Endpoint, ending: Ending) {
        let now = entry.cx().timers.now();
        let elapsed = now.since(self.arrived);
        entry.metrics().record_end(self.labels(), ending, elapsed);
        if !entry.log_limiter().allows(now, LogLineKind::Ended) {
            return;
        }
        let Ending::Completed {
            bytes,
            chunks,
            timings,
            late_cause,
        } = ending
        else {
            debug!(entry.cx().log, "request ended";
                "request" => &*self.id, "route" => self.route.as_str(),
                "endpoint" => endpoint.name.as_str(), "ending" => ending.as_str(),
                "after_ms" => millis(elapsed));
            return;
        };
        debug!(entry.cx().log, "request ended";
            "request" => &*self.id, "route" => self.route.as_str(),
            "endpoint" => endpoint.name.as_str(), "ending" => ending.as_str(),
            "bytes" => bytes, "pieces" => chunks, "waited_ms" => millis(timings.time_to_dispatch),
            "waited_before_ms" => millis(timings.prior_wait),
            "first_piece_ms" => millis(timings.first_chunk),
            "longest_pause_ms" => millis(timings.longest_gap),
            "late" => late_cause.map(LateCause::as_str), "after_ms" => millis(elapsed));
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

/// Logs the number of suppressed lines since the last call.
pub(crate) fn log_suppressed_lines(entry: &Entry) {
    for (kind, count) in entry.log_limiter().take_suppressed() {
        warn!(entry.cx().log, "log lines left out"; "kind" => kind, "count" => count);
    }
}

fn round_to_thousandths(x: f64) -> f64 {
    (x * 1_000.0).round() / 1_000.0
}
