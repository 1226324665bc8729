//! Reads and checks one request of a caller, and answers it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Ran;
use eelgrassramp::RouteName;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::HOST;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use crate::deployment::Account;
use crate::deployment::Deployment;
use crate::deployment::Route;
use crate::entry::Entry;
use crate::forward::Forwarding;
use crate::journal::Story;
use crate::protocol::Call;
use crate::quota::Demand;
use crate::refusal::Refusal;
use crate::relay::Frames;
use crate::request_queue::Priority;

/// The body of any answer to a caller.
pub(crate) type AnswerBody = Either<Full<Bytes>, StreamBody<Frames>>;

/// Label of requests that match no route.
const NO_ROUTE: &str = "none";

/// Label of requests that do not name themselves.
const NO_ID: &str = "none";

/// Time for which a request waits for the first tables of a process that has just started.
const TABLES_WAIT: Duration = Duration::from_millis(60);

/// Time after which a caller may come back to a process that knows no tables: their source is
/// away, and that lasts for seconds.
const TABLES_RETRY_AFTER: Duration = Duration::from_millis(2_500);

/// Answers one request.
pub(crate) async fn handle(entry: Arc<Entry>, req: Request<Incoming>) -> Response<AnswerBody> {
    entry.look_again_after_pause();
    let arrived = entry.cx().timers.now();
    let (parts, body) = req.into_parts();
    let mut story = Story {
        id: Arc::from(NO_ID),
        route: RouteName::from(NO_ROUTE),
        account: None,
        pool: None,
        rank: None,
        tables: 0,
        arrived,
    };
    let mut resp = match answer(&entry, &mut story, parts, body).await {
        Ok(resp) => resp,
        Err(refusal) => {
            let waiting = entry.all_waiting();
            if refusal.wait().is_some() {
                entry.note_return(&story.route);
            }
            story.refused(&entry, &refusal.error, refusal.wait(), waiting);
            refuse(&entry, &refusal)
        }
    };
    if entry.cx().stop.is_cancelled() {
        let close = HeaderValue::from_static("close");
        resp.headers_mut().insert(CONNECTION, close);
    }
    resp
}

async fn answer(
    entry: &Arc<Entry>,
    story: &mut Story,
    parts: Parts,
    body: Incoming,
) -> Result<Response<AnswerBody>, Refusal> {
    check_framing(&parts)?;
    let call = entry.caller_protocol().decode(&parts)?;
    story.id = Arc::from(&*call.id);
    let deployment = entry.await_deployment(TABLES_WAIT).await.ok_or_else(|| {
        let detail = "no tables are known yet";
        Refusal::later(Kind::PoolUnavailable, detail, TABLES_RETRY_AFTER)
    })?;
    story.tables = deployment.version();
    let route = find_route(&deployment, &parts)?;
    story.route = route.name.clone();
    let account = find_account(&deployment, &route, &call)?;
    story.account = account.as_ref().map(|a| a.name.clone());
    let rank = account.as_ref().and_then(|a| a.rank);
    story.rank = Some(rank.unwrap_or(route.rank));
    let body = receive(entry, &deployment, body).await?;
    let pool = route.pool(entry.draw()).cloned().ok_or_else(|| {
        let detail = format!("route \"{}\" names no pool", route.name);
        Refusal::from(Error::new(Kind::PoolUnavailable, detail))
    })?;
    story.pool = Some(pool.clone());
    let urgency = Priority::new(account.as_ref().and_then(|a| a.rank), route.rank);
    let units = charge(entry, account.as_deref(), &call, urgency)?;
    entry.count_request(&pool);
    let waited_before = entry.waited_before(&route.name, call.patience);
    let forwarding = Forwarding {
        entry: Arc::clone(entry),
        ends_at: Forwarding::end_of(story.arrived, &call, &route),
        waited_before,
        urgency,
        call,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        route,
        pool,
        runs: 0,
        sends: 0,
        tried: Vec::new(),
        last_event: None,
        story: story.clone(),
    };
    let outcome = forward(forwarding).await;
    if let (Err(refusal), Some(account)) = (&outcome, &account)
        && refusal.error.kind().answer().ran == Ran::No
    {
        entry.give_back_quota(&account.name, units);
    }
    outcome
}

