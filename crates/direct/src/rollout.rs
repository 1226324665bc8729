//! Rollout of a new version in a pool, which ends as completed by a deadline or is rolled back.
//!
//! At first, the new version receives a small share of the requests. A version without a detected
//! fault receives all requests in the last part of the rollout's duration, and the rollout is
//! reported as completed once the old endpoints have no requests in flight. Every entry decides from
//! its own response statistics and those that the other entries report. The platform's store keeps
//! the outcome that is reported first; an outcome from the store or from another entry replaces an
//! entry's own. See `docs/design/platform.md`.

mod comparison;
mod decision;
mod order;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;
use eelgrassramp::VersionName;

pub use self::comparison::Comparison;
use self::comparison::MIN_RESPONSES;
pub use self::comparison::ResponseStats;
pub use self::decision::Decision;
pub use self::decision::RolloutOutcome;
pub use self::decision::Standing;
pub use self::order::OrderReference;
pub use self::order::RolloutOrder;

/// Fraction of the allowed exposure that is used.
const USED_EXPOSURE_RATIO: f64 = 0.6;

/// Fraction of the rollout's duration after which a version without a detected fault receives all
/// requests.
const ALL_TO_NEW_AT_RATIO: f64 = 0.7;

/// Fraction of the rollout's duration after which its completion is reported even if old endpoints
/// have requests in flight.
const REPORT_AT_RATIO: f64 = 0.88;

/// Time after a completed rollout's deadline during which old endpoints receive no requests.
const OLD_VERSION_BLOCK_TIME: Duration = Duration::from_secs(5);

/// Time after which an entry reports a roll-back that it took over from another entry and that the
/// store has not accepted yet, in case the other one cannot reach the store.
const ADOPTED_REPORT_DELAY: Duration = Duration::from_secs(2);

/// Limits on the requests that a new version may receive before it receives all of them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureLimits {
    /// Fraction of the pool's requests.
    pub share: f64,
    /// Number of requests allowed regardless of the number of the pool's requests.
    pub slack: f64,
}

/// Report to the operator about a rollout.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The order, as it was last read.
    pub order: RolloutOrder,
    /// Outcome; always known in reports of [`Rollout::advance`].
    pub outcome: Option<RolloutOutcome>,
    /// Human-readable reason for the log.
    pub reason: String,
}

/// Delivers reports to operators.
pub trait ReportSink: std::fmt::Debug + Send + Sync {
    /// Accepts a report and delivers it, later if that is not possible now.
    fn report(&self, report: Report);
}

/// What one entry counted during one rollout.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutCounts {
    /// The pool being rolled out.
    pub pool: PoolName,
    /// Revision at which the object of the order was created.
    pub id: u64,
    /// The order; `None` in messages of builds that name only the id.
    pub order: Option<OrderReference>,
    /// How the rollout ended; `None` if it has not ended yet.
    pub decision: Option<Decision>,
    /// Response statistics of both versions, by route.
    pub stats: Vec<(RouteName, Comparison)>,
}

/// The group of endpoints that a request may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionGroup {
    /// Endpoints of the new version.
    New,
    /// Endpoints of all other versions.
    Old,
}

type StatsByRoute = BTreeMap<RouteName, Comparison>;

/// One entry's view of one rollout.
#[derive(Debug)]
pub struct Rollout {
    order: RolloutOrder,
    /// Revision of the order's object when this entry first read this order. What an entry says that
    /// has read only earlier revisions is about an order before this one.
    first_revision: u64,
    started_at: Monotonic,
    limits: ExposureLimits,
    local: StatsByRoute,
    /// Statistics of the other entries, by entry and incarnation.
    peers: HashMap<EntryName, HashMap<u64, StatsByRoute>>,
    decision: Option<Decision>,
    /// When a decision of another entry was first found not to be in the store.
    adopted_at: Option<Monotonic>,
    /// Whether this entry has reported the decision.
    is_reported: bool,
}

impl Rollout {
    /// Starts a rollout.
    #[must_use]
    pub fn new(now: Monotonic, order: RolloutOrder, limits: ExposureLimits) -> Self {
        let decision = order.outcome.map(Decision::committed);
        Self {
            first_revision: order.revision,
            order,
            started_at: now,
            limits,
            local: BTreeMap::new(),
            peers: HashMap::new(),
            decision,
            adopted_at: None,
            is_reported: false,
        }
    }

