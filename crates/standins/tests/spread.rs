//! Propagation time of an accepted change of the tables, and the calls that it costs the platform.
//!
//! Run with `--nocapture` to print the measurements.

#[path = "spread/fleet.rs"]
mod fleet;

use std::time::Duration;

use eelgrassramp::TableVersion;
use eelgrassramp_standins::platform::InjectedFault;
use googletest::prelude::*;

use self::fleet::Fault;
use self::fleet::Fleet;
use self::fleet::Size;

const TODAY: Size = Size {
    entries: 4,
    sidecars: 23,
};

/// Prints the quantiles of the times and returns the maximum.
fn report(what: &str, size: Size, mut times: Vec<Duration>) -> Duration {
    times.sort();
    let at = |permille: usize| times[(times.len() - 1) * permille / 1000];
    println!(
        "{what}, {} entries, {} sidecars: p50 {} ms, p99 {} ms, max {} ms ({} samples)",
        size.entries,
        size.sidecars,
        at(500).as_millis(),
        at(990).as_millis(),
        at(1000).as_millis(),
        times.len()
    );
    at(1000)
}

async fn measure(fault: Fault, size: Size, runs: u64) -> Duration {
    let mut times = Vec::new();
    for seed in 0..runs {
        let mut fleet = Fleet::start(seed, size).await;
        times.extend(fleet.change(fault).await);
        fleet.stop();
    }
    report(fault.name(), size, times)
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn change_is_in_force_within_five_seconds_with_a_healthy_store() {
    let worst = measure(Fault::None, TODAY, 20).await;

    expect_that!(worst, le(Duration::from_secs(5)));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn change_is_in_force_within_ten_seconds_when_the_store_goes_down_after_it() {
    let worst = measure(Fault::DownAfterAccept, TODAY, 20).await;

    expect_that!(worst, le(Duration::from_secs(10)));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn change_is_in_force_soon_with_a_slow_store() {
    let worst = measure(Fault::Slow, TODAY, 20).await;

    expect_that!(worst, le(Duration::from_secs(10)));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn change_whose_reply_was_lost_is_in_force_soon() {
    let worst = measure(Fault::LostReply, TODAY, 20).await;

    expect_that!(worst, le(Duration::from_secs(5)));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn change_is_in_force_though_all_watches_went_silent() {
    let worst = measure(Fault::HungWatches, TODAY, 10).await;

    expect_that!(worst, le(Duration::from_secs(10)));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn nothing_reverts_at_any_order_of_restarts_while_the_store_is_away() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(seed, TODAY).await;
        let accepted = {
            fleet.change(Fault::DownAfterAccept).await;
            fleet.accepted()
        };

        for _ in 0..40 {
            fleet.restart_one().await;
            fleet.wait(Duration::from_millis(500)).await;
            let ready = fleet.ready_versions();
            expect_that!(ready, each(eq(&accepted)), "seed {seed}");
        }
        fleet.wait(Duration::from_secs(10)).await;

        let versions: Vec<TableVersion> = fleet.versions();
        expect_that!(versions, each(eq(&accepted)), "seed {seed}");
        expect_that!(fleet.platform.injected_count(InjectedFault::Outage), gt(0));
        fleet.stop();
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn store_calls_do_not_grow_with_the_fleet() {
    const MINUTES: u64 = 3;
    let mut rates = Vec::new();
    for (entries, sidecars) in [(4, 23), (20, 48), (100, 240), (360, 860)] {
        let fleet = Fleet::start(7, Size { entries, sidecars }).await;
        // The fleet size becomes known with the first reads.
        fleet.wait(Duration::from_mins(2)).await;

        let before = fleet.calls();
        fleet.wait(Duration::from_mins(MINUTES)).await;
        let calls = fleet.calls() - before;

        let rate = calls as f64 / Duration::from_mins(MINUTES).as_secs_f64();
        println!(
            "{entries} entries, {sidecars} sidecars: {rate:.2} store calls a second, {:.4} an entry",
            rate / f64::from(u32::try_from(entries).expect("a small number"))
        );
        rates.push(rate);
        fleet.stop();
    }

    expect_that!(rates, each(le(&15.0)));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn change_reaches_the_target_fleet() {
    let size = Size {
        entries: 360,
        sidecars: 860,
    };

    let healthy = measure(Fault::None, size, 1).await;
    let down = measure(Fault::DownAfterAccept, size, 1).await;

    expect_that!(healthy, le(Duration::from_secs(5)));
    expect_that!(down, le(Duration::from_secs(10)));
}
