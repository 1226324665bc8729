//! State last sent on one connection to another entry, from which changes are computed.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::Monotonic;

use crate::endpoint::EndpointKey;
use crate::endpoint::IncarnationKey;
use crate::entry::PeerUsage;
use crate::quota::AccountUsage;

/// Interval at which all in-flight counts are sent again.
const FULL_STATE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which all accounts are sent again. The receiver replaces each account it receives, so
/// a repeated account is harmless.
const ACCOUNTS_RESEND_INTERVAL: Duration = Duration::from_secs(10);

/// Relative change of an account's demand above which the account is sent again.
const DEMAND_CHANGE_RATIO: f64 = 0.2;

/// State last sent on one connection.
#[derive(Debug, Default)]
pub(super) struct SentState {
    full_sent_at: Option<Monotonic>,
    accounts_sent_at: Option<Monotonic>,
    in_flight: HashMap<EndpointKey, u32>,
    accounts: HashMap<AccountName, AccountUsage>,
    leaving: HashSet<IncarnationKey>,
}

impl SentState {
    /// Returns the changes of `usage` since the last call and records them as sent.
    pub(super) fn take_changes(&mut self, now: Monotonic, usage: PeerUsage) -> PeerUsage {
        if has_elapsed(&mut self.accounts_sent_at, now, ACCOUNTS_RESEND_INTERVAL) {
            self.accounts.clear();
        }
        let is_full = has_elapsed(&mut self.full_sent_at, now, FULL_STATE_INTERVAL);
        if is_full {
            self.leaving.clear();
        }
        let in_flight = self.changed_in_flight(&usage.in_flight);
        PeerUsage {
            is_full,
            in_flight: if is_full { usage.in_flight } else { in_flight },
            accounts: self.changed_accounts(usage.accounts),
            rollouts: usage.rollouts,
            leaving: self.new_leaving(usage.leaving),
        }
    }

    fn changed_in_flight(&mut self, current: &[(EndpointKey, u32)]) -> Vec<(EndpointKey, u32)> {
        let current: HashMap<_, _> = current.iter().copied().collect();
        let previous = std::mem::replace(&mut self.in_flight, current);
        let ended = previous
            .keys()
            .filter(|key| !self.in_flight.contains_key(key));
        let ended = ended.map(|key| (*key, 0));
        let other = self.in_flight.iter().map(|(key, n)| (*key, *n));
        let other = other.filter(|(key, n)| previous.get(key) != Some(n));
        ended.chain(other).collect()
    }

    fn new_leaving(&mut self, mut leaving: Vec<IncarnationKey>) -> Vec<IncarnationKey> {
        leaving.retain(|key| self.leaving.insert(*key));
        leaving
    }

    fn changed_accounts(&mut self, mut accounts: Vec<AccountUsage>) -> Vec<AccountUsage> {
        accounts.retain(|current| {
            let previous = self.accounts.get(&current.account);
            let is_sent = previous.is_some_and(|previous| is_unchanged(previous, current));
            if !is_sent {
                self.accounts
                    .insert(current.account.clone(), current.clone());
            }
            !is_sent
        });
        accounts
    }
}

/// Returns whether a period that began at `since` has elapsed or never began; if so, starts the next
/// one.
fn has_elapsed(since: &mut Option<Monotonic>, now: Monotonic, period: Duration) -> bool {
    let has_elapsed = since.is_none_or(|at| now.since(at) >= period);
    if has_elapsed {
        *since = Some(now);
    }
    has_elapsed
}

fn is_unchanged(previous: &AccountUsage, current: &AccountUsage) -> bool {
    let change = (current.demand_per_second - previous.demand_per_second).abs();
    (previous.admitted - current.admitted).abs() < 1.0
        && change <= DEMAND_CHANGE_RATIO * previous.demand_per_second.max(1.0)
}
