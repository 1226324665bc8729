//! Rollouts of the pools of one entry.

use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;

use super::Dispatcher;
use crate::rollout::Decision;
use crate::rollout::ExposureLimits;
use crate::rollout::Report;
use crate::rollout::Rollout;
use crate::rollout::RolloutCounts;
use crate::rollout::RolloutOrder;

impl Dispatcher {
    /// Sets the operators' rollout orders; a rollout without an order ends. Returns the reports to
    /// repeat.
    pub fn set_orders(
        &mut self,
        now: Monotonic,
        orders: Vec<RolloutOrder>,
        limits: ExposureLimits,
    ) -> Vec<Report> {
        for (name, pool) in &mut self.pools {
            if !orders.iter().any(|order| order.pool == *name) {
                pool.drop_rollout(now);
            }
        }
        let mut reports = Vec::new();
        for order in orders {
            let pool = self.pool_mut(&order.pool.clone());
            reports.extend(pool.set_order(now, order, limits));
        }
        reports
    }

    /// Decides whether rollouts end, and returns the reports for operators.
    pub fn advance_rollouts(&mut self, now: Monotonic) -> Vec<Report> {
        let pools = self.pools.values_mut();
        pools.filter_map(|pool| pool.advance_rollout(now)).collect()
    }

    /// Returns what this entry counted in each rollout.
    #[must_use]
    pub fn rollout_counts(&self) -> Vec<RolloutCounts> {
        let rollouts = self.pools.values().filter_map(|p| p.rollout.as_ref());
        rollouts.map(Rollout::local_counts).collect()
    }

    /// Merges what the process `incarnation` of another entry counted in its rollouts, and returns the
    /// decisions that are taken over from it.
    pub fn merge_rollout_counts(
        &mut self,
        entry: &EntryName,
        incarnation: u64,
        counts: Vec<RolloutCounts>,
    ) -> Vec<(RolloutOrder, Decision)> {
        let taken_over = counts.into_iter().filter_map(|peer_counts| {
            let pool = self.pools.get_mut(&peer_counts.pool)?;
            let rollout = pool.rollout.as_mut()?;
            let decision = rollout.apply_peer_counts(entry, incarnation, peer_counts)?;
            Some((rollout.order().clone(), decision))
        });
        taken_over.collect()
    }
}
