//! The HTTP interface for callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::TryStreamExt;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;

use super::classify::CallerRequest;
use super::classify::header;
use super::response::CallerResponse;
use super::response::ResponseHead;
use super::service::Service;
use crate::connection_table::OpenConnection;
use crate::connection_table::ServedRequest;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::request_body::RequestBodies;
use crate::request_body::Reservation;
use crate::time::Timers;
use crate::wire::Header;

/// A response body that ends with an error when the response is incomplete.
pub(super) type HttpBody = http_body_util::combinators::UnsyncBoxBody<Bytes, Error>;

/// Hop-by-hop headers of an endpoint's response, which are not forwarded to the caller.
const HOP_BY_HOP_HEADERS: [&str; 7] = [
    "connection",
    "content-length",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// What the requests on one connection of a caller have in common.
#[derive(Debug)]
pub(super) struct CallerConnection {
    pub(super) service: Service,
    pub(super) timers: Timers,
    /// Time for a caller to send the body of a request.
    pub(super) receive_timeout: Duration,
    /// The bodies of all callers' requests.
    pub(super) bodies: RequestBodies,
    pub(super) open: OpenConnection,
}

/// Handles one HTTP request.
pub(super) async fn handle(
    connection: Arc<CallerConnection>,
    req: Request<Incoming>,
) -> Response<HttpBody> {
    let service = &connection.service;
    connection.open.wait_from(connection.timers.now());
    match req.uri().path() {
        "/healthz" => return plain_text(StatusCode::OK, "ok\n"),
        "/readyz" if service.is_ready() => return plain_text(StatusCode::OK, "ready\n"),
        "/readyz" => return plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/histograms" => return histograms(service),
        _ => {}
    }
    let head = match connection.bodies.reserve_head(req.headers()) {
        Ok(head) => head,
        Err(e) => return to_response(service.refuse(&e), None),
    };
    match connection.read_request(req).await {
        Ok(req) => {
            let served = connection.open.begin_request(&connection.timers);
            to_response(service.call(req).await, Some((served, head)))
        }
        Err(e) => to_response(service.refuse(&e), None),
    }
}

impl CallerConnection {
    async fn read_request(&self, req: Request<Incoming>) -> Result<CallerRequest> {
        let max_body_bytes = self.service.max_body_bytes(req.uri().path())?;
        let (parts, body) = req.into_parts();
        let limit = self.receive_timeout;
        let body = self
            .timers
            .limit(limit, self.bodies.read(body, max_body_bytes))
            .await
            .ok_or_else(|| {
                let detail = format!("request body not received within {} ms", limit.as_millis());
                Error::new(Kind::RequestTimeout, detail)
            })??;
        let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
        let headers = parts.headers.iter().map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        });
        Ok(CallerRequest {
            method: parts.method.as_str().to_owned(),
            path: path.to_owned(),
            headers: headers.collect(),
            body: body.into_bytes(),
        })
    }
}

/// Converts a response, whose connection is in use and whose request is reserved until its body was sent.
fn to_response(
    response: CallerResponse,
    served: Option<(ServedRequest, Reservation)>,
) -> Response<HttpBody> {
    let CallerResponse { head, body } = response;
    let body = StreamBody::new(body.map_ok(move |bytes| {
        let _held = &served;
        Frame::data(bytes)
    }));
    let mut resp = Response::new(BodyExt::boxed_unsync(body));
    *resp.status_mut() =
        StatusCode::from_u16(head.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    set_headers(&head, &mut resp);
    resp
}

fn set_headers(head: &ResponseHead, resp: &mut Response<HttpBody>) {
    let headers = resp.headers_mut();
    for h in &head.headers {
        if HOP_BY_HOP_HEADERS.contains(&h.name.as_str()) {
            continue;
        }
        let name = HeaderName::from_bytes(h.name.as_bytes());
        let value = HeaderValue::from_bytes(&h.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers.insert(header::RAN, HeaderValue::from_static(head.ran.as_str()));
    if let Ok(request) = HeaderValue::from_str(&head.request.to_string()) {
        headers.insert(header::REQUEST, request);
    }
    if let Some(seconds) = head.retry_after_s {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if let Some(length) = head.content_length {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
}

fn histograms(service: &Service) -> Response<HttpBody> {
    let body = serde_json::to_vec(&service.histograms()).unwrap_or_default();
    let mut resp = response_with_body(StatusCode::OK, body.into());
    resp.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    resp
}

fn plain_text(status: StatusCode, text: &'static str) -> Response<HttpBody> {
    response_with_body(status, Bytes::from_static(text.as_bytes()))
}

fn response_with_body(status: StatusCode, body: Bytes) -> Response<HttpBody> {
    let body = http_body_util::Full::new(body).map_err(|never| match never {});
    let mut resp = Response::new(body.boxed_unsync());
    *resp.status_mut() = status;
    resp
}
