//! Counters of how requests ended, for verdicts on versions.

use std::collections::BTreeMap;

use crate::name::RouteName;
use crate::name::VersionName;
use crate::tier::Tier;
use crate::wire::Outcomes;

/// Most rows of counters; further routes or versions are not counted.
const MAX_ROWS: usize = 4096;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Row {
    route: RouteName,
    tier: Tier,
    version: VersionName,
}

/// How the endpoint dealt with one request that it was given.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Outcome {
    /// It answered whole, taking so many times longer than expected.
    Ok { slowness: f64 },
    /// It failed.
    Failed,
    /// It answered whole but said that it had run the request more than once.
    Duplicated,
}

/// One row for each route, tier and version.
#[derive(Debug, Default)]
pub(super) struct OutcomeTable {
    rows: BTreeMap<Row, Outcomes>,
}

impl OutcomeTable {
    pub(super) fn count(
        &mut self,
        route: &RouteName,
        tier: Tier,
        version: &VersionName,
        outcome: Outcome,
    ) {
        let row = Row {
            route: route.clone(),
            tier,
            version: version.clone(),
        };
        if self.rows.len() >= MAX_ROWS && !self.rows.contains_key(&row) {
            return;
        }
        let counters = self.rows.entry(row).or_insert_with(|| Outcomes {
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
                let log = slowness.ln();
                counters.ok += 1;
                counters.log_slowness_sum += log;
                counters.log_slowness_square_sum += log * log;
            }
            Outcome::Failed => counters.failed += 1,
            Outcome::Duplicated => counters.duplicated += 1,
        }
    }

    pub(super) fn to_vec(&self) -> Vec<Outcomes> {
        self.rows.values().cloned().collect()
    }
}
