//! One pool: what waits for it, its endpoints, and the choice between them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::EndpointName;
use eelgrassramp::Monotonic;
use eelgrassramp::RouteName;

use super::DispatchRequest;
use super::Grant;
use super::QueueEvent;
use super::cold::PeerEntries;
use super::retry_after;
use crate::endpoint::Endpoint;
use crate::endpoint_tracker::EndpointTracker;
use crate::endpoint_tracker::Outcome;
use crate::request_queue::Class;
use crate::request_queue::QueuedRequest;
use crate::request_queue::RequestQueue;
use crate::rollout::Report;
use crate::rollout::Rollout;
use crate::rollout::Side;

/// How much longer an answer takes at an endpoint whose places are all taken.
const FULL_PENALTY: f64 = 0.5;

/// How much an endpoint in another failure domain counts as slower, for bytes between domains.
const OTHER_DOMAIN_PENALTY: f64 = 1.1;

/// Requests that an endpoint may hold beyond its places, by the rank of their route.
///
/// The next place to come free goes to the request that waits inside the endpoint already, so
/// only the most urgent may.
const EXTRA_PLACES: [u32; 1] = [1];

/// Time without any answer after which an endpoint counts as stalled.
const STALL: Duration = Duration::from_millis(800);

/// Time in which the moving averages of failures halve.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Most of a pool's endpoints that may be avoided at once.
const MAX_AVOIDED_SHARE: f64 = 0.5;

/// Entries that use the same endpoint before others.
const ENTRIES_PER_ENDPOINT: f64 = 6.0;

/// Free places that an endpoint of other entries must have.
const SPARE_PLACES: u32 = 2;

/// One pool as one entry sees it.
#[derive(Debug, Default)]
pub(super) struct PoolState {
    pub(super) lanes: BTreeMap<EndpointName, EndpointTracker>,
    pub(super) line: RequestQueue<DispatchRequest>,
    pub(super) rollout: Option<Rollout>,
    /// Requests a second that a cold endpoint bears; `None` when they are not limited.
    pub(super) cold_rate: Option<f64>,
    faded_at: Monotonic,
}

/// What is the same for all pools of an entry.
#[derive(Debug)]
pub(super) struct View {
    /// Distinguishes this entry's order of preference among equal endpoints.
    pub(super) preference: u64,
    /// Entries that share the endpoints, this one included.
    pub(super) entries: u32,
    /// The entries that are known, heard or not.
    pub(super) colleagues: PeerEntries,
    /// The entry's failure domain.
    pub(super) domain: Box<str>,
}

impl PoolState {
    pub(super) fn retain(&mut self, endpoints: &[Arc<Endpoint>]) {
        self.lanes.retain(|_, lane| {
            endpoints
                .iter()
                .any(|e| e.is_same_incarnation(lane.endpoint()))
        });
    }

    /// Returns when the first endpoint takes work again, while all of them asked for a pause.
    pub(super) fn paused_until(&self, now: Monotonic) -> Option<Monotonic> {
        let staying = self.lanes.values().filter(|lane| lane.is_staying());
        let until = staying.map(EndpointTracker::paused_until).min();
        until.filter(|until| *until > now)
    }

    /// Tells a request that waited for nothing when it may come back.
    pub(super) fn expired(
        &self,
        now: Monotonic,
        waiting: &QueuedRequest<DispatchRequest>,
    ) -> QueueEvent {
        let ticket = &waiting.item;
        let wait = self.line.time_to_catch_up(now, &ticket.class);
        let wait = wait.max(now.since(waiting.arrived));
        QueueEvent::Expired(waiting.seq, retry_after(wait, ticket))
    }

    pub(super) fn median_slowness(&self) -> f64 {
        let mut all: Vec<f64> = self.lanes.values().map(EndpointTracker::slowness).collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(1.0)
    }

