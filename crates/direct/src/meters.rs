//! Counters and latency histograms of one process, rendered as text.
//!
//! See `docs/OPERATIONS.md` for what each one tells.

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

use crate::journal::Ending;
use crate::lateness::LateCause;
use crate::lateness::RequestTimings;

/// Longest latency that a histogram tells apart, in milliseconds.
const MAX_LATENCY_MS: u64 = 60_000;

/// Significant digits of a histogram.
const DIGITS: u8 = 2;

/// Most values of a label with meters of their own; further ones share one.
const MAX_VALUES: usize = 64;

/// Value of a label beyond [`MAX_VALUES`].
const OTHER: &str = "other";

/// Quantiles that are shown.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// What requests are told apart by.
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

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    Ended(&'static str),
    Refused(&'static str),
}

#[derive(Debug, Default)]
struct State {
    by: BTreeMap<Dimension, BTreeMap<Box<str>, Group>>,
    store_calls: BTreeMap<(&'static str, &'static str), u64>,
    store_answered_at: BTreeMap<&'static str, Monotonic>,
}

/// Requests that share the value of a label.
#[derive(Debug)]
struct Group {
    outcomes: BTreeMap<Outcome, u64>,
    latency_ms: Histogram<u32>,
    /// Time to the first piece of an answer; counted by route only.
    first_piece_ms: Histogram<u32>,
    /// Late answers by cause; counted by route only.
    late: BTreeMap<&'static str, u64>,
}

impl Default for Group {
    fn default() -> Self {
        let histogram = || {
            let histogram = Histogram::new_with_max(MAX_LATENCY_MS, DIGITS);
            histogram.expect("the bounds are constants that a histogram accepts")
        };
        Self {
            outcomes: BTreeMap::new(),
            latency_ms: histogram(),
            first_piece_ms: histogram(),
            late: BTreeMap::new(),
        }
    }
}

/// What a request is counted under.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Labels<'a> {
    pub(crate) route: &'a RouteName,
    pub(crate) account: Option<&'a AccountName>,
    pub(crate) pool: Option<&'a PoolName>,
    pub(crate) rank: Option<u32>,
}

/// A value that is read when the meters are rendered.
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
    pub fn with_label(name: &'static str, label: &'static str, of: &str, value: f64) -> Self {
        Self {
            name,
            label: Some((label, of.into())),
            value,
        }
    }
}

/// What one process counts.
#[derive(Debug, Default)]
pub struct Meters {
    state: Mutex<State>,
    log_lines: LineCount,
}

impl Meters {
    /// Creates meters that also show what became of the lines of the log.
    #[must_use]
    pub fn new(log_lines: LineCount) -> Self {
        Self {
            state: Mutex::default(),
            log_lines,
        }
    }

    pub(crate) fn count_end(&self, labels: Labels<'_>, ending: Ending, took: Duration) {
        self.count(labels, Outcome::Ended(ending.as_str()), Some(took));
        if let Ending::Answered {
            course, lateness, ..
        } = ending
        {
            self.count_course(labels, course, lateness);
        }
    }

    /// Counts when the first piece of an answer came, and why the answer was late if it was.
    fn count_course(
        &self,
        labels: Labels<'_>,
        course: RequestTimings,
        lateness: Option<LateCause>,
    ) {
        let ms = u64::try_from(course.first_piece.as_millis()).unwrap_or(MAX_LATENCY_MS);
        let mut state = self.lock();
        let group = state.group(Dimension::Route, labels.route.as_str());
        group.first_piece_ms.saturating_record(ms);
        if let Some(lateness) = lateness {
            *group.late.entry(lateness.as_str()).or_default() += 1;
        }
    }

    /// Counts a request that this process refused; its latency says nothing of endpoints.
    pub(crate) fn count_refusal(&self, labels: Labels<'_>, kind: Kind) {
        self.count(labels, Outcome::Refused(kind.as_str()), None);
    }

