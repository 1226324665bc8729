//! The listeners of an entry: callers, the balancer's readiness checks and the metrics page.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use eelgrassramp::keep_running;
use http::StatusCode;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::connections;
use crate::entry::Entry;
use crate::handle::handle;

/// Time after a stop began in which the balancer stops sending new connections.
const BALANCER_NOTICE: Duration = Duration::from_millis(2_300);

/// Part of the time that a stop may take after which what is left is cut off.
const STOP_SHARE: f64 = 0.96;

/// Time for which a connection may be idle when no tables say so.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Smallest read buffer of a connection in bytes that the HTTP library accepts.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;

/// Where an entry listens and how long its stop may take.
#[derive(Debug, Clone, Copy)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub readiness: SocketAddr,
    /// Address of the metrics page.
    pub metrics: Option<SocketAddr>,
    /// Time from the request to stop until the process is killed.
    pub stop_grace: Duration,
}

/// Serves until the process is asked to stop and all requests in progress have ended.
///
/// A stop goes in steps: unready at once, no new connections once the balancer knows, then what
/// is in progress ends, and what takes longer than the grace allows is cut off.
///
/// # Errors
///
/// Returns [`Kind::InvalidSettings`] when an address cannot be listened on.
pub async fn serve(entry: Arc<Entry>, listen: Listen) -> Result<()> {
    let callers = bind(listen.callers).await?;
    let readiness = bind(listen.readiness).await?;
    if let Some(addr) = listen.metrics {
        let listener = bind(addr).await?;
        tokio::spawn(serve_pages(Arc::clone(&entry), listener, metrics_page));
    }
    tokio::spawn(serve_pages(Arc::clone(&entry), readiness, readiness_page));
    let ticking = Arc::clone(&entry);
    let tick = move || Arc::clone(&ticking).tick();
    tokio::spawn(keep_running(entry.cx().clone(), "tick", tick));
    let tracker = TaskTracker::new();
    let drain = CancellationToken::new();
    let accepting = accept(Arc::clone(&entry), callers, tracker.clone(), drain.clone());
    let accepting = tokio::spawn(accepting);
    entry.cx().stop.cancelled().await;
    let timers = &entry.cx().timers;
    let began = timers.now();
    info!(entry.cx().log, "stop began"; "connections" => tracker.len());
    timers.after(BALANCER_NOTICE).await;
    // A balancer without enough ready entries sends on; a refused connection goes elsewhere.
    accepting.abort();
    drain.cancel();
    tracker.close();
    let limit = listen.stop_grace.mul_f64(STOP_SHARE);
    let left = limit.saturating_sub(timers.now().since(began));
    let ended = timers.limit(left, tracker.wait()).await;
    info!(entry.cx().log, "stop ends"; "all_ended" => ended.is_some(),
        "connections" => tracker.len());
    Ok(())
}

async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .map_err(|e| Error::with_source(Kind::InvalidSettings, format!("listen on {addr}"), e))
}

async fn accept(
    entry: Arc<Entry>,
    listener: TcpListener,
    tracker: TaskTracker,
    drain: CancellationToken,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = serve_connection(Arc::clone(&entry), stream, drain.clone());
                tracker.spawn(serving);
            }
            Err(e) => {
                // Out of descriptors; those in use are freed as requests end.
                warn!(entry.cx().log, "accept failed"; "error" => %e);
                entry.cx().timers.after(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve_connection(entry: Arc<Entry>, stream: TcpStream, drain: CancellationToken) {
    if let Err(e) = connections::tune(&stream) {
        warn!(entry.cx().log, "socket options failed"; "error" => %e);
    }
    let limits = entry.deployment().map(|d| *d.limits()).unwrap_or_default();
    let service = service_fn(|req| {
        let entry = Arc::clone(&entry);
        async move { Ok::<_, Infallible>(handle(entry, req).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        // The buffer bounds the head of a request; a longer one is answered with 431.
        .max_buf_size(limits.header_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // How a connection ends is told by the requests on it.
    tokio::select! {
        _ended = connection.as_mut() => return,
        () = drain.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ended = connection.await;
}

type Page = fn(&Entry, &Request<Incoming>) -> Response<Full<Bytes>>;

async fn serve_pages(entry: Arc<Entry>, listener: TcpListener, page: Page) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            entry.cx().timers.after(Duration::from_millis(20)).await;
            continue;
        };
        let entry = Arc::clone(&entry);
        tokio::spawn(async move {
            let service = service_fn(|req| {
                let resp = page(&entry, &req);
                async move { Ok::<_, Infallible>(resp) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE)
                .serve_connection(TokioIo::new(stream), service);
            // A balancer that goes away in the middle of a check asks again.
            let _ended = connection.await;
        });
    }
}

fn readiness_page(entry: &Entry, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let is_asked = req.uri().path() == entry.caller_protocol().readiness_path();
    let status = match (is_asked, entry.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    plain(status, Bytes::new())
}

fn metrics_page(entry: &Entry, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    if !req.body().is_end_stream() {
        return plain(StatusCode::BAD_REQUEST, Bytes::new());
    }
    let text = entry
        .metrics()
        .render(entry.cx().timers.now(), &entry.gauges());
    plain(StatusCode::OK, Bytes::from(text))
}

fn plain(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut resp = Response::new(Full::new(body));
    *resp.status_mut() = status;
    resp
}
