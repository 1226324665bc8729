//! Validates one request of a caller, forwards it and returns the response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Ran;
use eelgrassramp::RouteName;
use eelgrassramp::request_body::RequestBody;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::HOST;
use http::request::Parts;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use crate::crash_attribution::RequestContent;
use crate::entry::Entry;
use crate::fair_share::AccountShare;
use crate::forward::ForwardedRequest;
use crate::protocol::CallerRequestHead;
use crate::quota::CallerAttempt;
use crate::quota::RequestCost;
use crate::refusal::Refusal;
use crate::relay::FrameStream;
use crate::request_log::RequestLogContext;
use crate::request_queue::Priority;
use crate::tables::Account;
use crate::tables::Route;
use crate::tables::Tables;

/// The body of a response to a caller.
pub(crate) type ResponseBody = Either<Full<Bytes>, StreamBody<FrameStream>>;

/// Route label of requests that match no route.
const UNMATCHED_ROUTE: &str = "none";

/// Logged id of requests without one.
const MISSING_ID: &str = "none";

/// Maximum time that a request waits for the first tables after the process started.
const INITIAL_TABLES_TIMEOUT: Duration = Duration::from_millis(60);

/// Retry-after time of a process without tables: the platform's store is unavailable, which usually
/// lasts for seconds.
const NO_TABLES_RETRY_AFTER: Duration = Duration::from_millis(2_500);

/// Retry-after time of a process that stops: the other entries can take the request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Fraction of the latency objective that may pass before a caller over its quota returns; the rest is
/// left for its second attempt.
const RETURN_SLACK_FRACTION: f64 = 0.5;

/// Handles one request; `on_received` is called when all of it was received.
pub(crate) async fn handle(
    entry: Arc<Entry>,
    req: Request<Incoming>,
    on_received: impl FnOnce() + Send,
) -> Response<ResponseBody> {
    entry.check_for_suspension();
    let arrived = entry.cx().timers.now();
    let (parts, body) = req.into_parts();
    let mut request_log = RequestLogContext {
        id: Arc::from(MISSING_ID),
        route: RouteName::from(UNMATCHED_ROUTE),
        account: None,
        pool: None,
        rank: None,
        tables: 0,
        prompt_parts: Arc::default(),
        suspect_parts: Arc::default(),
        arrived,
    };
    let mut resp = match process(&entry, &mut request_log, parts, body, on_received).await {
        Ok(resp) => resp,
        Err(refusal) => {
            let queued = entry.queued_count();
            if refusal.retry_delay().is_some() && !refusal.is_of_prompt() {
                entry.record_retry_after(&request_log.route);
            }
            request_log.refused(&entry, &refusal.error, refusal.retry_delay(), queued);
            refusal_response(&entry, &refusal)
        }
    };
    if entry.cx().stop.is_cancelled() {
        let close = HeaderValue::from_static("close");
        resp.headers_mut().insert(CONNECTION, close);
    }
    resp
}

async fn process(
    entry: &Arc<Entry>,
    request_log: &mut RequestLogContext,
    parts: Parts,
    body: Incoming,
    on_received: impl FnOnce() + Send,
) -> Result<Response<ResponseBody>, Refusal> {
    check_framing(&parts)?;
    let request_head = entry.caller_protocol().decode(&parts)?;
    request_log.id = Arc::from(&*request_head.id);
    request_log.prompt_parts = Arc::clone(&request_head.prompt_parts);
    let current_tables = entry
        .await_tables(INITIAL_TABLES_TIMEOUT)
        .await
        .ok_or_else(|| {
            // Without tables no pool is known, so the pool counts as unavailable.
            let detail = "no tables received yet";
            Refusal::with_retry_after(Kind::PoolUnavailable, detail, NO_TABLES_RETRY_AFTER)
        })?;
    request_log.tables = current_tables.version();
    check_head_size(&parts, current_tables.limits().header_bytes)?;
    let route = find_route(&current_tables, &parts)?;
    request_log.route = route.name.clone();
    let account = find_account(&current_tables, &route, &request_head)?;
    request_log.account = account.as_ref().map(|a| a.name.clone());
    let account_priority = account.as_ref().and_then(|a| a.priority);
    request_log.rank = Some(account_priority.unwrap_or(route.priority));
    let body = read_body(entry, &current_tables, body).await?;
    on_received();
    if !entry.takes_requests() {
        let detail = "the process stops, and the request came too late to be completed";
        return Err(Refusal::with_retry_after(
            Kind::Draining,
            detail,
            STOPPING_RETRY_AFTER,
        ));
    }
    let content = RequestContent {
        method: &parts.method,
        uri: &parts.uri,
        account: request_log.account.as_ref(),
        body: body.blocks(),
        prompt_parts: &request_head.prompt_parts,
    };
    request_log.suspect_parts = content.suspect_parts();
    if let Some(refusal) = entry.refuse_blocked_prompt(&request_log.suspect_parts) {
        return Err(refusal);
    }
    let pool = route.pool(entry.random_u32()).cloned().ok_or_else(|| {
        let detail = format!("route \"{}\" has no pool", route.name);
        Refusal::from(Error::new(Kind::PoolUnavailable, detail))
    })?;
    request_log.pool = Some(pool.clone());
    let priority = Priority::new(account.as_ref().and_then(|a| a.priority), route.priority);
    let prior_wait = entry.record_arrival_and_estimate_wait(&route.name, request_head.timeout);
    let slack = route.latency_objective.mul_f64(RETURN_SLACK_FRACTION);
    let cost = RequestCost {
        units: quota_units(account.as_deref(), &request_head),
        priority,
        attempt: CallerAttempt::after(prior_wait, slack),
        slack,
    };
    if let Some(account) = &account {
        entry.charge_quota(account, cost)?;
    }
    entry.count_request(&pool);
    let request = ForwardedRequest {
        entry: Arc::clone(entry),
        deadline_at: ForwardedRequest::deadline_for(request_log.arrived, &request_head, &route),
        prior_wait,
        priority,
        share: account_share(entry, &current_tables, account.as_deref()),
        request_head,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        route,
        pool,
        executions: 0,
        attempts: 0,
        may_have_arrived: false,
        attempted: Vec::new(),
        stream_head: None,
        last_event: None,
        request_log: request_log.clone(),
    };
    let result = forward(request).await;
    if let (Err(refusal), Some(account)) = (&result, &account)
        && refusal.error.kind().answer().ran == Ran::No
    {
        entry.refund_quota(&account.name, cost.units);
    }
    result
}

