//! Counters and latency histograms, rendered as text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use eelgrassramp::Kind;
use eelgrassramp::RouteName;
use eelgrassramp::log::LineCount;
use hdrhistogram::Histogram;

use crate::journal::Ending;

/// Longest latency that a histogram tells apart, in milliseconds.
const MAX_LATENCY_MS: u64 = 60_000;

/// Significant digits of a histogram.
const DIGITS: u8 = 2;

/// Most routes with counters of their own; further ones share the last.
const MAX_ROUTES: usize = 64;

/// Label of the routes beyond [`MAX_ROUTES`].
const OTHER_ROUTES: &str = "other";

/// Quantiles that are shown.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

#[derive(Debug, Default)]
struct State {
    routes: BTreeMap<Box<str>, RouteMeters>,
    errors: BTreeMap<&'static str, u64>,
    store_calls: BTreeMap<(&'static str, &'static str), u64>,
}

#[derive(Debug)]
struct RouteMeters {
    answered: u64,
    failed: u64,
    abandoned: u64,
    latency_ms: Histogram<u32>,
}

impl Default for RouteMeters {
    fn default() -> Self {
        let latency_ms = Histogram::new_with_max(MAX_LATENCY_MS, DIGITS);
        Self {
            answered: 0,
            failed: 0,
            abandoned: 0,
            latency_ms: latency_ms.expect("the bounds are constants that a histogram accepts"),
        }
    }
}

/// A value that is read when the meters are rendered.
#[derive(Debug, Clone, PartialEq)]
pub struct Gauge {
    /// Name of the metric.
    pub name: &'static str,
    /// The value.
    pub value: f64,
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

    pub(crate) fn count_end(&self, route: &RouteName, ending: Ending, took: Duration) {
        let mut state = self.lock();
        let is_new = !state.routes.contains_key(route.as_str());
        let label = if is_new && state.routes.len() >= MAX_ROUTES {
            OTHER_ROUTES
        } else {
            route.as_str()
        };
        let meters = state.routes.entry(label.into()).or_default();
        match ending {
            Ending::Answered { .. } => meters.answered += 1,
            Ending::EndpointFailed => meters.failed += 1,
            Ending::CallerGone => meters.abandoned += 1,
        }
        let ms = u64::try_from(took.as_millis()).unwrap_or(MAX_LATENCY_MS);
        meters.latency_ms.saturating_record(ms);
    }

    pub(crate) fn count_error(&self, kind: Kind) {
        *self.lock().errors.entry(kind.as_str()).or_default() += 1;
    }

    /// Counts a call to the platform's store about a kind of objects.
    pub fn count_store_call(&self, kind: &'static str, result: &'static str) {
        let mut state = self.lock();
        *state.store_calls.entry((kind, result)).or_default() += 1;
    }

    /// Renders all counters, with the `gauges` of the moment.
    #[must_use]
    pub fn render(&self, gauges: &[Gauge]) -> String {
        let state = self.lock();
        let mut out = String::new();
        for (route, meters) in &state.routes {
            let counts = [
                ("requests_answered", meters.answered),
                ("requests_endpoint_failed", meters.failed),
                ("requests_abandoned", meters.abandoned),
            ];
            for (name, count) in counts {
                line(&mut out, &format!("{name}{{route=\"{route}\"}}"), count);
            }
            for q in QUANTILES {
                let name = format!("latency_ms{{route=\"{route}\",quantile=\"{q}\"}}");
                line(&mut out, &name, meters.latency_ms.value_at_quantile(q));
            }
        }
        for (kind, count) in &state.errors {
            line(
                &mut out,
                &format!("requests_refused{{kind=\"{kind}\"}}"),
                *count,
            );
        }
        for ((kind, result), count) in &state.store_calls {
            let name = format!("store_calls{{kind=\"{kind}\",result=\"{result}\"}}");
            line(&mut out, &name, *count);
        }
        let unwritten = self.log_lines.unwritten();
        line(&mut out, "log_lines_unwritten", unwritten);
        for gauge in gauges {
            let _written = writeln!(out, "eelgrassramp_{} {}", gauge.name, gauge.value);
        }
        out
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no code panics while it holds the meters")
    }
}

fn line(out: &mut String, name: &str, value: u64) {
    // Writing to a string cannot fail.
    let _written = writeln!(out, "eelgrassramp_{name} {value}");
}
