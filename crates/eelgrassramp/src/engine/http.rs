//! HTTP client for engines and plain services, following the endpoint protocol.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use super::Engine;
use super::EngineEvent;
use super::EngineLoad;
use super::EngineStream;
use super::usage::UsageScanner;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::id::FencingToken;
use crate::id::RequestId;
use crate::name::VersionName;
use crate::time::Timers;
use crate::wire::CacheUpdate;
use crate::wire::Call;
use crate::wire::EngineAction;
use crate::wire::Header;
use crate::wire::MAX_MESSAGE_BYTES;

/// Statuses of responses to a call. The HTTP library also passes on a switch to another protocol, and
/// numbers without meaning.
const FINAL_STATUSES: std::ops::Range<u16> = 200..600;

const REQUEST_ID: &str = "x-request-id";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
const ORDER_TIMEOUT: Duration = Duration::from_mins(10);

/// Headers that apply to a single connection and are not forwarded, see RFC 9110, 7.6.1.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// HTTP/1.1 client of one endpoint that opens a new connection for each call.
///
/// The endpoint runs on the same VM, so connections are cheap. With one connection per call,
/// it is certain whether any byte of a call was sent.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    address: SocketAddr,
    timers: Timers,
}

struct PendingResponse {
    response: Response<Incoming>,
    /// The task that drives the connection; dropping it closes the connection.
    connection: AbortOnDropHandle<()>,
}

#[derive(Deserialize)]
struct LoadBody {
    version: VersionName,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    tokens_per_second: f32,
}

#[derive(Deserialize)]
struct CacheBody {
    seq: u64,
    whole: bool,
    added: Vec<String>,
    removed: Vec<String>,
}

#[derive(Serialize)]
#[serde(tag = "action", rename_all = "snake_case")]
enum OrderBody<'a> {
    Load {
        version: &'a VersionName,
        fence: u64,
    },
    Role {
        role: &'a str,
        fence: u64,
    },
}

#[derive(Deserialize)]
struct OrderResponse {
    version: VersionName,
}

impl From<LoadBody> for EngineLoad {
    fn from(body: LoadBody) -> Self {
        Self {
            version: body.version,
            running: body.running,
            waiting: body.waiting,
            slots: body.slots,
            tokens_per_second: body.tokens_per_second,
        }
    }
}

impl TryFrom<CacheBody> for CacheUpdate {
    type Error = Error;

    fn try_from(body: CacheBody) -> Result<Self> {
        Ok(Self {
            seq: body.seq,
            whole: body.whole,
            added: to_hashes(&body.added)?,
            removed: to_hashes(&body.removed)?,
        })
    }
}

fn to_hashes(texts: &[String]) -> Result<Vec<u64>> {
    texts
        .iter()
        .map(|text| {
            text.parse().map_err(|e| {
                Error::with_source(Kind::Malformed, format!("parse block hash {text:?}"), e)
            })
        })
        .collect()
}