/// Runs the request, and passes the body of its answer on as it comes.
async fn forward(forwarding: Forwarding) -> Result<Response<AnswerBody>, Refusal> {
    let resp = forwarding.run().await?;
    let (parts, relay) = resp.into_parts();
    let frames = StreamBody::new(relay.into_frames());
    Ok(Response::from_parts(parts, Either::Right(frames)))
}

/// Refuses requests whose end or host two parsers could see in different places.
///
/// The HTTP library refuses lengths that differ, and reads a request that states both a length
/// and chunks by its chunks, on a connection that it closes afterwards.
fn check_framing(parts: &Parts) -> Result<(), Refusal> {
    let headers = &parts.headers;
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let hosts = headers.get_all(HOST).iter().count();
    let detail = if lengths > 1 {
        "the length of the body is stated more than once"
    } else if hosts > 1 {
        "the host is stated more than once"
    } else {
        return Ok(());
    };
    Err(Error::new(Kind::BadRequest, detail).into())
}

fn find_route(deployment: &Deployment, parts: &Parts) -> Result<Arc<Route>, Refusal> {
    let host = parts.headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let name = host.split_once(':').map_or(host, |(name, _)| name);
    let path = parts.uri.path();
    let route = deployment
        .route(host, path)
        .or_else(|| deployment.route(name, path));
    route.cloned().ok_or_else(|| {
        let version = deployment.version();
        let detail = format!("host {host:?}, path {path:?}, tables version {version}");
        Error::new(Kind::UnknownRoute, detail).into()
    })
}

fn find_account(
    deployment: &Deployment,
    route: &Route,
    call: &Call,
) -> Result<Option<Arc<Account>>, Refusal> {
    let key = call.api_key.as_deref();
    let account = key.and_then(|key| deployment.account(key)).cloned();
    if account.is_some() || route.public || !deployment.has_accounts() {
        return Ok(account);
    }
    let version = deployment.version();
    let detail = format!("the API key names no account in tables version {version}");
    Err(Error::new(Kind::Unauthorized, detail).into())
}

async fn receive(entry: &Entry, deployment: &Deployment, body: Incoming) -> Result<Bytes, Refusal> {
    let limits = deployment.limits();
    let read = Limited::new(body, limits.body_bytes).collect();
    let read = entry.cx().timers.limit(limits.receive_timeout, read).await;
    let read = read.ok_or_else(|| {
        let detail = "the body did not arrive in time";
        Refusal::from(Error::new(Kind::RequestTimeout, detail))
    })?;
    let read = read.map_err(|e| match e.downcast_ref::<LengthLimitError>() {
        Some(_) => Error::new(
            Kind::RequestTooLarge,
            format!("the body exceeds {} bytes", limits.body_bytes),
        ),
        None => Error::with_source(Kind::BadRequest, "the body broke off", e),
    })?;
    Ok(read.to_bytes())
}

fn charge(
    entry: &Entry,
    account: Option<&Account>,
    call: &Call,
    urgency: Priority,
) -> Result<f64, Refusal> {
    let Some(account) = account else {
        return Ok(0.0);
    };
    let units = account
        .quota
        .as_ref()
        .map_or(0.0, |q| q.units(call.declared_tokens()));
    entry.take_quota(account, Demand { units, urgency })?;
    Ok(units)
}

fn refuse(entry: &Entry, refusal: &Refusal) -> Response<AnswerBody> {
    let mut headers = HeaderMap::new();
    if let Some(wait) = refusal.wait() {
        entry.caller_protocol().set_retry_after(&mut headers, wait);
    }
    let mut resp = Response::new(Either::Left(Full::new(Bytes::new())));
    *resp.headers_mut() = headers;
    *resp.status_mut() =
        StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    resp
}
