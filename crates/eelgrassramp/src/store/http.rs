//! HTTP implementation of the object API.
//!
//! Each call opens a new connection. Calls are rare, and a kept connection may be dead while new
//! ones work: see `docs/design/store.md`, "Connections".

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use super::api::MAX_VALUE_BYTES;
use super::api::Object;
use super::api::ObjectApi;
use super::api::Vm;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::id::ObjectVersion;
use crate::num;
use crate::time::Timers;

const MAX_LIST_BYTES: usize = 16 * MAX_VALUE_BYTES;

/// Address and timeout of the object API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpSettings {
    /// Address of the object API.
    pub address: SocketAddr,
    /// User agent under which the platform counts this process's calls.
    pub caller: String,
    /// Timeout of a call; for a watch, its wait time is added.
    pub call_timeout: Duration,
}

impl HttpSettings {
    /// Default for [`call_timeout`](Self::call_timeout).
    pub const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_secs(2);

    /// Creates settings for the object API at `address` with the default timeout.
    pub fn new(address: SocketAddr, caller: impl Into<String>) -> Self {
        Self {
            address,
            caller: caller.into(),
            call_timeout: Self::DEFAULT_CALL_TIMEOUT,
        }
    }
}

/// Calls the object API over HTTP.
#[derive(Debug)]
pub struct HttpObjectApi {
    settings: HttpSettings,
    timers: Timers,
}

impl HttpObjectApi {
    /// Creates a client; no connection is opened before the first call.
    #[must_use]
    pub const fn new(settings: HttpSettings, timers: Timers) -> Self {
        Self { settings, timers }
    }

    async fn call(&self, call: Call, wait: Duration) -> Result<Reply> {
        let limit = self.settings.call_timeout + wait;
        let is_write = call.method == Method::PUT;
        let description = format!("{} {}", call.method, call.path);
        let mut is_sent = false;
        let outcome = self
            .timers
            .limit(limit, self.exchange(call, &mut is_sent))
            .await;
        let cause = match outcome {
            Some(Ok(reply)) => return reply.check_status(&description, is_write),
            Some(Err(e)) => e.to_string(),
            None => format!("no answer within {} ms", num::millis(limit)),
        };
        Err(Error::new(
            failure_kind(is_write && is_sent),
            format!("{description}: {cause}"),
        ))
    }

