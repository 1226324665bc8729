//! State that an entry tracks for one endpoint: load, slowness and health.

use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Monotonic;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::dispatcher::Restriction;
use crate::endpoint::Endpoint;
use crate::endpoint::EndpointKey;
use crate::endpoint::EndpointState;
use crate::endpoint::IncarnationKey;
use crate::endpoint::ReportedLoad;

/// Weight of a new sample in the moving average of slowness.
const SLOWNESS_SMOOTHING: f64 = 0.15;

/// Weight of a new sample in the moving average of failures.
const FAILURE_SMOOTHING: f64 = 0.2;

/// Moving average of failures above which an endpoint is avoided.
const AVOID_FAILURE_RATE: f64 = 0.3;

/// Ratio of the failure rate to the pool's mean above which an endpoint is avoided.
const AVOID_FAILURE_RATIO: f64 = 2.0;

/// Ejection time after the first failure to connect or to respond; doubles with each further one.
const INITIAL_EJECTION_TIME: Duration = Duration::from_millis(400);

const MAX_EJECTION_TIME: Duration = Duration::from_secs(3);

/// Added to the preference of an endpoint in another failure domain, to order it last.
const OTHER_DOMAIN_PREFERENCE: u64 = 1 << 63;

/// Age after which the load reported by the endpoint itself is ignored.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(400);

/// Age after which the load reported by the other entries is ignored.
const PEER_LOAD_TTL: Duration = Duration::from_secs(1);

/// How one dispatch ended, as far as it concerns the endpoint's health.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DispatchEnd {
    /// The response is complete.
    Served {
        /// Time taken ÷ time predicted.
        slowness: f64,
    },
    /// The endpoint refused the request and confirmed that it did not execute it.
    Refused,
    /// The endpoint responded with a server error.
    Failed,
    /// The connection broke before the response was complete, or the response did not match the
    /// request.
    Disconnected,
    /// The endpoint sent nothing for too long and may no longer be running.
    TimedOut,
    /// No connection could be established, or the request reached another endpoint than the
    /// intended one.
    Unreachable,
    /// Says nothing about the endpoint's health: the caller disconnected, the deadline passed before
    /// the request was sent or after the response head arrived, or the endpoint stopped accepting
    /// requests before this one was sent.
    Neutral,
}

/// State of one endpoint as seen by this entry.
#[derive(Debug)]
pub struct EndpointTracker {
    endpoint: Arc<Endpoint>,
    key: EndpointKey,
    incarnation: IncarnationKey,
    restriction: Restriction,
    preference: u64,
    tie_break_factor: f64,
    /// Whether the operator evacuated its failure domain.
    is_evacuated: bool,
    cold_until: Monotonic,
    in_flight: u32,
    /// Time since which requests are in flight without interruption.
    busy_since: Monotonic,
    /// Time of the last dispatch.
    last_dispatch_at: Option<Monotonic>,
    peer_load: u32,
    peer_load_at: Option<Monotonic>,
    /// Time and content of the endpoint's last load report, and this entry's requests in flight at
    /// that time.
    reported_load: Option<(Monotonic, ReportedLoad, u32)>,
    /// Number of this entry's requests for which the endpoint had room at its last report, those in
    /// flight included.
    shown_room: u32,
    slowness: f64,
    failure_rate: f64,
    consecutive_ejections: u32,
    ejected_until: Monotonic,
    last_activity_at: Monotonic,
}

