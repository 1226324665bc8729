//! The simulated model engine: batching, prefix cache, resumption, KV transfer and defects.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::FencingToken;
use eelgrassramp::Kind;
use eelgrassramp::RequestId;
use eelgrassramp::Result;
use eelgrassramp::Timers;
use eelgrassramp::VersionName;
use eelgrassramp::engine::Engine;
use eelgrassramp::engine::EngineEvent;
use eelgrassramp::engine::EngineStream;
use eelgrassramp::wire::Call;
use eelgrassramp::wire::EngineAction;
use eelgrassramp::wire::Usage;
use eelgrassramp_standins::engine::ModelEngine;
use eelgrassramp_standins::engine::Settings;
use eelgrassramp_standins::engine::VersionDefect;
use eelgrassramp_standins::engine::generated_text;
use futures_util::StreamExt;
use googletest::prelude::*;
use serde_json::json;

/// One complete response as read from a stream.
#[derive(Debug, Default, PartialEq)]
struct Response {
    status: u16,
    body: Vec<u8>,
    usage: Option<Usage>,
}

fn request(n: u128) -> RequestId {
    RequestId::from_bits(n)
}

fn call(prompt: &str, max_tokens: u32) -> Call {
    let messages = json!([{"role": "user", "content": prompt}]);
    let body =
        json!({"model": "m", "messages": messages, "stream": true, "max_tokens": max_tokens});
    Call {
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        headers: Vec::new(),
        body: Bytes::from(body.to_string()),
    }
}

fn engine(settings: Settings) -> (Arc<ModelEngine>, Timers) {
    let timers = Timers::start();
    (ModelEngine::start(settings, timers.clone()), timers)
}

fn with_bad_version(defective: VersionDefect) -> Settings {
    Settings {
        bad_versions: BTreeMap::from([(VersionName::from("v1"), defective)]),
        ..Settings::default()
    }
}

async fn read(mut stream: EngineStream) -> Result<Response> {
    let mut response = Response::default();
    while let Some(event) = stream.next().await {
        match event? {
            EngineEvent::Head { status, .. } => response.status = status,
            EngineEvent::Data(piece) => response.body.extend_from_slice(&piece),
            EngineEvent::End(usage) => response.usage = Some(usage),
        }
    }
    Ok(response)
}

async fn run(engine: &ModelEngine, n: u128, prompt: &str, tokens: u32) -> Result<Response> {
    read(engine.run(request(n), call(prompt, tokens)).await?).await
}

