//! The specification of a traffic mix, as read from experiment files.

use std::collections::BTreeMap;

use eelgrassramp::AccountName;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;
use eelgrassramp::Tier;
use serde::Deserialize;

use crate::engine::BYTES_PER_TOKEN;

/// A traffic mix: request classes and the client accounts that send them.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// Relative rates of the client accounts.
    pub accounts: BTreeMap<AccountName, f64>,
    /// Periods with a different rate.
    #[serde(default)]
    pub bursts: Option<Bursts>,
}

/// Periodic bursts.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bursts {
    /// Time from the start of one burst to the start of the next, in seconds.
    pub every_s: f64,
    /// Length of a burst in seconds.
    pub length_s: f64,
    /// Factor on the rate during a burst.
    pub factor: f64,
}

/// The kind of endpoint that serves a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClassKind {
    /// A model engine with streamed responses.
    Model,
    /// A plain service that executes a charge.
    Charge,
}

/// One class of requests; it also becomes a row of the route table.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name of the route and of the model.
    pub name: RouteName,
    /// The kind of endpoint.
    pub kind: ClassKind,
    /// Its tier.
    pub tier: Tier,
    /// The pool that serves it.
    pub pool: PoolName,
    /// Its share of all requests, relative to the other classes.
    pub share: f64,
    /// Time allowed until the response is complete, in milliseconds.
    pub timeout_ms: u64,
    /// Length in bytes of the prompt prefix that the requests of one family share.
    #[serde(default)]
    pub prefix_bytes: usize,
    /// Number of prefix families.
    #[serde(default = "one")]
    pub prefix_families: u32,
    /// Mean length in bytes of the rest of the prompt, which is unique to the request.
    #[serde(default)]
    pub own_bytes: f64,
    /// Mean number of output tokens of an ordinary response.
    #[serde(default)]
    pub output_tokens: f64,
    /// Probability that a response is much longer.
    #[serde(default)]
    pub long_chance: f64,
    /// Length of such a response relative to the mean.
    #[serde(default = "hundred")]
    pub long_factor: f64,
}

const fn one() -> u32 {
    1
}

const fn hundred() -> f64 {
    100.0
}

impl Class {
    /// Returns the request path.
    #[must_use]
    pub fn path(&self) -> String {
        match self.kind {
            ClassKind::Model => "/v1/chat/completions".to_owned(),
            ClassKind::Charge => format!("/{}", self.name),
        }
    }

    /// Returns the mean number of output tokens, including long responses.
    #[must_use]
    pub fn mean_output_tokens(&self) -> f64 {
        let long = self.long_chance * (self.long_factor - 1.0);
        self.output_tokens * (1.0 + long)
    }

    /// Returns the mean number of prompt tokens after the shared prefix, which are never cached.
    #[must_use]
    pub fn mean_unique_tokens(&self) -> f64 {
        self.own_bytes / BYTES_PER_TOKEN as f64
    }
}
