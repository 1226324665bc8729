//! How much of a pool each client account has used of late, over all entries.
//!
//! While requests wait for a pool, its next slot goes to the account that has used the least of it
//! for its weight. What an account has used is a sum of work that decays with time. Such sums of
//! several entries can simply be added, need no common clock, and a lost or late message makes them
//! wrong only for as long as the work that it reports counts. See `docs/design/fair-shares.md`.

use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;

use crate::decaying_sum::DecayingSum;

/// Time constant of the sums of work.
///
/// It is a few times longer than a request, so that the sums show shares and not single requests,
/// and short enough that an account is not held to what it used before others came.
const WORK_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Time after a request had to wait during which the pool counts as contended.
const CONTENTION_PERIOD: Duration = Duration::from_secs(1);

/// Sums below this many seconds of work are forgotten.
const MIN_WORK: f64 = 0.001;

/// Ratio of an account's level to the mean above which it uses more than its share.
///
/// Levels differ by some requests at any time, because requests are granted whole.
const OVER_SHARE_RATIO: f64 = 1.5;

/// The account of a request and the weight of that account's share.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountShare {
    /// The account.
    pub account: AccountName,
    /// Weight of the account; only the ratio of two weights matters.
    pub weight: f64,
}

/// What a request claims of its pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Claim {
    /// The account that the claim counts for; `None` if the pool is not shared out by account.
    pub share: Option<AccountShare>,
    /// Expected work in seconds of a slot, or 1 if the pool is not shared out by account.
    pub work: f64,
}

impl Claim {
    /// A claim on a pool that is not shared out by account.
    pub const UNSHARED: Self = Self {
        share: None,
        work: 1.0,
    };

    pub(crate) fn account(&self) -> Option<&AccountName> {
        self.share.as_ref().map(|share| &share.account)
    }

    pub(crate) fn weight(&self) -> f64 {
        self.share.as_ref().map_or(1.0, |share| share.weight)
    }
}

/// What one entry has lately granted an account.
#[derive(Debug, Clone, PartialEq)]
pub struct GrantedWork {
    /// The account.
    pub account: AccountName,
    /// Decayed sum of the granted work in seconds.
    pub seconds: f64,
}

#[derive(Debug)]
struct AccountWork {
    own: DecayingSum,
    /// Work that all entries granted, this one included.
    total: DecayingSum,
    weight: f64,
}

impl AccountWork {
    const fn new() -> Self {
        Self {
            own: DecayingSum::new(WORK_TIME_CONSTANT),
            total: DecayingSum::new(WORK_TIME_CONSTANT),
            weight: 1.0,
        }
    }

    fn level(&self, now: Monotonic) -> f64 {
        self.total.value_at(now) / self.weight
    }
}

/// Last report of one process of another entry.
#[derive(Debug, Default)]
struct PeerReport {
    incarnation: u64,
    granted: HashMap<AccountName, DecayingSum>,
}

/// Use of one pool by client accounts.
#[derive(Debug, Default)]
pub struct FairShares {
    accounts: HashMap<AccountName, AccountWork>,
    peers: HashMap<EntryName, PeerReport>,
    /// Last time at which a request had to wait, here or at another entry.
    contended_at: Option<Monotonic>,
    /// Work that all accounts were granted, divided by the sum of their weights, as of the last call of
    /// [`Self::expire`].
    mean_level: f64,
}

impl FairShares {
    /// Records that a request had to wait, at this or another entry.
    pub const fn record_contention(&mut self, now: Monotonic) {
        self.contended_at = Some(now);
    }

    /// Returns whether requests had to wait of late.
    ///
    /// What accounts use while nobody waits takes nothing from others, and is not counted.
    #[must_use]
    pub fn is_contended(&self, now: Monotonic) -> bool {
        self.contended_at
            .is_some_and(|at| now.since(at) < CONTENTION_PERIOD)
    }

    /// Records the weight of the account behind a claim.
    pub fn record_weight(&mut self, claim: &Claim) {
        if let Some(share) = &claim.share {
            self.account_mut(&share.account).weight = share.weight;
        }
    }

