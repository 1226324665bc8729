//! What an entry knows of one endpoint: work in flight, speed and health.

use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Monotonic;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::dispatcher::Restriction;
use crate::endpoint::Endpoint;
use crate::endpoint::EndpointKey;
use crate::endpoint::EndpointState;
use crate::endpoint::ReportedLoad;

/// Weight of a new sample in moving averages of speed.
const SPEED_SMOOTHING: f64 = 0.15;

/// Weight of a new sample in the moving average of failures.
const FAILURE_SMOOTHING: f64 = 0.2;

/// Moving average of failures above which an endpoint is avoided.
const EJECTION_FAILURE_RATE: f64 = 0.3;

/// How far an endpoint's failures must stand above its pool's before it is avoided.
const EJECTION_FAILURE_RATIO: f64 = 2.0;

/// Time for which an endpoint is avoided after its first failure to connect or to answer.
const MIN_EJECTION_TIME: Duration = Duration::from_millis(400);

/// Longest time for which an endpoint is avoided before it is tried again.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(3);

/// Part of the rank of an endpoint in another failure domain.
const REMOTE_DOMAIN_RANK: u64 = 1 << 63;

/// Age after which an endpoint's own report of its load no longer counts.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(400);

/// Age after which the work that other entries told of no longer counts.
const PEER_LOAD_TTL: Duration = Duration::from_secs(1);

/// How one dispatch ended, as far as the endpoint's health is concerned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// The whole answer came; the ratio is time taken ÷ time predicted at speed 1.
    Served {
        /// Time taken ÷ time predicted.
        slowness: f64,
    },
    /// The endpoint refused and proved that it did not run the request.
    Refused,
    /// The endpoint answered with a failure of its own.
    Failed,
    /// The connection broke before the answer was whole.
    Disconnected,
    /// Nothing came for so long that the endpoint may not live any more.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// The caller left, or the request was moved; this tells nothing about the endpoint.
    Neutral,
}

/// One endpoint as seen by this entry.
#[derive(Debug)]
pub struct EndpointTracker {
    endpoint: Arc<Endpoint>,
    key: EndpointKey,
    restriction: Restriction,
    rank: u64,
    tie_break_factor: f64,
    /// Whether the operator wants its failure domain to get nothing.
    is_evacuated: bool,
    cold_until: Monotonic,
    in_flight: u32,
    /// Since when there have been requests in flight.
    busy_since: Monotonic,
    /// When the last request was sent.
    last_dispatch_at: Option<Monotonic>,
    peer_load: u32,
    peer_load_at: Option<Monotonic>,
    /// The endpoint's last report, and this entry's requests in flight when it came.
    reported_load: Option<(Monotonic, ReportedLoad, u32)>,
    slowness: f64,
    failures: f64,
    consecutive_ejections: u32,
    ejected_until: Monotonic,
    last_activity_at: Monotonic,
}

impl EndpointTracker {
    /// Creates the lane of an endpoint of which nothing is known yet.
    ///
    /// `hash_seed` distinguishes the order in which this entry prefers equal endpoints; those
    /// that are near, in its own failure domain, come before all others.
    #[must_use]
    pub fn new(
        now: Monotonic,
        endpoint: Arc<Endpoint>,
        slowness: f64,
        hash_seed: u64,
        is_same_domain: bool,
    ) -> Self {
        let cold_until = now + cold_time_left(&endpoint);
        let name = endpoint.name.as_str().as_bytes();
        let hash = xxh3_64(name) ^ hash_seed;
        Self {
            key: EndpointKey::from(&endpoint.name),
            restriction: Restriction::default(),
            rank: (xxh3_64_with_seed(name, hash_seed) >> 1)
                | if is_same_domain {
                    0
                } else {
                    REMOTE_DOMAIN_RANK
                },
            tie_break_factor: 1.0 + (hash % 64) as f64 / 1_000.0,
            endpoint,
            is_evacuated: false,
            cold_until,
            in_flight: 0,
            busy_since: Monotonic::ZERO,
            last_dispatch_at: None,
            peer_load: 0,
            peer_load_at: None,
            reported_load: None,
            slowness,
            failures: 0.0,
            consecutive_ejections: 0,
            ejected_until: Monotonic::ZERO,
            last_activity_at: Monotonic::ZERO,
        }
    }

