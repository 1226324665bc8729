//! The answering side of the exchange.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use eelgrassramp::lock;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::debug;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::Exchange;
use super::GIVE_PATH;
use super::MAX_MESSAGE_BYTES;
use super::MIN_PERIOD;
use super::SNAPSHOT_PATH;
use super::StateVersions;
use super::USAGE_PATH;
use super::message::Taken;
use super::message::UsageWire;
use super::message::decode;
use super::message::encode;
use super::sent_state::Told;
use crate::connections;

impl Exchange {
    /// Answers the questions of other entries until the process ends.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidSettings`] when `addr` cannot be listened on.
    pub async fn serve(self: Arc<Self>, addr: SocketAddr) -> Result<()> {
        let listener = TcpListener::bind(addr).await.map_err(|e| {
            Error::with_source(Kind::InvalidSettings, format!("listen on {addr}"), e)
        })?;
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    warn!(self.entry.cx().log, "accept failed"; "error" => %e);
                    self.entry.cx().timers.after(MIN_PERIOD).await;
                    continue;
                }
            };
            tokio::spawn(Arc::clone(&self).serve_connection(stream));
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        if let Err(e) = connections::tune(&stream) {
            debug!(self.entry.cx().log, "socket options failed"; "error" => %e);
        }
        let told = Mutex::new(Told::default());
        let service = service_fn(|req| {
            let exchange = Arc::clone(&self);
            let told = &told;
            async move { Ok::<_, Infallible>(exchange.answer(req, told).await) }
        });
        // The asking side opens a new connection when this one ends.
        let _ended = server::Builder::new()
            .auto_date_header(false)
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn answer(&self, req: Request<Incoming>, told: &Mutex<Told>) -> Response<Full<Bytes>> {
        self.entry.recover_from_stall();
        let path = req.uri().path().to_owned();
        let body = Limited::new(req.into_body(), MAX_MESSAGE_BYTES).collect();
        let Ok(body) = body.await else {
            return status_only(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let answer = match path.as_str() {
            USAGE_PATH => self.answer_usage(&body.to_bytes(), told),
            SNAPSHOT_PATH => self.export(&body.to_bytes()),
            GIVE_PATH => self.take(&body.to_bytes()),
            _ => return status_only(StatusCode::NOT_FOUND),
        };
        match answer {
            Ok(body) => Response::new(Full::new(body)),
            Err(e) => {
                warn!(self.entry.cx().log, "exchange failed"; "path" => path, "cause" => %e);
                status_only(StatusCode::BAD_REQUEST)
            }
        }
    }

    /// Takes in an encoded message of another entry.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Malformed`] when it cannot be read.
    pub fn receive_usage(&self, body: &[u8]) -> Result<()> {
        let theirs: UsageWire = decode(body)?;
        self.hear(theirs);
        Ok(())
    }

    fn answer_usage(&self, body: &[u8], told: &Mutex<Told>) -> Result<Bytes> {
        self.receive_usage(body)?;
        let mut told = lock(told);
        let state_versions = self.snapshots.state_versions();
        encode(&UsageWire::of(&self.entry, state_versions, &mut told))
    }

    /// Returns what is newer than what the asking entry says that it holds.
    fn export(&self, body: &[u8]) -> Result<Bytes> {
        let held: StateVersions = decode(body)?;
        let own = self.snapshots.state_versions();
        encode(&own.newer_than(held, self.snapshots.export()?))
    }

    fn take(&self, body: &[u8]) -> Result<Bytes> {
        self.snapshots.merge(decode(body)?)?;
        encode(&Taken)
    }
}

fn status_only(status: StatusCode) -> Response<Full<Bytes>> {
    let mut resp = Response::new(Full::new(Bytes::new()));
    *resp.status_mut() = status;
    resp
}
