//! What one connection to another entry has carried, so that only changes have to be told.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::Monotonic;

use crate::endpoint::EndpointKey;
use crate::endpoint::IncarnationKey;
use crate::entry::PeerUsage;
use crate::quota::AccountUse;

/// Time after which all work in flight is told again.
const WHOLE_PERIOD: Duration = Duration::from_secs(1);

/// Time after which all accounts are told again; what is told of one replaces what was told before.
const ACCOUNTS_PERIOD: Duration = Duration::from_secs(10);

/// Change of an account's demand that is worth telling, as a part of what was told.
const DEMAND_CHANGE: f64 = 0.2;

/// What was told last on one connection.
#[derive(Debug, Default)]
pub(super) struct Told {
    whole_at: Option<Monotonic>,
    accounts_at: Option<Monotonic>,
    in_flight: HashMap<EndpointKey, u32>,
    accounts: HashMap<AccountName, AccountUse>,
    leaving: HashSet<IncarnationKey>,
}

impl Told {
    /// Returns what the other side does not know of `usage`, and notes it as told.
    pub(super) fn changes(&mut self, now: Monotonic, usage: PeerUsage) -> PeerUsage {
        if is_over(&mut self.accounts_at, now, ACCOUNTS_PERIOD) {
            self.accounts.clear();
        }
        let is_whole = is_over(&mut self.whole_at, now, WHOLE_PERIOD);
        if is_whole {
            self.leaving.clear();
        }
        let in_flight = self.changed_in_flight(&usage.in_flight);
        PeerUsage {
            is_whole,
            in_flight: if is_whole { usage.in_flight } else { in_flight },
            accounts: self.changed_accounts(usage.accounts),
            rollouts: usage.rollouts,
            leaving: self.new_leaving(usage.leaving),
        }
    }

    fn changed_in_flight(&mut self, now: &[(EndpointKey, u32)]) -> Vec<(EndpointKey, u32)> {
        let now: HashMap<_, _> = now.iter().copied().collect();
        let told = std::mem::replace(&mut self.in_flight, now);
        let ended = told.keys().filter(|key| !self.in_flight.contains_key(key));
        let ended = ended.map(|key| (*key, 0));
        let other = self.in_flight.iter().map(|(key, n)| (*key, *n));
        let other = other.filter(|(key, n)| told.get(key) != Some(n));
        ended.chain(other).collect()
    }

    fn new_leaving(&mut self, mut leaving: Vec<IncarnationKey>) -> Vec<IncarnationKey> {
        leaving.retain(|key| self.leaving.insert(*key));
        leaving
    }

    fn changed_accounts(&mut self, mut accounts: Vec<AccountUse>) -> Vec<AccountUse> {
        accounts.retain(|now| {
            let told = self.accounts.get(&now.account);
            let is_known = told.is_some_and(|told| is_alike(told, now));
            if !is_known {
                self.accounts.insert(now.account.clone(), now.clone());
            }
            !is_known
        });
        accounts
    }
}

/// Tells whether a period that began at `since` is over or never began, and begins the next one.
fn is_over(since: &mut Option<Monotonic>, now: Monotonic, period: Duration) -> bool {
    let is_over = since.is_none_or(|at| now.since(at) >= period);
    if is_over {
        *since = Some(now);
    }
    is_over
}

fn is_alike(told: &AccountUse, now: &AccountUse) -> bool {
    let change = (now.asked - told.asked).abs();
    (told.admitted - now.admitted).abs() < 1.0 && change <= DEMAND_CHANGE * told.asked.max(1.0)
}
