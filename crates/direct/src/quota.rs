//! Quotas of client accounts over all entries, without agreement between them.
//!
//! Each entry keeps a token bucket for each account and takes out of it what it admits itself
//! and what the other entries tell that they admitted. While another entry cannot be heard, it
//! counts as if it used the part of the rate that it had asked for when it was last heard. Both
//! sides of a cut reckon with the same parts, so their sum stays within the quota.

use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;

use crate::deployment::Quota;
use crate::faded::Faded;
use crate::line::Urgency;

/// Silence after which another entry counts as if it used its part.
const PEER_SILENCE: Duration = Duration::from_millis(1_200);

/// Time after which a silent entry counts as gone.
const PEER_GONE: Duration = Duration::from_secs(20);

/// Seconds of its rate that a bucket holds when a process starts.
const START_SECONDS: f64 = 0.5;

/// Time over which an account's demand is remembered.
const DEMAND_MEMORY: Duration = Duration::from_secs(2);

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
    pub urgency: Urgency,
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

#[derive(Debug)]
struct Bucket {
    level: f64,
    at: Monotonic,
    /// Units admitted by this entry since its start.
    admitted: f64,
    /// Units asked of this entry.
    asked: Faded,
}

#[derive(Debug, Default)]
struct Peer {
    /// `None` until it was heard for the first time.
    heard_at: Option<Monotonic>,
    known_at: Monotonic,
    incarnation: u64,
    admitted: HashMap<AccountName, f64>,
    /// Units a second asked of it.
    asked: HashMap<AccountName, f64>,
    /// Its parts of the rates when it was last heard.
    parts: HashMap<AccountName, f64>,
    is_down: bool,
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
}

/// The quotas of all accounts as one entry sees them.
#[derive(Debug)]
pub struct Quotas {
    tolerance: Tolerance,
    buckets: HashMap<AccountName, Bucket>,
    peers: HashMap<EntryName, Peer>,
}

impl Quotas {
    /// Creates quotas of which nothing was used yet.
    #[must_use]
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            buckets: HashMap::new(),
            peers: HashMap::new(),
        }
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
        let own_part = 1.0 - self.silent_part(now, account);
        let per_second = self.tolerance.per_second(quota) * own_part;
        let burst = quota.burst * own_part;
        let bucket = self.bucket(now, account, quota, per_second, burst);
        bucket.asked.add(now, demand.units);
        let reserve = demand.reserve() * burst;
        if bucket.level <= reserve {
            let missing = reserve + demand.units.min(burst) - bucket.level;
            let seconds = missing / per_second.max(1.0);
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

    /// Returns what this entry tells the others.
    #[must_use]
    pub fn usage(&self, now: Monotonic) -> Vec<AccountUse> {
        let buckets = self.buckets.iter();
        let usage = buckets.map(|(account, bucket)| AccountUse {
            account: account.clone(),
            admitted: bucket.admitted,
            asked: bucket.asked.per_second(now),
        });
        usage.collect()
    }

    /// Takes in what another entry has admitted since its start.
    pub fn hear(
        &mut self,
        now: Monotonic,
        entry: &EntryName,
        incarnation: u64,
        usage: &[AccountUse],
    ) {
        let mut peer = self.peers.remove(entry).unwrap_or_default();
        let is_same = peer.incarnation == incarnation;
        let is_continuous = is_same && peer.silence(now) < PEER_SILENCE;
        for account in usage {
            let before = peer
                .admitted
                .insert(account.account.clone(), account.admitted);
            // While the entry was silent its part of the rate was taken already.
            let change = before
                .filter(|_| is_continuous)
                .map_or(0.0, |before| account.admitted - before);
            if let Some(bucket) = self.buckets.get_mut(&account.account) {
                bucket.level -= change;
            }
            peer.asked.insert(account.account.clone(), account.asked);
            let part = self.part(now, &account.account, account.asked);
            peer.parts.insert(account.account.clone(), part);
        }
        peer.heard_at = Some(now);
        peer.incarnation = incarnation;
        peer.is_down = false;
        self.peers.insert(entry.clone(), peer);
    }

    /// Notes that another entry exists, heard or not.
    pub fn expect(&mut self, now: Monotonic, entry: &EntryName) {
        self.peers.entry(entry.clone()).or_insert_with(|| Peer {
            known_at: now,
            ..Peer::default()
        });
    }

    /// Notes that another entry's process does not run, so that it admits nothing.
    pub fn set_down(&mut self, entry: &EntryName) {
        if let Some(peer) = self.peers.get_mut(entry) {
            peer.is_down = true;
        }
    }

    /// Forgets another entry that has ended.
    pub fn forget(&mut self, entry: &EntryName) {
        self.peers.remove(entry);
    }

    /// Returns the entries that exist, this one included.
    #[must_use]
    pub fn entries(&self) -> u32 {
        u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX)
    }

    /// Returns the part of an account's rate that entries may use that cannot be heard.
    fn silent_part(&self, now: Monotonic, account: &AccountName) -> f64 {
        let equal = 1.0 / f64::from(self.entries());
        let silent = self.peers.values().filter(|peer| peer.is_silent(now));
        let parts = silent.map(|peer| peer.parts.get(account).copied().unwrap_or(equal));
        parts.sum::<f64>().min(1.0 - equal)
    }

    /// Returns the part of an account's demand that `asked` is.
    fn part(&self, now: Monotonic, account: &AccountName, asked: f64) -> f64 {
        let own = self.buckets.get(account);
        let own = own.map_or(0.0, |bucket| bucket.asked.per_second(now));
        let others = self.peers.values().filter(|peer| !peer.is_silent(now));
        let others: f64 = others.filter_map(|peer| peer.asked.get(account)).sum();
        let all = own + others + asked;
        if all > 0.0 {
            asked / all
        } else {
            1.0 / f64::from(self.entries() + 1)
        }
    }

    fn bucket(
        &mut self,
        now: Monotonic,
        account: &AccountName,
        quota: &Quota,
        per_second: f64,
        burst: f64,
    ) -> &mut Bucket {
        let bucket = self
            .buckets
            .entry(account.clone())
            .or_insert_with(|| Bucket {
                level: (quota.per_second * START_SECONDS).min(burst),
                at: now,
                admitted: 0.0,
                asked: Faded::new(DEMAND_MEMORY),
            });
        let age = now.since(bucket.at).as_secs_f64();
        bucket.level = (bucket.level + per_second * age).min(burst);
        bucket.at = now;
        bucket
    }
}

impl Peer {
    fn silence(&self, now: Monotonic) -> Duration {
        now.since(self.heard_at.unwrap_or(self.known_at))
    }

    /// An entry that was never heard may have admitted much already.
    fn is_silent(&self, now: Monotonic) -> bool {
        let is_late = self.heard_at.is_none() || self.silence(now) > PEER_SILENCE;
        !self.is_down && is_late && self.silence(now) < PEER_GONE
    }
}