impl EndpointTracker {
    /// Creates the state of an endpoint that has not been used yet.
    ///
    /// `hash_seed` gives each entry its own order of preference among equal endpoints; those in the
    /// entry's own failure domain (`is_same_domain`) come before all others.
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
            incarnation: IncarnationKey::from(&*endpoint),
            restriction: Restriction::default(),
            preference: (xxh3_64_with_seed(name, hash_seed) >> 1)
                | if is_same_domain {
                    0
                } else {
                    OTHER_DOMAIN_PREFERENCE
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
            shown_room: 0,
            slowness,
            failure_rate: 0.0,
            consecutive_ejections: 0,
            ejected_until: Monotonic::ZERO,
            last_activity_at: Monotonic::ZERO,
        }
    }

    /// Returns the hash that identifies the endpoint in messages between entries.
    #[must_use]
    pub const fn key(&self) -> EndpointKey {
        self.key
    }

    /// Returns the hash that identifies this incarnation of the endpoint.
    #[must_use]
    pub const fn incarnation(&self) -> IncarnationKey {
        self.incarnation
    }

    /// Returns the place in this entry's order of preference; the lowest ones are preferred.
    #[must_use]
    pub const fn preference(&self) -> u64 {
        self.preference
    }

    /// Returns a factor slightly above 1 that makes entries choose differently among equal
    /// endpoints.
    #[must_use]
    pub const fn tie_break_factor(&self) -> f64 {
        self.tie_break_factor
    }

    /// Returns the endpoint.
    #[must_use]
    pub const fn endpoint(&self) -> &Arc<Endpoint> {
        &self.endpoint
    }

    /// Replaces the registry's description of the same incarnation.
    pub fn set_announced(&mut self, now: Monotonic, endpoint: Arc<Endpoint>) {
        if self.endpoint.cold != endpoint.cold {
            self.set_cold_until(now + cold_time_left(&endpoint));
        }
        self.endpoint = endpoint;
    }

    /// Sets the time until which the endpoint is cold.
    pub const fn set_cold_until(&mut self, until: Monotonic) {
        self.cold_until = until;
    }

    /// Returns whether the endpoint has started recently and can handle only few requests.
    #[must_use]
    pub fn is_cold(&self, now: Monotonic) -> bool {
        now < self.cold_until
    }

    /// Returns whether this entry granted no request the endpoint for at least `interval`; earlier
    /// ones may still be in flight.
    #[must_use]
    pub fn has_no_dispatch_within(&self, now: Monotonic, interval: Duration) -> bool {
        self.last_dispatch_at
            .is_none_or(|at| now.since(at) >= interval)
    }

    /// Sets whether the operator evacuated the endpoint's failure domain.
    pub const fn set_evacuated(&mut self, is_evacuated: bool) {
        self.is_evacuated = is_evacuated;
    }

    /// Sets the restriction that the endpoint requested.
    pub const fn set_restriction(&mut self, restriction: Restriction) {
        self.restriction = restriction;
    }

    /// Returns whether the endpoint is announced as ready, did not report draining and is not
    /// evacuated; it may have asked for a backoff.
    #[must_use]
    pub fn is_in_service(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
            && !self.restriction.is_draining
            && !self.is_evacuated
    }

    /// Returns whether the endpoint is in service and did not ask for a backoff.
    #[must_use]
    pub fn accepts_requests(&self, now: Monotonic) -> bool {
        self.is_in_service() && self.restriction.allows_requests(now)
    }

    /// Returns the time until which the endpoint asked for no requests.
    #[must_use]
    pub const fn backoff_until(&self) -> Monotonic {
        self.restriction.backoff_until
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
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Records that a request was granted this endpoint.
    pub const fn record_dispatch(&mut self, now: Monotonic) {
        if self.in_flight == 0 {
            self.busy_since = now;
        }
        self.last_dispatch_at = Some(now);
        self.in_flight += 1;
    }

    /// Records that the endpoint sent data.
    pub const fn record_activity(&mut self, now: Monotonic) {
        self.last_activity_at = now;
    }

    /// Records how a dispatch ended.
    pub fn record_dispatch_end(&mut self, now: Monotonic, end: DispatchEnd) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match end {
            DispatchEnd::Served { slowness } => self.record_success(now, slowness),
            DispatchEnd::Refused => self.last_activity_at = now,
            DispatchEnd::Failed => {
                self.last_activity_at = now;
                self.record_failure();
            }
            DispatchEnd::Disconnected => self.record_failure(),
            DispatchEnd::TimedOut => {
                self.record_failure();
                self.eject(now);
            }
            DispatchEnd::Unreachable => self.eject(now),
            DispatchEnd::Neutral => {}
        }
    }

    /// Records the load that the endpoint reported with a response.
    pub fn record_reported_load(&mut self, now: Monotonic, load: ReportedLoad) {
        self.reported_load = Some((now, load, self.in_flight));
        let taken = load.running.saturating_add(load.queued);
        self.shown_room = self.in_flight + load.slots.saturating_sub(taken);
    }

    /// Records that the endpoint responded without reporting its load.
    pub const fn record_no_reported_load(&mut self) {
        self.shown_room = u32::MAX;
    }

    /// Sets the number of requests that the other entries have in flight at the endpoint.
    pub const fn set_peer_load(&mut self, now: Monotonic, peer_load: u32) {
        self.peer_load = peer_load;
        self.peer_load_at = Some(now);
    }

    /// Estimates the number of requests at the endpoint from all entries.
    ///
    /// Uses the load reported by the other entries while it is fresh, and otherwise the endpoint's
    /// own report.
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
            load.running.saturating_add(load.queued).saturating_sub(own)
        })
    }

    /// Returns the age of the load reported by the other entries.
    #[must_use]
    pub fn peer_load_age(&self, now: Monotonic) -> Option<Duration> {
        self.peer_load_at.map(|at| now.since(at))
    }

    /// Returns the number of requests that the endpoint executes concurrently.
    #[must_use]
    pub fn concurrency_limit(&self) -> u32 {
        self.endpoint.slots.max(1)
    }

    /// Returns whether the endpoint should be avoided: it is ejected, or fails more often than its
    /// pool, whose mean failure rate is `pool_failure_rate`.
    #[must_use]
    pub fn is_avoided(&self, now: Monotonic, pool_failure_rate: f64) -> bool {
        let has_excess_failure_rate =
            self.failure_rate > AVOID_FAILURE_RATE.max(AVOID_FAILURE_RATIO * pool_failure_rate);
        self.ejected_until > now || has_excess_failure_rate
    }

    /// Returns whether requests are in flight and no data arrived for longer than `limit`.
    #[must_use]
    pub fn is_stalled(&self, now: Monotonic, limit: Duration) -> bool {
        self.in_flight > 0 && now.since(self.busy_since.max(self.last_activity_at)) > limit
    }

    /// Returns whether the endpoint may receive one more request, allowing `extra` beyond its
    /// concurrency limit.
    ///
    /// After a failure to connect or to respond, the endpoint is probed with a single request.
    #[must_use]
    pub fn has_capacity(&self, now: Monotonic, extra: u32) -> bool {
        if self.consecutive_ejections > 0 {
            return self.in_flight == 0;
        }
        self.estimated_load(now) < self.concurrency_limit().saturating_add(extra)
    }

    /// Returns whether an entry that hears of no other one may send one more request: no more are there
    /// than the endpoint itself last showed room for, or it does not report its load.
    ///
    /// Without that, such an entry would take a full endpoint for empty each time the last report has
    /// expired, and fill it up.
    #[must_use]
    pub fn has_shown_room(&self) -> bool {
        self.in_flight < self.shown_room.max(1)
    }

    /// Decays the moving average of the failure rate, so that an avoided endpoint is tried again.
    pub fn decay_failure_rate(&mut self, factor: f64) {
        self.failure_rate *= factor;
    }

    fn record_success(&mut self, now: Monotonic, slowness: f64) {
        self.last_activity_at = now;
        self.consecutive_ejections = 0;
        self.ejected_until = Monotonic::ZERO;
        self.failure_rate -= FAILURE_SMOOTHING * self.failure_rate;
        let is_valid_sample = slowness.is_finite() && slowness > 0.0;
        if is_valid_sample && !self.is_cold(now) {
            self.slowness += SLOWNESS_SMOOTHING * (slowness - self.slowness);
        }
    }

    /// Counts a failure.
    pub fn record_failure(&mut self) {
        self.failure_rate += FAILURE_SMOOTHING * (1.0 - self.failure_rate);
    }

    fn eject(&mut self, now: Monotonic) {
        let wait = INITIAL_EJECTION_TIME * 2_u32.pow(self.consecutive_ejections.min(4));
        self.consecutive_ejections += 1;
        self.ejected_until = self.ejected_until.max(now + wait.min(MAX_EJECTION_TIME));
    }
}

/// Returns the remaining cold time, counted from the announcement.
fn cold_time_left(endpoint: &Endpoint) -> Duration {
    endpoint.cold.map_or(Duration::ZERO, |cold| cold.left)
}
