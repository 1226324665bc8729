//! The written form of a mix of traffic.

use std::collections::BTreeMap;

use eelgrassramp::AccountName;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;
use eelgrassramp::Tier;
use serde::Deserialize;

use crate::engine::BYTES_PER_TOKEN;

/// A mix of classes with the client accounts that send them.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// Relative rates of the client accounts.
    pub accounts: BTreeMap<AccountName, f64>,
    /// Times at which the rate is higher.
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

/// What answers a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClassKind {
    /// A model engine that streams.
    Model,
    /// A plain service that executes a charge.
    Charge,
}

/// One kind of request; it is also a row of the route table.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The route's name, which is also the model's.
    pub name: RouteName,
    /// What answers it.
    pub kind: ClassKind,
    /// How urgent it is.
    pub tier: Tier,
    /// The pool that serves it.
    pub pool: PoolName,
    /// Its share of all requests, relative to the other classes.
    pub share: f64,
    /// Time for the whole answer in milliseconds.
    pub timeout_ms: u64,
    /// Bytes of the prompt's beginning that requests of one family share.
    #[serde(default)]
    pub prefix_bytes: usize,
    /// Number of families.
    #[serde(default = "one")]
    pub prefix_families: u32,
    /// Mean bytes of the prompt's end, which is a request's own.
    #[serde(default)]
    pub own_bytes: f64,
    /// Mean tokens of the answer.
    #[serde(default)]
    pub output_tokens: f64,
    /// Probability that an answer is much longer.
    #[serde(default)]
    pub long_chance: f64,
    /// Factor by which such an answer is longer than the mean.
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
    /// Returns the path that callers use.
    #[must_use]
    pub fn path(&self) -> String {
        match self.kind {
            ClassKind::Model => "/v1/chat/completions".to_owned(),
            ClassKind::Charge => format!("/{}", self.name),
        }
    }

    /// Returns the mean number of tokens generated, long answers included.
    #[must_use]
    pub fn mean_output_tokens(&self) -> f64 {
        let long = self.long_chance * (self.long_factor - 1.0);
        self.output_tokens * (1.0 + long)
    }

    /// Returns the mean number of prompt tokens that no cache can hold.
    #[must_use]
    pub fn mean_own_tokens(&self) -> f64 {
        self.own_bytes / BYTES_PER_TOKEN as f64
    }
}
