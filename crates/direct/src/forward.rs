//! Takes one request from a caller to an endpoint and its answer back.

mod failure;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::EndpointName;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use http::HeaderMap;
use http::Method;
use http::Uri;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;

use self::failure::Failure;
use crate::connections::Connection;
use crate::deployment::Route;
use crate::deployment::RouteKind;
use crate::dispatcher::DispatchRequest;
use crate::dispatcher::Grant;
use crate::endpoint::Endpoint;
use crate::entry::Entry;
use crate::events::EventSplitter;
use crate::flight::Flight;
use crate::journal::Story;
use crate::lateness::LatencyObjective;
use crate::lateness::RequestTimings;
use crate::protocol::AnswerHead;
use crate::protocol::Call;
use crate::protocol::Dispatch;
use crate::protocol::Verdict;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::request_queue::Class;
use crate::request_queue::Priority;

/// Sends that an endpoint proved not to have run, after which a request is refused.
const MAX_UNRUN_SENDS: u32 = 3;

/// Multiple of the objective for which an answer is awaited before an idempotent request is sent
/// to another endpoint.
const REPEAT_AFTER_OBJECTIVES: f64 = 2.0;

/// Part of the caller's patience for which a request waits for a free endpoint.
const WAIT_SHARE: f64 = 0.3;

/// Part of the time for which callers bear silence that a request waits for a free endpoint; the rest
/// is for the endpoint's first event.
const SILENCE_SHARE: f64 = 0.7;

/// Part of the objective that is kept for the endpoint to answer in.
const ANSWER_SHARE: f64 = 0.3;

/// Time that a request is kept when neither the caller nor the route says so.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// A request that has been read and checked.
#[derive(Clone)]
pub(crate) struct Forwarding {
    pub(crate) entry: Arc<Entry>,
    pub(crate) call: Call,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) pool: PoolName,
    pub(crate) urgency: Priority,
    pub(crate) ends_at: Monotonic,
    /// Time that the caller has certainly waited before it came.
    pub(crate) waited_before: Duration,
    /// Endpoints that ran the request or may have run it.
    pub(crate) runs: u32,
    /// Endpoints that it was sent to, run or not.
    pub(crate) sends: u32,
    pub(crate) tried: Vec<EndpointName>,
    /// The last event that the caller has, when the stream continues.
    pub(crate) last_event: Option<u64>,
    pub(crate) story: Story,
}

impl Forwarding {
    /// Returns when a request that arrived at `arrived` ends at the latest.
    pub(crate) fn end_of(arrived: Monotonic, call: &Call, route: &Route) -> Monotonic {
        let limit = call
            .patience
            .map_or(route.timeout, |p| p.min(route.timeout));
        let limit = if limit.is_zero() {
            DEFAULT_TIMEOUT
        } else {
            limit
        };
        arrived + limit
    }

    /// Sends the request until an endpoint answers it or it cannot be sent again.
    pub(crate) async fn run(mut self) -> Result<Response<Relay>, Refusal> {
        loop {
            let grant = match self.acquire().await {
                Ok(grant) => grant,
                Err(refusal) => return Err(refusal.after_runs(self.runs)),
            };
            let attempt = self.sends + 1;
            self.story.dispatched(&self.entry, &grant, attempt);
            let failure = match self.send(&grant).await {
                Ok(resp) => return Ok(resp),
                Err(failure) => failure,
            };
            self.after(&grant, failure)?;
        }
    }

    /// Continues a broken stream after the event `last`; `None` when that is not possible.
    pub(crate) async fn resume(mut self: Box<Self>, last: Option<u64>) -> Option<Relay> {
        if self.runs >= self.route.max_attempts || !self.may_repeat() {
            return None;
        }
        if last.is_some() {
            self.last_event = last;
        }
        match self.run().await {
            Ok(resp) if resp.status().is_success() => Some(resp.into_body()),
            Ok(_) | Err(_) => None,
        }
    }

