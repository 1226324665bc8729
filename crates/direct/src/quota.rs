//! Quotas of client accounts over all entries, without agreement between them.
//!
//! Each entry keeps a token bucket for each account and takes out of it what it admits itself
//! and what the other entries tell that they admitted. While another entry cannot be heard, its
//! part of the rate, reckoned from what all were asked when it was last heard, is kept for it.
//! Both sides of a cut reckon with the same parts, so their sum stays within the quota; when
//! they meet again, each corrects its bucket by what the other one really used.

mod bucket;
mod peer;

use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;

use self::bucket::Bucket;
use self::bucket::Fill;
use self::peer::Peer;
use self::peer::PeerUse;
use crate::deployment::Quota;
use crate::exchange;
use crate::request_queue::Priority;

/// Seconds of its rate that a bucket holds when a process starts.
const START_SECONDS: f64 = 0.5;

/// Time after the first other entry was heard in which a new process takes over levels.
const SETTLING: Duration = Duration::from_millis(500);

/// Periods of silence after which another entry's part of each rate is kept for it.
const SILENT_PERIODS: u32 = 5;

/// Part of each rate that is shared equally, whatever was asked of each entry.
const EQUAL_SHARE: f64 = 0.5;

/// Part of the tolerance that callers get; the rest covers what entries tell each other late.
const USED_TOLERANCE: f64 = 0.55;

/// Part of a bucket that is kept for more urgent routes, for each step of rank.
const RESERVE_PER_RANK: f64 = 0.15;

/// Most steps of rank for which a reserve is kept.
const MAX_RESERVE_RANKS: u32 = 2;

/// Units from which a request has to leave the whole reserve.
const FULL_RESERVE_UNITS: f64 = 1_000.0;

/// How far the sum over all entries may go beyond a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Span over which it is counted.
    pub window: Duration,
    /// Part of the quota.
    pub ratio: f64,
    /// Units on top.
    pub units: f64,
}

impl Tolerance {
    /// No tolerance at all.
    pub const NONE: Self = Self {
        window: Duration::from_secs(1),
        ratio: 0.0,
        units: 0.0,
    };

    fn per_second(&self, quota: &Quota) -> f64 {
        let seconds = self.window.as_secs_f64().max(1.0);
        let extra = self.ratio * quota.per_second + self.units / seconds;
        quota.per_second + USED_TOLERANCE * extra
    }
}

/// What a request wants from its account's quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Units.
    pub units: f64,
    /// How urgent it is among the account's requests.
    pub urgency: Priority,
}

impl Demand {
    /// Returns the part of a bucket that has to stay for more urgent requests.
    ///
    /// Small requests leave little, because refusing them frees little.
    fn reserve(&self) -> f64 {
        let ranks = f64::from(self.urgency.route.min(MAX_RESERVE_RANKS));
        RESERVE_PER_RANK * ranks * (self.units / FULL_RESERVE_UNITS).min(1.0)
    }
}

/// What an entry tells of one account.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountUse {
    /// The account.
    pub account: AccountName,
    /// Units admitted since the entry's start.
    pub admitted: f64,
    /// Units a second asked of late.
    pub asked: f64,
    /// Units in the entry's bucket.
    pub level: f64,
}

/// What an entry may still admit for one account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLeft<'a> {
    /// The account.
    pub account: &'a AccountName,
    /// Units in the entry's bucket.
    pub units: f64,
    /// Part of the rate that is not kept for entries that cannot be heard.
    pub own_part: f64,
}

/// The quotas of all accounts as one entry sees them.
#[derive(Debug)]
pub struct Quotas {
    tolerance: Tolerance,
    buckets: HashMap<AccountName, Bucket>,
    peers: HashMap<EntryName, Peer>,
    /// When the first other entry was heard.
    met_at: Option<Monotonic>,
    /// Units a second asked of all other entries that run.
    asked_of_others: HashMap<AccountName, f64>,
}

