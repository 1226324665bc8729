//! Server side of the state exchange.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use eelgrassramp::connection_table::OpenConnection;
use eelgrassramp::listener::listen;
use eelgrassramp::lock;
use http::StatusCode;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use slog::debug;
use slog::warn;
use tokio::net::TcpStream;

use super::Exchange;
use super::MAX_MESSAGE_BYTES;
use super::MIN_INTERVAL;
use super::PUSH_PATH;
use super::SNAPSHOT_PATH;
use super::Snapshot;
use super::StateVersions;
use super::USAGE_PATH;
use super::message::Ack;
use super::message::UsageMessage;
use super::message::encode;
use super::sent_state::SentState;
use crate::connections;

/// Time for which a connection without a request, or with an incomplete head, is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of the read buffer of a connection, which also limits the head of a request.
const MAX_READ_BUFFER_BYTES: usize = 16 * 1024;

/// Timeout for the body of a request.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(2);

impl Exchange {
    /// Serves the requests of peers until the process ends.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidSettings`] when `addr` cannot be listened on.
    pub async fn serve(self: Arc<Self>, addr: SocketAddr) -> Result<()> {
        let listener = listen(addr)?;
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    warn!(self.entry.cx().log, "accept failed"; "error" => %e);
                    self.entry.cx().timers.after(MIN_INTERVAL).await;
                    continue;
                }
            };
            if let Some(open) = self.entry.peers().open(self.entry.cx().timers.now()) {
                tokio::spawn(Arc::clone(&self).serve_connection(stream, open));
                self.entry.peers().wait_until_closed().await;
            }
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, open: OpenConnection) {
        if let Err(e) = connections::set_socket_options(&stream) {
            debug!(self.entry.cx().log, "socket options failed"; "error" => %e);
        }
        let sent = Mutex::new(SentState::default());
        let service = service_fn(|req| {
            let exchange = Arc::clone(&self);
            let sent = &sent;
            open.wait_from(self.entry.cx().timers.now());
            async move { Ok::<_, Infallible>(exchange.handle(req, sent).await) }
        });
        let connection = server::Builder::new()
            .auto_date_header(false)
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // The client opens a new connection when this one ends.
            _ended = connection => {}
            () = open.closed() => {}
        }
    }

    async fn handle(
        &self,
        req: Request<Incoming>,
        sent: &Mutex<SentState>,
    ) -> Response<Full<Bytes>> {
        self.entry.check_for_suspension();
        let path = req.uri().path().to_owned();
        let messages = self.entry.peer_messages();
        let body = messages.read(req.into_body(), MAX_MESSAGE_BYTES);
        let timers = &self.entry.cx().timers;
        let body = match timers.limit(RECEIVE_TIMEOUT, body).await {
            None => return status_only(StatusCode::REQUEST_TIMEOUT),
            Some(Err(e)) => return status_only(status_of_unread_body(e.kind())),
            Some(Ok(body)) => body,
        };
        let result = match path.as_str() {
            USAGE_PATH => self.handle_usage(&body.to_bytes(), sent),
            SNAPSHOT_PATH => self.export_newer(&body.to_bytes()),
            PUSH_PATH => self.accept_snapshot(&body.to_bytes()),
            _ => return status_only(StatusCode::NOT_FOUND),
        };
        match result {
            Ok(body) => Response::new(Full::new(body)),
            Err(e) => {
                warn!(self.entry.cx().log, "exchange request of a peer failed"; "path" => path, "cause" => %e);
                status_only(StatusCode::BAD_REQUEST)
            }
        }
    }

    /// Applies an encoded usage message of a peer.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Malformed`] when it cannot be read.
    pub fn receive_usage(&self, body: &[u8]) -> Result<()> {
        self.apply_usage(UsageMessage::decode(body)?);
        Ok(())
    }

    fn handle_usage(&self, body: &[u8], sent: &Mutex<SentState>) -> Result<Bytes> {
        let received = UsageMessage::decode(body)?;
        let peer = received.usage.entry.clone();
        let mut sent = lock(sent);
        sent.record_received(received.usage.incarnation, received.wants_all());
        self.apply_usage(received);
        self.next_message(&peer, &mut sent).encode()
    }

    /// Returns the parts of the snapshot that are newer than the versions in the request.
    fn export_newer(&self, body: &[u8]) -> Result<Bytes> {
        let peer_versions = StateVersions::decode(body)?;
        let local_versions = self.snapshots.state_versions();
        local_versions
            .retain_newer_parts(peer_versions, self.snapshots.export()?)
            .encode()
    }

    fn accept_snapshot(&self, body: &[u8]) -> Result<Bytes> {
        self.snapshots.merge(Snapshot::decode(body)?)?;
        encode(&Ack)
    }
}

const fn status_of_unread_body(cause: Kind) -> StatusCode {
    match cause {
        Kind::RequestTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Kind::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_REQUEST,
    }
}

fn status_only(status: StatusCode) -> Response<Full<Bytes>> {
    let mut resp = Response::new(Full::new(Bytes::new()));
    *resp.status_mut() = status;
    resp
}