    /// Returns the order.
    #[must_use]
    pub const fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Replaces the order by the same one as it was read again. Returns the report to repeat if the
    /// store has lost the outcome.
    pub fn update_order(&mut self, order: RolloutOrder) -> Option<Report> {
        let is_restored = order.epoch > self.order.epoch;
        if is_restored {
            self.first_revision = order.revision;
            self.decision = self.decision.map(|own| Decision::proposed(own.outcome));
        }
        let stored = order.outcome.map(Decision::committed);
        self.decision = stored.or(self.decision);
        self.order = order;
        (is_restored && stored.is_none() && self.decision.is_some())
            .then(|| self.report("the report was lost".to_owned()))
    }

    /// Returns the outcome; `None` while the rollout is in progress.
    #[must_use]
    pub fn outcome(&self) -> Option<RolloutOutcome> {
        self.decision.map(|decision| decision.outcome)
    }

    /// Returns the group of endpoints that a version belongs to.
    #[must_use]
    pub fn group_of(&self, version: &VersionName) -> VersionGroup {
        if *version == self.order.new_version {
            VersionGroup::New
        } else {
            VersionGroup::Old
        }
    }

    /// Returns whether the rollout no longer restricts which endpoints are used.
    #[must_use]
    pub fn is_over(&self, now: Monotonic) -> bool {
        let released_at = self.started_at + self.order.duration + OLD_VERSION_BLOCK_TIME;
        self.decision == Some(Decision::committed(RolloutOutcome::Completed)) && now > released_at
    }

    /// Chooses the group of endpoints for the next request; `draw` is a random number from 0 to 1.
    #[must_use]
    pub fn choose_group(&self, now: Monotonic, draw: f64, entries: u32) -> VersionGroup {
        match self.outcome() {
            Some(RolloutOutcome::Completed) => VersionGroup::New,
            None if self.sends_all_to_new(now) => VersionGroup::New,
            None if draw < self.exposure_share(entries) => VersionGroup::New,
            Some(RolloutOutcome::RolledBack) | None => VersionGroup::Old,
        }
    }

    /// Counts a request that was granted an endpoint and is about to be sent.
    pub fn count_sent(&mut self, route: &RouteName, version: &VersionName) {
        let group = self.group_of(version);
        self.stats_mut(route, group).sent += 1.0;
    }

