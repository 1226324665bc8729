//! Moves of a pool to a new version: bounded exposure, a verdict, and an end by the date.
//!
//! A new version gets a small share of requests until the verdict, concentrated on one of its
//! endpoints at a time so that faults that need load show as well. A version that was not found
//! bad gets all requests shortly before the end of its time; the move is reported as completed
//! once the old endpoints have nothing left. Every entry decides from its own answers and from
//! what the others tell; the first report stands. See `docs/design/platform.md`.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use eelgrassramp::EntryName;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;
use eelgrassramp::VersionName;

/// Part of the allowed exposure that is used.
const USED_EXPOSURE: f64 = 0.6;

/// Part of the move's time after which all requests go to a version that was not found bad.
const SHIFT_AT: f64 = 0.7;

/// Part of the move's time after which the move is reported even if old endpoints are busy.
const REPORT_AT: f64 = 0.88;

/// Answers of the new version that a verdict needs.
const MIN_ANSWERS: f64 = 8.0;

/// How far the new version's rate of failures may stand above the old one's.
const MAX_EXTRA_FAILURES: f64 = 0.12;

/// Standard errors by which a difference has to be beyond chance.
const SIGNIFICANCE: f64 = 4.5;

/// Least rate of failures that is reckoned with, as few answers tell a small one badly.
const MIN_BASE_RATE: f64 = 0.03;

/// Bad answers that a verdict on failures needs.
const MIN_BAD_ANSWERS: f64 = 4.0;

/// How many times as long the new version may take.
const MAX_SLOWNESS: f64 = 1.8;

/// Bad answers after which a version is bad whatever the old one does.
const MAX_BAD_ANSWERS: f64 = 40.0;

/// Part of bad answers that [`MAX_BAD_ANSWERS`] have to make.
const MIN_BAD_SHARE: f64 = 0.05;

/// Time after a completed move's end for which old endpoints get nothing.
const COMPLETED_LIFETIME: Duration = Duration::from_secs(5);

/// How much traffic a version may get before it is known to be good.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureLimits {
    /// Part of the pool's requests.
    pub share: f64,
    /// Requests on top.
    pub slack: f64,
}

/// An operator's order to move a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutOrder {
    /// Tells apart orders for the same pool and version.
    pub id: u64,
    /// The pool.
    pub pool: PoolName,
    /// The version that it moves to.
    pub target: VersionName,
    /// Time from the order to the end.
    pub duration: Duration,
    /// How it ended, when that is known.
    pub ended: Option<RolloutOutcome>,
}

/// How a move ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutOutcome {
    /// All requests go to the new version.
    Completed,
    /// The new version is bad and gets none.
    RolledBack,
}

/// What is told to the operator about a move.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The pool.
    pub pool: PoolName,
    /// The version that it moves to.
    pub target: VersionName,
    /// How it ended; `None` while it is in progress.
    pub ended: Option<RolloutOutcome>,
    /// Why, in words for the log.
    pub reason: String,
}

/// Takes reports to where operators read them.
pub trait ReportSink: std::fmt::Debug + Send + Sync {
    /// Takes a report; it is delivered later if that is not possible now.
    fn report(&self, report: Report);
}

/// Answers of one version on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResponseStats {
    /// Requests sent.
    pub sent: f64,
    /// Answers that came, good or bad.
    pub answered: f64,
    /// Failures, and requests that got no answer.
    pub failed: f64,
    /// Good answers that were long enough to tell their pace.
    pub timed: f64,
    /// Sum of time taken ÷ time predicted over the timed answers.
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

    fn bad_share(&self) -> f64 {
        self.failed / self.answered.max(1.0)
    }

    fn mean_slowness(&self) -> f64 {
        self.slowness_sum / self.timed.max(1.0)
    }
}

/// Answers of both versions on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Comparison {
    /// The version that the pool moves to.
    pub new: ResponseStats,
    /// All other versions.
    pub old: ResponseStats,
}

impl Comparison {
    fn add(&mut self, other: &Self) {
        self.new.add(&other.new);
        self.old.add(&other.old);
    }

    /// Tells what is wrong with the new version, if anything is.
    fn fault(&self) -> Option<String> {
        let (new, old) = (&self.new, &self.old);
        if new.answered < MIN_ANSWERS {
            return None;
        }
        let (p, q) = (new.bad_share(), old.bad_share());
        let base = q.max(MIN_BASE_RATE);
        let error = (base * (1.0 - base).max(0.05) / new.answered).sqrt();
        let is_beyond_chance = new.failed >= MIN_BAD_ANSWERS && p - q > SIGNIFICANCE * error;
        let is_failing = p - q > MAX_EXTRA_FAILURES && is_beyond_chance;
        let is_often_bad = new.failed >= MAX_BAD_ANSWERS && p > 2.0 * q + MIN_BAD_SHARE;
        if is_failing || is_often_bad {
            return Some(format!(
                "{} of {} answers were bad, against {:.3} of the old version's",
                new.failed, new.answered, q
            ));
        }
        let is_compared = old.timed >= MIN_ANSWERS && new.timed >= MIN_ANSWERS;
        let ratio = new.mean_slowness() / old.mean_slowness().max(f64::MIN_POSITIVE);
        (is_compared && ratio > MAX_SLOWNESS)
            .then(|| format!("answers took {ratio:.2} times as long as the old version's"))
    }
}

/// Which endpoints a request may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Those of the new version.
    New,
    /// Those of other versions.
    Old,
}