    /// Returns the endpoint's short identity.
    #[must_use]
    pub const fn key(&self) -> EndpointKey {
        self.key
    }

    /// Returns the endpoint's place in this entry's order; the lowest are its own.
    #[must_use]
    pub const fn rank(&self) -> u64 {
        self.rank
    }

    /// Returns the factor, slightly above 1, that keeps entries from choosing alike.
    #[must_use]
    pub const fn tie_break_factor(&self) -> f64 {
        self.tie_break_factor
    }

    /// Returns the endpoint.
    #[must_use]
    pub const fn endpoint(&self) -> &Arc<Endpoint> {
        &self.endpoint
    }

    /// Replaces what the registry says of the same incarnation.
    pub fn set_announced(&mut self, now: Monotonic, endpoint: Arc<Endpoint>) {
        if self.endpoint.cold != endpoint.cold {
            self.set_cold_until(now + cold_time_left(&endpoint));
        }
        self.endpoint = endpoint;
    }

    /// Notes until when the endpoint is cold.
    pub const fn set_cold_until(&mut self, until: Monotonic) {
        self.cold_until = until;
    }

    /// Tells whether the endpoint has started of late and bears little work.
    #[must_use]
    pub fn is_cold(&self, now: Monotonic) -> bool {
        now < self.cold_until
    }

    /// Tells whether nothing was sent for at least `interval`.
    #[must_use]
    pub fn is_idle_for(&self, now: Monotonic, interval: Duration) -> bool {
        self.last_dispatch_at
            .is_none_or(|at| now.since(at) >= interval)
    }

    /// Notes whether the operator wants the endpoint's failure domain to get nothing.
    pub const fn set_evacuated(&mut self, is_evacuated: bool) {
        self.is_evacuated = is_evacuated;
    }

    /// Takes in what the endpoint asked for.
    pub const fn set_restriction(&mut self, restriction: Restriction) {
        self.restriction = restriction;
    }

    /// Tells whether the endpoint takes new work, now or after a pause that it asked for.
    #[must_use]
    pub fn is_in_service(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
            && !self.restriction.is_draining
            && !self.is_evacuated
    }

    /// Tells whether the endpoint takes new work.
    #[must_use]
    pub fn is_ready(&self, now: Monotonic) -> bool {
        self.is_in_service() && self.restriction.allows_requests(now)
    }

    /// Returns until when the endpoint wants no new work.
    #[must_use]
    pub const fn paused_until(&self) -> Monotonic {
        self.restriction.paused_until
    }

    /// Returns this entry's requests in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the moving average of time taken ÷ time predicted.
    #[must_use]
    pub const fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Returns the moving average of failures.
    #[must_use]
    pub const fn failures(&self) -> f64 {
        self.failures
    }

    /// Counts a dispatch.
    pub const fn record_dispatch(&mut self, now: Monotonic) {
        if self.in_flight == 0 {
            self.busy_since = now;
        }
        self.last_dispatch_at = Some(now);
        self.in_flight += 1;
    }

    /// Notes that the endpoint sent something.
    pub const fn record_activity(&mut self, now: Monotonic) {
        self.last_activity_at = now;
    }

