//! Mutable state of an entry, guarded by its lock.

use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use rand::rngs::StdRng;
use tokio::sync::oneshot;

use super::remote_load::RemoteLoad;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::Grant;
use crate::dispatcher::QueueEvent;
use crate::endpoint_tracker::DispatchEnd;
use crate::metrics::Gauge;
use crate::prior_wait::PriorWaitEstimator;
use crate::quota::Quotas;
use crate::registry::KnownEndpoints;
use crate::retry::RetryBudget;
use crate::retry::RetryLimits;
use crate::rollout::Report;

/// Mutable state that the requests of an entry share.
pub(super) struct State {
    pub(super) dispatcher: Dispatcher,
    /// Result channels of queued requests, by sequence number.
    pub(super) waiters: HashMap<u64, oneshot::Sender<Result<Grant, Duration>>>,
    pub(super) retry_budgets: HashMap<PoolName, RetryBudget>,
    pub(super) quotas: Quotas,
    pub(super) known_endpoints: KnownEndpoints,
    pub(super) rng: StdRng,
    pub(super) remote_load: RemoteLoad,
    pub(super) patience: PriorWaitEstimator,
    /// Rollout decisions are suspended until this time.
    pub(super) rollout_decisions_from: Monotonic,
}

impl State {
    /// Returns gauges of queues, in-flight requests, endpoints, quotas and retry budgets.
    pub(super) fn gauges(&self, now: Monotonic, limits: &RetryLimits) -> Vec<Gauge> {
        let in_flight = self.dispatcher.in_flight();
        let in_flight: u32 = in_flight.iter().map(|(_, n)| n).sum();
        let entries = self.quotas.entry_count();
        let mut gauges = vec![
            Gauge::new("in_flight", f64::from(in_flight)),
            Gauge::new("entries", f64::from(entries)),
            Gauge::new(
                "entries_silent",
                f64::from(self.quotas.silent_peer_count(now)),
            ),
        ];
        let oldest = self.quotas.max_report_age(now).as_millis() as f64;
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
        for (pool, budget) in &self.retry_budgets {
            let left = budget.remaining(now, limits, entries);
            gauges.push(Gauge::with_label(
                "repeats_left",
                "pool",
                pool.as_str(),
                left,
            ));
        }
        for left in self.quotas.remaining(now) {
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
                left.unreserved_share,
            ));
        }
        gauges
    }

    /// Takes rollout decisions and returns the reports for operators.
    pub(super) fn advance(&mut self, now: Monotonic) -> Vec<Report> {
        if now < self.rollout_decisions_from {
            return Vec::new();
        }
        self.dispatcher.advance_rollouts(now)
    }

    /// Notifies a queued request that it was granted an endpoint or has expired.
    pub(super) fn wake(&mut self, now: Monotonic, wake: QueueEvent) {
        let (seq, result) = match wake {
            QueueEvent::Granted(seq, grant) => (seq, Ok(grant)),
            QueueEvent::Refused(seq, wait) => (seq, Err(wait)),
        };
        let Some(tx) = self.waiters.remove(&seq) else {
            return;
        };
        if let Err(Ok(grant)) = tx.send(result) {
            // The caller left while the grant was being delivered.
            let outcome = DispatchEnd::Neutral;
            let route = &grant.route;
            self.dispatcher
                .record_outcome(now, &grant.endpoint, route, outcome);
        }
    }

    /// Passes the in-flight counts of the other entries to the dispatcher, without expired ones.
    pub(super) fn update_remote_load(&mut self, now: Monotonic) {
        self.remote_load.expire(now);
        let (entries, sum) = (self.remote_load.entries(), self.remote_load.sum());
        self.dispatcher.set_peer_load(now, entries, sum);
    }
}
