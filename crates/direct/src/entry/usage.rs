//! State that an entry shares with its peers, and updates received from them.

use eelgrassramp::EntryName;

use super::Entry;
use crate::dispatcher::RolloutCounts;
use crate::endpoint::EndpointKey;
use crate::endpoint::IncarnationKey;
use crate::quota::AccountUsage;

/// State of one entry that is shared with its peers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerUsage {
    /// Whether this is the full state; otherwise it holds changes only.
    pub is_full: bool,
    /// In-flight requests by endpoint.
    pub in_flight: Vec<(EndpointKey, u32)>,
    /// Quota usage by account.
    pub accounts: Vec<AccountUsage>,
    /// Responses counted for each rollout.
    pub rollouts: Vec<RolloutCounts>,
    /// Endpoints that recently announced to this entry that they are leaving.
    pub leaving: Vec<IncarnationKey>,
}

impl Entry {
    /// Returns the full state to share with peers.
    #[must_use]
    pub fn usage(&self) -> PeerUsage {
        let now = self.cx.timers.now();
        let state = self.lock();
        PeerUsage {
            is_full: true,
            in_flight: state.dispatcher.in_flight(),
            accounts: state.quotas.usage(now),
            rollouts: state.dispatcher.rollout_counts(),
            leaving: state.dispatcher.draining_to_share(now),
        }
    }

    /// Applies a usage update from another entry.
    pub fn apply_peer_usage(&self, entry: &EntryName, incarnation: u64, usage: PeerUsage) {
        self.apply_peer_leaving(entry, &usage.leaving);
        let now = self.cx.timers.now();
        let mut state = self.lock();
        state
            .quotas
            .apply_peer_usage(now, entry, incarnation, &usage.accounts);
        state.dispatcher.merge_rollout_counts(entry, usage.rollouts);
        state
            .remote_load
            .apply(now, entry, usage.is_full, &usage.in_flight);
        state.update_remote_load(now);
    }

    /// Returns the number of entries that exist, this one included.
    #[must_use]
    pub fn entry_count(&self) -> u32 {
        self.lock().quotas.entry_count()
    }

    /// Records that another entry exists.
    pub fn expect_peer(&self, entry: &EntryName) {
        let now = self.cx.timers.now();
        self.lock().quotas.add_peer(now, entry);
    }

    /// Replaces the names of all other entries that may be running.
    pub fn set_peer_names<'a>(&self, names: impl Iterator<Item = &'a EntryName>) {
        let now = self.cx.timers.now();
        self.lock().dispatcher.set_peer_entries(now, names);
    }

    /// Records that another entry is unreachable; its requests no longer count as in flight.
    pub fn mark_peer_unreachable(&self, entry: &EntryName) {
        let now = self.cx.timers.now();
        let mut state = self.lock();
        if state.remote_load.remove_entry(entry) {
            state.update_remote_load(now);
        }
    }

    /// Records that another entry's process is not running.
    pub fn mark_peer_down(&self, entry: &EntryName) {
        self.mark_peer_unreachable(entry);
        let now = self.cx.timers.now();
        self.lock().quotas.mark_peer_down(now, entry);
    }

    /// Removes an entry that has ended.
    pub fn remove_peer(&self, entry: &EntryName) {
        self.mark_peer_unreachable(entry);
        self.lock().quotas.remove_peer(entry);
    }
}