    /// Keeps the endpoints that this entry uses before others, as long as any of them is free.
    ///
    /// Entries hear late of each other's work, so a place that becomes free would be taken by
    /// several at once if all of them looked at the same endpoints.
    fn prefer_own<'a>(
        &self,
        now: Monotonic,
        usable: Vec<&'a EndpointTracker>,
        view: &View,
    ) -> Vec<&'a EndpointTracker> {
        let own_count = view.own_endpoints(self.lanes.len());
        if own_count >= self.lanes.len() {
            return usable;
        }
        let mut ranks: Vec<u64> = self.lanes.values().map(EndpointTracker::rank).collect();
        let (_, limit, _) = ranks.select_nth_unstable(own_count);
        let is_own = |lane: &&EndpointTracker| lane.rank() < *limit;
        let (own, others): (Vec<_>, Vec<_>) = usable.into_iter().partition(is_own);
        if !own.is_empty() {
            return own;
        }
        let others = others.into_iter();
        others
            .filter(|lane| lane.busy(now).saturating_add(SPARE_PLACES) <= lane.slots())
            .collect()
    }

    /// Lets failures fade since the last call.
    pub(super) fn fade_failures(&mut self, now: Monotonic) {
        let age = now.since(self.faded_at).as_secs_f64();
        let factor = 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64());
        self.faded_at = now;
        for lane in self.lanes.values_mut() {
            lane.fade_failures(factor);
        }
    }

    /// Chooses between versions; one without an endpoint that takes work leaves the other.
    fn side(&self, now: Monotonic, ticket: &DispatchRequest, view: &View) -> Side {
        let Some(rollout) = &self.rollout else {
            return Side::Old;
        };
        let chosen = rollout.choose(now, ticket.draw, view.entries);
        let mut ready = self.lanes.values().filter(|lane| lane.is_ready(now));
        let is_there = ready.any(|lane| rollout.side_of(&lane.endpoint().version) == chosen);
        match (chosen, is_there) {
            (Side::New, false) => Side::Old,
            (side, _) => side,
        }
    }

    pub(super) fn judge(&mut self, endpoint: &Endpoint, route: &RouteName, outcome: Outcome) {
        let Some(rollout) = &mut self.rollout else {
            return;
        };
        let (is_bad, slowness) = match outcome {
            Outcome::Served { slowness } => (false, slowness),
            Outcome::Failed | Outcome::Lost | Outcome::Silent => (true, f64::NAN),
            Outcome::Refused | Outcome::Unreachable | Outcome::Neutral => return,
        };
        rollout.count_answer(route, &endpoint.version, is_bad, slowness);
    }

    pub(super) fn advance(&mut self, now: Monotonic) -> Option<Report> {
        let rollout = self.rollout.as_mut()?;
        if rollout.is_over(now) {
            self.rollout = None;
            return None;
        }
        let old = self.lanes.values().filter(|lane| {
            let version = &lane.endpoint().version;
            rollout.side_of(version) == Side::Old
        });
        let old_in_flight = old.map(EndpointTracker::in_flight).sum();
        rollout.advance(now, old_in_flight)
    }

    fn mean_failures(&self) -> f64 {
        let n = self.lanes.len().max(1) as f64;
        self.lanes
            .values()
            .map(EndpointTracker::failures)
            .sum::<f64>()
            / n
    }

    pub(super) fn hand_out(&mut self, now: Monotonic, view: &View, wakes: &mut Vec<QueueEvent>) {
        while let Some(first) = self.line.next_class(now) {
            let mut classes = vec![first.clone()];
            classes.extend(self.line.classes_after(&first));
            let granted = classes
                .into_iter()
                .find_map(|class| self.grant_front(now, &class, view));
            match granted {
                Some(wake) => wakes.push(wake),
                None => return,
            }
        }
    }

    fn grant_front(&mut self, now: Monotonic, class: &Class, view: &View) -> Option<QueueEvent> {
        let ticket = self.line.front(class)?.item.clone();
        let grant = self.place(now, &ticket, view)?;
        self.line.pop(now, class);
        Some(QueueEvent::Granted(ticket.seq, grant))
    }

    /// Tells whether this entry may send one more request to an endpoint that may be cold.
    fn bears_more(&self, now: Monotonic, lane: &EndpointTracker, view: &View) -> bool {
        let Some(rate) = self.cold_rate.filter(|_| lane.is_cold(now)) else {
            return true;
        };
        let (own, name) = (view.preference, &lane.endpoint().name);
        let interval = view.colleagues.interval(now, own, name, rate);
        interval.is_some_and(|interval| lane.has_rested(now, interval))
    }

    /// Chooses the endpoint that is predicted to answer first among those with a free place.
    pub(super) fn place(
        &mut self,
        now: Monotonic,
        ticket: &DispatchRequest,
        view: &View,
    ) -> Option<Grant> {
        let failures = self.mean_failures();
        let extra = extra_places(ticket);
        let ready = || self.lanes.values().filter(|l| l.is_ready(now));
        let avoided =
            |lane: &EndpointTracker| lane.is_avoided(now, failures) || lane.is_stalled(now, STALL);
        let total = ready().count() as f64;
        let is_trusted = ready().filter(|l| avoided(l)).count() as f64 <= MAX_AVOIDED_SHARE * total;
        let side = self.side(now, ticket, view);
        let is_meant = |lane: &EndpointTracker| {
            let rollout = self.rollout.as_ref();
            rollout.is_none_or(|r| r.side_of(&lane.endpoint().version) == side)
        };
        let usable = ready()
            .filter(|lane| is_meant(lane))
            .filter(|lane| !ticket.tried.contains(&lane.endpoint().name))
            .filter(|lane| lane.has_place(now, extra))
            .filter(|lane| self.bears_more(now, lane, view))
            .filter(|lane| !(is_trusted && avoided(lane)));
        let usable = self.prefer_own(now, prefer_warm(now, usable.collect()), view);
        let best = usable
            .into_iter()
            .map(|lane| (view.score(now, lane), lane))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, lane)| lane.endpoint().name.clone())?;
        let lane = self.lanes.get_mut(&best)?;
        let avoided = lane.is_avoided(now, failures);
        lane.start(now);
        if let Some(rollout) = &mut self.rollout {
            let version = &lane.endpoint().version;
            rollout.count_sent(&ticket.class.route, version);
        }
        Some(Grant {
            seq: ticket.seq,
            route: ticket.class.route.clone(),
            endpoint: Arc::clone(lane.endpoint()),
            busy: lane.busy(now),
            slowness: lane.slowness(),
            others_age: lane.others_age(now),
            avoided,
        })
    }
}