/// Forwards the request and streams the body of the response.
async fn forward(request: ForwardedRequest) -> Result<Response<ResponseBody>, Refusal> {
    let resp = request.forward_with_retries(None).await?;
    let (parts, relay) = resp.into_parts();
    let frames = StreamBody::new(relay.into_frames());
    Ok(Response::from_parts(parts, Either::Right(frames)))
}

/// Rejects requests whose length or host two HTTP parsers could read differently.
///
/// This prevents request smuggling. The HTTP library itself rejects differing lengths. In a request
/// with both `content-length` and chunked encoding it ignores the `content-length`, and it closes the
/// connection afterwards.
fn check_framing(parts: &Parts) -> Result<(), Refusal> {
    let headers = &parts.headers;
    let content_lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let hosts = headers.get_all(HOST).iter().count();
    let detail = if content_lengths > 1 {
        "duplicate content-length header"
    } else if hosts > 1 {
        "duplicate host header"
    } else {
        return Ok(());
    };
    Err(Error::new(Kind::BadRequest, detail).into())
}

/// Rejects a head that is larger than the tables allow.
fn check_head_size(parts: &Parts, max_bytes: usize) -> Result<(), Refusal> {
    let bytes = head_bytes(parts);
    if bytes <= max_bytes {
        return Ok(());
    }
    let detail = format!("request head of {bytes} bytes exceeds {max_bytes}");
    Err(Error::new(Kind::HeadTooLarge, detail).into())
}

/// Returns the size of a head as callers usually write it.
fn head_bytes(parts: &Parts) -> usize {
    const SEPARATORS: usize = "  HTTP/1.1\r\n\r\n".len();
    const FIELD_SEPARATORS: usize = ": \r\n".len();
    let target = parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
    let fields = parts.headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_SEPARATORS);
    parts.method.as_str().len() + target + SEPARATORS + fields.sum::<usize>()
}

fn find_route(current_tables: &Tables, parts: &Parts) -> Result<Arc<Route>, Refusal> {
    let host = parts.headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let name = host.split_once(':').map_or(host, |(name, _)| name);
    let path = parts.uri.path();
    let route = current_tables
        .route(host, path)
        .or_else(|| current_tables.route(name, path));
    route.cloned().ok_or_else(|| {
        let version = current_tables.version();
        let detail = format!("host {host:?}, path {path:?}, tables version {version}");
        Error::new(Kind::UnknownRoute, detail).into()
    })
}

fn find_account(
    current_tables: &Tables,
    route: &Route,
    request_head: &CallerRequestHead,
) -> Result<Option<Arc<Account>>, Refusal> {
    let key = request_head.api_key.as_deref();
    let account = key.and_then(|key| current_tables.account(key)).cloned();
    if account.is_some() || route.public || !current_tables.has_accounts() {
        return Ok(account);
    }
    let version = current_tables.version();
    let detail = format!("the API key belongs to no account in tables version {version}");
    Err(Error::new(Kind::Unauthorized, detail).into())
}

async fn read_body(
    entry: &Entry,
    current_tables: &Tables,
    body: Incoming,
) -> Result<RequestBody, Refusal> {
    let limits = current_tables.limits();
    let read = entry.request_bodies().read(body, limits.body_bytes);
    let read = entry.cx().timers.limit(limits.receive_timeout, read).await;
    let read = read.ok_or_else(|| {
        let detail = "request body not received in time";
        Refusal::from(Error::new(Kind::RequestTimeout, detail))
    })?;
    Ok(read?)
}

/// Returns the share of its pool that a request counts against, if pools are shared out by account.
fn account_share(
    entry: &Entry,
    current_tables: &Tables,
    account: Option<&Account>,
) -> Option<AccountShare> {
    let account = account.filter(|_| entry.has_fair_shares())?;
    Some(AccountShare {
        account: account.name.clone(),
        weight: current_tables.share_weight(account),
    })
}

/// Returns what a request costs of its account's quota.
fn quota_units(account: Option<&Account>, request_head: &CallerRequestHead) -> f64 {
    let quota = account.and_then(|account| account.quota);
    quota.map_or(0.0, |quota| quota.units(request_head.declared_tokens()))
}

fn refusal_response(entry: &Entry, refusal: &Refusal) -> Response<ResponseBody> {
    let mut headers = HeaderMap::new();
    if let Some(retry_after) = refusal.retry_delay() {
        entry
            .caller_protocol()
            .set_retry_after(&mut headers, retry_after);
    }
    let mut resp = Response::new(Either::Left(Full::new(Bytes::new())));
    *resp.headers_mut() = headers;
    *resp.status_mut() =
        StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    resp
}
