//! Rollout of a new version in a pool: limited exposure, a verdict, and completion by a deadline.
//!
//! Until the verdict, the new version receives a small share of the requests. They go to one of its
//! endpoints at a time, so that faults that only occur under load appear as well. A version without
//! a detected fault receives all requests shortly before the deadline, and the rollout is reported
//! as completed once the old endpoints have no requests in flight. Every entry decides from its own
//! response statistics and those that the other entries report; the first report is final. See
//! `docs/design/platform.md`.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;
use eelgrassramp::VersionName;

/// Fraction of the allowed exposure that is used.
const USED_EXPOSURE_RATIO: f64 = 0.6;

/// Fraction of the rollout's duration after which a version without a detected fault receives all
/// requests.
const FULL_SHIFT_AT_RATIO: f64 = 0.7;

/// Fraction of the rollout's duration after which its completion is reported even if old endpoints
/// have requests in flight.
const REPORT_AT_RATIO: f64 = 0.88;

/// Minimum number of responses of the new version for a verdict.
const MIN_RESPONSES: f64 = 8.0;

/// Maximum difference of the failure rates of the new and the old version.
const MAX_FAILURE_RATE_EXCESS: f64 = 0.12;

/// Number of standard errors from which a difference counts as significant.
const MIN_STANDARD_ERRORS: f64 = 4.5;

/// Minimum failure rate assumed for the standard error, because a low rate cannot be estimated from
/// few responses.
const MIN_ASSUMED_FAILURE_RATE: f64 = 0.03;

/// Minimum number of failures for a verdict on the failure rate.
const MIN_FAILURES: f64 = 4.0;

/// Maximum ratio of the new version's mean slowness to the old version's.
const MAX_SLOWNESS_RATIO: f64 = 1.8;

/// Number of failures from which the new version is rolled back without a significance test.
const MAX_FAILURES: f64 = 40.0;

/// Failure rate, on top of twice the old version's, that [`MAX_FAILURES`] requires as well.
const MIN_FAILURE_RATE_EXCESS: f64 = 0.05;

/// Time after a completed rollout's deadline during which old endpoints receive no requests.
const COMPLETED_HOLD_TIME: Duration = Duration::from_secs(5);

/// Limits on the requests that a new version may receive before the verdict.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureLimits {
    /// Fraction of the pool's requests.
    pub share: f64,
    /// Number of requests in addition to `share`.
    pub slack: f64,
}

/// An operator's order to roll out a version in a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutOrder {
    /// Distinguishes orders for the same pool and version.
    pub id: u64,
    /// The pool.
    pub pool: PoolName,
    /// The new version.
    pub target: VersionName,
    /// Time from the order to the deadline.
    pub duration: Duration,
    /// Outcome, if known.
    pub ended: Option<RolloutOutcome>,
}

/// Outcome of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutOutcome {
    /// All requests go to the new version from now on.
    Completed,
    /// The new version has a fault and receives no requests.
    RolledBack,
}

/// Report to the operator about a rollout.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The pool.
    pub pool: PoolName,
    /// The new version.
    pub target: VersionName,
    /// Outcome; `None` while the rollout is in progress.
    pub ended: Option<RolloutOutcome>,
    /// Human-readable reason for the log.
    pub reason: String,
}

/// Delivers reports to operators.
pub trait ReportSink: std::fmt::Debug + Send + Sync {
    /// Accepts a report and delivers it, later if that is not possible now.
    fn report(&self, report: Report);
}

/// Response statistics of one version on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResponseStats {
    /// Number of requests sent.
    pub sent: f64,
    /// Number of finished requests, failed ones included.
    pub answered: f64,
    /// Number of failed requests, including those without a response.
    pub failed: f64,
    /// Number of successful responses that were long enough to measure their slowness.
    pub timed: f64,
    /// Sum of actual ÷ predicted duration over the `timed` responses.
    pub slowness_sum: f64,
}

impl ResponseStats {
    fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.failed += other.failed;
        self.timed += other.timed;
        self.slowness_sum += other.slowness_sum;
    }

    fn failure_rate(&self) -> f64 {
        self.failed / self.answered.max(1.0)
    }

    fn mean_slowness(&self) -> f64 {
        self.slowness_sum / self.timed.max(1.0)
    }
}

