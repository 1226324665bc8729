//! State last sent to one peer, from which changes are computed.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::Monotonic;
use eelgrassramp::PromptPart;

use crate::crash_attribution::CrashEvidence;
use crate::dispatcher::RateLimitReport;
use crate::endpoint::EndpointKey;
use crate::endpoint::IncarnationKey;
use crate::entry::SharedState;
use crate::quota::AccountUsage;

/// Interval at which all in-flight counts, draining endpoints and rate limits are sent again.
const ALL_IN_FLIGHT_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two reports of the work granted to accounts, which decays slowly compared to
/// this.
const SHARES_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which all accounts are sent again. The peer replaces each account that it receives, so
/// a repeated account is harmless.
const ACCOUNTS_RESEND_INTERVAL: Duration = Duration::from_secs(10);

/// Minimum time between two successful responses to prompts with a suspected part that are both sent.
/// A part that is answered more often is cleared by what each entry sees itself.
const SUCCESS_RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Relative change of an account's demand above which the account is sent again.
const DEMAND_CHANGE_RATIO: f64 = 0.2;

/// State last sent to one peer.
#[derive(Debug, Default)]
pub(super) struct SentState {
    /// Incarnation of the process that it was sent to, once it has responded.
    receiver: Option<u64>,
    all_in_flight_sent_at: Option<Monotonic>,
    accounts_sent_at: Option<Monotonic>,
    shares_sent_at: Option<Monotonic>,
    in_flight: HashMap<EndpointKey, u32>,
    accounts: HashMap<AccountName, AccountUsage>,
    /// Draining endpoints that were sent.
    leaving: HashSet<IncarnationKey>,
    /// Rate limits that were sent.
    rate_limits: HashMap<IncarnationKey, Option<f64>>,
    crash_evidence: SentCrashEvidence,
}

/// What was sent about crashes.
#[derive(Debug, Default)]
struct SentCrashEvidence {
    /// Number of suspects in each crash.
    crashes: HashMap<IncarnationKey, usize>,
    succeeded_at: HashMap<PromptPart, Monotonic>,
    blocked: HashSet<PromptPart>,
}

impl SentCrashEvidence {
    /// Returns the part of `evidence` that was not sent, and records it as sent.
    fn new_evidence(&mut self, now: Monotonic, mut evidence: CrashEvidence) -> CrashEvidence {
        evidence.crashes.retain(|report| {
            let suspects = report.suspects.len();
            self.crashes.insert(report.endpoint, suspects) != Some(suspects)
        });
        evidence.successes.retain(|(part, age)| {
            let at = now - *age;
            let before = self.succeeded_at.get(part);
            let is_new = before.is_none_or(|before| at.since(*before) >= SUCCESS_RESEND_INTERVAL);
            if is_new {
                self.succeeded_at.insert(part.clone(), at);
            }
            is_new
        });
        evidence
            .blocked
            .retain(|report| self.blocked.insert(report.part.clone()));
        evidence
    }
}

impl SentState {
    /// Records a message of the receiver. Forgets what was sent if the receiver wants all facts, or if
    /// another process responds now, which does not know it.
    pub(super) fn record_received(&mut self, incarnation: u64, wants_all: bool) {
        if wants_all || self.receiver.is_some_and(|known| known != incarnation) {
            *self = Self::default();
        }
        self.receiver = Some(incarnation);
    }

    /// Returns the part of `usage` to send now, and records it as sent.
    pub(super) fn next_update(&mut self, now: Monotonic, usage: SharedState) -> SharedState {
        if has_elapsed(&mut self.accounts_sent_at, now, ACCOUNTS_RESEND_INTERVAL) {
            self.accounts.clear();
        }
        let has_all_in_flight =
            has_elapsed(&mut self.all_in_flight_sent_at, now, ALL_IN_FLIGHT_INTERVAL);
        if has_all_in_flight {
            self.leaving.clear();
            self.rate_limits.clear();
            self.crash_evidence = SentCrashEvidence::default();
        }
        let sends_shares = !usage.pool_shares.is_empty()
            && has_elapsed(&mut self.shares_sent_at, now, SHARES_INTERVAL);
        let in_flight = self.changed_in_flight(&usage.in_flight);
        SharedState {
            has_all_in_flight,
            in_flight: if has_all_in_flight {
                usage.in_flight
            } else {
                in_flight
            },
            accounts: self.changed_accounts(usage.accounts),
            rollouts: usage.rollouts,
            draining: self.new_leaving(usage.draining),
            rate_limits: self.changed_rate_limits(usage.rate_limits),
            pool_shares: if sends_shares {
                usage.pool_shares
            } else {
                Vec::new()
            },
            crash_evidence: self.crash_evidence.new_evidence(now, usage.crash_evidence),
        }
    }

    fn changed_in_flight(&mut self, current: &[(EndpointKey, u32)]) -> Vec<(EndpointKey, u32)> {
        let current: HashMap<_, _> = current.iter().copied().collect();
        let previous = std::mem::replace(&mut self.in_flight, current);
        let ended = previous
            .keys()
            .filter(|key| !self.in_flight.contains_key(key));
        let ended = ended.map(|key| (*key, 0));
        let other = self.in_flight.iter().map(|(key, n)| (*key, *n));
        let other = other.filter(|(key, n)| previous.get(key) != Some(n));
        ended.chain(other).collect()
    }

    fn new_leaving(&mut self, mut leaving: Vec<IncarnationKey>) -> Vec<IncarnationKey> {
        leaving.retain(|key| self.leaving.insert(*key));
        leaving
    }

    fn changed_rate_limits(&mut self, mut reports: Vec<RateLimitReport>) -> Vec<RateLimitReport> {
        reports.retain(|report| {
            let before = self.rate_limits.insert(report.endpoint, report.per_second);
            before != Some(report.per_second)
        });
        reports
    }

    fn changed_accounts(&mut self, mut accounts: Vec<AccountUsage>) -> Vec<AccountUsage> {
        accounts.retain(|current| {
            let previous = self.accounts.get(&current.account);
            let is_sent = previous.is_some_and(|previous| is_unchanged(previous, current));
            if !is_sent {
                self.accounts
                    .insert(current.account.clone(), current.clone());
            }
            !is_sent
        });
        accounts
    }
}

/// Returns whether `interval` has elapsed since `since`, or `since` is not set; if so, sets it to
/// `now`.
fn has_elapsed(since: &mut Option<Monotonic>, now: Monotonic, interval: Duration) -> bool {
    let has_elapsed = since.is_none_or(|at| now.since(at) >= interval);
    if has_elapsed {
        *since = Some(now);
    }
    has_elapsed
}

fn is_unchanged(previous: &AccountUsage, current: &AccountUsage) -> bool {
    let change = (current.demand_per_second - previous.demand_per_second).abs();
    (previous.admitted - current.admitted).abs() < 1.0
        && change <= DEMAND_CHANGE_RATIO * previous.demand_per_second.max(1.0)
}
