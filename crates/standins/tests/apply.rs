//! Edits of the tables against the simulated platform.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Context;
use eelgrassramp::RequestId;
use eelgrassramp::TableVersion;
use eelgrassramp::tables::Applied;
use eelgrassramp::tables::Applier;
use eelgrassramp::tables::Document;
use eelgrassramp::tables::FORMER_RETENTION;
use eelgrassramp::tables::NewEdit;
use eelgrassramp_standins::platform::InjectedFault;
use eelgrassramp_standins::platform::Platform;
use eelgrassramp_standins::platform::Settings;
use googletest::prelude::*;
use jiff::Timestamp;

const EXAMPLE_TABLES: &str = include_str!("../../../examples/mug-prints.jsonc");
const ORDERS: usize = 1;

struct Bench {
    platform: Arc<Platform>,
    applier: Applier,
    edits: u128,
    at: Timestamp,
}

impl Bench {
    fn start() -> Self {
        let cx = Context::quiet(1);
        let platform = Platform::new(Settings::default(), cx.timers.clone());
        Self {
            applier: Applier::new(platform.client("ctl"), cx.timers.clone()),
            platform,
            edits: 0,
            at: Timestamp::UNIX_EPOCH,
        }
    }

    fn edit(&mut self, document: Document) -> NewEdit {
        self.edits += 1;
        NewEdit {
            document,
            base: None,
            id: RequestId::from_bits(self.edits),
            at: self.at,
            message: String::new(),
        }
    }

    async fn apply(&mut self, document: Document) -> Applied {
        let edit = self.edit(document);
        self.applier.apply(&edit).await.expect("the edit is valid")
    }
}

fn example_document() -> Document {
    Document::from_jsonc(EXAMPLE_TABLES, "example").expect("the example is well-formed")
}

/// Returns the former sets of endpoint names of the orders pool.
fn former_orders(applied: &Applied) -> BTreeSet<Vec<String>> {
    let former = applied.document.pools[ORDERS].former.iter();
    former
        .map(|row| row.sidecars.keys().map(ToString::to_string).collect())
        .collect()
}

fn names(list: &[&str]) -> Vec<String> {
    list.iter().map(ToString::to_string).collect()
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn endpoint_that_changes_its_version_leaves_its_former_set() {
    let mut bench = Bench::start();
    bench.apply(example_document()).await;
    let mut edited = example_document();
    edited.pools[ORDERS].endpoints[1].version = "v2".into();

    let applied = bench.apply(edited).await;

    let all = names(&["orders-1", "orders-2", "orders-3"]);
    expect_that!(former_orders(&applied), eq(&BTreeSet::from([all])));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn endpoint_that_stays_after_all_leaves_the_set_without_it() {
    let mut bench = Bench::start();
    let mut leaving = example_document();
    leaving.pools[ORDERS].endpoints[0].leaving = true;
    bench.apply(leaving).await;

    let applied = bench.apply(example_document()).await;

    let without = names(&["orders-2", "orders-3"]);
    expect_that!(former_orders(&applied), eq(&BTreeSet::from([without])));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn former_sets_are_dropped_after_the_retention() {
    let mut bench = Bench::start();
    bench.apply(example_document()).await;
    let mut fewer = example_document();
    fewer.pools[ORDERS].endpoints.pop();
    let kept = bench.apply(fewer.clone()).await;
    bench.at += FORMER_RETENTION + Duration::from_secs(1);
    fewer.routes[0].timeout_ms += 1;

    let dropped = bench.apply(fewer).await;

    expect_that!(former_orders(&kept).len(), eq(1));
    expect_that!(former_orders(&dropped), is_empty());
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn edit_that_was_replaced_since_its_reply_was_lost_is_found_in_the_history() {
    let mut bench = Bench::start();
    let first = bench.apply(example_document()).await;
    let mut one = example_document();
    one.routes[0].timeout_ms = 1_111;
    let mut lost = bench.edit(one);
    lost.base = Some(first.version);
    let made = bench.applier.apply(&lost).await.expect("the edit is valid");
    let mut other = made.document.clone();
    other.routes[0].timeout_ms = 2_222;
    let newest = bench.apply(other).await;

    // The operator received no reply and sends the same edit again.
    let again = bench.applier.apply(&lost).await.expect("it was made");
    let (version, current) = bench.applier.read().await.expect("a healthy store");

    expect_that!(again.version, eq(made.version));
    expect_that!(version, eq(newest.version));
    expect_that!(current.routes[0].timeout_ms, eq(2_222));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn every_lost_reply_in_a_row_is_settled() {
    let mut bench = Bench::start();
    bench.platform.set_faults(|f| f.lost_replies = 4);
    let mut versions = vec![TableVersion(0)];

    for timeout in 1..=6 {
        let mut document = example_document();
        document.routes[0].timeout_ms = timeout;
        versions.push(bench.apply(document).await.version);
    }

    expect_that!(
        bench.platform.injected_count(InjectedFault::LostReply),
        eq(4)
    );
    expect_that!(versions.is_sorted_by(|a, b| a < b), eq(true));
    let history = bench.applier.history(10).await.expect("a healthy store");
    expect_that!(history.len(), eq(6));
}
