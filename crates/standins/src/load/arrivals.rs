//! Generates the sequence of requests for a traffic mix, a rate and a seed.

use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::RouteName;
use eelgrassramp::Tier;
use eelgrassramp::num;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;

use super::traffic::Class;
use super::traffic::ClassKind;
use super::traffic::Traffic;
use crate::engine::BYTES_PER_TOKEN;

const MIN_UNIQUE_BYTES: usize = 16;
const UUID_TIME_HIGH_DIGITS: usize = 8;

/// One generated request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Position in the sequence.
    pub number: u64,
    /// Arrival time since the start of the load.
    pub at: Duration,
    /// The traffic class.
    pub class: RouteName,
    /// The kind of endpoint that serves it.
    pub kind: ClassKind,
    /// Its tier.
    pub tier: Tier,
    /// The client account that sends it.
    pub account: AccountName,
    /// The request path.
    pub path: String,
    /// Time allowed until the response is complete.
    pub timeout: Duration,
    /// The idempotency key of a charge.
    pub key: Option<String>,
    /// The prompt.
    pub prompt: String,
    /// Tokens of the prompt's shared prefix.
    pub prefix_tokens: u32,
    /// The family of requests with the same prefix.
    pub prefix_family: u32,
    /// Tokens of the complete response.
    pub output_tokens: u32,
}

impl Arrival {
    /// Returns the request body.
    #[must_use]
    pub fn body(&self) -> String {
        match self.kind {
            ClassKind::Charge => json!({"charge": self.key}).to_string(),
            ClassKind::Model => json!({
                "model": self.class,
                "messages": [{"role": "user", "content": self.prompt}],
                "stream": true,
                "standin_output_tokens": self.output_tokens,
            })
            .to_string(),
        }
    }

    /// Returns the prompt tokens after the shared prefix, which are never cached.
    #[must_use]
    pub fn unique_tokens(&self) -> u32 {
        let tokens = self.prompt.len().div_ceil(BYTES_PER_TOKEN);
        u32::try_from(tokens)
            .unwrap_or(u32::MAX)
            .saturating_sub(self.prefix_tokens)
    }
}

/// An endless Poisson process of arrivals.
#[derive(Debug)]
pub struct Arrivals {
    traffic: Traffic,
    per_second: f64,
    rng: StdRng,
    elapsed_s: f64,
    number: u64,
    unix_start_ms: u64,
}

impl Arrivals {
    /// Creates the sequence; `per_second` is the mean rate outside bursts.
    ///
    /// `unix_start_ms` is the Unix time of the start on the callers' clocks; it determines the
    /// timestamps in the idempotency keys.
    #[must_use]
    pub fn new(traffic: Traffic, per_second: f64, seed: u64, unix_start_ms: u64) -> Self {
        Self {
            traffic,
            per_second,
            unix_start_ms,
            rng: StdRng::seed_from_u64(seed),
            elapsed_s: 0.0,
            number: 0,
        }
    }

    /// Returns an idempotency key: a UUID of version 7, which contains its creation time.
    fn key(&self) -> String {
        let at = Duration::from_secs_f64(self.elapsed_s);
        let ms = self.unix_start_ms + num::millis(at);
        let time = format!("{ms:012x}");
        let (high, low) = time.split_at(UUID_TIME_HIGH_DIGITS);
        format!("{high}-{low}-7000-8000-{:012x}", self.number)
    }

    fn advance_clock(&mut self) {
        // Thinning: candidates are drawn at the peak rate and accepted in proportion to the current
        // rate.
        let factor = self.traffic.bursts.map_or(1.0, |b| b.factor.max(1.0));
        loop {
            self.elapsed_s += exponential(&mut self.rng, 1.0 / (self.per_second * factor));
            if self.rng.random_bool(self.rate_factor() / factor) {
                return;
            }
        }
    }

    fn rate_factor(&self) -> f64 {
        match self.traffic.bursts {
            Some(b) if self.elapsed_s % b.every_s < b.length_s => b.factor,
            _ => 1.0,
        }
    }

    fn generate(&mut self) -> Arrival {
        let weights = self.traffic.classes.iter().map(|c| c.share);
        let class = &self.traffic.classes[weighted_index(&mut self.rng, weights)];
        let weights = self.traffic.accounts.values().copied();
        let account = weighted_index(&mut self.rng, weights);
        let account = self.traffic.accounts.keys().nth(account);
        let account = account.expect("the index was drawn from the same list");
        let family = self.rng.random_range(0..class.prefix_families.max(1));
        let prompt = prompt(&mut self.rng, class, family, self.number);
        let is_charge = class.kind == ClassKind::Charge;
        Arrival {
            number: self.number,
            at: Duration::from_secs_f64(self.elapsed_s),
            class: class.name.clone(),
            kind: class.kind,
            tier: class.tier,
            account: account.clone(),
            path: class.path(),
            timeout: Duration::from_millis(class.timeout_ms),
            key: is_charge.then(|| self.key()),
            prompt,
            prefix_tokens: whole_tokens(class.prefix_bytes),
            prefix_family: family,
            output_tokens: output_tokens(&mut self.rng, class),
        }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        self.advance_clock();
        let arrival = self.generate();
        self.number += 1;
        Some(arrival)
    }
}

fn prompt(rng: &mut StdRng, class: &Class, family: u32, number: u64) -> String {
    let beginning = format!("{} family {family}; ", class.name);
    let mut prompt: String = beginning.chars().cycle().take(class.prefix_bytes).collect();
    let unique_len = length(exponential(rng, class.own_bytes)).max(MIN_UNIQUE_BYTES);
    let end = format!("request {number}; ");
    prompt.extend(end.chars().cycle().take(unique_len));
    prompt
}

fn output_tokens(rng: &mut StdRng, class: &Class) -> u32 {
    let tokens = if rng.random_bool(class.long_chance) {
        class.output_tokens * class.long_factor
    } else {
        exponential(rng, class.output_tokens)
    };
    u32::try_from(length(tokens)).unwrap_or(u32::MAX).max(1)
}

fn whole_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
}

fn length(value: f64) -> usize {
    num::length(num::round_to_u64(value))
}

fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    let uniform: f64 = rng.random();
    -mean * (1.0 - uniform).ln()
}

fn weighted_index(rng: &mut StdRng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = weights.clone().sum();
    let mut left = rng.random::<f64>() * total;
    let mut last = 0;
    for (i, weight) in weights.enumerate() {
        last = i;
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    last
}