    /// Records that a claim was granted a slot.
    pub fn record_grant(&mut self, now: Monotonic, claim: &Claim) {
        let Some(share) = claim.share.as_ref().filter(|_| self.is_contended(now)) else {
            return;
        };
        let account = self.account_mut(&share.account);
        account.own.add(now, claim.work);
        account.total.add(now, claim.work);
    }

    /// Returns the work that an account was lately granted for its weight; the lowest is next.
    #[must_use]
    pub fn level(&self, now: Monotonic, account: Option<&AccountName>) -> f64 {
        let known = account.and_then(|account| self.accounts.get(account));
        known.map_or(0.0, |account| account.level(now))
    }

    /// Returns whether an account used more of a contended pool than its share, compared with what all
    /// used at the last call of [`Self::expire`].
    #[must_use]
    pub fn is_over_share(&self, now: Monotonic, account: Option<&AccountName>) -> bool {
        if account.is_none() || !self.is_contended(now) {
            return false;
        }
        self.mean_level > 0.0 && self.level(now, account) > OVER_SHARE_RATIO * self.mean_level
    }

    /// Returns what this entry has lately granted, to tell the other entries.
    #[must_use]
    pub fn granted(&self, now: Monotonic) -> Vec<GrantedWork> {
        let accounts = self.accounts.iter();
        let granted = accounts.map(|(account, work)| GrantedWork {
            account: account.clone(),
            seconds: work.own.value_at(now),
        });
        granted.filter(|work| work.seconds >= MIN_WORK).collect()
    }

    /// Applies what the process `incarnation` of another entry has lately granted.
    ///
    /// What an earlier process of that entry granted still counts until it has decayed.
    pub fn apply_peer(
        &mut self,
        now: Monotonic,
        entry: &EntryName,
        incarnation: u64,
        granted: &[GrantedWork],
    ) {
        let mut report = self.peers.remove(entry).unwrap_or_default();
        if report.incarnation != incarnation {
            report = PeerReport {
                incarnation,
                ..PeerReport::default()
            };
        }
        for work in granted.iter().filter(|work| work.seconds.is_finite()) {
            let known = report.granted.get(&work.account);
            let before = known.map_or(0.0, |sum| sum.value_at(now));
            let mut sum = DecayingSum::new(WORK_TIME_CONSTANT);
            sum.add(now, work.seconds.max(0.0));
            let account = self.account_mut(&work.account);
            account.total.add(now, sum.value_at(now) - before);
            report.granted.insert(work.account.clone(), sum);
        }
        self.peers.insert(entry.clone(), report);
    }

    /// Forgets accounts and reports whose work has decayed; must be called periodically.
    pub fn expire(&mut self, now: Monotonic) {
        self.accounts
            .retain(|_, account| account.total.value_at(now) >= MIN_WORK);
        for report in self.peers.values_mut() {
            report
                .granted
                .retain(|_, sum| sum.value_at(now) >= MIN_WORK);
        }
        self.peers.retain(|_, report| !report.granted.is_empty());
        self.mean_level = self.compute_mean_level(now);
    }

    fn compute_mean_level(&self, now: Monotonic) -> f64 {
        let accounts = self.accounts.values();
        let (work, weight) = accounts.fold((0.0, 0.0), |(work, weight), account| {
            (work + account.total.value_at(now), weight + account.weight)
        });
        if weight > 0.0 { work / weight } else { 0.0 }
    }

    /// Returns the accounts that used the pool of late, with the work that all entries granted them.
    pub fn totals(&self, now: Monotonic) -> impl Iterator<Item = (&AccountName, f64)> {
        let accounts = self.accounts.iter();
        let totals = accounts.map(move |(account, work)| (account, work.total.value_at(now)));
        totals.filter(|(_, work)| *work >= MIN_WORK)
    }

    fn account_mut(&mut self, account: &AccountName) -> &mut AccountWork {
        self.accounts
            .entry(account.clone())
            .or_insert_with(AccountWork::new)
    }
}
