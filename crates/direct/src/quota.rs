//! Rate limits of client accounts, enforced across all entries without consensus.
//!
//! Each entry has a token bucket per account. It is charged for the requests that the entry admits
//! and for the usage that the other entries report. An entry whose reports are missing is called
//! silent. Its share of the rate is reserved for it; the share follows from the demand on all
//! entries at its last report. Both sides of a network partition compute the same shares, so their
//! sum stays within the quota. When the partition heals, each side corrects its bucket by the usage
//! that the other one reports.

mod bucket;
mod cost;
mod peer;
mod returns;
mod silence;

use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;

use self::bucket::Bucket;
use self::bucket::RateLimit;
pub use self::cost::CallerAttempt;
use self::cost::MAX_RESERVE_STEPS;
pub use self::cost::RequestCost;
use self::peer::PeerAccountUsage;
use self::peer::PeerQuota;
use crate::tables::Quota;

/// Initial fill of a bucket, and limit on the usage charged for the first report of a restarted
/// entry, in seconds of the account's rate.
const INITIAL_FILL_SECONDS: f64 = 0.5;

/// Time after the first report of another entry during which a new process adopts the reported
/// bucket levels.
const LEVEL_ADOPTION_TIME: Duration = Duration::from_millis(500);

/// Fraction of each rate that is split equally among the entries; the rest is split by demand.
const EQUAL_SPLIT_RATIO: f64 = 0.5;

/// Fraction of the allowed excess that entries use; the rest covers delayed usage reports.
const USED_TOLERANCE_RATIO: f64 = 0.55;

/// How far the usage summed over all entries may exceed a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Time window over which usage is summed.
    pub window: Duration,
    /// Allowed excess as a fraction of the quota.
    pub ratio: f64,
    /// Allowed excess in units, in addition to `ratio`.
    pub units: f64,
}

impl Tolerance {
    /// Allows no excess.
    pub const NONE: Self = Self {
        window: Duration::from_secs(1),
        ratio: 0.0,
        units: 0.0,
    };

    fn limit_per_second(&self, quota: &Quota) -> f64 {
        let seconds = self.window.as_secs_f64().max(1.0);
        let excess = self.ratio * quota.per_second + self.units / seconds;
        quota.per_second + USED_TOLERANCE_RATIO * excess
    }
}

/// Usage of one account as reported by one entry.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountUsage {
    /// The account.
    pub account: AccountName,
    /// Units admitted since the entry started.
    pub admitted: f64,
    /// Recent demand in units per second, admitted or not.
    pub demand_per_second: f64,
    /// Level of the entry's bucket in units.
    pub level: f64,
}

/// What this entry may still admit for one account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RemainingQuota<'a> {
    /// The account.
    pub account: &'a AccountName,
    /// Level of the entry's bucket in units.
    pub units: f64,
    /// Fraction of the rate that is not reserved for silent entries.
    pub unreserved_share: f64,
}

/// One entry's view of the quotas of all accounts.
#[derive(Debug)]
pub struct Quotas {
    tolerance: Tolerance,
    /// Whether refused callers are told times one after the other.
    paces_returns: bool,
    buckets: HashMap<AccountName, Bucket>,
    peers: HashMap<EntryName, PeerQuota>,
    /// Time of the first report of another entry.
    first_report_at: Option<Monotonic>,
    /// Demand on all other running entries in units per second.
    peer_demand: HashMap<AccountName, f64>,
}

