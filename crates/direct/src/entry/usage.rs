//! What an entry tells the others, and what it takes in of them.

use eelgrassramp::EntryName;

use super::Entry;
use crate::dispatcher::RolloutUse;
use crate::endpoint::EndpointKey;
use crate::endpoint::IncarnationKey;
use crate::quota::AccountUse;

/// What one entry tells the others.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerUsage {
    /// Whether this is all; otherwise only what has changed.
    pub is_full: bool,
    /// Requests in flight by endpoint.
    pub in_flight: Vec<(EndpointKey, u32)>,
    /// Units by account.
    pub accounts: Vec<AccountUse>,
    /// Answers in each move.
    pub rollouts: Vec<RolloutUse>,
    /// Endpoints that told the entry of late that they leave.
    pub leaving: Vec<IncarnationKey>,
}

impl Entry {
    /// Returns what the other entries have to know.
    #[must_use]
    pub fn usage(&self) -> PeerUsage {
        let now = self.cx.timers.now();
        let state = self.lock();
        PeerUsage {
            is_full: true,
            in_flight: state.dispatcher.in_flight(),
            accounts: state.quotas.usage(now),
            rollouts: state.dispatcher.rollouts(),
            leaving: state.dispatcher.leaving(now),
        }
    }

    /// Takes in what another entry told of itself.
    pub fn apply_peer_usage(&self, entry: &EntryName, incarnation: u64, usage: PeerUsage) {
        self.apply_peer_leaving(entry, &usage.leaving);
        let now = self.cx.timers.now();
        let mut state = self.lock();
        state.quotas.hear(now, entry, incarnation, &usage.accounts);
        state.dispatcher.hear_rollouts(entry, usage.rollouts);
        state
            .remote_load
            .apply(now, entry, usage.is_full, &usage.in_flight);
        state.update_remote_load(now);
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
    pub fn set_peer_names<'a>(&self, names: impl Iterator<Item = &'a EntryName>) {
        let now = self.cx.timers.now();
        self.lock().dispatcher.set_colleagues(now, names);
    }

    /// Notes that another entry cannot be heard; its work no longer counts as in flight.
    pub fn mark_peer_unreachable(&self, entry: &EntryName) {
        let now = self.cx.timers.now();
        let mut state = self.lock();
        if state.remote_load.remove_entry(entry) {
            state.update_remote_load(now);
        }
    }

    /// Notes that another entry's process does not run.
    pub fn mark_peer_down(&self, entry: &EntryName) {
        self.mark_peer_unreachable(entry);
        let now = self.cx.timers.now();
        self.lock().quotas.set_down(now, entry);
    }

    /// Forgets another entry that has ended.
    pub fn remove_peer(&self, entry: &EntryName) {
        self.mark_peer_unreachable(entry);
        self.lock().quotas.forget(entry);
    }
}
