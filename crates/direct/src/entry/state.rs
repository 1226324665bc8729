//! Mutable state of an entry, guarded by its lock.

use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use rand::rngs::StdRng;
use tokio::sync::oneshot;

use super::remote_load::PeerLoads;
use crate::crash_attribution::CrashAttribution;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::Grant;
use crate::dispatcher::QueueEvent;
use crate::endpoint_tracker::DispatchEnd;
use crate::metrics::Gauge;
use crate::prior_wait::PriorWaitEstimator;
use crate::quota::Quotas;
use crate::registry::KnownEndpoints;
use crate::retry::RetryBudget;
use crate::rollout::Report;

/// Mutable state that the requests of an entry share.
pub(super) struct State {
    pub(super) dispatcher: Dispatcher,
    /// Result channels of queued requests, by sequence number.
    pub(super) result_senders: HashMap<u64, oneshot::Sender<Result<Grant, Duration>>>,
    pub(super) retry_budgets: HashMap<PoolName, RetryBudget>,
    pub(super) quotas: Quotas,
    pub(super) known_endpoints: KnownEndpoints,
    pub(super) rng: StdRng,
    pub(super) peer_loads: PeerLoads,
    pub(super) prior_waits: PriorWaitEstimator,
    pub(super) crash_attribution: CrashAttribution,
    /// Rollout decisions are suspended until this time.
    pub(super) rollout_decisions_from: Monotonic,
}

impl State {
    /// Returns gauges of queues, in-flight requests, endpoints, quotas and retry budgets.
    pub(super) fn gauges(&self, now: Monotonic) -> Vec<Gauge> {
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
        let (out_of_service, paused) = self.dispatcher.restricted_counts(now);
        gauges.push(Gauge::new("endpoints_leaving", out_of_service as f64));
        gauges.push(Gauge::new("endpoints_paused", paused as f64));
        let limited = self.dispatcher.rate_limited_count() as f64;
        gauges.push(Gauge::new("endpoints_limited", limited));
        let cold = self.dispatcher.cold_endpoint_count(now) as f64;
        gauges.push(Gauge::new("endpoints_cold", cold));
        let evacuated = self.dispatcher.evacuated_domains().len() as f64;
        gauges.push(Gauge::new("domains_emptied", evacuated));
        let withdrawn = self.dispatcher.withdrawn_versions().count() as f64;
        gauges.push(Gauge::new("versions_withdrawn", withdrawn));
        let blocked = self.crash_attribution.blocked_parts().count() as f64;
        gauges.push(Gauge::new("prompt_parts_blocked", blocked));
        for (pool, queued) in self.dispatcher.queued_by_pool() {
            let queued = queued as f64;
            gauges.push(Gauge::with_label("waiting", "pool", pool.as_str(), queued));
        }
        for (pool, budget) in &self.retry_budgets {
            let totals = budget.totals();
            let values = [
                ("repeats_left", budget.remaining()),
                ("repeats_allowed", totals.allowed as f64),
                ("repeats_denied", totals.denied as f64),
            ];
            for (name, value) in values {
                gauges.push(Gauge::with_label(name, "pool", pool.as_str(), value));
            }
        }
        gauges.extend(self.share_gauges(now));
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

    /// Returns gauges of the accounts that use contended pools.
    fn share_gauges(&self, now: Monotonic) -> Vec<Gauge> {
        let accounts = self.dispatcher.account_work(now);
        let gauges = accounts.flat_map(|(_, account, seconds, is_over_share)| {
            let name = account.as_str();
            [
                Gauge::with_label("account_work_seconds", "account", name, seconds),
                Gauge::with_label(
                    "account_over_share",
                    "account",
                    name,
                    f64::from(u8::from(is_over_share)),
                ),
            ]
        });
        gauges.collect()
    }

    /// Returns the number of entries, or `None` before the first list of them.
    pub(super) fn listed_entry_count(&self) -> Option<u32> {
        let is_listed = self.dispatcher.has_peer_entries();
        is_listed.then(|| self.quotas.entry_count())
    }

    /// Returns the retry budget of `pool`, which is full only in a process without a predecessor.
    pub(super) fn retry_budget(
        &mut self,
        pool: &PoolName,
        is_first_start: bool,
    ) -> &mut RetryBudget {
        let initial = if is_first_start {
            RetryBudget::full
        } else {
            RetryBudget::empty
        };
        self.retry_budgets
            .entry(pool.clone())
            .or_insert_with(initial)
    }

    /// Decides how rollouts proceed and returns the reports for operators.
    pub(super) fn decide_rollouts(&mut self, now: Monotonic) -> Vec<Report> {
        if now < self.rollout_decisions_from {
            return Vec::new();
        }
        self.dispatcher.advance_rollouts(now)
    }

    /// Notifies a queued request that it was granted an endpoint or is refused.
    pub(super) fn notify_queued(&mut self, now: Monotonic, queue_event: QueueEvent) {
        let (seq, result) = match queue_event {
            QueueEvent::Granted(seq, grant) => (seq, Ok(grant)),
            QueueEvent::Refused(seq, wait) => (seq, Err(wait)),
        };
        let Some(tx) = self.result_senders.remove(&seq) else {
            return;
        };
        if let Err(Ok(grant)) = tx.send(result) {
            // The caller disconnected while the grant was being delivered.
            let outcome = DispatchEnd::Neutral;
            let route = &grant.route;
            self.dispatcher
                .record_outcome(now, &grant.endpoint, route, outcome);
        }
    }

    /// Passes the in-flight counts of the peers to the dispatcher, without expired ones.
    pub(super) fn update_peer_loads(&mut self, now: Monotonic) {
        self.peer_loads.expire(now);
        let (entries, sum) = (self.peer_loads.entries(), self.peer_loads.sum());
        self.dispatcher.set_peer_load(now, entries, sum);
    }
}
