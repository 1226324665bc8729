//! Encoding of what an entry counted and decided in a rollout.

use eelgrassramp::PoolName;
use eelgrassramp::RouteName;
use eelgrassramp::VersionName;
use serde::Deserialize;
use serde::Serialize;

use crate::rollout::Comparison;
use crate::rollout::Decision;
use crate::rollout::OrderReference;
use crate::rollout::ResponseStats;
use crate::rollout::RolloutCounts;
use crate::rollout::RolloutOutcome;
use crate::rollout::Standing;

/// What one entry counted in a rollout, as all builds read it.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct RolloutCountsWire {
    pool: PoolName,
    id: u64,
    is_completed: bool,
    is_rolled_back: bool,
    #[serde(rename = "answers")]
    stats: Vec<(RouteName, ResponseStatsWire, ResponseStatsWire)>,
}

#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
struct ResponseStatsWire(f64, f64, f64, f64, f64);

impl From<ResponseStats> for ResponseStatsWire {
    fn from(a: ResponseStats) -> Self {
        Self(a.sent, a.finished, a.failed, a.timed, a.slowness_sum)
    }
}

impl From<ResponseStatsWire> for ResponseStats {
    fn from(
        ResponseStatsWire(sent, finished, failed, timed, slowness_sum): ResponseStatsWire,
    ) -> Self {
        Self {
            sent,
            finished,
            failed,
            timed,
            slowness_sum,
        }
    }
}

impl From<RolloutCounts> for RolloutCountsWire {
    fn from(counts: RolloutCounts) -> Self {
        // Builds that do not read the details take over any outcome.
        let decision = counts.decision.filter(|decision| {
            decision.is_committed() || decision.outcome == RolloutOutcome::RolledBack
        });
        let outcome = decision.map(|decision| decision.outcome);
        let route_stats = counts.stats.into_iter();
        Self {
            pool: counts.pool,
            id: counts.id,
            is_completed: outcome == Some(RolloutOutcome::Completed),
            is_rolled_back: outcome == Some(RolloutOutcome::RolledBack),
            stats: route_stats
                .map(|(route, c)| (route, c.new.into(), c.old.into()))
                .collect(),
        }
    }
}

impl RolloutCountsWire {
    /// Decodes the counts; `details` name the order, if the sender tells it.
    pub(super) fn into_counts(self, details: Option<RolloutDetailsWire>) -> RolloutCounts {
        let outcome = match (self.is_rolled_back, self.is_completed) {
            (true, _) => Some(RolloutOutcome::RolledBack),
            (false, true) => Some(RolloutOutcome::Completed),
            (false, false) => None,
        };
        let is_committed = details.as_ref().is_some_and(|details| details.is_committed);
        let standing = if is_committed {
            Standing::Committed
        } else {
            Standing::Proposed
        };
        let route_stats = self.stats.into_iter();
        RolloutCounts {
            pool: self.pool,
            id: self.id,
            order: details.map(Into::into),
            decision: outcome.map(|outcome| Decision { outcome, standing }),
            stats: route_stats
                .map(|(route, new, old)| {
                    let (new, old) = (new.into(), old.into());
                    (route, Comparison { new, old })
                })
                .collect(),
        }
    }
}

/// Names the order of a rollout, and says how far its outcome is settled.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct RolloutDetailsWire {
    epoch: u64,
    version: VersionName,
    revision: u64,
    #[serde(default)]
    is_committed: bool,
}

impl RolloutDetailsWire {
    pub(super) fn new(order: &OrderReference, decision: Option<Decision>) -> Self {
        Self {
            epoch: order.epoch,
            version: order.new_version.clone(),
            revision: order.revision,
            is_committed: decision.is_some_and(Decision::is_committed),
        }
    }
}

impl From<RolloutDetailsWire> for OrderReference {
    fn from(wire: RolloutDetailsWire) -> Self {
        Self {
            epoch: wire.epoch,
            new_version: wire.version,
            revision: wire.revision,
        }
    }
}