    async fn acquire(&self) -> Result<Grant, Refusal> {
        let now = self.entry.cx().timers.now();
        let arrived = self.story.arrived;
        let give_up_at = arrived + self.longest_wait();
        let ticket = DispatchRequest {
            seq: self.entry.next_seq(),
            pool: self.pool.clone(),
            class: Class {
                priority: self.urgency,
                route: self.route.name.clone(),
            },
            arrived: now,
            start_by: arrived + self.route.objective.mul_f64(1.0 - ANSWER_SHARE)
                - self.waited_before,
            expires_at: give_up_at.max(now + Duration::from_millis(20)),
            attempted: self.tried.clone(),
            version_draw: f64::from(self.entry.draw()) / f64::from(u32::MAX),
        };
        self.entry.acquire(ticket).await
    }

    /// Returns how long the request may wait for a free endpoint.
    ///
    /// A caller that would leave before its first event is told earlier, while it can come back.
    fn longest_wait(&self) -> Duration {
        let patience = self.ends_at.since(self.story.arrived);
        let wait = patience.mul_f64(WAIT_SHARE);
        let silence = self.route.silence.map(|s| s.mul_f64(SILENCE_SHARE));
        silence.map_or(wait, |silence| wait.min(silence))
    }

    /// Decides whether the request can be sent again after a failed send.
    fn after(&mut self, grant: &Grant, failure: Failure) -> Result<(), Refusal> {
        let Failure {
            error,
            is_unrun,
            has_arrived,
            ..
        } = failure;
        self.tried.push(grant.endpoint.name.clone());
        self.sends += 1;
        self.runs += u32::from(!is_unrun);
        let may_run_again = is_unrun || self.route.may_run_again();
        let is_left = self.runs < self.route.max_attempts.max(1) && self.sends < MAX_UNRUN_SENDS;
        if !may_run_again || !is_left || self.time_left().is_zero() {
            return Err(Refusal::from(error).after_runs(self.runs));
        }
        if has_arrived && !self.may_repeat() {
            return Err(Refusal::from(error).after_runs(self.runs));
        }
        Ok(())
    }

    fn may_repeat(&self) -> bool {
        self.entry.try_repeat(&self.pool)
    }

    fn time_left(&self) -> Duration {
        self.ends_at.since(self.entry.cx().timers.now())
    }

    async fn send(&mut self, grant: &Grant) -> Result<Response<Relay>, Failure> {
        let is_stream = matches!(self.route.kind, RouteKind::Streaming { .. });
        let story = self.story.clone();
        let entry = Arc::clone(&self.entry);
        let aim = LatencyObjective {
            objective: self.route.objective,
            max_pause: self.route.pause.filter(|_| is_stream),
        };
        let course = RequestTimings {
            prior_wait: self.waited_before,
            earlier_attempts: self.sends,
            ..RequestTimings::default()
        };
        let mut flight = Flight::new(entry, grant, is_stream, aim, course, story);
        let result = self.exchange(grant, &mut flight).await;
        match result {
            Ok((resp, head, connection)) => Ok(self.accept(resp, head, connection, flight)),
            Err(failure) => {
                flight.fail(failure.outcome, &failure.error);
                Err(failure)
            }
        }
    }

    /// Sends the request and reads the head of the answer.
    async fn exchange(
        &self,
        grant: &Grant,
        flight: &mut Flight,
    ) -> Result<(Response<Incoming>, AnswerHead, Connection), Failure> {
        let endpoint = &*grant.endpoint;
        let connection = self.entry.connections().get(endpoint).await;
        let mut connection = connection.map_err(|e| Failure::unreachable(endpoint, e))?;
        if !self.entry.takes_work(endpoint) {
            return Err(Failure::withdrawn(endpoint));
        }
        let time_left = self.time_left();
        if time_left.is_zero() {
            return Err(Failure::out_of_time());
        }
        let req = self.request(endpoint, time_left);
        let sent = connection.sender().try_send_request(req);
        let limit = self.answer_limit(time_left);
        let sent = self.entry.cx().timers.limit(limit, sent).await;
        let resp = match sent {
            None => return Err(Failure::silent(endpoint, limit)),
            Some(Err(mut e)) => {
                let is_unrun = e.take_message().is_some();
                return Err(Failure::broken(endpoint, e.into_error(), is_unrun));
            }
            Some(Ok(resp)) => resp,
        };
        self.judge(endpoint, resp, connection, flight)
    }

