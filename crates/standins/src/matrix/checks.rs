//! The promises that hold whatever fails, checked against what engines and callers saw.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::RequestId;
use eelgrassramp::Tier;

use super::scene::Scene;
use crate::cluster::SimulatedEndpoint;
use crate::load::Outcome;
use crate::load::Sample;

/// Longest time that an answer may come after its deadline, for messages under way.
const GRACE: Duration = Duration::from_secs(2);

/// Kinds of error by which work is shed.
const SHED: &[&str] = &[
    "overloaded",
    "displaced",
    "preempted",
    "deadline_unmeetable",
    "deadline_expired",
    "retry_budget_spent",
];

/// Returns a sentence for every promise that was broken.
#[must_use]
pub fn broken_promises(scene: &Scene, samples: &[Sample], load_start: Monotonic) -> Vec<String> {
    let starts = starts(scene);
    let mut broken = Vec::new();
    broken.extend(double_dispatches(&starts));
    broken.extend(false_refusals(scene, &starts));
    broken.extend(double_charges(scene));
    broken.extend(wrong_answers(samples));
    broken.extend(shed_orders(scene, samples, load_start));
    broken.extend(late_answers(scene));
    broken
}

fn starts(scene: &Scene) -> HashMap<RequestId, u32> {
    let mut total = HashMap::new();
    for simulated in scene.simulated_endpoints() {
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

fn false_refusals(scene: &Scene, starts: &HashMap<RequestId, u32>) -> Vec<String> {
    let refused = scene
        .calls()
        .into_iter()
        .filter(|c| c.ran.as_deref() == Some("no"));
    let ran = refused
        .filter_map(|c| c.request)
        .filter(|id| starts.contains_key(id));
    ran.map(|id| format!("request {id} was said not to have run, but it was started"))
        .collect()
}

fn double_charges(scene: &Scene) -> Vec<String> {
    let mut executions: BTreeMap<String, u32> = BTreeMap::new();
    for simulated in scene.simulated_endpoints() {
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

fn shed_orders(scene: &Scene, samples: &[Sample], load_start: Monotonic) -> Vec<String> {
    let started = scene.probe.started();
    // A process that stood still until the deadline had passed could not pass the order on.
    let lost = scene.calls().into_iter().filter(|c| c.entry_lost);
    let lost: HashSet<_> = lost.map(|c| c.request).collect();
    let is_lost = |s: &Sample| lost.contains(&s.request.as_deref().and_then(|id| id.parse().ok()));
    let orders = samples
        .iter()
        .filter(|s| s.tier == Tier::Order && is_shed(&s.outcome) && !is_lost(s));
    let mut broken = Vec::new();
    for order in orders {
        let document = &scene.document;
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
    matches!(outcome, Outcome::Refused { kind, .. } if SHED.contains(&kind.as_str()))
}

fn late_answers(scene: &Scene) -> Vec<String> {
    let calls = scene.calls().into_iter().filter(|c| !c.entry_lost);
    let late = calls.filter(|c| c.took > c.timeout + GRACE);
    late.map(|c| format!("request {:?} was answered after {:?}", c.request, c.took))
        .collect()
}
