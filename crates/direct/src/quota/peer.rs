//! Quota usage of another entry, as known from its reports.
//!
//! Another entry is silent if its last report is too old, or if it never sent one; after
//! [`SILENT_EXPIRY`] it no longer counts. It is down for some time after its VM first refused a
//! connection, as that of a process that restarts does. A network partition can refuse connections
//! too, while the entry serves its callers on the other side, so a part of its share stays reserved.

use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::Monotonic;

use super::AccountUsage;
use super::bucket::RateLimit;

/// Time without a report after which nothing is reserved for an entry any more.
const SILENT_EXPIRY: Duration = Duration::from_secs(20);

/// Time for which an entry counts as down after its VM first refused a connection. A process restarts
/// within that time; an entry that has not reported by then counts as silent.
const MAX_DOWN_TIME: Duration = Duration::from_millis(2_500);

/// Usage of one account's quota by another entry.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct PeerAccountUsage {
    /// Units admitted since the entry started.
    pub(super) admitted: f64,
    /// Demand on the entry in units per second.
    pub(super) demand_per_second: f64,
    /// The entry's share of the account's rate.
    pub(super) share: f64,
}

/// Quota usage of another entry, and how recent it is.
#[derive(Debug, Default)]
pub(super) struct PeerQuota {
    /// Time of the last report; `None` before the first one.
    pub(super) last_report_at: Option<Monotonic>,
    pub(super) added_at: Monotonic,
    pub(super) incarnation: u64,
    pub(super) accounts: HashMap<AccountName, PeerAccountUsage>,
    /// Whether this entry has charged its own buckets for the peer's silence; also set if there was
    /// nothing to charge because the peer never sent a report.
    pub(super) is_silence_charged: bool,
    /// When a connection was first refused since the last report.
    pub(super) down_at: Option<Monotonic>,
}

impl PeerQuota {
    /// Returns the time for which the entry's usage is unknown: since its last report, or since it
    /// was found down.
    pub(super) fn report_age(&self, now: Monotonic) -> Duration {
        let last_report_at = self.last_report_at.unwrap_or(self.added_at);
        let last_known_at = self
            .down_at
            .map_or(last_report_at, |at| at.max(last_report_at));
        now.since(last_known_at)
    }

    /// Returns whether the entry may use quotas without reporting it.
    ///
    /// An entry that never sent a report counts as silent at once, because it may already have
    /// admitted requests.
    pub(super) fn is_silent(&self, now: Monotonic, limit: Duration) -> bool {
        let age = self.report_age(now);
        let is_late = self.last_report_at.is_none() || age > limit;
        !self.is_down(now) && is_late && age < SILENT_EXPIRY
    }

    /// Returns whether the entry's process seems not to run.
    pub(super) fn is_down(&self, now: Monotonic) -> bool {
        self.down_at.is_some_and(|at| now.since(at) < MAX_DOWN_TIME)
    }

    /// Marks the entry's process as not running, and the demand on it as zero, unless it was marked since
    /// its last report.
    pub(super) fn mark_down(&mut self, now: Monotonic) {
        if self.down_at.is_some() {
            return;
        }
        self.down_at = Some(now);
        self.is_silence_charged = false;
        for used in self.accounts.values_mut() {
            used.demand_per_second = 0.0;
        }
    }

    /// Resets the admitted units, which an earlier incarnation counted.
    pub(super) fn reset_admitted(&mut self) {
        for used in self.accounts.values_mut() {
            used.admitted = 0.0;
        }
    }

    /// Returns the last known usage of the accounts that the first report after silence omits, so that
    /// the units charged for them are credited.
    pub(super) fn unlisted_accounts(&self, usage: &[AccountUsage]) -> Vec<AccountUsage> {
        if !self.is_silence_charged {
            return Vec::new();
        }
        let accounts = self.accounts.iter();
        let accounts = accounts.filter(|(account, _)| usage.iter().all(|u| u.account != **account));
        let unlisted = accounts.map(|(account, used)| AccountUsage {
            account: account.clone(),
            admitted: used.admitted,
            demand_per_second: used.demand_per_second,
            level: 0.0,
        });
        unlisted.collect()
    }

    /// Returns the units of an account that the entry may have used while its usage was unknown.
    pub(super) fn reserved_units(
        &self,
        now: Monotonic,
        account: &AccountName,
        global_limit: RateLimit,
    ) -> f64 {
        let share = self.share(account, 0.0);
        share * global_limit.per_second * self.report_age(now).as_secs_f64()
    }

    /// Returns the entry's share of an account's rate, or `default` if it never reported the
    /// account.
    pub(super) fn share(&self, account: &AccountName, default: f64) -> f64 {
        self.accounts.get(account).map_or(default, |u| u.share)
    }
}
