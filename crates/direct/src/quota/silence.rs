//! Shares of quotas that are reserved for entries whose usage is unknown.

use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::Monotonic;

use super::EQUAL_SPLIT_RATIO;
use super::Quotas;
use super::peer::PeerQuota;
use crate::exchange;

/// Number of exchange intervals without a report after which an entry's share of each rate is
/// reserved for it.
const SILENCE_LIMIT_INTERVALS: u32 = 5;

/// Fraction of its share of each rate that is reserved for an entry that counts as down, while most do not.
const DOWN_RESERVE_RATIO: f64 = 0.5;

impl Quotas {
    /// Charges each bucket with what newly silent entries may have used since their last report.
    pub(super) fn charge_for_silent_peers(&mut self, now: Monotonic) {
        let limit = self.silence_limit();
        for peer in self.peers.values_mut() {
            if peer.is_silence_charged || !peer.is_silent(now, limit) {
                continue;
            }
            peer.is_silence_charged = true;
            if peer.last_report_at.is_none() {
                continue;
            }
            for (account, bucket) in &mut self.buckets {
                if let Some(global_limit) = bucket.global_limit() {
                    bucket.charge(now, peer.reserved_units(now, account, global_limit));
                }
            }
        }
    }

    /// Returns the fraction of an account's rate that is reserved for silent entries, and for those that
    /// count as down.
    pub(super) fn reserved_share(&self, now: Monotonic, account: &AccountName) -> f64 {
        let equal_share = 1.0 / f64::from(self.entry_count());
        let limit = self.silence_limit();
        let down_ratio = self.down_reserve_ratio(now);
        let reserved = self.peers.values().filter_map(|peer| {
            if peer.is_down(now) {
                Some((peer, down_ratio))
            } else {
                peer.is_silent(now, limit).then_some((peer, 1.0))
            }
        });
        let shares = reserved.map(|(peer, ratio)| ratio * peer.share(account, equal_share));
        shares
            .sum::<f64>()
            .min(1.0 - EQUAL_SPLIT_RATIO * equal_share)
    }

    /// Returns the fraction of its share of each rate that is reserved for an entry that counts as down.
    ///
    /// If most entries do, this one is rather cut off itself than the others have all ended.
    fn down_reserve_ratio(&self, now: Monotonic) -> f64 {
        let down = self.peers.values().filter(|peer| peer.is_down(now)).count();
        let is_minority = 2 * down > self.peers.len() + 1;
        if is_minority { 1.0 } else { DOWN_RESERVE_RATIO }
    }

    /// Returns the entries that may use quotas without reporting it.
    pub(super) fn silent_peers(&self, now: Monotonic) -> impl Iterator<Item = &PeerQuota> {
        let limit = self.silence_limit();
        let peers = self.peers.values();
        peers.filter(move |peer| peer.is_silent(now, limit))
    }

    /// Returns the maximum age of an entry's last report; an entry with an older one is silent.
    fn silence_limit(&self) -> Duration {
        exchange::cross_domain_interval(self.entry_count()) * SILENCE_LIMIT_INTERVALS
    }
}