    /// Notes the end of a dispatch.
    pub fn record_dispatch_end(&mut self, now: Monotonic, outcome: Outcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Served { slowness } => self.record_success(now, slowness),
            Outcome::Refused => self.last_activity_at = now,
            Outcome::Failed => {
                self.last_activity_at = now;
                self.record_failure();
            }
            Outcome::Disconnected => self.record_failure(),
            Outcome::TimedOut => {
                self.record_failure();
                self.eject(now);
            }
            Outcome::Unreachable => self.eject(now),
            Outcome::Neutral => {}
        }
    }

    /// Takes in the load that the endpoint told with an answer.
    pub fn record_reported_load(&mut self, now: Monotonic, load: ReportedLoad) {
        self.reported_load = Some((now, load, self.in_flight));
    }

    /// Takes in how many requests the other entries have in flight there.
    pub const fn set_peer_load(&mut self, now: Monotonic, peer_load: u32) {
        self.peer_load = peer_load;
        self.peer_load_at = Some(now);
    }

    /// Estimates the requests that the endpoint has from all entries.
    ///
    /// What the other entries told counts while it is fresh; without it the endpoint's own report
    /// does.
    #[must_use]
    pub fn estimated_load(&self, now: Monotonic) -> u32 {
        let fresh_peer_load = self
            .peer_load_at
            .filter(|at| now.since(*at) < PEER_LOAD_TTL);
        let peer_load = if fresh_peer_load.is_some() {
            self.peer_load
        } else {
            self.peer_load_from_report(now)
        };
        self.in_flight.saturating_add(peer_load)
    }

    fn peer_load_from_report(&self, now: Monotonic) -> u32 {
        let fresh_report = self
            .reported_load
            .filter(|(at, ..)| now.since(*at) < REPORTED_LOAD_TTL);
        fresh_report.map_or(0, |(_, load, own)| {
            load.running
                .saturating_add(load.waiting)
                .saturating_sub(own)
        })
    }

    /// Returns how long ago the other entries told of their work.
    #[must_use]
    pub fn peer_load_age(&self, now: Monotonic) -> Option<Duration> {
        self.peer_load_at.map(|at| now.since(at))
    }

    /// Returns requests that the endpoint runs at once.
    #[must_use]
    pub fn concurrency_limit(&self) -> u32 {
        self.endpoint.slots.max(1)
    }

    /// Tells whether the endpoint is left alone for now, given its pool's failures.
    #[must_use]
    pub fn is_avoided(&self, now: Monotonic, pool_failures: f64) -> bool {
        let has_excess_failures =
            self.failures > EJECTION_FAILURE_RATE.max(EJECTION_FAILURE_RATIO * pool_failures);
        self.ejected_until > now || has_excess_failures
    }

    /// Tells whether nothing was heard for longer than `limit` although requests are in flight.
    #[must_use]
    pub fn is_stalled(&self, now: Monotonic, limit: Duration) -> bool {
        self.in_flight > 0 && now.since(self.busy_since.max(self.last_activity_at)) > limit
    }

    /// Tells whether the endpoint may get one more request, `extra` beyond its places.
    ///
    /// One that has failed to answer is tried with a single request.
    #[must_use]
    pub fn has_capacity(&self, now: Monotonic, extra: u32) -> bool {
        if self.consecutive_ejections > 0 {
            return self.in_flight == 0;
        }
        self.estimated_load(now) < self.concurrency_limit().saturating_add(extra)
    }

    /// Lets the moving average of failures fade, so that an avoided endpoint is tried again.
    pub fn decay_failures(&mut self, factor: f64) {
        self.failures *= factor;
    }

    fn record_success(&mut self, now: Monotonic, slowness: f64) {
        self.last_activity_at = now;
        self.consecutive_ejections = 0;
        self.ejected_until = Monotonic::ZERO;
        self.failures -= FAILURE_SMOOTHING * self.failures;
        let is_valid_sample = slowness.is_finite() && slowness > 0.0;
        if is_valid_sample && !self.is_cold(now) {
            self.slowness += SPEED_SMOOTHING * (slowness - self.slowness);
        }
    }

    /// Counts a failure.
    pub fn record_failure(&mut self) {
        self.failures += FAILURE_SMOOTHING * (1.0 - self.failures);
    }

    fn eject(&mut self, now: Monotonic) {
        let wait = MIN_EJECTION_TIME * 2_u32.pow(self.consecutive_ejections.min(4));
        self.consecutive_ejections += 1;
        self.ejected_until = self.ejected_until.max(now + wait.min(MAX_EJECTION_TIME));
    }
}

/// Returns how long an endpoint stays cold, from its announcement on.
fn cold_time_left(endpoint: &Endpoint) -> Duration {
    endpoint.cold.map_or(Duration::ZERO, |cold| cold.left)
}