    async fn exchange(&self, call: Call, is_sent: &mut bool) -> Result<Reply, ExchangeError> {
        let stream = TcpStream::connect(self.settings.address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let _connection = AbortOnDropHandle::new(tokio::spawn(connection));
        let req = call.into_request(&self.settings)?;
        *is_sent = true;
        let res = sender.send_request(req).await?;
        let (parts, body) = res.into_parts();
        let body = Limited::new(body, MAX_LIST_BYTES).collect().await?;
        Ok(Reply {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }
}

#[async_trait]
impl ObjectApi for HttpObjectApi {
    async fn get(&self, key: &str) -> Result<Object> {
        let call = Call::get(format!("/objects/{key}"));
        self.call(call, Duration::ZERO).await?.into_object(key)
    }

    async fn put(&self, key: &str, expected: ObjectVersion, value: Bytes) -> Result<ObjectVersion> {
        if value.len() > MAX_VALUE_BYTES {
            let detail = format!(
                "object {key:?}: {} bytes exceed {MAX_VALUE_BYTES}",
                value.len()
            );
            return Err(Error::new(Kind::BadRequest, detail));
        }
        let call = Call::put(key, expected, value);
        let reply = self.call(call, Duration::ZERO).await?;
        // The write was processed, so if the reply cannot be decoded the outcome is unknown.
        reply.version(key, Kind::WriteUnsettled)
    }

    async fn watch(&self, key: &str, after: ObjectVersion, wait: Duration) -> Result<Object> {
        let wait_ms = num::millis(wait);
        let call = Call::get(format!(
            "/objects/{key}?watch_after={after}&wait_ms={wait_ms}"
        ));
        let reply = self.call(call, wait).await?;
        if reply.status == StatusCode::NOT_MODIFIED {
            return Ok(Object {
                key: key.to_owned(),
                version: after,
                value: Bytes::new(),
            });
        }
        reply.into_object(key)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>> {
        let call = Call::get(format!("/objects?prefix={prefix}"));
        let rows: Vec<ObjectRow> = self
            .call(call, Duration::ZERO)
            .await?
            .json("list of objects")?;
        Ok(rows.into_iter().map(Object::from).collect())
    }

    async fn vms(&self) -> Result<Vec<Vm>> {
        let call = Call::get("/vms".to_owned());
        self.call(call, Duration::ZERO).await?.json("list of VMs")
    }
}

const fn failure_kind(may_have_written: bool) -> Kind {
    if may_have_written {
        Kind::WriteUnsettled
    } else {
        Kind::StoreUnavailable
    }
}

#[derive(Debug)]
#[derive(thiserror::Error)]
enum ExchangeError {
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    #[error("HTTP: {0}")]
    Hyper(#[from] hyper::Error),
    #[error("request: {0}")]
    Request(#[from] http::Error),
    #[error("body: {0}")]
    Body(#[from] Box<dyn std::error::Error + Send + Sync>),
}

#[derive(Debug)]
struct Call {
    method: Method,
    path: String,
    condition: Option<(header::HeaderName, String)>,
    body: Bytes,
}

impl Call {
    const fn get(path: String) -> Self {
        Self {
            method: Method::GET,
            path,
            condition: None,
            body: Bytes::new(),
        }
    }

    fn put(key: &str, expected: ObjectVersion, body: Bytes) -> Self {
        let condition = if expected == ObjectVersion(0) {
            (header::IF_NONE_MATCH, "*".to_owned())
        } else {
            (header::IF_MATCH, format!("\"{expected}\""))
        };
        Self {
            method: Method::PUT,
            path: format!("/objects/{key}"),
            condition: Some(condition),
            body,
        }
    }

    fn into_request(self, settings: &HttpSettings) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut builder = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(header::HOST, settings.address.to_string())
            .header(header::USER_AGENT, &settings.caller);
        if let Some((name, value)) = self.condition {
            builder = builder.header(name, value);
        }
        builder.body(Full::new(self.body))
    }
}

#[derive(Debug)]
struct Reply {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Reply {
    fn check_status(self, description: &str, is_write: bool) -> Result<Self> {
        let kind = match self.status {
            s if s.is_success() => return Ok(self),
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => return Ok(self),
            StatusCode::PRECONDITION_FAILED => Kind::Conflict,
            // With these two statuses the platform rejected the call before processing it.
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Kind::StoreUnavailable
            }
            s if s.is_server_error() => failure_kind(is_write),
            _ => Kind::BadRequest,
        };
        Err(Error::new(
            kind,
            format!("{description}: status {}", self.status),
        ))
    }

    fn version(&self, key: &str, error_kind: Kind) -> Result<ObjectVersion> {
        let tag = self.headers.get(header::ETAG);
        let text = tag.map(HeaderValue::to_str).and_then(Result::ok);
        let number = text.and_then(|t| t.trim_matches('"').parse().ok());
        number
            .map(ObjectVersion)
            .ok_or_else(|| Error::new(error_kind, format!("object {key:?}: ETag {text:?}")))
    }

    fn into_object(self, key: &str) -> Result<Object> {
        if self.status == StatusCode::NOT_FOUND {
            return Ok(Object {
                key: key.to_owned(),
                version: ObjectVersion(0),
                value: Bytes::new(),
            });
        }
        Ok(Object {
            key: key.to_owned(),
            version: self.version(key, Kind::StoreUnavailable)?,
            value: self.body,
        })
    }

    fn json<T: serde::de::DeserializeOwned>(&self, description: &str) -> Result<T> {
        serde_json::from_slice(&self.body)
            .map_err(|e| Error::with_source(Kind::StoreUnavailable, description.to_owned(), e))
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ObjectRow {
    key: String,
    version: u64,
    value: String,
}

impl From<ObjectRow> for Object {
    fn from(row: ObjectRow) -> Self {
        Self {
            key: row.key,
            version: ObjectVersion(row.version),
            value: row.value.into(),
        }
    }
}
