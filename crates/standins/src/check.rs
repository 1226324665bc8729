//! Promises that are checked after every run, from the callers' and the endpoints' side.

use std::collections::BTreeMap;
use std::sync::Arc;

use eelgrassramp::RequestId;
use eelgrassramp::num;
use serde::Serialize;

use crate::engine::ModelEngine;
use crate::load::Outcome;
use crate::load::Sample;
use crate::service::Charge;
use crate::service::ChargeService;

/// One promise with the number of cases that were looked at and that broke it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Check {
    /// The promise.
    pub promise: &'static str,
    /// Cases that were looked at.
    pub cases: u64,
    /// Cases that broke the promise.
    pub violations: u64,
}

impl Check {
    fn new(promise: &'static str, cases: usize, violations: usize) -> Self {
        Self {
            promise,
            cases: num::count(cases),
            violations: num::count(violations),
        }
    }
}

/// How often each request was started at any endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Starts {
    counts: BTreeMap<RequestId, u32>,
}

impl Starts {
    /// Sums up the starts at all endpoints.
    #[must_use]
    pub fn new(engines: &[Arc<ModelEngine>], services: &[Arc<ChargeService>]) -> Self {
        let mut all = Self::default();
        let engines = engines.iter().map(|e| e.stats().starts);
        let services = services.iter().map(|s| s.starts());
        for (request, starts) in engines.chain(services).flatten() {
            *all.counts.entry(request).or_default() += starts;
        }
        all
    }
}

/// Checks what callers got against what the endpoints did.
///
#[must_use]
pub fn check(samples: &[Sample], starts: &Starts, charges: &[Charge]) -> Vec<Check> {
    let wrong = samples.iter().filter(|s| s.outcome == Outcome::Wrong);
    let unnamed = samples.iter().filter(|s| s.outcome == Outcome::Broken);
    let twice = starts.counts.values().filter(|n| **n > 1);
    let charges = executions(charges);
    let double = charges.values().filter(|n| **n > 1);
    let not_run: Vec<RequestId> = samples.iter().filter_map(said_not_run).collect();
    let but_ran = not_run.iter().filter(|r| starts.counts.contains_key(r));
    vec![
        Check::new(
            "each answer is whole and its caller's own",
            samples.len(),
            wrong.count(),
        ),
        Check::new(
            "each request ends with an answer or a named error",
            samples.len(),
            unnamed.count(),
        ),
        Check::new(
            "no request starts twice",
            starts.counts.len(),
            twice.count(),
        ),
        Check::new("no charge is executed twice", charges.len(), double.count()),
        Check::new(
            "no request said not to have run did run",
            not_run.len(),
            but_ran.count(),
        ),
    ]
}

/// Sums up the executions of each charge at all services.
fn executions(charges: &[Charge]) -> BTreeMap<&str, u32> {
    let mut all = BTreeMap::new();
    for charge in charges {
        *all.entry(&*charge.key).or_default() += charge.executions;
    }
    all
}

fn said_not_run(sample: &Sample) -> Option<RequestId> {
    match &sample.outcome {
        Outcome::Refused { ran, .. } if ran == "no" => sample.request.as_deref()?.parse().ok(),
        _ => None,
    }
}
