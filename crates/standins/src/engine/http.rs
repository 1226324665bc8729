//! HTTP interface of the simulated model engine.

use async_trait::async_trait;
use bytes::Bytes;
use eelgrassramp::Error;
use eelgrassramp::FencingToken;
use eelgrassramp::Kind;
use eelgrassramp::RequestId;
use eelgrassramp::Result;
use eelgrassramp::VersionName;
use eelgrassramp::engine::Engine;
use eelgrassramp::engine::EngineEvent;
use eelgrassramp::engine::EngineLoad;
use eelgrassramp::engine::EngineStream;
use eelgrassramp::wire::CacheUpdate;
use eelgrassramp::wire::Call;
use eelgrassramp::wire::EngineAction;
use futures_util::StreamExt;
use futures_util::stream;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde::Deserialize;
use serde::Serialize;

use super::kv::KvExport;
use super::model::ModelEngine;
use crate::http::Body;
use crate::http::BodyError;
use crate::http::Handler;
use crate::http::full;
use crate::http::header;
use crate::http::json;
use crate::http::query;
use crate::http::status;

/// A load report as JSON.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct LoadJson {
    version: VersionName,
    running: u32,
    waiting: u32,
    slots: u32,
    tokens_per_second: f32,
}

impl From<EngineLoad> for LoadJson {
    fn from(load: EngineLoad) -> Self {
        Self {
            version: load.version,
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            tokens_per_second: load.tokens_per_second,
        }
    }
}

/// Cache events as JSON. Hashes are strings because JSON parsers may round 64-bit numbers.
#[derive(Debug)]
#[derive(Serialize)]
struct CacheJson {
    seq: u64,
    whole: bool,
    added: Vec<String>,
    removed: Vec<String>,
}

impl From<CacheUpdate> for CacheJson {
    fn from(update: CacheUpdate) -> Self {
        let text = |hashes: Vec<u64>| hashes.iter().map(u64::to_string).collect();
        Self {
            seq: update.seq,
            whole: update.whole,
            added: text(update.added),
            removed: text(update.removed),
        }
    }
}

/// An order as JSON.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
enum OrderJson {
    Load { version: VersionName, fence: u64 },
    Role { role: String, fence: u64 },
    Fence { fence: u64 },
}

impl From<OrderJson> for (EngineAction, FencingToken) {
    fn from(row: OrderJson) -> Self {
        match row {
            OrderJson::Load { version, fence } => {
                (EngineAction::Load(version), FencingToken(fence))
            }
            OrderJson::Role { role, fence } => (EngineAction::Role(role), FencingToken(fence)),
            OrderJson::Fence { fence } => (EngineAction::Fence, FencingToken(fence)),
        }
    }
}

#[derive(Debug)]
#[derive(Serialize)]
struct VersionJson {
    version: VersionName,
}

#[async_trait]
impl Handler for ModelEngine {
    async fn handle(&self, req: Request<Bytes>) -> Response<Body> {
        let answered = match req.uri().path() {
            "/cache/events" => cache_events(self, &req).await,
            path if path.starts_with("/kv/") => self.kv(&req),
            _ => handle(self, &req).await,
        };
        answered.unwrap_or_else(|e| error_response(&e))
    }
}

impl ModelEngine {
    fn kv(&self, req: &Request<Bytes>) -> Result<Response<Body>> {
        let path = req.uri().path();
        let request: RequestId = path.trim_start_matches("/kv/").parse()?;
        if req.method() == Method::GET {
            return Ok(json(StatusCode::OK, &self.export_kv(request)?));
        }
        let kv: KvExport = from_json(req.body())?;
        self.import_kv(request, kv);
        Ok(status(StatusCode::OK))
    }
}

