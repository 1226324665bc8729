//! The simulated object API with and without injected faults.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::Kind;
use eelgrassramp::ObjectVersion;
use eelgrassramp::Timers;
use eelgrassramp::store::ObjectApi;
use eelgrassramp::store::Vm;
use eelgrassramp::store::VmState;
use eelgrassramp_standins::platform::InjectedFault;
use eelgrassramp_standins::platform::Operation;
use eelgrassramp_standins::platform::Platform;
use eelgrassramp_standins::platform::Settings;
use googletest::prelude::*;

const WAIT: Duration = Duration::from_secs(10);

fn platform() -> (Arc<Platform>, Timers) {
    let timers = Timers::start();
    (Platform::new(Settings::default(), timers.clone()), timers)
}

fn value(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn only_one_of_two_writers_with_the_same_version_succeeds() {
    let (platform, _) = platform();
    let (a, b) = (platform.client("a"), platform.client("b"));
    let first = a.put("tables", ObjectVersion(0), value("1")).await;
    let first = first.expect("created");

    let (x, y) = tokio::join!(
        a.put("tables", first, value("2")),
        b.put("tables", first, value("3"))
    );

    let kinds: Vec<Option<Kind>> = [x, y].map(|r| r.err().map(|e| e.kind())).to_vec();
    assert_that!(
        kinds,
        unordered_elements_are![none(), some(eq(&Kind::Conflict))]
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_watch_ends_with_the_change_and_counts_as_one_call() {
    let (platform, timers) = platform();
    let (reader, writer) = (platform.client("reader"), platform.client("writer"));
    let watch = tokio::spawn(async move { reader.watch("tables", ObjectVersion(0), WAIT).await });
    timers.after(Duration::from_secs(3)).await;

    let version = writer.put("tables", ObjectVersion(0), value("1")).await;
    let seen = watch.await.expect("no panic").expect("healthy");

    expect_that!(seen.version, eq(version.expect("created")));
    expect_that!(timers.now().as_millis(), lt(3_100));
    let calls = platform.calls();
    let watches: Vec<u64> = calls
        .iter()
        .filter(|c| c.operation == Operation::Watch)
        .map(|c| c.calls)
        .collect();
    expect_that!(watches, elements_are![eq(&1)]);
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_lost_reply_leaves_the_write_in_effect() {
    let (platform, _) = platform();
    let client = platform.client("a");
    platform.set_faults(|f| f.lost_replies = 1);

    let reply = client.put("tables", ObjectVersion(0), value("1")).await;
    let read = client.get("tables").await.expect("healthy");

    expect_that!(reply.expect_err("lost").kind(), eq(Kind::WriteUnsettled));
    expect_that!(read.value, eq(&value("1")));
    expect_that!(platform.injected_count(InjectedFault::LostReply), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_outage_ends_waiting_watches_and_changes_nothing() {
    let (platform, timers) = platform();
    let (reader, writer) = (platform.client("reader"), platform.client("writer"));
    let watch = tokio::spawn(async move { reader.watch("tables", ObjectVersion(0), WAIT).await });
    timers.after(Duration::from_secs(1)).await;
    platform.set_faults(|f| f.outage = true);

    let refused = writer.put("tables", ObjectVersion(0), value("1")).await;
    let watch = watch.await.expect("no panic");
    platform.set_faults(|f| f.outage = false);
    let read = writer.get("tables").await.expect("healthy");

    expect_that!(
        refused.expect_err("outage").kind(),
        eq(Kind::StoreUnavailable)
    );
    expect_that!(
        watch.expect_err("outage").kind(),
        eq(Kind::StoreUnavailable)
    );
    expect_that!(read.version, eq(ObjectVersion(0)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_silent_watch_never_answers() {
    let (platform, timers) = platform();
    platform.set_faults(|f| f.hung_watches = true);
    let client = platform.client("a");

    let limit = WAIT * 100;
    let answer = timers
        .limit(limit, client.watch("tables", ObjectVersion(0), WAIT))
        .await;

    expect_that!(answer, none());
    expect_that!(platform.injected_count(InjectedFault::HungWatch), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn writes_above_the_rate_limit_are_refused() {
    let timers = Timers::start();
    let settings = Settings {
        writes_per_second: 5.0,
        ..Settings::default()
    };
    let platform = Platform::new(settings, timers);
    let client = platform.client("a");

    let mut refused = 0;
    for i in 0..8 {
        let key = format!("moves/{i}");
        let reply = client.put(&key, ObjectVersion(0), value("1")).await;
        refused += u32::from(reply.is_err());
    }

    expect_that!(refused, eq(3));
    expect_that!(platform.injected_count(InjectedFault::RateLimit), eq(3));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn the_list_of_vms_lags() {
    let (platform, timers) = platform();
    let client = platform.client("a");
    let vm = Vm {
        address: [127, 0, 0, 1].into(),
        port: 7101,
        state: VmState::Leaving,
    };
    platform.set_vms(vec![vm.clone()]);

    let at_once = client.vms().await.expect("healthy");
    timers.after(Settings::default().vm_lag).await;
    let later = client.vms().await.expect("healthy");

    expect_that!(at_once, is_empty());
    expect_that!(later, elements_are![eq(&vm)]);
}
