//! Fair shares of pools: learned work, and what entries tell each other.

use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;

use super::Dispatcher;
use crate::endpoint::Endpoint;
use crate::fair_share::GrantedWork;
use crate::work::RequestSize;

/// What one entry has lately granted of a contended pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolShares {
    /// The pool.
    pub pool: PoolName,
    /// Whether requests wait for it at that entry.
    pub has_waiting: bool,
    /// Work that the entry granted each account.
    pub granted: Vec<GrantedWork>,
}

impl Dispatcher {
    /// Records that a request of `size` occupied a slot of `endpoint` for `elapsed`.
    pub fn record_slot_time(&mut self, endpoint: &Endpoint, size: RequestSize, elapsed: Duration) {
        let Some(pool) = self.pools.get_mut(&endpoint.pool) else {
            return;
        };
        if let Some(tracker) = pool.trackers.get(&endpoint.name) {
            pool.work.record(size, elapsed, tracker.slowness());
        }
    }

    /// Returns what this entry has lately granted of each pool that is shared out and contended.
    #[must_use]
    pub fn shares_to_report(&self, now: Monotonic) -> Vec<PoolShares> {
        let contended = self
            .pools
            .iter()
            .filter(|(_, pool)| pool.queue.shares().is_contended(now));
        let shares = contended.map(|(name, pool)| PoolShares {
            pool: name.clone(),
            has_waiting: !pool.queue.is_empty(),
            granted: pool.queue.shares().granted(now),
        });
        shares.filter(|shares| !shares.granted.is_empty()).collect()
    }

    /// Applies what the process `incarnation` of another entry has lately granted.
    pub fn apply_peer_shares(
        &mut self,
        now: Monotonic,
        entry: &EntryName,
        incarnation: u64,
        shares: &[PoolShares],
    ) {
        for reported in shares {
            let Some(pool) = self.pools.get_mut(&reported.pool) else {
                continue;
            };
            let known = pool.queue.shares_mut();
            known.apply_peer(now, entry, incarnation, &reported.granted);
            if reported.has_waiting {
                known.record_contention(now);
            }
        }
    }

    /// Returns the accounts that used a contended pool of late: the pool, the account, the work in
    /// seconds that all entries granted it, and whether that is more than its share.
    pub fn account_work(
        &self,
        now: Monotonic,
    ) -> impl Iterator<Item = (&PoolName, &AccountName, f64, bool)> {
        self.pools.iter().flat_map(move |(name, pool)| {
            let shares = pool.queue.shares();
            shares.totals(now).map(move |(account, work)| {
                let is_over_share = shares.is_over_share(now, Some(account));
                (name, account, work, is_over_share)
            })
        })
    }
}
