//! What an entry knows of another entry's use of quotas.

use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::Monotonic;

use super::AccountUsage;
use super::bucket::Fill;

/// Time after which a silent entry counts as gone.
const GONE: Duration = Duration::from_secs(20);

/// Time for which an entry counts as down after its machine refused a connection; longer than
/// the pause between two attempts.
const DOWN: Duration = Duration::from_millis(2_500);

/// How another entry uses one account's quota.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct PeerUse {
    /// Units admitted since its start.
    pub(super) admitted: f64,
    /// Units a second asked of it.
    pub(super) asked: f64,
    /// Its part of the rate.
    pub(super) part: f64,
}

#[derive(Debug, Default)]
pub(super) struct Peer {
    /// `None` until it was heard for the first time.
    pub(super) heard_at: Option<Monotonic>,
    pub(super) known_at: Monotonic,
    pub(super) incarnation: u64,
    pub(super) accounts: HashMap<AccountName, PeerUse>,
    /// Whether its parts of the rates are kept for it.
    pub(super) is_kept_for: bool,
    /// When its process was last known not to run.
    pub(super) down_at: Option<Monotonic>,
}

impl Peer {
    /// Returns the time for which nothing is known of what it uses.
    pub(super) fn silence(&self, now: Monotonic) -> Duration {
        let heard_at = self.heard_at.unwrap_or(self.known_at);
        let known_at = self.down_at.map_or(heard_at, |at| at.max(heard_at));
        now.since(known_at)
    }

    /// Tells whether it may use quotas without being heard.
    ///
    /// An entry that was never heard may have admitted much already.
    pub(super) fn is_silent(&self, now: Monotonic, limit: Duration) -> bool {
        let silence = self.silence(now);
        let is_late = self.heard_at.is_none() || silence > limit;
        !self.is_down(now) && is_late && silence < GONE
    }

    fn is_down(&self, now: Monotonic) -> bool {
        self.down_at.is_some_and(|at| now.since(at) < DOWN)
    }

    /// Notes that its process does not run, so that nothing is asked of it.
    pub(super) fn set_down(&mut self, now: Monotonic) {
        self.down_at = Some(now);
        self.is_kept_for = false;
        for used in self.accounts.values_mut() {
            used.asked = 0.0;
        }
    }

    /// Forgets what an earlier start of it admitted.
    pub(super) fn count_anew(&mut self) {
        for used in self.accounts.values_mut() {
            used.admitted = 0.0;
        }
    }

    /// Returns the accounts for which units were kept in vain, as `usage` does not name them.
    pub(super) fn unchanged(&self, usage: &[AccountUsage]) -> Vec<AccountUsage> {
        if !self.is_kept_for {
            return Vec::new();
        }
        let others = self.accounts.iter();
        let others = others.filter(|(account, _)| usage.iter().all(|u| u.account != **account));
        let unchanged = others.map(|(account, used)| AccountUsage {
            account: account.clone(),
            admitted: used.admitted,
            demand_per_second: used.asked,
            level: 0.0,
        });
        unchanged.collect()
    }

    /// Returns the units of an account that were kept for it since it was last heard.
    pub(super) fn kept(&self, now: Monotonic, account: &AccountName, whole: Fill) -> f64 {
        let part = self.part(account, 0.0);
        part * whole.per_second * self.silence(now).as_secs_f64()
    }

    /// Returns its part of an account's rate, `equal` when it never told.
    pub(super) fn part(&self, account: &AccountName, equal: f64) -> f64 {
        self.accounts.get(account).map_or(equal, |u| u.part)
    }
}
