//! Order in which the refused callers of one account may return.
//!
//! The bucket of an account that asks for several times its quota is never far from admitting the
//! next request, so the time until then tells a refused caller nothing: all others are told the same,
//! return at once and are refused again. Callers that can still be on time are therefore told times one
//! after the other, as far apart as a part of the rate allows, and at its time a returning caller goes
//! before new ones. The others are told when all that was refused before them can have been admitted.
//! See `docs/design/fair-shares.md`, "Inside an account".

use std::collections::VecDeque;
use std::time::Duration;

use eelgrassramp::Monotonic;

use super::RequestCost;
use crate::decaying_sum::DecayingSum;

/// Part of the rate that is promised to returning callers; the rest stays with new ones, which need
/// no second attempt.
const RETURN_RATE_RATIO: f64 = 0.5;

/// Time constant for which callers without a promise are expected to return; later they give up.
const RETURN_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Time for which units are kept free before the time that their caller was told, so that the bucket
/// holds them then.
const LEAD_TIME: Duration = Duration::from_millis(250);

/// Time for which units are kept free after the time that their caller was told.
const HOLD_TIME: Duration = Duration::from_millis(500);

/// Longest time that a caller is told.
const MAX_TIME: Duration = Duration::from_secs(30);

/// Units that a refused caller may use from a time on.
#[derive(Debug, Clone, Copy)]
struct Promise {
    due_at: Monotonic,
    units: f64,
    /// Priority of the caller; 0 is the highest.
    steps: u32,
}

/// Promises that an entry made to the refused callers of one account.
#[derive(Debug)]
pub(super) struct ReturnSchedule {
    promises: VecDeque<Promise>,
    last_due_at: Monotonic,
    /// Units that were refused of late without a promise.
    unpromised: DecayingSum,
}

impl ReturnSchedule {
    pub(super) const fn new() -> Self {
        Self {
            promises: VecDeque::new(),
            last_due_at: Monotonic::ZERO,
            unpromised: DecayingSum::new(RETURN_TIME_CONSTANT),
        }
    }

    /// Returns the time after which a refused caller may return, at the earliest after `missing`.
    ///
    /// Its units are kept free at that time if it is within the slack of the request. A promise after
    /// that would take units from callers that can still be served on time.
    pub(super) fn promise(
        &mut self,
        now: Monotonic,
        missing: Duration,
        cost: RequestCost,
        per_second: f64,
    ) -> Duration {
        let interval = time_for(cost.units, RETURN_RATE_RATIO * per_second);
        let due_at = self.last_due_at.max(now + missing) + interval;
        let delay = due_at.since(now);
        if delay <= cost.slack {
            self.last_due_at = due_at;
            self.promises.push_back(Promise {
                due_at,
                units: cost.units,
                steps: cost.priority_steps(),
            });
            return delay;
        }
        self.unpromised.add(now, cost.units);
        let backlog = time_for(self.unpromised.value_at(now), per_second);
        (missing + backlog).max(delay).min(MAX_TIME)
    }

    /// Returns the units that are kept free now for returning callers.
    ///
    /// New callers of higher priority may not use them either: no more was promised than the higher
    /// priorities left over.
    pub(super) fn held_units(&mut self, now: Monotonic) -> f64 {
        while self
            .promises
            .front()
            .is_some_and(|first| first.due_at + HOLD_TIME < now)
        {
            self.promises.pop_front();
        }
        self.held(now).map(|promise| promise.units).sum()
    }

    /// Takes the first promise to a caller of the given priority whose units are kept free now;
    /// returns whether there was one.
    pub(super) fn redeem(&mut self, now: Monotonic, steps: u32) -> bool {
        let position = self.held(now).position(|promise| promise.steps == steps);
        position.is_some_and(|position| self.promises.remove(position).is_some())
    }

    fn held(&self, now: Monotonic) -> impl Iterator<Item = &Promise> {
        let held_until = now + LEAD_TIME;
        self.promises
            .iter()
            .take_while(move |promise| promise.due_at <= held_until)
    }
}

/// Returns the time in which `units` are admitted, at most [`MAX_TIME`].
fn time_for(units: f64, per_second: f64) -> Duration {
    let seconds = units / per_second.max(1.0);
    Duration::from_secs_f64(seconds.min(MAX_TIME.as_secs_f64()))
}
