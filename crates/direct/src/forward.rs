//! Forwards one request to an endpoint, with retries, and relays the response.

mod failure;

use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::EndpointName;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::request_body::RequestBody;
use eelgrassramp::request_body::SentBody;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::Uri;
use http::Version;
use http::header::CONTENT_LENGTH;
use http::header::CONTENT_TYPE;
use http::header::TRANSFER_ENCODING;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;

use self::failure::AttemptFailure;
use crate::attempt::InFlightAttempt;
use crate::connections::Connection;
use crate::dispatcher::DispatchRequest;
use crate::dispatcher::Grant;
use crate::endpoint::Endpoint;
use crate::entry::Entry;
use crate::entry::RetryPermit;
use crate::events::EventSplitter;
use crate::fair_share::AccountShare;
use crate::lateness::LatencyObjective;
use crate::lateness::RequestTimings;
use crate::protocol::CallerRequestHead;
use crate::protocol::EndpointRequestContext;
use crate::protocol::ResponseHead;
use crate::protocol::ResponseMatch;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::request_log::RequestLogContext;
use crate::request_queue::Priority;
use crate::request_queue::RequestClass;
use crate::tables::Route;
use crate::tables::RouteKind;

/// Maximum number of attempts for one request, including those that were not executed.
const MAX_TOTAL_ATTEMPTS: u32 = 3;

/// Timeout for the response head, as a multiple of the route's latency objective, after which a
/// request that may be executed again is retried on another endpoint.
const RESPONSE_TIMEOUT_IN_OBJECTIVES: f64 = 2.0;

/// Maximum queue wait, as a fraction of the request's timeout.
const QUEUE_WAIT_FRACTION: f64 = 0.3;

/// Maximum queue wait, as a fraction of the route's idle timeout of streams; the rest of that timeout
/// is left for the endpoint to send the first event.
const IDLE_TIMEOUT_WAIT_FRACTION: f64 = 0.7;

/// Fraction of the latency objective that is reserved for the endpoint to respond.
const RESPONSE_RESERVE_FRACTION: f64 = 0.3;

/// Request timeout when neither the caller nor the route sets one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// A validated request and the state of its attempts.
#[derive(Clone)]
pub(crate) struct ForwardedRequest {
    pub(crate) entry: Arc<Entry>,
    pub(crate) request_head: CallerRequestHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: RequestBody,
    pub(crate) route: Arc<Route>,
    pub(crate) pool: PoolName,
    pub(crate) priority: Priority,
    /// Account whose share of the pool the request is counted against, if the pool is shared out.
    pub(crate) share: Option<AccountShare>,
    pub(crate) deadline_at: Monotonic,
    /// Estimated time that the caller waited before this request arrived, after earlier refusals.
    pub(crate) prior_wait: Duration,
    /// Attempts in which an endpoint executed the request or may have.
    pub(crate) executions: u32,
    /// All attempts, executed or not.
    pub(crate) attempts: u32,
    /// Whether an attempt may have reached its endpoint; further ones need the retry budget then.
    pub(crate) may_have_arrived: bool,
    /// Endpoints of earlier attempts, including those that could not be connected to.
    pub(crate) attempted: Vec<EndpointName>,
    /// Head of the response that the caller has received; set once a stream can be resumed.
    pub(crate) stream_head: Option<StreamHead>,
    /// Id of the last event sent to the caller, when a stream is resumed.
    pub(crate) last_event: Option<u64>,
    pub(crate) request_log: RequestLogContext,
}

/// What the responses of the endpoints that a stream is pieced together from have in common.
///
/// Anything else, such as the text of an error, would be taken for a part of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StreamHead {
    status: StatusCode,
    content_type: Option<HeaderValue>,
}

impl StreamHead {
    fn of(status: StatusCode, headers: &HeaderMap) -> Self {
        Self {
            status,
            content_type: headers.get(CONTENT_TYPE).cloned(),
        }
    }
}

impl ForwardedRequest {
    /// Returns the deadline of a request that arrived at `arrived`.
    pub(crate) fn deadline_for(
        arrived: Monotonic,
        request_head: &CallerRequestHead,
        route: &Route,
    ) -> Monotonic {
        let limit = request_head
            .timeout
            .map_or(route.timeout, |t| t.min(route.timeout));
        let limit = if limit.is_zero() {
            DEFAULT_TIMEOUT
        } else {
            limit
        };
        arrived + limit
    }

