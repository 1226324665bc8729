//! Quotas of client accounts over all entries, without agreement between them.
//!
//! Each entry keeps a token bucket for each account and takes out of it what it admits itself
//! and what the other entries tell that they admitted. While another entry cannot be heard, it
//! counts as if it admitted an equal part of the rate, so that the sum stays within the quota
//! when entries are cut off from each other.

use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;

use crate::deployment::Quota;

/// Silence after which another entry counts as if it used its equal part.
const PEER_SILENCE: Duration = Duration::from_millis(1_200);

/// Time after which a silent entry counts as gone.
const PEER_GONE: Duration = Duration::from_secs(20);

/// Seconds of its rate that a bucket holds when a process starts.
const START_SECONDS: f64 = 0.5;

#[derive(Debug)]
struct Bucket {
    level: f64,
    at: Monotonic,
    quota: Quota,
    /// Units admitted by this entry since its start.
    admitted: f64,
}

#[derive(Debug)]
struct Peer {
    heard_at: Monotonic,
    admitted: HashMap<AccountName, f64>,
    incarnation: u64,
}

/// The quotas of all accounts as one entry sees them.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: HashMap<AccountName, Bucket>,
    peers: HashMap<EntryName, Peer>,
}

impl Quotas {
    /// Takes `units` for a request, or returns when they will be there.
    ///
    /// # Errors
    ///
    /// Returns the time until the account has units again.
    pub fn take(
        &mut self,
        now: Monotonic,
        account: &AccountName,
        quota: &Quota,
        units: f64,
    ) -> Result<(), Duration> {
        if quota.per_second <= 0.0 {
            return Ok(());
        }
        let silent = self.silent_share(now);
        let bucket = self.bucket(now, account, quota, silent);
        if bucket.level <= 0.0 {
            let missing = units.min(quota.burst) - bucket.level;
            let seconds = missing / (quota.per_second * (1.0 - silent)).max(1.0);
            return Err(Duration::from_secs_f64(seconds.clamp(0.2, 30.0)));
        }
        bucket.level -= units;
        bucket.admitted += units;
        Ok(())
    }

    /// Gives back what was taken for a request that was never sent to an endpoint.
    pub fn give_back(&mut self, account: &AccountName, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level += units;
            bucket.admitted -= units;
        }
    }

    /// Returns the units that this entry has admitted for each account since its start.
    #[must_use]
    pub fn admitted(&self) -> Vec<(AccountName, f64)> {
        let buckets = self.buckets.iter();
        buckets.map(|(a, b)| (a.clone(), b.admitted)).collect()
    }

    /// Takes in what another entry has admitted since its start.
    pub fn hear(
        &mut self,
        now: Monotonic,
        entry: &EntryName,
        incarnation: u64,
        admitted: &[(AccountName, f64)],
    ) {
        let known = self.peers.get(entry);
        let known = known.filter(|peer| peer.incarnation == incarnation);
        let is_continuous = known.is_some_and(|peer| now.since(peer.heard_at) < PEER_SILENCE);
        for (account, total) in admitted {
            let before = known.and_then(|peer| peer.admitted.get(account).copied());
            let change = match before {
                // While the entry was silent its equal part was taken already.
                Some(before) if is_continuous => total - before,
                Some(_) | None => 0.0,
            };
            if let Some(bucket) = self.buckets.get_mut(account) {
                bucket.level -= change;
            }
        }
        let peer = Peer {
            heard_at: now,
            admitted: admitted.iter().cloned().collect(),
            incarnation,
        };
        self.peers.insert(entry.clone(), peer);
    }

    /// Notes that another entry exists, heard or not.
    pub fn expect(&mut self, now: Monotonic, entry: &EntryName) {
        self.peers.entry(entry.clone()).or_insert_with(|| Peer {
            heard_at: now,
            admitted: HashMap::new(),
            incarnation: 0,
        });
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

    /// Returns the share of each rate that entries may use that cannot be heard.
    fn silent_share(&self, now: Monotonic) -> f64 {
        let age = |peer: &Peer| now.since(peer.heard_at);
        let gone = self.peers.values().filter(|p| age(p) > PEER_GONE).count();
        let silent = self.peers.values().filter(|p| age(p) > PEER_SILENCE);
        let silent = silent.count() - gone;
        let all = self.peers.len() + 1 - gone;
        silent as f64 / all as f64
    }

    fn bucket(
        &mut self,
        now: Monotonic,
        account: &AccountName,
        quota: &Quota,
        silent: f64,
    ) -> &mut Bucket {
        let bucket = self
            .buckets
            .entry(account.clone())
            .or_insert_with(|| Bucket {
                level: (quota.per_second * START_SECONDS).min(quota.burst),
                at: now,
                quota: *quota,
                admitted: 0.0,
            });
        let age = now.since(bucket.at).as_secs_f64();
        let refill = quota.per_second * (1.0 - silent) * age;
        bucket.level = (bucket.level + refill).min(quota.burst);
        bucket.at = now;
        bucket.quota = *quota;
        bucket
    }
}