/// Response statistics of the new and the old versions on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Comparison {
    /// Statistics of the new version.
    pub new: ResponseStats,
    /// Statistics of all other versions.
    pub old: ResponseStats,
}

impl Comparison {
    fn add(&mut self, other: &Self) {
        self.new.add(&other.new);
        self.old.add(&other.old);
    }

    /// Describes the fault of the new version, if one is detected.
    fn fault(&self) -> Option<String> {
        let (new, old) = (&self.new, &self.old);
        if new.answered < MIN_RESPONSES {
            return None;
        }
        let (new_rate, old_rate) = (new.failure_rate(), old.failure_rate());
        let assumed_rate = old_rate.max(MIN_ASSUMED_FAILURE_RATE);
        let standard_error = (assumed_rate * (1.0 - assumed_rate).max(0.05) / new.answered).sqrt();
        let is_significant = new.failed >= MIN_FAILURES
            && new_rate - old_rate > MIN_STANDARD_ERRORS * standard_error;
        let exceeds_failure_rate = new_rate - old_rate > MAX_FAILURE_RATE_EXCESS && is_significant;
        let has_many_failures =
            new.failed >= MAX_FAILURES && new_rate > 2.0 * old_rate + MIN_FAILURE_RATE_EXCESS;
        if exceeds_failure_rate || has_many_failures {
            return Some(format!(
                "{} of {} responses failed; failure rate of the old version: {:.3}",
                new.failed, new.answered, old_rate
            ));
        }
        let is_comparable = old.timed >= MIN_RESPONSES && new.timed >= MIN_RESPONSES;
        let ratio = new.mean_slowness() / old.mean_slowness().max(f64::MIN_POSITIVE);
        (is_comparable && ratio > MAX_SLOWNESS_RATIO)
            .then(|| format!("responses took {ratio:.2} times as long as those of the old version"))
    }
}

/// The group of endpoints that a request may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Endpoints of the new version.
    New,
    /// Endpoints of all other versions.
    Old,
}

/// One entry's view of one rollout.
#[derive(Debug)]
pub struct Rollout {
    order: RolloutOrder,
    started_at: Monotonic,
    limits: ExposureLimits,
    local: BTreeMap<RouteName, Comparison>,
    peers: HashMap<EntryName, BTreeMap<RouteName, Comparison>>,
    verdict: Option<RolloutOutcome>,
}

impl Rollout {
    /// Starts a rollout.
    #[must_use]
    pub fn new(now: Monotonic, order: RolloutOrder, limits: ExposureLimits) -> Self {
        let verdict = order.ended;
        Self {
            order,
            started_at: now,
            limits,
            local: BTreeMap::new(),
            peers: HashMap::new(),
            verdict,
        }
    }

    /// Returns the order.
    #[must_use]
    pub const fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Sets the outcome reported by other entries, if there is one.
    pub fn set_ended(&mut self, ended: Option<RolloutOutcome>) {
        self.verdict = ended.or(self.verdict);
    }

    /// Returns the outcome, if decided.
    #[must_use]
    pub const fn verdict(&self) -> Option<RolloutOutcome> {
        self.verdict
    }

    /// Returns the group of endpoints that a version belongs to.
    #[must_use]
    pub fn side_of(&self, version: &VersionName) -> Side {
        if *version == self.order.target {
            Side::New
        } else {
            Side::Old
        }
    }

    /// Returns whether the rollout no longer restricts which endpoints are used.
    #[must_use]
    pub fn is_over(&self, now: Monotonic) -> bool {
        let released_at = self.started_at + self.order.duration + COMPLETED_HOLD_TIME;
        self.verdict == Some(RolloutOutcome::Completed) && now > released_at
    }

    /// Chooses the group of endpoints for the next request; `draw` is a random number from 0 to 1.
    #[must_use]
    pub fn choose_side(&self, now: Monotonic, draw: f64, entries: u32) -> Side {
        match self.verdict {
            Some(RolloutOutcome::Completed) => Side::New,
            None if self.is_fully_shifted(now) => Side::New,
            None if draw < self.trial_share(entries) => Side::New,
            Some(RolloutOutcome::RolledBack) | None => Side::Old,
        }
    }

    /// Counts a request that is sent to an endpoint.
    pub fn count_sent(&mut self, route: &RouteName, version: &VersionName) {
        let side = self.side_of(version);
        self.stats_mut(route, side).sent += 1.0;
    }