    /// Sends the request to endpoints until one responds or no retry is allowed.
    ///
    /// `retry_permit` is given if the first attempt made here is a retry.
    pub(crate) async fn forward_with_retries(
        mut self,
        mut retry_permit: Option<RetryPermit>,
    ) -> Result<Response<Relay>, Refusal> {
        loop {
            if let Some(refusal) = self.refuse_blocked_prompt() {
                return Err(refusal.with_prior_executions(self.executions));
            }
            let grant = match self.acquire_endpoint().await {
                Ok(grant) => grant,
                Err(refusal) => return Err(refusal.with_prior_executions(self.executions)),
            };
            let attempt = self.attempts + 1;
            self.request_log.dispatched(&self.entry, &grant, attempt);
            let failure = match self.send_once(&grant, &mut retry_permit).await {
                Ok(resp) => return Ok(resp),
                Err(failure) => failure,
            };
            self.prepare_retry(&grant, failure, &mut retry_permit)?;
        }
    }

    /// Resumes a broken stream after the event `last` on another endpoint.
    ///
    /// Returns `None` when no retry is allowed or the retry fails.
    pub(crate) async fn resume(mut self: Box<Self>, last: Option<u64>) -> Option<Relay> {
        if self.executions >= self.route.max_executions {
            return None;
        }
        let retry_permit = self.try_reserve_retry()?;
        if last.is_some() {
            self.last_event = last;
        }
        let stream_head = self.stream_head.clone();
        let resp = self.forward_with_retries(Some(retry_permit)).await.ok()?;
        if stream_head == Some(StreamHead::of(resp.status(), resp.headers())) {
            return Some(resp.into_body());
        }
        resp.into_body().reject();
        None
    }

    fn refuse_blocked_prompt(&self) -> Option<Refusal> {
        let parts = &self.request_log.suspect_parts;
        self.entry.refuse_blocked_prompt(parts)
    }

    async fn acquire_endpoint(&self) -> Result<Grant, Refusal> {
        let now = self.entry.cx().timers.now();
        let arrived = self.request_log.arrived;
        let expires_at = arrived + self.max_queue_wait();
        let request = DispatchRequest {
            seq: self.entry.next_seq(),
            pool: self.pool.clone(),
            class: RequestClass {
                priority: self.priority,
                route: self.route.name.clone(),
            },
            submitted_at: now,
            start_by: arrived
                + self
                    .route
                    .latency_objective
                    .mul_f64(1.0 - RESPONSE_RESERVE_FRACTION)
                - self.prior_wait,
            expires_at: expires_at.max(now + Duration::from_millis(20)),
            attempted: self.attempted.clone(),
            version_draw: f64::from(self.entry.random_u32()) / f64::from(u32::MAX),
            share: self.share.clone(),
            size: self.request_head.size(),
        };
        self.entry.acquire(request).await
    }

    /// Returns how long the request may be queued.
    ///
    /// Where callers leave after a time without events, the request is refused before that, so
    /// that the caller can still retry.
    fn max_queue_wait(&self) -> Duration {
        let timeout = self.deadline_at.since(self.request_log.arrived);
        let wait = timeout.mul_f64(QUEUE_WAIT_FRACTION);
        let idle_limit = self
            .route
            .idle_stream_timeout
            .map(|t| t.mul_f64(IDLE_TIMEOUT_WAIT_FRACTION));
        idle_limit.map_or(wait, |idle_limit| wait.min(idle_limit))
    }

    /// Records a failed attempt and makes sure that there is a permit for the next one if it needs one;
    /// returns the refusal when the request must not be retried.
    fn prepare_retry(
        &mut self,
        grant: &Grant,
        failure: AttemptFailure,
        retry_permit: &mut Option<RetryPermit>,
    ) -> Result<(), Refusal> {
        let AttemptFailure {
            error,
            is_unexecuted,
            may_have_arrived,
            ..
        } = failure;
        self.attempted.push(grant.endpoint.name.clone());
        self.attempts += 1;
        self.executions += u32::from(!is_unexecuted);
        self.may_have_arrived |= may_have_arrived;
        let may_execute_again = is_unexecuted || self.route.may_execute_again();
        let has_attempts_left = self.executions < self.route.max_executions.max(1)
            && self.attempts < MAX_TOTAL_ATTEMPTS;
        if !may_execute_again || !has_attempts_left || self.time_left().is_zero() {
            return Err(Refusal::from(error).with_prior_executions(self.executions));
        }
        if self.may_have_arrived && retry_permit.is_none() {
            *retry_permit = self.try_reserve_retry();
            if retry_permit.is_none() {
                return Err(Refusal::from(error).with_prior_executions(self.executions));
            }
        }
        Ok(())
    }

