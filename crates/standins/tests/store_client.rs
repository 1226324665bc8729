//! The store client against a platform that is down, hangs, is overloaded or replies late.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::Context;
use eelgrassramp::Kind;
use eelgrassramp::ObjectVersion;
use eelgrassramp::store::MAX_PAUSE;
use eelgrassramp::store::ObjectApi;
use eelgrassramp::store::StoreClient;
use eelgrassramp::store::StoreClientLimits;
use eelgrassramp_standins::platform::InjectedFault;
use eelgrassramp_standins::platform::Platform;
use eelgrassramp_standins::platform::Settings;
use googletest::prelude::*;

struct Bench {
    cx: Context,
    platform: Arc<Platform>,
    client: StoreClient,
}

fn bench() -> Bench {
    let cx = Context::quiet(11);
    let platform = Platform::new(Settings::default(), cx.timers.clone());
    let api = platform.client("entry");
    let client = StoreClient::new(&cx, api, StoreClientLimits::default());
    Bench {
        cx,
        platform,
        client,
    }
}

impl Bench {
    fn calls(&self) -> u64 {
        self.platform.calls().iter().map(|c| c.calls).sum()
    }

    /// Reads in a loop without pauses for the duration `d`.
    async fn read_continuously(&self, d: Duration) {
        let end = self.cx.timers.now() + d;
        while self.cx.timers.now() < end {
            let _outcome = self.client.get("tables").await;
            self.cx.timers.after(Duration::from_millis(5)).await;
        }
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn calls_stay_within_the_budget() {
    let bench = bench();

    bench.read_continuously(Duration::from_mins(1)).await;

    expect_that!(bench.calls(), le(5 * 60 + 20));
    expect_that!(bench.calls(), ge(5 * 60));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn outage_is_met_with_few_calls_and_its_end_is_noticed() {
    let bench = bench();
    bench.platform.set_faults(|f| f.outage = true);

    bench.read_continuously(Duration::from_mins(1)).await;
    let calls_in_outage = bench.calls();
    bench.platform.set_faults(|f| f.outage = false);
    bench.cx.timers.after(MAX_PAUSE).await;
    let read = bench.client.get("tables").await;

    expect_that!(calls_in_outage, le(60));
    expect_that!(bench.platform.injected_count(InjectedFault::Outage), gt(10));
    expect_that!(read, ok(anything()));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn older_reply_is_refused() {
    let bench = bench();
    let first = bench
        .client
        .put("tables", ObjectVersion(0), Bytes::from_static(b"1"));
    let first = first.await.expect("a healthy store");
    let second = bench.client.put("tables", first, Bytes::from_static(b"2"));
    second.await.expect("a healthy store");
    bench.platform.set_faults(|f| f.stale_reads = true);

    let read = bench.client.get("tables").await;

    expect_that!(
        bench.platform.injected_count(InjectedFault::StaleRead),
        eq(1)
    );
    expect_that!(
        read.expect_err("it is older").kind(),
        eq(Kind::StoreUnavailable)
    );
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn silent_watch_is_given_up_and_the_next_one_works() {
    let bench = bench();
    let wait = Duration::from_secs(20);
    bench.platform.set_faults(|f| f.hung_watches = true);
    let began = bench.cx.timers.now();

    let silent = bench.client.watch("tables", ObjectVersion(0), wait).await;
    let gave_up_after = bench.cx.timers.now().since(began);
    bench.platform.set_faults(|f| f.hung_watches = false);
    bench.cx.timers.after(MAX_PAUSE).await;
    let next = bench.client.watch("tables", ObjectVersion(0), wait).await;

    expect_that!(
        silent.expect_err("it is silent").kind(),
        eq(Kind::StoreUnavailable)
    );
    expect_that!(gave_up_after, le(Duration::from_secs(23)));
    expect_that!(next, ok(anything()));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn write_without_an_answer_is_unsettled() {
    let bench = bench();
    bench
        .platform
        .set_faults(|f| f.delay = Duration::from_mins(1));

    let written = bench
        .client
        .put("tables", ObjectVersion(0), Bytes::new())
        .await;

    expect_that!(
        written.expect_err("no answer").kind(),
        eq(Kind::WriteUnsettled)
    );
}
