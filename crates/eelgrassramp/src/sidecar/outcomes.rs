//! Counters of request outcomes, used to compare the versions of a pool.

use std::collections::BTreeMap;

use crate::name::RouteName;
use crate::name::VersionName;
use crate::tier::Tier;
use crate::wire::Outcomes;

/// Maximum number of counter rows; outcomes of further routes and versions are not counted.
const MAX_COUNTER_ROWS: usize = 4096;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct CounterKey {
    route: RouteName,
    tier: Tier,
    version: VersionName,
}

/// Outcome of one request that was sent to the endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Outcome {
    /// The response was complete; `slowness` is the ratio of actual to nominal time.
    Ok { slowness: f64 },
    /// The request failed because of the endpoint.
    Failed,
    /// The response was complete, but the endpoint reported more than one execution.
    Duplicated,
}

/// Outcome counters by route, tier and version.
#[derive(Debug, Default)]
pub(super) struct OutcomeCounters {
    counters_by_key: BTreeMap<CounterKey, Outcomes>,
}

impl OutcomeCounters {
    pub(super) fn count(
        &mut self,
        route: &RouteName,
        tier: Tier,
        version: &VersionName,
        outcome: Outcome,
    ) {
        let key = CounterKey {
            route: route.clone(),
            tier,
            version: version.clone(),
        };
        if self.counters_by_key.len() >= MAX_COUNTER_ROWS
            && !self.counters_by_key.contains_key(&key)
        {
            return;
        }
        let counters = self.counters_by_key.entry(key).or_insert_with(|| Outcomes {
            route: route.clone(),
            tier,
            version: version.clone(),
            ok: 0,
            failed: 0,
            duplicated: 0,
            log_slowness_sum: 0.0,
            log_slowness_square_sum: 0.0,
        });
        match outcome {
            Outcome::Ok { slowness } => {
                let log_slowness = slowness.ln();
                counters.ok += 1;
                counters.log_slowness_sum += log_slowness;
                counters.log_slowness_square_sum += log_slowness * log_slowness;
            }
            Outcome::Failed => counters.failed += 1,
            Outcome::Duplicated => counters.duplicated += 1,
        }
    }

    pub(super) fn to_vec(&self) -> Vec<Outcomes> {
        self.counters_by_key.values().cloned().collect()
    }
}