fn generated_text_of(response: &Response) -> String {
    let body = String::from_utf8_lossy(&response.body);
    let data = body.split("\n\n").filter_map(|e| e.strip_prefix("data: "));
    let chunks = data.filter_map(|d| serde_json::from_str::<serde_json::Value>(d).ok());
    chunks
        .filter_map(|c| {
            c["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_owned)
        })
        .collect()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn the_answer_follows_from_the_prompt_and_is_whole() {
    let (engine, _) = engine(Settings::default());

    let response = run(&engine, 1, "a mug for grandma", 5).await.expect("good");

    expect_that!(
        generated_text_of(&response),
        eq(&generated_text("a mug for grandma", 5))
    );
    expect_that!(response.usage.map(|u| u.output_tokens), some(eq(5)));
    expect_that!(
        String::from_utf8_lossy(&response.body),
        ends_with("data: [DONE]\n\n")
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_full_batch_is_slower_per_request_and_faster_in_all() {
    let (engine, timers) = engine(Settings::default());
    run(&engine, 1, "alone", 100).await.expect("good");
    let alone = timers.now().as_duration();

    let runs = (10..26).map(|n| run(&engine, n, "together", 100));
    futures_util::future::join_all(runs).await;
    let together = timers.now().as_duration().saturating_sub(alone);

    expect_that!(together, gt(alone));
    expect_that!(together, lt(alone * 3));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_shared_prefix_is_computed_once_while_it_fits() {
    let settings = Settings {
        cache_blocks: 8,
        ..Settings::default()
    };
    let (engine, _) = engine(settings);
    let prompt = "x".repeat(1024);
    let usage = |response: Result<Response>| response.expect("good").usage.expect("whole");

    let first = usage(run(&engine, 1, &prompt, 1).await);
    let second = usage(run(&engine, 2, &prompt, 1).await);
    run(&engine, 3, &"y".repeat(2048), 1).await.expect("good");
    let evicted = usage(run(&engine, 4, &prompt, 1).await);

    expect_that!([first.prefill_tokens, first.cached_tokens], eq([256, 0]));
    expect_that!([second.prefill_tokens, second.cached_tokens], eq([1, 255]));
    expect_that!(evicted.cached_tokens, eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn cache_events_come_late_and_a_lost_one_only_takes_a_number() {
    let settings = Settings {
        event_loss: 1.0,
        ..Settings::default()
    };
    let (engine, timers) = engine(settings);
    run(&engine, 1, &"x".repeat(256), 1).await.expect("good");

    let at_once = engine.cache_events(0).await.expect("healthy");
    timers.after(Settings::default().event_lag).await;
    let later = engine.cache_events(0).await.expect("healthy");

    expect_that!([at_once.seq, later.seq], eq([0, 1]));
    expect_that!(later.added, is_empty());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_resumed_stream_gives_the_rest_of_the_same_bytes() {
    let (engine, timers) = engine(Settings::default());
    let complete = engine.run(request(1), call("p", 50)).await.expect("taken");
    timers.after(Duration::from_millis(300)).await;

    let rest = engine.resume(request(1), 100).await.expect("known");
    let (complete, rest) = tokio::join!(read(complete), read(rest));
    let late = read(engine.resume(request(1), 100).await.expect("kept")).await;

    let complete = complete.expect("good");
    expect_that!(rest.expect("good").body, eq(&complete.body[100..]));
    expect_that!(late.expect("good").body, eq(&complete.body[100..]));
    expect_that!(engine.stats().starts[&request(1)], eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn cancelling_frees_the_slot_at_once() {
    let settings = Settings {
        slots: 1,
        ..Settings::default()
    };
    let (engine, timers) = engine(settings);
    let long = engine
        .run(request(1), call("long", 100_000))
        .await
        .expect("taken");
    timers.after(Duration::from_secs(1)).await;

    engine.cancel(request(1)).await.expect("known");
    let next = run(&engine, 2, "next", 1).await;

    expect_that!(next.expect("good").status, eq(200));
    expect_that!(timers.now().as_millis(), lt(1_500));
    expect_that!(
        read(long).await.expect_err("cancelled").kind(),
        eq(Kind::StreamBroken)
    );
    expect_that!(engine.stats().wasted_prefill_tokens, gt(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn another_engine_goes_on_with_an_exported_request() {
    let (from, timers) = engine(Settings::default());
    let to = ModelEngine::start(Settings::default(), timers.clone());
    let _stream = from
        .run(request(1), call("moved", 40))
        .await
        .expect("taken");
    timers.after(Duration::from_millis(400)).await;

    let kv = from.export_kv(request(1)).expect("runs");
    to.import_kv(request(1), kv);
    let response = read(to.resume(request(1), 0).await.expect("imported")).await;

    expect_that!(
        generated_text_of(&response.expect("good")),
        eq(&generated_text("moved", 40))
    );
    expect_that!(to.stats().prefill_tokens, eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_bad_version_shows_only_when_its_conditions_are_met() {
    let late = VersionDefect {
        failure_probability: 1.0,
        after: Duration::from_mins(1),
        only: Some("m".into()),
        ..VersionDefect::default()
    };
    let (engine, timers) = engine(with_bad_version(late));

    let early = run(&engine, 1, "early", 1).await.expect("good");
    timers.after(Duration::from_mins(1)).await;
    let late = run(&engine, 2, "late", 1).await.expect("an answer");

    expect_that!([early.status, late.status], eq([200, 500]));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_slow_version_takes_its_factor_longer() {
    let slow = VersionDefect {
        slow_factor: 2.0,
        ..VersionDefect::default()
    };
    let (good, timers) = engine(Settings::default());
    let defective = ModelEngine::start(with_bad_version(slow), timers.clone());

    run(&good, 1, "p", 100).await.expect("good");
    let normal = timers.now().as_duration();
    run(&defective, 1, "p", 100).await.expect("good");
    let slowed = timers.now().as_duration().saturating_sub(normal);

    let ratio = slowed.as_secs_f64() / normal.as_secs_f64();
    expect_that!(ratio, near(2.0, 0.1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn only_an_engine_that_checks_refuses_an_old_fencing_token() {
    let without_checks = Settings {
        checks_fences: false,
        ..Settings::default()
    };
    let (checks, timers) = engine(Settings::default());
    let ignores = ModelEngine::start(without_checks, timers);
    let mut outcomes = Vec::new();

    for engine in [checks, ignores] {
        let newer = EngineAction::Load("v2".into());
        let newer = engine.order(newer, FencingToken(7)).await;
        outcomes.push(newer.map_err(|e| e.kind()));
        let older = EngineAction::Load("v1".into());
        let older = engine.order(older, FencingToken(6)).await;
        outcomes.push(older.map_err(|e| e.kind()));
    }

    let (v1, v2) = (VersionName::from("v1"), VersionName::from("v2"));
    let expected = [Ok(v2.clone()), Err(Kind::FencedOff), Ok(v2), Ok(v1)];
    expect_that!(outcomes, eq(&expected));
}