    fn try_reserve_retry(&self) -> Option<RetryPermit> {
        self.entry.try_reserve_retry(&self.pool, &self.request_log)
    }

    fn time_left(&self) -> Duration {
        self.deadline_at.since(self.entry.cx().timers.now())
    }

    async fn send_once(
        &mut self,
        grant: &Grant,
        retry_permit: &mut Option<RetryPermit>,
    ) -> Result<Response<Relay>, AttemptFailure> {
        let is_stream = matches!(self.route.kind, RouteKind::Streaming { .. });
        let request_log = self.request_log.clone();
        let entry = Arc::clone(&self.entry);
        let objective = LatencyObjective {
            objective: self.route.latency_objective,
            max_gap: self.route.max_event_gap.filter(|_| is_stream),
        };
        let timings = RequestTimings {
            prior_wait: self.prior_wait,
            earlier_attempts: self.attempts,
            ..RequestTimings::default()
        };
        let mut in_flight =
            InFlightAttempt::new(entry, grant, is_stream, objective, timings, request_log);
        let result = self
            .send_and_read_head(grant, &mut in_flight, retry_permit)
            .await;
        match result {
            Ok((resp, head, connection)) => {
                Ok(self.relay_response(resp, head, connection, in_flight))
            }
            Err(failure) => {
                in_flight.fail(failure.outcome, &failure.error);
                Err(failure)
            }
        }
    }

    /// Sends the request and reads the response head.
    async fn send_and_read_head(
        &self,
        grant: &Grant,
        in_flight: &mut InFlightAttempt,
        retry_permit: &mut Option<RetryPermit>,
    ) -> Result<(Response<Incoming>, ResponseHead, Connection), AttemptFailure> {
        let endpoint = &*grant.endpoint;
        let connection = self.entry.connections().get(endpoint).await;
        let mut connection = connection.map_err(|e| AttemptFailure::unreachable(endpoint, e))?;
        if !self.entry.accepts_new_requests(endpoint) {
            return Err(AttemptFailure::not_accepting(endpoint));
        }
        if let Some(refusal) = self.refuse_blocked_prompt() {
            return Err(AttemptFailure::blocked(refusal.error));
        }
        let time_left = self.time_left();
        if time_left.is_zero() {
            return Err(AttemptFailure::deadline_expired());
        }
        let req = self.build_request(endpoint, time_left);
        if let Some(retry_permit) = retry_permit.take() {
            retry_permit.spend();
        }
        let sent = connection.begin_request().try_send_request(req);
        let limit = self.response_timeout(time_left);
        let sent = self.entry.cx().timers.limit(limit, sent).await;
        let resp = match sent {
            None => return Err(AttemptFailure::timed_out(endpoint, limit)),
            Some(Err(mut e)) => {
                let is_unexecuted = e.take_message().is_some();
                return Err(AttemptFailure::connection_lost(
                    endpoint,
                    e.into_error(),
                    is_unexecuted,
                ));
            }
            Some(Ok(resp)) => resp,
        };
        self.classify_response(endpoint, resp, connection, in_flight)
    }