    /// Counts a response, or a request that got none; `slowness` is not finite if not measured.
    pub fn count_response(
        &mut self,
        route: &RouteName,
        version: &VersionName,
        is_failure: bool,
        slowness: f64,
    ) {
        let side = self.side_of(version);
        let stats = self.stats_mut(route, side);
        stats.answered += 1.0;
        if is_failure {
            stats.failed += 1.0;
        } else if slowness.is_finite() {
            stats.timed += 1.0;
            stats.slowness_sum += slowness;
        }
    }

    /// Returns this entry's statistics, to report to other entries.
    #[must_use]
    pub fn local_stats(&self) -> Vec<(RouteName, Comparison)> {
        let local = self.local.iter();
        local.map(|(route, c)| (route.clone(), *c)).collect()
    }

    /// Replaces another entry's statistics, which it counts from its start.
    pub fn apply_peer_stats(&mut self, entry: &EntryName, stats: Vec<(RouteName, Comparison)>) {
        self.peers
            .insert(entry.clone(), stats.into_iter().collect());
    }

    /// Decides whether the rollout ends, and returns the report if it does.
    ///
    /// `old_in_flight` is the number of this entry's requests in flight at old endpoints.
    pub fn advance(&mut self, now: Monotonic, old_in_flight: u32) -> Option<Report> {
        if self.verdict.is_some() {
            return None;
        }
        if let Some(reason) = self.fault() {
            self.verdict = Some(RolloutOutcome::RolledBack);
            return Some(self.report(reason));
        }
        let elapsed = now.since(self.started_at);
        let is_drained =
            old_in_flight == 0 && elapsed > self.order.duration.mul_f64(FULL_SHIFT_AT_RATIO + 0.08);
        let is_due = elapsed > self.order.duration.mul_f64(REPORT_AT_RATIO);
        let has_enough_responses = self.total().new.answered >= MIN_RESPONSES;
        if has_enough_responses && (is_due || is_drained) {
            self.verdict = Some(RolloutOutcome::Completed);
            let reason = format!(
                "no fault detected in {} responses",
                self.total().new.answered
            );
            return Some(self.report(reason));
        }
        None
    }

    /// Returns a report of the current state.
    #[must_use]
    pub fn report(&self, reason: String) -> Report {
        Report {
            pool: self.order.pool.clone(),
            target: self.order.target.clone(),
            ended: self.verdict,
            reason,
        }
    }

    fn fault(&self) -> Option<String> {
        for (route, comparison) in self.by_route() {
            if let Some(fault) = comparison.fault() {
                return Some(format!("route {route:?}: {fault}"));
            }
        }
        self.total().fault()
    }

    fn by_route(&self) -> BTreeMap<RouteName, Comparison> {
        let mut all = self.local.clone();
        for (route, comparison) in self.peers.values().flatten() {
            all.entry(route.clone()).or_default().add(comparison);
        }
        all
    }

    fn total(&self) -> Comparison {
        let peers = self.peers.values().flat_map(BTreeMap::values);
        let mut total = Comparison::default();
        for comparison in self.local.values().chain(peers) {
            total.add(comparison);
        }
        total
    }

    /// Returns the share of requests for the new version, or 0 once the exposure limit is reached.
    fn trial_share(&self, entries: u32) -> f64 {
        let total = self.total();
        let all_sent = total.new.sent + total.old.sent;
        let allowed = USED_EXPOSURE_RATIO * (self.limits.share * all_sent + self.limits.slack);
        // Allows for requests that other entries have sent since their last report.
        let margin = f64::from(entries);
        if total.new.sent + margin > allowed {
            0.0
        } else {
            (self.limits.share * USED_EXPOSURE_RATIO).max(0.02)
        }
    }

    fn is_fully_shifted(&self, now: Monotonic) -> bool {
        let is_late = now.since(self.started_at) > self.order.duration.mul_f64(FULL_SHIFT_AT_RATIO);
        is_late && self.total().new.answered >= MIN_RESPONSES
    }

    fn stats_mut(&mut self, route: &RouteName, side: Side) -> &mut ResponseStats {
        let comparison = self.local.entry(route.clone()).or_default();
        match side {
            Side::New => &mut comparison.new,
            Side::Old => &mut comparison.old,
        }
    }
}
