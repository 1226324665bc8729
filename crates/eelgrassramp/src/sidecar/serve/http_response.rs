//! HTTP responses of the sidecar.

use std::convert::Infallible;

use bytes::Bytes;
use futures_util::StreamExt;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame as BodyFrame;
use serde::Serialize;

use crate::error::Error;
use crate::link::FrameStream;
use crate::wire;

pub(super) type Body = UnsyncBoxBody<Bytes, Infallible>;

const CONTENT_TYPE_MESSAGE_PACK: &str = "application/msgpack";
const CONTENT_TYPE_JSON: &str = "application/json";
const CONTENT_TYPE_TEXT: &str = "text/plain; charset=utf-8";

/// Returns a response with one message.
pub(super) fn message<T: Serialize>(message: &T) -> Response<Body> {
    match wire::to_bytes(message) {
        Ok(body) => response(StatusCode::OK, CONTENT_TYPE_MESSAGE_PACK, body),
        Err(e) => internal(&e),
    }
}

/// Returns a response that streams frames.
pub(super) fn frames(frames: FrameStream) -> Response<Body> {
    let chunks = frames
        .map(|frame| frame.and_then(|f| wire::to_frame(&f)))
        .take_while(|chunk| std::future::ready(chunk.is_ok()))
        .filter_map(|chunk| std::future::ready(chunk.ok()))
        .map(|bytes| Ok(BodyFrame::data(bytes)));
    let mut resp = Response::new(StreamBody::new(chunks).boxed_unsync());
    set_content_type(&mut resp, CONTENT_TYPE_MESSAGE_PACK);
    resp
}

/// Returns a response that holds `held` until its body was sent.
pub(super) fn while_held<T: Send + 'static>(resp: Response<Body>, held: T) -> Response<Body> {
    resp.map(|body| {
        let body = body.map_frame(move |frame| {
            let _held = &held;
            frame
        });
        body.boxed_unsync()
    })
}

/// Returns the response to a call that failed without any effect.
pub(super) fn failure(failure: &wire::Failure) -> Response<Body> {
    let status = failure.kind.answer().status;
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    match wire::to_bytes(failure) {
        Ok(body) => response(status, CONTENT_TYPE_MESSAGE_PACK, body),
        Err(e) => internal(&e),
    }
}

/// Returns the response to a health check.
pub(super) fn health(is_ok: bool, body: &'static str) -> Response<Body> {
    let status = if is_ok {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    response(
        status,
        CONTENT_TYPE_TEXT,
        Bytes::from_static(body.as_bytes()),
    )
}

/// Returns a response with a JSON body.
pub(super) fn json<T: Serialize>(value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    response(StatusCode::OK, CONTENT_TYPE_JSON, body.into())
}

/// Returns the response to a call with an unknown path.
pub(super) fn not_found() -> Response<Body> {
    response(
        StatusCode::NOT_FOUND,
        CONTENT_TYPE_TEXT,
        Bytes::from_static(b"no such path\n"),
    )
}

fn internal(e: &Error) -> Response<Body> {
    let body = Bytes::from(e.to_string());
    response(StatusCode::INTERNAL_SERVER_ERROR, CONTENT_TYPE_TEXT, body)
}

fn response(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Body> {
    let mut resp = Response::new(Full::new(body).boxed_unsync());
    *resp.status_mut() = status;
    set_content_type(&mut resp, content_type);
    resp
}

fn set_content_type(resp: &mut Response<Body>, content_type: &'static str) {
    let value = http::HeaderValue::from_static(content_type);
    resp.headers_mut().insert(header::CONTENT_TYPE, value);
}
