//! Baseline for the sequential tests: a fixed threshold on windows of one minute.

use std::collections::BTreeMap;

use eelgrassramp::rollout::Sample;
use eelgrassramp::wire::Outcomes;
use eelgrassramp::wire::Report;

use crate::simulation::NEW;

const WINDOW_TICKS: u32 = 60;
const MIN_REQUESTS: u64 = 20;
const FAILURE_GAP: f64 = 0.05;
const SLOWNESS_RATIO: f64 = 1.8;

#[derive(Debug, Default)]
pub struct FixedThreshold {
    ticks: u32,
    last: BTreeMap<(String, bool), Sample>,
}

impl FixedThreshold {
    pub fn add(&mut self, reports: &[Report]) -> Option<String> {
        self.ticks += 1;
        if !self.ticks.is_multiple_of(WINDOW_TICKS) {
            return None;
        }
        let mut totals: BTreeMap<(String, bool), Sample> = BTreeMap::new();
        for report in reports {
            for outcomes in &report.outcomes {
                let is_new = report.version.as_str() == NEW;
                let total = totals.entry((outcomes.route.to_string(), is_new));
                total.or_default().add(&sample(outcomes));
            }
        }
        let before = std::mem::replace(&mut self.last, totals.clone());
        let window = |route: &str, is_new| {
            let key = (route.to_owned(), is_new);
            let before = before.get(&key).copied().unwrap_or_default();
            totals.get(&key).map(|t| t.without(&before))
        };
        let routes = totals.keys().map(|(route, _)| route);
        let mut pairs = routes.filter_map(|r| Some((window(r, true)?, window(r, false)?)));
        let found = pairs.find(|(new, old)| is_bad(new, old))?;
        Some(format!("{found:?}"))
    }
}

fn is_bad(new: &Sample, old: &Sample) -> bool {
    if new.duplicated > 0 {
        return true;
    }
    if new.requests() < MIN_REQUESTS || old.requests() < MIN_REQUESTS {
        return false;
    }
    new.failure_rate() > old.failure_rate() + FAILURE_GAP
        || new.slowness() > SLOWNESS_RATIO * old.slowness()
}

fn sample(outcomes: &Outcomes) -> Sample {
    Sample {
        ok: outcomes.ok,
        failed: outcomes.failed,
        duplicated: outcomes.duplicated,
        log_sum: outcomes.log_slowness_sum,
        log_square_sum: outcomes.log_slowness_square_sum,
        load_sum: 0.0,
    }
}