    fn judge(
        &self,
        endpoint: &Endpoint,
        resp: Response<Incoming>,
        connection: Connection,
        flight: &mut Flight,
    ) -> Result<(Response<Incoming>, AnswerHead, Connection), Failure> {
        let (parts, body) = resp.into_parts();
        let head = self.entry.endpoint_protocol().decode(&parts, &self.call);
        if head.is_of_endpoint() {
            self.entry.heed(endpoint, &head);
        }
        let failure = match head.verdict {
            Verdict::Genuine => {
                flight.answered(head.load);
                let is_failure = parts.status.is_server_error();
                if !is_failure || !self.is_worth_repeating() {
                    return Ok((Response::from_parts(parts, body), head, connection));
                }
                Failure::failed(endpoint, parts.status)
            }
            Verdict::NotRun { misdirected } => {
                flight.answered(head.load);
                Failure::refused(endpoint, parts.status, misdirected)
            }
            Verdict::Foreign => Failure::foreign(endpoint),
        };
        Err(failure)
    }

    /// Tells whether the endpoint's own failure is answered by another try.
    fn is_worth_repeating(&self) -> bool {
        self.route.may_run_again()
            && self.runs + 1 < self.route.max_attempts
            && self.time_left() > self.route.objective / 4
    }

    fn accept(
        &mut self,
        resp: Response<Incoming>,
        head: AnswerHead,
        connection: Connection,
        flight: Flight,
    ) -> Response<Relay> {
        self.runs += 1;
        self.sends += 1;
        self.tried.push(flight.endpoint().name.clone());
        let (mut parts, body) = resp.into_parts();
        let is_success = parts.status.is_success();
        let is_framed = parts.headers.contains_key(CONTENT_LENGTH)
            || parts.headers.contains_key(TRANSFER_ENCODING);
        self.entry
            .endpoint_protocol()
            .strip_connection_headers(&mut parts.headers);
        let is_stream = matches!(self.route.kind, RouteKind::Streaming { .. }) && is_success;
        let can_resume = is_stream && self.route.may_run_again();
        let timers = self.entry.cx().timers.clone();
        let ends_at = self.ends_at;
        let has_ended = body.is_end_stream();
        let mut relay = Relay {
            entry: Arc::clone(&self.entry),
            body,
            connection: Some(connection),
            flight,
            keep_alive: head.keep_alive,
            deadline: Box::pin(async move { timers.until(ends_at).await }),
            events: is_stream.then(EventSplitter::default),
            forwarding: can_resume.then(|| Box::new(self.clone())),
            remaining: content_length(&parts.headers),
            is_framed,
            is_failure: parts.status.is_server_error(),
        };
        if has_ended {
            // The server asks for no data of an answer that has none.
            relay.settle();
        }
        Response::from_parts(parts, relay)
    }

    fn request(&self, endpoint: &Endpoint, time_left: Duration) -> Request<Full<Bytes>> {
        let dispatch = Dispatch {
            endpoint,
            account: self.story.account.as_ref(),
            time_left,
            last_event: self.last_event,
        };
        let protocol = self.entry.endpoint_protocol();
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = protocol.encode(&self.headers, &dispatch);
        req
    }

    /// Returns how long the head of an answer is awaited.
    fn answer_limit(&self, time_left: Duration) -> Duration {
        let can_repeat = self.route.may_run_again() && self.runs + 1 < self.route.max_attempts;
        if can_repeat
            && self
                .entry
                .has_other_endpoint(&self.pool, self.tried.len() + 1)
        {
            let limit = self.route.objective.mul_f64(REPEAT_AFTER_OBJECTIVES);
            limit.min(time_left)
        } else {
            time_left
        }
    }
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
