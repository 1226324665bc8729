//! State that an entry shares with its peers, and updates received from them.

use eelgrassramp::DomainName;
use eelgrassramp::EntryName;
use slog::info;

use super::Entry;
use crate::crash_attribution::CrashEvidence;
use crate::dispatcher::PoolShares;
use crate::dispatcher::RateLimitReport;
use crate::endpoint::EndpointKey;
use crate::endpoint::IncarnationKey;
use crate::quota::AccountUsage;
use crate::rollout::RolloutCounts;

/// State of one entry that is shared with its peers: the complete state, or only the changes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SharedState {
    /// Whether `in_flight` and `draining` are complete; otherwise `in_flight` lists only endpoints
    /// whose count changed, and `draining` only those not listed before.
    pub has_all_in_flight: bool,
    /// In-flight requests by endpoint.
    pub in_flight: Vec<(EndpointKey, u32)>,
    /// Quota usage by account. Most messages list only accounts whose usage changed, even messages in
    /// which `has_all_in_flight` is set.
    pub accounts: Vec<AccountUsage>,
    /// Responses counted for each rollout; every message lists all rollouts.
    pub rollouts: Vec<RolloutCounts>,
    /// Endpoints that recently told this entry in a response that they are draining.
    pub draining: Vec<IncarnationKey>,
    /// What endpoints recently told this entry about their rate limits; like `draining`, only what was
    /// not listed before unless `has_all_in_flight` is set.
    pub rate_limits: Vec<RateLimitReport>,
    /// Work lately granted to accounts, of contended pools; some messages leave it out.
    pub pool_shares: Vec<PoolShares>,
    /// Crashes of endpoints and blocked parts of prompts; like `draining`, only what was not listed before
    /// unless `has_all_in_flight` is set.
    pub crash_evidence: CrashEvidence,
}

impl Entry {
    /// Returns the full state to share with peers.
    #[must_use]
    pub fn shared_state(&self) -> SharedState {
        let now = self.cx.timers.now();
        let state = self.lock();
        SharedState {
            has_all_in_flight: true,
            in_flight: state.dispatcher.in_flight(),
            accounts: state.quotas.usage(now),
            rollouts: state.dispatcher.rollout_counts(),
            draining: state.dispatcher.draining_to_share(now),
            rate_limits: state.dispatcher.rate_limits_to_share(now),
            pool_shares: state.dispatcher.shares_to_report(now),
            crash_evidence: state.crash_attribution.evidence_to_share(now),
        }
    }

    /// Applies the shared state received from a peer, complete or only the changes.
    pub fn apply_peer_state(&self, entry: &EntryName, incarnation: u64, update: SharedState) {
        self.apply_peer_draining_list(entry, &update.draining);
        self.apply_rate_limit_reports(entry, &update.rate_limits);
        self.apply_crash_evidence(entry, &update.crash_evidence);
        let now = self.cx.timers.now();
        let mut state = self.lock();
        state
            .quotas
            .apply_peer_usage(now, entry, incarnation, &update.accounts);
        let taken_over = state
            .dispatcher
            .merge_rollout_counts(entry, incarnation, update.rollouts);
        state
            .peer_loads
            .apply(now, entry, update.has_all_in_flight, &update.in_flight);
        state.update_peer_loads(now);
        state
            .dispatcher
            .apply_peer_shares(now, entry, incarnation, &update.pool_shares);
        drop(state);
        for (order, decision) in taken_over {
            info!(self.cx.log, "move decided by another entry"; "entry" => entry.as_str(),
                "pool" => order.pool.as_str(), "version" => order.new_version.as_str(),
                "order" => order.id, "revision" => order.revision,
                "ended" => ?decision.outcome, "standing" => ?decision.standing);
        }
    }

    /// Applies a message that another one of the same peer may have overtaken, or that a process sent
    /// which has ended: only what endpoints said about their own end, which stays true.
    pub fn apply_outdated_state(&self, entry: &EntryName, update: &SharedState) {
        self.apply_peer_draining_list(entry, &update.draining);
    }

    /// Returns the number of known entries, this one included.
    #[must_use]
    pub fn entry_count(&self) -> u32 {
        self.lock().quotas.entry_count()
    }

    /// Registers a peer, which may not have sent any usage yet.
    pub fn expect_peer(&self, entry: &EntryName) {
        let now = self.cx.timers.now();
        self.lock().quotas.add_peer(now, entry);
    }

    /// Replaces the names of all peers that may be running.
    pub fn set_peer_names<'a>(&self, names: impl Iterator<Item = &'a EntryName>) {
        let now = self.cx.timers.now();
        self.lock().dispatcher.set_peer_entries(now, names);
    }

    /// Sets the failure domain of a peer.
    pub fn set_peer_domain(&self, entry: &EntryName, domain: &DomainName) {
        self.lock().dispatcher.set_peer_domain(entry, domain);
    }

    /// Records that a peer is unreachable; its requests no longer count as in flight.
    pub fn mark_peer_unreachable(&self, entry: &EntryName) {
        let now = self.cx.timers.now();
        let mut state = self.lock();
        if state.peer_loads.remove_entry(entry) {
            state.update_peer_loads(now);
        }
    }

    /// Records that a peer's process is not running.
    pub fn mark_peer_down(&self, entry: &EntryName) {
        self.mark_peer_unreachable(entry);
        let now = self.cx.timers.now();
        self.lock().quotas.mark_peer_down(now, entry);
    }

    /// Removes a peer that is no longer announced.
    pub fn remove_peer(&self, entry: &EntryName) {
        self.mark_peer_unreachable(entry);
        self.lock().quotas.remove_peer(entry);
    }
}
