//! One entry's share of the retry budget of all entries.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrassramp::Monotonic;

/// Limits on the retries that all entries together may send to one pool.
///
/// These are retries by entries on another endpoint; retries by callers are not limited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Time window over which requests and retries are counted.
    pub window: Duration,
    /// Retries allowed regardless of the number of requests, summed over all entries.
    pub slack: f64,
}

/// Fraction of the limits that an entry may keep unused for a burst of retries.
const BURST_RATIO: f64 = 0.25;

/// Fraction of the limits at which the budget refills.
///
/// Retries in any window are at most the burst and what is refilled in that window. Both fractions
/// together leave a safety margin, because whoever measures the retries may count some requests
/// differently from the entries.
const REFILL_RATIO: f64 = 0.65;

/// Retries of one pool since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryTotals {
    /// Retries that the budget allowed.
    pub allowed: u64,
    /// Retries that the budget did not allow.
    pub denied: u64,
}

/// Retry budget of one entry for one pool: a token bucket that its own requests refill, and an equal
/// share of the slack.
///
/// The sum over all entries stays within the limits without any communication, also when callers
/// move from one entry to another. A restarted process must begin with an empty bucket, because its
/// predecessor may have emptied a full one just before. See `docs/design/platform.md`.
#[derive(Debug)]
pub struct RetryBudget {
    /// Retries that may be sent; an excess over the capacity is dropped by the next update.
    tokens: f64,
    /// Retries that were allowed and are not sent yet, because they wait for an endpoint. They use up
    /// capacity, so that those of a long wait do not add to the burst.
    reserved: u32,
    updated_at: Option<Monotonic>,
    /// Requests of the last window.
    requests: VecDeque<Monotonic>,
    totals: RetryTotals,
}

impl RetryBudget {
    /// Creates an empty budget, which requests and time refill.
    #[must_use]
    pub const fn empty() -> Self {
        Self::with_tokens(0.0)
    }

    /// Creates a full budget, for a process without a predecessor.
    #[must_use]
    pub const fn full() -> Self {
        Self::with_tokens(f64::INFINITY)
    }

    const fn with_tokens(tokens: f64) -> Self {
        Self {
            tokens,
            reserved: 0,
            updated_at: None,
            requests: VecDeque::new(),
            totals: RetryTotals {
                allowed: 0,
                denied: 0,
            },
        }
    }

    /// Counts a first attempt; `entries` is the number of entries that share the slack, if known.
    pub fn count_request(&mut self, now: Monotonic, limits: &RetryLimits, entries: Option<u32>) {
        self.update(now, limits, entries);
        self.requests.push_back(now);
        self.tokens += REFILL_RATIO * limits.ratio;
    }

    /// Reserves one retry if the budget allows it, and returns whether it did.
    pub fn try_reserve(
        &mut self,
        now: Monotonic,
        limits: &RetryLimits,
        entries: Option<u32>,
    ) -> bool {
        self.update(now, limits, entries);
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
            self.reserved += 1;
            self.totals.allowed += 1;
        } else {
            self.totals.denied += 1;
        }
        is_allowed
    }

    /// Spends a reserved retry, which is now sent.
    pub fn spend_reserved(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Returns a reserved retry that is not sent.
    pub fn cancel_reserved(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
        self.tokens += 1.0;
    }

    /// Returns the number of retries since the process started.
    #[must_use]
    pub const fn totals(&self) -> RetryTotals {
        self.totals
    }

    /// Returns the number of retries left at the last update.
    #[must_use]
    pub const fn remaining(&self) -> f64 {
        self.tokens
    }

    /// Refills the budget for the time since the last update, up to its capacity.
    ///
    /// An entry that does not know how many others there are uses none of the slack.
    fn update(&mut self, now: Monotonic, limits: &RetryLimits, entries: Option<u32>) {
        while self
            .requests
            .front()
            .is_some_and(|at| now.since(*at) > limits.window)
        {
            self.requests.pop_front();
        }
        let own_slack = entries.map_or(0.0, |n| limits.slack / f64::from(n.max(1)));
        let elapsed = self.updated_at.map_or(Duration::ZERO, |at| now.since(at));
        self.updated_at = Some(now);
        let windows = elapsed.as_secs_f64() / limits.window.as_secs_f64();
        let refilled = self.tokens + REFILL_RATIO * own_slack * windows;
        let capacity = BURST_RATIO * (limits.ratio * self.requests.len() as f64 + own_slack);
        self.tokens = refilled.min(capacity - f64::from(self.reserved));
    }
}
