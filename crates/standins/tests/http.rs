//! The HTTP interfaces of the simulated systems over real connections.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use eelgrassramp::Timers;
use eelgrassramp_standins::engine::ModelEngine;
use eelgrassramp_standins::engine::Settings as EngineSettings;
use eelgrassramp_standins::engine::generated_text;
use eelgrassramp_standins::http::Handler;
use eelgrassramp_standins::http::serve;
use eelgrassramp_standins::platform::Platform;
use eelgrassramp_standins::platform::Settings as PlatformSettings;
use eelgrassramp_standins::service::ChargeService;
use eelgrassramp_standins::service::Settings as ServiceSettings;
use googletest::prelude::*;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio_util::sync::CancellationToken;

/// Status, version tag and body of a response.
struct Reply {
    status: StatusCode,
    etag: Option<String>,
    body: String,
}

async fn start(handler: Arc<dyn Handler>) -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let bound = serve(any, handler, CancellationToken::new()).await;
    bound.expect("loopback can be bound")
}

async fn send(to: SocketAddr, req: http::request::Builder, uri: &str, body: &str) -> Reply {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let req: Request<Full<Bytes>> = req
        .uri(format!("http://{to}{uri}"))
        .body(Full::from(body.to_owned()))
        .expect("a valid request");
    let res = client.request(req).await.expect("an answer");
    let etag = res.headers().get("etag");
    Reply {
        status: res.status(),
        etag: etag.and_then(|tag| tag.to_str().ok()).map(str::to_owned),
        body: {
            let body = res.into_body().collect().await.expect("a whole body");
            String::from_utf8(body.to_bytes().to_vec()).expect("text")
        },
    }
}

#[gtest]
#[tokio::test]
async fn the_object_api_carries_versions_as_tags() {
    let platform = Platform::new(PlatformSettings::default(), Timers::start());
    let to = start(platform).await;
    let create = Request::put("/").header("if-none-match", "*");

    let created = send(to, create, "/objects/tables", "{}").await;
    let tag = created.etag.expect("a tag");
    let update = Request::put("/").header("if-match", &tag);
    let updated = send(to, update, "/objects/tables", "[]").await;
    let stale = Request::put("/").header("if-match", &tag);
    let stale = send(to, stale, "/objects/tables", "3").await;
    let read = send(to, Request::get("/"), "/objects/tables", "").await;
    let watch = "/objects/tables?watch_after=99&wait_ms=1";
    let watch = send(to, Request::get("/"), watch, "").await;
    let missing = send(to, Request::get("/"), "/objects/leases/greeting", "").await;

    expect_that!(updated.status, eq(StatusCode::OK));
    expect_that!(stale.status, eq(StatusCode::PRECONDITION_FAILED));
    expect_that!(read.body, eq("[]"));
    expect_that!(read.etag, eq(&updated.etag));
    expect_that!(watch.status, eq(StatusCode::NOT_MODIFIED));
    expect_that!(missing.status, eq(StatusCode::NOT_FOUND));
}

#[gtest]
#[tokio::test]
async fn the_engine_streams_events_with_the_usage_before_the_end() {
    let settings = EngineSettings {
        decode_step: std::time::Duration::from_millis(1),
        ..EngineSettings::default()
    };
    let engine = ModelEngine::start(settings, Timers::start());
    let to = start(engine).await;
    let req = || Request::post("/").header("x-request-id", "0a");
    let body = r#"{"prompt":"p","stream":true,"max_tokens":2}"#;

    let streamed = send(to, req(), "/v1/completions", body).await;
    let uri = "/v1/requests/0a/stream?offset=6";
    let resumed = send(to, Request::get("/"), uri, "").await;
    let order = r#"{"action":"role","role":"decode","fence":7}"#;
    let ordered = send(to, Request::post("/"), "/orders", order).await;
    let old = r#"{"action":"load","version":"v2","fence":6}"#;
    let refused = send(to, Request::post("/"), "/orders", old).await;

    let events: Vec<&str> = streamed.body.trim_end().split("\n\n").collect();
    let usage = r#"data: {"choices":[],"usage":{"cached_tokens":0,"completion_tokens":2,"prompt_tokens":1}}"#;
    expect_that!(events[2..], elements_are![eq(&usage), eq(&"data: [DONE]")]);
    let first = generated_text("p", 1);
    expect_that!(events[0], contains_substring(first));
    expect_that!(resumed.body, eq(&streamed.body[6..]));
    expect_that!(ordered.body, eq(r#"{"version":"v1"}"#));
    expect_that!(refused.status, eq(StatusCode::CONFLICT));
}

#[gtest]
#[tokio::test]
async fn only_a_post_executes_a_charge() {
    let service = ChargeService::new(ServiceSettings::default(), Timers::start());
    let to = start(Arc::clone(&service) as Arc<dyn Handler>).await;
    let charge = Request::post("/").header("idempotency-key", "deposit-1");

    let probe = send(to, Request::get("/"), "/cache/events?after=0", "").await;
    let charged = send(to, charge, "/v1/orders", "{}").await;

    expect_that!(probe.status, eq(StatusCode::NOT_FOUND));
    expect_that!(charged.status, eq(StatusCode::OK));
    let keys: Vec<Arc<str>> = service.charges().into_iter().map(|c| c.key).collect();
    expect_that!(keys, elements_are![eq(&Arc::from("deposit-1"))]);
}