    fn count(&self, labels: Labels<'_>, outcome: Outcome, took: Option<Duration>) {
        let ms = took.map(|took| u64::try_from(took.as_millis()).unwrap_or(MAX_LATENCY_MS));
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
            let group = state.group(dimension, value);
            *group.outcomes.entry(outcome).or_default() += 1;
            if let Some(ms) = ms {
                group.latency_ms.saturating_record(ms);
            }
        }
    }

    /// Counts a call to the platform's store about a kind of objects.
    pub fn count_store_call(&self, now: Monotonic, kind: &'static str, is_answered: bool) {
        let mut state = self.lock();
        let result = if is_answered { "ok" } else { "failed" };
        *state.store_calls.entry((kind, result)).or_default() += 1;
        if is_answered {
            state.store_answered_at.insert(kind, now);
        }
    }

    /// Renders all counters, with the `gauges` of the moment.
    #[must_use]
    pub fn render(&self, now: Monotonic, gauges: &[Gauge]) -> String {
        let state = self.lock();
        let mut out = String::new();
        for (dimension, groups) in &state.by {
            for (value, group) in groups {
                group.render(&mut out, dimension.as_str(), value);
            }
        }
        for ((kind, result), count) in &state.store_calls {
            let labels = [("kind", *kind), ("result", *result)];
            line(&mut out, "store_calls", &labels, *count);
        }
        for (kind, at) in &state.store_answered_at {
            let age = now.since(*at).as_millis();
            line(&mut out, "store_age_ms", &[("kind", *kind)], age);
        }
        let unwritten = self.log_lines.unwritten();
        line(&mut out, "log_lines_unwritten", &[], unwritten);
        for gauge in gauges {
            let label = gauge.label.as_ref();
            let label: Vec<_> = label.map(|(name, of)| (*name, &**of)).into_iter().collect();
            line(&mut out, gauge.name, &label, gauge.value);
        }
        out
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl State {
    fn group(&mut self, dimension: Dimension, value: &str) -> &mut Group {
        let groups = self.by.entry(dimension).or_default();
        let is_new = !groups.contains_key(value);
        let value = if is_new && groups.len() >= MAX_VALUES {
            OTHER
        } else {
            value
        };
        groups.entry(value.into()).or_default()
    }
}

impl Group {
    fn render(&self, out: &mut String, label: &'static str, value: &str) {
        for (outcome, count) in &self.outcomes {
            let (name, key, reason) = match outcome {
                Outcome::Ended(ending) => ("requests_ended", "ending", ending),
                Outcome::Refused(kind) => ("requests_refused", "kind", kind),
            };
            line(out, name, &[(label, value), (key, reason)], count);
        }
        for (cause, count) in &self.late {
            let labels = [(label, value), ("cause", *cause)];
            line(out, "answers_late", &labels, count);
        }
        render_quantiles(out, "latency_ms", (label, value), &self.latency_ms);
        if !self.first_piece_ms.is_empty() {
            render_quantiles(out, "first_piece_ms", (label, value), &self.first_piece_ms);
        }
    }
}

fn render_quantiles(out: &mut String, name: &str, label: (&str, &str), histogram: &Histogram<u32>) {
    for q in QUANTILES {
        let quantile = q.to_string();
        let labels = [label, ("quantile", quantile.as_str())];
        line(out, name, &labels, histogram.value_at_quantile(q));
    }
}

fn line(out: &mut String, name: &str, labels: &[(&str, &str)], value: impl std::fmt::Display) {
    let labels: Vec<_> = labels
        .iter()
        .map(|(label, of)| format!("{label}=\"{}\"", escaped(of)))
        .collect();
    // Writing to a string cannot fail.
    let _written = if labels.is_empty() {
        writeln!(out, "eelgrassramp_{name} {value}")
    } else {
        writeln!(out, "eelgrassramp_{name}{{{}}} {value}", labels.join(","))
    };
}

/// Names come from operators; quotes and line breaks in them must not end a label.
fn escaped(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
