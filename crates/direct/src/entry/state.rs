//! The state behind an entry's lock.

use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use rand::rngs::StdRng;
use tokio::sync::oneshot;

use super::others::Others;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::Grant;
use crate::dispatcher::QueueEvent;
use crate::endpoint_tracker::Outcome;
use crate::meters::Gauge;
use crate::prior_wait::PriorWaitEstimator;
use crate::quota::Quotas;
use crate::registry::Registry;
use crate::retry::RetryBudget;
use crate::retry::RetryLimits;
use crate::rollout::Report;

/// What the requests of an entry share and change.
pub(super) struct State {
    pub(super) dispatcher: Dispatcher,
    /// Where waiting requests hear of their turn.
    pub(super) waiters: HashMap<u64, oneshot::Sender<Result<Grant, Duration>>>,
    pub(super) budgets: HashMap<PoolName, RetryBudget>,
    pub(super) quotas: Quotas,
    pub(super) registry: Registry,
    pub(super) rng: StdRng,
    pub(super) others: Others,
    pub(super) patience: PriorWaitEstimator,
    /// From when on moves are decided.
    pub(super) decides_from: Monotonic,
}

impl State {
    /// Returns what waits, what is in flight, and what is left of quotas and repeats.
    pub(super) fn gauges(&self, now: Monotonic, limits: &RetryLimits) -> Vec<Gauge> {
        let in_flight = self.dispatcher.in_flight();
        let in_flight: u32 = in_flight.iter().map(|(_, n)| n).sum();
        let entries = self.quotas.entries();
        let mut gauges = vec![
            Gauge::new("in_flight", f64::from(in_flight)),
            Gauge::new("entries", f64::from(entries)),
            Gauge::new("entries_silent", f64::from(self.quotas.silent_entries(now))),
        ];
        let oldest = self.quotas.longest_silence(now).as_millis() as f64;
        gauges.push(Gauge::new("entries_age_ms", oldest));
        let (leaving, paused) = self.dispatcher.restricted_counts(now);
        gauges.push(Gauge::new("endpoints_leaving", leaving as f64));
        gauges.push(Gauge::new("endpoints_paused", paused as f64));
        let cold = self.dispatcher.cold_endpoint_count(now) as f64;
        gauges.push(Gauge::new("endpoints_cold", cold));
        let emptied = self.dispatcher.evacuated_domains().len() as f64;
        gauges.push(Gauge::new("domains_emptied", emptied));
        for (pool, waiting) in self.dispatcher.queued_by_pool() {
            let waiting = waiting as f64;
            gauges.push(Gauge::with_label("waiting", "pool", pool.as_str(), waiting));
        }
        for (pool, budget) in &self.budgets {
            let left = budget.left(now, limits, entries);
            gauges.push(Gauge::with_label(
                "repeats_left",
                "pool",
                pool.as_str(),
                left,
            ));
        }
        for left in self.quotas.left(now) {
            let name = left.account.as_str();
            gauges.push(Gauge::with_label(
                "quota_units",
                "account",
                name,
                left.units,
            ));
            gauges.push(Gauge::with_label(
                "quota_part",
                "account",
                name,
                left.own_part,
            ));
        }
        gauges
    }

    /// Decides about moves, and returns what operators are told.
    pub(super) fn advance(&mut self, now: Monotonic) -> Vec<Report> {
        if now < self.decides_from {
            return Vec::new();
        }
        self.dispatcher.advance_rollouts(now)
    }

    /// Tells a waiting request its turn or its end.
    pub(super) fn wake(&mut self, now: Monotonic, wake: QueueEvent) {
        let (seq, result) = match wake {
            QueueEvent::Granted(seq, grant) => (seq, Ok(grant)),
            QueueEvent::Expired(seq, wait) => (seq, Err(wait)),
        };
        let Some(tx) = self.waiters.remove(&seq) else {
            return;
        };
        if let Err(Ok(grant)) = tx.send(result) {
            // The caller left while the place was handed over.
            let outcome = Outcome::Neutral;
            let route = &grant.route;
            self.dispatcher
                .record_outcome(now, &grant.endpoint, route, outcome);
        }
    }

    /// Passes on what the other entries have in flight, without those that fell silent.
    pub(super) fn count_others(&mut self, now: Monotonic) {
        self.others.expire(now);
        let (entries, sum) = (self.others.entries(), self.others.sum());
        self.dispatcher.set_peer_load(now, entries, sum);
    }
}
