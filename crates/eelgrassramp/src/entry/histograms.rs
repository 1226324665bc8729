//! Latency histograms per tier and client account.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::name::AccountName;
use crate::num;
use crate::tier::Tier;

/// Largest recorded latency in microseconds: one hour.
const MAX_MICROS: u64 = 3_600_000_000;

const SIGNIFICANT_DIGITS: u8 = 2;

/// Account name that collects all accounts beyond the limit.
const OTHER_ACCOUNTS: &str = "other";

/// Latencies and request counts of one tier and client account.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct LatencySummary {
    /// The tier.
    pub tier: Tier,
    /// The client account.
    pub account: AccountName,
    /// Requests whose response was sent completely.
    #[serde(rename = "whole")]
    pub completed: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Time to the first byte of the response.
    pub first_byte_ms: Quantiles,
    /// Time to the last byte of the response.
    pub total_ms: Quantiles,
}

/// Quantiles of a latency in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

#[derive(Debug)]
struct LatencyRecord {
    completed: u64,
    failed: u64,
    first_byte: Histogram<u64>,
    total: Histogram<u64>,
}

/// Histograms per tier and account, for a bounded number of accounts.
#[derive(Debug)]
pub(super) struct Histograms {
    max_accounts: usize,
    records: BTreeMap<(Tier, AccountName), LatencyRecord>,
}

impl Histograms {
    pub const fn new(max_accounts: usize) -> Self {
        Self {
            max_accounts,
            records: BTreeMap::new(),
        }
    }

    pub fn record_completed(
        &mut self,
        tier: Tier,
        account: &AccountName,
        first_byte: Duration,
        total: Duration,
    ) {
        let record = self.record_mut(tier, account);
        record.completed += 1;
        record
            .first_byte
            .saturating_record(clamped_micros(first_byte));
        record.total.saturating_record(clamped_micros(total));
    }

    pub fn record_failed(&mut self, tier: Tier, account: &AccountName) {
        self.record_mut(tier, account).failed += 1;
    }

    pub fn to_summaries(&self) -> Vec<LatencySummary> {
        self.records
            .iter()
            .map(|((tier, account), record)| LatencySummary {
                tier: *tier,
                account: account.clone(),
                completed: record.completed,
                failed: record.failed,
                first_byte_ms: quantiles(&record.first_byte),
                total_ms: quantiles(&record.total),
            })
            .collect()
    }

    fn record_mut(&mut self, tier: Tier, account: &AccountName) -> &mut LatencyRecord {
        let mut key = (tier, account.clone());
        let is_new = !self.records.contains_key(&key);
        if is_new && self.records.len() >= self.max_accounts * Tier::ALL.len() {
            key.1 = OTHER_ACCOUNTS.into();
        }
        self.records.entry(key).or_insert_with(LatencyRecord::new)
    }
}

impl LatencyRecord {
    fn new() -> Self {
        let histogram = || {
            Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS)
                .expect("histogram bounds are valid")
        };
        Self {
            completed: 0,
            failed: 0,
            first_byte: histogram(),
            total: histogram(),
        }
    }
}

fn clamped_micros(duration: Duration) -> u64 {
    num::micros(duration).clamp(1, MAX_MICROS)
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Quantiles {
        p50: at(0.50),
        p95: at(0.95),
        p99: at(0.99),
        max: histogram.max() as f64 / 1_000.0,
    }
}