impl Quotas {
    /// Creates quotas of which nothing was used yet.
    #[must_use]
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            buckets: HashMap::new(),
            peers: HashMap::new(),
            met_at: None,
            asked_of_others: HashMap::new(),
        }
    }

    /// Changes how far the sum over all entries may go beyond a quota.
    pub const fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Takes units for a request, or returns when they will be there.
    ///
    /// # Errors
    ///
    /// Returns the time until the account has units for such a request again.
    pub fn take(
        &mut self,
        now: Monotonic,
        account: &AccountName,
        quota: &Quota,
        demand: Demand,
    ) -> Result<(), Duration> {
        if quota.per_second <= 0.0 {
            return Ok(());
        }
        self.keep_for_silent(now);
        let own_part = 1.0 - self.silent_part(now, account);
        let whole = Fill {
            per_second: self.tolerance.per_second(quota),
            burst: quota.burst,
        };
        let fill = whole.of_part(own_part);
        let start = (quota.per_second * START_SECONDS * own_part).min(fill.burst);
        let bucket = self.buckets.entry(account.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(now, start));
        bucket.refill(now, whole, own_part);
        bucket.ask(now, demand.units);
        let reserve = demand.reserve() * fill.burst;
        if bucket.level <= reserve {
            let missing = reserve + demand.units.min(fill.burst) - bucket.level;
            let seconds = missing / fill.per_second.max(1.0);
            return Err(Duration::from_secs_f64(seconds.clamp(0.2, 30.0)));
        }
        bucket.level -= demand.units;
        bucket.admitted += demand.units;
        Ok(())
    }

    /// Gives back what was taken for a request that no endpoint ran.
    pub fn give_back(&mut self, account: &AccountName, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level += units;
            bucket.admitted -= units;
        }
    }

    /// Returns what this entry tells the others of the accounts that asked here.
    #[must_use]
    pub fn usage(&self, now: Monotonic) -> Vec<AccountUse> {
        let usage = self.asked_here().map(|(account, bucket)| AccountUse {
            account: account.clone(),
            admitted: bucket.admitted,
            asked: bucket.asked(now),
            level: bucket.level_at(now),
        });
        usage.collect()
    }

    /// Takes in what another entry has admitted since its start, where that has changed.
    pub fn hear(
        &mut self,
        now: Monotonic,
        entry: &EntryName,
        incarnation: u64,
        usage: &[AccountUse],
    ) {
        let is_new = self.met_at.is_none_or(|at| now.since(at) < SETTLING);
        self.met_at.get_or_insert(now);
        let mut peer = self.peers.remove(entry).unwrap_or_default();
        let is_same = peer.heard_at.is_some() && peer.incarnation == incarnation;
        if !is_same {
            peer.count_anew();
        }
        let unchanged = peer.unchanged(usage);
        for told in usage.iter().chain(&unchanged) {
            self.take_in(now, &peer, is_same, told, is_new);
            let before = peer.accounts.get(&told.account).copied();
            let part = self.note_asked(now, before.unwrap_or_default(), told);
            let told_use = PeerUse {
                admitted: told.admitted,
                asked: told.asked,
                part,
            };
            peer.accounts.insert(told.account.clone(), told_use);
        }
        peer.heard_at = Some(now);
        peer.incarnation = incarnation;
        peer.is_kept_for = false;
        peer.down_at = None;
        self.peers.insert(entry.clone(), peer);
    }

    /// Corrects the bucket of one account by what another entry tells.
    fn take_in(
        &mut self,
        now: Monotonic,
        peer: &Peer,
        is_same: bool,
        told: &AccountUse,
        is_new: bool,
    ) {
        let is_first = peer.heard_at.is_none();
        let bucket = self.buckets.entry(told.account.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(now, told.level));
        let Some(whole) = bucket.whole().filter(|_| !(is_first && is_new)) else {
            bucket.adopt(now, told.level);
            return;
        };
        let before = peer.accounts.get(&told.account);
        let mut used = told.admitted - before.map_or(0.0, |u| u.admitted);
        if !is_same {
            // Nobody knows when it was used; most of it may be long ago.
            used = used.min(whole.per_second * START_SECONDS);
        }
        if !peer.is_kept_for {
            bucket.charge(now, used);
        } else if is_same {
            // What the other entry left of its part is no more than its part of a burst.
            let most = peer.part(&told.account, 0.0) * whole.burst;
            let kept = peer.kept(now, &told.account, whole);
            bucket.charge(now, (used - kept).max(-most));
        }
    }

    /// Notes what is asked of another entry, and returns its part of the rate.
    fn note_asked(&mut self, now: Monotonic, before: PeerUse, told: &AccountUse) -> f64 {
        let others = self.asked_of_others.entry(told.account.clone());
        let others = others.or_default();
        *others = (*others + told.asked - before.asked).max(told.asked);
        let own = self.buckets.get(&told.account);
        let all = *others + own.map_or(0.0, |bucket| bucket.asked(now));
        // The entry that speaks is not among the others while it is heard.
        let equal = 1.0 / f64::from(self.entries() + 1);
        let by_demand = if all > 0.0 { told.asked / all } else { equal };
        EQUAL_SHARE * equal + (1.0 - EQUAL_SHARE) * by_demand
    }

    /// Notes that another entry exists, heard or not.
    pub fn expect(&mut self, now: Monotonic, entry: &EntryName) {
        self.peers.entry(entry.clone()).or_insert_with(|| Peer {
            known_at: now,
            ..Peer::default()
        });
    }

    /// Notes that another entry's process does not run, so that it admits nothing.
    ///
    /// This holds for a short time only, because the process may start where it cannot be heard.
    pub fn set_down(&mut self, now: Monotonic, entry: &EntryName) {
        if let Some(peer) = self.peers.get_mut(entry) {
            forget_asked(&mut self.asked_of_others, peer);
            peer.set_down(now);
        }
    }

    /// Forgets another entry that has ended.
    pub fn forget(&mut self, entry: &EntryName) {
        if let Some(peer) = self.peers.remove(entry) {
            forget_asked(&mut self.asked_of_others, &peer);
        }
    }

    /// Returns the entries that exist, this one included.
    #[must_use]
    pub fn entries(&self) -> u32 {
        u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX)
    }

    /// Returns how many other entries may use quotas without being heard.
    #[must_use]
    pub fn silent_entries(&self, now: Monotonic) -> u32 {
        u32::try_from(self.silent(now).count()).unwrap_or(u32::MAX)
    }

    /// Returns the longest time for which nothing is known of an entry's use.
    #[must_use]
    pub fn longest_silence(&self, now: Monotonic) -> Duration {
        let silences = self.peers.values().map(|peer| peer.silence(now));
        silences.max().unwrap_or_default()
    }

    /// Returns what this entry may still admit for each account that asked here.
    pub fn left(&self, now: Monotonic) -> impl Iterator<Item = QuotaLeft<'_>> {
        self.asked_here().map(move |(account, bucket)| QuotaLeft {
            account,
            units: bucket.level_at(now),
            own_part: 1.0 - self.silent_part(now, account),
        })
    }

    /// Takes out of each bucket what entries may have used since they were last heard.
    fn keep_for_silent(&mut self, now: Monotonic) {
        let limit = self.silence_limit();
        for peer in self.peers.values_mut() {
            if peer.is_kept_for || !peer.is_silent(now, limit) {
                continue;
            }
            peer.is_kept_for = true;
            if peer.heard_at.is_none() {
                continue;
            }
            for (account, bucket) in &mut self.buckets {
                if let Some(whole) = bucket.whole() {
                    bucket.charge(now, peer.kept(now, account, whole));
                }
            }
        }
    }

    /// Returns the part of an account's rate that is kept for entries that cannot be heard.
    fn silent_part(&self, now: Monotonic, account: &AccountName) -> f64 {
        let equal = 1.0 / f64::from(self.entries());
        let parts = self.silent(now).map(|peer| peer.part(account, equal));
        parts.sum::<f64>().min(1.0 - EQUAL_SHARE * equal)
    }

    /// Returns the entries that may use quotas without being heard.
    fn silent(&self, now: Monotonic) -> impl Iterator<Item = &Peer> {
        let limit = self.silence_limit();
        let peers = self.peers.values();
        peers.filter(move |peer| peer.is_silent(now, limit))
    }

    /// Returns the silence after which another entry's part of each rate is kept for it.
    fn silence_limit(&self) -> Duration {
        exchange::far_period(self.entries()) * SILENT_PERIODS
    }

    /// Returns the buckets of the accounts that asked here.
    fn asked_here(&self) -> impl Iterator<Item = (&AccountName, &Bucket)> {
        let buckets = self.buckets.iter();
        buckets.filter(|(_, bucket)| bucket.whole().is_some())
    }
}

fn forget_asked(asked_of_others: &mut HashMap<AccountName, f64>, peer: &Peer) {
    for (account, used) in &peer.accounts {
        if let Some(asked) = asked_of_others.get_mut(account) {
            *asked = (*asked - used.asked).max(0.0);
        }
    }
}