impl HttpEngine {
    /// Creates a client of the endpoint at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr, timers: Timers) -> Self {
        Self { address, timers }
    }

    /// Sends one request; fails with `ConnectFailed` only if nothing was sent.
    async fn send(&self, req: Request<Full<Bytes>>) -> Result<PendingResponse> {
        let (mut sender, connection) = self.connect().await?;
        let what = format!("{} {} at {}", req.method(), req.uri(), self.address);
        let response = sender
            .send_request(req)
            .await
            .map_err(|e| Error::with_source(Kind::EndpointFailed, what.as_str(), e))?;
        let status = response.status();
        if !FINAL_STATUSES.contains(&status.as_u16()) {
            let detail = format!("{what}: status {status}");
            return Err(Error::new(Kind::EndpointFailed, detail));
        }
        Ok(PendingResponse {
            response,
            connection,
        })
    }

    async fn connect(&self) -> Result<(http1::SendRequest<Full<Bytes>>, AbortOnDropHandle<()>)> {
        let detail = || format!("connect to endpoint at {}", self.address);
        let tcp = self
            .timers
            .limit(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .ok_or_else(|| Error::new(Kind::ConnectFailed, format!("{}: timeout", detail())))?
            .map_err(|e| Error::with_source(Kind::ConnectFailed, detail(), e))?;
        // Nagle's algorithm would delay small chunks until acknowledgements arrive. A failure to
        // disable it affects only the latency.
        let _result = tcp.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(tcp))
            .await
            .map_err(|e| Error::with_source(Kind::ConnectFailed, detail(), e))?;
        let connection_task = tokio::spawn(async move {
            // A connection error is also reported by the sender or by the body.
            let _result = connection.await;
        });
        Ok((sender, AbortOnDropHandle::new(connection_task)))
    }

    /// Sends a short call and reads the complete response.
    async fn send_control_call(
        &self,
        req: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(u16, Bytes)> {
        let what = format!("{} {} at {}", req.method(), req.uri(), self.address);
        let work = async {
            let pending = self.send(req).await?;
            let status = pending.response.status().as_u16();
            let body = Limited::new(pending.response.into_body(), MAX_MESSAGE_BYTES)
                .collect()
                .await
                .map_err(|e| Error::with_source(Kind::EndpointFailed, what.as_str(), e))?;
            drop(pending.connection);
            Ok((status, body.to_bytes()))
        };
        self.timers
            .limit(limit, work)
            .await
            .unwrap_or_else(|| Err(Error::new(Kind::EndpointFailed, format!("{what}: timeout"))))
    }

    async fn get_json<T: for<'de> Deserialize<'de>>(&self, path: &str) -> Result<T> {
        let req = self.request(Method::GET, path, Bytes::new())?;
        let (status, body) = self.send_control_call(req, CONTROL_TIMEOUT).await?;
        if status != 200 {
            let detail = format!("GET {path} at {}: status {status}", self.address);
            return Err(Error::new(Kind::EndpointFailed, detail));
        }
        from_json(&body, path)
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>> {
        Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| Error::with_source(Kind::BadRequest, format!("path {path:?}"), e))
    }

    fn call_request(&self, request: RequestId, call: Call) -> Result<Request<Full<Bytes>>> {
        let bad_request =
            |what: &str, e: http::Error| Error::with_source(Kind::BadRequest, what, e);
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|e| bad_request(&format!("method {:?}", call.method), e.into()))?;
        let mut req = Request::builder()
            .method(method)
            .uri(&call.path)
            .body(Full::new(call.body))
            .map_err(|e| bad_request(&format!("path {:?}", call.path), e))?;
        let headers = req.headers_mut();
        for h in call.headers {
            let name = HeaderName::from_bytes(h.name.as_bytes())
                .map_err(|e| bad_request(&format!("header {:?}", h.name), e.into()))?;
            let value = HeaderValue::from_bytes(&h.value)
                .map_err(|e| bad_request(&format!("value of header {:?}", h.name), e.into()))?;
            if !HOP_BY_HOP.contains(&name) {
                headers.append(name, value);
            }
        }
        headers.insert(header::HOST, to_value(&self.address.to_string())?);
        headers.insert(REQUEST_ID, to_value(&request.to_string())?);
        Ok(req)
    }
}

fn to_value(text: &str) -> Result<HeaderValue> {
    HeaderValue::from_str(text)
        .map_err(|e| Error::with_source(Kind::Internal, format!("header value {text:?}"), e))
}

fn from_json<T: for<'de> Deserialize<'de>>(body: &[u8], what: &str) -> Result<T> {
    serde_json::from_slice(body)
        .map_err(|e| Error::with_source(Kind::Malformed, format!("decode response to {what}"), e))
}

#[async_trait]
impl Engine for HttpEngine {
    async fn run(&self, request: RequestId, call: Call) -> Result<EngineStream> {
        // A call that cannot be built is not sent, which `ConnectFailed` reports to the caller.
        let req = self
            .call_request(request, call)
            .map_err(|e| Error::with_source(Kind::ConnectFailed, "call was not sent", e))?;
        Ok(to_events(self.send(req).await?, CompletionRule::EndMarker))
    }

    async fn resume(&self, request: RequestId, offset: u64) -> Result<EngineStream> {
        let path = format!("/v1/requests/{request}/stream?offset={offset}");
        let pending = self
            .send(self.request(Method::GET, &path, Bytes::new())?)
            .await?;
        let status = pending.response.status();
        if !status.is_success() {
            let detail = format!("resume request {request} at {offset}: status {status}");
            return Err(Error::new(Kind::OutcomeUnknown, detail));
        }
        Ok(to_events(pending, CompletionRule::EndOfBody))
    }