impl Quotas {
    /// Creates quotas without any recorded usage.
    #[must_use]
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            paces_returns: false,
            buckets: HashMap::new(),
            peers: HashMap::new(),
            first_report_at: None,
            peer_demand: HashMap::new(),
        }
    }

    /// Sets how far the usage summed over all entries may exceed a quota.
    pub const fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Sets whether refused callers are told to return one after the other, and go before new ones
    /// then, instead of all when the account can admit the next request.
    pub const fn set_paces_returns(&mut self, paces_returns: bool) {
        self.paces_returns = paces_returns;
    }

    /// Takes a request's units from its account's bucket.
    ///
    /// A request is admitted if the level exceeds its reserve, also if it needs more units than the
    /// bucket holds; the level then becomes negative.
    ///
    /// # Errors
    ///
    /// Returns the estimated time until a request of this cost could be admitted, from 0.2 to 30 s.
    /// With paced returns, the callers that were refused before come first.
    pub fn try_acquire(
        &mut self,
        now: Monotonic,
        account: &AccountName,
        quota: &Quota,
        cost: RequestCost,
    ) -> Result<(), Duration> {
        if quota.per_second <= 0.0 {
            return Ok(());
        }
        self.charge_for_silent_peers(now);
        let unreserved_share = 1.0 - self.reserved_share(now, account);
        let global_limit = RateLimit {
            per_second: self.tolerance.limit_per_second(quota),
            burst: quota.burst,
        };
        let unreserved_limit = global_limit.scaled_by(unreserved_share);
        let initial_level = (quota.per_second * INITIAL_FILL_SECONDS * unreserved_share)
            .min(unreserved_limit.burst);
        let bucket = self.buckets.entry(account.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(now, initial_level));
        bucket.refill(now, global_limit, unreserved_share);
        bucket.record_demand(now, cost);
        let priority_reserve = cost.priority_reserve_ratio() * unreserved_limit.burst;
        let reserve = if self.paces_returns {
            bucket.reserve_for(now, cost, priority_reserve, unreserved_limit)
        } else {
            priority_reserve
        };
        if bucket.level <= reserve {
            let missing = reserve + cost.units.min(unreserved_limit.burst) - bucket.level;
            let per_second = unreserved_limit.per_second.max(1.0);
            let delay = Duration::from_secs_f64((missing / per_second).clamp(0.2, 30.0));
            if !self.paces_returns {
                return Err(delay);
            }
            let peer_demand = self.peer_demand.get(account).copied().unwrap_or(0.0);
            return Err(bucket.promise_return(now, cost, delay, per_second, peer_demand));
        }
        bucket.level -= cost.units;
        bucket.admitted += cost.units;
        Ok(())
    }

    /// Puts the units of a request that no endpoint executed back into the bucket.
    pub fn refund(&mut self, account: &AccountName, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level += units;
            bucket.admitted -= units;
        }
    }

    /// Returns the usage to report to other entries, for accounts with requests at this entry.
    #[must_use]
    pub fn usage(&self, now: Monotonic) -> Vec<AccountUsage> {
        let usage = self.active_buckets().map(|(account, bucket)| AccountUsage {
            account: account.clone(),
            admitted: bucket.admitted,
            demand_per_second: bucket.demand_per_second(now),
            level: bucket.level_at(now),
        });
        usage.collect()
    }

    /// Applies another entry's usage report, which lists the accounts whose usage has changed.
    pub fn apply_peer_usage(
        &mut self,
        now: Monotonic,
        entry: &EntryName,
        incarnation: u64,
        usage: &[AccountUsage],
    ) {
        let is_adopting_levels = self
            .first_report_at
            .is_none_or(|at| now.since(at) < LEVEL_ADOPTION_TIME);
        self.first_report_at.get_or_insert(now);
        let mut peer = self.peers.remove(entry).unwrap_or_default();
        let is_same_incarnation = peer.last_report_at.is_some() && peer.incarnation == incarnation;
        if !is_same_incarnation {
            peer.reset_admitted();
        }
        let unlisted = peer.unlisted_accounts(usage);
        for reported in usage.iter().chain(&unlisted) {
            self.correct_bucket(
                now,
                &peer,
                is_same_incarnation,
                reported,
                is_adopting_levels,
            );
            let previous = peer.accounts.get(&reported.account).copied();
            let share = self.update_peer_demand(now, previous.unwrap_or_default(), reported);
            let peer_usage = PeerAccountUsage {
                admitted: reported.admitted,
                demand_per_second: reported.demand_per_second,
                share,
            };
            peer.accounts.insert(reported.account.clone(), peer_usage);
        }
        peer.last_report_at = Some(now);
        peer.incarnation = incarnation;
        peer.is_silence_charged = false;
        peer.down_at = None;
        self.peers.insert(entry.clone(), peer);
    }

    /// Corrects the bucket of one account by another entry's reported usage.
    fn correct_bucket(
        &mut self,
        now: Monotonic,
        peer: &PeerQuota,
        is_same_incarnation: bool,
        reported: &AccountUsage,
        is_adopting_levels: bool,
    ) {
        let is_first_report = peer.last_report_at.is_none();
        let bucket = self.buckets.entry(reported.account.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(now, reported.level));
        let Some(global_limit) = bucket
            .global_limit()
            .filter(|_| !(is_first_report && is_adopting_levels))
        else {
            bucket.adopt_level(now, reported.level);
            return;
        };
        let previous = peer.accounts.get(&reported.account);
        let mut used = reported.admitted - previous.map_or(0.0, |u| u.admitted);
        if !is_same_incarnation {
            // The report does not say when the units were used, which may be long ago.
            used = used.min(global_limit.per_second * INITIAL_FILL_SECONDS);
        }
        if !peer.is_silence_charged {
            bucket.charge(now, used);
        } else if is_same_incarnation {
            // The unused part of a reservation is at most the entry's share of the burst.
            let max_credit = peer.share(&reported.account, 0.0) * global_limit.burst;
            let reserved = peer.reserved_units(now, &reported.account, global_limit);
            bucket.charge(now, (used - reserved).max(-max_credit));
        }
    }

    /// Updates the demand on another entry and returns that entry's share of the rate.
    fn update_peer_demand(
        &mut self,
        now: Monotonic,
        previous: PeerAccountUsage,
        reported: &AccountUsage,
    ) -> f64 {
        let peers_total = self.peer_demand.entry(reported.account.clone());
        let peers_total = peers_total.or_default();
        *peers_total = (*peers_total + reported.demand_per_second - previous.demand_per_second)
            .max(reported.demand_per_second);
        let own_bucket = self.buckets.get(&reported.account);
        let total_demand =
            *peers_total + own_bucket.map_or(0.0, |bucket| bucket.demand_per_second(now));
        // `apply_peer_usage` has removed the reporting entry from `peers`, so it is added here.
        let equal_share = 1.0 / f64::from(self.entry_count() + 1);
        let demand_share = if total_demand > 0.0 {
            reported.demand_per_second / total_demand
        } else {
            equal_share
        };
        EQUAL_SPLIT_RATIO * equal_share + (1.0 - EQUAL_SPLIT_RATIO) * demand_share
    }

    /// Registers another entry, which may not have sent any report yet.
    pub fn add_peer(&mut self, now: Monotonic, entry: &EntryName) {
        self.peers
            .entry(entry.clone())
            .or_insert_with(|| PeerQuota {
                added_at: now,
                ..PeerQuota::default()
            });
    }

    /// Marks another entry as down: its process seems not to run, so less is reserved for it.
    ///
    /// The mark expires soon and is not renewed before the next report, because the process may restart
    /// without being able to report, or serve callers behind a network partition.
    pub fn mark_peer_down(&mut self, now: Monotonic, entry: &EntryName) {
        if let Some(peer) = self.peers.get_mut(entry) {
            subtract_peer_demand(&mut self.peer_demand, peer);
            peer.mark_down(now);
        }
    }

    /// Removes another entry that is no longer announced.
    pub fn remove_peer(&mut self, entry: &EntryName) {
        if let Some(peer) = self.peers.remove(entry) {
            subtract_peer_demand(&mut self.peer_demand, &peer);
        }
    }

    /// Returns the number of known entries, including this one.
    #[must_use]
    pub fn entry_count(&self) -> u32 {
        u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX)
    }

    /// Returns the number of other entries that may use quotas without reporting it.
    #[must_use]
    pub fn silent_peer_count(&self, now: Monotonic) -> u32 {
        u32::try_from(self.silent_peers(now).count()).unwrap_or(u32::MAX)
    }

    /// Returns the longest time for which the usage of another entry has been unknown.
    #[must_use]
    pub fn max_report_age(&self, now: Monotonic) -> Duration {
        let report_ages = self.peers.values().map(|peer| peer.report_age(now));
        report_ages.max().unwrap_or_default()
    }

    /// Returns what this entry may still admit, for each account with requests at this entry.
    pub fn remaining(&self, now: Monotonic) -> impl Iterator<Item = RemainingQuota<'_>> {
        self.active_buckets()
            .map(move |(account, bucket)| RemainingQuota {
                account,
                units: bucket.level_at(now),
                unreserved_share: 1.0 - self.reserved_share(now, account),
            })
    }

    /// Returns the buckets of accounts with requests at this entry.
    fn active_buckets(&self) -> impl Iterator<Item = (&AccountName, &Bucket)> {
        let buckets = self.buckets.iter();
        buckets.filter(|(_, bucket)| bucket.global_limit().is_some())
    }
}

fn subtract_peer_demand(peer_demand: &mut HashMap<AccountName, f64>, peer: &PeerQuota) {
    for (account, used) in &peer.accounts {
        if let Some(total) = peer_demand.get_mut(account) {
            *total = (*total - used.demand_per_second).max(0.0);
        }
    }
}