/// Handles the calls that model engines and plain services have in common.
pub(crate) async fn handle(engine: &dyn Engine, req: &Request<Bytes>) -> Result<Response<Body>> {
    let path = req.uri().path();
    match path {
        "/load" => Ok(json(StatusCode::OK, &LoadJson::from(engine.load().await?))),
        "/orders" => order(engine, req).await,
        _ => match path
            .strip_prefix("/v1/requests/")
            .and_then(|p| p.split_once('/'))
        {
            Some((request, "cancel")) => {
                engine.cancel(request.parse()?).await?;
                Ok(status(StatusCode::OK))
            }
            Some((request, "stream")) => {
                let offset = query(req, "offset").and_then(|o| o.parse().ok());
                let stream = engine.resume(request.parse()?, offset.unwrap_or(0)).await?;
                Ok(to_response(stream).await)
            }
            _ if req.method() == Method::POST => run(engine, req).await,
            _ => Ok(status(StatusCode::NOT_FOUND)),
        },
    }
}

async fn cache_events(engine: &ModelEngine, req: &Request<Bytes>) -> Result<Response<Body>> {
    let after = query(req, "after").and_then(|seq| seq.parse().ok());
    let update = engine.cache_events(after.unwrap_or(0)).await?;
    Ok(json(StatusCode::OK, &CacheJson::from(update)))
}

async fn order(engine: &dyn Engine, req: &Request<Bytes>) -> Result<Response<Body>> {
    let row: OrderJson = from_json(req.body())?;
    let (action, fence) = row.into();
    let version = engine.order(action, fence).await?;
    Ok(json(StatusCode::OK, &VersionJson { version }))
}

async fn run(engine: &dyn Engine, req: &Request<Bytes>) -> Result<Response<Body>> {
    let request = header(req, "x-request-id").unwrap_or("0").parse()?;
    let headers = req.headers().iter();
    let call = Call {
        method: req.method().to_string(),
        path: req.uri().path().to_owned(),
        headers: headers
            .map(|(name, value)| eelgrassramp::wire::Header {
                name: name.as_str().to_owned(),
                value: value.as_bytes().to_vec(),
            })
            .collect(),
        body: req.body().clone(),
    };
    Ok(to_response(engine.run(request, call).await?).await)
}

async fn to_response(mut events: EngineStream) -> Response<Body> {
    let Some(Ok(EngineEvent::Head { status, headers })) = events.next().await else {
        return aborted_response();
    };
    let body = stream::unfold(Some(events), next_frame);
    let body: Body = BodyExt::boxed_unsync(StreamBody::new(body));
    let mut res = Response::new(body);
    *res.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in headers {
        let name = HeaderName::try_from(header.name);
        let value = HeaderValue::try_from(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            res.headers_mut().insert(name, value);
        }
    }
    res
}

type FrameResult = std::result::Result<Frame<Bytes>, BodyError>;

async fn next_frame(events: Option<EngineStream>) -> Option<(FrameResult, Option<EngineStream>)> {
    let mut events = events?;
    match events.next().await {
        Some(Ok(EngineEvent::Data(piece))) => Some((Ok(Frame::data(piece)), Some(events))),
        Some(Ok(EngineEvent::Head { .. } | EngineEvent::End(_))) => None,
        Some(Err(e)) => Some((Err(e.into()), None)),
        None => Some((
            Err("the response ended before it was complete".into()),
            None,
        )),
    }
}

/// Returns a response whose connection breaks before the body.
fn aborted_response() -> Response<Body> {
    let failed: FrameResult = Err("the engine sent no response".into());
    let body = StreamBody::new(stream::iter([failed]));
    let mut res = Response::new(BodyExt::boxed_unsync(body));
    *res.status_mut() = StatusCode::BAD_GATEWAY;
    res
}

pub(crate) fn error_response(e: &Error) -> Response<Body> {
    let code = match e.kind() {
        Kind::FencedOff => StatusCode::CONFLICT,
        Kind::NotFound => StatusCode::NOT_FOUND,
        Kind::BadRequest => StatusCode::BAD_REQUEST,
        Kind::ConnectFailed => return aborted_response(),
        _ => StatusCode::INTERNAL_SERVER_ERROR,
    };
    let mut res = Response::new(full(e.to_string()));
    *res.status_mut() = code;
    res
}

fn from_json<T: serde::de::DeserializeOwned>(body: &Bytes) -> Result<T> {
    serde_json::from_slice(body)
        .map_err(|e| Error::with_source(Kind::BadRequest, "request body", e))
}