    /// Counts a request that ended with or without a response; `slowness` is not finite if it was
    /// not measured.
    pub fn count_finished(
        &mut self,
        route: &RouteName,
        version: &VersionName,
        is_failure: bool,
        slowness: f64,
    ) {
        let group = self.group_of(version);
        let stats = self.stats_mut(route, group);
        stats.finished += 1.0;
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

    /// Returns what this entry counted, to report to other entries.
    #[must_use]
    pub fn local_counts(&self) -> RolloutCounts {
        RolloutCounts {
            pool: self.order.pool.clone(),
            id: self.order.id,
            order: Some(OrderReference::from(&self.order)),
            decision: self.decision,
            stats: self.local_stats(),
        }
    }

    /// Applies what another entry counted, if it is about the same order.
    ///
    /// An entry of a build that does not name the order may speak of an earlier one, so its outcome is
    /// not taken over; the store tells it. Returns the other entry's decision if it is taken over.
    pub fn apply_peer_counts(
        &mut self,
        entry: &EntryName,
        incarnation: u64,
        counts: RolloutCounts,
    ) -> Option<Decision> {
        let is_named = counts.order.is_some();
        let is_other = counts.order.is_some_and(|order| !self.is_order(&order));
        if counts.id != self.order.id || is_other {
            return None;
        }
        self.apply_peer_stats(entry, incarnation, counts.stats);
        let decision = counts.decision.filter(|_| is_named)?;
        self.take_over(decision)
    }

    fn take_over(&mut self, decision: Decision) -> Option<Decision> {
        if !decision.replaces(self.decision) {
            return None;
        }
        self.decision = Some(decision);
        self.adopted_at = None;
        self.is_reported = false;
        Some(decision)
    }

    fn is_order(&self, other: &OrderReference) -> bool {
        other.epoch == self.order.epoch
            && other.new_version == self.order.new_version
            && other.revision >= self.first_revision
    }

    /// Replaces the statistics of a process of another entry, which are cumulative since its start. Those
    /// of the entry's earlier processes still count.
    pub fn apply_peer_stats(
        &mut self,
        entry: &EntryName,
        incarnation: u64,
        stats: Vec<(RouteName, Comparison)>,
    ) {
        let stats = stats.into_iter().collect();
        let processes = self.peers.entry(entry.clone()).or_default();
        processes.insert(incarnation, stats);
    }

    /// Decides whether the rollout ends, and returns the report if it does.
    ///
    /// `old_in_flight` is the number of this entry's requests in flight at old endpoints.
    pub fn advance(&mut self, now: Monotonic, old_in_flight: u32) -> Option<Report> {
        match self.decision {
            None => self.decide(now, old_in_flight),
            Some(own) if own.is_committed() => None,
            Some(own) if own.outcome == RolloutOutcome::Completed => self.roll_back_if_faulty(),
            Some(_) => self.report_adopted(now),
        }
    }

    fn decide(&mut self, now: Monotonic, old_in_flight: u32) -> Option<Report> {
        if let Some(report) = self.roll_back_if_faulty() {
            return Some(report);
        }
        let elapsed = now.since(self.started_at);
        let is_drained =
            old_in_flight == 0 && elapsed > self.order.duration.mul_f64(ALL_TO_NEW_AT_RATIO + 0.08);
        let is_due = elapsed > self.order.duration.mul_f64(REPORT_AT_RATIO);
        let responses = self.total().new.finished;
        if responses < MIN_RESPONSES || !(is_due || is_drained) {
            return None;
        }
        let reason = format!("no fault detected in {responses} responses");
        Some(self.propose(RolloutOutcome::Completed, reason))
    }

    /// Proposes a roll-back if the new version has a fault. A completion that the store has not accepted
    /// is withdrawn by that.
    fn roll_back_if_faulty(&mut self) -> Option<Report> {
        let reason = self.fault()?;
        Some(self.propose(RolloutOutcome::RolledBack, reason))
    }

    fn propose(&mut self, outcome: RolloutOutcome, reason: String) -> Report {
        self.decision = Some(Decision::proposed(outcome));
        self.report(reason)
    }

    /// Reports a roll-back that another entry proposed, once the store should have accepted it.
    fn report_adopted(&mut self, now: Monotonic) -> Option<Report> {
        let adopted_at = *self.adopted_at.get_or_insert(now);
        let is_due = !self.is_reported && now.since(adopted_at) > ADOPTED_REPORT_DELAY;
        is_due.then(|| self.report("proposed by another entry, not in the store yet".to_owned()))
    }

    fn report(&mut self, reason: String) -> Report {
        self.is_reported = true;
        Report {
            order: self.order.clone(),
            outcome: self.outcome(),
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

    fn peer_stats(&self) -> impl Iterator<Item = &StatsByRoute> {
        self.peers.values().flat_map(HashMap::values)
    }

    fn by_route(&self) -> BTreeMap<RouteName, Comparison> {
        let mut all = self.local.clone();
        for (route, comparison) in self.peer_stats().flatten() {
            all.entry(route.clone()).or_default().add(comparison);
        }
        all
    }

    fn total(&self) -> Comparison {
        let peers = self.peer_stats().flat_map(BTreeMap::values);
        let mut total = Comparison::default();
        for comparison in self.local.values().chain(peers) {
            total.add(comparison);
        }
        total
    }

    /// Returns the share of requests for the new version, at least 2 %, or 0 once the exposure limit
    /// is reached.
    fn exposure_share(&self, entries: u32) -> f64 {
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

    /// Returns whether both versions receive requests, so that a request may go to either.
    #[must_use]
    pub fn is_sampling(&self, now: Monotonic) -> bool {
        self.decision.is_none() && !self.sends_all_to_new(now)
    }

    fn sends_all_to_new(&self, now: Monotonic) -> bool {
        let is_past_ramp =
            now.since(self.started_at) > self.order.duration.mul_f64(ALL_TO_NEW_AT_RATIO);
        is_past_ramp && self.total().new.finished >= MIN_RESPONSES
    }

    fn stats_mut(&mut self, route: &RouteName, group: VersionGroup) -> &mut ResponseStats {
        let comparison = self.local.entry(route.clone()).or_default();
        match group {
            VersionGroup::New => &mut comparison.new,
            VersionGroup::Old => &mut comparison.old,
        }
    }
}
