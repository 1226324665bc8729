//! The HTTP listeners of an entry: requests, readiness checks and metrics.
//!
//! "Load balancer" here is the one in front of the entries.

mod caller_stream;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::Result;
use eelgrassramp::connection_table::ConnectionTable;
use eelgrassramp::connection_table::OpenConnection;
use eelgrassramp::listener::listen;
use eelgrassramp::restart_on_panic;
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

use self::caller_stream::CallerConnection;
use self::caller_stream::CallerStream;
use self::caller_stream::TrackedBody;
use crate::connections;
use crate::entry::Entry;
use crate::handle::handle;
use crate::request_log::LogLineKind;

/// Time that the load balancer in front of the entries needs to stop opening new connections after a
/// shutdown started.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_300);

/// Fraction of the grace period of a shutdown after which remaining requests are aborted.
const SHUTDOWN_TIMEOUT_FRACTION: f64 = 0.96;

/// Idle timeout of connections to the readiness and metrics pages.
const PAGE_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of connections to each of these pages.
const MAX_PAGE_CONNECTIONS: usize = 16;

/// Maximum size of the head of a request for one of these pages.
const MAX_PAGE_HEAD_BYTES: usize = 8 * 1024;

/// Largest head that the HTTP library reads, whatever the tables allow.
const MAX_HEAD_BYTES: usize = 1024 * 1024;

/// Listen addresses of an entry.
#[derive(Debug, Clone, Copy)]
pub struct ListenConfig {
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub readiness: SocketAddr,
    /// Address of the metrics page.
    pub metrics: Option<SocketAddr>,
}

/// Serves until the process is asked to shut down and all requests in progress have ended.
///
/// A shutdown fails readiness checks at once, and closes the listener after the load balancer had time to
/// notice. From then on it refuses requests of slow callers, waits for requests in progress, and aborts
/// those that outlast the grace period.
///
/// # Errors
///
/// Returns [`Kind::InvalidSettings`](eelgrassramp::Kind::InvalidSettings) when an address cannot be listened
/// on.
pub async fn serve(entry: Arc<Entry>, addrs: ListenConfig) -> Result<()> {
    let callers = listen(addrs.callers)?;
    let readiness = listen(addrs.readiness)?;
    if let Some(addr) = addrs.metrics {
        let listener = listen(addr)?;
        tokio::spawn(serve_pages(Arc::clone(&entry), listener, metrics_page));
    }
    tokio::spawn(serve_pages(Arc::clone(&entry), readiness, readiness_page));
    let periodic_entry = Arc::clone(&entry);
    let periodic_work = move || Arc::clone(&periodic_entry).run_periodic_work();
    tokio::spawn(restart_on_panic(entry.cx().clone(), "tick", periodic_work));
    let connection_tasks = TaskTracker::new();
    let drain = CancellationToken::new();
    let accept_task = accept(
        Arc::clone(&entry),
        callers,
        connection_tasks.clone(),
        drain.clone(),
    );
    let accept_task = tokio::spawn(accept_task);
    entry.cx().stop.cancelled().await;
    let timers = &entry.cx().timers;
    let shutdown_started_at = timers.now();
    info!(entry.cx().log, "stop began"; "connections" => connection_tasks.len());
    timers.after(DEREGISTRATION_DELAY).await;
    // A load balancer with too few ready entries keeps sending requests to all of them; refused
    // connections make it use another entry.
    accept_task.abort();
    drain.cancel();
    entry.stop_taking_requests();
    connection_tasks.close();
    let limit = entry.stop_grace().mul_f64(SHUTDOWN_TIMEOUT_FRACTION);
    let time_left = limit.saturating_sub(timers.now().since(shutdown_started_at));
    let ended = timers.limit(time_left, connection_tasks.wait()).await;
    info!(entry.cx().log, "stop ends"; "all_ended" => ended.is_some(),
        "connections" => connection_tasks.len());
    Ok(())
}

