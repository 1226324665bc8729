//! Outcome counts and latency quantiles per tier and client account.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::Tier;
use eelgrassramp::num;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::sample::Outcome;
use super::sample::Sample;

const MAX_LATENCY_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts and latencies of one group of requests, such as a tier or an account.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize)]
pub struct GroupSummary {
    /// Requests sent.
    pub sent: u64,
    /// Requests with a complete response in time.
    pub good: u64,
    /// Requests with a complete response after their timeout.
    pub late: u64,
    /// Requests that ended with an error response, by error kind.
    pub refused: BTreeMap<String, u64>,
    /// Requests that broke without an error kind.
    pub broken: u64,
    /// Requests with a wrong response.
    pub wrong: u64,
    /// Tokens of the good responses.
    pub good_tokens: u64,
    /// Time to the first byte of good responses.
    pub first_byte: Latency,
    /// Time to the last byte of good responses.
    pub total: Latency,
}

/// Latency quantiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct Latency {
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The maximum.
    pub max_ms: f64,
}

impl From<&Histogram<u64>> for Latency {
    fn from(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: at(1.0),
        }
    }
}

/// All requests of one run, by tier and by account.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize)]
pub struct Summary {
    /// By tier.
    pub tiers: BTreeMap<Tier, GroupSummary>,
    /// By client account.
    pub accounts: BTreeMap<AccountName, GroupSummary>,
    /// All requests.
    pub all: GroupSummary,
    /// Orders refused or expired while lower-tier requests of the run were being served.
    pub orders_shed_while_lower_served: u64,
    /// Minimum number of prompt tokens to compute for the complete responses; each shared prefix
    /// counts once.
    pub needed_prefill_tokens: u64,
}

impl Summary {
    /// Summarizes `samples`.
    #[must_use]
    pub fn new(samples: &[Sample]) -> Self {
        let mut tiers: BTreeMap<Tier, Collector> = BTreeMap::new();
        let mut accounts: BTreeMap<AccountName, Collector> = BTreeMap::new();
        let mut all = Collector::new();
        for sample in samples {
            let tier = tiers.entry(sample.tier).or_insert_with(Collector::new);
            tier.add(sample);
            let account = accounts.entry(sample.account.clone());
            account.or_insert_with(Collector::new).add(sample);
            all.add(sample);
        }
        Self {
            tiers: tiers.into_iter().map(|(k, c)| (k, c.into())).collect(),
            accounts: accounts.into_iter().map(|(k, c)| (k, c.into())).collect(),
            all: all.into(),
            orders_shed_while_lower_served: count_shed_orders(samples),
            needed_prefill_tokens: count_needed_prefill(samples),
        }
    }
}

impl GroupSummary {
    /// Returns the share of good requests.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        if self.sent == 0 {
            return 1.0;
        }
        self.good as f64 / self.sent as f64
    }

    /// Returns the number of requests that ended with an error response.
    #[must_use]
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }
}

struct Collector {
    row: GroupSummary,
    first_byte: Histogram<u64>,
    total: Histogram<u64>,
}

impl Collector {
    fn new() -> Self {
        let histogram = || {
            let created = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
            created.expect("the bounds are valid constants")
        };
        Self {
            row: GroupSummary::default(),
            first_byte: histogram(),
            total: histogram(),
        }
    }

    fn add(&mut self, sample: &Sample) {
        let row = &mut self.row;
        row.sent += 1;
        match &sample.outcome {
            Outcome::Complete if sample.is_good() => {
                row.good += 1;
                row.good_tokens += u64::from(sample.output_tokens);
                let first_byte = sample.first_byte.unwrap_or(sample.total);
                self.first_byte.saturating_record(num::micros(first_byte));
                self.total.saturating_record(num::micros(sample.total));
            }
            Outcome::Complete => row.late += 1,
            Outcome::Refused { kind, .. } => *row.refused.entry(kind.clone()).or_default() += 1,
            Outcome::Broken => row.broken += 1,
            Outcome::Wrong => row.wrong += 1,
        }
    }
}

impl From<Collector> for GroupSummary {
    fn from(collector: Collector) -> Self {
        Self {
            first_byte: Latency::from(&collector.first_byte),
            total: Latency::from(&collector.total),
            ..collector.row
        }
    }
}

const SHED_ERROR_KINDS: [&str; 5] = [
    "overloaded",
    "displaced",
    "preempted",
    "deadline_unmeetable",
    "deadline_expired",
];

fn count_shed_orders(samples: &[Sample]) -> u64 {
    let served: Vec<(Duration, Duration)> = samples
        .iter()
        .filter(|s| s.tier > Tier::Order && s.outcome == Outcome::Complete)
        .map(|s| (s.at + s.first_byte.unwrap_or(s.total), s.at + s.total))
        .collect();
    let shed = samples.iter().filter(|s| match &s.outcome {
        Outcome::Refused { kind, .. } => {
            s.tier == Tier::Order && SHED_ERROR_KINDS.contains(&kind.as_str())
        }
        _ => false,
    });
    let shed = shed.filter(|s| {
        let end = s.at + s.total;
        served.iter().any(|(from, to)| *from <= end && end <= *to)
    });
    num::count(shed.count())
}

fn count_needed_prefill(samples: &[Sample]) -> u64 {
    let complete = samples.iter().filter(|s| s.outcome == Outcome::Complete);
    let mut families = BTreeSet::new();
    let mut tokens = 0;
    for sample in complete {
        tokens += u64::from(sample.unique_tokens);
        if families.insert((sample.class.clone(), sample.prefix_family)) {
            tokens += u64::from(sample.prefix_tokens);
        }
    }
    tokens
}
