//! Load target over HTTP/1.1 with pooled connections.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use bytes::BytesMut;
use eelgrassramp::Monotonic;
use eelgrassramp::Timers;
use eelgrassramp::num;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use super::target::CallRequest;
use super::target::Reply;
use super::target::Target;

/// Sends a GET request; returns `None` unless the response is complete.
pub async fn get(address: SocketAddr, path: &str) -> Option<(u16, Bytes)> {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{address}{path}").parse().ok()?;
    let res = client.get(uri).await.ok()?;
    let status = res.status().as_u16();
    let body = res.into_body().collect().await.ok()?;
    Some((status, body.to_bytes()))
}

/// Distributes calls over the addresses in turn, like a load balancer.
#[derive(Debug)]
pub struct HttpTarget {
    addresses: Vec<SocketAddr>,
    client: Client<HttpConnector, Full<Bytes>>,
    timers: Timers,
}

impl HttpTarget {
    /// Creates a target; `addresses` must not be empty.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, timers: Timers) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            addresses,
            client: Client::builder(TokioExecutor::new()).build(connector),
            timers,
        }
    }

    fn to_http_request(&self, req: CallRequest) -> Result<Request<Full<Bytes>>, http::Error> {
        let i = num::length(req.number) % self.addresses.len();
        let uri = format!("http://{}{}", self.addresses[i], req.path);
        let mut builder = Request::post(uri).header("content-type", "application/json");
        for (name, value) in req.headers {
            builder = builder.header(name, value);
        }
        builder.body(Full::new(req.body))
    }

    async fn read_response(&self, start: Monotonic, res: Response<Incoming>) -> Reply {
        let header = |name: &str| {
            let value = res.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let mut reply = Reply {
            status: res.status().as_u16(),
            ran: header("eelgrassramp-ran"),
            request: header("eelgrassramp-request"),
            ..Reply::no_response()
        };
        let mut body = res.into_body();
        let mut buf = BytesMut::new();
        loop {
            match body.frame().await {
                None => {
                    reply.complete = true;
                    break;
                }
                Some(Err(_)) => break,
                Some(Ok(frame)) => {
                    let elapsed = self.timers.now().since(start);
                    reply.first_byte.get_or_insert(elapsed);
                    if let Some(data) = frame.data_ref() {
                        buf.extend_from_slice(data);
                    }
                }
            }
        }
        reply.body = buf.freeze();
        reply
    }
}

#[async_trait]
impl Target for HttpTarget {
    async fn call(&self, req: CallRequest) -> Reply {
        let start = self.timers.now();
        let Ok(req) = self.to_http_request(req) else {
            return Reply::no_response();
        };
        match self.client.request(req).await {
            Ok(res) => self.read_response(start, res).await,
            Err(_) => Reply::no_response(),
        }
    }
}
