//! Guarantees that hold under every fault, checked against what engines and callers observed.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::RequestId;
use eelgrassramp::Tier;

use super::testbed::Testbed;
use crate::cluster::SimulatedEndpoint;
use crate::load::Outcome;
use crate::load::Sample;

/// Maximum time by which a response may exceed its deadline, to allow for messages in transit.
const LATE_GRACE: Duration = Duration::from_secs(2);

/// Error kinds that mean that a request was shed.
const SHED_ERROR_KINDS: &[&str] = &[
    "overloaded",
    "displaced",
    "preempted",
    "deadline_unmeetable",
    "deadline_expired",
    "retry_budget_spent",
];

/// Returns a message for every violated guarantee.
#[must_use]
pub fn find_violations(
    testbed: &Testbed,
    samples: &[Sample],
    load_start: Monotonic,
) -> Vec<String> {
    let starts = starts(testbed);
    let mut broken = Vec::new();
    broken.extend(double_dispatches(&starts));
    broken.extend(false_not_run_reports(testbed, &starts));
    broken.extend(double_charges(testbed));
    broken.extend(wrong_answers(samples));
    broken.extend(shed_orders(testbed, samples, load_start));
    broken.extend(late_answers(testbed));
    broken
}

fn starts(testbed: &Testbed) -> HashMap<RequestId, u32> {
    let mut total = HashMap::new();
    for simulated in testbed.simulated_endpoints() {
        let starts = match simulated {
            SimulatedEndpoint::Model(engine) => engine.stats().starts,
            SimulatedEndpoint::Plain(service) => service.starts(),
        };
        for (request, count) in starts {
            *total.entry(request).or_default() += count;
        }
    }
    total
}

fn double_dispatches(starts: &HashMap<RequestId, u32>) -> Vec<String> {
    let twice = starts.iter().filter(|(_, count)| **count > 1);
    twice
        .map(|(id, count)| format!("request {id} was started {count} times"))
        .collect()
}

fn false_not_run_reports(testbed: &Testbed, starts: &HashMap<RequestId, u32>) -> Vec<String> {
    let refused = testbed
        .calls()
        .into_iter()
        .filter(|c| c.ran.as_deref() == Some("no"));
    let ran = refused
        .filter_map(|c| c.request)
        .filter(|id| starts.contains_key(id));
    ran.map(|id| format!("request {id} was said not to have run, but it was started"))
        .collect()
}

fn double_charges(testbed: &Testbed) -> Vec<String> {
    let mut executions: BTreeMap<String, u32> = BTreeMap::new();
    for simulated in testbed.simulated_endpoints() {
        if let SimulatedEndpoint::Plain(service) = simulated {
            for charge in service.charges() {
                *executions.entry(charge.key.to_string()).or_default() += charge.executions;
            }
        }
    }
    let twice = executions.into_iter().filter(|(_, count)| *count > 1);
    twice
        .map(|(key, count)| format!("charge {key:?} was executed {count} times"))
        .collect()
}

fn wrong_answers(samples: &[Sample]) -> Vec<String> {
    let wrong = samples.iter().filter(|s| s.outcome == Outcome::Wrong);
    wrong
        .map(|s| format!("{} at {:?} got another answer or a part", s.class, s.at))
        .collect()
}

fn shed_orders(testbed: &Testbed, samples: &[Sample], load_start: Monotonic) -> Vec<String> {
    let started = testbed.probe.started();
    // A process that was frozen until after the deadline could not forward the order.
    let lost = testbed.calls().into_iter().filter(|c| c.entry_lost);
    let lost: HashSet<_> = lost.map(|c| c.request).collect();
    let is_lost = |s: &Sample| lost.contains(&s.request.as_deref().and_then(|id| id.parse().ok()));
    let orders = samples
        .iter()
        .filter(|s| s.tier == Tier::Order && is_shed(&s.outcome) && !is_lost(s));
    let mut broken = Vec::new();
    for order in orders {
        let document = &testbed.document;
        let route = document.routes.iter().find(|r| r.name == order.class);
        let Some(route) = route else { continue };
        let until = order.at + order.total;
        let served = started.iter().find(|s| {
            let at = s.at.since(load_start);
            s.pool == route.pool && s.tier > Tier::Order && at > order.at && at < until
        });
        if let Some(served) = served {
            let what = format!(
                "order {} at {:?} was shed ({:?}) while tier {} was started at {:?}",
                order.class, order.at, order.outcome, served.tier, served.at,
            );
            broken.push(what);
        }
    }
    broken
}

fn is_shed(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Refused { kind, .. } if SHED_ERROR_KINDS.contains(&kind.as_str()))
}

fn late_answers(testbed: &Testbed) -> Vec<String> {
    let calls = testbed.calls().into_iter().filter(|c| !c.entry_lost);
    let late = calls.filter(|c| c.took > c.timeout + LATE_GRACE);
    late.map(|c| format!("request {:?} was answered after {:?}", c.request, c.took))
        .collect()
}
