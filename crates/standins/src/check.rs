//! Guarantees that are checked after every run against what callers and endpoints observed.

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

/// The result of checking one guarantee.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Check {
    /// The guarantee.
    pub promise: &'static str,
    /// Number of checked cases.
    pub cases: u64,
    /// Number of cases that violate the guarantee.
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

/// Number of starts of each request at all endpoints.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Starts {
    counts: BTreeMap<RequestId, u32>,
}

impl Starts {
    /// Collects the starts at all endpoints.
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

/// Checks the outcomes seen by callers against the records of the endpoints.
///
#[must_use]
pub fn check(samples: &[Sample], starts: &Starts, charges: &[Charge]) -> Vec<Check> {
    let wrong = samples.iter().filter(|s| s.outcome == Outcome::Wrong);
    let without_error_kind = samples.iter().filter(|s| s.outcome == Outcome::Broken);
    let twice = starts.counts.values().filter(|n| **n > 1);
    let charges = executions(charges);
    let double = charges.values().filter(|n| **n > 1);
    let not_run: Vec<RequestId> = samples.iter().filter_map(reported_not_run).collect();
    let reported_but_started = not_run.iter().filter(|r| starts.counts.contains_key(r));
    vec![
        Check::new(
            "each answer is whole and its caller's own",
            samples.len(),
            wrong.count(),
        ),
        Check::new(
            "each request ends with an answer or a named error",
            samples.len(),
            without_error_kind.count(),
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
            reported_but_started.count(),
        ),
    ]
}

/// Returns the total executions of each charge at all services.
fn executions(charges: &[Charge]) -> BTreeMap<&str, u32> {
    let mut all = BTreeMap::new();
    for charge in charges {
        *all.entry(&*charge.key).or_default() += charge.executions;
    }
    all
}

fn reported_not_run(sample: &Sample) -> Option<RequestId> {
    match &sample.outcome {
        Outcome::Refused { ran, .. } if ran == "no" => sample.request.as_deref()?.parse().ok(),
        _ => None,
    }
}
