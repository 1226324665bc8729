//! The published HTTP protocol of a plain service.

use async_trait::async_trait;
use bytes::Bytes;
use http::Request;
use http::Response;

use super::server::OrderService;
use crate::engine;
use crate::http::Body;
use crate::http::Handler;

#[async_trait]
impl Handler for OrderService {
    async fn handle(&self, req: Request<Bytes>) -> Response<Body> {
        let answered = engine::handle(self, &req).await;
        answered.unwrap_or_else(|e| engine::error_response(&e))
    }
}