impl View {
    /// Returns how many of `all` endpoints this entry uses before others.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float cast saturates, and neither factor is negative"
    )]
    fn own_endpoints(&self, all: usize) -> usize {
        let own = ENTRIES_PER_ENDPOINT * all as f64 / f64::from(self.entries.max(1));
        own.ceil() as usize
    }

    /// Returns the predicted slowness of one more request at an endpoint.
    ///
    /// Entries prefer different ones among nearly equal endpoints, so that two of them seldom
    /// take the same free place.
    fn score(&self, now: Monotonic, lane: &EndpointTracker) -> f64 {
        let fullness = f64::from(lane.busy(now)) / f64::from(lane.slots());
        let distance = if lane.endpoint().domain.as_str() == &*self.domain {
            1.0
        } else {
            OTHER_DOMAIN_PENALTY
        };
        lane.slowness() * (1.0 + FULL_PENALTY * fullness) * distance * lane.spread()
    }
}

/// Leaves cold endpoints out as long as there is any other.
fn prefer_warm(now: Monotonic, usable: Vec<&EndpointTracker>) -> Vec<&EndpointTracker> {
    let (cold, warm): (Vec<_>, Vec<_>) = usable.into_iter().partition(|lane| lane.is_cold(now));
    if warm.is_empty() { cold } else { warm }
}

fn extra_places(ticket: &DispatchRequest) -> u32 {
    let rank = usize::try_from(ticket.class.urgency.route).unwrap_or(usize::MAX);
    EXTRA_PLACES.get(rank).copied().unwrap_or(0)
}
