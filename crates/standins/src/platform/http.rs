//! HTTP interface of the object API.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::ObjectVersion;
use eelgrassramp::Result;
use eelgrassramp::store::Object;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use serde::Serialize;

use super::server::Platform;
use crate::http::Body;
use crate::http::Handler;
use crate::http::full;
use crate::http::header;
use crate::http::json;
use crate::http::query;
use crate::http::status;

const DEFAULT_WAIT_MS: u64 = 10_000;

/// One object of a listing as JSON.
#[derive(Debug)]
#[derive(Serialize)]
struct ObjectJson {
    key: String,
    version: u64,
    value: String,
}

impl From<Object> for ObjectJson {
    fn from(object: Object) -> Self {
        Self {
            value: String::from_utf8_lossy(&object.value).into_owned(),
            version: object.version.0,
            key: object.key,
        }
    }
}

#[async_trait]
impl Handler for Platform {
    async fn handle(&self, req: Request<Bytes>) -> Response<Body> {
        let caller = header(&req, "user-agent").unwrap_or("unnamed").into();
        let path = req.uri().path().to_owned();
        let answered = match (req.method(), path.strip_prefix("/objects/")) {
            (&Method::GET, Some(key)) => self.read(&caller, key, &req).await,
            (&Method::PUT, Some(key)) => self.write(&caller, key, &req).await,
            (&Method::GET, None) if path == "/objects" => self.list_objects(&caller, &req).await,
            (&Method::GET, None) if path == "/vms" => self.list_vms(&caller).await,
            _ => Ok(status(StatusCode::NOT_FOUND)),
        };
        match answered {
            Ok(res) => res,
            Err(e) => self.error_response(&e).await,
        }
    }
}

impl Platform {
    async fn read(
        &self,
        caller: &Arc<str>,
        key: &str,
        req: &Request<Bytes>,
    ) -> Result<Response<Body>> {
        let Some(after) = query_number(req, "watch_after") else {
            let object = self.get(caller, key).await?;
            return Ok(to_response(object));
        };
        let wait = query_number(req, "wait_ms").unwrap_or(DEFAULT_WAIT_MS);
        let wait = Duration::from_millis(wait);
        let after = ObjectVersion(after);
        let object = self.watch(caller, key, after, wait).await?;
        if object.version <= after {
            return Ok(status(StatusCode::NOT_MODIFIED));
        }
        Ok(to_response(object))
    }

    async fn write(
        &self,
        caller: &Arc<str>,
        key: &str,
        req: &Request<Bytes>,
    ) -> Result<Response<Body>> {
        let expected = expected(req)?;
        let value = req.body().clone();
        let version = self.put(caller, key, expected, value).await?;
        let mut res = status(StatusCode::OK);
        set_etag(&mut res, version);
        Ok(res)
    }

    async fn list_objects(
        &self,
        caller: &Arc<str>,
        req: &Request<Bytes>,
    ) -> Result<Response<Body>> {
        let prefix = query(req, "prefix").unwrap_or_default().replace("%2F", "/");
        let objects = self.list(caller, &prefix).await?;
        let list_objects: Vec<ObjectJson> = objects.into_iter().map(ObjectJson::from).collect();
        Ok(json(StatusCode::OK, &list_objects))
    }

    async fn list_vms(&self, caller: &Arc<str>) -> Result<Response<Body>> {
        let vms = self.vms(caller).await?;
        Ok(json(StatusCode::OK, &vms))
    }

    async fn error_response(&self, e: &Error) -> Response<Body> {
        match e.kind() {
            Kind::Conflict => status(StatusCode::PRECONDITION_FAILED),
            Kind::BadRequest => status(StatusCode::BAD_REQUEST),
            // Leaves the client without a reply, as when the reply is lost.
            Kind::WriteUnsettled => std::future::pending().await,
            _ if e.detail().ends_with("rate limit") => status(StatusCode::TOO_MANY_REQUESTS),
            _ => status(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

fn query_number(req: &Request<Bytes>, name: &str) -> Option<u64> {
    query(req, name)?.parse().ok()
}

fn expected(req: &Request<Bytes>) -> Result<Option<ObjectVersion>> {
    if header(req, "if-none-match") == Some("*") {
        return Ok(Some(ObjectVersion(0)));
    }
    let Some(tag) = header(req, "if-match") else {
        return Ok(None);
    };
    let version = tag.trim_matches('"').parse();
    version
        .map(|version| Some(ObjectVersion(version)))
        .map_err(|e| Error::with_source(Kind::BadRequest, format!("If-Match {tag:?}"), e))
}

fn to_response(object: Object) -> Response<Body> {
    if object.version == ObjectVersion(0) {
        return status(StatusCode::NOT_FOUND);
    }
    let mut res = Response::new(full(object.value));
    set_etag(&mut res, object.version);
    res
}

fn set_etag(res: &mut Response<Body>, version: ObjectVersion) {
    if let Ok(tag) = HeaderValue::try_from(format!("\"{version}\"")) {
        res.headers_mut().insert(http::header::ETAG, tag);
    }
}
