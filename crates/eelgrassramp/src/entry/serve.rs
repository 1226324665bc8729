//! The entry's listener, caller connections and graceful shutdown.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use hyper_util::service::TowerToHyperService;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::http;
use super::http::CallerConnection;
use super::service::Service;
use super::settings::LimitSettings;
use super::settings::Settings;
use crate::connection_table::ConnectionTable;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::id::Incarnation;
use crate::lease::LeaseTimings;
use crate::link::HttpLink;
use crate::link::SidecarLink;
use crate::listener;
use crate::membership::MembershipTracker;
use crate::process::Context;
use crate::request_body::BodyLimits;
use crate::request_body::RequestBodies;
use crate::rollout;
use crate::store::HttpObjectApi;
use crate::store::HttpSettings;
use crate::store::ObjectApi;
use crate::store::StoreClient;
use crate::store::StoreClientLimits;
use crate::tables::CurrentTables;

/// Maximum number of headers of one request.
const MAX_HEADERS: usize = 64;

/// Maximum number of concurrent streams on one HTTP/2 connection.
const MAX_STREAMS: u32 = 256;

/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves callers until `cx.stop` is cancelled and all requests have ended.
///
/// On a stop the process first reports to the load balancer that it is not ready, then stops
/// accepting connections, then waits for requests in progress.
///
/// # Errors
///
/// Returns [`Kind::InvalidSettings`] when the listening address cannot be bound, and
/// [`Kind::Internal`] when requests were still in progress at the drain timeout.
pub async fn serve(settings: Settings, cx: Context) -> Result<()> {
    let listen = settings.listen;
    let listener = listener::listen(listen)?;
    let link: Arc<dyn SidecarLink> = Arc::new(HttpLink::new(cx.timers.clone()));
    let current = Arc::new(CurrentTables::default());
    let http = HttpObjectApi::new(
        HttpSettings::new(settings.store, settings.name.as_str()),
        cx.timers.clone(),
    );
    let api: Arc<dyn ObjectApi> = Arc::new(StoreClient::new(
        &cx,
        Arc::new(http),
        StoreClientLimits::default(),
    ));
    let membership = MembershipTracker::start(&cx, Arc::clone(&api), Arc::clone(&current));
    let service = Service::new(
        settings.clone(),
        Arc::clone(&link),
        Arc::clone(&current),
        cx.clone(),
    );
    service.follow_membership(&membership);
    let mover_dependencies = rollout::Dependencies {
        entry: settings.name.clone(),
        me: Incarnation::random(&mut cx.rng(&format!("moves of {}", settings.name))),
        link,
        api,
        tables: current,
        gossip: Arc::new(service.clone()),
        contender: membership,
        terms: LeaseTimings::default(),
        load_interval: rollout::LOAD_INTERVAL,
    };
    tokio::spawn(rollout::run(mover_dependencies, cx.clone()));
    serve_with(&settings, service, listener, cx).await
}

/// Serves callers of an entry on a socket that is already listening.
///
/// # Errors
///
/// Returns [`Kind::Internal`] when requests were still in progress at the drain timeout.
pub async fn serve_with(
    settings: &Settings,
    service: Service,
    listener: TcpListener,
    cx: Context,
) -> Result<()> {
    info!(cx.log, "entry serving"; "entry" => %settings.name, "listen" => %settings.listen);
    let drain_token = CancellationToken::new();
    let acceptor = Acceptor {
        service: service.clone(),
        cx: cx.clone(),
        limits: settings.limits,
        connections: ConnectionTable::new(settings.limits.connections),
        bodies: RequestBodies::new(BodyLimits::fixed(settings.limits.body_bytes)),
        drain_token: drain_token.clone(),
        tracker: TaskTracker::new(),
    };
    let tracker = acceptor.tracker.clone();
    tokio::spawn(acceptor.accept(listener));
    cx.stop.cancelled().await;
    info!(cx.log, "entry draining");
    cx.timers.after(settings.drain.unready()).await;
    drain_token.cancel();
    tracker.close();
    let idle = async {
        tracker.wait().await;
        service.wait_until_idle().await;
    };
    let limit = settings.drain.timeout();
    cx.timers.limit(limit, idle).await.ok_or_else(|| {
        let detail = format!(
            "requests were still in progress after a drain of {} ms",
            limit.as_millis()
        );
        Error::new(Kind::Internal, detail)
    })
}

struct Acceptor {
    service: Service,
    cx: Context,
    limits: LimitSettings,
    connections: Arc<ConnectionTable>,
    bodies: RequestBodies,
    drain_token: CancellationToken,
    tracker: TaskTracker,
}

impl Acceptor {
    async fn accept(self, listener: TcpListener) {
        let acceptor = Arc::new(self);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = acceptor.drain_token.cancelled() => return,
            };
            match accepted {
                Ok((socket, _)) => {
                    acceptor.spawn_connection(socket);
                    acceptor.connections.wait_until_closed().await;
                }
                Err(e) => {
                    warn!(acceptor.cx.log, "connection not accepted"; "error" => %e);
                    acceptor.cx.timers.after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Serves a connection, in place of one that waits for its caller if there are too many. If all are in use
    /// by requests, it is closed.
    fn spawn_connection(self: &Arc<Self>, socket: TcpStream) {
        let Some(open) = self.connections.open(self.cx.timers.now()) else {
            warn!(self.cx.log, "connection closed, all others are in use";
                "max" => self.connections.max());
            return;
        };
        let acceptor = Arc::clone(self);
        let connection = Arc::new(CallerConnection {
            service: self.service.clone(),
            timers: self.cx.timers.clone(),
            receive_timeout: self.limits.receive_timeout(),
            bodies: self.bodies.clone(),
            open,
        });
        self.tracker.spawn(async move {
            tokio::select! {
                () = acceptor.serve(socket, &connection) => {}
                () = connection.open.closed() => {}
            }
        });
    }

    async fn serve(&self, socket: TcpStream, connection: &Arc<CallerConnection>) {
        // If the option cannot be set, responses are only slower.
        let _set = socket.set_nodelay(true);
        let connection = Arc::clone(connection);
        let handler = tower::service_fn(move |req: Request<Incoming>| {
            let handled = http::handle(Arc::clone(&connection), req);
            async move { Ok::<_, Infallible>(handled.await) }
        });
        let builder = self.builder();
        let connection =
            builder.serve_connection(TokioIo::new(socket), TowerToHyperService::new(handler));
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            // Errors of a caller's connection are left to the caller to handle.
            _ended = connection.as_mut() => return,
            () = self.drain_token.cancelled() => connection.as_mut().graceful_shutdown(),
        }
        let _ended = connection.await;
    }

    fn builder(&self) -> auto::Builder<TokioExecutor> {
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.receive_timeout())
            .max_headers(MAX_HEADERS)
            .max_buf_size(self.limits.header_bytes.max(MIN_HEADER_BUFFER_BYTES));
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_concurrent_streams(MAX_STREAMS)
            .max_header_list_size(u32::try_from(self.limits.header_bytes).unwrap_or(u32::MAX))
            .keep_alive_interval(HTTP2_PING_INTERVAL)
            .keep_alive_timeout(HTTP2_PING_TIMEOUT);
        builder
    }
}

/// Smallest header buffer that the HTTP library accepts.
const MIN_HEADER_BUFFER_BYTES: usize = 8 * 1024;

/// Interval between pings on a caller's HTTP/2 connection.
const HTTP2_PING_INTERVAL: Duration = Duration::from_secs(10);

/// Time within which a caller has to acknowledge a ping.
const HTTP2_PING_TIMEOUT: Duration = Duration::from_secs(5);