/// One move as one entry sees it.
#[derive(Debug)]
pub struct Rollout {
    order: RolloutOrder,
    began: Monotonic,
    limits: ExposureLimits,
    own: BTreeMap<RouteName, Comparison>,
    others: HashMap<EntryName, BTreeMap<RouteName, Comparison>>,
    verdict: Option<RolloutOutcome>,
}

impl Rollout {
    /// Begins a move.
    #[must_use]
    pub fn new(now: Monotonic, order: RolloutOrder, limits: ExposureLimits) -> Self {
        let verdict = order.ended;
        Self {
            order,
            began: now,
            limits,
            own: BTreeMap::new(),
            others: HashMap::new(),
            verdict,
        }
    }

    /// Returns the order.
    #[must_use]
    pub const fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Takes in how the move ended, as other entries reported it.
    pub fn set_ended(&mut self, ended: Option<RolloutOutcome>) {
        self.verdict = ended.or(self.verdict);
    }

    /// Returns the verdict, when there is one.
    #[must_use]
    pub const fn verdict(&self) -> Option<RolloutOutcome> {
        self.verdict
    }

    /// Tells whether an endpoint has the version that the pool moves to.
    #[must_use]
    pub fn side_of(&self, version: &VersionName) -> Side {
        if *version == self.order.target {
            Side::New
        } else {
            Side::Old
        }
    }

    /// Tells whether the move no longer limits which endpoints are used.
    #[must_use]
    pub fn is_over(&self, now: Monotonic) -> bool {
        let ended_at = self.began + self.order.duration + COMPLETED_LIFETIME;
        self.verdict == Some(RolloutOutcome::Completed) && now > ended_at
    }

    /// Chooses the side for the next request; `draw` is a random number from 0 to 1.
    #[must_use]
    pub fn choose_side(&self, now: Monotonic, draw: f64, entries: u32) -> Side {
        match self.verdict {
            Some(RolloutOutcome::Completed) => Side::New,
            None if self.is_shifting(now) => Side::New,
            None if draw < self.trial_share(entries) => Side::New,
            Some(RolloutOutcome::RolledBack) | None => Side::Old,
        }
    }

    /// Counts a request that is sent to an endpoint.
    pub fn count_sent(&mut self, route: &RouteName, version: &VersionName) {
        let side = self.side_of(version);
        self.answers(route, side).sent += 1.0;
    }

    /// Counts an answer, or that none came.
    pub fn count_answer(
        &mut self,
        route: &RouteName,
        version: &VersionName,
        is_bad: bool,
        slowness: f64,
    ) {
        let side = self.side_of(version);
        let answers = self.answers(route, side);
        answers.answered += 1.0;
        if is_bad {
            answers.failed += 1.0;
        } else if slowness.is_finite() {
            answers.timed += 1.0;
            answers.slowness_sum += slowness;
        }
    }

    /// Returns what this entry tells the others.
    #[must_use]
    pub fn local_stats(&self) -> Vec<(RouteName, Comparison)> {
        let own = self.own.iter();
        own.map(|(route, c)| (route.clone(), *c)).collect()
    }

    /// Takes in what another entry counted since its start.
    pub fn apply_peer_stats(&mut self, entry: &EntryName, usage: Vec<(RouteName, Comparison)>) {
        self.others
            .insert(entry.clone(), usage.into_iter().collect());
    }

    /// Decides whether the move ends; `old_in_flight` counts this entry's requests at old endpoints.
    pub fn advance(&mut self, now: Monotonic, old_in_flight: u32) -> Option<Report> {
        if self.verdict.is_some() {
            return None;
        }
        if let Some(reason) = self.fault() {
            self.verdict = Some(RolloutOutcome::RolledBack);
            return Some(self.report(reason));
        }
        let elapsed = now.since(self.began);
        let is_empty = old_in_flight == 0 && elapsed > self.order.duration.mul_f64(SHIFT_AT + 0.08);
        let is_due = elapsed > self.order.duration.mul_f64(REPORT_AT);
        let has_served = self.total().new.answered >= MIN_ANSWERS;
        if has_served && (is_due || is_empty) {
            self.verdict = Some(RolloutOutcome::Completed);
            let reason = format!("no fault in {} answers", self.total().new.answered);
            return Some(self.report(reason));
        }
        None
    }

    /// Returns the report of the move as it stands.
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
        let mut all = self.own.clone();
        for (route, comparison) in self.others.values().flatten() {
            all.entry(route.clone()).or_default().add(comparison);
        }
        all
    }

    fn total(&self) -> Comparison {
        let others = self.others.values().flat_map(BTreeMap::values);
        let mut total = Comparison::default();
        for comparison in self.own.values().chain(others) {
            total.add(comparison);
        }
        total
    }

    /// Returns this entry's share for the new version, zero once the bound in count is reached.
    fn trial_share(&self, entries: u32) -> f64 {
        let total = self.total();
        let all = total.new.sent + total.old.sent;
        let allowed = USED_EXPOSURE * (self.limits.share * all + self.limits.slack);
        // What others sent since they told of it is not in the total yet.
        let margin = f64::from(entries);
        if total.new.sent + margin > allowed {
            0.0
        } else {
            (self.limits.share * USED_EXPOSURE).max(0.02)
        }
    }

    fn is_shifting(&self, now: Monotonic) -> bool {
        let is_late = now.since(self.began) > self.order.duration.mul_f64(SHIFT_AT);
        is_late && self.total().new.answered >= MIN_ANSWERS
    }

    fn answers(&mut self, route: &RouteName, side: Side) -> &mut ResponseStats {
        let comparison = self.own.entry(route.clone()).or_default();
        match side {
            Side::New => &mut comparison.new,
            Side::Old => &mut comparison.old,
        }
    }
}