async fn accept(
    entry: Arc<Entry>,
    listener: TcpListener,
    connection_tasks: TaskTracker,
    drain: CancellationToken,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(open) = open_connection(&entry) else {
                    // The caller can use another entry.
                    drop(stream);
                    continue;
                };
                let connection_task =
                    serve_connection(Arc::clone(&entry), stream, open, drain.clone());
                connection_tasks.spawn(connection_task);
                entry.callers().wait_until_closed().await;
            }
            Err(e) => {
                // Usually out of file descriptors, which are freed as requests end.
                warn!(entry.cx().log, "accept failed"; "error" => %e);
                entry.cx().timers.after(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Adds a connection of a caller, in place of one that waits if there are too many; `None` if requests use
/// all of them.
fn open_connection(entry: &Entry) -> Option<OpenConnection> {
    let (now, callers) = (entry.cx().timers.now(), entry.callers());
    let (count, max) = (callers.count(), callers.max());
    let open = callers.open(now);
    if count >= max && entry.log_limiter().allows(now, LogLineKind::Connections) {
        warn!(entry.cx().log, "too many connections, one is closed";
            "max" => max, "was_waiting" => open.is_some());
    }
    open
}

async fn serve_connection(
    entry: Arc<Entry>,
    stream: TcpStream,
    open: OpenConnection,
    drain: CancellationToken,
) {
    if let Err(e) = connections::set_socket_options(&stream) {
        warn!(entry.cx().log, "socket options failed"; "error" => %e);
    }
    let state = CallerConnection::new(&entry, open);
    let stream = CallerStream::new(stream, &state);
    let service = service_fn(|req: Request<Incoming>| {
        state.end_head();
        let version = req.version();
        let (entry, state) = (Arc::clone(&entry), Arc::clone(&state));
        async move {
            let resp = handle(entry, req, || state.end_request()).await;
            Ok::<_, Infallible>(TrackedBody::track(version, resp, state))
        }
    });
    let connection = http1::Builder::new()
        // The stream limits the time, by the tables that are in force.
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // The result is ignored, as each request records how it ended.
    tokio::select! {
        _ended = connection.as_mut() => return,
        () = state.closed() => return,
        () = drain.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ended = connection => {}
        () = state.closed() => {}
    }
}

type PageHandler = fn(&Entry, &Request<Incoming>) -> Response<Full<Bytes>>;

async fn serve_pages(entry: Arc<Entry>, listener: TcpListener, page: PageHandler) {
    let connections = ConnectionTable::new(MAX_PAGE_CONNECTIONS);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            entry.cx().timers.after(Duration::from_millis(20)).await;
            continue;
        };
        if let Some(open) = connections.open(entry.cx().timers.now()) {
            tokio::spawn(serve_page(Arc::clone(&entry), stream, open, page));
            connections.wait_until_closed().await;
        }
    }
}

async fn serve_page(entry: Arc<Entry>, stream: TcpStream, open: OpenConnection, page: PageHandler) {
    if let Err(e) = connections::set_socket_options(&stream) {
        warn!(entry.cx().log, "socket options failed"; "error" => %e);
    }
    let service = service_fn(|req| {
        open.wait_from(entry.cx().timers.now());
        let resp = page(&entry, &req);
        async move { Ok::<_, Infallible>(resp) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(PAGE_IDLE_TIMEOUT)
        .max_buf_size(MAX_PAGE_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // Errors are ignored: the load balancer repeats a failed check.
        _ended = connection => {}
        () = open.closed() => {}
    }
}

fn readiness_page(entry: &Entry, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let is_readiness_path = req.uri().path() == entry.caller_protocol().readiness_path();
    let status = match (is_readiness_path, entry.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    build_response(status, Bytes::new())
}

fn metrics_page(entry: &Entry, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    if !req.body().is_end_stream() {
        return build_response(StatusCode::BAD_REQUEST, Bytes::new());
    }
    let text = entry
        .metrics()
        .render(entry.cx().timers.now(), &entry.gauges());
    build_response(StatusCode::OK, Bytes::from(text))
}

fn build_response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut resp = Response::new(Full::new(body));
    *resp.status_mut() = status;
    resp
}
