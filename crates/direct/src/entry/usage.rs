//! What an entry tells the others, and what it takes in of them.

use eelgrassramp::EntryName;

use super::Entry;
use crate::dispatcher::RolloutCounts;
use crate::endpoint::EndpointKey;
use crate::endpoint::IncarnationKey;
use crate::quota::AccountUse;

/// What one entry tells the others.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Usage {
    /// Whether this is all; otherwise only what has changed.
    pub is_whole: bool,
    /// Requests in flight by endpoint.
    pub in_flight: Vec<(EndpointKey, u32)>,
    /// Units by account.
    pub accounts: Vec<AccountUse>,
    /// Answers in each move.
    pub rollouts: Vec<RolloutCounts>,
    /// Endpoints that told the entry of late that they leave.
    pub leaving: Vec<IncarnationKey>,
}

impl Entry {
    /// Returns what the other entries have to know.
    #[must_use]
    pub fn usage(&self) -> Usage {
        let now = self.cx.timers.now();
        let state = self.lock();
        Usage {
            is_whole: true,
            in_flight: state.dispatcher.in_flight(),
            accounts: state.quotas.usage(now),
            rollouts: state.dispatcher.rollout_counts(),
            leaving: state.dispatcher.recently_draining(now),
        }
    }

    /// Takes in what another entry told of itself.
    pub fn hear(&self, entry: &EntryName, incarnation: u64, usage: Usage) {
        self.hear_leaving(entry, &usage.leaving);
        let now = self.cx.timers.now();
        let mut state = self.lock();
        state.quotas.hear(now, entry, incarnation, &usage.accounts);
        state.dispatcher.merge_rollout_counts(entry, usage.rollouts);
        state
            .others
            .hear(now, entry, usage.is_whole, &usage.in_flight);
        state.count_others(now);
    }

    /// Returns the number of entries that exist, this one included.
    #[must_use]
    pub fn entries(&self) -> u32 {
        self.lock().quotas.entries()
    }

    /// Notes that another entry exists.
    pub fn expect_peer(&self, entry: &EntryName) {
        let now = self.cx.timers.now();
        self.lock().quotas.expect(now, entry);
    }

    /// Takes in the names of all other entries that may run.
    pub fn set_colleagues<'a>(&self, names: impl Iterator<Item = &'a EntryName>) {
        let now = self.cx.timers.now();
        self.lock().dispatcher.set_peer_entries(now, names);
    }

    /// Notes that another entry cannot be heard; its work no longer counts as in flight.
    pub fn lose_peer(&self, entry: &EntryName) {
        let now = self.cx.timers.now();
        let mut state = self.lock();
        if state.others.lose(entry) {
            state.count_others(now);
        }
    }

    /// Notes that another entry's process does not run.
    pub fn set_peer_down(&self, entry: &EntryName) {
        self.lose_peer(entry);
        let now = self.cx.timers.now();
        self.lock().quotas.set_down(now, entry);
    }

    /// Forgets another entry that has ended.
    pub fn forget_peer(&self, entry: &EntryName) {
        self.lose_peer(entry);
        self.lock().quotas.forget(entry);
    }
}
