//! The simulated plain service counts its executions of each charge.

use std::sync::Arc;

use bytes::Bytes;
use eelgrassramp::RequestId;
use eelgrassramp::Timers;
use eelgrassramp::engine::Engine;
use eelgrassramp::engine::EngineEvent;
use eelgrassramp::wire::Call;
use eelgrassramp::wire::Header;
use eelgrassramp_standins::service::ChargeService;
use eelgrassramp_standins::service::Settings;
use futures_util::StreamExt;
use googletest::prelude::*;

fn service(settings: Settings) -> Arc<ChargeService> {
    ChargeService::new(settings, Timers::start())
}

fn charge(key: &str) -> Call {
    let key = Header {
        name: "idempotency-key".to_owned(),
        value: key.as_bytes().to_vec(),
    };
    Call {
        method: "POST".to_owned(),
        path: "/orders/place".to_owned(),
        headers: vec![key],
        body: Bytes::from_static(b"{}"),
    }
}

async fn status(service: &ChargeService, request: u128, key: &str) -> Option<u16> {
    let request = RequestId::from_bits(request);
    let mut events = service.run(request, charge(key)).await.ok()?;
    match events.next().await? {
        Ok(EngineEvent::Head { status, .. }) => Some(status),
        _ => None,
    }
}

fn executions(service: &ChargeService) -> Vec<u32> {
    service.charges().iter().map(|c| c.executions).collect()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_service_that_ignores_keys_executes_a_repeated_charge_again() {
    let honours = service(Settings {
        honours_keys: true,
        ..Settings::default()
    });
    let ignores = service(Settings::default());

    for service in [&honours, &ignores] {
        status(service, 1, "deposit-1").await;
        status(service, 2, "deposit-1").await;
    }

    expect_that!(executions(&honours), eq(&[1]));
    expect_that!(executions(&ignores), eq(&[2]));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_failure_after_the_charge_leaves_it_executed() {
    let service = service(Settings {
        fail_after: 1.0,
        ..Settings::default()
    });

    let failed = status(&service, 1, "deposit-1").await;

    expect_that!(failed, some(eq(500)));
    expect_that!(executions(&service), eq(&[1]));
}
