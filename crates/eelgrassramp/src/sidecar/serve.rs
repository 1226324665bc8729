//! HTTP server of the sidecar.

mod handler;
mod http_response;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use slog::debug;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::connection_table::ConnectionTable;
use crate::engine::Engine;
use crate::engine::HttpEngine;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::listener;
use crate::process::Context;
use crate::request_body::BodyLimits;
use crate::request_body::RequestBodies;
use crate::store::HttpObjectApi;
use crate::store::HttpSettings;
use crate::store::ObjectApi;

use self::handler::Connection;
use super::service::Service;
use super::settings::Settings;

const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_HEADER_BYTES: usize = 32 * 1024;
const MAX_HEADERS: usize = 64;
const MAX_HTTP2_STREAMS: u32 = 1024;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Runs a sidecar in front of the endpoint named in `settings` until `cx.stop` is cancelled and
/// all requests in progress have ended.
///
/// # Errors
///
/// Returns [`Kind::InvalidSettings`] if the listening address cannot be used.
pub async fn serve(settings: Settings, cx: Context) -> Result<()> {
    let engine = Arc::new(HttpEngine::new(settings.engine, cx.timers.clone()));
    let store = settings.store.map(|address| -> Arc<dyn ObjectApi> {
        let caller = format!("sidecar {}", settings.endpoint);
        let http = HttpSettings::new(address, caller);
        Arc::new(HttpObjectApi::new(http, cx.timers.clone()))
    });
    let listener = listener::listen(settings.listen)?;
    serve_with(settings, engine, store, listener, cx).await
}

/// Runs a sidecar in front of the given engine on a listening socket.
///
/// # Errors
///
/// Returns [`Kind::Internal`] if requests in progress did not end within the drain timeout.
pub async fn serve_with(
    settings: Settings,
    engine: Arc<dyn Engine>,
    store: Option<Arc<dyn ObjectApi>>,
    listener: TcpListener,
    cx: Context,
) -> Result<()> {
    let drain_timeout = settings.drain_timeout();
    info!(cx.log, "sidecar serves";
        "endpoint" => %settings.endpoint, "pool" => %settings.pool, "listen" => %settings.listen);
    let messages = RequestBodies::new(BodyLimits::fixed(settings.message_bytes));
    let table = ConnectionTable::new(settings.connections);
    let service = Service::start(settings, engine, store, cx.clone());
    let connections = GracefulShutdown::new();
    tokio::select! {
        () = accept_connections(&listener, &service, &messages, &table, &connections, &cx) => {}
        () = drain(&service, &cx) => {}
    }
    // New connections are accepted until here, since entries reattach on new connections.
    let outcome = if service.in_progress() == 0 {
        info!(cx.log, "sidecar drained");
        Ok(())
    } else {
        let detail = format!(
            "{} requests were in progress after {} ms",
            service.in_progress(),
            drain_timeout.as_millis()
        );
        Err(Error::new(Kind::Internal, detail))
    };
    // Lets slow readers receive their responses completely.
    cx.timers.limit(drain_timeout, connections.shutdown()).await;
    outcome
}

/// Waits for the stop signal and then, up to the drain timeout, for requests in progress.
async fn drain(service: &Service, cx: &Context) {
    cx.stop.cancelled().await;
    info!(cx.log, "sidecar drains"; "in_progress" => service.in_progress());
    let limit = service.shared.settings.drain_timeout();
    if cx
        .timers
        .limit(limit, service.wait_until_idle())
        .await
        .is_none()
    {
        warn!(cx.log, "drain timeout passed"; "in_progress" => service.in_progress());
    }
}

async fn accept_connections(
    listener: &TcpListener,
    service: &Service,
    messages: &RequestBodies,
    table: &Arc<ConnectionTable>,
    connections: &GracefulShutdown,
    cx: &Context,
) {
    loop {
        match listener.accept().await {
            Ok((tcp, _peer)) => {
                let Some(open) = table.open(cx.timers.now()) else {
                    warn!(cx.log, "connection closed, all others are in use"; "max" => table.max());
                    continue;
                };
                let connection = Connection {
                    service: service.clone(),
                    messages: messages.clone(),
                    open,
                };
                spawn_connection(tcp, connection, connections, cx);
                table.wait_until_closed().await;
            }
            Err(e) => {
                warn!(cx.log, "connection not accepted"; "error" => %e);
                cx.timers.after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn spawn_connection(
    tcp: TcpStream,
    connection: Connection,
    connections: &GracefulShutdown,
    cx: &Context,
) {
    // Nagle's algorithm would delay small frames until acknowledgements arrive. A failure to
    // disable it affects only the latency.
    let _result = tcp.set_nodelay(true);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .max_headers(MAX_HEADERS);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_HTTP2_STREAMS)
        .max_header_list_size(u32::try_from(MAX_HEADER_BYTES).unwrap_or(u32::MAX));
    let shared = Arc::new(connection);
    let requests = Arc::clone(&shared);
    let handler = service_fn(move |req| {
        let connection = Arc::clone(&requests);
        async move { Ok::<_, Infallible>(handler::handle(&connection, req).await) }
    });
    let connection = builder
        .serve_connection(TokioIo::new(tcp), handler)
        .into_owned();
    let connection = connections.watch(connection);
    let log = cx.log.clone();
    tokio::spawn(async move {
        tokio::select! {
            ended = connection => {
                if let Err(e) = ended {
                    debug!(log, "connection ended"; "error" => %e);
                }
            }
            () = shared.open.closed() => debug!(log, "connection closed, there are too many"),
        }
    });
}
