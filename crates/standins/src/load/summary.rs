//! Counts and histograms per tier and client account.

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

const MAX_MICROS: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// What became of the requests of one tier, or of one account.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered whole and in time.
    pub good: u64,
    /// Requests answered whole but late.
    pub late: u64,
    /// Requests that ended with a named error, by kind.
    pub refused: BTreeMap<String, u64>,
    /// Requests that broke without a named error.
    pub broken: u64,
    /// Requests that got a wrong answer.
    pub wrong: u64,
    /// Tokens of the good answers.
    pub good_tokens: u64,
    /// Time to the first byte of good answers.
    pub first_byte: Latency,
    /// Time to the last byte of good answers.
    pub total: Latency,
}

/// Quantiles of a time in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct Latency {
    /// Half of the requests took at most this.
    pub p50_ms: f64,
    /// 95 in 100 took at most this.
    pub p95_ms: f64,
    /// 99 in 100 took at most this.
    pub p99_ms: f64,
    /// The longest.
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
    pub tiers: BTreeMap<Tier, Row>,
    /// By client account.
    pub accounts: BTreeMap<AccountName, Row>,
    /// All together.
    pub all: Row,
    /// Orders refused or expired while lower-tier requests of the run were being served.
    pub orders_shed_while_lower_served: u64,
    /// Prompt tokens that had to be computed for what was delivered, each shared beginning
    /// counted once.
    pub needed_prefill_tokens: u64,
}

impl Summary {
    /// Sums up `samples`.
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
            orders_shed_while_lower_served: orders_shed(samples),
            needed_prefill_tokens: needed_prefill(samples),
        }
    }
}

impl Row {
    /// Returns the share of requests that were answered whole and in time.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        if self.sent == 0 {
            return 1.0;
        }
        self.good as f64 / self.sent as f64
    }

    /// Returns the number of requests that ended with a named error.
    #[must_use]
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }
}

struct Collector {
    row: Row,
    first_byte: Histogram<u64>,
    total: Histogram<u64>,
}

impl Collector {
    fn new() -> Self {
        let histogram = || {
            let created = Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS);
            created.expect("the bounds are valid constants")
        };
        Self {
            row: Row::default(),
            first_byte: histogram(),
            total: histogram(),
        }
    }

    fn add(&mut self, sample: &Sample) {
        let row = &mut self.row;
        row.sent += 1;
        match &sample.outcome {
            Outcome::Whole if sample.is_good() => {
                row.good += 1;
                row.good_tokens += u64::from(sample.output_tokens);
                let first_byte = sample.first_byte.unwrap_or(sample.total);
                self.first_byte.saturating_record(num::micros(first_byte));
                self.total.saturating_record(num::micros(sample.total));
            }
            Outcome::Whole => row.late += 1,
            Outcome::Refused { kind, .. } => *row.refused.entry(kind.clone()).or_default() += 1,
            Outcome::Broken => row.broken += 1,
            Outcome::Wrong => row.wrong += 1,
        }
    }
}

impl From<Collector> for Row {
    fn from(collector: Collector) -> Self {
        Self {
            first_byte: Latency::from(&collector.first_byte),
            total: Latency::from(&collector.total),
            ..collector.row
        }
    }
}

const SHED_KINDS: [&str; 5] = [
    "overloaded",
    "displaced",
    "preempted",
    "deadline_unmeetable",
    "deadline_expired",
];

fn orders_shed(samples: &[Sample]) -> u64 {
    let served: Vec<(Duration, Duration)> = samples
        .iter()
        .filter(|s| s.tier > Tier::Order && s.outcome == Outcome::Whole)
        .map(|s| (s.at + s.first_byte.unwrap_or(s.total), s.at + s.total))
        .collect();
    let shed = samples.iter().filter(|s| match &s.outcome {
        Outcome::Refused { kind, .. } => {
            s.tier == Tier::Order && SHED_KINDS.contains(&kind.as_str())
        }
        _ => false,
    });
    let shed = shed.filter(|s| {
        let end = s.at + s.total;
        served.iter().any(|(from, to)| *from <= end && end <= *to)
    });
    num::count(shed.count())
}

fn needed_prefill(samples: &[Sample]) -> u64 {
    let whole = samples.iter().filter(|s| s.outcome == Outcome::Whole);
    let mut families = BTreeSet::new();
    let mut tokens = 0;
    for sample in whole {
        tokens += u64::from(sample.own_tokens);
        if families.insert((sample.class.clone(), sample.prefix_family)) {
            tokens += u64::from(sample.prefix_tokens);
        }
    }
    tokens
}
