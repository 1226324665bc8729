//! HTTP interface of the simulated plain service.

use async_trait::async_trait;
use bytes::Bytes;
use http::Request;
use http::Response;

use super::server::ChargeService;
use crate::engine;
use crate::http::Body;
use crate::http::Handler;

#[async_trait]
impl Handler for ChargeService {
    async fn handle(&self, req: Request<Bytes>) -> Response<Body> {
        let answered = engine::handle(self, &req).await;
        answered.unwrap_or_else(|e| engine::error_response(&e))
    }
}