    fn classify_response(
        &self,
        endpoint: &Endpoint,
        resp: Response<Incoming>,
        connection: Connection,
        in_flight: &mut InFlightAttempt,
    ) -> Result<(Response<Incoming>, ResponseHead, Connection), AttemptFailure> {
        let (parts, body) = resp.into_parts();
        if !is_final_status(parts.status) {
            return Err(AttemptFailure::invalid_status(endpoint, parts.status));
        }
        let head = self
            .entry
            .endpoint_protocol()
            .decode(&parts, &self.request_head);
        if head.is_from_endpoint() {
            self.entry.apply_endpoint_signals(endpoint, &head);
        }
        let failure = match head.response_match {
            ResponseMatch::Valid => {
                in_flight.head_received(head.load);
                if head.rate_limit.is_none() && parts.status.is_success() {
                    let sent_at = in_flight.started_at();
                    self.entry.record_no_rate_limit(endpoint, sent_at);
                }
                let is_retried = parts.status.is_server_error() && self.should_retry_server_error();
                // The endpoint has executed the request, so a promise that it has not is not passed on.
                let caller_protocol = self.entry.caller_protocol();
                let is_false_promise = caller_protocol.promises_no_execution(parts.status);
                if !is_retried && !is_false_promise {
                    return Ok((Response::from_parts(parts, body), head, connection));
                }
                AttemptFailure::failed(endpoint, parts.status)
            }
            ResponseMatch::NotExecuted { misdirected } => {
                in_flight.head_received(head.load);
                AttemptFailure::refused(endpoint, parts.status, misdirected)
            }
            ResponseMatch::Mismatched => AttemptFailure::mismatched_response(endpoint),
        };
        Err(failure)
    }

    /// Returns whether a server error of the endpoint is retried instead of passed on.
    fn should_retry_server_error(&self) -> bool {
        self.route.may_execute_again()
            && self.executions + 1 < self.route.max_executions
            && self.time_left() > self.route.latency_objective / 4
    }

    fn relay_response(
        &mut self,
        resp: Response<Incoming>,
        head: ResponseHead,
        connection: Connection,
        in_flight: InFlightAttempt,
    ) -> Response<Relay> {
        self.executions += 1;
        self.attempts += 1;
        self.may_have_arrived = true;
        self.attempted.push(in_flight.endpoint().name.clone());
        let (mut parts, body) = resp.into_parts();
        let is_success = parts.status.is_success();
        let is_framed = parts.headers.contains_key(CONTENT_LENGTH)
            || parts.headers.contains_key(TRANSFER_ENCODING);
        self.entry
            .endpoint_protocol()
            .strip_connection_headers(&mut parts.headers);
        // Like these headers, the version belongs to the endpoint's connection. In the answer it would decide
        // how the caller sees the end of the body.
        parts.version = Version::HTTP_11;
        let is_stream = matches!(self.route.kind, RouteKind::Streaming { .. }) && is_success;
        let can_resume = is_stream && self.route.may_execute_again();
        self.stream_head = can_resume.then(|| StreamHead::of(parts.status, &parts.headers));
        let timers = self.entry.cx().timers.clone();
        let deadline_at = self.deadline_at;
        let is_empty_body = body.is_end_stream();
        let mut relay = Relay {
            entry: Arc::clone(&self.entry),
            body,
            connection: Some(connection),
            in_flight,
            endpoint_idle_timeout: head.keep_alive,
            deadline: Box::pin(async move { timers.until(deadline_at).await }),
            events: is_stream.then(EventSplitter::default),
            request: can_resume.then(|| Box::new(self.clone())),
            remaining: content_length(&parts.headers),
            is_framed,
            is_endpoint_failure: parts.status.is_server_error(),
        };
        if is_empty_body {
            // The server never polls an empty body, so its end is recorded here.
            relay.complete();
        }
        Response::from_parts(parts, relay)
    }

    fn build_request(&self, endpoint: &Endpoint, time_left: Duration) -> Request<SentBody> {
        let dispatch = EndpointRequestContext {
            endpoint,
            account: self.request_log.account.as_ref(),
            time_left,
            last_event: self.last_event,
        };
        let protocol = self.entry.endpoint_protocol();
        let mut req = Request::new(self.body.to_sent());
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = protocol.encode(&self.headers, &dispatch);
        req
    }

    /// Returns the timeout for the response head.
    fn response_timeout(&self, time_left: Duration) -> Duration {
        let can_retry =
            self.route.may_execute_again() && self.executions + 1 < self.route.max_executions;
        if can_retry
            && self
                .entry
                .has_more_endpoints_than(&self.pool, self.attempted.len() + 1)
        {
            let limit = self
                .route
                .latency_objective
                .mul_f64(RESPONSE_TIMEOUT_IN_OBJECTIVES);
            limit.min(time_left)
        } else {
            time_left
        }
    }
}

/// Returns whether a status is that of an answer to a request. The HTTP library also passes on a switch to
/// another protocol, and numbers without meaning.
fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
