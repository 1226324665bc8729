//! Counters and latency histograms of one process, rendered as text.
//!
//! See `docs/OPERATIONS.md` for the meaning of each metric.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::Kind;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;
use eelgrassramp::lock;
use eelgrassramp::log::LineCount;
use hdrhistogram::Histogram;

use crate::lateness::LateCause;
use crate::lateness::RequestTimings;
use crate::request_log::Ending;

/// Upper bound of the latency histograms.
const MAX_LATENCY_MS: u64 = 60_000;

const HISTOGRAM_SIGNIFICANT_DIGITS: u8 = 2;

/// Maximum number of values per label; requests with further values share
/// [`OVERFLOW_LABEL_VALUE`].
const MAX_LABEL_VALUES: usize = 64;

/// Label value of requests beyond [`MAX_LABEL_VALUES`].
const OVERFLOW_LABEL_VALUE: &str = "other";

/// Quantiles rendered for each histogram.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Labels by which requests are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Dimension {
    Route,
    Account,
    Pool,
    Rank,
}

impl Dimension {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::Account => "account",
            Self::Pool => "pool",
            Self::Rank => "rank",
        }
    }
}

/// Metric label that says how a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RequestEnd {
    Ended(&'static str),
    Refused(&'static str),
}

#[derive(Debug, Default)]
struct MetricsState {
    stats_by_dimension: BTreeMap<Dimension, BTreeMap<Box<str>, RequestStats>>,
    store_calls: BTreeMap<(&'static str, &'static str), u64>,
    store_succeeded_at: BTreeMap<&'static str, Monotonic>,
    store_epoch: u64,
}

/// Counts and latencies of the requests that share a label value.
#[derive(Debug)]
struct RequestStats {
    ends: BTreeMap<RequestEnd, u64>,
    latency_ms: Histogram<u32>,
    /// Time to the first chunk of a response; recorded by route only.
    first_chunk_ms: Histogram<u32>,
    /// Late responses by cause; recorded by route only.
    late: BTreeMap<&'static str, u64>,
}

impl Default for RequestStats {
    fn default() -> Self {
        let histogram = || {
            let histogram = Histogram::new_with_max(MAX_LATENCY_MS, HISTOGRAM_SIGNIFICANT_DIGITS);
            histogram.expect("the bounds are constants that a histogram accepts")
        };
        Self {
            ends: BTreeMap::new(),
            latency_ms: histogram(),
            first_chunk_ms: histogram(),
            late: BTreeMap::new(),
        }
    }
}

/// Label values of one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Labels<'a> {
    pub(crate) route: &'a RouteName,
    pub(crate) account: Option<&'a AccountName>,
    pub(crate) pool: Option<&'a PoolName>,
    pub(crate) rank: Option<u32>,
}

/// A value that is read when the metrics are rendered.
#[derive(Debug, Clone, PartialEq)]
pub struct Gauge {
    /// Name of the metric.
    pub name: &'static str,
    /// Name and value of its label, if it has one.
    pub label: Option<(&'static str, Box<str>)>,
    /// The value.
    pub value: f64,
}

impl Gauge {
    /// Creates a gauge without a label.
    #[must_use]
    pub const fn new(name: &'static str, value: f64) -> Self {
        Self {
            name,
            label: None,
            value,
        }
    }

    /// Creates a gauge with one label.
    #[must_use]
    pub fn with_label(
        name: &'static str,
        label: &'static str,
        label_value: &str,
        value: f64,
    ) -> Self {
        Self {
            name,
            label: Some((label, label_value.into())),
            value,
        }
    }
}

/// Metrics of one process.
#[derive(Debug, Default)]
pub struct Metrics {
    state: Mutex<MetricsState>,
    log_lines: LineCount,
}

impl Metrics {
    /// Creates metrics that include the count of log lines that could not be written.
    #[must_use]
    pub fn new(log_lines: LineCount) -> Self {
        Self {
            state: Mutex::default(),
            log_lines,
        }
    }

    pub(crate) fn record_end(&self, labels: Labels<'_>, ending: Ending, elapsed: Duration) {
        self.count_end(labels, RequestEnd::Ended(ending.as_str()), Some(elapsed));
        if let Ending::Completed {
            timings,
            late_cause,
            ..
        } = ending
        {
            self.record_response_timing(labels, timings, late_cause);
        }
    }

    /// Records the time to the first chunk of a response, and why the response was late if it was.
    fn record_response_timing(
        &self,
        labels: Labels<'_>,
        timings: RequestTimings,
        late_cause: Option<LateCause>,
    ) {
        let ms = u64::try_from(timings.first_chunk.as_millis()).unwrap_or(MAX_LATENCY_MS);
        let mut state = self.lock();
        let request_stats = state.stats_for(Dimension::Route, labels.route.as_str());
        request_stats.first_chunk_ms.saturating_record(ms);
        if let Some(late_cause) = late_cause {
            *request_stats.late.entry(late_cause.as_str()).or_default() += 1;
        }
    }

    /// Counts a request that this process refused. Its latency is not recorded, because it does not
    /// depend on endpoints.
    pub(crate) fn record_refusal(&self, labels: Labels<'_>, kind: Kind) {
        self.count_end(labels, RequestEnd::Refused(kind.as_str()), None);
    }

