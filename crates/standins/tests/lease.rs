//! Entries that do not contend for a lease make no calls to the object API.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eelgrassramp::Context;
use eelgrassramp::Incarnation;
use eelgrassramp::lease::Candidate;
use eelgrassramp::lease::LeaderElector;
use eelgrassramp::lease::LeaseTimings;
use eelgrassramp_standins::platform::Platform;
use eelgrassramp_standins::platform::Settings;
use googletest::prelude::*;

const MINUTE: Duration = Duration::from_mins(1);

#[derive(Debug, Default)]
struct Switch(AtomicBool);

impl Switch {
    fn set_contends(&self, is_candidate: bool) {
        self.0.store(is_candidate, Ordering::Relaxed);
    }
}

impl Candidate for Switch {
    fn is_candidate(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

struct Bench {
    cx: Context,
    platform: Arc<Platform>,
    switch: Arc<Switch>,
    holder: Arc<LeaderElector>,
}

fn bench(is_candidate: bool) -> Bench {
    let cx = Context::quiet(1);
    let platform = Platform::new(Settings::default(), cx.timers.clone());
    let switch = Arc::new(Switch::default());
    switch.set_contends(is_candidate);
    let holder = LeaderElector::start(
        &cx,
        platform.client("entry-1"),
        "greeting".into(),
        Incarnation(1),
        "entry-1".into(),
        LeaseTimings::default(),
        Arc::clone(&switch) as Arc<dyn Candidate>,
    );
    Bench {
        cx,
        platform,
        switch,
        holder,
    }
}

fn calls(bench: &Bench) -> u64 {
    bench.platform.calls().iter().map(|c| c.calls).sum()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_entry_that_does_not_contend_makes_no_calls_until_it_does() {
    let bench = bench(false);

    bench.cx.timers.after(MINUTE).await;
    let calls_at_rest = calls(&bench);
    let token_at_rest = bench.holder.token();
    bench.switch.set_contends(true);
    bench.cx.timers.after(MINUTE).await;

    expect_that!(calls_at_rest, eq(0));
    expect_that!(token_at_rest, none());
    expect_that!(bench.holder.token(), some(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_holder_keeps_its_lease_when_it_stops_contending() {
    let bench = bench(true);
    bench.cx.timers.after(MINUTE).await;
    let token = bench.holder.token();

    bench.switch.set_contends(false);
    bench.cx.timers.after(MINUTE).await;

    expect_that!(token, some(anything()));
    expect_that!(bench.holder.token(), eq(token));
}
