//! Routes HTTP requests to the methods of the service.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use crate::connection_table::OpenConnection;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Ran;
use crate::error::Result;
use crate::request_body::RequestBodies;
use crate::request_body::RequestBody;
use crate::wire;
use crate::wire::path;

use super::super::service::Service;
use super::http_response;
use super::http_response::Body;

/// Maximum time for the body of a request to arrive completely.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// What the requests on one connection have in common.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) service: Service,
    /// The messages that are received on all connections.
    pub(super) messages: RequestBodies,
    pub(super) open: OpenConnection,
}

/// Handles one HTTP request.
pub(super) async fn handle(connection: &Connection, req: Request<Incoming>) -> Response<Body> {
    match route(connection, req).await {
        Ok(resp) => resp,
        Err(e) => {
            let service = &connection.service;
            service.shared.count("sidecar.refused", e.kind().as_str());
            let detail = e.detail().to_owned();
            http_response::failure(&service.shared.failure(e.kind(), Ran::No, detail))
        }
    }
}

async fn route(connection: &Connection, req: Request<Incoming>) -> Result<Response<Body>> {
    let service = &connection.service;
    let timers = &service.shared.cx.timers;
    connection.open.wait_from(timers.now());
    let path = req.uri().path().to_owned();
    if req.method() == Method::GET {
        return get(service, &path).await;
    }
    let head = connection.messages.reserve_head(req.headers())?;
    let body = connection.read_body(req).await?;
    let served = connection.open.begin_request(timers);
    let resp = call(service, &path, &body).await?;
    Ok(http_response::while_held(resp, (served, head)))
}

async fn call(service: &Service, path: &str, body: &Bytes) -> Result<Response<Body>> {
    Ok(match path {
        path::DISPATCH => http_response::frames(service.dispatch(decode(body)?).await),
        path::ATTACH => http_response::frames(service.attach(decode(body)?).await),
        path::REVOKE => http_response::message(&service.revoke(decode(body)?).await),
        path::CANCEL => {
            service.cancel(decode(body)?).await;
            http_response::message(&())
        }
        path::REPORT => http_response::message(&service.report(decode(body)?).await),
        path::TABLES => {
            service.push_tables(decode(body)?).await?;
            http_response::message(&())
        }
        path::KEY => http_response::message(&service.close_key(decode(body)?).await),
        path::ORDER => http_response::message(&service.order(decode(body)?).await),
        _ => http_response::not_found(),
    })
}

async fn get(service: &Service, path: &str) -> Result<Response<Body>> {
    Ok(match path {
        path::TABLES => http_response::message(&service.tables().await?),
        "/healthz" => http_response::health(true, "ok\n"),
        "/readyz" if service.is_draining() => http_response::health(false, "draining\n"),
        "/readyz" => http_response::health(true, "ready\n"),
        "/histograms" => http_response::json(&service.service_times()),
        _ => http_response::not_found(),
    })
}

fn decode<T: DeserializeOwned>(body: &Bytes) -> Result<T> {
    wire::from_bytes(body)
}

impl Connection {
    async fn read_body(&self, req: Request<Incoming>) -> Result<Bytes> {
        let body = self.messages.read(req.into_body(), wire::MAX_MESSAGE_BYTES);
        let timers = &self.service.shared.cx.timers;
        let body = timers.limit(BODY_TIMEOUT, body).await.ok_or_else(|| {
            Error::new(Kind::RequestTimeout, "request body did not arrive in time")
        })?;
        body.map(RequestBody::into_bytes)
            .map_err(|e| match e.kind() {
                Kind::BadRequest => Error::with_source(Kind::Malformed, "read request body", e),
                _ => e,
            })
    }
}
