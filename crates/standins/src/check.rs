//! Promises that are checked after every run, from the callers' and the endpoints' side.

use std::collections::HashMap;

use eelgrassramp::RequestId;
use eelgrassramp::num;
use serde::Serialize;

use crate::load::Outcome;
use crate::load::Sample;
use crate::service::Charge;

/// One promise with the number of cases that were looked at and that broke it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
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

/// Checks what callers got against what the endpoints did.
///
/// `starts` counts how often each request was started at any endpoint.
#[must_use]
pub fn check(
    samples: &[Sample],
    starts: &HashMap<RequestId, u32>,
    charges: &[Charge],
) -> Vec<Check> {
    let wrong = samples.iter().filter(|s| s.outcome == Outcome::Wrong);
    let unnamed = samples.iter().filter(|s| s.outcome == Outcome::Broken);
    let twice = starts.values().filter(|n| **n > 1);
    let double = charges.iter().filter(|c| c.executions > 1);
    let not_run: Vec<RequestId> = samples.iter().filter_map(said_not_run).collect();
    let but_ran = not_run.iter().filter(|r| starts.contains_key(r));
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
        Check::new("no request starts twice", starts.len(), twice.count()),
        Check::new("no charge is executed twice", charges.len(), double.count()),
        Check::new(
            "no request said not to have run did run",
            not_run.len(),
            but_ran.count(),
        ),
    ]
}

fn said_not_run(sample: &Sample) -> Option<RequestId> {
    match &sample.outcome {
        Outcome::Refused { ran, .. } if ran == "no" => sample.request.as_deref()?.parse().ok(),
        _ => None,
    }
}