    fn count_end(&self, labels: Labels<'_>, end: RequestEnd, elapsed: Option<Duration>) {
        let ms =
            elapsed.map(|elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(MAX_LATENCY_MS));
        let rank = labels.rank.map(|rank| rank.to_string());
        let values = [
            (Dimension::Route, Some(labels.route.as_str())),
            (Dimension::Account, labels.account.map(AccountName::as_str)),
            (Dimension::Pool, labels.pool.map(PoolName::as_str)),
            (Dimension::Rank, rank.as_deref()),
        ];
        let mut state = self.lock();
        for (dimension, value) in values {
            let Some(value) = value else {
                continue;
            };
            let request_stats = state.stats_for(dimension, value);
            *request_stats.ends.entry(end).or_default() += 1;
            if let Some(ms) = ms {
                request_stats.latency_ms.saturating_record(ms);
            }
        }
    }

    /// Counts a call to the platform's store for one kind of objects.
    pub fn count_store_call(&self, now: Monotonic, kind: &'static str, is_success: bool) {
        let mut state = self.lock();
        let result = if is_success { "ok" } else { "failed" };
        *state.store_calls.entry((kind, result)).or_default() += 1;
        if is_success {
            state.store_succeeded_at.insert(kind, now);
        }
    }

    /// Sets the epoch of the platform's store, which grows when the store loses its last changes.
    pub fn set_store_epoch(&self, epoch: u64) {
        self.lock().store_epoch = epoch;
    }

    /// Renders all counters and the given `gauges`.
    #[must_use]
    pub fn render(&self, now: Monotonic, gauges: &[Gauge]) -> String {
        let state = self.lock();
        let mut out = String::new();
        for (dimension, stats_by_value) in &state.stats_by_dimension {
            for (value, request_stats) in stats_by_value {
                request_stats.render(&mut out, dimension.as_str(), value);
            }
        }
        for ((kind, result), count) in &state.store_calls {
            let labels = [("kind", *kind), ("result", *result)];
            write_sample(&mut out, "store_calls", &labels, *count);
        }
        for (kind, at) in &state.store_succeeded_at {
            let age = now.since(*at).as_millis();
            write_sample(&mut out, "store_age_ms", &[("kind", *kind)], age);
        }
        write_sample(&mut out, "store_epoch", &[], state.store_epoch);
        let unwritten = self.log_lines.unwritten();
        write_sample(&mut out, "log_lines_unwritten", &[], unwritten);
        for gauge in gauges {
            let label = gauge.label.as_ref();
            let label: Vec<_> = label
                .map(|(name, label_value)| (*name, &**label_value))
                .into_iter()
                .collect();
            write_sample(&mut out, gauge.name, &label, gauge.value);
        }
        out
    }

    fn lock(&self) -> MutexGuard<'_, MetricsState> {
        lock(&self.state)
    }
}

impl MetricsState {
    fn stats_for(&mut self, dimension: Dimension, value: &str) -> &mut RequestStats {
        let stats_by_value = self.stats_by_dimension.entry(dimension).or_default();
        let is_new = !stats_by_value.contains_key(value);
        let value = if is_new && stats_by_value.len() >= MAX_LABEL_VALUES {
            OVERFLOW_LABEL_VALUE
        } else {
            value
        };
        stats_by_value.entry(value.into()).or_default()
    }
}

impl RequestStats {
    fn render(&self, out: &mut String, label: &'static str, value: &str) {
        for (end, count) in &self.ends {
            let (name, key, reason) = match end {
                RequestEnd::Ended(ending) => ("requests_ended", "ending", ending),
                RequestEnd::Refused(kind) => ("requests_refused", "kind", kind),
            };
            write_sample(out, name, &[(label, value), (key, reason)], count);
        }
        for (cause, count) in &self.late {
            let labels = [(label, value), ("cause", *cause)];
            write_sample(out, "answers_late", &labels, count);
        }
        render_quantiles(out, "latency_ms", (label, value), &self.latency_ms);
        if !self.first_chunk_ms.is_empty() {
            render_quantiles(out, "first_piece_ms", (label, value), &self.first_chunk_ms);
        }
    }
}

fn render_quantiles(out: &mut String, name: &str, label: (&str, &str), histogram: &Histogram<u32>) {
    for q in QUANTILES {
        let quantile = q.to_string();
        let labels = [label, ("quantile", quantile.as_str())];
        write_sample(out, name, &labels, histogram.value_at_quantile(q));
    }
}

fn write_sample(
    out: &mut String,
    name: &str,
    labels: &[(&str, &str)],
    value: impl std::fmt::Display,
) {
    let labels: Vec<_> = labels
        .iter()
        .map(|(label, label_value)| format!("{label}=\"{}\"", escape_label_value(label_value)))
        .collect();
    // Writing to a string cannot fail.
    let _written = if labels.is_empty() {
        writeln!(out, "eelgrassramp_{name} {value}")
    } else {
        writeln!(out, "eelgrassramp_{name}{{{}}} {value}", labels.join(","))
    };
}

/// Escapes a label value. Names are chosen by operators and may contain quotes and line breaks.
fn escape_label_value(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