    async fn cancel(&self, request: RequestId) -> Result<()> {
        let path = format!("/v1/requests/{request}/cancel");
        let req = self.request(Method::POST, &path, Bytes::new())?;
        self.send_control_call(req, CONTROL_TIMEOUT).await?;
        Ok(())
    }

    async fn load(&self) -> Result<EngineLoad> {
        let body: LoadBody = self.get_json("/load").await?;
        Ok(body.into())
    }

    async fn cache_events(&self, seq: u64) -> Result<CacheUpdate> {
        let body: CacheBody = self.get_json(&format!("/cache/events?after={seq}")).await?;
        body.try_into()
    }

    async fn order(&self, action: EngineAction, fence: FencingToken) -> Result<VersionName> {
        let body = match &action {
            EngineAction::Fence => return Ok(self.load().await?.version),
            EngineAction::Load(version) => OrderBody::Load {
                version,
                fence: fence.0,
            },
            EngineAction::Role(role) => OrderBody::Role {
                role,
                fence: fence.0,
            },
        };
        let body = serde_json::to_vec(&body)
            .map_err(|e| Error::with_source(Kind::Internal, "encode order", e))?;
        let req = self.request(Method::POST, "/orders", body.into())?;
        let (status, body) = self.send_control_call(req, ORDER_TIMEOUT).await?;
        match status {
            200 => Ok(from_json::<OrderResponse>(&body, "/orders")?.version),
            409 => {
                let detail = format!("endpoint at {} refused fencing token {fence}", self.address);
                Err(Error::new(Kind::FencedOff, detail))
            }
            _ => {
                let detail = format!("order to endpoint at {}: status {status}", self.address);
                Err(Error::new(Kind::EndpointFailed, detail))
            }
        }
    }
}

/// What a response needs, besides the clean end of its body, to be complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CompletionRule {
    /// An event stream must contain its end marker.
    EndMarker,
    /// The end of the body suffices, since the resumed position may be inside the end marker.
    EndOfBody,
}

struct ResponseReader {
    body: Incoming,
    scanner: UsageScanner,
    completion_rule: CompletionRule,
    is_done: bool,
    _connection: AbortOnDropHandle<()>,
}

fn to_events(pending: PendingResponse, completion_rule: CompletionRule) -> EngineStream {
    let (parts, body) = pending.response.into_parts();
    let head = EngineEvent::Head {
        status: parts.status.as_u16(),
        headers: to_headers(&parts.headers),
    };
    let reader = ResponseReader {
        body,
        scanner: UsageScanner::new(is_event_stream(&parts.headers)),
        completion_rule,
        is_done: false,
        _connection: pending.connection,
    };
    let events = stream::unfold(reader, next_event);
    Box::pin(stream::once(async { Ok(head) }).chain(events))
}

async fn next_event(mut reader: ResponseReader) -> Option<(Result<EngineEvent>, ResponseReader)> {
    if reader.is_done {
        return None;
    }
    loop {
        let Some(frame) = reader.body.frame().await else {
            reader.is_done = true;
            return Some((end_event(&mut reader), reader));
        };
        match frame.map(hyper::body::Frame::into_data) {
            Ok(Ok(bytes)) => {
                reader.scanner.scan(&bytes);
                return Some((Ok(EngineEvent::Data(bytes)), reader));
            }
            // Trailers are not forwarded.
            Ok(Err(_trailers)) => {}
            Err(e) => {
                reader.is_done = true;
                let e =
                    Error::with_source(Kind::StreamBroken, "read response body of the endpoint", e);
                return Some((Err(e), reader));
            }
        }
    }
}

fn end_event(reader: &mut ResponseReader) -> Result<EngineEvent> {
    let usage = reader.scanner.finish();
    if reader.completion_rule == CompletionRule::EndMarker && !reader.scanner.is_complete() {
        let detail = "event stream of the endpoint ended without its end marker";
        return Err(Error::new(Kind::StreamBroken, detail));
    }
    Ok(EngineEvent::End(usage))
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONTENT_TYPE)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.starts_with("text/event-stream"))
}

fn to_headers(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(name))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}
