//! The HTTP server shared by all simulated systems.

use std::convert::Infallible;
use std::error::Error as StdError;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::server::conn::auto;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// An error in a response body; it aborts the connection.
pub type BodyError = Box<dyn StdError + Send + Sync>;

/// The body of a response.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Handles the requests to one simulated system.
#[async_trait]
pub trait Handler: Debug + Send + Sync + 'static {
    /// Handles one request whose body was received completely.
    async fn handle(&self, req: Request<Bytes>) -> Response<Body>;
}

/// Serves `handler` on `addr` until `stop` is cancelled, then drops every connection.
///
/// Returns the bound address, so that `addr` may have port 0.
///
/// # Errors
///
/// Returns [`Kind::InvalidSettings`] when `addr` cannot be bound.
pub async fn serve(
    addr: SocketAddr,
    handler: Arc<dyn Handler>,
    stop: CancellationToken,
) -> Result<SocketAddr> {
    let fail = |e| Error::with_source(Kind::InvalidSettings, format!("listen on {addr}"), e);
    let listener = TcpListener::bind(addr).await.map_err(fail)?;
    let local = listener.local_addr().map_err(fail)?;
    tokio::spawn(
        stop.clone()
            .run_until_cancelled_owned(accept_connections(listener, handler, stop)),
    );
    Ok(local)
}

async fn accept_connections(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    stop: CancellationToken,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let handler = Arc::clone(&handler);
        tokio::spawn(
            stop.clone()
                .run_until_cancelled_owned(handle_connection(stream, handler)),
        );
    }
}

async fn handle_connection(stream: TcpStream, handler: Arc<dyn Handler>) {
    let _nodelay = stream.set_nodelay(true);
    let service = service_fn(move |req| respond(Arc::clone(&handler), req));
    let builder = auto::Builder::new(TokioExecutor::new());
    // A broken connection affects only its own client.
    let _ended = builder
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn respond(
    handler: Arc<dyn Handler>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let (parts, body) = req.into_parts();
    let res = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            let req = Request::from_parts(parts, body.to_bytes());
            handler.handle(req).await
        }
        Err(_) => status(StatusCode::BAD_REQUEST),
    };
    Ok(res)
}

/// Returns a body that consists of `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds a response with a status and an empty body.
#[must_use]
pub fn status(code: StatusCode) -> Response<Body> {
    let mut res = Response::new(full(Bytes::new()));
    *res.status_mut() = code;
    res
}

/// Builds a response with a JSON body.
pub fn json(code: StatusCode, value: &impl Serialize) -> Response<Body> {
    let Ok(body) = serde_json::to_vec(value) else {
        return status(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut res = Response::new(full(body));
    *res.status_mut() = code;
    res.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    res
}

/// Returns the value of `name` in the query of `req` without percent-decoding.
#[must_use]
pub fn query<'a, B>(req: &'a Request<B>, name: &str) -> Option<&'a str> {
    let pairs = req.uri().query()?.split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Returns the value of the header `name` as text.
#[must_use]
pub fn header<'a, B>(req: &'a Request<B>, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}
