//! Client side of the state exchange.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::Context;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use http::Method;
use http::StatusCode;
use http_body_util::Full;
use hyper::Request;
use serde::de::DeserializeOwned;

use super::MAX_MESSAGE_BYTES;
use super::message::decode;
use crate::connections::WholeResponseClient;

/// Timeout of a request to a peer, and of opening a connection to it.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// HTTP client for one peer, with at most one open connection.
pub(super) struct PeerClient {
    cx: Context,
    addr: SocketAddr,
    connection: Option<WholeResponseClient>,
}

impl PeerClient {
    pub(super) fn new(cx: &Context, addr: SocketAddr) -> Self {
        Self {
            cx: cx.clone(),
            addr,
            connection: None,
        }
    }

    pub(super) async fn call<T: DeserializeOwned>(
        &mut self,
        path: &'static str,
        body: Bytes,
    ) -> Result<T> {
        decode(&self.post(path, body).await?)
    }

    /// Sends a request and returns the body of the response.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::ConnectFailed`] when the peer does not respond as expected within
    /// [`PEER_TIMEOUT`].
    pub(super) async fn post(&mut self, path: &'static str, body: Bytes) -> Result<Bytes> {
        let timers = self.cx.timers.clone();
        let response = timers
            .limit(PEER_TIMEOUT, self.round_trip(path, body))
            .await;
        response.ok_or_else(|| {
            let detail = format!("entry at {} did not respond in time", self.addr);
            Error::new(Kind::ConnectFailed, detail)
        })?
    }

    async fn round_trip(&mut self, path: &'static str, body: Bytes) -> Result<Bytes> {
        let failed = |e: hyper::Error| {
            Error::with_source(Kind::ConnectFailed, "request to a peer failed", e)
        };
        // The connection is reused only after a complete response within the timeout.
        let mut connection = self.connection().await?;
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = Method::POST;
        *req.uri_mut() = http::Uri::from_static(path);
        let resp = connection.send(req).await.map_err(failed)?;
        let status = resp.status();
        if status != StatusCode::OK {
            let detail = format!("entry at {} responded with status {status}", self.addr);
            return Err(Error::new(Kind::ConnectFailed, detail));
        }
        self.connection = Some(connection);
        Ok(resp.into_body())
    }

    async fn connection(&mut self) -> Result<WholeResponseClient> {
        let kept = self.connection.take();
        let max_bytes = MAX_MESSAGE_BYTES as u64;
        let (cx, addr) = (&self.cx, self.addr);
        let connection =
            WholeResponseClient::reuse_or_connect(kept, cx, addr, PEER_TIMEOUT, max_bytes);
        connection.await.map_err(|e| {
            let detail = format!("cannot connect to entry at {}", self.addr);
            Error::with_source(Kind::ConnectFailed, detail, e)
        })
    }
}
